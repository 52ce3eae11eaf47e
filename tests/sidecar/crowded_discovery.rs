//! An overloaded, or crowded, discovery, which accepts every connection and rejects the call with 503. The sidecar's
//! endpoint list becomes outdated.

use crate::stubs::*;
use serde_json::{Value, json};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The number of discovery calls that are rejected after an endpoint has restarted. They take long enough for the
/// endpoint's only failure to decay, after which outlier detection lets requests through again.
const REJECTED_CALLS: usize = 14;
/// The number of endpoints in addition to the one that is restarted. With many endpoints, a single failure makes an
/// endpoint an outlier for a few seconds only.
const OTHER_ENDPOINTS: usize = 10;
/// The pause between two requests: short enough for every endpoint to get requests, and long enough to leave processor
/// time to other tests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// The number of concurrent requests of which at least one is sent to each endpoint: two random ones are compared for
/// each request, and one without requests is always the less loaded.
const CONCURRENT_REQUESTS: usize = 100;

/// A switch that is off at first, and for which threads can wait.
#[derive(Clone, Default)]
struct Switch(Arc<(Mutex<bool>, Condvar)>);

impl Switch {
    fn set(&self, is_on: bool) {
        *self.0.0.lock().expect("the lock is not poisoned") = is_on;
        self.0.1.notify_all();
    }

    fn wait_until_off(&self) {
        let state = self.0.0.lock().expect("the lock is not poisoned");
        let off = self.0.1.wait_while(state, |is_on| *is_on);
        drop(off.expect("the lock is not poisoned"));
    }
}

/// A sidecar with its discovery and several endpoints, one of which can be restarted.
struct Fixture {
    restartable: RestartableEndpoint,
    others: Endpoint,
    others_hold: Switch,
    discovery: ManualDiscovery,
    sidecar: Sidecar,
}

impl Fixture {
    fn start(mode: &str, after_response: AfterResponse) -> Self {
        let restartable = RestartableEndpoint::start(after_response);
        let others_hold = Switch::default();
        let is_held = others_hold.clone();
        let others = Endpoint::start(move |_| {
            is_held.wait_until_off();
            respond_ok("")
        });
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
            others,
            others_hold,
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

    /// Sends concurrent requests while the other endpoints hold their responses back, until a connection to the ended
    /// endpoint is refused. Requests one at a time would not do: of endpoints without requests the fastest one is chosen.
    fn let_connection_be_refused(&self) {
        self.others_hold.set(true);
        let mut clients: Vec<Client> = (0..CONCURRENT_REQUESTS)
            .map(|_| {
                let mut client = self.sidecar.client();
                client.write(&get_request("10"));
                client
            })
            .collect();
        self.sidecar.wait_for_log("endpoints suspended: 1 (e0)");
        self.others_hold.set(false);
        for client in &mut clients {
            assert_eq!(client.read().expect("an answer").status(), 200);
        }
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

    /// Returns the list entry of the restarted endpoint's new process.
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

/// Guards against requests to a removed endpoint while discovery is overloaded. After an endpoint has refused a
/// connection, the process at its address is a different one, about which the outdated list says nothing. The refusal
/// is the only sign that the process has ended, because no connection to it is idle.
#[test]
fn refused_connection_suspends_endpoint() {
    in_each_mode(|mode| {
        let mut fixture = Fixture::start(mode, AfterResponse::Close);
        fixture.use_restartable_endpoint();
        fixture.restartable.end();
        fixture.let_connection_be_refused();
        fixture.restartable.start_again();

        fixture.send_while_calls_are_rejected();

        assert_eq!(fixture.restartable.request_count(), 0, "{mode}");
        let refused = fixture.sidecar.logged_count("attempts_connect");
        assert!(refused > 0, "no connection was refused");
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

/// The time in milliseconds within which a change of the list must be in force: the 6 s of
/// `CHANGE_PROPAGATION_DEADLINE`, and the 0.25 s of `drainGraceNs` in the test's settings.
const CHANGE_IN_FORCE_DEADLINE_MS: u64 = 6_250;
/// The number of requests that are sent while the list is overdue.
const REQUESTS_UNDER_AN_OVERDUE_LIST: usize = 300;

/// Guards against the same fault when there is no sign that the process has ended: no connection was open, and none was
/// attempted. The list is overdue once the [`CHANGE_IN_FORCE_DEADLINE_MS`] is over. From then on, a process is known to
/// be the one that the list names only if a connection to it has stayed open.
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

/// The deadline in seconds of requests that are rejected: long enough for one that is served.
const REJECTED_DEADLINE: &str = "0.5";
/// The number of requests that are sent while every endpoint may be draining.
const REQUESTS_WITHOUT_A_LIST: usize = 10;

/// Guards endpoints that drain while a watch is silent and discovery rejects the calls for a new one (`review/8`). Their
/// processes run, and connections to them are open. Once a drain would be in force, no request is sent until a list
/// arrives. Every request gets its answer.
#[test]
fn overdue_list_after_a_silent_watch_stops_all_requests() {
    let fixture = Fixture::start(ON_REQUEST_MODE, AfterResponse::KeepOpen);
    let mut silent_watch = fixture.discovery.next_call();
    silent_watch.open_watch();
    silent_watch.write_line(&endpoint_list(42, false, &[]));
    let mut client = fixture.sidecar.client();
    wait_until("any change would be in force", || {
        fixture.reject_call();
        assert_ne!(client.exchange(&get_request("5")).status(), 502);
        thread::sleep(REQUEST_INTERVAL);
        fixture.sidecar.metric("list_unconfirmed_ms") >= Some(CHANGE_IN_FORCE_DEADLINE_MS)
    });

    let count_before = fixture.restartable.request_count();
    fixture.others.take_request_count();
    for _ in 0..REQUESTS_WITHOUT_A_LIST {
        fixture.reject_call();
        assert_eq!(
            client.exchange(&get_request(REJECTED_DEADLINE)).status(),
            503
        );
    }
    assert_eq!(fixture.restartable.request_count(), count_before);
    assert_eq!(fixture.others.take_request_count(), 0);

    let mut watch = fixture.discovery.next_open_call();
    watch.open_watch();
    watch.write_line(&endpoint_list(43, false, &[]));
    wait_until("requests are served again", || {
        client.exchange(&get_request("5")).status() == 200
    });
}
