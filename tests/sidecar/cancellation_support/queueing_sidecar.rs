//! A sidecar that queues all requests until discovery lists an endpoint.

use crate::stubs::*;
use serde_json::{Value, json};

/// A sidecar that queues all requests because it has no endpoint, and an endpoint that the stub of discovery can list.
pub struct QueueingSidecar {
    /// The sidecar under test.
    pub sidecar: Sidecar,
    /// The endpoint that is not listed yet.
    pub endpoint: Endpoint,
    watch: StreamedCall,
    discovery: Discovery,
}

impl QueueingSidecar {
    /// Starts the sidecar after `configure` has changed its configuration.
    pub fn with_config(configure: impl FnOnce(&mut Value)) -> Self {
        Self::start(configure, Sidecar::start)
    }

    /// Starts the sidecar by `start`, after `configure` has changed its configuration.
    pub fn start(
        configure: impl FnOnce(&mut Value),
        start: impl FnOnce(&Value) -> Sidecar,
    ) -> Self {
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
        configure(&mut config);
        let sidecar = start(&config);
        let watch = discovery.next_call();
        QueueingSidecar {
            sidecar,
            endpoint: Endpoint::start(|_| respond_ok("x")),
            watch,
            discovery,
        }
    }

    /// Waits until a condition is met. Meanwhile discovery sends heartbeats.
    pub fn wait_until(&mut self, description: &str, is_met: impl Fn(&Sidecar) -> bool) {
        wait_until(description, || {
            self.watch.write_line_reconnecting(&self.discovery, "");
            is_met(&self.sidecar)
        });
    }

    /// Sends a list from discovery.
    pub fn write_list(&mut self, line: &str) {
        self.watch.write_line_reconnecting(&self.discovery, line);
    }

    /// Waits until this number of requests is pending.
    pub fn wait_for_pending(&mut self, count: usize) {
        self.wait_until(&format!("{count} requests are pending"), |sidecar| {
            sidecar.metric("pending") == Some(count as u64)
        });
    }

    /// Sends a list with the endpoint, to which the queued requests are then sent.
    pub fn list_endpoint(&mut self) {
        self.write_list(&endpoint_list(
            42,
            false,
            &serving_entries(&[&self.endpoint]),
        ));
    }

    /// Takes the ids of the requests that the endpoint has received.
    pub fn received_request_ids(&self) -> Vec<String> {
        self.endpoint
            .take_requests()
            .iter()
            .filter_map(|message| message.header("x-request-id").map(String::from))
            .collect()
    }
}
