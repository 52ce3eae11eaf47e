//! The life of a process: its start, limits, health checks, the counters in its log, and its graceful shutdown.

use crate::stubs::*;
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

/// Guards the descriptor budget: idle connections are evicted, and every caller is accepted and served.
#[test]
fn idle_connections_are_evicted_for_new_ones() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut config = config(
        discovery.address,
        &[list_entry("e0", endpoint.address, "SERVING")],
    );
    config["limits"]["sockets"] = json!(48);
    let sidecar = Sidecar::start(&config);
    let mut idle_clients = Vec::new();
    for _ in 0..150 {
        let mut client = sidecar.client();
        assert_eq!(client.exchange(&get_request("2")).status(), 200);
        idle_clients.push(client);
    }
    assert!(
        idle_clients[0].wait_for_clean_close(),
        "the oldest was evicted"
    );
}

/// Guards SIGTERM: open requests are answered, including those on connections accepted after it. Idle connections are
/// closed, and the process exits successfully.
#[test]
fn shutdown_answers_every_open_request() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |message| {
        if message.header("x-class") == Some("unsafe") {
            gate.wait();
        }
        respond_ok("late")
    });
    let (mut sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut idle_client = sidecar.client();
    assert_eq!(
        idle_client
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    let mut pending_client = sidecar.client();
    pending_client.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    sidecar.terminate();
    assert!(
        idle_client.wait_for_clean_close(),
        "its connection was idle"
    );
    assert_eq!(
        sidecar.client().exchange(&get_request("2")).status(),
        200,
        "a connection accepted after SIGTERM"
    );
    opener.release_one();
    let answer = pending_client.read().expect("the open request is answered");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, "late".as_bytes())
    );
    assert!(pending_client.wait_for_clean_close());
    assert!(sidecar.wait().success());
}

/// Guards settings under which load reports arrive only in responses to health checks. Health checks are sent to the
/// path for load reports, without a request id, and the reports in their responses reach the balancer. If the settings
/// forbid health checks, none is sent.
#[test]
fn health_checks_collect_load_reports() {
    for (allowed, report) in [
        (true, "TEXT load_share=0.1, depth=0"),
        (true, "no report"),
        (false, "TEXT load_share=0.1, depth=0"),
    ] {
        let endpoint = Endpoint::start(move |message| {
            respond_ok(if message.start_line == "GET /status/load HTTP/1.1" {
                report
            } else {
                "served"
            })
        });
        let discovery = Discovery::start();
        let mut config = config(
            discovery.address,
            &[list_entry("e0", endpoint.address, "SERVING")],
        );
        config["settings"]["report"]["how"] = json!("on_probe");
        config["settings"]["bounds"]["probes"] = json!(allowed);
        let sidecar = Sidecar::start(&config);
        let mut client = sidecar.client();
        for _ in 0..40 {
            let answer = client.exchange(&get_request("2"));
            assert_eq!(
                (answer.status(), answer.body.as_slice()),
                (200, "served".as_bytes())
            );
        }
        let count = |name: &str| sidecar.logged_count(name);
        wait_until("the counters are logged", || {
            count("requests") == 40 && (count("health_checks") > 0) == allowed
        });
        let health_checks = endpoint
            .take_requests()
            .into_iter()
            .filter(|message| message.header("x-request-id").is_none());
        let health_checks: Vec<String> = health_checks.map(|message| message.start_line).collect();
        assert!(
            health_checks
                .iter()
                .all(|start_line| start_line == "GET /status/load HTTP/1.1"),
            "{health_checks:?}"
        );
        let expected_reports = if report.starts_with("TEXT") {
            health_checks.len() as u64
        } else {
            0
        };
        wait_until("all reports are logged", || {
            count("health_checks") == health_checks.len() as u64
                && count("reports") == expected_reports
        });
    }
}

/// Guards the counters line of the log, which counts requests, final answers, attempts and connections.
#[test]
fn log_counts_requests_and_outcomes() {
    let endpoint = Endpoint::start(|_| {
        EndpointAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into())
    });
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    assert_eq!(
        client.exchange(&post_request("unsafe", "2", "x")).status(),
        502
    );
    assert_eq!(
        client
            .exchange(&post_request("unsafe", "0.001", "x"))
            .status(),
        503
    );
    let count = |name: &str| sidecar.logged_count(name);
    wait_until("both are logged", || {
        count("requests") == 2 && count("attempts_error") == 1 && count("rejected") == 1
    });
    assert_eq!(
        (count("failed"), count("served"), count("connects")),
        (1, 0, 1),
        "{:?}",
        sidecar.log()
    );
}

