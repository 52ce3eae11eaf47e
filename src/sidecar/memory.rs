//! The memory that bodies may take, of requests that are received or open, or of answers that are received.

use std::cell::Cell;
use std::rc::Rc;

/// A budget of bytes.
#[derive(Clone)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Rc<Cell<usize>>,
}

/// One body's share, until it is dropped.
pub struct MemoryReservation {
    size: usize,
    reserved: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// One of so many equal parts of the process's memory.
    pub fn fraction_of(memory_mb: usize, parts: usize) -> Self {
        MemoryBudget {
            limit: (memory_mb << 20) / parts,
            reserved: Rc::default(),
        }
    }

    /// Reserves so many bytes, if there is room.
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
