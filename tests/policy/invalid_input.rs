//! Tests of arbitrary events, unknown ids and invalid settings.

use crate::host::*;
use balancer_sidecar::policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use std::time::Duration;

/// Generates durations, with zero and the maximum.
fn any_duration() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::from_nanos(1)),
        Just(Duration::MAX),
        (0..3000u64).prop_map(ms),
    ]
}

/// Generates timestamps, with zero and the maximum.
fn any_timestamp() -> impl Strategy<Value = Timestamp> {
    prop_oneof![
        Just(Timestamp::default()),
        Just(Timestamp::from_nanos(u64::MAX)),
        (0..5000u64).prop_map(at),
    ]
}

/// Generates numbers, with negative, infinite and undefined ones.
fn any_number() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY),
        Just(-1.0),
        Just(f64::MIN_POSITIVE),
        0.0..10.0f64,
    ]
}

/// Generates one of six names. Several events then refer to the same request, endpoint or key.
fn any_name(prefix: &'static str) -> impl Strategy<Value = String> {
    (0..6u8).prop_map(move |number| format!("{prefix}{number}"))
}

fn any_report() -> impl Strategy<Value = Option<LoadReport>> {
    prop::option::of((any_number(), any_number(), any_number())).prop_map(|values| {
        values.map(|(queue_length, in_flight, utilisation)| LoadReport {
            queue_length: Some(queue_length),
            in_flight: Some(in_flight),
            utilisation: Some(utilisation),
            ..LoadReport::default()
        })
    })
}

fn any_event() -> impl Strategy<Value = Event> {
    let kind = prop_oneof![
        Just(ListKind::Full),
        Just(ListKind::Cached),
        Just(ListKind::Changes)
    ];
    let readiness = prop_oneof![
        Just(Readiness::Serving),
        Just(Readiness::Draining),
        Just(Readiness::Removed)
    ];
    let entry = (
        any_name("e"),
        readiness,
        any_number(),
        prop::option::of(any_timestamp()),
    )
        .prop_map(|(name, readiness, weight, started_at)| EndpointEntry {
            readiness,
            weight,
            started_at,
            ..endpoint_entry(&name, "a", 0)
        });
    let outcome = (0..8usize).prop_map(|index| {
        use Outcome::*;
        [
            Served,
            Error,
            Rejected,
            TimedOut,
            ConnectFailed,
            Reset,
            Cancelled,
            NotSent,
        ][index]
    });
    let request = (
        any_name("r"),
        0..9usize,
        prop::option::of(0..3usize),
        prop::option::of(any_name("k")),
        any_timestamp(),
        any_duration(),
    );
    prop_oneof![
        2 => (kind, prop::collection::vec(entry, 0..5))
            .prop_map(|(kind, entries)| Event::EndpointList { version: 0, kind, entries: entries.into() }),
        6 => request.prop_map(|(id, class, tenant, key, deadline, hint)| Event::Request(Request {
            id: id.as_str().into(),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            key: key.as_deref().map(Key::from),
            deadline,
            cost_hint: Some(hint),
            client_retry: false,
            write: false,
        })),
        6 => (any_name("r"), 0..4usize, outcome, any_duration(), any::<bool>(), any_report()).prop_map(
            |(id, attempt, outcome, elapsed, request_ended, report)| Event::AttemptEnded(AttemptEnd {
                request: id.as_str().into(), attempt, outcome, elapsed, request_ended, report,
            })
        ),
        1 => (any_name("r"), 0..4usize)
            .prop_map(|(id, attempt)| Event::StreamStarted { request: id.as_str().into(), attempt }),
        1 => any_name("r").prop_map(|id| Event::ClientDisconnected { request: id.as_str().into() }),
        1 => any::<u64>().prop_map(|token| Event::Timer { token }),
        1 => (any_name("e"), any_duration(), any_report()).prop_map(|(name, elapsed, report)| Event::HealthCheckEnded {
            endpoint: name.as_str().into(), outcome: Outcome::Served, elapsed, report,
        }),
        1 => Just(Event::PeerMessage { from: PeerId(99), data: vec![1] }),
        1 => (any_name("e"), any::<bool>())
            .prop_map(|(name, is_disabled)| {
                let endpoint = name.as_str().into();
                if is_disabled { Event::EndpointDisabled(endpoint) } else { Event::EndpointEnabled(endpoint) }
            }),
        1 => Just(Event::DiscoveryFailed),
        1 => Just(Event::DiscoveryRejected),
        1 => Just(Event::DiscoverySlow),
        1 => Just(Event::ListConfirmed),
        1 => any::<u64>().prop_map(|nanos| Event::ListUnconfirmed { since: Timestamp::from_nanos(nanos) }),
        1 => any_name("e").prop_map(|name| Event::ProcessEnded { endpoint: name.as_str().into() }),
    ]
}

/// An input to the balancer: an event, or new settings.
#[derive(Clone, Debug)]
enum Input {
    Event(Event),
    /// The number of classes, the priority weight of the first class, and the number of tenants.
    Settings {
        classes: usize,
        priority_weight: f64,
        tenants: usize,
    },
}

fn any_input() -> impl Strategy<Value = Input> {
    let settings = (1..6usize, 0.5..20.0f64, 0..3usize);
    prop_oneof![
        9 => any_event().prop_map(Input::Event),
        1 => settings.prop_map(|(classes, priority_weight, tenants)| Input::Settings { classes, priority_weight, tenants }),
    ]
}