/// Guards the reasons in the log for early rejections and for closes, and the memory in it: what a process that was killed
/// had is not known otherwise.
#[test]
fn log_tells_why_callers_are_rejected_and_closed() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving_entries(&[&endpoint]));
    config["limits"]["memory_mb"] = json!(0);
    let sidecar = Sidecar::start(&config);
    let reply = sidecar.client().exchange(&post_request("unsafe", "2", "x"));
    assert_eq!(reply.status(), 503);
    let mut slow = sidecar.client();
    slow.write("GET /api HTTP/1.1\r\n");
    assert_eq!(slow.read().expect("an answer").status(), 408);
    wait_until("both are logged", || {
        sidecar.logged_count("early_memory") == 1
            && sidecar.logged_count("closed_head_timeout") == 1
            && sidecar.logged_count("memory_anonymous_kb") > 0
    });
}

/// Guards service while the log is closed: lines that cannot be written are dropped, and the shutdown is graceful.
#[test]
fn sidecar_serves_with_its_log_closed() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let path = temporary_file(
        &with_admin_address(config(discovery.address, &serving_entries(&[&endpoint]))).to_string(),
    );
    let mut child = sidecar_command()
        .env("ROUTER_CONFIG", &path)
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(child.stderr.take().expect("its log"))
        .lines()
        .map_while(Result::ok);
    let address = lines.find_map(|line| line.split_once("listens on ")?.1.parse().ok());
    drop(lines);
    let mut client = Client::connect(address.expect("it logs where it listens"));
    assert_eq!(client.exchange(&get_request("5")).status(), 200);
    for _ in 0..2 {
        drop(discovery.next_call()); // each lost watch is logged
    }
    send_signal(&child, "HUP");
    discovery.next_call();
    send_signal(&child, "TERM");
    assert_eq!(
        client.exchange(&get_request("5")).status(),
        200,
        "connections are served during a shutdown"
    );
    assert!(child.wait().expect("it ends").success());
    std::fs::remove_file(path).expect("the file is removed");
}

/// Guards callers that cannot move to another sidecar, because that one is down as well. After SIGTERM the sidecar is
/// not ready, but it serves connections for a while. Requests on them are answered well before the process may be
/// killed.
#[test]
fn connections_are_served_for_a_while_after_sigterm() {
    let endpoint = Endpoint::start(|message| {
        if message.header("x-class") == Some("unsafe") {
            EndpointAction::Hang
        } else {
            respond_ok("served")
        }
    });
    let (mut sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let (mut first_client, mut second_client) = (sidecar.client(), sidecar.client());
    assert_eq!(first_client.exchange(&get_request("2")).status(), 200);
    assert_eq!(second_client.exchange(&get_request("2")).status(), 200);
    sidecar.terminate();
    let ready = || {
        sidecar
            .client()
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status()
    };
    wait_until("it is not ready", || ready() == 503);
    let shutdown_begun = Instant::now();
    assert_eq!(
        first_client.exchange(&get_request("2")).status(),
        200,
        "its connection was kept"
    );
    assert_eq!(
        second_client
            .exchange(&post_request("unsafe", "10", "x"))
            .status(),
        504,
        "answered before the process exits"
    );
    assert!(
        shutdown_begun.elapsed() < Duration::from_secs(9),
        "ahead of the request's own deadline"
    );
    assert!(first_client.wait_for_clean_close());
    assert!(sidecar.wait().success());
}

/// Guards the start: an invalid configuration makes it fail, with a single line in the log.
#[test]
fn invalid_configuration_fails_the_start_with_one_line() {
    let discovery = "127.0.0.1:1".parse().expect("an address");
    let mut zero_send_cap = config(discovery, &[]);
    zero_send_cap["settings"]["bounds"]["sendCap"] = json!(0);
    let mut unknown_discovery_mode = config(discovery, &[]);
    unknown_discovery_mode["settings"]["discovery"] = json!("hearsay");
    let mut invalid_seed = config(discovery, &[]);
    invalid_seed["seed"] = json!("no number");
    let mut files = vec![None, Some("/nowhere/config.json".into())];
    for text in [
        "",
        "{",
        &zero_send_cap.to_string(),
        &unknown_discovery_mode.to_string(),
        &invalid_seed.to_string(),
    ] {
        files.push(Some(temporary_file(text)));
    }
    for path in files {
        let mut command = sidecar_command();
        if let Some(path) = &path {
            command.env("ROUTER_CONFIG", path);
        }
        let output = command.output().expect("the program starts");
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{error}");
        assert!(
            error.starts_with("balancer-sidecar: ") && error.lines().count() == 1,
            "{error}"
        );
        path.filter(|file| file.is_file())
            .iter()
            .for_each(|file| std::fs::remove_file(file).expect("the file is removed"));
    }
}
