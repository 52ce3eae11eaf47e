//! Endpoints over real loopback connections: responses, queues, health checks, stops, hangs and calls to the next tier.

#[path = "support/http_connection.rs"]
mod http_connection;
#[path = "support/wait.rs"]
mod wait;

use fleet_lab::endpoint::{
    EndpointHandle, EndpointHost, EndpointOptions, EndpointUsage, ServiceTime, SlowStart,
};
use http_connection::{Connection, Message, TIMEOUT, check_health, get_request};
use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Instant;
use wait::wait_until;

const SEED: u64 = 7;

/// Work that does not end within a test.
const ENDLESS_WORK: ServiceTime = ServiceTime::Fixed {
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

fn start_host() -> EndpointHost {
    EndpointHost::start(2, SEED).unwrap()
}

/// Starts an endpoint. With a `next_sidecar`, it calls the next tier through that sidecar.
fn add_endpoint(
    host: &EndpointHost,
    options: EndpointOptions,
    next_sidecar: Option<SocketAddr>,
) -> EndpointHandle {
    host.add("e-1".into(), "a".into(), options, next_sidecar)
        .unwrap()
}

fn load_report(endpoint: &EndpointHandle) -> String {
    String::from_utf8(check_health(endpoint.entry().address, "/status/load").body).unwrap()
}

/// A request without an id gets status 404, and one whose deadline has passed gets status 503.
#[test]
fn requests_need_id_and_remaining_time() {
    let host = start_host();
    let endpoint = add_endpoint(&host, options(), None);
    let mut connection = Connection::open(endpoint.entry().address);
    let served = connection.call(&get_request("1f"));
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
    wait_until("the connection is closed", TIMEOUT, || {
        endpoint.usage().connections_open == 0
    });
}

#[test]
fn request_body_must_be_complete_and_not_chunked() {
    let host = start_host();
    let endpoint = add_endpoint(&host, options(), None);
    let mut connection = Connection::open(endpoint.entry().address);
    connection.send("POST /api HTTP/1.1\r\nX-Request-Id: 1f\r\nContent-Length: 10\r\n\r\n01234");
    assert_eq!(
        load_report(&endpoint),
        "TEXT inflight=0, queue=0, util=0.00"
    );
    assert_eq!(endpoint.usage().requests, 0);
    assert_eq!(connection.call("56789").status(), "200");
    assert_eq!(connection.call(&get_request("2f")).status(), "200");
    let chunked =
        "POST /api HTTP/1.1\r\nX-Request-Id: 3f\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(connection.call(chunked).status(), "411");
}

#[test]
fn full_queue_rejects_until_queued_client_disconnects() {
    let host = start_host();
    let endpoint = add_endpoint(
        &host,
        EndpointOptions {
            service_time: ENDLESS_WORK,
            ..options()
        },
        None,
    );
    let address = endpoint.entry().address;
    let mut in_flight = Connection::open(address);
    in_flight.send(&get_request("1f"));
    wait_until("one request is in flight", TIMEOUT, || {
        load_report(&endpoint).starts_with("TEXT inflight=1, queue=0")
    });
    let mut queued = Connection::open(address);
    queued.send(&get_request("2f"));
    wait_until("one request is queued", TIMEOUT, || {
        load_report(&endpoint).starts_with("TEXT inflight=1, queue=1")
    });
    let rejected = Connection::open(address).call(&get_request("3f"));
    assert_eq!(
        (rejected.status(), rejected.header("x-not-run")),
        ("503", Some("1"))
    );
    drop(queued);
    wait_until("no request is queued", TIMEOUT, || {
        load_report(&endpoint).starts_with("TEXT inflight=1, queue=0")
    });
    let mut next_queued = Connection::open(address);
    next_queued.send(&get_request("4f"));
    wait_until("the next request is queued", TIMEOUT, || {
        load_report(&endpoint).starts_with("TEXT inflight=1, queue=1")
    });
    let usage = endpoint.usage();
    assert_eq!(
        (usage.requests, usage.served, usage.rejected_early),
        (4, 0, 1)
    );
}

/// Sends four requests one after another. Returns the queue lengths in their responses, or `None` unless three of them
/// were queued at the same time.
fn queue_lengths_in_responses(endpoint: &EndpointHandle) -> Option<Vec<u32>> {
    let earlier_requests = endpoint.usage().requests;
    let mut connections = Vec::new();
    for number in 1..=4 {
        let mut connection = Connection::open(endpoint.entry().address);
        connection.send(&get_request(&format!("{number}f")));
        wait_until("request read", TIMEOUT, || {
            endpoint.usage().requests == earlier_requests + number
        });
        connections.push(connection);
    }
    let all_queued = load_report(endpoint).contains("queue=3,");
    let queue_length = |connection: &mut Connection| {
        let response = connection.receive().unwrap();
        assert_eq!(response.status(), "200");
        let (_, queue) = response
            .header("x-load")
            .unwrap()
            .split_once("queue=")
            .unwrap();
        queue.split_once(',').unwrap().0.parse().unwrap()
    };
    let queue_lengths = connections.iter_mut().map(queue_length).collect();
    all_queued.then_some(queue_lengths)
}

/// Repeats the four requests until three of them were queued at the same time.
#[test]
fn queued_requests_are_served_in_order() {
    let host = start_host();
    let service_time = ServiceTime::Fixed { milliseconds: 50.0 };
    let endpoint = add_endpoint(
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
        if let Some(queue_lengths) = queue_lengths_in_responses(&endpoint) {
            break queue_lengths;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "three requests were never queued at the same time"
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
fn health_checks_need_load_reports() {
    let host = start_host();
    let endpoint = add_endpoint(&host, options(), None);
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

    let endpoint = add_endpoint(
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
    let served = Connection::open(endpoint.entry().address).call(&get_request("1f"));
    assert_eq!((served.status(), served.header("x-load")), ("200", None));
}

#[test]
fn slow_start_lengthens_service_time() {
    let host = start_host();
    let service_time = ServiceTime::Fixed { milliseconds: 20.0 };
    let slow_start = Some(SlowStart {
        initial_capacity: 1e-6,
        warm_up_milliseconds: 3_600_000_000,
    });
    let warming = add_endpoint(
        &host,
        EndpointOptions {
            service_time,
            slow_start,
            ..options()
        },
        None,
    );
    let warm = add_endpoint(
        &host,
        EndpointOptions {
            service_time,
            ..options()
        },
        None,
    );
    assert!(warming.entry().since_ms > 0);
    assert_eq!(warm.entry().since_ms, 0);
    Connection::open(warming.entry().address).send(&get_request("1f"));
    wait_until("the warming endpoint is busy", TIMEOUT, || {
        load_report(&warming).starts_with("TEXT inflight=1")
    });
    assert_eq!(
        Connection::open(warm.entry().address)
            .call(&get_request("2f"))
            .status(),
        "200"
    );
    assert!(load_report(&warming).starts_with("TEXT inflight=1"));
}

/// Stopping resets open connections. A restarted endpoint has the same address.
#[test]
fn stopped_endpoint_refuses_connections_until_restart() {
    let host = start_host();
    let endpoint = add_endpoint(&host, options(), None);
    let address = endpoint.entry().address;
    let mut connection = Connection::open(address);
    assert_eq!(connection.call(&get_request("1f")).status(), "200");
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
    assert_eq!(
        Connection::open(address).call(&get_request("2f")).status(),
        "200"
    );
    assert_eq!(endpoint.usage().served, 2);
    drop(host);
    assert!(endpoint.restart().is_err());
}

/// Guards against an answer to a request that arrived while the endpoint hung, and was still in work when it resumed.
#[test]
fn request_that_arrives_while_an_endpoint_hangs_is_reset() {
    let host = start_host();
    let service_time = ServiceTime::Fixed {
        milliseconds: 200.0,
    };
    let options = EndpointOptions {
        service_time,
        ..options()
    };
    let endpoint = add_endpoint(&host, options, None);
    endpoint.hang();
    let mut pending = Connection::open(endpoint.entry().address);
    pending.send(&get_request("1f"));
    wait_until("request read", TIMEOUT, || endpoint.usage().requests == 1);
    endpoint.resume();
    assert_eq!(
        pending.receive().err().unwrap().kind(),
        io::ErrorKind::ConnectionReset
    );
    assert_eq!(endpoint.usage().served, 0);
}

/// Resuming resets the connections with a pending request and keeps the idle ones.
#[test]
fn hanging_endpoint_does_not_respond_until_resumed() {
    let host = start_host();
    let endpoint = add_endpoint(&host, options(), None);
    let address = endpoint.entry().address;
    let mut idle = Connection::open(address);
    assert_eq!(idle.call(&get_request("1f")).status(), "200");
    endpoint.hang();
    let mut pending = Connection::open(address);
    pending.send(&get_request("2f"));
    wait_until("request read", TIMEOUT, || endpoint.usage().requests == 2);
    endpoint.resume();
    assert_eq!(
        pending.receive().err().unwrap().kind(),
        io::ErrorKind::ConnectionReset
    );
    assert_eq!(idle.call(&get_request("3f")).status(), "200");
    assert_eq!(
        Connection::open(address).call(&get_request("4f")).status(),
        "200"
    );
    assert_eq!(endpoint.usage().served, 3);
}

#[test]
fn error_rate_of_one_fails_all_requests() {
    let host = start_host();
    let endpoint = add_endpoint(
        &host,
        EndpointOptions {
            error_rate: 1.0,
            ..options()
        },
        None,
    );
    let mut connection = Connection::open(endpoint.entry().address);
    for id in ["1f", "2f"] {
        assert_eq!(connection.call(&get_request(id)).status(), "500");
    }
    let usage = endpoint.usage();
    assert_eq!((usage.requests, usage.served, usage.failed), (2, 0, 0));
}

#[test]
fn endpoints_have_distinct_addresses() {
    let host = start_host();
    let endpoints: Vec<_> = (0..500)
        .map(|_| add_endpoint(&host, options(), None))
        .collect();
    let addresses: HashSet<_> = endpoints
        .iter()
        .map(|endpoint| endpoint.entry().address)
        .collect();
    assert_eq!(addresses.len(), 500);
    for endpoint in &endpoints {
        assert_eq!(
            Connection::open(endpoint.entry().address)
                .call(&get_request("1f"))
                .status(),
            "200"
        );
        assert_eq!(endpoint.usage().served, 1);
    }
}

/// The action of a stub sidecar for its next request.
enum StubAction {
    /// Forwards the request to an endpoint and responds with the endpoint's status.
    Forward(SocketAddr),
    /// Responds with these bytes.
    Respond(&'static str),
    /// Closes the connection without a response.
    CloseConnection,
}

/// Starts a stub sidecar that handles requests on one connection at a time. Its thread returns the requests when it has
/// done all actions.
fn start_stub_sidecar(actions: Vec<StubAction>) -> (SocketAddr, JoinHandle<Vec<Message>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let mut open_connection = None;
        let mut requests = Vec::new();
        for action in actions {
            let connection = open_connection
                .get_or_insert_with(|| Connection::new(listener.accept().unwrap().0));
            let request = connection.receive().unwrap();
            match action {
                StubAction::Forward(endpoint) => {
                    let id = request.header("x-request-id").unwrap();
                    let response = Connection::open(endpoint).call(&get_request(id));
                    connection.send(&format!(
                        "HTTP/1.1 {} -\r\nContent-Length: 0\r\n\r\n",
                        response.status()
                    ));
                }
                StubAction::Respond(bytes) => connection.send(bytes),
                StubAction::CloseConnection => open_connection = None,
            }
            requests.push(request);
        }
        requests
    };
    (address, thread::spawn(serve))
}

#[test]
fn next_tier_call_has_new_id_and_remaining_time() {
    let host = start_host();
    let last = add_endpoint(&host, options(), None);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let rejected = "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n";
    let actions = vec![
        StubAction::Forward(last.entry().address),
        StubAction::Respond(chunked),
        StubAction::CloseConnection,
        StubAction::Respond(rejected),
    ];
    let (sidecar, stub) = start_stub_sidecar(actions);
    let first = add_endpoint(&host, options(), Some(sidecar));
    let mut connection = Connection::open(first.entry().address);
    assert_eq!(connection.call(&get_request("1f")).body.len(), 32);
    let post =
        "POST /api HTTP/1.1\r\nX-Request-Id: 2f\r\nX-Class: buy\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(connection.call(post).status(), "200");
    // The stub closes the reused connection; the call is sent again on a new one and is rejected there.
    assert_eq!(connection.call(&get_request("3f")).status(), "500");

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
