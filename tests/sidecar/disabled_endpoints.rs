//! Endpoints that the operators disable and enable.

use crate::stubs::*;
use serde_json::json;
use std::path::Path;

/// Sends requests one after another; returns how many of them the endpoint received.
fn count_received(sidecar: &Sidecar, endpoint: &Endpoint, requests: usize) -> usize {
    let mut client = sidecar.client();
    endpoint.take_request_count();
    for _ in 0..requests {
        let response = client.exchange(&get_request("5"));
        assert_eq!(response.status(), 200);
        if response.header("connection") == Some("close") {
            client = sidecar.client();
        }
    }
    endpoint.take_request_count()
}

/// Once `DISABLE` is answered, the endpoint receives no request, whatever its list entry says, and its idle connections
/// are closed. A second `DISABLE` changes nothing. The metrics count the endpoint as unavailable. `ENABLE` undoes all
/// of this.
#[test]
fn disabled_endpoint_receives_nothing_until_enabled() {
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let (sidecar, discovery) = Sidecar::start_with_admin(&[&endpoints[0], &endpoints[1]]);
    let mut watch = discovery.next_call();
    assert!(count_received(&sidecar, &endpoints[0], 30) > 0);
    assert!(sidecar.admin_answers_yes("DISABLE e0"));
    endpoints[0].next_connection_close();
    assert_eq!(count_received(&sidecar, &endpoints[0], 30), 0);
    assert_eq!(
        ["members", "members_unavailable"].map(|metric| sidecar.metric(metric)),
        [Some(2), Some(1)]
    );
    watch.write_line(&endpoint_list(
        42,
        true,
        &serving_entries(&[&endpoints[0], &endpoints[1]]),
    ));
    drop(watch);
    assert!(
        discovery.next_call().request_line.contains("since=42 "),
        "the list has been received"
    );
    assert_eq!(count_received(&sidecar, &endpoints[0], 30), 0);
    assert!(sidecar.admin_answers_yes("DISABLE e0"));
    assert!(sidecar.admin_answers_yes("ENABLE e0"));
    assert!(
        count_received(&sidecar, &endpoints[0], 10) > 0,
        "it receives requests again"
    );
    assert_eq!(sidecar.metric("members_unavailable"), Some(0));
    for call in [
        "DISABLE e9",
        "ENABLE e9",
        "DISABLE e0 e1",
        "DISABLE",
        "ENABLE  ",
    ] {
        assert!(!sidecar.admin_answers_yes(call), "{call}");
    }
    assert_eq!(
        sidecar.metric("members_unavailable"),
        Some(0),
        "invalid commands change nothing"
    );
}

/// With no endpoint left to send to, the sidecar is not ready.
#[test]
fn sidecar_with_all_endpoints_disabled_is_not_ready() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    assert!(sidecar.admin_answers_yes("DISABLE e0") && !sidecar.admin_answers_yes("READY"));
    assert!(sidecar.admin_answers_yes("ENABLE e0") && sidecar.admin_answers_yes("READY"));
    assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
}

/// Starts a process. One that replaces an old process listens on the old one's address.
fn start_process(
    shared_directory: &Path,
    discovery: &Discovery,
    endpoints: &[&Endpoint],
    old_process: Option<&Sidecar>,
) -> Sidecar {
    let mut config = with_admin_address(config(discovery.address, &serving_entries(endpoints)));
    config["listen"] =
        json!(old_process.map_or("127.0.0.1:0".into(), |process| process.address.to_string()));
    Sidecar::start_in_directory(shared_directory, &config)
}

