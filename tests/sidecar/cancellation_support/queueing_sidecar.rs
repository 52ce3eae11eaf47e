//! A sidecar that holds requests until the test lists an endpoint.

use crate::stubs::*;
use serde_json::{Value, json};

/// One that knows of no endpoint, so that all is held, and what makes it send.
pub struct QueueingSidecar {
    pub sidecar: Sidecar,
    pub endpoint: Endpoint,
    watch: Watch,
    discovery: Discovery,
}

impl QueueingSidecar {
    /// Starts the sidecar after this change to its configuration.
    pub fn with(change: impl FnOnce(&mut Value)) -> Self {
        Self::start(change, Sidecar::start)
    }

    /// The same, with a sidecar that `start` makes from the configuration.
    pub fn start(change: impl FnOnce(&mut Value), start: impl FnOnce(&Value) -> Sidecar) -> Self {
        let discovery = Discovery::start();
        let mut config = with_admin_address(config(discovery.address, &[]));
        config["settings"]["categories"]
            .as_array_mut()
            .expect("a list")
            .iter_mut()
            .for_each(|class| {
                class["objectiveNs"] = json!(60_000_000_000u64);
                class["hardLimitNs"] = json!(60_000_000_000u64);
            });
        change(&mut config);
        let sidecar = start(&config);
        let watch = discovery.next_watch();
        QueueingSidecar {
            sidecar,
            endpoint: Endpoint::start(|_| respond_ok("x")),
            watch,
            discovery,
        }
    }

    /// Waits until something is so; discovery shows that it is there meanwhile.
    pub fn wait_until(&mut self, what: &str, is_so: impl Fn(&Sidecar) -> bool) {
        wait_until(what, || {
            self.watch.write_line_reconnecting(&self.discovery, "");
            is_so(&self.sidecar)
        });
    }

    /// Has discovery write a line to the sidecar.
    pub fn write_list(&mut self, line: &str) {
        self.watch.write_line_reconnecting(&self.discovery, line);
    }

    /// Waits until so many requests are pending.
    pub fn wait_for_pending(&mut self, n: usize) {
        self.wait_until(&format!("{n} are pending"), |sidecar| {
            sidecar.metric("pending") == Some(n as u64)
        });
    }

    /// Lists the endpoint, so that what is held is sent there.
    pub fn list_endpoint(&mut self) {
        self.write_list(&list(42, false, &serving_entries(&[&self.endpoint])));
    }

    /// What the endpoint has seen of the ids of these requests, when all are answered.
    pub fn received_request_ids(&self) -> Vec<String> {
        self.endpoint
            .take_requests()
            .iter()
            .filter_map(|m| m.header("x-request-id").map(String::from))
            .collect()
    }
}
