//! A discovery that is crowded: it accepts every call and rejects it, so that the endpoint list grows old.

use crate::stubs::*;
use serde_json::{Value, json};
use std::thread;
use std::time::Duration;

/// Calls of discovery that are rejected after an endpoint was restarted. The one failure that it has shown decays meanwhile,
/// so that outlier detection lets requests through.
const REJECTED_CALLS: usize = 14;
/// Endpoints beside the one that is restarted. With many of them, one failure makes an outlier for a few seconds only.
const OTHER_ENDPOINTS: usize = 10;
/// Between two requests: enough of them for each endpoint, without taking the processor.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// A sidecar with several endpoints, of which the first can be restarted, and its discovery.
struct Fixture {
    restartable: RestartableEndpoint,
    _others: Endpoint,
    discovery: ManualDiscovery,
    sidecar: Sidecar,
}

impl Fixture {
    fn start(mode: &str, after_response: AfterResponse) -> Self {
        let restartable = RestartableEndpoint::start(after_response);
        let others = Endpoint::start(|_| respond_ok(""));
        let discovery = ManualDiscovery::start();
        let mut cached_entries = vec![entry("e0", restartable.address, "SERVING")];
        for number in 1..=OTHER_ENDPOINTS {
            cached_entries.push(entry(&format!("e{number}"), others.address, "SERVING"));
        }
        let mut config = with_admin_address(config(discovery.address(), &cached_entries));
        config["settings"]["discovery"] = json!(mode);
        let sidecar = Sidecar::start(&config);
        Fixture {
            restartable,
            _others: others,
            discovery,
            sidecar,
        }
    }

    /// Sends requests until the first endpoint has received some.
    fn use_restartable_endpoint(&self) {
        let mut client = self.sidecar.client();
        wait_until("the endpoint is used", || {
            assert_eq!(client.exchange(&get_request("5")).status(), 200);
            self.restartable.request_count() >= 3
        });
    }

    /// Sends requests while discovery rejects a number of calls.
    fn send_while_calls_are_rejected(&self) {
        let mut client = self.sidecar.client();
        let mut rejected = 0;
        while rejected < REJECTED_CALLS {
            rejected += usize::from(self.reject_call());
            assert_eq!(client.exchange(&get_request("5")).status(), 200);
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Rejects the next call, if there is one.
    fn reject_call(&self) -> bool {
        let call = self.discovery.try_next_call();
        call.map(reject).is_some()
    }

    /// The entry of the restarted endpoint, as discovery lists it.
    fn restarted_entry(&self) -> Value {
        let mut entry = entry("e0", self.restartable.address, "SERVING");
        entry["since_ms"] = json!(1_700_000_000_000u64);
        entry
    }

    /// Opens the next watch with a list that names the new process of the endpoint, and waits until it is used.
    fn expect_requests_once_listed(&self) {
        let mut watch = self.discovery.next_call();
        watch.open_watch();
        watch.write_line(&list(42, false, &[self.restarted_entry()]));
        let mut client = self.sidecar.client();
        wait_until("the new process is used", || {
            assert_eq!(client.exchange(&get_request("5")).status(), 200);
            self.restartable.request_count() > 0
        });
    }
}

fn reject(mut call: DiscoveryCall) {
    call.write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
}

/// Runs a test in each mode of discovery, at the same time.
fn in_each_mode(test: impl Fn(&str) + Sync) {
    thread::scope(|scope| {
        for mode in DISCOVERY_MODES {
            scope.spawn(|| test(mode));
        }
    });
}

/// Guards against sends to a removed endpoint while discovery is crowded: once an endpoint has refused a connection, a process
/// at its address is another one, of which the old list says nothing. No connection is idle, so the refusal is all that shows its end.
#[test]
fn endpoint_is_suspended_after_a_refused_connection() {
    in_each_mode(|mode| {
        let mut fixture = Fixture::start(mode, AfterResponse::Close);
        fixture.use_restartable_endpoint();
        fixture.restartable.end();
        let mut client = fixture.sidecar.client();
        wait_until("a connection is refused", || {
            assert_eq!(client.exchange(&get_request("5")).status(), 200);
            thread::sleep(REQUEST_INTERVAL);
            fixture.sidecar.logged_count("attempts_connect") > 0
        });
        fixture.restartable.start_again();

        fixture.send_while_calls_are_rejected();

        assert_eq!(fixture.restartable.request_count(), 0, "{mode}");
        fixture.expect_requests_once_listed();
    });
}

/// Guards the same where no request is sent while the endpoint is away: the reset of its idle connections is all that shows
/// its end.
#[test]
fn endpoint_is_suspended_after_its_idle_connections_were_reset() {
    in_each_mode(|mode| {
        let mut fixture = Fixture::start(mode, AfterResponse::KeepOpen);
        fixture.use_restartable_endpoint();
        fixture.restartable.end();
        fixture.restartable.start_again();

        fixture.send_while_calls_are_rejected();

        assert_eq!(fixture.restartable.request_count(), 0, "{mode}");
        fixture.expect_requests_once_listed();
    });
}

/// The time after which a change counts as received, with the grace for sends of the test's settings, in milliseconds.
const CHANGE_IN_FORCE_DEADLINE_MS: u64 = 6_250;
/// Requests that are sent once the list is overdue.
const REQUESTS_UNDER_AN_OVERDUE_LIST: usize = 300;

/// Guards the same where nothing shows the end: no connection was open, and none was attempted. Once a change would have to be
/// in force, the list is overdue, and only a process with a connection from before is known to be the listed one.
#[test]
fn endpoint_without_a_connection_is_suspended_while_the_list_is_overdue() {
    let mut fixture = Fixture::start(ON_REQUEST_MODE, AfterResponse::Close);
    fixture.use_restartable_endpoint();
    fixture.restartable.end();
    fixture.restartable.start_again();
    wait_until("a change would have to be in force", || {
        fixture.reject_call();
        fixture.sidecar.metric("list_unconfirmed_ms") >= Some(CHANGE_IN_FORCE_DEADLINE_MS)
    });

    let count_before = fixture.restartable.request_count();
    let mut client = fixture.sidecar.client();
    for _ in 0..REQUESTS_UNDER_AN_OVERDUE_LIST {
        fixture.reject_call();
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
    }

    assert_eq!(fixture.restartable.request_count(), count_before);
    fixture.expect_requests_once_listed();
}
