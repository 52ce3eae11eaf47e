//! The memory budget of buffered bodies: of pending requests, or of responses that are being received.

use std::cell::Cell;
use std::rc::Rc;

/// A budget of bytes, shared by its clones.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Rc<Cell<usize>>,
}

/// Bytes reserved for one body until it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    size: usize,
    reserved: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// Creates a budget of the process's memory divided by `divisor`.
    pub fn fraction_of(memory_mb: usize, divisor: usize) -> Self {
        MemoryBudget {
            limit: (memory_mb << 20) / divisor,
            reserved: Rc::default(),
        }
    }

    /// Reserves so many bytes. Returns `None` where they exceed the budget.
    pub fn reserve(&self, size: usize) -> Option<MemoryReservation> {
        let total = self.reserved.get() + size;
        if total > self.limit {
            return None;
        }
        self.reserved.set(total);
        Some(MemoryReservation {
            size,
            reserved: self.reserved.clone(),
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.size);
    }
}
