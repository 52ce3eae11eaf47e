//! The pool of idle connections to endpoints.

use super::connection::EndpointConnection;
use crate::policy::{EndpointId, Limits};
use crate::sidecar::memory::MemoryReservation;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The fraction of an endpoint's idle timeout after which the pool closes an idle connection. A request that is written
/// just as the endpoint closes the connection is reset, and an unsafe request is then lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// The time after a response for which its connection is not reused. An endpoint may close the connection just after
/// the response, or send a second response, observed up to 4 ms later. Either is detected within this time, and would
/// otherwise affect the next request. A longer time needs more connections, some of which are established late.
const SETTLING_TIME: Duration = Duration::from_millis(20);
/// The maximum number of idle connections to an endpoint. Each takes a descriptor at the endpoint, and those opened for
/// a burst are not needed again soon.
const MAX_IDLE_PER_ENDPOINT: usize = 4;
/// The maximum number of idle connections to a busy endpoint. A request occupies a connection for [`SETTLING_TIME`] in
/// addition to its own time, so four would carry at most 200 requests per second.
const MAX_IDLE_PER_BUSY_ENDPOINT: usize = 16;
/// The time for which connections beyond [`MAX_IDLE_PER_ENDPOINT`] stay open after their last use.
const BUSY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle connections by endpoint. The most recently used one is taken first, so that surplus ones reach their idle
/// timeout.
#[derive(Debug)]
pub struct ConnectionPool {
    /// Each endpoint's connections, the longest idle first.
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
    idle_timeout: Duration,
    max_idle_per_endpoint: usize,
    /// True while a task that sweeps the pool is running.
    is_sweep_scheduled: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    idle_since: Instant,
    _memory: MemoryReservation,
}

/// Tells whether a task that sweeps the pool has to be started.
#[derive(Debug, PartialEq)]
#[must_use]
pub enum SweepTask {
    /// A sweep task is running, or the connection was not pooled.
    NotNeeded,
    /// The pool holds connections, and no sweep task is running.
    Needed,
}

/// The treatment of connections after their exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IdleConnectionPolicy {
    /// They are pooled.
    Keep,
    /// They are closed, because another process needs their descriptors more.
    Close,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(limits: &Limits) -> Self {
        ConnectionPool {
            idle: HashMap::new(),
            idle_timeout: limits.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            max_idle_per_endpoint: MAX_IDLE_PER_BUSY_ENDPOINT,
            is_sweep_scheduled: false,
        }
    }

    /// Changes the limits, also for connections that are idle now.
    pub fn change_limits(&mut self, limits: &Limits) {
        self.idle_timeout = limits.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
    }

    /// Takes a connection to an endpoint: the most recently used one that is ready and was last used at least
    /// [`SETTLING_TIME`] ago.
    pub fn take(&mut self, endpoint: &EndpointId) -> Option<EndpointConnection> {
        let connections = self.idle.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(last) = connections
            .iter()
            .rposition(|idle| now >= idle.idle_since + SETTLING_TIME)
        {
            let idle = connections.remove(last);
            if now < idle.idle_since + self.idle_timeout && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Pools a connection, or closes it if it is unusable or the endpoint has its maximum of idle connections.
    pub fn put(
        &mut self,
        endpoint: &EndpointId,
        connection: EndpointConnection,
        memory: MemoryReservation,
    ) -> SweepTask {
        let connections = self.idle.entry(endpoint.clone()).or_default();
        let is_usable = !connection.is_closed() && connection.progress().is_complete();
        if !is_usable || connections.len() >= self.max_idle_per_endpoint {
            return SweepTask::NotNeeded;
        }
        connections.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
            _memory: memory,
        });
        if std::mem::replace(&mut self.is_sweep_scheduled, true) {
            SweepTask::NotNeeded
        } else {
            SweepTask::Needed
        }
    }

    /// Sets whether the pool keeps idle connections. Those that it must not keep are closed.
    pub fn set_idle_policy(&mut self, idle_policy: IdleConnectionPolicy) {
        match idle_policy {
            IdleConnectionPolicy::Keep => self.max_idle_per_endpoint = MAX_IDLE_PER_BUSY_ENDPOINT,
            IdleConnectionPolicy::Close => {
                self.max_idle_per_endpoint = 0;
                self.idle.clear();
            }
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: &EndpointId) {
        self.idle.remove(endpoint);
    }

    /// Closes the connection that has been idle longest. Returns false if there is none.
    pub fn close_oldest(&mut self) -> bool {
        let oldest = self
            .idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since);
        let Some(connections) = oldest else {
            return false;
        };
        connections.remove(0);
        true
    }

    /// Closes connections that have been idle for too long. Returns the time of the next sweep, or `None` if the pool
    /// is empty.
    pub fn sweep(&mut self) -> Option<Instant> {
        let now = Instant::now();
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|_, connections| {
            connections.retain(|idle| {
                now < idle.idle_since + idle_timeout && !idle.connection.is_closed()
            });
            while first_expires_at(connections, idle_timeout).is_some_and(|at| at <= now) {
                connections.remove(0);
            }
            !connections.is_empty()
        });
        let next = self
            .idle
            .values()
            .filter_map(|connections| first_expires_at(connections, idle_timeout))
            .min();
        // Connections that are returned before then may expire earlier than those that are idle now.
        let next = next.map(|at| at.min(now + idle_timeout.min(BUSY_IDLE_TIMEOUT)));
        self.is_sweep_scheduled = next.is_some();
        next
    }
}

/// Returns the time at which the first of an endpoint's connections expires, which is the longest idle one.
fn first_expires_at(connections: &[IdleConnection], idle_timeout: Duration) -> Option<Instant> {
    let timeout = if connections.len() > MAX_IDLE_PER_ENDPOINT {
        idle_timeout.min(BUSY_IDLE_TIMEOUT)
    } else {
        idle_timeout
    };
    connections.first().map(|first| first.idle_since + timeout)
}
