//! Recovery from failures of discovery: after any kind of failure, changes are applied once discovery can be reached.
//! The tests run for lists that are sent on request and for lists that an agent pushes.

use crate::stubs::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// The number of failed calls in a row after which the backoff has reached its maximum.
const FAILURES_TO_MAX_BACKOFF: usize = 6;

/// The beginning of a list that is never completed.
const INCOMPLETE_LIST: &str = "{\"index\":50,\"snapshot\":true,\"endpoints\":[";

/// A discovery that is down: its port is reserved and refuses connections.
struct StoppedDiscovery(Socket);

impl StoppedDiscovery {
    fn reserve() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any_port.into()).expect("a port");
        StoppedDiscovery(socket)
    }

    fn address(&self) -> SocketAddr {
        self.0
            .local_addr()
            .expect("it is bound")
            .as_socket()
            .expect("an address")
    }

    fn start(self) -> ManualDiscovery {
        self.0.listen(128).expect("it listens");
        ManualDiscovery::from_listener(TcpListener::from(self.0))
    }
}

/// A sidecar with a cached list of two endpoints, and a third endpoint that only discovery lists.
struct Fixture {
    mode: &'static str,
    endpoints: [Endpoint; 3],
    config: Value,
    path: PathBuf,
    sidecar: Sidecar,
}

impl Fixture {
    fn start(mode: &'static str, discovery: SocketAddr) -> Self {
        let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
        let cached_entries = serving_entries(&[&endpoints[0], &endpoints[1]]);
        let mut config = with_admin_address(config(discovery, &cached_entries));
        config["settings"]["discovery"] = json!(mode);
        let path = temporary_file(&config.to_string());
        let sidecar = Sidecar::start_with_file(&path);
        Fixture {
            mode,
            endpoints,
            config,
            path,
            sidecar,
        }
    }

    /// Reloads the configuration with another address of discovery.
    fn move_discovery(&mut self, address: SocketAddr) {
        self.config["discovery"] = json!(address.to_string());
        self.reload();
    }

    fn reload(&self) {
        std::fs::write(&self.path, self.config.to_string()).expect("the file is written");
        self.sidecar.send_signal("HUP");
    }

    /// Waits until the log reports enough refused calls for the backoff to have reached its maximum.
    fn wait_for_refused_calls(&self, is_refused: impl Fn(&str) -> bool) {
        wait_until("calls are refused", || {
            let log = self.sidecar.log();
            let refused_calls = log.iter().filter(|line| is_refused(line)).count();
            refused_calls >= FAILURES_TO_MAX_BACKOFF
        });
    }

    /// Returns the entries that change: the first endpoint is draining, and the third one is new.
    fn changed_entries(&self) -> [Value; 2] {
        [
            list_entry("e0", self.endpoints[0].address, "DRAINING"),
            list_entry("e2", self.endpoints[2].address, "SERVING"),
        ]
    }

    /// Returns the full list after the change.
    fn full_list(&self, version: u64) -> String {
        let [draining, new] = self.changed_entries();
        let unchanged = list_entry("e1", self.endpoints[1].address, "SERVING");
        endpoint_list(version, true, &[draining, unchanged, new])
    }

