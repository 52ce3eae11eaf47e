//! Bodies on their way through: what is kept of them, and what goes on as it comes.
//!
//! A body of up to [`MAX_BUFFERED_BODY`] bytes is received whole first, so that an attempt can be made again with it, or its answer
//! be found broken before a client has seen any of it. Of a larger one no more than that is ever held: the rest is read
//! when the other side has taken what came before.

mod buffered_response;
mod limits;
mod upload;
mod upload_deadline;

pub use buffered_response::{ReceivedResponse, receive_response};
pub use limits::{BodyTransferError, MAX_BODY, MAX_BUFFERED_BODY};
pub use upload::{ReceivedRequestBody, RemainingUpload, Upload, UploadError, receive_request_body};
