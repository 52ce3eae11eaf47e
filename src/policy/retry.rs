//! Retries: whether a request may have another attempt, where, and how many all requests may have.

use super::balancer::Balancer;
use super::pending::{PendingRequest, RetryScope};
use super::settings::{Idempotency, KeyScope};
use super::time::Timestamp;

/// Retries that each request pays for.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.2;
/// How many may be saved up.
pub(super) const MAX_SAVED_RETRIES: f64 = 10.0;

impl Balancer {
    /// Where a request may have its next attempt; `None` where it may have none.
    pub(super) fn retry_scope(
        &self,
        now: Timestamp,
        pending: &PendingRequest,
    ) -> Option<RetryScope> {
        let is_spent = pending.attempts.len() >= self.settings.limits.max_attempts;
        if pending.is_answered || pending.body_is_consumed || is_spent {
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

    /// Whether the client may be told that trying again is harmless.
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
