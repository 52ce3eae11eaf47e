//! Open-loop callers that send their load to a stub server.

use fleet_lab::caller::{LoadPlan, LoadTarget, TargetResult, run};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The longest time that a test waits for a state.
const TIMEOUT: Duration = Duration::from_secs(20);
const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

/// A received request.
#[derive(Clone, Debug)]
struct Request {
    /// The number of the request on its connection, from 0.
    number_on_connection: usize,
    /// The number of the request over all connections, from 0.
    number: usize,
    head: String,
    body: String,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        let line = self
            .head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.expect("the request has the header")
    }
}

/// The reaction of the stub server to a request.
enum Reaction {
    Respond(String),
    RespondAndClose(String),
    Close,
    NoResponse,
}

/// All requests that the stub server has received.
#[derive(Default)]
struct ReceivedRequests {
    list: Mutex<Vec<Request>>,
    changed: Condvar,
}

impl ReceivedRequests {
    fn wait_for(&self, count: usize) {
        let list = self
            .list
            .lock()
            .expect("the list of requests is not poisoned");
        let (_list, timeout) = self
            .changed
            .wait_timeout_while(list, TIMEOUT, |list| list.len() < count)
            .expect("the list of requests is not poisoned");
        assert!(!timeout.timed_out(), "{count} requests were not received");
    }
}

/// A server that treats each request as a test defines. Dropping it stops the server.
struct StubServer {
    address: SocketAddr,
    requests: Arc<ReceivedRequests>,
    stop: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl StubServer {
    fn start(
        react: impl Fn(&Request, &ReceivedRequests) -> Reaction + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (requests, stop) = (
            Arc::new(ReceivedRequests::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let (react, received, stop_flag) = (Arc::new(react), requests.clone(), stop.clone());
        let acceptor = thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop_flag.load(Ordering::Relaxed) {
                    return;
                }
                let (react, received) = (react.clone(), received.clone());
                thread::spawn(move || serve_connection(stream, &*react, &received));
            }
        });
        StubServer {
            address,
            requests,
            stop,
            acceptor: Some(acceptor),
        }
    }

    fn received(&self) -> Vec<Request> {
        self.requests
            .list
            .lock()
            .expect("the list of requests is not poisoned")
            .clone()
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address); // ends the wait of the acceptor thread for a connection
        let _ = self
            .acceptor
            .take()
            .expect("the acceptor thread is joined once")
            .join();
    }
}

fn serve_connection(
    stream: TcpStream,
    react: &dyn Fn(&Request, &ReceivedRequests) -> Reaction,
    received: &ReceivedRequests,
) {
    let mut reader = BufReader::new(stream);
    for number_on_connection in 0.. {
        let Some((head, body)) = read_request(&mut reader) else {
            return;
        };
        let mut list = received
            .list
            .lock()
            .expect("the list of requests is not poisoned");
        let request = Request {
            number_on_connection,
            number: list.len(),
            head,
            body,
        };
        list.push(request.clone());
        received.changed.notify_all();
        drop(list);
        let (response, closes) = match react(&request, received) {
            Reaction::Respond(response) => (response, false),
            Reaction::RespondAndClose(response) => (response, true),
            Reaction::Close => return,
            Reaction::NoResponse => continue, // the next read returns when the caller closes the connection
        };
        if reader.get_mut().write_all(response.as_bytes()).is_err() || closes {
            return;
        }
    }
}

/// Reads a request and returns its head and its body, or `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader
            .read_line(&mut head)
            .ok()
            .filter(|length| *length > 0)?;
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![
        0;
        length.map_or(0, |length| length
            .parse()
            .expect("Content-Length is a number"))
    ];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).expect("the body is UTF-8")))
}

/// Returns a target with safe requests of the class `browse`.
fn browse_target(address: SocketAddr) -> LoadTarget {
    LoadTarget {
        address,
        calls_per_second: 200.0,
        class: "browse".into(),
        is_unsafe: false,
        deadline: Duration::from_secs(10),
    }
}

/// Runs a load without a warm-up and checks the sums of its results.
fn run_load(targets: Vec<LoadTarget>) -> Vec<TargetResult> {
    let plan = LoadPlan {
        targets,
        warm_up: Duration::ZERO,
        duration: Duration::from_millis(300),
        seed: 7,
    };
    let results = run(&plan).expect("the load runs to its end");
    for result in &results {
        assert!(result.requests > 0);
        assert_eq!(
            result.requests,
            result.served + result.rejected + result.failed + result.unanswered
        );
        assert_eq!(result.latencies.len(), result.served);
    }
    results
}

/// Runs a load on one target and returns its result.
fn run_one(target: LoadTarget) -> TargetResult {
    run_load(vec![target]).remove(0)
}

