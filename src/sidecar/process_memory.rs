//! The memory of this process, as the kernel reports it.

use std::fs;

/// The memory of this process in kB, as the kernel reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessMemory {
    /// Its resident memory now.
    pub resident: usize,
    /// The part of it that is not a mapped file, such as the program itself.
    pub anonymous: usize,
    /// The most resident memory that it has had.
    pub peak: usize,
}

impl ProcessMemory {
    /// Reads the memory of this process. What cannot be read is 0.
    pub fn read() -> Self {
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
            kilobytes.unwrap_or_default()
        };
        ProcessMemory {
            resident: value("VmRSS:"),
            anonymous: value("RssAnon:"),
            peak: value("VmHWM:"),
        }
    }
}
