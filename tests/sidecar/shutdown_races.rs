//! Races of a shutdown or a listener hand-over with other events. `docs/event-races.md` lists the pairs.

use crate::stubs::*;
use serde_json::json;
use std::io::Read;
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Starts a sidecar whose requests have this deadline, and a client that is idle after its first response.
fn start_with_idle_client(
    discovery: &Discovery,
    endpoint: &Endpoint,
    deadline: Duration,
) -> (Sidecar, Client) {
    let sidecar = Sidecar::start(&config_with_deadline(discovery, &[endpoint], deadline));
    let mut idle_client = sidecar.client();
    assert_eq!(idle_client.exchange(READY_REQUEST).status(), 200);
    (sidecar, idle_client)
}

/// SIGTERM while requests are partly read: each request is answered once it is complete. A second SIGTERM, a `DRAIN`
/// and an `UNDRAIN` in between change nothing.
#[test]
fn shutdown_waits_for_partly_read_requests() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let (mut sidecar, mut idle_client) =
        start_with_idle_client(&discovery, &endpoint, Duration::from_secs(1));
    let requests = [get_request("1"), post_request("unsafe", "1", "hello")];
    let mut partial_requests: Vec<(Client, &str)> = Vec::new();
    sidecar.terminate();
    wait_until("the sidecar shuts down", || {
        sidecar.client().exchange(READY_REQUEST).status() == 503
    });
    for (request, split_at) in requests.iter().zip([20, requests[1].len() - 3]) {
        let mut client = sidecar.client();
        client.write(&request[..split_at]);
        partial_requests.push((client, &request[split_at..]));
    }
    sidecar.terminate();
    assert!(sidecar.admin_answers_yes("DRAIN") && !sidecar.admin_answers_yes("READY"));
    assert!(
        sidecar.admin_answers_yes("UNDRAIN") && !sidecar.admin_answers_yes("READY"),
        "the shutdown continues"
    );
    assert!(idle_client.wait_for_clean_close(), "idle connections close");
    for (client, rest) in &mut partial_requests {
        client.write(rest);
        assert_eq!(client.read().expect("an answer").status(), 200);
        assert!(client.wait_for_clean_close());
    }
    assert!(sidecar.wait().success());
}

/// Connections in the kernel's backlog when the listener closes are accepted and answered, not reset.
#[test]
fn shutdown_answers_the_backlog_of_the_closing_listener() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let (mut sidecar, mut idle_client) =
        start_with_idle_client(&discovery, &endpoint, Duration::from_secs(3));
    sidecar.terminate();
    assert!(
        idle_client.wait_for_clean_close(),
        "idle connections are being closed"
    );
    sidecar.pause();
    let mut late_clients: Vec<Client> = (0..12)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&get_request("3"));
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(900)); // past the time in which the shutdown accepts connections
    sidecar.resume();
    for client in &mut late_clients {
        // Served, or rejected because the shutdown's time for requests is over.
        let response = client.read().map(|response| response.status());
        assert!(
            matches!(response, Some(200 | 503)),
            "{response:?} {:?}",
            sidecar.log()
        );
    }
    assert!(sidecar.wait().success());
}

