//! Limits, start and stop.

use crate::stubs::*;
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Guards the budget of descriptors: idle connections make room, so that every caller is accepted and served.
#[test]
fn idle_connections_make_room_for_new_ones() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut config = config(
        discovery.address,
        &[entry("e0", endpoint.address, "SERVING")],
    );
    config["limits"]["sockets"] = json!(48);
    let sidecar = Sidecar::start(&config);
    let mut kept = Vec::new();
    for _ in 0..150 {
        let mut client = sidecar.client();
        assert_eq!(client.exchange(&get_request("2")).status(), 200);
        kept.push(client);
    }
    assert!(kept[0].is_closed(), "the oldest has made room");
}

/// Guards SIGTERM: what was taken is answered, also on connections that come after it; those between requests
/// close; it ends in order.
#[test]
fn a_stop_answers_all_that_was_taken() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoint = Endpoint::start(move |message| {
        if message.header("x-class") == Some("unsafe") {
            let _ = released.lock().expect("the only one").recv();
        }
        respond_ok("late")
    });
    let (mut sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut idle = sidecar.client();
    assert_eq!(
        idle.exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    let mut waits = sidecar.client();
    waits.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    sidecar.terminate();
    assert!(idle.is_closed(), "it was between requests");
    assert_eq!(
        sidecar.client().exchange(&get_request("2")).status(),
        200,
        "a connection that comes after the word"
    );
    release.send(()).expect("the endpoint waits");
    let answer = waits.read().expect("what was taken is answered");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, "late".as_bytes())
    );
    assert!(waits.is_closed());
    assert!(sidecar.wait().success());
}

/// Guards the module's eyes where reports come with probes alone: they are asked for on the endpoint's own path, with no
/// request's id, and what its answer says reaches the module. Where probes are forbidden none is sent.
#[test]
fn load_reports_are_asked_for_where_only_probes_bring_them() {
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
            &[entry("e0", endpoint.address, "SERVING")],
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
        wait_until("the counts are told", || {
            count("requests") == 40 && (count("health_checks") > 0) == allowed
        });
        let health_checks = endpoint
            .take_requests()
            .into_iter()
            .filter(|m| m.header("x-request-id").is_none());
        let health_checks: Vec<String> = health_checks.map(|m| m.start_line).collect();
        assert!(
            health_checks
                .iter()
                .all(|first| first == "GET /status/load HTTP/1.1"),
            "{health_checks:?}"
        );
        let told = if report.starts_with("TEXT") {
            health_checks.len() as u64
        } else {
            0
        };
        wait_until("all reports are told", || {
            count("health_checks") == health_checks.len() as u64 && count("reports") == told
        });
    }
}

/// Guards the operators' eyes: what was asked, how it ended and what is held stand in the log, and not the silence after.
#[test]
fn the_log_counts_what_was_asked_and_how_it_ended() {
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
    wait_until("both are told", || {
        count("requests") == 2 && count("attempts_error") == 1 && count("rejected") == 1
    });
    assert_eq!(
        (count("failed"), count("served"), count("connects")),
        (1, 0, 1),
        "{:?}",
        sidecar.log()
    );
}

/// Guards service against the end of whoever reads the log: lines that cannot be written are left out, and a stop is one in
/// order.
#[test]
fn it_serves_on_where_nobody_reads_its_log() {
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
    let listens = lines.find_map(|line| line.split_once("listens on ")?.1.parse().ok());
    drop(lines);
    let mut client = Client::connect(listens.expect("it tells where it listens"));
    assert_eq!(client.exchange(&get_request("5")).status(), 200);
    for _ in 0..2 {
        drop(discovery.next_watch()); // a line each
    }
    send_signal(&child, "HUP");
    discovery.next_watch();
    send_signal(&child, "TERM");
    assert_eq!(
        client.exchange(&get_request("5")).status(),
        200,
        "its connections serve on for a while"
    );
    assert!(child.wait().expect("it ends").success());
    std::fs::remove_file(path).expect("the file goes");
}

/// Guards callers while another sidecar is down too: after SIGTERM none is sent here any more, but the connections that
/// they have still serve for a while, and what comes on them is answered well before the sidecar may be killed.
#[test]
fn connections_serve_on_for_a_while_after_a_stop() {
    let endpoint = Endpoint::start(|message| {
        if message.header("x-class") == Some("unsafe") {
            EndpointAction::Hang
        } else {
            respond_ok("served")
        }
    });
    let (mut sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let (mut first, mut second) = (sidecar.client(), sidecar.client());
    assert_eq!(first.exchange(&get_request("2")).status(), 200);
    assert_eq!(second.exchange(&get_request("2")).status(), 200);
    sidecar.terminate();
    let ready = || {
        sidecar
            .client()
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status()
    };
    wait_until("no new callers are asked for", || ready() == 503);
    let stopped = Instant::now();
    assert_eq!(
        first.exchange(&get_request("2")).status(),
        200,
        "its connection was kept"
    );
    assert_eq!(
        second.exchange(&post_request("unsafe", "10", "x")).status(),
        504,
        "an answer, before the sidecar is gone"
    );
    assert!(
        stopped.elapsed() < Duration::from_secs(9),
        "not just at the request's own deadline"
    );
    assert!(first.is_closed());
    assert!(sidecar.wait().success());
}

/// Guards the start: what is wrong with the configuration is one plain line and a failure.
#[test]
fn a_bad_configuration_is_one_plain_line() {
    let discovery = "127.0.0.1:1".parse().expect("an address");
    let mut senseless = config(discovery, &[]);
    senseless["settings"]["bounds"]["sendCap"] = json!(0);
    let mut unknown = config(discovery, &[]);
    unknown["settings"]["discovery"] = json!("hearsay");
    let mut seedless = config(discovery, &[]);
    seedless["seed"] = json!("no number");
    let mut files = vec![None, Some("/nowhere/config.json".into())];
    for text in [
        "",
        "{",
        &senseless.to_string(),
        &unknown.to_string(),
        &seedless.to_string(),
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
        path.filter(|p| p.is_file())
            .iter()
            .for_each(|p| std::fs::remove_file(p).expect("the file goes"));
    }
}
