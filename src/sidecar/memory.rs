//! Memory budgets.
//!
//! One budget covers what clients and endpoints make the process hold: connections, requests, and bodies that are buffered.
//! Buffered bodies have budgets of their own within it.

use bytes::Bytes;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A budget of bytes, shared by its clones.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    own: Arc<Pool>,
    /// The pool of the budget that this one is a part of.
    whole: Option<Arc<Pool>>,
}

/// The bytes of one budget.
///
/// They are counted atomically only because the owner of a [`Bytes`] has to be [`Send`].
#[derive(Debug)]
struct Pool {
    limit: AtomicUsize,
    reserved: AtomicUsize,
}

/// A reservation of bytes, which ends when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    size: usize,
    budget: MemoryBudget,
}

/// The memory that is reserved for one request, until it is answered, its answer is passed on, and its attempts have ended.
#[derive(Clone, Debug)]
pub struct RequestMemory {
    _reservations: Rc<[MemoryReservation; 2]>,
}

impl Pool {
    fn new(limit: usize) -> Arc<Self> {
        Arc::new(Pool {
            limit: AtomicUsize::new(limit),
            reserved: AtomicUsize::new(0),
        })
    }

    fn has_room_for(&self, size: usize) -> bool {
        let reserved = self.reserved.load(Ordering::Relaxed);
        reserved.saturating_add(size) <= self.limit.load(Ordering::Relaxed)
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        MemoryBudget {
            own: Pool::new(limit),
            whole: None,
        }
    }

    /// Creates a budget of `limit` bytes that is a part of this one.
    pub fn part(&self, limit: usize) -> Self {
        MemoryBudget {
            own: Pool::new(limit),
            whole: Some(self.own.clone()),
        }
    }

    /// Changes the limit. Reservations stay, also beyond it.
    pub fn set_limit(&self, limit: usize) {
        self.own.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns how many bytes are reserved.
    pub fn reserved(&self) -> usize {
        self.own.reserved.load(Ordering::Relaxed)
    }

    /// Reserves `size` bytes. Returns `None` if the budget does not have them left.
    pub fn reserve(&self, size: usize) -> Option<MemoryReservation> {
        self.has_room_for(size).then(|| self.reserve_always(size))
    }

    /// Reserves `size` bytes, also beyond the budget.
    pub fn reserve_always(&self, size: usize) -> MemoryReservation {
        self.add(size);
        MemoryReservation {
            size,
            budget: self.clone(),
        }
    }

    /// Returns whether the budget has `size` bytes left.
    pub fn has_room_for(&self, size: usize) -> bool {
        self.pools().all(|pool| pool.has_room_for(size))
    }

    /// Returns whether the budget has `size` bytes left, apart from the one that it is a part of.
    pub fn has_own_room_for(&self, size: usize) -> bool {
        self.own.has_room_for(size)
    }

    /// Returns how many bytes are reserved beyond the limit.
    pub fn excess(&self) -> usize {
        let limit = self.own.limit.load(Ordering::Relaxed);
        self.reserved().saturating_sub(limit)
    }

    fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        [&self.own].into_iter().chain(&self.whole)
    }

    fn add(&self, size: usize) {
        for pool in self.pools() {
            pool.reserved.fetch_add(size, Ordering::Relaxed);
        }
    }

    fn subtract(&self, size: usize) {
        for pool in self.pools() {
            pool.reserved.fetch_sub(size, Ordering::Relaxed);
        }
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
        self.budget.add(size);
        self.budget.subtract(self.size);
        self.size = size;
    }
}

impl RequestMemory {
    /// Joins the reservation for a request's head and exchange with that for its body.
    pub fn new(exchange: MemoryReservation, body: MemoryReservation) -> Self {
        RequestMemory {
            _reservations: Rc::new([exchange, body]),
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.subtract(self.size);
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
