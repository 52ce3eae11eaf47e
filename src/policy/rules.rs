//! The parameters of the rules that a balancer keeps.

use std::time::Duration;

/// The parameters of the rules that a balancer keeps.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the client's deadline a final answer still counts as in time.
    pub answer_slack: Duration,
    /// How soon sends to an endpoint must end after the notice that it drains or was removed.
    pub drain_grace: Duration,
    /// Where lists are fetched: the longest time without a call. A change counts as received after it.
    pub poll_interval: Duration,
    /// The lowest fraction of its capacity that an endpoint starts with.
    pub initial_capacity: f64,
    /// The longest time from an endpoint's start until it is warm.
    pub warm_up_time: Duration,
    /// Sent more than this multiple of its present capacity for the overload window, a warming endpoint fails.
    pub overload_multiple: f64,
    /// See [`Rules::overload_multiple`].
    pub overload_window: Duration,
    /// How soon idle connections to a draining endpoint must be closed; `None` where that is not required.
    pub drain_close: Option<Duration>,
    /// The cool-down of a key after an attempt that may still run, for classes in key order.
    pub key_cooldown: Option<Duration>,
}

impl Default for Rules {
    /// Careful values, without a rule on idle connections and without a key cool-down.
    fn default() -> Self {
        Rules {
            answer_slack: Duration::from_millis(10),
            drain_grace: Duration::from_millis(50),
            poll_interval: Duration::from_secs(10),
            initial_capacity: 0.1,
            warm_up_time: Duration::from_secs(20),
            overload_multiple: 2.0,
            overload_window: Duration::from_secs(1),
            drain_close: None,
            key_cooldown: None,
        }
    }
}
