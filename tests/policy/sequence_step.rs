//! Random steps of the sequences in `random_sequences.rs`.

use balancer_sidecar::policy::Outcome;
use proptest::prelude::*;

/// One step of a sequence: an event, or the passing of time. A `choice` selects one of the present attempts or requests
/// by its remainder.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    RequestArrives {
        class: usize,
        time_left_ms: u64,
        hint_ms: Option<u64>,
        key: Option<u8>,
    },
    AttemptEnds {
        choice: usize,
        outcome: usize,
        queue_length: u8,
    },
    ClientDisconnects {
        choice: usize,
    },
    ReadinessChanges {
        endpoint: usize,
        readiness: u8,
    },
    FullListArrives {
        missing: usize,
    },
    EndpointRestarts {
        endpoint: usize,
    },
    DiscoveryFails,
    ListIsConfirmed,
    ListIsUnconfirmed,
    ProcessEnds {
        endpoint: usize,
    },
    BalancerRestarts,
    TimePasses {
        ms: u64,
    },
}

/// Returns a strategy for sequences of up to 199 steps.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..5usize, 1..2500u64, prop::option::of(0..200u64), prop::option::of(0..3u8))
            .prop_map(|(class, time_left_ms, hint_ms, key)| Step::RequestArrives { class, time_left_ms, hint_ms, key }),
        8 => (0..64usize, 0..8usize, 0..6u8)
            .prop_map(|(choice, outcome, queue_length)| Step::AttemptEnds { choice, outcome, queue_length }),
        1 => (0..64usize).prop_map(|choice| Step::ClientDisconnects { choice }),
        1 => (0..6usize, 0..3u8).prop_map(|(endpoint, readiness)| Step::ReadinessChanges { endpoint, readiness }),
        1 => (0..6usize).prop_map(|missing| Step::FullListArrives { missing }),
        1 => (0..6usize).prop_map(|endpoint| Step::EndpointRestarts { endpoint }),
        1 => Just(Step::DiscoveryFails),
        1 => Just(Step::ListIsConfirmed),
        1 => Just(Step::ListIsUnconfirmed),
        1 => (0..6usize).prop_map(|endpoint| Step::ProcessEnds { endpoint }),
        1 => Just(Step::BalancerRestarts),
        5 => (0..300u64).prop_map(|ms| Step::TimePasses { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

/// The outcomes of attempts, indexed by `outcome` of [`Step::AttemptEnds`].
pub const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
