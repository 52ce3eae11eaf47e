//! The steps of a drain by the operators.

/// The step that a drain has reached. From the first one on readiness checks fail, so that the front end sends no new
/// callers here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// Callers that still arrive are served as before, until the front end has noticed.
    NotReady,
    /// Each connection closes with its next response.
    ClosingAfterResponses,
    /// Idle connections close as well.
    ClosingIdle,
}
