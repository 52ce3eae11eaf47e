//! A crowded discovery, which accepts every call and rejects it: the sidecar's endpoint list becomes outdated.

use crate::stubs::*;
use serde_json::{Value, json};
use std::thread;
use std::time::Duration;

/// Discovery calls that are rejected after an endpoint has restarted. Meanwhile the endpoint's only failure decays, and
/// outlier detection lets requests through again.
const REJECTED_CALLS: usize = 14;
/// Endpoints in addition to the one that is restarted. With many endpoints, a single failure makes an endpoint an
/// outlier for a few seconds only.
const OTHER_ENDPOINTS: usize = 10;
/// The pause between two requests: short enough for every endpoint to get requests, long enough to leave the processor
/// to others.
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
        let mut cached_entries = vec![list_entry("e0", restartable.address, "SERVING")];
        for number in 1..=OTHER_ENDPOINTS {
            cached_entries.push(list_entry(&format!("e{number}"), others.address, "SERVING"));
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

    /// Sends requests until the restartable endpoint has received at least three.
    fn use_restartable_endpoint(&self) {
        let mut client = self.sidecar.client();
        wait_until("the restartable endpoint gets requests", || {
            assert_eq!(client.exchange(&get_request("5")).status(), 200);
            self.restartable.request_count() >= 3
        });
    }

    /// Sends requests until discovery has rejected [`REJECTED_CALLS`] calls.
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

    /// The list entry of the restarted endpoint's new process.
    fn restarted_entry(&self) -> Value {
        let mut entry = list_entry("e0", self.restartable.address, "SERVING");
        entry["since_ms"] = json!(1_700_000_000_000u64);
        entry
    }

    /// Opens the next watch with a list that names the new process of the endpoint, and waits until that process
    /// receives a request.
    fn expect_requests_once_listed(&self) {
        let mut watch = self.discovery.next_call();
        watch.open_watch();
        watch.write_line(&endpoint_list(42, false, &[self.restarted_entry()]));
        let mut client = self.sidecar.client();
        wait_until("the new process gets a request", || {
            assert_eq!(client.exchange(&get_request("5")).status(), 200);
            self.restartable.request_count() > 0
        });
    }
}

fn reject(mut call: DiscoveryCall) {
    call.write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
}

/// Runs a test in all discovery modes concurrently.
fn in_each_mode(test: impl Fn(&str) + Sync) {
    thread::scope(|scope| {
        for mode in DISCOVERY_MODES {
            scope.spawn(|| test(mode));
        }
    });
}

/// Guards against requests to a removed endpoint while discovery is crowded. Once an endpoint has refused a connection,
/// the process at its address is a different one, about which the outdated list says nothing. No connection is idle, so
/// the refusal is the only sign that the process has ended.
#[test]
fn refused_connection_suspends_endpoint() {
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

/// Guards against the same fault when no request is sent while the endpoint is down: the reset of its idle connections
/// is the only sign that the process has ended.
#[test]
fn reset_of_idle_connections_suspends_endpoint() {
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

/// The time after which any change of the list would be in force, in milliseconds: 6 s, and the `drainGraceNs` of the
/// test's settings.
const CHANGE_IN_FORCE_DEADLINE_MS: u64 = 6_250;
/// Requests that are sent while the list is overdue.
const REQUESTS_UNDER_AN_OVERDUE_LIST: usize = 300;

/// Guards against the same fault when there is no sign that the process has ended: no connection was open, and none was
/// attempted. Once any change would be in force, the list is overdue. From then on only a process with a connection
/// from before is known to be the one that the list names.
#[test]
fn overdue_list_suspends_unconnected_endpoint() {
    let mut fixture = Fixture::start(ON_REQUEST_MODE, AfterResponse::Close);
    fixture.use_restartable_endpoint();
    fixture.restartable.end();
    fixture.restartable.start_again();
    wait_until("any change would be in force", || {
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
