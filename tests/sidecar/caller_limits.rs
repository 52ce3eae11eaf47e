//! Callers that send invalid, incomplete or oversized requests, callers that send nothing, and too many callers.

use crate::stubs::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// A configuration with one endpoint and a limit on descriptors.
fn config_with_descriptor_limit(discovery: &Discovery, endpoint: &Endpoint, limit: u64) -> Value {
    let mut config = config(
        discovery.address,
        &[list_entry("e0", endpoint.address, "SERVING")],
    );
    config["limits"]["sockets"] = json!(limit);
    config
}

/// Writes a text on a new connection and reads until the sidecar closes it. Returns an error if the connection is
/// reset.
fn exchange(sidecar: &Sidecar, text: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(sidecar.address)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    let _ = stream.write_all(text); // the response and FIN may come before all is written
    let mut read = Vec::new();
    stream.read_to_end(&mut read)?;
    Ok(String::from_utf8_lossy(&read).into_owned())
}

/// Returns the head of an unsafe request with further header lines.
fn head(lines: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-Id: r\r\nX-Class: unsafe\r\nX-Deadline: 5\r\n{lines}\r\n"
    )
}

/// Guards against request smuggling, which needs two readers that disagree on the end of a body. A request with an
/// ambiguous length gets one response, nothing after it is read as a request, and no endpoint receives any of it.
#[test]
fn ambiguous_body_length_gets_400() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let hidden = get_request("5");
    for lines in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "transfer-encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length:\r\n",
    ] {
        let text = format!("{}0\r\n\r\n{hidden}{hidden}", head(lines));
        let read = exchange(&sidecar, text.as_bytes()).expect("a response, no reset");
        assert!(read.starts_with("HTTP/1.1 400 "), "{lines}: {read}");
        assert_eq!(read.matches("HTTP/1.1 ").count(), 1, "{lines}: {read}");
    }
    assert_eq!(endpoint.take_request_count(), 0);
    // A chunked body is accepted, and so are two pipelined requests.
    let chunked = format!(
        "{}5\r\nhello\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n")
    );
    assert!(
        exchange(&sidecar, chunked.as_bytes())
            .expect("a response")
            .starts_with("HTTP/1.1 200 ")
    );
    assert_eq!(endpoint.next_request().message.body, b"hello");
    let mut client = sidecar.client();
    client.write(&format!(
        "{}{}",
        post_request("unsafe", "5", "first"),
        post_request("unsafe", "5", "second")
    ));
    for body in ["first", "second"] {
        assert_eq!(client.read().expect("a response").status(), 200);
        assert_eq!(endpoint.next_request().message.body, body.as_bytes());
    }
}

/// Guards against requests that do not end. Long before the requests' deadline, incomplete heads and bodies get an
/// error and a silent connection is closed. A head that is too long or malformed is answered at once.
#[test]
fn incomplete_requests_and_silent_connections_time_out() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let texts = [
        (
            "GET /api HTTP/1.1\r\nX-Half: 1\r\n".to_string(),
            "HTTP/1.1 408 ",
        ),
        (
            format!("{}half", head("Content-Length: 50\r\n")),
            "HTTP/1.1 408 ",
        ),
        (
            format!("{}5\r\nhel", head("Transfer-Encoding: chunked\r\n")),
            "HTTP/1.1 408 ",
        ),
        (
            format!("GET /api HTTP/1.1\r\nX-Pad: {}", "p".repeat(20_000)),
            "HTTP/1.1 431 ",
        ),
        ("\u{1}\u{2} what is this".into(), "HTTP/1.1 400 "),
        (String::new(), ""),
    ];
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for (text, start) in &texts {
            let sidecar = &sidecar;
            scope.spawn(move || {
                let read = exchange(sidecar, text.as_bytes()).expect("no reset");
                assert!(
                    read.starts_with(start) && read.is_empty() == start.is_empty(),
                    "{text:.60}: {read}"
                );
            });
        }
    });
    assert!(
        started_at.elapsed() < Duration::from_secs(5),
        "not before the requests' deadline: {:?}",
        started_at.elapsed()
    );
    assert_eq!(endpoint.take_request_count(), 0);
}

/// Guards an error response that is sent while the request's body still arrives. Closing the connection with unread
/// bytes would reset it, and the response would be lost. The 60 MB are not buffered, either.
#[test]
fn early_error_response_is_readable() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let body = "x".repeat(60_000_000);
    for (text, start) in [
        (
            format!("{}{body}", head("Content-Length: 60000000\r\n")),
            "HTTP/1.1 413 ",
        ),
        (
            format!(
                "{}{body}",
                head("Content-Length: 60000000\r\n").replace("unsafe", "none")
            ),
            "HTTP/1.1 400 ",
        ),
    ] {
        let read = exchange(&sidecar, text.as_bytes()).expect("no reset");
        assert!(read.starts_with(start), "{read}");
    }
    assert_eq!(endpoint.take_request_count(), 0);
}

