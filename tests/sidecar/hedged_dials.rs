//! Hedged dials, made when a connection to an endpoint is established late or never.

use crate::stubs::*;
use serde_json::json;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The connect timeout of the tests. It is shorter than the time after which the kernel repeats the handshake by
/// itself, which is 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// An endpoint that accepts late. Until it accepts connections, its backlog of one connection is full, and no further
/// connection is established.
struct LateAcceptingEndpoint {
    listener: TcpListener,
    address: SocketAddr,
    _queued: TcpStream,
}

impl LateAcceptingEndpoint {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket
            .bind(&SockAddr::from(any_port))
            .expect("the port is bound");
        socket.listen(0).expect("the socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("a bound address");
        let queued = TcpStream::connect(address).expect("the queue takes one");
        LateAcceptingEndpoint {
            listener,
            address,
            _queued: queued,
        }
    }

    /// Accepts connections for the given time, and responds to the requests on them. Returns the number of requests.
    fn accept_and_respond(self, time: Duration) -> usize {
        let deadline = Instant::now() + time;
        self.listener
            .set_nonblocking(true)
            .expect("a non-blocking listener");
        let mut connections = Vec::new();
        while Instant::now() < deadline {
            match self.listener.accept() {
                Ok((stream, _)) => connections.push(thread::spawn(move || respond(stream, time))),
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        connections
            .into_iter()
            .map(|requests| requests.join().expect("the connection ended"))
            .sum()
    }
}

/// Responds to requests on a connection until it ends or is idle for the given time. Returns their number.
fn respond(stream: TcpStream, idle_timeout: Duration) -> usize {
    stream.set_nonblocking(false).expect("a blocking socket");
    stream
        .set_read_timeout(Some(idle_timeout))
        .expect("the timeout is set");
    let mut reader = BufReader::new(stream);
    let mut requests = 0;
    while read_message(&mut reader).is_some() {
        requests += 1;
        reader
            .get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
            .expect("the response is written");
    }
    requests
}

fn start_sidecar(endpoint: &LateAcceptingEndpoint) -> (Sidecar, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(
        discovery.address,
        &[list_entry("e0", endpoint.address, "SERVING")],
    );
    config["settings"]["bounds"]["connectTimeoutNs"] = json!(CONNECT_TIMEOUT.as_nanos() as u64);
    (Sidecar::start(&config), discovery)
}

/// When the first dial is late, the request is written once, on a further dial that is established earlier. The first
/// dial alone would take 1 s.
#[test]
fn request_is_sent_once_on_first_established_dial() {
    for request in [get_request("5"), post_request("unsafe", "5", "hello")] {
        let endpoint = LateAcceptingEndpoint::start();
        let (sidecar, _discovery) = start_sidecar(&endpoint);
        let mut client = sidecar.client();
        client.write(&request);
        thread::sleep(Duration::from_millis(30)); // the first dial is dropped by the full queue
        let endpoint = thread::spawn(move || endpoint.accept_and_respond(Duration::from_secs(2)));
        let accepting_since = Instant::now();
        let answer = client.read().expect("a response");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"late".as_slice())
        );
        let took = accepting_since.elapsed();
        assert!(took < CONNECT_TIMEOUT, "{took:?}");
        assert_eq!(
            endpoint.join().expect("the endpoint ended"),
            1,
            "requests at the endpoint"
        );
    }
}

/// A request makes three dials at most, so that dials neither overload endpoints nor use up descriptors. It is rejected
/// at the connect timeout.
#[test]
fn dials_are_limited_in_number_and_time() {
    let endpoint = LateAcceptingEndpoint::start();
    let (mut sidecar, _discovery) = start_sidecar(&endpoint);
    let sent_at = Instant::now();
    assert_eq!(
        sidecar
            .client()
            .exchange(&post_request("unsafe", "5", "hello"))
            .status(),
        503
    );
    let took = sent_at.elapsed();
    assert!(
        took >= CONNECT_TIMEOUT && took < 2 * CONNECT_TIMEOUT,
        "{took:?}"
    );
    sidecar.terminate();
    sidecar.wait();
    wait_until("the last counts are logged", || {
        sidecar.logged_count("connects") > 0
    });
    assert_eq!(sidecar.logged_count("connects"), 3);
}
