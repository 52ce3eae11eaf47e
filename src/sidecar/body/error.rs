//! Errors of bodies in transit.

use thiserror::Error;

/// Why a client's request body cannot be received.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum UploadError {
    /// It came below the minimum rate.
    #[error("the request body comes below the minimum rate")]
    TooSlow,
    /// It is larger than [`super::MAX_BODY`].
    #[error("the request body is too large")]
    TooLarge,
    /// It broke off, or its framing is malformed.
    #[error("the request body is incomplete")]
    Incomplete,
}

/// Why a body stops in transit. hyper passes it on to the connection that the body is written to.
#[derive(Debug, Error)]
pub enum BodyTransferError {
    /// The connection that it came on failed.
    #[error("the body's connection failed")]
    Http(#[from] hyper::Error),
    /// An endpoint paused for too long in the middle of its response.
    #[error("the endpoint stopped sending in the middle of its response")]
    ResponseStalled,
    /// A response is larger than [`super::MAX_BODY`].
    #[error("the response is too large")]
    ResponseTooLarge,
    /// A streamed request body can be sent by one attempt only.
    #[error("another attempt has sent the request body")]
    UploadConsumed,
    /// The client's request body cannot be received.
    #[error("the request body cannot be received")]
    Upload(#[from] UploadError),
}
