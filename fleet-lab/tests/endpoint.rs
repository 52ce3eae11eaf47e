//! Endpoints over real loopback connections: answers, queues, probes, stops, silence and calls to the next tier.

#[path = "support/http_connection.rs"]
mod http_connection;

use fleet_lab::endpoint::{
    EndpointHandle, EndpointHost, EndpointOptions, EndpointUsage, ServiceTime, SlowStart,
};
use http_connection::{Connection, Message, PATIENCE, check_health, get};
use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

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

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "not reached: {what}");
        thread::sleep(Duration::from_millis(2));
    }
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
    wait_until("connection closed", || {
        endpoint.usage().connections_open == 0
    });
}

#[test]
fn bodies_are_read_whole_and_chunked_ones_are_turned_down() {
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
fn a_full_queue_turns_away_and_a_caller_that_leaves_frees_its_place() {
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
    wait_until("one works", || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=0")
    });
    let mut waiting = Connection::open(address);
    waiting.send(&get("2f"));
    wait_until("one waits", || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=1")
    });
    let rejected_early = Connection::open(address).call(&get("3f"));
    assert_eq!(
        (rejected_early.status(), rejected_early.header("x-not-run")),
        ("503", Some("1"))
    );
    drop(waiting);
    wait_until("none waits", || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=0")
    });
    let mut next = Connection::open(address);
    next.send(&get("4f"));
    wait_until("the next waits", || {
        load(&endpoint).starts_with("TEXT inflight=1, queue=1")
    });
    let usage = endpoint.usage();
    assert_eq!(
        (usage.requests, usage.served, usage.rejected_early),
        (4, 0, 1)
    );
}

/// Sends four requests one after another; the queue lengths that their answers report, if three of them had to wait.
fn queue_lengths_at_answers(endpoint: &EndpointHandle) -> Option<Vec<u32>> {
    let before = endpoint.usage().requests;
    let mut connections = Vec::new();
    for number in 1..=4 {
        let mut connection = Connection::open(endpoint.entry().address);
        connection.send(&get(&format!("{number}f")));
        wait_until("request read", || {
            endpoint.usage().requests == before + number
        });
        connections.push(connection);
    }
    let all_wait = load(endpoint).contains("queue=3,");
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
    all_wait.then_some(queue_lengths)
}

#[test]
fn queued_requests_are_served_in_the_order_in_which_they_came() {
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
            started.elapsed() < PATIENCE,
            "the requests never waited together"
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
fn probes_are_answered_only_with_load_reports() {
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
fn a_cold_endpoint_works_longer_than_a_warm_one() {
    let host = host();
    let service_time = ServiceTime::Fixed { milliseconds: 20.0 };
    let slow_start = Some(SlowStart {
        from: 1e-6,
        milliseconds: 3_600_000_000,
    });
    let cold = add(
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
    assert!(cold.entry().since_ms > 0);
    assert_eq!(warm.entry().since_ms, 0);
    Connection::open(cold.entry().address).send(&get("1f"));
    wait_until("the cold one works", || {
        load(&cold).starts_with("TEXT inflight=1")
    });
    assert_eq!(
        Connection::open(warm.entry().address)
            .call(&get("2f"))
            .status(),
        "200"
    );
    assert!(load(&cold).starts_with("TEXT inflight=1"));
}

#[test]
fn a_stopped_endpoint_resets_and_refuses_until_it_starts_again_at_its_address() {
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
    let refused = TcpStream::connect(address).unwrap_err();
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    assert_eq!(endpoint.usage().connections_open, 0);
    assert_eq!(endpoint.entry().since_ms, 0);

    endpoint.start_again().unwrap();
    assert_eq!(endpoint.entry().address, address);
    assert!(endpoint.entry().since_ms > 0);
    assert_eq!(Connection::open(address).call(&get("2f")).status(), "200");
    assert_eq!(endpoint.usage().served, 2);
    drop(host);
    assert!(endpoint.start_again().is_err());
}

#[test]
fn a_silent_endpoint_reads_and_answers_nothing_until_its_silence_ends() {
    let host = host();
    let endpoint = add(&host, options(), None);
    let address = endpoint.entry().address;
    let mut resting = Connection::open(address);
    assert_eq!(resting.call(&get("1f")).status(), "200");
    endpoint.hang();
    let mut cut = Connection::open(address);
    cut.send(&get("2f"));
    wait_until("request read", || endpoint.usage().requests == 2);
    endpoint.resume();
    assert_eq!(
        cut.receive().err().unwrap().kind(),
        io::ErrorKind::ConnectionReset
    );
    assert_eq!(resting.call(&get("3f")).status(), "200");
    assert_eq!(Connection::open(address).call(&get("4f")).status(), "200");
    assert_eq!(endpoint.usage().served, 3);
}

#[test]
fn an_error_share_of_one_fails_all_requests() {
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

/// What a stand-in for a sidecar does with its next request.
enum Step {
    /// Passes it on to an endpoint, and that one's status back.
    PassOn(SocketAddr),
    /// Answers with these bytes.
    Answer(&'static str),
    /// Closes the connection without an answer.
    HangUp,
}

/// Takes requests one after another, on one connection as long as that stays open, and returns them.
fn stand_in_sidecar(steps: Vec<Step>) -> (SocketAddr, JoinHandle<Vec<Message>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let mut open = None;
        let mut requests = Vec::new();
        for step in steps {
            let connection =
                open.get_or_insert_with(|| Connection::new(listener.accept().unwrap().0));
            let request = connection.receive().unwrap();
            match step {
                Step::PassOn(endpoint) => {
                    let id = request.header("x-request-id").unwrap();
                    let answer = Connection::open(endpoint).call(&get(id));
                    connection.send(&format!(
                        "HTTP/1.1 {} -\r\nContent-Length: 0\r\n\r\n",
                        answer.status()
                    ));
                }
                Step::Answer(bytes) => connection.send(bytes),
                Step::HangUp => open = None,
            }
            requests.push(request);
        }
        requests
    };
    (address, thread::spawn(serve))
}

#[test]
fn a_chain_passes_on_a_new_id_and_the_time_that_is_left() {
    let host = host();
    let last = add(&host, options(), None);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let refused = "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n";
    let steps = vec![
        Step::PassOn(last.entry().address),
        Step::Answer(chunked),
        Step::HangUp,
        Step::Answer(refused),
    ];
    let (sidecar, stand_in) = stand_in_sidecar(steps);
    let first = add(&host, options(), Some(sidecar));
    let mut connection = Connection::open(first.entry().address);
    assert_eq!(connection.call(&get("1f")).body.len(), 32);
    let post =
        "POST /api HTTP/1.1\r\nX-Request-Id: 2f\r\nX-Class: buy\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(connection.call(post).status(), "200");
    // The stand-in hangs up on the kept connection; the call comes once more on a new one and is refused there.
    assert_eq!(connection.call(&get("3f")).status(), "500");

    let calls = stand_in.join().unwrap();
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
    assert!(deadline(&calls[0]).is_some_and(|left| left > 0.0 && left < 5.0));
    assert_eq!(deadline(&calls[1]), None);
    assert!(deadline(&calls[3]) < deadline(&calls[2]));
    let usage = first.usage();
    assert_eq!((usage.requests, usage.served, usage.failed), (3, 2, 1));
    assert_eq!((last.usage().requests, last.usage().served), (1, 1));
}
