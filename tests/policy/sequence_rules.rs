//! Records of requests in the model of `random_sequences.rs`, and the rules on sends and rejections.

use balancer_sidecar::policy::*;
use std::collections::BTreeMap;

/// Returns the zone of an endpoint.
pub fn zone_of(endpoint: usize) -> &'static str {
    if endpoint < 4 { "a" } else { "b" }
}

/// Returns the group of an endpoint.
pub fn group_of(endpoint: usize) -> u64 {
    (endpoint / 2) as u64
}

/// The outcome of an attempt and the time of its end.
pub struct AttemptEnding {
    pub outcome: Outcome,
    pub at: Timestamp,
}

/// An attempt of a request.
pub struct AttemptRecord {
    pub endpoint: usize,
    pub sent_at: Timestamp,
    pub times_out_at: Timestamp,
    pub ending: Option<AttemptEnding>,
}

impl AttemptRecord {
    /// Returns whether the attempt may have run, or may still run.
    fn may_have_run(&self) -> bool {
        self.ending
            .as_ref()
            .is_none_or(|ending| !ending.outcome.proves_not_run())
    }
}

/// A request that has arrived.
pub struct RequestRecord {
    pub class: usize,
    pub key: Option<u8>,
    pub arrival_number: usize,
    pub deadline: Timestamp,
    pub attempts: Vec<AttemptRecord>,
    pub is_answered: bool,
}

impl RequestRecord {
    /// Returns the attempts that may have run, or may still run.
    fn possible_runs(&self) -> impl Iterator<Item = &AttemptRecord> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_have_run())
    }
}

/// Checks the rules on requests at one time.
pub struct RuleCheck<'a> {
    pub settings: &'a Settings,
    pub now: Timestamp,
}

impl RuleCheck<'_> {
    /// Rule 2: a request that may have run is sent again only if its idempotency permits it.
    pub fn check_resend(&self, record: &RequestRecord, endpoint: usize) {
        let mut possible_runs = record.possible_runs();
        match self.settings.classes[record.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::Unsafe => {
                assert!(
                    possible_runs.next().is_none(),
                    "rule 2: an unsafe request was sent again"
                );
            }
            Idempotency::Keyed { scope, window } => {
                for earlier in possible_runs {
                    assert!(
                        self.now.since(earlier.sent_at) < window,
                        "rule 2: sent again after the idempotency window"
                    );
                    let is_in_scope = match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => zone_of(earlier.endpoint) == zone_of(endpoint),
                        KeyScope::Group => group_of(earlier.endpoint) == group_of(endpoint),
                    };
                    assert!(is_in_scope, "rule 2: sent again outside the key scope");
                }
            }
        }
    }

    /// Rule 2: a request that may have run is rejected only if its idempotency permits a retry by the client.
    pub fn check_reject(&self, record: &RequestRecord) {
        let mut possible_runs = record.possible_runs();
        match self.settings.classes[record.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::Keyed {
                scope: KeyScope::All,
                window,
            } => assert!(
                possible_runs.all(|attempt| self.now.since(attempt.sent_at) < window),
                "rule 2: rejected after the idempotency window"
            ),
            _ => assert!(
                possible_runs.next().is_none(),
                "rule 2: a request that may have run was rejected"
            ),
        }
    }

    /// Rule 5: a request is sent only after all earlier requests of its key were answered, none of their attempts is in
    /// flight, and the key cooldown has passed.
    pub fn check_key_order(
        &self,
        record: &RequestRecord,
        requests: &BTreeMap<RequestId, RequestRecord>,
    ) {
        let is_ordered = |record: &RequestRecord| {
            self.settings.classes[record.class].is_key_ordered && record.key.is_some()
        };
        if !is_ordered(record) {
            return;
        }
        let is_earlier = |other: &&RequestRecord| {
            is_ordered(other)
                && other.key == record.key
                && other.arrival_number < record.arrival_number
        };
        for earlier in requests.values().filter(is_earlier) {
            assert!(
                earlier.is_answered,
                "rule 5: sent before an earlier request of the key was answered"
            );
            for attempt in &earlier.attempts {
                let ending = attempt.ending.as_ref();
                let ending = ending.expect("rule 5: sent with an earlier attempt in flight");
                let may_still_run = matches!(
                    ending.outcome,
                    Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
                );
                let cooldown = self.settings.rules.key_cooldown.unwrap_or_default();
                assert!(
                    !may_still_run
                        || self.now.since(ending.at) >= cooldown
                        || !record.attempts.is_empty(),
                    "rule 5: sent during the key cooldown"
                );
            }
        }
    }
}
