//! The watches on discovery, while a reload may move it.

use crate::discovery::Source;
use crate::sidecar::task::Task;
use std::net::SocketAddr;

/// The discovery in force, the watch on it, and the watch on the one before.
pub struct Watches {
    source: Source,
    current: Watch,
    /// Followed until the discovery in force has spoken.
    previous: Watch,
}

/// Whether a discovery is followed.
enum Watch {
    /// Nobody follows it.
    Idle,
    /// A task does, which ends with this.
    Following(Task),
}

impl Watches {
    /// On a discovery that nobody follows yet.
    pub fn new(address: SocketAddr) -> Self {
        let source = Source {
            address,
            generation: 0,
        };
        Watches {
            source,
            current: Watch::Idle,
            previous: Watch::Idle,
        }
    }

    /// The discovery in force.
    pub fn source(&self) -> Source {
        self.source
    }

    /// Whether a task follows it that has not ended.
    pub fn is_followed(&self) -> bool {
        matches!(&self.current, Watch::Following(task) if !task.is_over())
    }

    /// A task follows it from now on.
    pub fn follow(&mut self, task: Task) {
        self.current = Watch::Following(task);
    }

    /// Nobody follows it any more.
    pub fn end(&mut self) {
        self.current = Watch::Idle;
    }

    /// It has spoken: nobody follows the one before any more.
    pub fn has_spoken(&mut self) {
        self.previous = Watch::Idle;
    }

    /// Another discovery is in force. The one before is followed on if it had spoken; else it gives way, and who was
    /// listened to before it still is.
    pub fn move_to(&mut self, address: SocketAddr, had_spoken: bool) {
        self.source = Source {
            address,
            generation: self.source.generation + 1,
        };
        let current = std::mem::replace(&mut self.current, Watch::Idle);
        if had_spoken {
            self.previous = current;
        }
    }
}
