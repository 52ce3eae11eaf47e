//! Drives one balancer by hand: list, request, throttling, queueing, timer and drain.
//!
//! `cargo run --example embed`

use balancer_sidecar::policy::*;
use std::time::Duration;

/// A host that prints events and actions instead of carrying them out.
struct Host {
    balancer: Balancer,
    now: Timestamp,
}

impl Host {
    fn handle(&mut self, description: &str, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        println!("{description}:");
        for action in &actions {
            println!("    {action:?}");
        }
        actions
    }

    fn request_arrives(&mut self, id: &str, class: usize) -> Vec<Action> {
        let request = Request {
            id: id.into(),
            class: ClassId(class),
            tenant: None,
            key: None,
            deadline: self.now + Duration::from_secs(2),
            cost_hint: None,
            client_retry: false,
            write: false,
        };
        self.handle(&format!("request {id} arrives"), Event::Request(request))
    }

    fn request_is_served(&mut self, id: &str, queue_length: f64) -> Vec<Action> {
        let elapsed = Duration::from_millis(20);
        self.now = self.now + elapsed;
        let ended = AttemptEnd {
            request: id.into(),
            attempt: 0,
            outcome: Outcome::Served,
            elapsed,
            request_ended: true,
            report: Some(LoadReport {
                queue_length: Some(queue_length),
                ..LoadReport::default()
            }),
        };
        self.handle(
            &format!("request {id} is served, the queue length is {queue_length}"),
            Event::AttemptEnded(ended),
        )
    }

    fn list_arrives(&mut self, readiness: Readiness) -> Vec<Action> {
        let entry = EndpointEntry {
            endpoint: "box-1".into(),
            zone: "here".into(),
            machine_type: "box".into(),
            group: GroupId(0),
            readiness,
            weight: 1.0,
            started_at: None,
        };
        let list = Event::EndpointList {
            version: 1,
            kind: ListKind::Changes,
            entries: [entry].into(),
        };
        self.handle(&format!("the endpoint is listed as {readiness:?}"), list)
    }

    /// Lets timers expire until a request is sent or rejected.
    fn run_timers(&mut self, mut actions: Vec<Action>) {
        const MAX_TIMERS: usize = 1000;
        for _ in 0..MAX_TIMERS {
            let is_decided = actions
                .iter()
                .any(|action| matches!(action, Action::Send { .. } | Action::Reject { .. }));
            if is_decided {
                return;
            }
            // A real host keeps several timers and reports them in order. Here there is only one at a time.
            let timer = actions.iter().find_map(|action| match action {
                Action::SetTimer { at, token } => Some((*at, *token)),
                _ => None,
            });
            let Some((at, token)) = timer else { return };
            self.now = at;
            actions = self.handle("a timer expires", Event::Timer { token });
        }
    }
}

fn main() -> Result<(), SettingsError> {
    let (objective, deadline) = (Duration::from_secs(1), Duration::from_secs(3));
    let classes = vec![
        Class::new("browse", 1.0, Idempotency::Idempotent, objective, deadline),
        Class::new("order", 5.0, Idempotency::Unsafe, objective, deadline),
    ];
    let mut settings = Settings::new("here".into(), classes);
    settings.rules.drain_close = Some(Duration::from_millis(500));
    let mut host = Host {
        balancer: Balancer::new(settings, 42)?,
        now: Timestamp::from_nanos(1_000_000_000),
    };

    host.list_arrives(Readiness::Serving);
    host.request_arrives("a", 1); // sent
    host.request_is_served("a", 0.9); // past the onset threshold of the lower priority level only
    host.request_arrives("b", 1); // the higher priority is still sent
    host.request_is_served("b", 0.9);
    let actions = host.request_arrives("c", 0); // throttled: queued, with a timer
    host.run_timers(actions);
    host.request_is_served("c", 0.0);
    host.list_arrives(Readiness::Draining); // idle connections are closed
    host.request_arrives("d", 0); // no endpoint takes it: queued
    for number in 0..5 {
        host.request_arrives(&format!("e{number}"), 0); // queued; the newest is rejected only past the queue limit
    }
    Ok(())
}
