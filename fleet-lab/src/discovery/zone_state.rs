//! What a zone's connections see of it.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// What a zone's connections see of it.
pub(super) struct ZoneState {
    /// Whether the zone is cut off.
    pub(super) silent: watch::Sender<bool>,
    /// Watches that are open and not cut off.
    pub(super) watches: Rc<Cell<u64>>,
}
