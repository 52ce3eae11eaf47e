//! An endpoint that writes what the test says when it says so, and a sidecar with short steps.

use super::caller::*;
use super::discovery::*;
use super::endpoint::*;
use super::program::*;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

pub const READY: &str = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// An endpoint that writes what the test says when it says so, on the connection of the request that is next.
pub struct Told {
    pub endpoint: Endpoint,
    tell: Sender<EndpointAction>,
}

impl Told {
    pub fn start() -> Self {
        let (tell, told): (_, Receiver<EndpointAction>) = channel();
        let told = Mutex::new(told);
        let endpoint = Endpoint::start(move |_| {
            told.lock()
                .expect("the only one")
                .recv()
                .unwrap_or(EndpointAction::Hang)
        });
        Told { endpoint, tell }
    }

    pub fn does(&self, what: EndpointAction) {
        self.tell.send(what).expect("it waits");
    }

    /// Serves as many requests as the module grants a few retries for.
    pub fn earns_retries(&self, client: &mut Client) {
        for _ in 0..10 {
            client.write(&get_request("5"));
            self.does(respond_ok("x"));
            assert_eq!(client.read().expect("an answer").status(), 200);
            self.endpoint.next_request();
        }
    }
}

/// A sidecar with a short longest deadline, so that a stop has short steps.
pub fn brief(discovery: &Discovery, endpoints: &[&Endpoint], deadline: Duration) -> Value {
    let mut config = with_admin_address(config(discovery.address, &serving_entries(endpoints)));
    for class in config["settings"]["categories"]
        .as_array_mut()
        .expect("a list")
    {
        class["objectiveNs"] = json!(deadline.as_nanos() as u64);
        class["hardLimitNs"] = json!(deadline.as_nanos() as u64);
    }
    config
}
