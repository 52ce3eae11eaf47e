//! Connections to endpoints that come up late, or never.

use crate::stubs::*;
use serde_json::json;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Less than the time after which the system dials again by itself, which is 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// An endpoint at which no connection comes up for now: its accept queue holds one, and that has come.
struct FullEndpoint {
    listener: TcpListener,
    address: SocketAddr,
    _first: TcpStream,
}

impl FullEndpoint {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&SockAddr::from(any_port)).expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let first = TcpStream::connect(address).expect("there is room for one");
        FullEndpoint {
            listener,
            address,
            _first: first,
        }
    }

    /// Accepts from now on, and answers the first request that comes. Tells how many have come by the time given.
    fn accept_and_answer(self, within: Duration) -> usize {
        let until = Instant::now() + within;
        self.listener
            .set_nonblocking(true)
            .expect("it accepts without waiting");
        let mut served = Vec::new();
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((stream, _)) => served.push(thread::spawn(move || answer(stream, within))),
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        served
            .into_iter()
            .map(|requests| requests.join().expect("it ended"))
            .sum()
    }
}

/// Answers requests on a connection until it ends or says nothing for the time given, and counts them.
fn answer(stream: TcpStream, silence: Duration) -> usize {
    stream.set_nonblocking(false).expect("it waits");
    stream.set_read_timeout(Some(silence)).expect("a time-out");
    let mut reader = BufReader::new(stream);
    let mut requests = 0;
    while read_message(&mut reader).is_some() {
        requests += 1;
        reader
            .get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
            .expect("it is written");
    }
    requests
}

fn over(endpoint: &FullEndpoint) -> (Sidecar, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(
        discovery.address,
        &[entry("e0", endpoint.address, "SERVING")],
    );
    config["settings"]["bounds"]["connectTimeoutNs"] = json!(CONNECT_TIMEOUT.as_nanos() as u64);
    (Sidecar::start(&config), discovery)
}

/// Guards requests that need a new connection from one dial that is late: another that is up first carries the request,
/// which is written once. The first alone would be up after 1 s.
#[test]
fn a_request_goes_over_the_first_dial_that_comes_up() {
    for request in [get_request("5"), post_request("unsafe", "5", "hello")] {
        let endpoint = FullEndpoint::start();
        let (sidecar, _discovery) = over(&endpoint);
        let mut client = sidecar.client();
        client.write(&request);
        thread::sleep(Duration::from_millis(30)); // the first dial is lost in the full queue
        let endpoint = thread::spawn(move || endpoint.accept_and_answer(Duration::from_secs(2)));
        let asked = Instant::now();
        let answer = client.read().expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"late".as_slice())
        );
        assert!(asked.elapsed() < CONNECT_TIMEOUT, "{:?}", asked.elapsed());
        assert_eq!(
            endpoint.join().expect("it ended"),
            1,
            "requests that the endpoint got"
        );
    }
}

/// Guards endpoints and descriptors from a flood of dials, and the connect time-out.
#[test]
fn a_request_whose_dials_all_fail_is_refused_in_time_after_few() {
    let endpoint = FullEndpoint::start();
    let (mut sidecar, _discovery) = over(&endpoint);
    let asked = Instant::now();
    assert_eq!(
        sidecar
            .client()
            .exchange(&post_request("unsafe", "5", "hello"))
            .status(),
        503
    );
    let took = asked.elapsed();
    assert!(
        took >= CONNECT_TIMEOUT && took < 2 * CONNECT_TIMEOUT,
        "{took:?}"
    );
    sidecar.terminate();
    sidecar.wait();
    wait_until("the last counts are told", || {
        sidecar.logged_count("connects") > 0
    });
    assert_eq!(sidecar.logged_count("connects"), 3);
}
