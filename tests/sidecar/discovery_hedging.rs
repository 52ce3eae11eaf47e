//! Hedged calls of discovery while it is late with its responses: the oldest call keeps its place in discovery's queue,
//! both when lists are fetched and when an agent pushes them.

use crate::stubs::*;
use serde_json::json;

/// A sidecar with a cached list of one endpoint, and its discovery.
struct Fixture {
    endpoint: Endpoint,
    discovery: ManualDiscovery,
    sidecar: Sidecar,
}

impl Fixture {
    fn start(mode: &str) -> Self {
        let endpoint = Endpoint::start(|_| respond_ok(""));
        let discovery = ManualDiscovery::start();
        let cached_entries = serving_entries(&[&endpoint]);
        let mut config = with_admin_address(config(discovery.address(), &cached_entries));
        config["settings"]["discovery"] = json!(mode);
        let sidecar = Sidecar::start(&config);
        Fixture {
            endpoint,
            discovery,
            sidecar,
        }
    }

    /// Waits for the next call, which must be a watch from the cached list on.
    fn next_watch(&self) -> DiscoveryCall {
        let call = self.discovery.next_call();
        assert!(call.is_watch_since(41), "{}", call.request_line);
        call
    }

    /// Answers a call with a watch whose first event drains the endpoint, and waits until that is applied.
    fn drain_endpoint_on(&self, call: &mut DiscoveryCall) {
        call.open_watch();
        let draining = entry("e0", self.endpoint.address, "DRAINING");
        call.write_line(&list(42, false, &[draining]));
        wait_for_unavailable(&self.sidecar, 1);
    }
}

fn wait_until_closed(call: &DiscoveryCall) {
    wait_until("the call is closed", || !call.is_open());
}

/// Guards the place of a call in discovery's queue: its late response counts although another call was made beside it.
/// The other call is closed, and no further one is made.
#[test]
fn late_response_to_the_first_call_closes_the_hedged_call() {
    for mode in DISCOVERY_MODES {
        let fixture = Fixture::start(mode);
        let mut first = fixture.next_watch();
        let second = fixture.next_watch();

        fixture.drain_endpoint_on(&mut first);

        wait_until_closed(&second);
        assert!(
            first.is_open() && fixture.discovery.try_next_call().is_none(),
            "{mode}"
        );
    }
}

/// Guards a discovery that only new calls can reach: the response to the hedged call closes the first one.
#[test]
fn response_to_the_hedged_call_closes_the_first_call() {
    for mode in DISCOVERY_MODES {
        let fixture = Fixture::start(mode);
        let first = fixture.next_watch();
        let mut second = fixture.next_watch();

        fixture.drain_endpoint_on(&mut second);

        wait_until_closed(&first);
        assert!(
            second.is_open() && fixture.discovery.try_next_call().is_none(),
            "{mode}"
        );
    }
}

/// Guards discovery, and the sidecar's descriptors, during a long silence: only the oldest and the newest call are
/// outstanding. When one fails the other stays, as the oldest.
#[test]
fn at_most_two_calls_are_outstanding() {
    for mode in DISCOVERY_MODES {
        let fixture = Fixture::start(mode);
        let first = fixture.next_watch();
        let second = fixture.next_watch();

        let third = fixture.next_watch();
        wait_until_closed(&second);
        assert!(first.is_open() && third.is_open(), "{mode}");

        first.reset();
        let mut fourth = fixture.next_watch();
        assert!(third.is_open(), "{mode}");

        fixture.drain_endpoint_on(&mut fourth);
        wait_until_closed(&third);
    }
}
