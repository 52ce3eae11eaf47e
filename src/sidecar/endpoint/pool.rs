//! Idle connections to endpoints, kept for further attempts.

use super::connection::EndpointConnection;
use crate::policy::{EndpointId, Limits};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Part of an endpoint's idle time after which a connection is dropped: one that the endpoint closes just as it is written
/// to is a reset, which loses an unsafe request.
const IDLE_PART: f64 = 0.7;
/// An endpoint may close a connection just after an answer, or answer once more, which was seen to come up to 4 ms later:
/// used again at once, the connection would bring that to the next request. What comes within this time is seen while
/// nobody has it. Longer costs more connections, of which some come up late.
const SETTLING_TIME: Duration = Duration::from_millis(20);
/// Idle connections kept to an endpoint. Each takes room there; a burst's are not needed again soon.
const MAX_KEPT: usize = 4;
/// Idle connections kept to an endpoint while it is busy: each request takes one for as long as [`SETTLING_TIME`] beside
/// its own time, so that four carry 200 requests a second at the most.
const MAX_KEPT_BUSY: usize = 16;
/// How long those over [`MAX_KEPT`] are kept after their last use.
const BUSY_FOR: Duration = Duration::from_secs(5);

/// Idle connections, the most recently used of an endpoint taken first, so that spare ones grow old and go.
pub struct ConnectionPool {
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
    keep: Duration,
    /// Idle connections kept to an endpoint.
    most: usize,
    /// Somebody sweeps it.
    is_swept: bool,
}

struct IdleConnection {
    connection: EndpointConnection,
    since: Instant,
}

/// Whether somebody sweeps a pool that holds connections.
#[derive(PartialEq)]
pub enum SweepSchedule {
    /// Somebody does, or need not.
    Scheduled,
    /// Nobody does yet.
    Needed,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(limits: &Limits) -> Self {
        ConnectionPool {
            idle: HashMap::new(),
            keep: limits.idle_timeout.mul_f64(IDLE_PART),
            most: MAX_KEPT_BUSY,
            is_swept: false,
        }
    }

    /// Goes on with other limits, which hold for what is idle too.
    pub fn change_limits(&mut self, limits: &Limits) {
        self.keep = limits.idle_timeout.mul_f64(IDLE_PART);
    }

    /// The last used connection to an endpoint that has settled and is clean.
    pub fn take(&mut self, endpoint: &EndpointId) -> Option<EndpointConnection> {
        let idle = self.idle.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(last) = idle.iter().rposition(|i| now >= i.since + SETTLING_TIME) {
            let IdleConnection { connection, since } = idle.remove(last);
            if now < since + self.keep && connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection, if there is room for it.
    pub fn put_back(
        &mut self,
        endpoint: &EndpointId,
        connection: EndpointConnection,
    ) -> SweepSchedule {
        let kept = self.idle.entry(endpoint.clone()).or_default();
        if connection.is_closed() || !connection.progress().is_whole() || kept.len() >= self.most {
            return SweepSchedule::Scheduled;
        }
        kept.push(IdleConnection {
            connection,
            since: Instant::now(),
        });
        if std::mem::replace(&mut self.is_swept, true) {
            SweepSchedule::Scheduled
        } else {
            SweepSchedule::Needed
        }
    }

    /// Whether idle connections are kept. They are room that another process may need more.
    pub fn set_keeps_idle(&mut self, keep: bool) {
        self.most = if keep { MAX_KEPT_BUSY } else { 0 };
        if !keep {
            self.idle.clear();
        }
    }

    /// Closes idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: &EndpointId) {
        self.idle.remove(endpoint);
    }

    /// Closes the connection that has been idle longest; false where none is.
    pub fn close_oldest(&mut self) -> bool {
        let oldest = self
            .idle
            .iter()
            .filter_map(|(e, idle)| Some((idle.first()?.since, e)));
        let Some(endpoint) = oldest
            .min_by_key(|(since, _)| *since)
            .map(|(_, e)| e.clone())
        else {
            return false;
        };
        self.idle
            .get_mut(&endpoint)
            .is_some_and(|idle| !idle.drain(..1).as_slice().is_empty())
    }

    /// Drops what has been idle too long; returns when the next will have been.
    pub fn sweep(&mut self) -> Option<Instant> {
        let now = Instant::now();
        let keep = self.keep;
        self.idle.retain(|_, idle| {
            idle.retain(|i| now < i.since + keep && !i.connection.is_closed());
            while first_expires_at(idle, keep).is_some_and(|at| at <= now) {
                idle.remove(0);
            }
            !idle.is_empty()
        });
        let next = self
            .idle
            .values()
            .filter_map(|idle| first_expires_at(idle, keep))
            .min();
        // Connections come back while it waits, and may have to go before what there is now.
        let next = next.map(|at| at.min(now + keep.min(BUSY_FOR)));
        self.is_swept = next.is_some();
        next
    }
}

/// When the first of an endpoint's idle connections has been idle too long.
fn first_expires_at(idle: &[IdleConnection], keep: Duration) -> Option<Instant> {
    let time = if idle.len() > MAX_KEPT {
        keep.min(BUSY_FOR)
    } else {
        keep
    };
    idle.first().map(|first| first.since + time)
}
