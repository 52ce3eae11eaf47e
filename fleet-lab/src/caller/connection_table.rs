//! The open connections of a load by token, and the idle ones by target.

use super::connection::Connection;
use std::time::Duration;

/// Identifies a connection. A later connection in the same slot has a different generation; events of the earlier one
/// do not reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Token {
    slot: u32,
    generation: u32,
}

impl Token {
    /// Converts the token to a number for the poller.
    pub fn to_u64(self) -> u64 {
        u64::from(self.generation) << u32::BITS | u64::from(self.slot)
    }

    /// Converts a number from [`Token::to_u64`] back to the token.
    pub fn from_u64(number: u64) -> Self {
        Token {
            slot: number as u32,
            generation: (number >> u32::BITS) as u32,
        }
    }
}

/// A request that was due and has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    /// The request's number within the load.
    pub number: u64,
    /// The index of its target in the plan.
    pub target: usize,
    /// The time at which it was due, counted from the start of the load.
    pub due: Duration,
    /// True if it was due during the measurement, after the warm-up.
    pub is_measured: bool,
    /// True if it was sent again because the peer had closed a reused connection.
    pub is_resent: bool,
}

/// A connection and the request that it carries.
pub(super) struct OpenConnection {
    pub connection: Connection,
    pub target: usize,
    /// The request in flight; `None` while the connection is idle.
    pub pending: Option<PendingRequest>,
}

/// A reusable place in the table.
struct Slot {
    /// The number of connections that were removed from the slot.
    generation: u32,
    open: Option<OpenConnection>,
}

/// The open connections of a load by token, and the idle ones by target.
pub(super) struct ConnectionTable {
    slots: Vec<Slot>,
    /// The indices of slots without a connection.
    free: Vec<u32>,
    /// The idle connections of each target; the one that was used last is at the end.
    idle: Vec<Vec<Token>>,
}

impl ConnectionTable {
    /// Creates an empty table for this number of targets.
    pub fn new(targets: usize) -> Self {
        ConnectionTable {
            slots: Vec::new(),
            free: Vec::new(),
            idle: vec![Vec::new(); targets],
        }
    }

    /// Adds a new connection, which is not idle.
    pub fn insert(&mut self, connection: Connection, target: usize) -> Token {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: 0,
                open: None,
            });
            (self.slots.len() - 1) as u32
        });
        let slot_entry = &mut self.slots[slot as usize];
        slot_entry.open = Some(OpenConnection {
            connection,
            target,
            pending: None,
        });
        Token {
            slot,
            generation: slot_entry.generation,
        }
    }

    pub fn get_mut(&mut self, token: Token) -> Option<&mut OpenConnection> {
        self.slot_mut(token)?.open.as_mut()
    }

    /// Returns true if the connection still carries the request with this number.
    pub fn carries(&self, token: Token, number: u64) -> bool {
        let slot = self.slots.get(token.slot as usize);
        let open = slot
            .filter(|slot| slot.generation == token.generation)
            .and_then(|slot| slot.open.as_ref());
        let pending = open.and_then(|open| open.pending);
        pending.is_some_and(|pending| pending.number == number)
    }

    /// Removes a connection. Dropping the returned value closes it.
    pub fn remove(&mut self, token: Token) -> Option<OpenConnection> {
        let slot = self.slot_mut(token)?;
        let open = slot.open.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(token.slot);
        if open.pending.is_none() {
            self.idle[open.target].retain(|idle| *idle != token);
        }
        Some(open)
    }

    /// Marks a connection as idle.
    pub fn mark_idle(&mut self, token: Token) {
        if let Some(open) = self.get_mut(token) {
            open.pending = None;
            let target = open.target;
            self.idle[target].push(token);
        }
    }

    /// Takes the idle connection to a target that was used last.
    pub fn take_idle(&mut self, target: usize) -> Option<Token> {
        self.idle[target].pop()
    }

    fn slot_mut(&mut self, token: Token) -> Option<&mut Slot> {
        let slot = self.slots.get_mut(token.slot as usize)?;
        (slot.generation == token.generation).then_some(slot)
    }
}
