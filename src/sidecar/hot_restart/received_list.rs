//! The list of serving endpoints that another process sends in parts.

use super::message::ServingEndpoints;
use std::collections::HashMap;

/// The received parts of another process's list.
#[derive(Debug, Default)]
pub struct ReceivedList {
    version: u64,
    serving: HashMap<String, u64>,
}

impl ReceivedList {
    /// Adds a part, which begins another list if its version is another one. Returns all parts once they are complete.
    pub fn add(&mut self, part: &mut ServingEndpoints) -> Option<HashMap<String, u64>> {
        if self.version != part.version {
            self.serving.clear();
        }
        self.version = part.version;
        self.serving.extend(part.serving.drain(..));
        (self.serving.len() == part.total).then(|| std::mem::take(&mut self.serving))
    }
}

#[cfg(test)]
#[path = "received_list_tests.rs"]
mod tests;
