//! The generator of a simulated sidecar's calls, and the record of the pending ones.

use balancer_sidecar::policy::{AttemptNumber, RequestId, Timestamp};
use balancer_sidecar::task::Task;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The longest time between two calls. It keeps the sum of the times from overflowing.
const MAX_INTERARRIVAL_TIME: Duration = Duration::from_secs(3600);

/// The receiver of generated calls.
pub(super) trait CallTarget {
    /// Returns a random time until the next call, or `None` if there are no calls.
    fn time_to_next_call(&self) -> Option<Duration>;

    /// Receives a call.
    fn call(&self);
}

/// Generates calls in an open loop: the times between calls do not depend on responses. Returns only if there are no
/// calls.
pub(super) async fn generate_calls(target: impl CallTarget) {
    let mut due = Instant::now();
    while let Some(interarrival_time) = target.time_to_next_call() {
        due += interarrival_time.min(MAX_INTERARRIVAL_TIME);
        sleep_until(due).await;
        target.call();
    }
}

/// The calls of a sidecar that are unanswered or have attempts in flight.
#[derive(Default)]
pub(super) struct PendingCalls(HashMap<RequestId, PendingCall>);

struct PendingCall {
    deadline: Timestamp,
    is_answered: bool,
    attempts: Vec<AttemptRecord>,
}

struct AttemptRecord {
    sent: Timestamp,
    /// The task that simulates the attempt, or `None` once the attempt has ended.
    task: Option<Task>,
}

/// The number of a call's next attempt, and the state of the call.
pub(super) struct NextAttempt {
    pub number: AttemptNumber,
    pub deadline: Timestamp,
    pub call_is_answered: bool,
}

/// An attempt that has just ended.
pub(super) struct EndedAttempt {
    /// The time at which the attempt was sent.
    pub sent: Timestamp,
    /// True if the call has its final response.
    pub call_is_answered: bool,
}

impl PendingCall {
    /// Returns true if the call is answered and has no attempts in flight.
    fn is_complete(&self) -> bool {
        let has_attempts_in_flight = self.attempts.iter().any(|record| record.task.is_some());
        self.is_answered && !has_attempts_in_flight
    }
}

impl PendingCalls {
    /// Adds a call.
    pub fn insert(&mut self, request: RequestId, deadline: Timestamp) {
        self.0.insert(
            request,
            PendingCall {
                deadline,
                is_answered: false,
                attempts: Vec::new(),
            },
        );
    }

    /// Returns the number of calls without a final response.
    pub fn unanswered_count(&self) -> u64 {
        self.0.values().filter(|call| !call.is_answered).count() as u64
    }

    /// Returns the next attempt of a call, or `None` if the call is not pending.
    pub fn next_attempt(&self, request: &RequestId) -> Option<NextAttempt> {
        let call = self.0.get(request)?;
        Some(NextAttempt {
            number: call.attempts.len(),
            deadline: call.deadline,
            call_is_answered: call.is_answered,
        })
    }

    /// Adds a call's next attempt. An attempt without a task has already ended.
    pub fn start_attempt(&mut self, request: &RequestId, sent: Timestamp, task: Option<Task>) {
        if let Some(call) = self.0.get_mut(request) {
            call.attempts.push(AttemptRecord { sent, task });
        }
    }

    /// Ends an attempt and drops its task. Returns `None` if the attempt is unknown or has already ended. In the
    /// returned value, the call of a served attempt counts as answered. [`PendingCalls::mark_answered`] marks the call
    /// itself.
    pub fn end_attempt(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        served: bool,
    ) -> Option<EndedAttempt> {
        let call = self.0.get_mut(request)?;
        let record = call.attempts.get_mut(attempt)?;
        record.task.take()?;
        Some(EndedAttempt {
            sent: record.sent,
            call_is_answered: call.is_answered || served,
        })
    }

    /// Marks a call as answered. Returns false if the call was already answered or is not pending.
    pub fn mark_answered(&mut self, request: &RequestId) -> bool {
        match self.0.get_mut(request) {
            Some(call) if !call.is_answered => {
                call.is_answered = true;
                true
            }
            _ => false,
        }
    }

    /// Removes a call once it is answered and has no attempts in flight, as the balancer does.
    pub fn remove_if_complete(&mut self, request: &RequestId) {
        if self.0.get(request).is_some_and(PendingCall::is_complete) {
            self.0.remove(request);
        }
    }
}
