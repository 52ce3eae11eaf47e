//! The state that a zone shares with the tasks of its connections.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// The state that a zone shares with the tasks of its connections.
pub(super) struct ZoneState {
    /// Whether the zone is partitioned from discovery.
    pub(super) is_partitioned: watch::Sender<bool>,
    /// Open watches, without those of a partitioned zone.
    pub(super) open_watches: Rc<Cell<u64>>,
}
