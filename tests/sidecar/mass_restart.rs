//! Many sidecars that restart at once, over a discovery that handles few calls: none is ready later for the others' calls,
//! and none makes more calls than it has to.

use crate::stubs::*;
use serde_json::{Value, json};
use std::process::Child;

/// Sidecars of a fleet, enough for their calls to queue.
const SIDECARS: usize = 20;
const OVERLOADED: &str = "HTTP/1.1 503 Overloaded\r\nContent-Length: 0\r\n\r\n";

/// How sidecars learn of changes, as the settings name it.
const PUSHED: &str = "automatic";
const ASKED: &str = "subscribe";

/// A sidecar, and discovery as it alone reaches it: whose a call is shows in where it comes.
struct Member {
    sidecar: Sidecar,
    discovery: ManualDiscovery,
    config: Value,
}

impl Member {
    fn is_ready(&self) -> bool {
        let status = self
            .sidecar
            .client()
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status();
        assert!(matches!(status, 200 | 503), "{status}");
        status == 200
    }

    /// Its one call that waits for an answer. A second one beside it would cost discovery an answer for nothing.
    fn only_call(&self) -> DiscoveryCall {
        let mut calls = Vec::new();
        wait_until("a call", || {
            calls = self.discovery.take_open_calls();
            !calls.is_empty()
        });
        assert_eq!(
            calls.len(),
            1,
            "{:?}",
            calls.iter().map(|c| &c.request_line).collect::<Vec<_>>()
        );
        calls.remove(0)
    }
}

/// Starts a process for each configuration, all before any is looked at.
fn start_at_once(configs: &[Value]) -> Vec<Sidecar> {
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
        std::fs::remove_file(path).expect("the file goes");
    }
    sidecars
}

/// A fleet that has just started, no call of which has been answered. No other test uses its network address, so that a
/// port that a killed process had stays free: processes that the operators can call would share it unnoticed.
fn fleet(network_address: &str, mode: &str, known: &Value) -> Vec<Member> {
    let discoveries: Vec<ManualDiscovery> =
        (0..SIDECARS).map(|_| ManualDiscovery::start()).collect();
    let configure = |(number, discovery): (usize, &ManualDiscovery)| {
        let mut config = with_admin_address(config(discovery.address(), &[]));
        config["listen"] = json!(format!("{network_address}:0"));
        config["known"] = known.clone();
        config["settings"]["discovery"] = json!(mode);
        config["settings"]["balancers"] = json!(SIDECARS);
        config["settings"]["myNumber"] = json!(number);
        config
    };
    let configs: Vec<Value> = discoveries.iter().enumerate().map(configure).collect();
    let sidecars = start_at_once(&configs);
    let parts = sidecars.into_iter().zip(discoveries).zip(configs);
    parts
        .map(|((sidecar, discovery), config)| Member {
            sidecar,
            discovery,
            config,
        })
        .collect()
}

/// Kills all processes and starts them again under their addresses. What they asked of discovery died with them.
fn restart_at_once(fleet: &mut [Member]) {
    for member in fleet.iter_mut() {
        member.config["listen"] = json!(member.sidecar.address.to_string());
        member.sidecar.kill();
    }
    let configs: Vec<Value> = fleet.iter().map(|member| member.config.clone()).collect();
    for (member, sidecar) in fleet.iter_mut().zip(start_at_once(&configs)) {
        member.sidecar = sidecar;
    }
}

fn known(endpoints: &[Value]) -> Value {
    json!({"index": 41, "snapshot": true, "endpoints": endpoints})
}

/// Guards the start with known endpoints: all serve before discovery has answered anyone, a call that fails leaves them
/// serving, and each is current with the first answer that it gets. One call a process waits at any time.
fn known_endpoints_are_enough(network_address: &str, mode: &str) {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let mut fleet = fleet(
        network_address,
        mode,
        &known(&serving_entries(&[&endpoint])),
    );
    let connected: Vec<Client> = fleet.iter().map(|member| member.sidecar.client()).collect();
    restart_at_once(&mut fleet);
    drop(connected);
    let serves = |member: &Member| {
        assert!(member.is_ready(), "{mode}: {:?}", member.sidecar.log());
        assert!(member.sidecar.call_is_yes("READY"));
        assert_eq!(
            member.sidecar.client().exchange(&get_request("5")).status(),
            200
        );
    };
    fleet.iter().for_each(serves);
    for member in &fleet {
        let mut call = member.only_call();
        assert!(call.is_watch_since(41), "{mode}: {}", call.request_line);
        call.write(OVERLOADED);
    }
    let mut watches = Vec::new();
    for member in &fleet {
        let mut watch = member.only_call();
        assert!(watch.is_watch_since(41), "{mode}: {}", watch.request_line);
        serves(member);
        watch.open_watch();
        let started = entry(
            "started",
            Endpoint::start(|_| respond_ok("")).address,
            "SERVING",
        );
        watch.write_line(&list(42, false, &[started]));
        wait_until("the list is current", || {
            member.sidecar.metric("members") == Some(2)
        });
        assert_eq!(
            member.discovery.take_open_calls().len(),
            0,
            "{mode}: it has all that it needs"
        );
        watches.push(watch);
    }
}

#[test]
fn sidecars_that_know_endpoints_serve_before_their_agents_answer() {
    known_endpoints_are_enough("127.20.0.1", PUSHED);
}

#[test]
fn sidecars_that_know_endpoints_serve_before_discovery_answers() {
    known_endpoints_are_enough("127.20.0.2", ASKED);
}

/// Guards the start with no known endpoint: each is ready with the one whole list that it asks for, and does not wait for
/// the answer to the watch that follows. So many answers make so many ready.
fn one_answer_is_enough(network_address: &str, mode: &str) {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let mut fleet = fleet(network_address, mode, &Value::Null);
    restart_at_once(&mut fleet);
    assert!(fleet.iter().all(|member| !member.is_ready()));
    for (answers, member) in fleet.iter().enumerate() {
        let mut call = member.only_call();
        assert!(
            call.request_line.starts_with("GET /v1/endpoints "),
            "{mode}: {}",
            call.request_line
        );
        assert_eq!(fleet.iter().filter(|m| m.is_ready()).count(), answers);
        let text = list(42, true, &serving_entries(&[&endpoint]));
        call.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        ));
        wait_until("it is ready", || member.is_ready());
        assert_eq!(
            member.sidecar.client().exchange(&get_request("5")).status(),
            200
        );
        let watch = member.only_call();
        assert!(watch.is_watch_since(42), "{mode}: {}", watch.request_line);
    }
}

#[test]
fn sidecars_that_know_nothing_are_ready_with_one_answer_of_their_agents() {
    one_answer_is_enough("127.20.0.3", PUSHED);
}

#[test]
fn sidecars_that_know_nothing_are_ready_with_one_answer_of_discovery() {
    one_answer_is_enough("127.20.0.4", ASKED);
}
