//! Endpoints over real loopback connections: answers, queues, health checks, stops, hangs and calls to the next tier.

#[path = "support/http_connection.rs"]
mod http_connection;
#[path = "support/wait.rs"]
mod wait;

use fleet_lab::endpoint::{
    EndpointHandle, EndpointHost, EndpointOptions, EndpointUsage, ServiceTime, SlowStart,
};
use http_connection::{Connection, Message, TIMEOUT, check_health, get};
use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Instant;
use wait::wait_until;

const SEED: u64 = 7;

/// Work that does not end within a test.
const ENDLESS: ServiceTime = ServiceTime::Fixed {
    milliseconds: 3_600_000.0,
};

fn options() -> EndpointOptions {
    EndpointOptions {
        cores: 1,
        queue: 1,
        service_time: ServiceTime::None,
        slow_start: None,
        load_reports: true,
        answer_bytes: 32,
        error_rate: 0.0,
    }
}

fn host() -> EndpointHost {
    EndpointHost::start(2, SEED).unwrap()
}

fn add(
    host: &EndpointHost,
    options: EndpointOptions,
    next_sidecar: Option<SocketAddr>,
) -> EndpointHandle {
    host.add("e-1".into(), "a".into(), options, next_sidecar)
        .unwrap()
}

fn load(endpoint: &EndpointHandle) -> String {
    String::from_utf8(check_health(endpoint.entry().address, "/status/load").body).unwrap()
}

#[test]
fn requests_with_an_id_are_served_and_others_are_not() {
    let host = host();
    let endpoint = add(&host, options(), None);
    let mut connection = Connection::open(endpoint.entry().address);
    let served = connection.call(&get("1f"));
    assert_eq!((served.status(), served.body.len()), ("200", 32));
    assert_eq!(
        served.header("x-load"),
        Some("TEXT inflight=0, queue=0, util=0.00")
    );
    assert_eq!(
        connection
            .call("GET /api HTTP/1.1\r\nX-Class: browse\r\n\r\n")
            .status(),
        "404"
    );
    let late = connection.call("GET /api HTTP/1.1\r\nX-Request-Id: 2f\r\nX-Deadline: 0\r\n\r\n");
    assert_eq!(
        (late.status(), late.header("x-not-run")),
        ("503", Some("1"))
    );
    let expected = EndpointUsage {
        connections: 1,
        connections_open: 1,
        requests: 3,
        served: 1,
        rejected_early: 1,
        ..EndpointUsage::default()
    };
    assert_eq!(endpoint.usage(), expected);
    drop(connection);
    wait_until("connection closed", TIMEOUT, || {
        endpoint.usage().connections_open == 0
    });
}

#[test]
fn requests_are_served_once_their_body_is_complete_and_chunked_ones_are_rejected() {
    let host = host();
    let endpoint = add(&host, options(), None);
    let mut connection = Connection::open(endpoint.entry().address);
    connection.send("POST /api HTTP/1.1\r\nX-Request-Id: 1f\r\nContent-Length: 10\r\n\r\n01234");
    assert_eq!(load(&endpoint), "TEXT inflight=0, queue=0, util=0.00");
    assert_eq!(endpoint.usage().requests, 0);
    assert_eq!(connection.call("56789").status(), "200");
    assert_eq!(connection.call(&get("2f")).status(), "200");
    let chunked =
        "POST /api HTTP/1.1\r\nX-Request-Id: 3f\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(connection.call(chunked).status(), "411");
}

#[test]
fn a_full_queue_rejects_and_a_client_that_disconnects_frees_its_slot() {
    let host = host();
    let endpoint = add(
        &host,
        EndpointOptions {
            service_time: ENDLESS,
            ..options()
        },
        None,
    );
    let address = endpoint.entry().address;
    let mut working = Connection::open(address);
    working.send(&get("1f"));
    wait_until("one request in work", TIMEOUT, || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=0")
    });
    let mut queued = Connection::open(address);
    queued.send(&get("2f"));
    wait_until("one request queued", TIMEOUT, || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=1")
    });
    let rejected = Connection::open(address).call(&get("3f"));
    assert_eq!(
        (rejected.status(), rejected.header("x-not-run")),
        ("503", Some("1"))
    );
    drop(queued);
    wait_until("no request queued", TIMEOUT, || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=0")
    });
    let mut next = Connection::open(address);
    next.send(&get("4f"));
    wait_until("the next request queued", TIMEOUT, || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=1")
    });
    let usage = endpoint.usage();
    assert_eq!(
        (usage.requests, usage.served, usage.rejected_early),
        (4, 0, 1)
    );
}