/// The process is paused until the time is over in which its shutdown accepts connections. Callers that connected
/// meanwhile and send a request soon after the process resumes are answered. A caller that sends no request does not
/// delay the shutdown.
#[test]
fn shutdown_answers_requests_sent_after_a_late_accept() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    // Requests must arrive within 0.3 s. A busy machine may take longer, and then the whole procedure is repeated.
    wait_until("the late clients send their requests in time", || {
        let discovery = Discovery::start();
        let (mut sidecar, mut idle_client) =
            start_with_idle_client(&discovery, &endpoint, Duration::from_secs(3));
        sidecar.terminate();
        assert!(
            idle_client.wait_for_clean_close(),
            "idle connections are being closed"
        );
        sidecar.pause();
        let descriptors_before = sidecar.descriptor_count();
        let mut late_clients: Vec<Client> = (0..12).map(|_| sidecar.client()).collect();
        let mut silent_client = sidecar.client();
        std::thread::sleep(Duration::from_millis(900)); // past the time in which the shutdown accepts connections
        let resumed_at = Instant::now();
        sidecar.resume();
        wait_until("the late clients are accepted", || {
            sidecar.descriptor_count() > descriptors_before + 11
        });
        for client in &mut late_clients {
            client.write(&get_request("3"));
        }
        let in_time = resumed_at.elapsed() < Duration::from_millis(250);
        for client in &mut late_clients {
            let response = client.read().map(|response| response.status());
            assert!(
                matches!(response, Some(200 | 503)) || !in_time,
                "{response:?} {:?}",
                sidecar.log()
            );
        }
        assert!(silent_client.wait_for_clean_close());
        assert!(sidecar.wait().success());
        in_time
    });
}

/// SIGTERM while requests are queued, in flight or waiting for a retry: each is answered once, and the process ends
/// after the last response.
#[test]
fn shutdown_answers_queued_in_flight_and_retried_requests() {
    let scripted_endpoint = ScriptedEndpoint::start();
    let (discovery, other_endpoint) =
        (Discovery::start(), Endpoint::start(|_| respond_ok("other")));
    let mut sidecar = Sidecar::start(&config_with_deadline(
        &discovery,
        &[&scripted_endpoint.endpoint],
        Duration::from_secs(10),
    ));
    let mut watch = discovery.next_call();
    let mut client = sidecar.client();
    scripted_endpoint.earn_retries(&mut client);
    let send = |request: String| {
        let mut client = sidecar.client();
        client.write(&request);
        client
    };
    let mut retried_client = send(get_request("9"));
    scripted_endpoint.endpoint.next_request();
    let mut in_flight_client = send(post_request("unsafe", "9", "x"));
    scripted_endpoint.endpoint.next_request();
    watch.write_line(&endpoint_list(
        42,
        false,
        &[list_entry(
            "e0",
            scripted_endpoint.endpoint.address,
            "DRAINING",
        )],
    ));
    wait_until("the endpoint is draining", || {
        sidecar.metric("members_unavailable") == Some(1)
    });
    let mut queued_client = send(get_request("9"));
    wait_until("all requests are pending", || {
        sidecar.metric("pending") == Some(3)
    });
    sidecar.terminate();
    wait_until("no callers are accepted any more", || {
        TcpStream::connect(sidecar.address).is_err()
    });
    scripted_endpoint.respond_next(EndpointAction::Respond(
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into(),
    ));
    scripted_endpoint.respond_next(respond_ok("out"));
    watch.write_line(&endpoint_list(
        43,
        false,
        &[list_entry("e1", other_endpoint.address, "SERVING")],
    ));
    // Either of the two requests at the endpoint may be answered first. The expected bodies depend on its class.
    for (client, bodies) in [
        (&mut retried_client, ["other", "out"]),
        (&mut in_flight_client, ["out", ""]),
        (&mut queued_client, ["other", "other"]),
    ] {
        let response = client.read().expect("an answer");
        let body = String::from_utf8(response.body.clone()).expect("text");
        assert!(
            bodies.contains(&body.as_str()),
            "{} {body}",
            response.status()
        );
    }
    drop((retried_client, in_flight_client, queued_client, client));
    assert!(sidecar.wait().success());
}

