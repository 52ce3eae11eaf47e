//! The persistence of a caller's connection.

/// States whether a connection stays open after its next response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection stays open for further requests.
    KeepAlive,
    /// The connection closes after the response.
    Close,
}
