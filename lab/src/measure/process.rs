//! What a process uses, as the kernel counts it.

use serde::Serialize;
use std::io;
use std::time::Duration;

/// What a process uses at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// Processor time since its start, over all threads (from `/proc/PID/schedstat` and its tasks, in nanoseconds).
    pub processor_time: Duration,
    /// Resident memory without what is shared with files (anonymous), in bytes.
    pub anonymous_bytes: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads what a process uses.
    ///
    /// # Errors
    /// There is no such process.
    pub fn of(_process: u32) -> io::Result<Self> {
        todo!()
    }
}

/// Processor time that the calling thread has used.
pub fn thread_processor_time() -> Duration {
    todo!()
}