/// Guards the size of the data stored for a request. Ids and keys have a maximum length, and a deadline is capped by
/// its class.
#[test]
fn long_ids_get_400_and_deadlines_are_capped() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    let long_id = "i".repeat(300);
    let request_with = |id: &str, line: &str| {
        get_request("1e9")
            .replace("X-Class", &format!("{line}X-Class"))
            .replace("id-", id)
    };
    assert_eq!(client.exchange(&request_with(&long_id, "")).status(), 400);
    assert_eq!(
        client
            .exchange(&request_with(
                "id-",
                &format!("Idempotency-Key: {long_id}\r\n")
            ))
            .status(),
        400
    );
    assert_eq!(
        client
            .exchange(&request_with("id-", "X-Request-Id: other\r\n"))
            .status(),
        400
    );
    assert_eq!(endpoint.take_request_count(), 0);
    assert_eq!(client.exchange(&request_with("id-", "")).status(), 200);
    let time_left = endpoint
        .next_request()
        .message
        .header("x-deadline")
        .and_then(|seconds| seconds.parse::<f64>().ok());
    assert!(time_left.expect("a deadline") <= 10.0, "{time_left:?}");
}

/// Guards a pending request against a second one with the same id. The second gets 409, and the first is served.
#[test]
fn repeated_id_gets_409() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |_| {
        gate.wait();
        respond_ok("first")
    });
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let request = post_request("unsafe", "8", "x");
    let mut first = sidecar.client();
    first.write(&request);
    endpoint.next_request();
    for _ in 0..3 {
        let mut second = sidecar.client();
        assert_eq!(second.exchange(&request).status(), 409);
    }
    opener.release_one();
    assert_eq!(first.read().expect("a response").body, b"first");
    assert_eq!(endpoint.take_request_count(), 0);
}

/// Guards the descriptors against hundreds of clients that connect and send nothing, or a part of a request. Other
/// callers are still served, over new connections to endpoints, and the watch can be opened again.
#[test]
fn requests_are_served_during_connection_flood() {
    let endpoint = Endpoint::start(|_| {
        EndpointAction::RespondThenClose("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
    });
    let discovery = Discovery::start();
    let config = config_with_descriptor_limit(&discovery, &endpoint, 256);
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_descriptor_limit(&path, 256);
    let mut flood = Vec::new();
    for number in 0..600 {
        let mut stream = TcpStream::connect(sidecar.address).expect("the backlog has room");
        if number % 2 == 0 {
            let _ = stream.write_all(b"GET /api HTTP/1.1\r\nX-Ha");
        }
        flood.push(stream);
        if number % 20 == 19 {
            assert_eq!(
                sidecar.client().exchange(&get_request("5")).status(),
                200,
                "after {number}: {:?}",
                sidecar.log()
            );
        }
    }
    drop(discovery.next_call());
    discovery.next_call();
    let log = sidecar.log().join("\n");
    assert!(!log.contains("could not be accepted"), "{log}");
    for stream in &flood {
        drop(stream.shutdown(Shutdown::Both));
    }
    std::fs::remove_file(path).expect("the file is removed");
}

/// Guards slow callers among many idle clients: one whose head arrives in chunks is not evicted while others are idle.
#[test]
fn eviction_spares_slow_head() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let config = config_with_descriptor_limit(&discovery, &endpoint, 96);
    let sidecar = Sidecar::start(&config);
    let mut slow = TcpStream::connect(sidecar.address).expect("the sidecar accepts");
    slow.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout is set");
    let request = get_request("5");
    let mut idle = Vec::new();
    for chunk in request.as_bytes().chunks(request.len().div_ceil(5)) {
        slow.write_all(chunk).expect("the connection is open");
        // All rounds together open more connections than the callers' limit on descriptors.
        for _ in 0..20 {
            let mut client = sidecar.client();
            assert_eq!(
                client
                    .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
                    .status(),
                200
            );
            idle.push(client);
        }
    }
    let mut answer = [0; 12];
    slow.read_exact(&mut answer).expect("a response");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

/// Guards new callers among many idle clients. Callers that connect at the same time do not evict each other before
/// their requests arrive, as long as other clients are idle. All requests of at least one of five rounds must be
/// served, because a stall of the machine may make a round fail.
#[test]
fn eviction_spares_new_connections() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let config = config_with_descriptor_limit(&discovery, &endpoint, 96);
    let count_served = |_| {
        let sidecar = Sidecar::start(&config);
        let mut idle: Vec<Client> = (0..60).map(|_| sidecar.client()).collect();
        for client in &mut idle {
            client.write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        }
        std::thread::sleep(Duration::from_millis(50));
        let mut new: Vec<TcpStream> = (0..12)
            .map(|_| TcpStream::connect(sidecar.address).expect("the sidecar accepts"))
            .collect();
        std::thread::sleep(Duration::from_millis(50));
        let is_served = |stream: &mut TcpStream| {
            let mut answer = [0; 12];
            stream
                .set_read_timeout(Some(TEST_TIMEOUT))
                .expect("the timeout is set");
            let written = stream.write_all(get_request("5").as_bytes());
            written
                .and_then(|()| stream.read_exact(&mut answer))
                .is_ok_and(|()| &answer == b"HTTP/1.1 200")
        };
        new.iter_mut()
            .filter_map(|stream| is_served(stream).then_some(()))
            .count()
    };
    let rounds: Vec<usize> = (0..5).map(count_served).collect();
    assert!(rounds.contains(&12), "{rounds:?}");
}
