//! Many sidecars that restart at the same time while discovery answers few calls. The calls of one sidecar do not delay
//! the readiness of another, and no sidecar makes more calls than necessary.

use crate::stubs::*;
use serde_json::{Value, json};
use std::process::Child;

/// The number of sidecars in the fleet, large enough for their calls to queue.
const SIDECARS: usize = 20;
const OVERLOADED: &str = "HTTP/1.1 503 Overloaded\r\nContent-Length: 0\r\n\r\n";

/// A sidecar with a discovery stub of its own, which shows which sidecar made a call.
struct FleetMember {
    sidecar: Sidecar,
    discovery: ManualDiscovery,
    config: Value,
}

impl FleetMember {
    fn is_ready(&self) -> bool {
        let status = self.sidecar.client().exchange(READY_REQUEST).status();
        assert!(matches!(status, 200 | 503), "{status}");
        status == 200
    }

    /// Waits for a call, and asserts that it is the sidecar's only outstanding one. A second call would cost discovery
    /// a useless response.
    fn expect_only_call(&self) -> DiscoveryCall {
        let mut calls = Vec::new();
        wait_until("a call", || {
            calls = self.discovery.take_open_calls();
            !calls.is_empty()
        });
        let request_lines: Vec<_> = calls.iter().map(|call| &call.request_line).collect();
        assert_eq!(calls.len(), 1, "{request_lines:?}");
        calls.remove(0)
    }

    /// Asserts that the sidecar is ready, over HTTP and at the operators' address, and serves a request.
    fn assert_serves(&self, mode: &str) {
        assert!(self.is_ready(), "{mode}: {:?}", self.sidecar.log());
        assert!(self.sidecar.admin_answers_yes("READY"));
        assert_eq!(
            self.sidecar.client().exchange(&get_request("5")).status(),
            200
        );
    }
}

/// Starts a process for each configuration before it waits for any of the processes.
fn start_concurrently(configs: &[Value]) -> Vec<Sidecar> {
    let paths: Vec<_> = configs
        .iter()
        .map(|config| temporary_file(&config.to_string()))
        .collect();
    let start = |path| {
        sidecar_command()
            .env("ROUTER_CONFIG", path)
            .spawn()
            .expect("the program starts")
    };
    let children: Vec<Child> = paths.iter().map(start).collect();
    let sidecars = children.into_iter().map(Sidecar::from_child).collect();
    for path in &paths {
        std::fs::remove_file(path).expect("the file is removed");
    }
    sidecars
}

/// Starts a fleet whose discovery calls have not been answered.
///
/// Each test needs a network address of its own, which keeps the port of a killed process free for its restart.
/// Processes with an operators' address share listening ports: if another process took the port, the test would not
/// notice.
fn start_fleet(network_address: &str, mode: &str, cached_list: &Value) -> Vec<FleetMember> {
    let discoveries: Vec<ManualDiscovery> =
        (0..SIDECARS).map(|_| ManualDiscovery::start()).collect();
    let configure = |(number, discovery): (usize, &ManualDiscovery)| {
        let mut config = with_admin_address(config(discovery.address(), &[]));
        config["listen"] = json!(format!("{network_address}:0"));
        config["known"] = cached_list.clone();
        config["settings"]["discovery"] = json!(mode);
        config["settings"]["balancers"] = json!(SIDECARS);
        config["settings"]["myNumber"] = json!(number);
        config
    };
    let configs: Vec<Value> = discoveries.iter().enumerate().map(configure).collect();
    let sidecars = start_concurrently(&configs);
    let members = sidecars.into_iter().zip(discoveries).zip(configs);
    members
        .map(|((sidecar, discovery), config)| FleetMember {
            sidecar,
            discovery,
            config,
        })
        .collect()
}

