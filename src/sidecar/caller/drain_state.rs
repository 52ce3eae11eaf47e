//! The steps of a drain by the operators.

/// The step that a drain has reached. Readiness checks fail during all steps. The front end, which sends callers to the
/// sidecars that are ready, therefore stops sending new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// New callers are served as before, because the front end takes time to notice the failed readiness checks.
    NotReady,
    /// Each connection closes after its next response.
    ClosingAfterResponses,
    /// Idle connections close too.
    ClosingIdle,
}