    /// Waits until the change is applied: the third endpoint gets requests, and the first one does not.
    fn wait_for_change(&self) {
        wait_for_unavailable(&self.sidecar, 1);
        wait_until("the third endpoint is listed", || {
            self.sidecar.metric("members") == Some(3)
        });
        for endpoint in &self.endpoints {
            drop(endpoint.take_requests());
        }
        let mut client = self.sidecar.client();
        wait_until("the third endpoint gets a request", || {
            let status = client.exchange(&get_request("5")).status();
            assert_eq!(status, 200, "{}", self.mode);
            self.endpoints[2].take_request_count() > 0
        });
        assert_eq!(
            self.endpoints[0].take_request_count(),
            0,
            "{}: the first endpoint is draining",
            self.mode
        );
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Waits for a watch on the changes after this version, and opens it.
fn open_next_watch(discovery: &ManualDiscovery, version: u64) -> DiscoveryCall {
    let mut watch = discovery.next_call();
    assert!(watch.is_watch_since(version), "{}", watch.request_line);
    watch.open_watch();
    watch
}

/// Waits for a fetch of the full list.
fn next_fetch(discovery: &ManualDiscovery) -> DiscoveryCall {
    let call = discovery.next_call();
    assert!(call.is_fetch(), "{}", call.request_line);
    call
}

/// Rejects a call with a list as the body, which must not be applied.
fn reject_with_list(call: &mut DiscoveryCall) {
    let body = endpoint_list(99, true, &[]);
    call.write(&format!(
        "HTTP/1.1 503 No\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
}

/// Guards the retries after refused calls: however many calls were refused, discovery is called once it is back.
#[test]
fn watch_is_opened_after_refused_connections() {
    for mode in DISCOVERY_MODES {
        let stopped = StoppedDiscovery::reserve();
        let fixture = Fixture::start(mode, stopped.address());
        fixture.wait_for_refused_calls(|line| {
            line.contains("the watch on discovery") && line.contains("refused")
        });

        let discovery = stopped.start();
        let mut watch = open_next_watch(&discovery, 41);
        watch.write_line(&endpoint_list(42, false, &fixture.changed_entries()));

        fixture.wait_for_change();
    }
}

/// Guards the watch on an agent against each kind of failure: a 503, a reset, an end before the response or within a
/// list, malformed JSON, and silence before and after the head of the response. `discovery_watch.rs` covers lists that
/// are sent on request.
#[test]
fn agent_watch_is_reopened_after_each_kind_of_failure() {
    let discovery = ManualDiscovery::start();
    let fixture = Fixture::start(PUSHED_MODE, discovery.address());

    let mut rejected = discovery.next_call();
    reject_with_list(&mut rejected);
    discovery.next_call().reset();
    drop(discovery.next_call());
    open_next_watch(&discovery, 41).write_chunk(INCOMPLETE_LIST);
    let mut malformed = open_next_watch(&discovery, 41);
    malformed.write_chunk("no JSON\n"); // stays open, so only this text can have ended the watch
    let unanswered = discovery.next_call();
    let silent = open_next_watch(&discovery, 41);
    let mut watch = open_next_watch(&discovery, 41);
    watch.write_line(&endpoint_list(51, false, &fixture.changed_entries()));

    fixture.wait_for_change();
    drop((rejected, malformed, unanswered, silent));
}

/// Guards the silence timeout: while a list is incomplete, heartbeats do not postpone the timeout.
#[test]
fn incomplete_list_times_out_despite_heartbeats() {
    for mode in DISCOVERY_MODES {
        let discovery = ManualDiscovery::start();
        let fixture = Fixture::start(mode, discovery.address());
        let mut incomplete = open_next_watch(&discovery, 41);
        incomplete.write_chunk(INCOMPLETE_LIST);

        let mut next_call = None;
        wait_until("the watch is reopened", || {
            incomplete.try_write_heartbeat();
            next_call = discovery.try_next_call();
            next_call.is_some()
        });
        let mut watch = next_call.expect("a call");
        assert!(watch.is_watch_since(41), "{}", watch.request_line);
        watch.open_watch();
        watch.write_line(&endpoint_list(51, false, &fixture.changed_entries()));

        fixture.wait_for_change();
    }
}

/// Guards an outstanding call against a reload that leaves discovery unchanged: the call stays open, and its response
/// is applied without another call.
#[test]
fn outstanding_call_survives_reload() {
    for mode in DISCOVERY_MODES {
        let discovery = ManualDiscovery::start();
        let mut fixture = Fixture::start(mode, discovery.address());
        drop(open_next_watch(&discovery, 41));
        let mut outstanding = discovery.next_call();
        assert!(
            outstanding.is_watch_since(41),
            "{}",
            outstanding.request_line
        );

        fixture.config["settings"]["bounds"]["sendCap"] = json!(2);
        fixture.reload();
        fixture
            .sidecar
            .wait_for_log("discovery stays, settings change in bounds");
        outstanding.open_watch();
        outstanding.write_line(&fixture.full_list(60));

        fixture.wait_for_change();
    }
}

/// Guards the fetch after a reload that moved discovery. Each kind of failure comes first: a refused call, a 503, no
/// response, half a list that ends, and half a list that stays open. Meanwhile the known list stays in force.
#[test]
fn fetch_from_a_new_discovery_is_retried_until_complete() {
    for mode in DISCOVERY_MODES {
        let (old, stopped) = (ManualDiscovery::start(), StoppedDiscovery::reserve());
        let mut fixture = Fixture::start(mode, old.address());
        let _watch = open_next_watch(&old, 41);
        fixture.move_discovery(stopped.address());
        fixture.wait_for_refused_calls(|line| line.contains("refused"));

        let new = stopped.start();
        reject_with_list(&mut next_fetch(&new));
        let unanswered = next_fetch(&new);
        let full_list = fixture.full_list(7);
        let incomplete_response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
            full_list.len(),
            &full_list[..full_list.len() / 2]
        );
        next_fetch(&new).write(&incomplete_response);
        let mut stays_open = next_fetch(&new);
        stays_open.write(&incomplete_response);
        let mut last_fetch = next_fetch(&new);
        assert_eq!(
            fixture.sidecar.metric("members"),
            Some(2),
            "an incomplete list has no effect"
        );
        last_fetch.respond_with_list(&full_list);
        let _watch = open_next_watch(&new, 7);

        fixture.wait_for_change();
        drop((unanswered, stays_open));
    }
}

/// Guards a reload that moves to a new discovery just as the old one recovers. The old one's response to the
/// outstanding call is in force until the new one has sent a list. An older list of the new one does not undo the
/// drain.
#[test]
fn response_of_the_previous_discovery_is_applied_before_a_new_list() {
    for mode in DISCOVERY_MODES {
        let (old, stopped) = (ManualDiscovery::start(), StoppedDiscovery::reserve());
        let mut fixture = Fixture::start(mode, old.address());
        let mut outstanding = old.next_call();

        fixture.sidecar.pause();
        fixture.move_discovery(stopped.address());
        outstanding.open_watch();
        outstanding.write_line(&endpoint_list(42, false, &fixture.changed_entries()));
        fixture.sidecar.resume();
        fixture.sidecar.wait_for_log("configuration reloaded");
        fixture.wait_for_change();

        let new = stopped.start();
        let all_entries = serving_entries(&fixture.endpoints.each_ref());
        next_fetch(&new).respond_with_list(&endpoint_list(7, true, &all_entries));
        let _watch = open_next_watch(&new, 7);
        fixture.wait_for_change();
    }
}

/// Guards a reload that moves to a new discovery while calls to the old one are refused and the next call is due. The
/// new one is called even if it starts before the reload is handled.
#[test]
fn new_discovery_started_before_the_reload_is_called() {
    for mode in DISCOVERY_MODES {
        let (old, stopped) = (StoppedDiscovery::reserve(), StoppedDiscovery::reserve());
        let mut fixture = Fixture::start(mode, old.address());
        fixture.sidecar.wait_for_log("refused");

        fixture.sidecar.pause();
        fixture.move_discovery(stopped.address());
        let new = stopped.start();
        fixture.sidecar.resume();
        next_fetch(&new).respond_with_list(&fixture.full_list(7));
        let _watch = open_next_watch(&new, 7);

        fixture.wait_for_change();
    }
}
