//! Request bodies too large to be buffered: they are streamed to one endpoint.

use crate::stubs::raw_http::*;
use crate::stubs::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const MB: usize = 1 << 20;
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const INTERNAL_ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";

/// Starts an endpoint that responds with 200 to this request body, and with 500 to any other.
fn endpoint_expecting(expected: Arc<Vec<u8>>) -> RawEndpoint {
    RawEndpoint::start(move |head, stream| {
        let is_unchanged = read_body(head, stream).is_some_and(|body| body == *expected);
        let response = if is_unchanged { OK } else { INTERNAL_ERROR };
        send(stream, response.as_bytes());
    })
}

/// Starts an endpoint that does not respond. The receiver gets true for each complete request body and false for each
/// incomplete one.
fn endpoint_reporting_completeness() -> (RawEndpoint, Receiver<bool>) {
    let (sender, is_complete) = channel();
    let sender = Mutex::new(sender);
    let endpoint = RawEndpoint::start(move |head, stream| {
        let body = read_body(head, stream);
        sender
            .lock()
            .expect("the lock is not poisoned")
            .send(body.is_some())
            .expect("the test is running");
    });
    (endpoint, is_complete)
}

/// A large request in each framing arrives unchanged, and its beginning arrives before its end has been sent. It counts
/// as sent once it is complete.
#[test]
fn large_requests_are_streamed_unchanged() {
    let body = Arc::new(pattern(3 * MB));
    let endpoint = endpoint_expecting(body.clone());
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    for (number, chunked) in [false, true, false].into_iter().enumerate() {
        let mut client = connect(&sidecar);
        let framing = if chunked {
            "Transfer-Encoding: chunked".into()
        } else {
            format!("Content-Length: {}", body.len())
        };
        send(&mut client, request_head("keyed", &framing).as_bytes());
        let (first, rest) = body.split_at(MB);
        send(
            &mut client,
            &if chunked { chunk(first) } else { first.into() },
        );
        let forwarded = endpoint.next_head();
        assert_eq!(
            header(&forwarded, "content-length").is_none(),
            chunked,
            "{forwarded}"
        );
        assert_eq!(
            sidecar.metric("upstream_requests"),
            Some(number as u64),
            "the request is not complete"
        );
        assert_eq!(
            sidecar.metric("pending"),
            Some(0),
            "it has not been received completely either"
        );
        send(
            &mut client,
            &if chunked { chunk(rest) } else { rest.into() },
        );
        if chunked {
            send(&mut client, b"0\r\nX-Sum: 1\r\n\r\n");
        }
        let head = read_head(&mut client).expect("a response");
        assert_eq!(status(&head), "200", "{head}");
        assert_eq!(sidecar.metric("upstream_requests"), Some(number as u64 + 1));
        if !chunked {
            let mut two = [0; 2];
            client
                .read_exact(&mut two)
                .expect("the body of the response");
            // The connection stays open.
            send(&mut client, b"GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
            assert_eq!(status(&read_head(&mut client).expect("a response")), "200");
        }
    }
    assert_eq!(sidecar.ended_request_count("completed", "keyed"), Some(3));
}

/// A client that waits for `100 Continue` gets it, and its body is forwarded.
#[test]
fn expect_100_continue_is_answered() {
    let endpoint = RawEndpoint::start(|head, stream| {
        let is_complete = read_body(head, stream).is_some();
        assert!(is_complete && header(head, "expect").is_none(), "{head}");
        send(stream, OK.as_bytes());
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    for length in [5, 200_000] {
        let mut client = connect(&sidecar);
        send(
            &mut client,
            request_head(
                "keyed",
                &format!("Expect: 100-continue\r\nContent-Length: {length}"),
            )
            .as_bytes(),
        );
        assert_eq!(
            status(&read_head(&mut client).expect("100 Continue")),
            "100"
        );
        send(&mut client, &pattern(length));
        assert_eq!(status(&read_head(&mut client).expect("a response")), "200");
    }
}

/// A body that is too large to be buffered cannot be sent twice: once a part of it has been forwarded, there is no
/// second attempt, whatever the class. The incomplete request did not run. It is therefore rejected, which tells the
/// caller that trying again is harmless.
#[test]
fn partly_forwarded_request_is_not_retried() {
    for class in ["keyed", "unsafe"] {
        let endpoints = [0, 1].map(|_| {
            RawEndpoint::start(|_, stream| {
                let mut some = vec![0; 300_000];
                let _ = stream.read_exact(&mut some);
                let _ = stream.get_mut().shutdown(Shutdown::Both);
            })
        });
        let (sidecar, _discovery) = start_sidecar(&[endpoints[0].address, endpoints[1].address]);
        let mut client = connect(&sidecar);
        send(
            &mut client,
            request_head(class, &format!("Content-Length: {}", 8 * MB)).as_bytes(),
        );
        // The sidecar may close the connection before it has read everything.
        let _ = client.get_mut().write_all(&pattern(8 * MB));
        assert_eq!(
            status(&read_head(&mut client).expect("a response")),
            "503",
            "{class}"
        );
        let attempts: usize = endpoints
            .iter()
            .map(|endpoint| endpoint.heads.try_iter().count())
            .sum();
        assert_eq!(
            (attempts, sidecar.metric("upstream_requests")),
            (1, Some(0)),
            "{class}"
        );
        assert_eq!(sidecar.ended_request_count("rejected", class), Some(1));
    }
}

/// When the first attempt fails before its first byte is written, all that has been received is still buffered. The
/// next endpoint gets the complete body.
#[test]
fn large_request_is_retried_after_refused_connection() {
    let endpoint = RawEndpoint::start(|head, stream| {
        let is_complete = read_body(head, stream).is_some_and(|body| body == pattern(body.len()));
        let response = if is_complete { OK } else { INTERNAL_ERROR };
        send(stream, response.as_bytes());
    });
    let connection = TcpStream::connect(endpoint.address).expect("a connection");
    let closed = connection.local_addr().expect("a bound address"); // nobody listens on it
    let (sidecar, _discovery) = start_sidecar(&[closed, endpoint.address]);
    for _ in 0..12 {
        let mut client = connect(&sidecar);
        send(
            &mut client,
            request_head("keyed", &format!("Content-Length: {MB}")).as_bytes(),
        );
        send(&mut client, &pattern(MB));
        let answer = status(&read_head(&mut client).expect("a response")).to_string();
        assert!(
            answer == "200" || answer == "503",
            "200, or 503 if the retry budget is spent: {answer}"
        );
    }
    assert!(
        sidecar
            .ended_request_count("completed", "keyed")
            .is_some_and(|count| count >= 6)
    );
}

/// A request whose declared length is over the limit gets 413 at once. One without a declared length gets it when its
/// body exceeds the limit. No endpoint gets a complete body.
#[test]
fn requests_over_the_size_limit_get_413() {
    let (endpoint, is_complete) = endpoint_reporting_completeness();
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let mut client = connect(&sidecar);
    send(
        &mut client,
        request_head("unsafe", "Content-Length: 62914560").as_bytes(),
    );
    assert_eq!(
        status(&read_head(&mut client).expect("a response before the body is read")),
        "413"
    );
    let mut client = connect(&sidecar);
    send(
        &mut client,
        request_head("unsafe", "Transfer-Encoding: chunked").as_bytes(),
    );
    let encoded_chunk = chunk(&vec![b'x'; MB]);
    let mut writer = client.get_ref().try_clone().expect("a second handle");
    let writing = thread::spawn(move || {
        (0..60)
            .take_while(|_| writer.write_all(&encoded_chunk).is_ok())
            .count()
    });
    assert_eq!(status(&read_head(&mut client).expect("a response")), "413");
    drop(client);
    writing.join().expect("the writer ends");
    assert!(
        !is_complete
            .recv_timeout(TEST_TIMEOUT)
            .expect("the endpoint got the beginning")
    );
    assert_eq!(sidecar.metric("upstream_requests"), Some(0));
}

/// When a client stops in the middle of a large body, sends a malformed chunk or disconnects, its request ends and the
/// connection to the endpoint is closed.
#[test]
fn incomplete_large_request_ends_its_attempt() {
    let (endpoint, is_complete) = endpoint_reporting_completeness();
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let is_body_complete = || {
        is_complete
            .recv_timeout(TEST_TIMEOUT)
            .expect("the endpoint's connection ends")
    };
    let begin = |framing: &str, body: &[u8]| {
        let mut client = connect(&sidecar);
        send(&mut client, request_head("keyed", framing).as_bytes());
        send(&mut client, body);
        endpoint.next_head();
        client
    };
    // The client stops in the middle of the body.
    let mut client = begin("Content-Length: 500000", &pattern(100_000));
    assert_eq!(status(&read_head(&mut client).expect("a response")), "408");
    assert!(!is_body_complete());
    // The client sends a malformed chunk size.
    let mut client = begin("Transfer-Encoding: chunked", &chunk(&pattern(100_000)));
    send(&mut client, b"not a size\r\n");
    let _ = read_head(&mut client); // a response or a close
    assert!(!is_body_complete());
    // The client disconnects.
    drop(begin("Content-Length: 500000", &pattern(100_000)));
    assert!(!is_body_complete());
    wait_until("no request is pending", || {
        sidecar.metric("pending") == Some(0)
    });
    assert_eq!(sidecar.ended_request_count("completed", "keyed"), Some(0));
    assert_eq!(sidecar.metric("upstream_requests"), Some(0));
}

/// A large body that arrives at 64 kB per second is received, although it takes longer than a small one may.
#[test]
fn slow_client_above_minimum_rate_is_served() {
    let body = Arc::new(pattern(320_000));
    let endpoint = endpoint_expecting(body.clone());
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let mut client = connect(&sidecar);
    send(
        &mut client,
        request_head("keyed", &format!("Content-Length: {}", body.len())).as_bytes(),
    );
    for body_chunk in body.chunks(6_400) {
        send(&mut client, body_chunk);
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(status(&read_head(&mut client).expect("a response")), "200");
}