/// Kills all processes and starts them again at their addresses. Their discovery calls end with them.
fn restart_concurrently(fleet: &mut [FleetMember]) {
    for member in fleet.iter_mut() {
        member.config["listen"] = json!(member.sidecar.address.to_string());
        member.sidecar.kill();
    }
    let configs: Vec<Value> = fleet.iter().map(|member| member.config.clone()).collect();
    for (member, sidecar) in fleet.iter_mut().zip(start_concurrently(&configs)) {
        member.sidecar = sidecar;
    }
}

fn cached_list(endpoints: &[Value]) -> Value {
    json!({"index": 41, "snapshot": true, "endpoints": endpoints})
}

/// Guards the start with a cached list: all sidecars serve before discovery has answered any call. After a failed call
/// they still serve, and the first response to each sidecar makes its list current. Each sidecar has one outstanding
/// call at a time.
fn assert_cached_list_suffices(network_address: &str, mode: &str) {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let cached_list = cached_list(&serving_entries(&[&endpoint]));
    let mut fleet = start_fleet(network_address, mode, &cached_list);
    let clients: Vec<Client> = fleet.iter().map(|member| member.sidecar.client()).collect();
    restart_concurrently(&mut fleet);
    drop(clients);

    for member in &fleet {
        member.assert_serves(mode);
    }
    for member in &fleet {
        let mut call = member.expect_only_call();
        assert!(call.is_watch_since(41), "{mode}: {}", call.request_line);
        call.write(OVERLOADED);
    }
    let mut watches = Vec::new();
    for member in &fleet {
        let mut watch = member.expect_only_call();
        assert!(watch.is_watch_since(41), "{mode}: {}", watch.request_line);
        member.assert_serves(mode);
        watch.open_watch();
        let new_entry = list_entry(
            "started",
            Endpoint::start(|_| respond_ok("")).address,
            "SERVING",
        );
        watch.write_line(&endpoint_list(42, false, &[new_entry]));
        wait_until("the list is current", || {
            member.sidecar.metric("members") == Some(2)
        });
        assert_eq!(
            member.discovery.take_open_calls().len(),
            0,
            "{mode}: the sidecar makes no further call"
        );
        watches.push(watch);
    }
}

#[test]
fn sidecars_with_a_cached_list_serve_before_agents_respond() {
    assert_cached_list_suffices("127.20.0.1", PUSHED_MODE);
}

#[test]
fn sidecars_with_a_cached_list_serve_before_discovery_responds() {
    assert_cached_list_suffices("127.20.0.2", ON_REQUEST_MODE);
}

/// Guards the start without a cached list: each sidecar is ready once its only fetch is answered, and does not wait for
/// the watch that follows. Each response therefore makes one sidecar ready.
fn assert_one_fetch_suffices(network_address: &str, mode: &str) {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let mut fleet = start_fleet(network_address, mode, &Value::Null);
    restart_concurrently(&mut fleet);
    assert!(fleet.iter().all(|member| !member.is_ready()));

    for (responses, member) in fleet.iter().enumerate() {
        let mut call = member.expect_only_call();
        assert!(call.is_fetch(), "{mode}: {}", call.request_line);
        let ready_count = fleet.iter().filter(|member| member.is_ready()).count();
        assert_eq!(ready_count, responses);
        call.respond_with_list(&endpoint_list(42, true, &serving_entries(&[&endpoint])));
        wait_until("the sidecar is ready", || member.is_ready());
        assert_eq!(
            member.sidecar.client().exchange(&get_request("5")).status(),
            200
        );
        let watch = member.expect_only_call();
        assert!(watch.is_watch_since(42), "{mode}: {}", watch.request_line);
    }
}

#[test]
fn one_response_of_its_agent_makes_a_sidecar_ready() {
    assert_one_fetch_suffices("127.20.0.3", PUSHED_MODE);
}

#[test]
fn one_response_of_discovery_makes_a_sidecar_ready() {
    assert_one_fetch_suffices("127.20.0.4", ON_REQUEST_MODE);
}
