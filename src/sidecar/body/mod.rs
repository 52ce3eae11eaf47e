//! Bodies on their way through: what is kept of them, and what goes on as it comes.
//!
//! A body of up to [`MAX_KEPT`] bytes is received whole first, so that an attempt can be made again with it, or its answer
//! be found broken before a client has seen any of it. Of a larger one no more than that is ever held: the rest is read
//! when the other side has taken what came before.

mod limits;
mod pace;
mod received;
mod upload;

pub use limits::{BodyFailure, MAX_BODY, MAX_KEPT};
pub use received::{ReceivedAnswer, receive_answer};
pub use upload::{BodyError, ReceivedBody, Upload, UploadRest, receive_body};
