//! Hedged calls to a discovery that responds late: the oldest call keeps its place in discovery's queue. The tests run
//! for lists that are sent on request and for lists that an agent pushes.

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

    /// Waits for the next call, which must be a watch on the changes after the cached list.
    fn next_watch(&self) -> DiscoveryCall {
        let call = self.discovery.next_call();
        assert!(call.is_watch_since(41), "{}", call.request_line);
        call
    }

    /// Answers a call with a watch whose first event drains the endpoint, and waits until the drain is applied.
    fn drain_endpoint_on(&self, call: &mut DiscoveryCall) {
        call.open_watch();
        let draining = list_entry("e0", self.endpoint.address, "DRAINING");
        call.write_line(&endpoint_list(42, false, &[draining]));
        wait_for_unavailable(&self.sidecar, 1);
    }
}

fn wait_until_closed(call: &DiscoveryCall) {
    wait_until("the call is closed", || !call.is_open());
}

/// Guards the first call's place in discovery's queue: its late response is applied although a hedged call has been
/// made. The hedged call is closed, and no further call is made.
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

/// Guards the case in which only new calls reach discovery: the response to the hedged call is applied, and the first
/// call is closed.
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

/// Guards discovery and the sidecar's descriptors while discovery is silent for long: only the oldest and the newest
/// call are outstanding. When one of them fails, the other stays open as the oldest.
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
