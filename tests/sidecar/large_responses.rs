//! Response bodies too large to be buffered: they are streamed, within the memory budget.

use crate::stubs::raw_http::*;
use crate::stubs::*;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MB: usize = 1 << 20;
/// The length of a slow response, and of its parts. The parts that are sent within a second are less than 64 KiB.
const SLOW_LENGTH: usize = 192 << 10;
const SLOW_PART: usize = 2 << 10;

/// The smallest memory that a sidecar may have with the most descriptors, and how many clients it may have then: a third
/// of the descriptors.
const MIN_MEMORY_KB: usize = 32 << 10;
const MAX_CLIENTS: usize = 1_024 / 3;
/// The numbers of clients with which the memory is measured. The kernel buffers 5 MB for each of them.
const FEW_CLIENTS: usize = 32;
const MANY_CLIENTS: usize = 128;

/// Waits until the value stays the same between two looks.
fn wait_until_constant(description: &str, value: impl Fn() -> usize) {
    let mut last = usize::MAX;
    wait_until(description, || {
        std::thread::sleep(PART_INTERVAL);
        std::mem::replace(&mut last, value()) == value()
    });
}

/// Guards the memory limit: many clients read nothing of their long answers (`review/10`). Framed by a length or by
/// chunks, the answers wait at the endpoints and in the kernel, and what each client takes in the sidecar leaves room for
/// as many clients as there may be.
#[test]
fn many_unread_responses_stay_within_the_memory_limit() {
    for framing in ["Content-Length: 33554432", "Transfer-Encoding: chunked"] {
        let sent = Arc::new(AtomicUsize::new(0));
        let sent_by_endpoint = sent.clone();
        let endpoint = RawEndpoint::start(move |_, stream| {
            let part = vec![b'x'; 8 << 10];
            let frame = if framing.contains("chunked") {
                chunk(&part)
            } else {
                part
            };
            let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
            let mut written = stream.get_mut().write_all(head.as_bytes());
            for _ in 0..32 * MB / (8 << 10) {
                written = written.and_then(|()| stream.get_mut().write_all(&frame));
                sent_by_endpoint.fetch_add(1, Ordering::Relaxed);
            }
        });
        let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
        let mut clients = Vec::new();
        let mut memory_with_clients = |count: usize| {
            clients.resize_with(count, || {
                let mut client = connect(&sidecar);
                send(&mut client, get_request("15").as_bytes());
                let head = read_head(&mut client).expect("the beginning");
                assert_eq!(status(&head), "200");
                client
            });
            wait_until_constant("the endpoints are blocked", || sent.load(Ordering::Relaxed));
            sidecar.own_memory_kb()
        };
        let with_few = memory_with_clients(FEW_CLIENTS);
        let with_many = memory_with_clients(MANY_CLIENTS);
        let for_one = (with_many - with_few) as f64 / (MANY_CLIENTS - FEW_CLIENTS) as f64;
        let with_most = with_few as f64 + for_one * (MAX_CLIENTS - FEW_CLIENTS) as f64;
        assert!(
            with_most < MIN_MEMORY_KB as f64,
            "{framing}: {for_one:.1} kB a client, {with_most:.0} kB in all"
        );
    }
}

