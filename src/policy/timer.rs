//! The timer of a balancer, which is shared by calls of discovery and queued requests.

use super::action::Action;
use super::balancer::Balancer;
use super::time::{Timestamp, duration_from_seconds};

impl Balancer {
    /// Opens a watch if that is due. Sets the timer if the next call of discovery or the next check of the queue is due
    /// before the timer expires.
    pub(super) fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.discovery_schedule.take_due(now) {
            actions.push(Action::Subscribe);
        }
        let next_call = self.discovery_schedule.next_call;
        let queue_check = (!self.queued.is_empty()).then(|| self.next_queue_check(now));
        let Some(due) = next_call.into_iter().chain(queue_check).min() else {
            return;
        };
        if self.timer_expires_at.is_none_or(|set| due < set) {
            self.timer_expires_at = Some(due);
            actions.push(Action::SetTimer {
                at: due,
                token: due.as_nanos(),
            });
        }
    }

    /// Returns when the queue has to be checked next: at the next end of a gap or of a key cooldown, at the earliest
    /// queue deadline, or after an unloaded answer time, whichever comes first. The next check is at least one tick
    /// away.
    fn next_queue_check(&self, now: Timestamp) -> Timestamp {
        let latest = now + duration_from_seconds(self.unloaded_time());
        let gap_ends = self
            .endpoint_sets
            .subset
            .iter()
            .map(|index| self.endpoints[*index].gap_ends_at)
            .filter(|at| *at > now);
        gap_ends
            .chain(self.key_order.first_cooldown_end())
            .fold(latest.min(self.queued.next_deadline), Timestamp::min)
            .max(now + self.settings.tick)
    }

    /// Records that a timer has expired. The timer is identified by its token, because the host may report it slightly
    /// before its time.
    pub(super) fn timer_expired(&mut self, token: u64) {
        self.timer_expires_at = self.timer_expires_at.filter(|at| at.as_nanos() != token);
    }
}
