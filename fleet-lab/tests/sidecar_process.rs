//! Configurations of sidecars, and processes of the sidecar program.

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

/// The longest time that a test waits for a state.
const TIMEOUT: Duration = Duration::from_secs(20);

fn class(name: &str, is_unsafe: bool) -> RequestClass {
    RequestClass {
        name: name.into(),
        is_unsafe,
        priority_weight: 1.0,
        deadline: Duration::from_secs(10),
    }
}

fn sidecar_configuration(
    discovery: SocketAddr,
    endpoints: Vec<EndpointEntry>,
) -> SidecarConfiguration {
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
        load_reports: LoadReports::WithResponses,
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
        machine_type: "m".into(),
        group: 0,
        status: EndpointStatus::Serving,
        weight: 1.0,
        since_ms: 0,
    }
}

/// Returns a listener that accepts connections into its backlog and never responds.
fn unresponsive_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("the listener has an address")
}

/// Starts an endpoint that responds to each request until this process ends.
fn start_endpoint() -> SocketAddr {
    let listener = unresponsive_listener();
    let address = address_of(&listener);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve_requests(stream));
        }
    });
    address
}

fn serve_requests(mut stream: TcpStream) {
    let reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
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

/// Sends a request and returns the status line of the response.
fn call(sidecar: SocketAddr) -> String {
    let mut stream = TcpStream::connect(sidecar).expect("the sidecar accepts");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the read timeout is set");
    let request = "GET /api HTTP/1.1\r\nHost: s\r\nX-Request-Id: 1\r\nX-Class: browse\r\nX-Deadline: 10\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .expect("the request is written");
    let mut status = String::new();
    BufReader::new(stream)
        .read_line(&mut status)
        .expect("the response has a status line");
    status.trim_end().into()
}

#[test]
fn settings_have_configured_values() {
    let mut configuration =
        sidecar_configuration(SocketAddr::from(([127, 0, 0, 1], 1)), Vec::new());
    let settings =
        parse_settings(&configuration.settings().to_string()).expect("the settings are parsed");
    settings.validate().expect("the settings are valid");
    assert_eq!(
        (settings.balancers, settings.peer_id.0, settings.zones),
        (3, 1, 2)
    );
    assert_eq!((settings.tier, settings.tiers), (0, 2));
    assert_eq!(settings.discovery, DiscoveryMode::OnRequest);
    assert_eq!(settings.reporting, Reporting::WithResponses);
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
    let settings =
        parse_settings(&configuration.settings().to_string()).expect("the settings are parsed");
    assert_eq!(settings.discovery, DiscoveryMode::Pushed);
    assert_eq!(settings.reporting, Reporting::WithHealthChecks);
    assert!(settings.limits.health_checks);
}

#[test]
fn sidecar_serves_until_killed() {
    let discovery = unresponsive_listener();
    let configuration =
        sidecar_configuration(address_of(&discovery), vec![entry(start_endpoint())]);
    let sidecar =
        SidecarProcess::start(sidecar_program(), &configuration).expect("the sidecar starts");
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

    let usage = sidecar.usage().expect("the sidecar process runs");
    assert!(usage.processor_time > Duration::ZERO);
    assert!(usage.anonymous_bytes > 0 && usage.anonymous_bytes <= usage.resident_bytes);
    assert!(usage.descriptors > 0);

    let address = sidecar.address();
    sidecar.kill();
    assert!(
        TcpStream::connect(address).is_err(),
        "the killed sidecar still listens"
    );
}

#[test]
fn reload_applies_valid_and_rejects_invalid_configuration() {
    let discovery = unresponsive_listener();
    let first = sidecar_configuration(address_of(&discovery), vec![entry(start_endpoint())]);
    let sidecar = SidecarProcess::start(sidecar_program(), &first).expect("the sidecar starts");
    let mut second = first.clone();
    second.classes.push(class("search", false));
    sidecar.reload(&second).expect("the reload is applied");
    assert_eq!(sidecar.metric("completed{lane=\"search\"}"), Some(0));
    sidecar.reload(&first).expect("the reload is applied");
    assert_eq!(sidecar.metric("config_reloads"), Some(2));

    let mut without_classes = first;
    without_classes.classes.clear();
    let error = sidecar
        .reload(&without_classes)
        .expect_err("a reload without request classes is rejected");
    assert!(
        error.to_string().contains("the reload was rejected"),
        "{error}"
    );
    assert_eq!(sidecar.metric("config_reloads"), Some(2));
    sidecar.terminate();
}

#[test]
fn start_error_quotes_log() {
    let configuration = sidecar_configuration(SocketAddr::from(([127, 0, 0, 1], 1)), Vec::new());
    let error = SidecarProcess::start(Path::new("true"), &configuration)
        .expect_err("the program ends without listening");
    assert!(
        error.to_string().contains("ended before it listened"),
        "{error}"
    );

    let mut without_classes = configuration;
    without_classes.classes.clear();
    let started = SidecarProcess::start(sidecar_program(), &without_classes);
    let error = started.expect_err("settings without request classes are rejected");
    assert!(
        error.to_string().contains("settings.categories: is empty"),
        "{error}"
    );
}