/// A large response in each framing arrives unchanged, and its beginning arrives before its end has been sent.
#[test]
fn large_responses_are_streamed_unchanged() {
    let body = Arc::new(pattern(3 * MB));
    let (rest_release, rest_gate) = channel::<()>();
    let rest_gate = Mutex::new(rest_gate);
    let response_body = body.clone();
    let endpoint = RawEndpoint::start(move |head, stream| {
        let framing = ["content-length", "chunked", "close"]
            .into_iter()
            .find(|framing| head.contains(framing))
            .expect("a framing in the request");
        let response_head = match framing {
            "content-length" => {
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                    response_body.len()
                )
            }
            "chunked" => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            _ => "HTTP/1.1 200 OK\r\n\r\n".into(),
        };
        send(stream, response_head.as_bytes());
        let (first, rest) = response_body.split_at(MB);
        for (number, part) in [first, rest].into_iter().enumerate() {
            if number == 1 {
                rest_gate
                    .lock()
                    .expect("the lock is not poisoned")
                    .recv()
                    .expect("the test is running");
            }
            match framing {
                "chunked" => send(stream, &chunk(part)),
                _ => send(stream, part),
            }
        }
        match framing {
            "chunked" => send(stream, b"0\r\nX-Sum: 1\r\n\r\n"),
            "close" => stream
                .get_mut()
                .shutdown(Shutdown::Both)
                .expect("the connection is open"),
            _ => {}
        }
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let mut client = connect(&sidecar);
    for (number, framing) in ["content-length", "chunked", "close", "content-length"]
        .into_iter()
        .enumerate()
    {
        send(
            &mut client,
            get_request("15")
                .replace("/api", &format!("/api?{framing}"))
                .as_bytes(),
        );
        let head = read_head(&mut client).expect("the beginning, before the end is sent");
        assert_eq!(status(&head), "200");
        assert_eq!(
            sidecar.metric("pending"),
            Some(1),
            "the response is not complete"
        );
        rest_release.send(()).expect("the endpoint waits");
        assert!(
            read_body(&head, &mut client).expect("a complete body") == **body,
            "{framing}"
        );
        wait_until("the request is served", || {
            sidecar.ended_request_count("completed", "safe") == Some(number as u64 + 1)
        });
    }
    assert_eq!(
        (
            sidecar.metric("pending"),
            sidecar.metric("upstream_requests")
        ),
        (Some(0), Some(4))
    );
}

/// Large responses that many clients do not read for a while wait at the endpoints and not in the sidecar's memory.
#[test]
fn unread_responses_are_not_buffered() {
    const LARGE: usize = 32 * MB;
    let endpoint = RawEndpoint::start(move |_, stream| {
        let body_chunk = vec![b'x'; MB];
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        let mut bytes_left = LARGE;
        let mut written = stream.get_mut().write_all(head.as_bytes());
        while written.is_ok() && bytes_left > 0 {
            written = stream.get_mut().write_all(&body_chunk);
            bytes_left -= MB;
        }
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let memory_before = sidecar.memory_kb();
    let mut clients: Vec<BufferedStream> = (0..8).map(|_| connect(&sidecar)).collect();
    for client in &mut clients {
        send(client, get_request("15").as_bytes());
        let head = read_head(client).expect("the beginning");
        assert_eq!(status(&head), "200");
    }
    assert_eq!(
        sidecar
            .client()
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    let growth = sidecar.memory_kb() - memory_before;
    assert!(growth < 16 << 10, "{growth} kB for 256 MB");
    let mut body_chunk = vec![0; MB];
    for client in &mut clients {
        for _ in 0..LARGE / MB {
            client.read_exact(&mut body_chunk).expect("the rest");
        }
    }
    wait_until("all requests are served", || {
        sidecar.ended_request_count("completed", "safe") == Some(8)
    });
}

/// The time between two parts of a response, longer than which an endpoint does not pause.
const PART_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against a response of undeclared length that is held back until 64 KiB of it are there, and cut off at the
/// class's objective although its endpoint still sends (`review/9`). The endpoint sends small parts slowly until the
/// client has the beginning.
#[test]
fn slow_response_of_undeclared_length_is_streamed() {
    for framing in ["Transfer-Encoding: chunked", "Connection: close"] {
        for class in ["unsafe", "safe"] {
            let (has_begun, client_has_begun) = channel::<()>();
            let client_has_begun = Mutex::new(client_has_begun);
            let endpoint = RawEndpoint::start(move |head, stream| {
                read_body(head, stream).expect("the request's body");
                let mut write = |bytes: &[u8]| stream.get_mut().write_all(bytes);
                let mut written = write(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
                let body = pattern(SLOW_LENGTH);
                let mut rest = &body[..];
                let receiver = client_has_begun.lock().expect("the lock is not poisoned");
                while written.is_ok() && rest.len() > SLOW_PART {
                    let (part, next) = rest.split_at(SLOW_PART);
                    (written, rest) = (write(&framed(framing, part)), next);
                    if receiver.recv_timeout(PART_INTERVAL).is_ok() {
                        break;
                    }
                }
                let _ = write(&[&framed(framing, rest)[..], end_of_body(framing)].concat());
                let _ = stream.get_mut().shutdown(Shutdown::Write);
            });
            let (sidecar, _discovery) = start_sidecar_with(&[endpoint.address], |config| {
                with_deadline(config, Duration::from_secs(1))
            });
            let mut client = connect(&sidecar);
            let request = match class {
                "safe" => get_request("1"),
                _ => post_request("unsafe", "1", "x"),
            };
            send(&mut client, request.as_bytes());
            let head = read_head(&mut client).expect("an answer");
            assert_eq!(status(&head), "200", "{framing}, {class}");
            has_begun.send(()).expect("the endpoint waits");
            assert!(
                read_body(&head, &mut client).as_deref() == Some(&pattern(SLOW_LENGTH)),
                "{framing}, {class}"
            );
        }
    }
}

/// When a response ends early after its beginning was forwarded, the client gets a truncated body. The request is
/// counted as failed and is not tried again.
#[test]
fn truncated_large_response_fails_its_request() {
    for framing in ["Content-Length: 3000000", "Transfer-Encoding: chunked"] {
        let endpoints = [0, 1].map(|_| {
            RawEndpoint::start(move |_, stream| {
                send(
                    stream,
                    format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes(),
                );
                let part = pattern(MB);
                send(
                    stream,
                    &if framing.starts_with('T') {
                        chunk(&part)
                    } else {
                        part
                    },
                );
                let _ = stream.get_mut().shutdown(Shutdown::Both);
            })
        });
        let (sidecar, _discovery) = start_sidecar(&[endpoints[0].address, endpoints[1].address]);
        let mut client = connect(&sidecar);
        send(&mut client, get_request("15").as_bytes());
        let head = read_head(&mut client).expect("the beginning");
        assert_eq!(status(&head), "200");
        assert_eq!(read_body(&head, &mut client), None, "{framing}");
        wait_until("the request is counted", || {
            sidecar.ended_request_count("failed", "safe") == Some(1)
        });
        assert_eq!(
            endpoints
                .iter()
                .map(|endpoint| endpoint.heads.try_iter().count())
                .sum::<usize>(),
            1
        );
        assert_eq!(sidecar.metric("pending"), Some(0));
    }
}

/// Guards against a connection that closes without an answer: the part of a response that an endpoint sent before the
/// response broke off reaches the client, whatever the size of that part.
#[test]
fn received_part_of_a_broken_response_is_forwarded() {
    for framing in ["Content-Length: 3000000", "Transfer-Encoding: chunked"] {
        let is_chunked = framing.starts_with('T');
        // A chunked response of up to the limit of buffering is answered with an error status when it breaks off.
        let part_lengths: &[usize] = if is_chunked {
            &[66_000, 100_000]
        } else {
            &[1, 4_000, 66_000, 100_000]
        };
        for &part_length in part_lengths {
            let endpoint = RawEndpoint::start(move |head, stream| {
                read_body(head, stream).expect("the request's body");
                let mut response = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").into_bytes();
                let part = pattern(part_length);
                response.extend(if is_chunked { chunk(&part) } else { part });
                send(stream, &response);
                let _ = stream.get_mut().shutdown(Shutdown::Both);
            });
            let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
            for _ in 0..5 {
                let mut client = connect(&sidecar);
                let request = request_head("unsafe", "Content-Length: 2") + "ok";
                send(&mut client, request.as_bytes());
                let head = read_head(&mut client)
                    .unwrap_or_else(|| panic!("{framing}, {part_length} bytes: no answer"));
                assert_eq!(status(&head), "200");
                let mut received = Vec::new();
                let _ = client.read_to_end(&mut received);
                let expected = pattern(part_length);
                let is_forwarded = if is_chunked {
                    // The boundaries of chunks are free.
                    decode_open_chunks(&received) == expected
                } else {
                    received == expected
                };
                assert!(
                    is_forwarded,
                    "{framing}, {part_length} bytes: {} arrived",
                    received.len()
                );
            }
            wait_until("the requests are counted", || {
                sidecar.ended_request_count("failed", "unsafe") == Some(5)
            });
            assert_eq!(sidecar.metric("pending"), Some(0));
        }
    }
}

/// Returns the data of chunks after which the connection has ended without the last chunk.
fn decode_open_chunks(mut encoded: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    while let Some(end_of_line) = encoded.windows(2).position(|window| window == b"\r\n") {
        let line = std::str::from_utf8(&encoded[..end_of_line]).expect("a chunk size");
        let size = usize::from_str_radix(line, 16).expect("a chunk size");
        assert_ne!(size, 0, "the last chunk would make the response whole");
        data.extend_from_slice(&encoded[end_of_line + 2..][..size]);
        encoded = &encoded[end_of_line + 2 + size + 2..];
    }
    data
}

/// If the memory budget leaves no room to buffer a response, it is streamed and arrives complete.
#[test]
fn exhausted_memory_budget_streams_responses() {
    let body = Arc::new(pattern(50_000));
    let response_body = body.clone();
    let endpoint = RawEndpoint::start(move |_, stream| {
        send(
            stream,
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                response_body.len()
            )
            .as_bytes(),
        );
        for body_chunk in response_body.chunks(10_000) {
            send(stream, body_chunk);
        }
    });
    let discovery = Discovery::start();
    let mut config = with_admin_address(config(
        discovery.address,
        &[list_entry("e0", endpoint.address, "SERVING")],
    ));
    config["limits"]["memory_mb"] = serde_json::json!(0);
    let sidecar = Sidecar::start(&config);
    let mut client = connect(&sidecar);
    for _ in 0..3 {
        send(&mut client, get_request("15").as_bytes());
        let head = read_head(&mut client).expect("a response");
        assert_eq!(status(&head), "200");
        assert!(read_body(&head, &mut client).expect("a complete body") == **body);
    }
    wait_until("the requests are served", || {
        sidecar.ended_request_count("completed", "safe") == Some(3)
    });
}
