//! The transfer of request and response bodies through the sidecar.
//!
//! A body of up to [`limits::MAX_BUFFERED_BODY`] bytes is received completely before it is forwarded. A request can
//! then be sent again in another attempt, and a truncated response is discovered before the client has received any of
//! it.
//!
//! A larger body is streamed. No more than [`limits::MAX_BUFFERED_BODY`] bytes of it are buffered, and each further
//! frame is read only when the receiver has taken the previous one.

mod arrival_history;
mod buffered_response;
mod error;
mod frames;
mod limits;
mod request_deadline;
mod upload;
mod upload_deadline;

pub use buffered_response::{BufferedExtent, Buffering, ReceivedResponse, receive_response};
pub use error::{BodyTransferError, UploadError};
pub use frames::poll_data;
pub use limits::{MAX_BODY, MAX_BUFFERED_BODY, buffer_size};
pub use request_deadline::{ConnectionArrival, RequestDeadline};
pub use upload::{ReceivedRequestBody, RemainingUpload, Upload, receive_request_body};
