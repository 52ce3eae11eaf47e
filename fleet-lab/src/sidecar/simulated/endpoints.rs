//! The endpoints that hollow sidecars' attempts go to: whether they can be reached, and what is in flight at them.

use balancer_sidecar::policy::{EndpointId, LoadReport};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

/// Requests that an endpoint works on at once; any further ones in flight are reported as waiting.
const CORES: u64 = 4;

/// All endpoints of a fleet that were sent to, by name.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    endpoints: RwLock<HashMap<EndpointId, Arc<SimulatedEndpoint>>>,
    max_attempts_in_a_second: AtomicU64,
}

/// One endpoint, as all sidecars of the fleet meet it.
#[derive(Debug, Default)]
pub(super) struct SimulatedEndpoint {
    in_flight: AtomicU64,
    is_unreachable: AtomicBool,
    /// How often its machine has vanished.
    losses: AtomicU64,
    attempts: Mutex<AttemptsInSecond>,
}

#[derive(Debug, Default)]
struct AttemptsInSecond {
    second: u64,
    attempts: u64,
}

impl EndpointTable {
    /// An endpoint by its name; a new one where nothing was sent there yet.
    pub fn get(&self, name: &EndpointId) -> Arc<SimulatedEndpoint> {
        let endpoints = self
            .endpoints
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(endpoint) = endpoints.get(name) {
            return endpoint.clone();
        }
        drop(endpoints);
        let mut endpoints = self
            .endpoints
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        endpoints.entry(name.clone()).or_default().clone()
    }

    /// Counts an attempt that reaches an endpoint in a second since the fleet's start.
    pub fn count_attempt(&self, endpoint: &SimulatedEndpoint, second: u64) {
        let attempts = endpoint.count_attempt(second);
        self.max_attempts_in_a_second
            .fetch_max(attempts, Ordering::Relaxed);
    }

    /// The most attempts that reached one endpoint within one second.
    pub fn max_attempts_in_a_second(&self) -> u64 {
        self.max_attempts_in_a_second.load(Ordering::Relaxed)
    }
}

impl SimulatedEndpoint {
    /// Makes the endpoint unreachable. Requests in flight are never answered.
    pub fn make_unreachable(&self) {
        let was_unreachable = self.is_unreachable.swap(true, Ordering::Relaxed);
        if !was_unreachable {
            self.losses.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Makes the endpoint reachable again.
    pub fn make_reachable(&self) {
        self.is_unreachable.store(false, Ordering::Relaxed);
    }

    /// Returns whether new attempts cannot connect.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable.load(Ordering::Relaxed)
    }

    /// How often its machine has vanished: what was in flight then is never answered.
    pub fn losses(&self) -> u64 {
        self.losses.load(Ordering::Relaxed)
    }

    /// The load report that an answer or a probe brings.
    pub fn report(&self) -> LoadReport {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let waiting = in_flight.saturating_sub(CORES);
        LoadReport {
            queue_length: Some(waiting as f64),
            in_flight: Some(in_flight as f64),
            ..LoadReport::default()
        }
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    fn count_attempt(&self, second: u64) -> u64 {
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        if attempts.second != second {
            *attempts = AttemptsInSecond {
                second,
                attempts: 0,
            };
        }
        attempts.attempts += 1;
        attempts.attempts
    }
}

/// A request in flight at an endpoint.
pub(super) struct InFlight(Arc<SimulatedEndpoint>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
