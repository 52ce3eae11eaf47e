//! Whether a connection outlives its next response.

/// Whether a connection outlives its next response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// Further requests may follow.
    KeepAlive,
    /// It ends with the response.
    Close,
}
