//! Idle connections to endpoints, kept for further attempts.

use super::connection::EndpointConnection;
use crate::policy::{EndpointId, Limits};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Part of an endpoint's idle time after which a connection is dropped: one that the endpoint closes just as it is written
/// to is a reset, which loses an unsafe request.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// An endpoint may close a connection just after an answer, or answer once more, which was seen to come up to 4 ms later:
/// used again at once, the connection would bring that to the next request. What comes within this time is seen while
/// nobody has it. Longer costs more connections, of which some come up late.
const SETTLING_TIME: Duration = Duration::from_millis(20);
/// Idle connections kept to an endpoint. Each takes room there; a burst's are not needed again soon.
const MAX_IDLE_PER_ENDPOINT: usize = 4;
/// Idle connections kept to an endpoint while it is busy: each request takes one for as long as [`SETTLING_TIME`] beside
/// its own time, so that four carry 200 requests a second at the most.
const MAX_IDLE_PER_BUSY_ENDPOINT: usize = 16;
/// How long those over [`MAX_IDLE_PER_ENDPOINT`] are kept after their last use.
const BUSY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle connections, the most recently used of an endpoint taken first, so that spare ones grow old and go.
pub struct ConnectionPool {
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
    idle_timeout: Duration,
    /// Idle connections kept to an endpoint.
    max_idle_per_endpoint: usize,
    /// Somebody sweeps it.
    is_sweep_scheduled: bool,
}

struct IdleConnection {
    connection: EndpointConnection,
    idle_since: Instant,
}

/// Whether somebody sweeps a pool that holds connections.
#[derive(PartialEq)]
pub enum SweepTask {
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
            idle_timeout: limits.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            max_idle_per_endpoint: MAX_IDLE_PER_BUSY_ENDPOINT,
            is_sweep_scheduled: false,
        }
    }

    /// Goes on with other limits, which hold for what is idle too.
    pub fn change_limits(&mut self, limits: &Limits) {
        self.idle_timeout = limits.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
    }

    /// The last used connection to an endpoint that has settled and is clean.
    pub fn take(&mut self, endpoint: &EndpointId) -> Option<EndpointConnection> {
        let idle = self.idle.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(last) = idle
            .iter()
            .rposition(|i| now >= i.idle_since + SETTLING_TIME)
        {
            let IdleConnection {
                connection,
                idle_since,
            } = idle.remove(last);
            if now < idle_since + self.idle_timeout && connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection, if there is room for it.
    pub fn put(&mut self, endpoint: &EndpointId, connection: EndpointConnection) -> SweepTask {
        let kept = self.idle.entry(endpoint.clone()).or_default();
        if connection.is_closed()
            || !connection.progress().is_whole()
            || kept.len() >= self.max_idle_per_endpoint
        {
            return SweepTask::Scheduled;
        }
        kept.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
        });
        if std::mem::replace(&mut self.is_sweep_scheduled, true) {
            SweepTask::Scheduled
        } else {
            SweepTask::Needed
        }
    }

    /// Whether idle connections are kept. They are room that another process may need more.
    pub fn set_keeps_idle(&mut self, idle_timeout: bool) {
        self.max_idle_per_endpoint = if idle_timeout {
            MAX_IDLE_PER_BUSY_ENDPOINT
        } else {
            0
        };
        if !idle_timeout {
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
            .filter_map(|(e, idle)| Some((idle.first()?.idle_since, e)));
        let Some(endpoint) = oldest
            .min_by_key(|(idle_since, _)| *idle_since)
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
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|_, idle| {
            idle.retain(|i| now < i.idle_since + idle_timeout && !i.connection.is_closed());
            while first_expires_at(idle, idle_timeout).is_some_and(|at| at <= now) {
                idle.remove(0);
            }
            !idle.is_empty()
        });
        let next = self
            .idle
            .values()
            .filter_map(|idle| first_expires_at(idle, idle_timeout))
            .min();
        // Connections come back while it waits, and may have to go before what there is now.
        let next = next.map(|at| at.min(now + idle_timeout.min(BUSY_IDLE_TIMEOUT)));
        self.is_sweep_scheduled = next.is_some();
        next
    }
}

/// When the first of an endpoint's idle connections has been idle too long.
fn first_expires_at(idle: &[IdleConnection], idle_timeout: Duration) -> Option<Instant> {
    let time = if idle.len() > MAX_IDLE_PER_ENDPOINT {
        idle_timeout.min(BUSY_IDLE_TIMEOUT)
    } else {
        idle_timeout
    };
    idle.first().map(|first| first.idle_since + time)
}
