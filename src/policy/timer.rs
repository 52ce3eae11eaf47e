//! The one timer of an instance: the next call of discovery, and the next chance of a held request.

use super::action::Action;
use super::balancer::Balancer;
use super::time::{Timestamp, duration_from_seconds};

impl Balancer {
    /// Asks for a watch where it is due, and sets the timer where something is due before it.
    pub(super) fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.discovery_schedule.take_due(now) {
            actions.push(Action::Subscribe);
        }
        let queued = (!self.queued.is_empty()).then(|| self.next_queue_check(now));
        let due = self
            .discovery_schedule
            .next_call
            .into_iter()
            .chain(queued)
            .min();
        if let Some(at) = due.filter(|at| self.timer_expires_at.is_none_or(|set| *at < set)) {
            self.timer_expires_at = Some(at);
            actions.push(Action::SetTimer {
                at,
                token: at.as_nanos(),
            });
        }
    }

    /// When a held request may have somewhere to go, or expires: at the next end of a gap or of a key's rest,
    /// and in any case after an unloaded answer time.
    fn next_queue_check(&self, now: Timestamp) -> Timestamp {
        let soon = now + duration_from_seconds(self.unloaded_time());
        let gaps = self
            .subset
            .iter()
            .map(|index| self.endpoints[*index].gap_ends_at)
            .filter(|at| *at > now);
        let first = gaps.chain(self.key_order.first_cooldown_end());
        let first = first.fold(soon.min(self.queued.next_expiry), Timestamp::min);
        first.max(now + self.settings.tick)
    }

    /// A timer has expired. It is known by its name, not by the time: a host's timer that came a hair early
    /// left all later ones unset.
    pub(super) fn timer_expired(&mut self, token: u64) {
        self.timer_expires_at = self.timer_expires_at.filter(|at| at.as_nanos() != token);
    }
}
