//! Memory budgets for buffered bodies of pending requests and of responses.

use bytes::Bytes;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

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

/// A budget of bytes, shared by its clones.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

/// A reservation of bytes for one body, which ends when it is dropped.
///
/// It is counted atomically only because the owner of a [`Bytes`] has to be [`Send`].
#[derive(Debug)]
pub struct MemoryReservation {
    size: usize,
    reserved: Arc<AtomicUsize>,
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

impl MemoryBudget {
    /// Creates a budget of the process's memory, `memory_mb` MiB, divided by `divisor`.
    pub fn fraction_of(memory_mb: usize, divisor: usize) -> Self {
        MemoryBudget {
            limit: (memory_mb << 20) / divisor,
            reserved: Arc::default(),
        }
    }

    /// Returns how many bytes are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reserves `size` bytes. Returns `None` if the budget does not have them left.
    pub fn reserve(&self, size: usize) -> Option<MemoryReservation> {
        if self.reserved.load(Ordering::Relaxed) + size > self.limit {
            return None;
        }
        self.reserved.fetch_add(size, Ordering::Relaxed);
        Some(MemoryReservation {
            size,
            reserved: self.reserved.clone(),
        })
    }
}

impl MemoryReservation {
    /// Returns the same bytes, which keep the memory that they take reserved until the last reference to them is dropped.
    pub fn attach(mut self, bytes: Bytes) -> Bytes {
        self.resize(bytes.len());
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }

    /// Changes the size, also beyond the budget.
    fn resize(&mut self, size: usize) {
        self.reserved.fetch_add(size, Ordering::Relaxed);
        self.reserved.fetch_sub(self.size, Ordering::Relaxed);
        self.size = size;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.size, Ordering::Relaxed);
    }
}

/// Bytes with the reservation of the memory that they take.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