/// Sends four requests one after another and returns the queue lengths in their answers, if three of them were queued.
fn queue_lengths_at_answers(endpoint: &EndpointHandle) -> Option<Vec<u32>> {
    let earlier_requests = endpoint.usage().requests;
    let mut connections = Vec::new();
    for number in 1..=4 {
        let mut connection = Connection::open(endpoint.entry().address);
        connection.send(&get(&format!("{number}f")));
        wait_until("request read", TIMEOUT, || {
            endpoint.usage().requests == earlier_requests + number
        });
        connections.push(connection);
    }
    let all_queued = load(endpoint).contains("queue=3,");
    let queue_length = |connection: &mut Connection| {
        let answer = connection.receive().unwrap();
        assert_eq!(answer.status(), "200");
        let (_, queue) = answer
            .header("x-load")
            .unwrap()
            .split_once("queue=")
            .unwrap();
        queue.split_once(',').unwrap().0.parse().unwrap()
    };
    let queue_lengths = connections.iter_mut().map(queue_length).collect();
    all_queued.then_some(queue_lengths)
}

#[test]
fn queued_requests_are_served_in_order_of_arrival() {
    let host = host();
    let service_time = ServiceTime::Fixed { milliseconds: 50.0 };
    let endpoint = add(
        &host,
        EndpointOptions {
            service_time,
            queue: 3,
            ..options()
        },
        None,
    );
    let started = Instant::now();
    let queue_lengths = loop {
        if let Some(queue_lengths) = queue_lengths_at_answers(&endpoint) {
            break queue_lengths;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "the requests were never queued together"
        );
    };
    assert!(
        queue_lengths.is_sorted_by(|earlier, later| earlier > later),
        "{queue_lengths:?}"
    );
    let usage = endpoint.usage();
    assert_eq!((usage.served, usage.rejected_early), (usage.requests, 0));
}

#[test]
fn health_checks_are_answered_only_by_endpoints_with_load_reports() {
    let host = host();
    let endpoint = add(&host, options(), None);
    assert_eq!(
        check_health(endpoint.entry().address, "/health").status(),
        "200"
    );
    let status = check_health(endpoint.entry().address, "/status/load");
    assert_eq!(status.body, status.header("x-load").unwrap().as_bytes());
    assert_eq!(
        (endpoint.usage().health_checks, endpoint.usage().requests),
        (2, 0)
    );

    let endpoint = add(
        &host,
        EndpointOptions {
            load_reports: false,
            ..options()
        },
        None,
    );
    for path in ["/health", "/status/load"] {
        assert_eq!(check_health(endpoint.entry().address, path).status(), "404");
    }
    let served = Connection::open(endpoint.entry().address).call(&get("1f"));
    assert_eq!((served.status(), served.header("x-load")), ("200", None));
}

#[test]
fn a_warming_endpoint_works_longer_than_a_warm_one() {
    let host = host();
    let service_time = ServiceTime::Fixed { milliseconds: 20.0 };
    let slow_start = Some(SlowStart {
        initial_capacity: 1e-6,
        warm_up_milliseconds: 3_600_000_000,
    });
    let warming = add(
        &host,
        EndpointOptions {
            service_time,
            slow_start,
            ..options()
        },
        None,
    );
    let warm = add(
        &host,
        EndpointOptions {
            service_time,
            ..options()
        },
        None,
    );
    assert!(warming.entry().since_ms > 0);
    assert_eq!(warm.entry().since_ms, 0);
    Connection::open(warming.entry().address).send(&get("1f"));
    wait_until("the warming endpoint works", TIMEOUT, || {
        load(&warming).starts_with("TEXT inflight=1")
    });
    assert_eq!(
        Connection::open(warm.entry().address)
            .call(&get("2f"))
            .status(),
        "200"
    );
    assert!(load(&warming).starts_with("TEXT inflight=1"));
}

#[test]
fn a_stopped_endpoint_resets_and_refuses_connections_until_it_is_restarted_at_its_address() {
    let host = host();
    let endpoint = add(&host, options(), None);
    let address = endpoint.entry().address;
    let mut connection = Connection::open(address);
    assert_eq!(connection.call(&get("1f")).status(), "200");
    endpoint.stop();
    assert_eq!(
        connection.receive().err().unwrap().kind(),
        io::ErrorKind::ConnectionReset
    );
    let error = TcpStream::connect(address).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    assert_eq!(endpoint.usage().connections_open, 0);
    assert_eq!(endpoint.entry().since_ms, 0);

    endpoint.restart().unwrap();
    assert_eq!(endpoint.entry().address, address);
    assert!(endpoint.entry().since_ms > 0);
    assert_eq!(Connection::open(address).call(&get("2f")).status(), "200");
    assert_eq!(endpoint.usage().served, 2);
    drop(host);
    assert!(endpoint.restart().is_err());
}

#[test]
fn a_hanging_endpoint_reads_requests_and_answers_none_until_it_resumes() {
    let host = host();
    let endpoint = add(&host, options(), None);
    let address = endpoint.entry().address;
    let mut idle = Connection::open(address);
    assert_eq!(idle.call(&get("1f")).status(), "200");
    endpoint.hang();
    let mut pending = Connection::open(address);
    pending.send(&get("2f"));
    wait_until("request read", TIMEOUT, || endpoint.usage().requests == 2);
    endpoint.resume();
    assert_eq!(
        pending.receive().err().unwrap().kind(),
        io::ErrorKind::ConnectionReset
    );
    assert_eq!(idle.call(&get("3f")).status(), "200");
    assert_eq!(Connection::open(address).call(&get("4f")).status(), "200");
    assert_eq!(endpoint.usage().served, 3);
}