/// A process stores an administrative state before it answers the command, and may die before it has sent the state to
/// the other processes. These then read the stored file. The test acts as the process that dies.
#[test]
fn state_stored_by_a_process_that_died_is_applied() {
    let shared_directory = temporary_directory();
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = Discovery::start();
    let entries = serving_entries(&[&endpoints[0], &endpoints[1]]);
    let sidecar = Sidecar::start_in_directory(
        &shared_directory,
        &with_admin_address(config(discovery.address, &entries)),
    );
    let socket = shared_directory.join("pipittray.sock");
    wait_until("the sidecar listens for a new process", || socket.exists());
    let new_process = UnixStream::connect(&socket).expect("it accepts a new process");
    let mut byte = [0];
    (&new_process)
        .read_exact(&mut byte)
        .expect("the hand-over byte");
    let disabled_file = shared_directory.join("pipittray.disabled");
    let unavailable = || sidecar.metric("members_unavailable");
    std::fs::write(&disabled_file, "[\"e1\"]").expect("the file is written");
    assert_eq!(unavailable(), Some(0));
    drop(new_process);
    wait_until("the endpoint is disabled", || unavailable() == Some(1));
    let mut client = sidecar.client();
    for _ in 0..20 {
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
    }
    assert_eq!(endpoints[1].take_request_count(), 0);
    // A file that cannot be read changes nothing. The next new process enables the endpoint again.
    let mut connect_store_and_die = |text: &str, command: &str| {
        let new_process = UnixStream::connect(&socket).expect("it accepts a new process");
        (&new_process)
            .read_exact(&mut byte)
            .expect("the hand-over byte");
        std::fs::write(&disabled_file, text).expect("the file is written");
        assert_eq!(unavailable(), Some(1));
        if !command.is_empty() {
            assert!(sidecar.admin_answers_yes(command));
        }
        drop(new_process);
    };
    connect_store_and_die("[\"e1", "");
    sidecar.wait_for_log("disabled endpoints: the stored file is ignored");
    assert_eq!(unavailable(), Some(1));
    connect_store_and_die("[]", "");
    wait_until("the endpoint is enabled", || unavailable() == Some(0));
    // Each of the two processes receives a command at the same time.
    assert!(sidecar.admin_answers_yes("DISABLE e1"));
    connect_store_and_die("[\"e0\",\"e1\"]", "ENABLE e1");
    sidecar.wait_for_log("endpoint e0 is disabled by the operators");
    assert_eq!(unavailable(), Some(1));
    assert_eq!(
        std::fs::read_to_string(&disabled_file).expect("it is stored"),
        "[\"e0\"]"
    );
    std::fs::remove_dir_all(shared_directory).expect("it is removed");
}

/// Starts a sidecar that a new process can replace, and shuts it down while an attempt is in flight, which keeps it
/// from ending. Returns the sidecar and the client of the attempt once the sidecar has accepted its last caller and
/// closed its own descriptor of the listener.
fn shut_down_with_request_in_flight(
    scripted_endpoint: &ScriptedEndpoint,
    discovery: &Discovery,
    connect_new_process: impl FnOnce(&Path),
) -> (Sidecar, Client) {
    let shared_directory = temporary_directory();
    let config = config_with_deadline(
        discovery,
        &[&scripted_endpoint.endpoint],
        Duration::from_secs(15),
    );
    let sidecar = Sidecar::start_in_directory(&shared_directory, &config);
    let socket = shared_directory.join("pipittray.sock");
    wait_until("the sidecar listens for a new process", || socket.exists());
    connect_new_process(&socket);
    let mut in_flight_client = sidecar.client();
    in_flight_client.write(&post_request("unsafe", "15", "x"));
    scripted_endpoint.endpoint.next_request();
    let listeners = sidecar.listener_count();
    sidecar.terminate();
    wait_until("its listener is closed", || {
        sidecar.listener_count() < listeners
    });
    std::fs::remove_dir_all(shared_directory).expect("it is removed");
    (sidecar, in_flight_client)
}

/// Without a new process, the descriptor of the listener that is kept for a hand-over is closed together with the other
/// one. Callers are then refused and go elsewhere, instead of waiting until the process ends.
#[test]
fn shutdown_closes_a_listener_that_nobody_took_over() {
    let (scripted_endpoint, discovery) = (ScriptedEndpoint::start(), Discovery::start());
    let (mut sidecar, mut in_flight_client) =
        shut_down_with_request_in_flight(&scripted_endpoint, &discovery, |_| {});
    assert!(
        TcpStream::connect(sidecar.address).is_err(),
        "no process accepts the connection"
    );
    scripted_endpoint.respond_next(respond_ok("x"));
    assert_eq!(in_flight_client.read().expect("an answer").status(), 200);
    assert!(sidecar.wait().success());
}