fn tenants(tenant_count: usize) -> Vec<Tenant> {
    (0..tenant_count)
        .map(|number| Tenant {
            name: format!("t{number}"),
            quota_share: 0.0,
            quota_per_s: 0.0,
        })
        .collect()
}

/// Guards the host's process: no sequence of events and settings, in any order and at any time, makes the module panic.
#[test]
fn random_events_do_not_panic() {
    let mut config = Config::with_cases(600);
    config.rng_algorithm = RngAlgorithm::ChaCha;
    config.rng_seed = RngSeed::Fixed(20_261_128);
    config.failure_persistence = None;
    let input = (
        any::<u64>(),
        prop::collection::vec((any_timestamp(), any_input()), 1..80),
    );
    TestRunner::new(config)
        .run(&input, |(seed, inputs)| {
            let mut settings = default_settings();
            (
                settings.classes[1].is_key_ordered,
                settings.classes[0].objective_per_work,
            ) = (true, 1e9);
            settings.rules.key_cooldown = Some(ms(50));
            settings.rules.drain_close = Some(ms(50));
            settings.discovery = if seed.is_multiple_of(2) {
                DiscoveryMode::OnRequest
            } else {
                DiscoveryMode::Pushed
            };
            settings.tenants = tenants(1);
            let mut balancer = Balancer::new(settings.clone(), seed).expect("valid settings");
            let mut actions = Vec::new();
            for (now, input) in inputs {
                match input {
                    Input::Event(event) => balancer.handle(now, event, &mut actions),
                    Input::Settings {
                        classes,
                        priority_weight,
                        tenants: tenant_count,
                    } => {
                        let mut settings = settings.clone();
                        settings.classes.truncate(classes);
                        (settings.classes[0].priority_weight, settings.tenants) =
                            (priority_weight, tenants(tenant_count));
                        let ids = balancer
                            .change_settings(now, settings, &mut actions)
                            .expect("valid settings");
                        prop_assert_eq!(ids.len(), classes);
                    }
                }
            }
            Ok(())
        })
        .expect("no input fails");
}

/// Guards pending requests against events with unknown or duplicate ids.
#[test]
fn unknown_ids_are_ignored() {
    let mut host = Host::new(default_settings(), endpoint_entries(2));
    let (id, _) = host.request(0);
    let request_with = |class, tenant| Request {
        id: "new".into(),
        class: ClassId(class),
        tenant,
        key: None,
        deadline: at(500),
        cost_hint: None,
        client_retry: false,
        write: false,
    };
    let events = [
        Event::Request(request_with(99, None)),
        Event::Request(request_with(0, Some(TenantId(3)))),
        Event::Request(Request {
            id: id.clone(),
            ..request_with(0, None)
        }),
        Event::ClientDisconnected {
            request: "nobody".into(),
        },
        Event::StreamStarted {
            request: "nobody".into(),
            attempt: 0,
        },
        Event::StreamStarted {
            request: id.clone(),
            attempt: 7,
        },
        Event::HealthCheckEnded {
            endpoint: "nowhere".into(),
            outcome: Outcome::Served,
            elapsed: ms(1),
            report: None,
        },
    ];
    for event in events {
        let description = format!("{event:?}");
        assert_eq!(host.handle(event), [], "{description}");
    }
    host.end_attempt(&id, 9, Outcome::Served, 5, 0.0);
    let actions = host.end_attempt(&id, 0, Outcome::ConnectFailed, 5, 0.0);
    assert_eq!(
        send_targets(&actions).len() + count_final_answers(&actions, &id),
        1,
        "the request is no longer pending"
    );
}

#[test]
fn invalid_settings_error_names_the_field() {
    type Change = fn(&mut Settings);
    let cases: [(&str, Change); 12] = [
        ("balancers", |s| s.balancers = 0),
        ("classes", |s| s.classes.clear()),
        ("limits.max_attempts", |s| s.limits.max_attempts = 0),
        ("classes[1].priority_weight", |s| {
            s.classes[1].priority_weight = f64::NAN;
        }),
        ("classes[0].late_value", |s| s.classes[0].late_value = 1.5),
        ("classes[2].objective", |s| {
            s.classes[2].objective = Duration::ZERO;
        }),
        ("classes[2].deadline", |s| {
            s.classes[2].deadline = Duration::MAX;
        }),
        ("rules.initial_capacity", |s| {
            s.rules.initial_capacity = -0.1;
        }),
        ("rules.overload_multiple", |s| {
            s.rules.overload_multiple = f64::INFINITY;
        }),
        ("rules.drain_close", |s| {
            s.rules.drain_close = Some(Duration::MAX);
        }),
        ("prices.cross_zone", |s| s.prices.cross_zone = f64::NAN),
        ("rules.poll_interval", |s| {
            (s.discovery, s.rules.poll_interval) = (DiscoveryMode::OnRequest, Duration::ZERO);
        }),
    ];
    assert!(Balancer::new(default_settings(), 1).is_ok());
    for (field, change) in cases {
        let mut settings = default_settings();
        change(&mut settings);
        let error = Balancer::new(settings, 1).expect_err(field);
        assert_eq!(error.field, field);
        assert!(error.to_string().starts_with(field));
    }
}
