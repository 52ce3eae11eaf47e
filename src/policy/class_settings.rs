//! The settings of request classes and tenants.

use std::time::Duration;

/// The idempotency of requests: how often one may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// The endpoints in the key scope drop repeats with the same key for a time.
    Keyed {
        /// The endpoints that deduplicate requests among themselves.
        scope: KeyScope,
        /// The time for which repeats are dropped, counted from the send of the first attempt that may have run.
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

/// The endpoints that deduplicate a keyed request among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints of the tier.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one group. The configuration calls this scope `cell`.
    Group,
}

/// A request class. Its requests have the same objective, deadline, priority weight and idempotency.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name that the host uses.
    pub name: String,
    /// The latency objective: an answer within it has full value.
    pub objective: Duration,
    /// The growth of the objective with a request's work, as a multiple of its cost hint.
    pub objective_per_work: f64,
    /// The time after which a client gives up.
    pub deadline: Duration,
    /// The value of one request, which orders the classes by priority.
    pub priority_weight: f64,
    /// The fraction of its value that an answer after the objective keeps.
    pub late_value: f64,
    /// The idempotency of its requests.
    pub idempotency: Idempotency,
    /// True if the answer is a stream.
    pub stream: bool,
    /// True if requests with the same key are sent one at a time, in order of arrival at this balancer.
    pub is_key_ordered: bool,
}

impl Class {
    /// Creates a class without late value, streaming and key order; set the other fields as needed.
    #[must_use]
    pub fn new(
        name: &str,
        priority_weight: f64,
        idempotency: Idempotency,
        objective: Duration,
        deadline: Duration,
    ) -> Self {
        Class {
            name: name.into(),
            objective,
            objective_per_work: 0.0,
            deadline,
            priority_weight,
            late_value: 0.0,
            idempotency,
            stream: false,
            is_key_ordered: false,
        }
    }
}

/// A tenant with an agreed quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The name that the host uses.
    pub name: String,
    /// The fraction of the service that is agreed for the tenant.
    pub quota_share: f64,
    /// The requests per second within that fraction, over all balancers.
    pub quota_per_s: f64,
}
