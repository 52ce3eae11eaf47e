//! The state of a zone that the tasks of its connections use.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// The state that a zone shares with the tasks of its connections.
pub(super) struct ZoneState {
    /// True while the zone is partitioned from discovery.
    pub(super) is_partitioned: watch::Sender<bool>,
    /// The number of open watches, which is 0 while the zone is partitioned.
    pub(super) open_watches: Rc<Cell<u64>>,
}
