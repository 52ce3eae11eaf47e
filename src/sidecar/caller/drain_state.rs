//! How far a drain by the operators is.

/// How far a drain is. From its start on the front is told not to send anyone here.
#[derive(Clone, Copy, PartialEq)]
pub enum DrainState {
    /// The front has to ask first, and callers still come: all as ever.
    NotReady,
    /// Each connection closes with its next answer.
    ClosingAfterResponses,
    /// None is kept.
    ClosingIdle,
}