/// A new process starts with the stored state. While two processes run, each applies the commands that the other
/// receives. A later process starts with the state that they stored.
#[test]
fn hot_restart_keeps_disabled_endpoints() {
    let (shared_directory, discovery) = (temporary_directory(), Discovery::start());
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let endpoints_in_order = [&endpoints[0], &endpoints[1], &endpoints[2]];
    let mut old_process = start_process(&shared_directory, &discovery, &endpoints_in_order, None);
    assert!(old_process.admin_answers_yes("DISABLE e0"));
    let new_process = start_process(
        &shared_directory,
        &discovery,
        &endpoints_in_order,
        Some(&old_process),
    );
    wait_until("the new process is ready", || {
        new_process.admin_answers_yes("READY")
    });
    assert_eq!(
        new_process.metric("members_unavailable"),
        Some(1),
        "the new process starts with the stored state"
    );
    assert!(old_process.admin_answers_yes("DISABLE e1"));
    wait_until("the new process applies the command", || {
        new_process.metric("members_unavailable") == Some(2)
    });
    assert!(new_process.admin_answers_yes("ENABLE e0"));
    wait_until("the old process applies the command", || {
        old_process.metric("members_unavailable") == Some(1)
    });
    old_process.terminate();
    assert!(old_process.wait().success());
    assert_eq!(count_received(&new_process, &endpoints[1], 30), 0);
    drop(new_process);
    let last_process = start_process(&shared_directory, &discovery, &endpoints_in_order, None);
    assert_eq!(last_process.metric("members_unavailable"), Some(1));
    assert_eq!(count_received(&last_process, &endpoints[1], 30), 0);
    assert!(last_process.admin_answers_yes("ENABLE e1"));
    std::fs::remove_dir_all(shared_directory).expect("it is removed");
}

/// After two hot restarts in quick succession three processes run. Each applies a command that any of them receives,
/// and none takes the end of one process for the end of another.
#[test]
fn three_processes_share_disabled_endpoints() {
    let (shared_directory, discovery) = (temporary_directory(), Discovery::start());
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let endpoints_in_order = [&endpoints[0], &endpoints[1], &endpoints[2]];
    let first = start_process(&shared_directory, &discovery, &endpoints_in_order, None);
    let second = start_process(
        &shared_directory,
        &discovery,
        &endpoints_in_order,
        Some(&first),
    );
    first.wait_for_log("the new process accepts callers");
    second.wait_for_log("takes over");
    let third = start_process(
        &shared_directory,
        &discovery,
        &endpoints_in_order,
        Some(&second),
    );
    second.wait_for_log("the new process accepts callers");
    let unavailable = |sidecar: &Sidecar| sidecar.metric("members_unavailable");
    for (index, process) in [&first, &second, &third].into_iter().enumerate() {
        assert!(process.admin_answers_yes(&format!("DISABLE e{index}")));
        let have_all_applied_it = || {
            [&first, &second, &third]
                .into_iter()
                .all(|process| unavailable(process) == Some(index as u64 + 1))
        };
        wait_until(
            "all processes have applied the command",
            have_all_applied_it,
        );
    }
    drop(first);
    second.wait_for_log("the old process has ended");
    assert!(second.admin_answers_yes("ENABLE e2"));
    wait_until("the third process applies the command", || {
        unavailable(&third) == Some(2)
    });
    drop(third);
    second.wait_for_log("accepting callers again");
    assert_eq!(
        second
            .client()
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    std::fs::remove_dir_all(shared_directory).expect("it is removed");
}

/// A stored file that cannot be read is ignored, and the next command replaces it.
#[test]
fn malformed_file_of_disabled_endpoints_is_ignored() {
    let (shared_directory, discovery) = (temporary_directory(), Discovery::start());
    let endpoint = Endpoint::start(|_| respond_ok(""));
    for text in [
        &b""[..],
        b"[\"e0",
        b"{\"e0\":true}",
        b"\xff\xfe",
        &vec![b'['; 3 << 20],
    ] {
        std::fs::write(shared_directory.join("pipittray.disabled"), text).expect("a file");
        let sidecar = start_process(&shared_directory, &discovery, &[&endpoint], None);
        assert!(sidecar.admin_answers_yes("READY"));
        assert!(sidecar.admin_answers_yes("DISABLE e0") && sidecar.admin_answers_yes("ENABLE e0"));
        let stored = std::fs::read_to_string(shared_directory.join("pipittray.disabled"))
            .expect("it is written anew");
        assert_eq!(stored, "[]");
    }
    std::fs::remove_dir_all(shared_directory).expect("it is removed");
}
