//! Property test with random sequences of events that a host may send: rules 1 to 3, 5 and 6 hold, and every action is
//! valid.
//!
//! 1. Each request has exactly one final answer, in time.
//! 2. A request that may have run is sent again, or rejected, only if its idempotency permits another run.
//! 3. No request is sent to an endpoint that is not serving.
//! 4. All balancers together do not overload a warming endpoint. This concerns several balancers, and is tested in
//!    `slow_start.rs` and `slow_start_fleet`.
//! 5. Requests with the same key are sent in key order.
//! 6. Idle connections to a draining endpoint are closed in time.

use crate::host::*;
use crate::sequence_model::Model;
use crate::sequence_step::{Step, steps};
use balancer_sidecar::policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

/// The classes that have key order.
const KEY_ORDERED_CLASSES: [usize; 3] = [1, 3, 4];

/// Returns settings with key order, a key cooldown and a limit on idle connections. The seed varies the price of
/// attempts across zones, and the discovery mode.
fn sequence_settings(seed: u64, parallel_attempts: bool) -> Settings {
    let mut settings = default_settings();
    settings.limits.parallel_attempts = parallel_attempts;
    (settings.rules.drain_close, settings.rules.key_cooldown) = (Some(ms(200)), Some(ms(50)));
    for class in KEY_ORDERED_CLASSES {
        settings.classes[class].is_key_ordered = true;
    }
    settings.prices.cross_zone = if seed.is_multiple_of(2) { 0.01 } else { 0.0 };
    settings.discovery = if seed.is_multiple_of(3) {
        DiscoveryMode::OnRequest
    } else {
        DiscoveryMode::Pushed
    };
    settings
}

/// Runs a sequence and the 4 s after it, by which all requests must have ended.
fn run_sequence(seed: u64, parallel_attempts: bool, steps: Vec<Step>) {
    let mut model = Model::new(sequence_settings(seed, parallel_attempts), seed);
    model.apply_cached_list();
    for step in steps {
        model.execute(step);
    }
    let end_time = model.now + ms(4000);
    model.run_to(end_time);
    for (id, record) in &model.requests {
        assert!(record.is_answered, "rule 1: {id:?} was never answered");
    }
    // If all tables are empty, every entry was removed exactly once, however its request or attempt ended.
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
        "pending, queued and in flight"
    );
}

#[test]
fn rules_hold_on_random_sequences() {
    let mut config = Config::with_cases(600);
    config.rng_algorithm = RngAlgorithm::ChaCha;
    config.rng_seed = RngSeed::Fixed(20_240_611);
    config.failure_persistence = None;
    let mut runner = TestRunner::new(config);
    let case_strategy = (0..1000u64, any::<bool>(), steps());
    runner
        .run(&case_strategy, |(seed, parallel_attempts, steps)| {
            run_sequence(seed, parallel_attempts, steps);
            Ok(())
        })
        .expect("a rule is violated");
}