#[test]
fn an_error_rate_of_one_fails_all_requests() {
    let host = host();
    let endpoint = add(
        &host,
        EndpointOptions {
            error_rate: 1.0,
            ..options()
        },
        None,
    );
    let mut connection = Connection::open(endpoint.entry().address);
    for id in ["1f", "2f"] {
        assert_eq!(connection.call(&get(id)).status(), "500");
    }
    let usage = endpoint.usage();
    assert_eq!((usage.requests, usage.served, usage.failed), (2, 0, 0));
}

#[test]
fn hundreds_of_endpoints_answer_at_addresses_of_their_own() {
    let host = host();
    let endpoints: Vec<_> = (0..500).map(|_| add(&host, options(), None)).collect();
    let addresses: HashSet<_> = endpoints
        .iter()
        .map(|endpoint| endpoint.entry().address)
        .collect();
    assert_eq!(addresses.len(), 500);
    for endpoint in &endpoints {
        assert_eq!(
            Connection::open(endpoint.entry().address)
                .call(&get("1f"))
                .status(),
            "200"
        );
        assert_eq!(endpoint.usage().served, 1);
    }
}

/// The reaction of a stub sidecar to its next request.
enum Step {
    /// Forwards it to an endpoint, and returns that endpoint's status.
    Forward(SocketAddr),
    /// Answers with these bytes.
    Answer(&'static str),
    /// Closes the connection without an answer.
    HangUp,
}

/// Starts a stub sidecar that serves requests on one connection at a time and returns them at the end.
fn start_stub_sidecar(steps: Vec<Step>) -> (SocketAddr, JoinHandle<Vec<Message>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let mut open_connection = None;
        let mut requests = Vec::new();
        for step in steps {
            let connection = open_connection
                .get_or_insert_with(|| Connection::new(listener.accept().unwrap().0));
            let request = connection.receive().unwrap();
            match step {
                Step::Forward(endpoint) => {
                    let id = request.header("x-request-id").unwrap();
                    let answer = Connection::open(endpoint).call(&get(id));
                    connection.send(&format!(
                        "HTTP/1.1 {} -\r\nContent-Length: 0\r\n\r\n",
                        answer.status()
                    ));
                }
                Step::Answer(bytes) => connection.send(bytes),
                Step::HangUp => open_connection = None,
            }
            requests.push(request);
        }
        requests
    };
    (address, thread::spawn(serve))
}

#[test]
fn a_call_to_the_next_tier_has_a_new_id_and_the_remaining_time() {
    let host = host();
    let last = add(&host, options(), None);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let rejected = "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n";
    let steps = vec![
        Step::Forward(last.entry().address),
        Step::Answer(chunked),
        Step::HangUp,
        Step::Answer(rejected),
    ];
    let (sidecar, stub) = start_stub_sidecar(steps);
    let first = add(&host, options(), Some(sidecar));
    let mut connection = Connection::open(first.entry().address);
    assert_eq!(connection.call(&get("1f")).body.len(), 32);
    let post =
        "POST /api HTTP/1.1\r\nX-Request-Id: 2f\r\nX-Class: buy\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(connection.call(post).status(), "200");
    // The stub closes the reused connection; the call is sent again on a new one and is rejected there.
    assert_eq!(connection.call(&get("3f")).status(), "500");

    let calls = stub.join().unwrap();
    let ids: Vec<_> = calls
        .iter()
        .map(|call| call.header("x-request-id").unwrap())
        .collect();
    assert_eq!(ids[2], ids[3]);
    assert_eq!(
        HashSet::from(["1f", "2f", "3f", ids[0], ids[1], ids[2]]).len(),
        6
    );
    let methods: Vec<_> = calls
        .iter()
        .map(|call| call.first_line[0].as_str())
        .collect();
    assert_eq!(methods, ["GET", "POST", "GET", "GET"]);
    let classes: Vec<_> = calls
        .iter()
        .map(|call| call.header("x-class").unwrap())
        .collect();
    assert_eq!(classes, ["browse", "buy", "browse", "browse"]);
    assert_eq!(calls[1].body, b"hi");
    let deadline = |call: &Message| {
        call.header("x-deadline")
            .map(|text| text.parse::<f64>().unwrap())
    };
    assert!(deadline(&calls[0]).is_some_and(|seconds| seconds > 0.0 && seconds < 5.0));
    assert_eq!(deadline(&calls[1]), None);
    assert!(deadline(&calls[3]) < deadline(&calls[2]));
    let usage = first.usage();
    assert_eq!((usage.requests, usage.served, usage.failed), (3, 2, 1));
    assert_eq!((last.usage().requests, last.usage().served), (1, 1));
}
