//! Bodies on their way through: what is kept of them, and what goes on as it comes.
//!
//! A body of up to [`MAX_KEPT`] bytes is received whole first, so that an attempt can be made again with it, or its answer
//! be found broken before a client has seen any of it. Of a larger one no more than that is ever held: the rest is read
//! when the other side has taken what came before.

mod buffered_response;
mod limits;
mod upload;
mod upload_deadline;

pub use buffered_response::{ReceivedAnswer, receive_answer};
pub use limits::{BodyFailure, MAX_BODY, MAX_KEPT};
pub use upload::{BodyError, ReceivedBody, Upload, UploadRest, receive_body};
