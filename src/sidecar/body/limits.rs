//! How large bodies may be.

use std::error::Error;

/// The largest body that is kept whole, either way.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// The largest body that is taken at all, either way: a quarter more than any there should be.
pub const MAX_BODY: u64 = 40 << 20;

/// What goes wrong with a body on its way, as hyper passes it on.
pub type BodyTransferError = Box<dyn Error + Send + Sync>;