/// Guards the mapping of status codes to the counts of served, rejected and failed requests.
#[test]
fn counts_responses_by_status() {
    let statuses = [
        "200 OK",
        "503 Service Unavailable",
        "429 Too Many Requests",
        "500 Internal Server Error",
    ];
    let server = StubServer::start(move |request, _| {
        let status = statuses[request.number % statuses.len()];
        Reaction::Respond(format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok"))
    });
    let serving = StubServer::start(|_, _| Reaction::Respond(OK_RESPONSE.into()));
    let results = run_load(vec![
        browse_target(server.address),
        browse_target(serving.address),
    ]);
    let received = server.received().len();
    assert_eq!(results[0].requests as usize, received);
    assert_eq!(results[0].served as usize, received.div_ceil(4));
    assert_eq!(results[0].failed as usize, received / 4);
    assert_eq!(results[0].unanswered, 0);
    assert_eq!(results[1].served, results[1].requests);
    assert_eq!(results[1].requests as usize, serving.received().len());
}

/// Guards the method, the headers and the body of safe and unsafe requests.
#[test]
fn requests_match_protocol() {
    let server = StubServer::start(|_, _| Reaction::Respond(OK_RESPONSE.into()));
    let mut order = browse_target(server.address);
    order.class = "order".into();
    order.is_unsafe = true;
    order.deadline = Duration::from_millis(2500);
    run_load(vec![browse_target(server.address), order]);
    let received = server.received();
    let ids: BTreeSet<&str> = received
        .iter()
        .map(|request| request.header("X-Request-Id"))
        .collect();
    assert_eq!(ids.len(), received.len(), "a request id was used twice");
    let (orders, browses): (Vec<_>, Vec<_>) = received
        .iter()
        .partition(|request| request.header("X-Class") == "order");
    for order in orders {
        assert!(order.head.starts_with("POST /api HTTP/1.1\r\n"));
        assert_eq!(
            (order.header("X-Deadline"), order.body.len()),
            ("2.500000", 32)
        );
    }
    for browse in browses {
        assert!(browse.head.starts_with("GET /api HTTP/1.1\r\n"));
        assert_eq!(
            (browse.header("X-Deadline"), browse.body.len()),
            ("10.000000", 0)
        );
    }
}

/// Two loads with one seed have the same number of arrivals, but no request id in common.
#[test]
fn same_seed_gives_same_arrivals() {
    let server = StubServer::start(|_, _| Reaction::Respond(OK_RESPONSE.into()));
    let counts = [(); 2].map(|()| {
        let results = run_load(vec![
            browse_target(server.address),
            browse_target(server.address),
        ]);
        results
            .iter()
            .map(|result| result.requests)
            .collect::<Vec<_>>()
    });
    assert_eq!(counts[0], counts[1]);
    let ids: BTreeSet<String> = server
        .received()
        .iter()
        .map(|request| request.header("X-Request-Id").into())
        .collect();
    assert_eq!(
        ids.len(),
        server.received().len(),
        "a request id was used again"
    );
}

#[test]
fn warm_up_requests_are_not_counted() {
    let server = StubServer::start(|_, _| Reaction::Respond(OK_RESPONSE.into()));
    let targets = vec![browse_target(server.address)];
    let (warm_up, duration) = (Duration::from_millis(300), Duration::from_millis(100));
    let results = run(&LoadPlan {
        targets,
        warm_up,
        duration,
        seed: 7,
    })
    .expect("the load runs to its end");
    assert!(results[0].requests > 0);
    assert!((results[0].requests as usize) < server.received().len());
    assert_eq!(results[0].served, results[0].requests);
}

/// The first response is held back until 20 other requests have arrived.
#[test]
fn slow_response_does_not_delay_other_requests() {
    const OTHERS: usize = 20;
    let server = StubServer::start(|request, received| {
        if request.number == 0 {
            received.wait_for(1 + OTHERS);
        }
        Reaction::Respond(OK_RESPONSE.into())
    });
    let result = run_one(browse_target(server.address));
    assert!(
        result.requests as usize > OTHERS,
        "the schedule has only {} requests",
        result.requests
    );
    assert_eq!(result.served, result.requests);
    assert!(result.connections >= 2);
}

#[test]
fn connection_close_response_is_served() {
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";
    let server = StubServer::start(move |_, _| Reaction::RespondAndClose(closing.into()));
    let result = run_one(browse_target(server.address));
    assert_eq!(
        (result.served, result.connections),
        (result.requests, result.requests)
    );
}

/// The server closes each connection at its second request. The caller must send that request again with the same id.
#[test]
fn request_on_closed_reused_connection_is_resent() {
    let server = StubServer::start(|request, _| match request.number_on_connection {
        0 => Reaction::Respond(OK_RESPONSE.into()),
        _ => Reaction::Close,
    });
    let result = run_one(browse_target(server.address));
    assert_eq!(result.served, result.requests);
    let received = server.received();
    let ids: BTreeSet<&str> = received
        .iter()
        .map(|request| request.header("X-Request-Id"))
        .collect();
    assert_eq!(ids.len() as u64, result.requests);
    assert!(received.len() > ids.len(), "no request was sent again");
    assert_eq!(
        result.connections as usize,
        received
            .iter()
            .filter(|request| request.number_on_connection == 0)
            .count()
    );
}

#[test]
fn request_on_closed_new_connection_fails() {
    let server = StubServer::start(|_, _| Reaction::Close);
    let result = run_one(browse_target(server.address));
    assert_eq!(result.failed, result.requests);
    assert_eq!(server.received().len() as u64, result.requests);
}

#[test]
fn requests_without_response_expire() {
    let server = StubServer::start(|_, _| Reaction::NoResponse);
    let mut target = browse_target(server.address);
    target.deadline = Duration::from_millis(50);
    let result = run_one(target);
    assert_eq!(
        (result.unanswered, result.connections),
        (result.requests, result.requests)
    );
}

#[test]
fn refused_connections_and_chunked_responses_fail() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let refusing_address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
    let server = StubServer::start(move |_, _| Reaction::Respond(chunked.into()));
    let results = run_load(vec![
        browse_target(refusing_address),
        browse_target(server.address),
    ]);
    assert!(
        results
            .iter()
            .all(|result| result.failed == result.requests)
    );
}
