//! An endpoint whose responses the test sets one by one, and a configuration with a short deadline.

use super::caller::*;
use super::config::*;
use super::discovery::*;
use super::endpoint::*;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// A readiness check over HTTP. The load balancer in front of the sidecars sends it, and directs callers to the
/// sidecars that are ready.
pub const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// The number of requests that earn retry budget for a few retries.
const REQUESTS_THAT_EARN_RETRIES: usize = 10;

/// An endpoint that responds to each request once the test has set the response.
pub struct ScriptedEndpoint {
    pub endpoint: Endpoint,
    actions: Sender<EndpointAction>,
}

impl ScriptedEndpoint {
    pub fn start() -> Self {
        let (actions, script): (_, Receiver<EndpointAction>) = channel();
        let script = Mutex::new(script);
        let endpoint = Endpoint::start(move |_| {
            script
                .lock()
                .expect("the lock is not poisoned")
                .recv()
                .unwrap_or(EndpointAction::Hang)
        });
        ScriptedEndpoint { endpoint, actions }
    }

    /// Sets the response to the next request, which may be waiting already.
    pub fn respond_next(&self, action: EndpointAction) {
        self.actions.send(action).expect("the endpoint waits");
    }

    /// Serves enough requests to earn retry budget for a few retries.
    pub fn earn_retries(&self, client: &mut Client) {
        for _ in 0..REQUESTS_THAT_EARN_RETRIES {
            client.write(&get_request("5"));
            self.respond_next(respond_ok("x"));
            assert_eq!(client.read().expect("a response").status(), 200);
            self.endpoint.next_request();
        }
    }
}

/// A configuration in which every class has this deadline. It also bounds the steps of a graceful shutdown.
pub fn config_with_deadline(
    discovery: &Discovery,
    endpoints: &[&Endpoint],
    deadline: Duration,
) -> Value {
    let config = with_admin_address(config(discovery.address, &serving_entries(endpoints)));
    with_deadline(config, deadline)
}

/// Gives all classes of a configuration this deadline.
pub fn with_deadline(mut config: Value, deadline: Duration) -> Value {
    let classes = config["settings"]["categories"]
        .as_array_mut()
        .expect("a list");
    for class in classes {
        class["objectiveNs"] = json!(deadline.as_nanos() as u64);
        class["hardLimitNs"] = json!(deadline.as_nanos() as u64);
    }
    config
}
