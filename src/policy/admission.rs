//! Admission: a new request is sent, queued for a limited time, or rejected at once.

use super::action::Action;
use super::balancer::Balancer;
use super::event::Request;
use super::pending::PendingRequest;
use super::retry::RETRIES_PER_REQUEST;
use super::time::{Timestamp, duration_from_seconds};
use std::time::Duration;

/// A request is rejected at once if its time left is less than this fraction of its answer time estimate.
const MIN_TIME_LEFT_FRACTION: f64 = 0.5;

/// The time that a new request has left.
struct TimeLeft {
    /// The time after which an answer has no value.
    useful_time: Duration,
    /// The longest time that the request may be queued.
    max_queue_time: Duration,
    /// An answer in time is unlikely.
    is_too_late: bool,
}

impl Balancer {
    /// Sends, queues or rejects a new request.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        mut request: Request,
        actions: &mut Vec<Action>,
    ) {
        // The key is used only if the class is in key order.
        request
            .key
            .take_if(|_| !self.settings.classes[request.class.0].is_key_ordered);
        let rate_decay = self.arrival_rate.add(now);
        self.budgets.retries.earn(RETRIES_PER_REQUEST);
        self.earn_health_checks();
        let level = self.priority_level(&request, rate_decay);
        self.grow_subset(now);
        let id = request.id.clone();
        let time = self.time_left(now, &request);
        let queue_deadline = now + time.max_queue_time;
        let mut pending =
            PendingRequest::new(request, level, now + time.useful_time, queue_deadline);
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
        let until_deadline = request.deadline.since(now);
        let expected = self.expected_time(request);
        let hinted = request.cost_hint.unwrap_or_default().as_secs_f64();
        let objective = class.objective + duration_from_seconds(hinted * class.objective_per_work);
        let useful_time = if class.late_value > 0.0 {
            until_deadline
        } else {
            until_deadline.min(objective)
        };
        // The time in the queue is limited by the objective even if late answers have value, because that value is
        // lower. Requests that were queued past their objective would also delay newer requests past theirs.
        let max_queue_time = useful_time.min(objective).saturating_sub(expected);
        TimeLeft {
            useful_time,
            max_queue_time,
            is_too_late: useful_time < expected.mul_f64(MIN_TIME_LEFT_FRACTION),
        }
    }
}
