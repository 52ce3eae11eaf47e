//! The steps of a drain by the operators.

/// The step that a drain has reached. Readiness checks fail during all steps, so the front end stops sending new
/// callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// New callers are served as before, because the front end takes time to notice the failed readiness checks.
    NotReady,
    /// Each connection closes after its next response.
    ClosingAfterResponses,
    /// Idle connections close too.
    ClosingIdle,
}
