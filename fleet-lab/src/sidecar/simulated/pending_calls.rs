//! Callers of a hollow sidecar: when calls arrive, and those that are open.

use balancer_sidecar::policy::{AttemptNumber, RequestId, Timestamp};
use balancer_sidecar::task::Task;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The longest pause between two calls, so that no sum overflows.
const LONGEST_GAP: Duration = Duration::from_secs(3600);

/// Whose calls arrive.
pub(super) trait CallTarget {
    /// The time between two calls; none where no calls come.
    fn time_to_next_call(&self) -> Option<Duration>;

    /// A call arrives.
    fn call(&self);
}

/// Makes calls without end, as a Poisson process: whether earlier ones were answered makes no difference.
pub(super) async fn generate_calls(target: impl CallTarget) {
    let mut due = Instant::now();
    while let Some(gap) = target.time_to_next_call() {
        due += gap.min(LONGEST_GAP);
        sleep_until(due).await;
        target.call();
    }
}

/// The calls of a sidecar that are unanswered or have attempts out.
#[derive(Default)]
pub(super) struct PendingCalls(HashMap<RequestId, PendingCall>);

struct PendingCall {
    deadline: Timestamp,
    is_answered: bool,
    attempts: Vec<AttemptRecord>,
}

struct AttemptRecord {
    sent: Timestamp,
    /// Gone once the attempt has ended.
    task: Option<Task>,
}

/// What is to be known of a call before an attempt of it.
pub(super) struct NextAttempt {
    pub number: AttemptNumber,
    pub deadline: Timestamp,
    pub call_is_answered: bool,
}

/// An attempt that has just ended.
pub(super) struct EndedAttempt {
    /// Since when it was out.
    pub sent: Timestamp,
    /// Its call has its final answer.
    pub call_is_answered: bool,
}

impl PendingCalls {
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

    pub fn unanswered_count(&self) -> u64 {
        self.0
            .values()
            .map(|call| u64::from(!call.is_answered))
            .sum()
    }

    /// The next attempt of a call, if the call is open.
    pub fn next_attempt(&self, request: &RequestId) -> Option<NextAttempt> {
        let call = self.0.get(request)?;
        Some(NextAttempt {
            number: call.attempts.len(),
            deadline: call.deadline,
            call_is_answered: call.is_answered,
        })
    }

    /// Adds a call's next attempt; one without a task has ended already.
    pub fn begin_attempt(&mut self, request: &RequestId, sent: Timestamp, task: Option<Task>) {
        if let Some(call) = self.0.get_mut(request) {
            call.attempts.push(AttemptRecord { sent, task });
        }
    }

    /// Ends an attempt, unless it has ended before. The first one that was served answers its call.
    pub fn end_attempt(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        served: bool,
    ) -> Option<EndedAttempt> {
        let call = self.0.get_mut(request)?;
        let open = call.attempts.get_mut(attempt)?;
        open.task.take()?;
        let sent = open.sent;
        Some(EndedAttempt {
            sent,
            call_is_answered: call.is_answered || served,
        })
    }

    /// Answers a call; false if it was answered before.
    pub fn answer(&mut self, request: &RequestId) -> bool {
        match self.0.get_mut(request) {
            Some(call) if !call.is_answered => {
                call.is_answered = true;
                true
            }
            _ => false,
        }
    }

    /// Kept as long as the decision module keeps it: until it is answered and none of its attempts is out.
    pub fn remove_if_complete(&mut self, request: &RequestId) {
        let is_finished =
            |call: &PendingCall| call.is_answered && call.attempts.iter().all(|a| a.task.is_none());
        if self.0.get(request).is_some_and(is_finished) {
            self.0.remove(request);
        }
    }
}
