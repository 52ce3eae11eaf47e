//! Whether a new request is sent, held or refused at once, and how long it is worth holding.

use super::action::Action;
use super::balancer::Balancer;
use super::event::Request;
use super::pending::PendingRequest;
use super::retry::RETRIES_PER_REQUEST;
use super::time::{Timestamp, duration_from_seconds};
use std::time::Duration;

/// Less time left than this part of the expected answer time is nearly out of time.
const MIN_TIME_LEFT_FRACTION: f64 = 0.5;

/// What a request's time is good for.
struct TimeLeft {
    /// An answer after this earns nothing.
    useful: Duration,
    /// It may wait so long for its send.
    max_queue_time: Duration,
    is_too_late: bool,
}

impl Balancer {
    /// Sends, holds or refuses a new request.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        mut request: Request,
        actions: &mut Vec<Action>,
    ) {
        // A key is kept only for its order.
        request
            .key
            .take_if(|_| !self.settings.classes[request.class.0].is_key_ordered);
        let rate_fade = self.arrival_rate.count(now);
        self.retry_budget.earn(RETRIES_PER_REQUEST);
        self.earn_health_checks();
        let level = self.level(&request, rate_fade);
        self.grow_subset(now);
        let id = request.id.clone();
        let time = self.time_left(now, &request);
        let mut pending =
            PendingRequest::new(request, level, now + time.useful, now + time.max_queue_time);
        if time.is_too_late {
            return self.reject_or_fail(now, &mut pending, actions);
        }
        if let Some(key) = &pending.request.key {
            self.key_order.enqueue(key, &id);
        }
        if !self.try_send(now, &mut pending, actions) {
            self.queued.push(&pending);
        }
        self.requests.insert(id, pending);
        self.shed_past_limit(now, time.max_queue_time, actions);
    }

    fn time_left(&self, now: Timestamp, request: &Request) -> TimeLeft {
        let class = &self.settings.classes[request.class.0];
        let left = request.deadline.since(now);
        let expected = self.expected_time(request);
        let hinted = request.cost_hint.unwrap_or_default().as_secs_f64();
        let objective = class.objective + duration_from_seconds(hinted * class.objective_per_work);
        let useful = if class.late_value > 0.0 {
            left
        } else {
            left.min(objective)
        };
        // A late answer earns less: held that long, requests would make fresh ones late in turn.
        let max_queue_time = useful.min(objective).saturating_sub(expected);
        TimeLeft {
            useful,
            max_queue_time,
            is_too_late: useful < expected.mul_f64(MIN_TIME_LEFT_FRACTION),
        }
    }
}
