//! Configurations of sidecars, and real sidecars as processes.

#[path = "support/sidecar_program.rs"]
mod sidecar_program;

use balancer_sidecar::configuration::settings_document::parse_settings;
use balancer_sidecar::policy::{DiscoveryMode, Idempotency, Reporting};
use fleet_lab::discovery::{EndpointEntry, EndpointStatus, ListSnapshot};
use fleet_lab::sidecar::configuration::{
    LoadReports, RequestClass, ResourceLimits, SidecarConfiguration, TierPosition,
};
use fleet_lab::sidecar::process::SidecarProcess;
use sidecar_program::sidecar_program;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// How long a test waits for anything at most.
const TIMEOUT: Duration = Duration::from_secs(20);

fn class(name: &str, is_unsafe: bool) -> RequestClass {
    RequestClass {
        name: name.into(),
        is_unsafe,
        priority_weight: 1.0,
        deadline: Duration::from_secs(10),
    }
}

fn configuration(discovery: SocketAddr, endpoints: Vec<EndpointEntry>) -> SidecarConfiguration {
    SidecarConfiguration {
        name: "n0".into(),
        zone: "a".into(),
        zones: vec!["a".into(), "b".into()],
        position: TierPosition {
            number: 1,
            sidecars: 3,
            tier: 0,
            tiers: 2,
        },
        discovery,
        discovery_mode: DiscoveryMode::OnRequest,
        cached_list: Some(ListSnapshot {
            version: 41,
            endpoints,
        }),
        classes: vec![class("browse", false), class("order", true)],
        load_reports: LoadReports::WithAnswers,
        seed: 7,
        limits: ResourceLimits {
            memory_mb: 128,
            descriptors: 1024,
        },
    }
}

fn entry(address: SocketAddr) -> EndpointEntry {
    EndpointEntry {
        name: "e0".into(),
        address,
        zone: "a".into(),
        kind: "m".into(),
        group: 0,
        status: EndpointStatus::Serving,
        weight: 1.0,
        since_ms: 0,
    }
}

/// Accepts connections in its backlog and never answers on them.
fn unresponsive_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// Starts an endpoint that answers each request until this process ends.
fn start_endpoint() -> SocketAddr {
    let listener = unresponsive_listener();
    let address = address_of(&listener);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || answer_requests(stream));
        }
    });
    address
}

fn answer_requests(mut stream: TcpStream) {
    let reader = BufReader::new(stream.try_clone().expect("a second handle"));
    for line in reader.lines().map_while(Result::ok) {
        if line.is_empty()
            && stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
                .is_err()
        {
            return;
        }
    }
}

/// Sends a request and returns the status line of the answer.
fn call(sidecar: SocketAddr) -> String {
    let mut stream = TcpStream::connect(sidecar).expect("the sidecar accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let request = "GET /api HTTP/1.1\r\nHost: s\r\nX-Request-Id: 1\r\nX-Class: browse\r\nX-Deadline: 10\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .expect("the request is written");
    let mut status = String::new();
    BufReader::new(stream)
        .read_line(&mut status)
        .expect("a status line");
    status.trim_end().into()
}

#[test]
fn the_settings_are_valid_and_have_the_configured_values() {
    let mut configuration = configuration(SocketAddr::from(([127, 0, 0, 1], 1)), Vec::new());
    let settings = parse_settings(&configuration.settings().to_string()).expect("settings");
    settings.validate().expect("settings that make sense");
    assert_eq!(
        (settings.balancers, settings.peer_id.0, settings.zones),
        (3, 1, 2)
    );
    assert_eq!((settings.tier, settings.tiers), (0, 2));
    assert_eq!(settings.discovery, DiscoveryMode::OnRequest);
    assert_eq!(settings.reporting, Reporting::WithAnswers);
    let classes: Vec<(&str, Idempotency)> = settings
        .classes
        .iter()
        .map(|class| (&*class.name, class.idempotency))
        .collect();
    assert_eq!(
        classes,
        [
            ("browse", Idempotency::Idempotent),
            ("order", Idempotency::Unsafe)
        ]
    );

    configuration.discovery_mode = DiscoveryMode::Pushed;
    configuration.load_reports = LoadReports::WithHealthChecks;
    let settings = parse_settings(&configuration.settings().to_string()).expect("settings");
    assert_eq!(settings.discovery, DiscoveryMode::Pushed);
    assert_eq!(settings.reporting, Reporting::WithHealthChecks);
    assert!(settings.limits.health_checks);
}

#[test]
fn a_sidecar_starts_serves_and_is_killed() {
    let discovery = unresponsive_listener();
    let configuration = configuration(address_of(&discovery), vec![entry(start_endpoint())]);
    let sidecar = SidecarProcess::start(sidecar_program(), &configuration).expect("it starts");
    assert!(
        sidecar.wait_until_ready(TIMEOUT).is_some(),
        "{:?}",
        sidecar.log()
    );
    assert_ne!(sidecar.address(), sidecar.admin_address());

    assert_eq!(call(sidecar.address()), "HTTP/1.1 200 OK");
    assert_eq!(sidecar.metric("completed{lane=\"browse\"}"), Some(1));
    assert_eq!(sidecar.metric("members"), Some(1));
    assert_eq!(sidecar.metric("no_such_figure"), None);

    let usage = sidecar.usage().expect("it runs");
    assert!(usage.processor_time > Duration::ZERO);
    assert!(usage.anonymous_bytes > 0 && usage.anonymous_bytes <= usage.resident_bytes);
    assert!(usage.descriptors > 0);

    let address = sidecar.address();
    sidecar.kill();
    assert!(TcpStream::connect(address).is_err(), "it still listens");
}

#[test]
fn a_valid_configuration_is_reloaded_and_an_invalid_one_is_rejected() {
    let discovery = unresponsive_listener();
    let first = configuration(address_of(&discovery), vec![entry(start_endpoint())]);
    let sidecar = SidecarProcess::start(sidecar_program(), &first).expect("it starts");
    let mut second = first.clone();
    second.classes.push(class("search", false));
    sidecar.reload(&second).expect("it is taken");
    assert_eq!(sidecar.metric("completed{lane=\"search\"}"), Some(0));
    sidecar.reload(&first).expect("it is taken");
    assert_eq!(sidecar.metric("config_reloads"), Some(2));

    let mut without_classes = first;
    without_classes.classes.clear();
    let error = sidecar
        .reload(&without_classes)
        .expect_err("no instance can work with it");
    assert!(
        error.to_string().contains("the reload was rejected"),
        "{error}"
    );
    assert_eq!(sidecar.metric("config_reloads"), Some(2));
    sidecar.terminate();
}

#[test]
fn the_error_of_a_program_that_ends_quotes_its_log() {
    let configuration = configuration(SocketAddr::from(([127, 0, 0, 1], 1)), Vec::new());
    let failure = SidecarProcess::start(Path::new("true"), &configuration).expect_err("it ends");
    assert!(
        failure.to_string().contains("ended before it listened"),
        "{failure}"
    );

    let mut without_classes = configuration;
    without_classes.classes.clear();
    let started = SidecarProcess::start(sidecar_program(), &without_classes);
    let failure = started.expect_err("settings without a class are rejected");
    assert!(
        failure
            .to_string()
            .contains("settings.categories: is empty"),
        "{failure}"
    );
}