/// The new process dies while the old one shuts down. The old one accepts and answers the connections in the backlog of
/// the listener that both processes had open. The test acts as the new process.
#[test]
fn shutdown_answers_the_backlog_of_a_new_process_that_died() {
    let (scripted_endpoint, discovery) = (ScriptedEndpoint::start(), Discovery::start());
    let mut new_process = None;
    let (mut sidecar, mut in_flight_client) =
        shut_down_with_request_in_flight(&scripted_endpoint, &discovery, |socket| {
            let mut stream = UnixStream::connect(socket).expect("it accepts a new process");
            stream.read_exact(&mut [0]).expect("the hand-over byte");
            new_process = Some(stream);
        });
    let mut backlog_clients: Vec<Client> = (0..3)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&get_request("9"));
            client
        })
        .collect();
    drop(new_process);
    for client in &mut backlog_clients {
        // Served, or rejected because the shutdown's time for requests is nearly over.
        let response = client.read().map(|response| response.status());
        assert!(
            matches!(response, Some(200 | 503)),
            "{response:?} {:?}",
            sidecar.log()
        );
    }
    wait_until("no callers are accepted any more", || {
        TcpStream::connect(sidecar.address).is_err()
    });
    scripted_endpoint.respond_next(respond_ok("x"));
    assert_eq!(in_flight_client.read().expect("an answer").status(), 200);
    assert!(sidecar.wait().success());
}

/// The queue deadline of a request that has left the queue has no effect: a request in flight waits for its endpoint,
/// and an answered request gets no second response.
#[test]
fn queue_deadline_of_a_sent_request_has_no_effect() {
    let scripted_endpoint = ScriptedEndpoint::start();
    let discovery = Discovery::start();
    let mut config = with_admin_address(config(discovery.address, &[]));
    // Requests are queued for up to 2 s, although a later response has some value too.
    config["settings"]["categories"][0]["objectiveNs"] = json!(2_000_000_000u64);
    config["settings"]["categories"][0]["lateShare"] = json!(0.5);
    let sidecar = Sidecar::start(&config);
    let mut watch = discovery.next_call();
    let [mut answered_client, mut in_flight_client] = [0, 1].map(|already_pending| {
        let mut client = sidecar.client();
        client.write(&get_request("9"));
        wait_until("the request is queued", || {
            sidecar.metric("pending") == Some(already_pending + 1)
        });
        client
    });
    watch.write_line(&endpoint_list(
        42,
        false,
        &serving_entries(&[&scripted_endpoint.endpoint]),
    ));
    scripted_endpoint.endpoint.next_request();
    scripted_endpoint.respond_next(respond_ok("x"));
    assert_eq!(answered_client.read().expect("an answer").status(), 200);
    std::thread::sleep(Duration::from_millis(2_500)); // both queue deadlines are past
    let draining_entry = list_entry("e1", "127.0.0.1:1".parse().expect("an address"), "DRAINING");
    watch.write_line(&endpoint_list(43, false, &[draining_entry]));
    wait_until("the balancer has handled its timers", || {
        sidecar.metric("members") == Some(2)
    });
    scripted_endpoint.respond_next(respond_ok("x"));
    assert_eq!(in_flight_client.read().expect("an answer").status(), 200);
    assert_eq!(
        answered_client.exchange(READY_REQUEST).status(),
        200,
        "no second response came first"
    );
    let outcomes = ["completed", "rejected", "failed"]
        .map(|outcome| sidecar.ended_request_count(outcome, "safe"));
    assert_eq!(outcomes, [Some(2), Some(0), Some(0)]);
}
