//! Random legal sequences of events against the module: rules 1 to 3, 5 and 6, and the legality of every action.
//! Rule 4 needs all instances together; `slow_start.rs` has it.

use crate::host::*;
use crate::legal_model::*;
use balancer_sidecar::policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn run_sequence(seed: u64, parallel: bool, steps: Vec<Step>) {
    let mut settings = default_settings();
    settings.limits.parallel_attempts = parallel;
    (settings.rules.drain_close, settings.rules.key_cooldown) = (Some(ms(200)), Some(ms(50)));
    for c in &[1, 3, 4] {
        settings.classes[*c].is_key_ordered = true;
    }
    settings.prices.cross_zone = if seed.is_multiple_of(2) { 0.01 } else { 0.0 };
    settings.discovery = if seed.is_multiple_of(3) {
        DiscoveryMode::OnRequest
    } else {
        DiscoveryMode::Pushed
    };
    let balancer = Balancer::new(settings.clone(), seed).expect("settings that make sense");
    let mut model = Model {
        settings,
        balancer,
        now: at(0),
        is_serving: vec![true; 6],
        started_at: vec![None; 6],
        requests: BTreeMap::new(),
        set_timers: BTreeSet::new(),
        idle_connections: vec![IdleConnections::default(); 6],
        parallel,
        seed,
    };
    let mut arrival_count = 0;
    let all = (0..6).map(|i| model.entry(i, Readiness::Serving)).collect();
    model.apply_list(ListKind::Cached, all);
    for step in steps {
        match step {
            Step::RequestArrives {
                class,
                left,
                hint,
                key,
            } => {
                arrival_count += 1;
                let id = RequestId::from(format!("r{arrival_count}").as_str());
                let deadline = model.now + ms(left);
                let record = RequestRecord {
                    class,
                    key,
                    arrival_number: arrival_count,
                    deadline,
                    attempts: Vec::new(),
                    is_answered: false,
                };
                model.requests.insert(id.clone(), record);
                model.handle(Event::Request(Request {
                    id,
                    class: ClassId(class),
                    tenant: None,
                    key: key.map(|k| Key::from(format!("k{k}").as_str())),
                    deadline,
                    cost_hint: hint.map(Duration::from_millis),
                    client_retry: false,
                    write: false,
                }));
            }
            Step::AttemptEnds {
                pick,
                outcome,
                queue_length,
            } => {
                let in_flight = model.in_flight();
                if let Some((_, id, n)) = in_flight.get(pick % in_flight.len().max(1)).cloned() {
                    model.end(&id, n, OUTCOMES[outcome], f64::from(queue_length));
                }
            }
            Step::ClientDisconnects { pick } => {
                let open: Vec<_> = model
                    .requests
                    .iter()
                    .filter(|(_, k)| !k.is_answered)
                    .map(|(id, _)| id.clone())
                    .collect();
                if let Some(id) = open.get(pick % open.len().max(1)).cloned() {
                    model.requests.get_mut(&id).expect("known").is_answered = true;
                    model.handle(Event::ClientDisconnected { request: id });
                }
            }
            Step::ReadinessChanges {
                endpoint,
                readiness,
            } => {
                let readiness = [Readiness::Serving, Readiness::Draining, Readiness::Removed]
                    [usize::from(readiness)];
                model.is_serving[endpoint] = readiness == Readiness::Serving;
                model.drain_notified(endpoint, readiness);
                let entry = model.entry(endpoint, readiness);
                model.apply_list(ListKind::Changes, vec![entry]);
            }
            Step::FullListArrives { missing } => {
                model.is_serving = (0..6).map(|i| i != missing).collect();
                (0..6).for_each(|i| {
                    model.drain_notified(
                        i,
                        if i == missing {
                            Readiness::Removed
                        } else {
                            Readiness::Serving
                        },
                    );
                });
                let list = (0..6)
                    .filter(|i| *i != missing)
                    .map(|i| model.entry(i, Readiness::Serving))
                    .collect();
                model.apply_list(ListKind::Full, list);
            }
            Step::EndpointRestarts { endpoint } => {
                model.started_at[endpoint] = Some(model.now);
                model.is_serving[endpoint] = true;
                model.drain_notified(endpoint, Readiness::Serving);
                let entry = model.entry(endpoint, Readiness::Serving);
                model.apply_list(ListKind::Changes, vec![entry]);
            }
            Step::DiscoveryFails => model.discovery_failed(),
            Step::BalancerRestarts => model.restart_balancer(),
            Step::TimePasses { ms: n } => {
                let end = model.now + ms(n);
                model.run_to(end);
            }
        }
    }
    let end = model.now + ms(4000);
    model.run_to(end);
    for (id, record) in &model.requests {
        assert!(record.is_answered, "rule 1: {id:?} was never answered");
    }
    // Each book is empty again, however requests and attempts ended: nothing was freed twice, or not at all.
    model.handle(Event::Timer { token: 0 });
    let BalancerStatus {
        pending,
        queued,
        in_flight,
        ..
    } = model.balancer.status(model.now);
    assert_eq!(
        (pending, queued, in_flight),
        (0, 0, 0),
        "open, held and in flight"
    );
}

#[test]
fn rules_hold_on_random_legal_sequences() {
    let mut config = Config::with_cases(600);
    config.rng_algorithm = RngAlgorithm::ChaCha;
    config.rng_seed = RngSeed::Fixed(20_240_611);
    config.failure_persistence = None;
    let mut runner = TestRunner::new(config);
    let input = (0..1000u64, any::<bool>(), steps());
    runner
        .run(&input, |(seed, parallel, steps)| {
            run_sequence(seed, parallel, steps);
            Ok(())
        })
        .expect("the rules hold");
}
