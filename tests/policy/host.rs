//! Fixtures of the decision module's tests: default settings, a host that drives one balancer, and functions that read
//! its actions.

use balancer_sidecar::policy::*;
use std::sync::Arc;
use std::time::Duration;

/// Returns a duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the time that is a number of milliseconds after the start of the test.
pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_nanos(1_000_000_000_000 + millis * 1_000_000)
}

/// Returns a class with an objective of 1 s and a deadline of 3 s.
pub fn class(name: &str, priority_weight: f64, idempotency: Idempotency) -> Class {
    Class {
        name: name.into(),
        objective: ms(1000),
        objective_per_work: 0.0,
        deadline: ms(3000),
        priority_weight,
        late_value: 0.0,
        idempotency,
        stream: false,
        is_key_ordered: false,
    }
}

/// Returns settings with the classes 0 (idempotent), 1 (unsafe), and 2 to 4 (keyed, one for each key scope).
pub fn default_settings() -> Settings {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: ms(300),
    };
    Settings {
        balancers: 4,
        peer_id: PeerId(0),
        zone: "a".into(),
        zones: 1,
        tier: 0,
        tiers: 1,
        propagates_deadline: true,
        endpoints_cache_by_key: false,
        classes: vec![
            class("safe", 1.0, Idempotency::Idempotent),
            class("unsafe", 3.0, Idempotency::Unsafe),
            class("keyed-all", 2.0, keyed(KeyScope::All)),
            class("keyed-zone", 2.0, keyed(KeyScope::Zone)),
            class("keyed-cell", 2.0, keyed(KeyScope::Group)),
        ],
        tenants: Vec::new(),
        over_share_value: 0.0,
        limits: Limits {
            cancel: true,
            health_checks: false,
            peer_messages: false,
            parallel_attempts: false,
            retry_after: true,
            max_retry_after: ms(2000),
            max_attempts: 3,
            max_open_requests: 10_000,
            streams_per_connection: 1,
            idle_timeout: ms(5000),
            connect_timeout: ms(250),
        },
        rules: Rules {
            answer_slack: ms(20),
            drain_grace: ms(500),
            poll_interval: ms(10_000),
            initial_capacity: 0.3,
            warm_up_time: ms(10_000),
            overload_multiple: 3.0,
            overload_window: ms(1000),
            drain_close: None,
            key_cooldown: None,
        },
        prices: Prices::default(),
        discovery: DiscoveryMode::Pushed,
        weight_source: WeightSource::None,
        reporting: Reporting::WithResponses,
        value_basis: ValueBasis::Request,
        clients_mark_retries: false,
        tick: ms(1),
    }
}

/// Returns the entry of a serving endpoint.
pub fn endpoint_entry(name: &str, zone: &str, group: u64) -> EndpointEntry {
    EndpointEntry {
        endpoint: name.into(),
        zone: zone.into(),
        machine_type: "box".into(),
        group: GroupId(group),
        readiness: Readiness::Serving,
        weight: 1.0,
        started_at: None,
    }
}

/// Returns the entries of the endpoints `e0`, `e1` and so on, in zone `a`.
pub fn endpoint_entries(count: usize) -> Vec<EndpointEntry> {
    (0..count)
        .map(|number| endpoint_entry(&format!("e{number}"), "a", 0))
        .collect()
}

/// A host that drives one balancer on a simulated clock.
pub struct Host {
    pub balancer: Balancer,
    pub now: Timestamp,
    next_request: u64,
}

