//! Retries: the conditions for another attempt, the endpoints that it may go to, and the retry budget of a request.

use super::balancer::Balancer;
use super::class_settings::{Idempotency, KeyScope};
use super::pending::{PendingRequest, RetryScope};
use super::time::Timestamp;

/// The number of retries that a request adds to the budget.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.2;

impl Balancer {
    /// Returns the scope of a request's next attempt; `None` if it may have no further attempt.
    pub(super) fn retry_scope(
        &self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<RetryScope> {
        let are_attempts_used_up = pending.attempts.len() >= self.settings.limits.max_attempts;
        if pending.is_answered || pending.is_body_consumed || are_attempts_used_up {
            return None;
        }
        let Some(first) = pending.possible_runs().next() else {
            return Some(RetryScope::Anywhere);
        };
        match self.settings.classes[pending.request.class.0].idempotency {
            Idempotency::Idempotent => Some(RetryScope::Anywhere),
            Idempotency::Unsafe => None,
            Idempotency::Keyed { window, .. } if now.since(first.sent_at) >= window => None,
            Idempotency::Keyed { scope, .. } => {
                let endpoint = &self.endpoints[first.endpoint];
                Some(match scope {
                    KeyScope::All => RetryScope::Anywhere,
                    KeyScope::Zone => RetryScope::Zone(endpoint.zone.clone()),
                    KeyScope::Group => RetryScope::Group(endpoint.group),
                })
            }
        }
    }

    /// Returns whether the client can safely repeat the request: it is idempotent, it has not run, or a repeat is
    /// deduplicated.
    pub(super) fn is_retry_harmless(&self, now: Timestamp, pending: &PendingRequest) -> bool {
        let mut possible_runs = pending.possible_runs();
        match self.settings.classes[pending.request.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: KeyScope::All,
                window,
            } => possible_runs.all(|attempt| now.since(attempt.sent_at) < window),
            Idempotency::Keyed { .. } | Idempotency::Unsafe => possible_runs.next().is_none(),
        }
    }
}
