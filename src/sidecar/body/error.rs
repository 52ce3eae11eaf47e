//! Errors in the transfer of request and response bodies.

use thiserror::Error;

/// The reason why a client's request body cannot be received.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum UploadError {
    /// The client sent it below the minimum rate.
    #[error("the request body arrives below the minimum rate")]
    TooSlow,
    /// It is larger than [`super::MAX_BODY`].
    #[error("the request body is too large")]
    TooLarge,
    /// The connection failed before its end, or its framing is malformed.
    #[error("the request body is incomplete")]
    Incomplete,
}

/// The reason why the transfer of a body stops. hyper reports it on the connection to which the body is written.
#[derive(Debug, Error)]
pub enum BodyTransferError {
    /// The connection from which the body was read failed.
    #[error("the connection from which the body was read failed")]
    Http(#[from] hyper::Error),
    /// An endpoint paused for too long before the end of its response.
    #[error("the endpoint stopped sending in the middle of its response")]
    ResponseStalled,
    /// A response is larger than [`super::MAX_BODY`].
    #[error("the response is too large")]
    ResponseTooLarge,
    /// Another attempt has taken the streamed request body, which can be sent only once.
    #[error("another attempt has sent the request body")]
    UploadConsumed,
    /// The client's request body cannot be received.
    #[error("the request body cannot be received")]
    Upload(#[from] UploadError),
}
