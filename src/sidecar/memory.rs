//! Memory budgets for buffered bodies of pending requests and of responses that are being received.

use std::cell::Cell;
use std::rc::Rc;

/// A budget of bytes, shared by its clones.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Rc<Cell<usize>>,
}

/// A reservation of bytes for one body, which ends when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    size: usize,
    reserved: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// Creates a budget of the process's memory, `memory_mb` MiB, divided by `divisor`.
    pub fn fraction_of(memory_mb: usize, divisor: usize) -> Self {
        MemoryBudget {
            limit: (memory_mb << 20) / divisor,
            reserved: Rc::default(),
        }
    }

    /// Reserves `size` bytes. Returns `None` if the budget does not have them left.
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