impl Host {
    /// Creates a host whose balancer has a cached list of the given endpoints.
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let mut host = Host {
            balancer: Balancer::new(settings, 7).expect("valid settings"),
            now: at(0),
            next_request: 0,
        };
        host.apply_list(ListKind::Cached, entries);
        host
    }

    /// Has the balancer handle an event, and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Has the balancer handle an endpoint list.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.handle(Event::EndpointList {
            version: 1,
            kind,
            entries: Arc::from(entries),
        })
    }

    /// Has the balancer handle a failed call of discovery.
    pub fn discovery_failed(&mut self) -> Vec<Action> {
        self.handle(Event::DiscoveryFailed)
    }

    /// Has the balancer handle a new request of a class.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_of_tenant(class, None)
    }

    /// Has the balancer handle a new request of a class and a tenant.
    pub fn request_of_tenant(
        &mut self,
        class: usize,
        tenant: Option<TenantId>,
    ) -> (RequestId, Vec<Action>) {
        self.request_with(class, tenant, None)
    }

    /// Has the balancer handle a new request of a class with a key.
    pub fn keyed_request(&mut self, class: usize, key: &str) -> (RequestId, Vec<Action>) {
        self.request_with(class, None, Some(key.into()))
    }

    fn request_with(
        &mut self,
        class: usize,
        tenant: Option<TenantId>,
        key: Option<Key>,
    ) -> (RequestId, Vec<Action>) {
        self.next_request += 1;
        let id = RequestId::from(format!("r{}", self.next_request).as_str());
        let request = Request {
            id: id.clone(),
            class: ClassId(class),
            tenant,
            key,
            deadline: self.now + ms(2000),
            cost_hint: None,
            client_retry: false,
            write: false,
        };
        (id, self.handle(Event::Request(request)))
    }

    /// Ends an attempt `elapsed_ms` milliseconds after its send, with a load report that contains the queue length.
    pub fn end_attempt(
        &mut self,
        id: &RequestId,
        attempt: usize,
        outcome: Outcome,
        elapsed_ms: u64,
        queue_length: f64,
    ) -> Vec<Action> {
        let report = Some(LoadReport {
            queue_length: Some(queue_length),
            ..LoadReport::default()
        });
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: id.clone(),
            attempt,
            outcome,
            elapsed: ms(elapsed_ms),
            request_ended: outcome == Outcome::Served,
            report,
        }))
    }

    /// Serves requests of the unsafe class, 10 ms apart, with load reports that contain the queue length.
    pub fn serve_requests(&mut self, requests: usize, queue_length: f64) {
        for _ in 0..requests {
            let (id, actions) = self.request(1);
            self.now = self.now + ms(10);
            if send_targets(&actions).is_empty() {
                continue;
            }
            self.end_attempt(&id, 0, Outcome::Served, 10, queue_length);
        }
    }
}

/// Returns the endpoints of the send actions, in order.
pub fn send_targets(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint_of = |action: &Action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    };
    actions.iter().filter_map(endpoint_of).collect()
}

/// Returns the requests of the send actions, in order.
pub fn sent_requests(actions: &[Action]) -> Vec<RequestId> {
    let request_of = |action: &Action| match action {
        Action::Send { request, .. } => Some(request.clone()),
        _ => None,
    };
    actions.iter().filter_map(request_of).collect()
}

/// Returns the endpoints whose idle connections the actions close.
pub fn closed_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint_of = |action: &Action| match action {
        Action::CloseIdleConnections { endpoint } => Some(endpoint.clone()),
        _ => None,
    };
    actions.iter().filter_map(endpoint_of).collect()
}

/// Returns the times and tokens of the timers that the actions set.
pub fn requested_timers(actions: &[Action]) -> Vec<(Timestamp, u64)> {
    let timer = |action: &Action| match action {
        Action::SetTimer { at, token } => Some((*at, *token)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// Counts the actions that reject or fail a request.
pub fn count_final_answers(actions: &[Action], id: &RequestId) -> usize {
    let is_final_answer = |action: &&Action| matches!(action, Action::Reject { request, .. } | Action::Fail { request } if request == id);
    actions.iter().filter(is_final_answer).count()
}

/// Returns settings with two priority levels.
pub fn two_level_settings() -> Settings {
    let mut settings = default_settings();
    // The priority weights 1 and 3 make two levels, with thresholds at equal distances from 0.3 to 2.6.
    settings.classes.truncate(2);
    settings
}

/// Returns whether a request of a class is sent at once. Ends the request without an effect on the endpoint's state.
pub fn is_sent_at_once(host: &mut Host, class: usize) -> bool {
    let (id, actions) = host.request(class);
    let is_sent = send_targets(&actions).len() == 1;
    if is_sent {
        // An attempt that was not sent gives no information about the endpoint.
        host.end_attempt(&id, 0, Outcome::NotSent, 0, 0.0);
    }
    host.handle(Event::ClientDisconnected { request: id });
    is_sent
}

/// Returns a host whose endpoints report their load only in answers to health checks, which have the given price.
pub fn host_with_health_checks(price: f64) -> Host {
    let mut settings = two_level_settings();
    settings.limits.health_checks = true;
    settings.reporting = Reporting::WithHealthChecks;
    settings.prices.health_check = price;
    Host::new(settings, endpoint_entries(4))
}

/// Returns the endpoints to which the actions send health checks.
pub fn checked_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint_of = |action: &Action| match action {
        Action::HealthCheck { endpoint } => Some(endpoint.clone()),
        _ => None,
    };
    actions.iter().filter_map(endpoint_of).collect()
}

/// Serves requests, 20 ms apart, and returns how many were sent to the given endpoint.
pub fn count_sent_to(host: &mut Host, endpoint: &str, requests: usize) -> usize {
    let mut count = 0;
    for _ in 0..requests {
        host.now = host.now + ms(20);
        let (id, actions) = host.request(0);
        let request_targets = send_targets(&actions);
        count += request_targets
            .iter()
            .filter(|e| **e == endpoint.into())
            .count();
        if !request_targets.is_empty() {
            host.end_attempt(&id, 0, Outcome::Served, 10, 0.0);
        }
    }
    count
}
