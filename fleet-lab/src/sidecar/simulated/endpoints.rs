//! The simulated endpoints that all sidecars of a fleet share: their reachability and the requests in flight.

use balancer_sidecar::policy::{EndpointId, LoadReport};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

/// The number of requests that an endpoint processes at once. Load reports count the other requests in flight as
/// queued.
const CORES_PER_ENDPOINT: u64 = 4;

/// The endpoints of a fleet, by name.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    endpoints: RwLock<HashMap<EndpointId, Arc<SimulatedEndpoint>>>,
    /// The largest number of attempts that reached one endpoint within one second.
    max_attempts_in_a_second: AtomicU64,
}

/// One simulated endpoint.
#[derive(Debug, Default)]
pub(super) struct SimulatedEndpoint {
    in_flight: AtomicU64,
    is_unreachable: AtomicBool,
    /// The number of times that the endpoint has become unreachable.
    outages: AtomicU64,
    attempts: Mutex<AttemptsInSecond>,
}

/// The attempts that reached an endpoint within one second.
#[derive(Debug, Default)]
struct AttemptsInSecond {
    second: u64,
    attempts: u64,
}

impl EndpointTable {
    /// Returns an endpoint by its name. Creates the endpoint at the first use of the name.
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

    /// Counts an attempt that reaches an endpoint. `second` is the number of whole seconds since the start of the
    /// fleet.
    pub fn count_attempt(&self, endpoint: &SimulatedEndpoint, second: u64) {
        let attempts = endpoint.count_attempt(second);
        self.max_attempts_in_a_second
            .fetch_max(attempts, Ordering::Relaxed);
    }

    /// Returns the largest number of attempts that reached one endpoint within one second.
    pub fn max_attempts_in_a_second(&self) -> u64 {
        self.max_attempts_in_a_second.load(Ordering::Relaxed)
    }
}

impl SimulatedEndpoint {
    /// Makes the endpoint unreachable. Requests that are in flight get no response.
    pub fn make_unreachable(&self) {
        let was_unreachable = self.is_unreachable.swap(true, Ordering::Relaxed);
        if !was_unreachable {
            self.outages.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Makes the endpoint reachable again.
    pub fn make_reachable(&self) {
        self.is_unreachable.store(false, Ordering::Relaxed);
    }

    /// Returns true while new attempts cannot connect.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable.load(Ordering::Relaxed)
    }

    /// Returns the number of times that the endpoint has become unreachable. An attempt gets no response if this number
    /// changes during the attempt.
    pub fn outages(&self) -> u64 {
        self.outages.load(Ordering::Relaxed)
    }

    /// Returns the load report for responses to requests and to health checks.
    pub fn load_report(&self) -> LoadReport {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let queued = in_flight.saturating_sub(CORES_PER_ENDPOINT);
        LoadReport {
            queue_length: Some(queued as f64),
            in_flight: Some(in_flight as f64),
            ..LoadReport::default()
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Counts an attempt. Returns the number of attempts within this second.
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

/// A guard that counts a request as in flight at an endpoint until it is dropped.
pub(super) struct InFlightGuard(Arc<SimulatedEndpoint>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
