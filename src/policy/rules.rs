//! The parameters of the rules that a balancer must follow.

use std::time::Duration;

/// The parameters of the rules that a balancer must follow.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The time after a client's deadline within which a final answer still counts as in time.
    pub answer_slack: Duration,
    /// The time within which a balancer must stop sending requests to an endpoint after a list has shown it as
    /// draining or removed.
    pub drain_grace: Duration,
    /// The maximum time between two calls of discovery if lists are fetched. A change of the list counts as received
    /// after this time.
    pub poll_interval: Duration,
    /// The lowest capacity of an endpoint at its start, as a fraction of its full capacity.
    pub initial_capacity: f64,
    /// The time after its start within which an endpoint reaches its full capacity.
    pub warm_up_time: Duration,
    /// The load above which a warming endpoint fails, as a multiple of its present capacity. The load has to last for
    /// the overload window.
    pub overload_multiple: f64,
    /// The time for which a load above [`Rules::overload_multiple`] must last until a warming endpoint fails.
    pub overload_window: Duration,
    /// The time within which idle connections to a draining endpoint must be closed; `None` if that is not required.
    pub drain_close: Option<Duration>,
    /// The cooldown of a key: the time for which no request with the same key is sent after an attempt that may still
    /// run. It applies to classes in key order.
    pub key_cooldown: Option<Duration>,
}

impl Default for Rules {
    /// Returns conservative values, without a rule on idle connections and without a key cooldown.
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
