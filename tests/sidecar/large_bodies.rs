//! Bodies too large to be kept: they go on as they come, both ways, and hold up neither memory nor anybody else.

use crate::stubs::raw_http::*;
use crate::stubs::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const MB: usize = 1 << 20;
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Guards large answers in each framing: they come unchanged, and their beginning before their end is there.
#[test]
fn large_answers_pass_unchanged_as_they_come() {
    let body = Arc::new(pattern(3 * MB));
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let given = body.clone();
    let endpoint = RawEndpoint::start(move |head, stream| {
        let framing = ["content-length", "chunked", "close"]
            .into_iter()
            .find(|f| head.contains(f))
            .expect("the request says which");
        let line = match framing {
            "content-length" => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", given.len())
            }
            "chunked" => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            _ => "HTTP/1.1 200 OK\r\n\r\n".into(),
        };
        send(stream, line.as_bytes());
        let (first, rest) = given.split_at(MB);
        for (n, part) in [first, rest].into_iter().enumerate() {
            if n == 1 {
                released
                    .lock()
                    .expect("the only one")
                    .recv()
                    .expect("the test goes on");
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
                .expect("it is open"),
            _ => {}
        }
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let mut client = connect(&sidecar);
    for (n, framing) in ["content-length", "chunked", "close", "content-length"]
        .into_iter()
        .enumerate()
    {
        send(
            &mut client,
            get_request("15")
                .replace("/api", &format!("/api?{framing}"))
                .as_bytes(),
        );
        let head = read_head(&mut client).expect("the beginning, before the end is there");
        assert_eq!(status(&head), "200");
        assert_eq!(sidecar.metric("pending"), Some(1), "it has not ended");
        release.send(()).expect("the endpoint waits");
        assert!(
            read_body(&head, &mut client).expect("all of it") == **body,
            "{framing}"
        );
        wait_until("it is served", || {
            sidecar.requests_ended("completed", "safe") == Some(n as u64 + 1)
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

/// Guards memory: many large answers at once, read by nobody for a while, wait at the endpoints and not here.
#[test]
fn answers_that_nobody_reads_wait_at_their_endpoints() {
    const LARGE: usize = 32 * MB;
    let endpoint = RawEndpoint::start(move |_, stream| {
        let piece = vec![b'x'; MB];
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        let mut left = LARGE;
        let mut writes = stream.get_mut().write_all(head.as_bytes());
        while writes.is_ok() && left > 0 {
            writes = stream.get_mut().write_all(&piece);
            left -= MB;
        }
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let before = sidecar.memory_kb();
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
    let held = sidecar.memory_kb() - before;
    assert!(held < 16 << 10, "{held} kB for 256 MB");
    let mut piece = vec![0; MB];
    for client in &mut clients {
        for _ in 0..LARGE / MB {
            client.read_exact(&mut piece).expect("the rest");
        }
    }
    wait_until("all are served", || {
        sidecar.requests_ended("completed", "safe") == Some(8)
    });
}

/// Guards large requests in each framing: they come unchanged, their beginning before their end is there, and count as
/// sent once they are whole.
#[test]
fn large_requests_pass_unchanged_as_they_come() {
    let body = Arc::new(pattern(3 * MB));
    let wanted = body.clone();
    let endpoint = RawEndpoint::start(move |head, stream| {
        let same = read_body(head, stream).is_some_and(|body| body == *wanted);
        send(
            stream,
            if same {
                OK
            } else {
                "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
            }
            .as_bytes(),
        );
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    for (n, chunked) in [false, true, false].into_iter().enumerate() {
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
        let begun = endpoint.next_head();
        assert_eq!(
            header(&begun, "content-length").is_none(),
            chunked,
            "{begun}"
        );
        assert_eq!(
            sidecar.metric("upstream_requests"),
            Some(n as u64),
            "it is not whole"
        );
        assert_eq!(sidecar.metric("pending"), Some(0), "nor has it come");
        send(
            &mut client,
            &if chunked { chunk(rest) } else { rest.into() },
        );
        if chunked {
            send(&mut client, b"0\r\nX-Sum: 1\r\n\r\n");
        }
        let head = read_head(&mut client).expect("an answer");
        assert_eq!(status(&head), "200", "{head}");
        assert_eq!(sidecar.metric("upstream_requests"), Some(n as u64 + 1));
        if !chunked {
            let mut two = [0; 2];
            client.read_exact(&mut two).expect("the answer's body");
            // The connection goes on.
            send(&mut client, b"GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
            assert_eq!(status(&read_head(&mut client).expect("an answer")), "200");
        }
    }
    assert_eq!(sidecar.requests_ended("completed", "keyed"), Some(3));
}

/// Guards `Expect`: a caller that waits for the word gets it, and its body goes through.
#[test]
fn a_caller_that_waits_for_the_word_gets_it() {
    let endpoint = RawEndpoint::start(|head, stream| {
        let whole = read_body(head, stream).is_some();
        assert!(whole && header(head, "expect").is_none(), "{head}");
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
        assert_eq!(status(&read_head(&mut client).expect("the word")), "100");
        send(&mut client, &pattern(length));
        assert_eq!(status(&read_head(&mut client).expect("an answer")), "200");
    }
}

/// Guards rule 2 and the body: once some of it has gone on that is not kept, there is no second attempt, whatever the
/// class; as it never ran, trying again is harmless. Before that there may be one.
#[test]
fn a_large_request_is_not_sent_twice() {
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
        // What it does not read any more may break off.
        let _ = client.get_mut().write_all(&pattern(8 * MB));
        assert_eq!(
            status(&read_head(&mut client).expect("an answer")),
            "503",
            "{class}"
        );
        let attempts: usize = endpoints.iter().map(|e| e.heads.try_iter().count()).sum();
        assert_eq!(
            (attempts, sidecar.metric("upstream_requests")),
            (1, Some(0)),
            "{class}"
        );
        assert_eq!(sidecar.requests_ended("rejected", class), Some(1));
    }
}

/// Guards the first attempt's failure ahead of its first byte: what is kept is all that there is so far, and the next
/// endpoint gets it whole.
#[test]
fn a_large_request_that_has_not_gone_on_is_sent_elsewhere() {
    let endpoint = RawEndpoint::start(|head, stream| {
        let whole = read_body(head, stream).is_some_and(|body| body == pattern(body.len()));
        send(
            stream,
            if whole {
                OK
            } else {
                "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
            }
            .as_bytes(),
        );
    });
    let taken = TcpStream::connect(endpoint.address).expect("a connection");
    let dead = taken.local_addr().expect("an address"); // that nobody listens on
    let (sidecar, _discovery) = start_sidecar(&[dead, endpoint.address]);
    for _ in 0..12 {
        let mut client = connect(&sidecar);
        send(
            &mut client,
            request_head("keyed", &format!("Content-Length: {MB}")).as_bytes(),
        );
        send(&mut client, &pattern(MB));
        let answer = status(&read_head(&mut client).expect("an answer")).to_string();
        assert!(
            answer == "200" || answer == "503",
            "refused where the module grants no retry: {answer}"
        );
    }
    assert!(
        sidecar
            .requests_ended("completed", "keyed")
            .is_some_and(|n| n >= 6)
    );
}

/// Guards memory and endpoints against bodies beyond all that there should be: said ahead, they are turned down at
/// once; else where they pass the limit, and no endpoint has them whole.
#[test]
fn what_is_far_too_large_is_turned_down() {
    let (tell, whole) = channel();
    let tell = Mutex::new(tell);
    let endpoint = RawEndpoint::start(move |head, stream| {
        let body = read_body(head, stream);
        tell.lock()
            .expect("the only one")
            .send(body.is_some())
            .expect("the test runs");
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let mut client = connect(&sidecar);
    send(
        &mut client,
        request_head("unsafe", "Content-Length: 62914560").as_bytes(),
    );
    assert_eq!(
        status(&read_head(&mut client).expect("an answer, unread")),
        "413"
    );
    let mut client = connect(&sidecar);
    send(
        &mut client,
        request_head("unsafe", "Transfer-Encoding: chunked").as_bytes(),
    );
    let piece = chunk(&vec![b'x'; MB]);
    let mut other = client.get_ref().try_clone().expect("its other half");
    let writes = thread::spawn(move || {
        (0..60)
            .take_while(|_| other.write_all(&piece).is_ok())
            .count()
    });
    assert_eq!(status(&read_head(&mut client).expect("an answer")), "413");
    drop(client);
    writes.join().expect("it ends");
    assert!(
        !whole
            .recv_timeout(TEST_TIMEOUT)
            .expect("the endpoint saw the beginning")
    );
    assert_eq!(sidecar.metric("upstream_requests"), Some(0));
}

/// Guards endpoints and memory against callers that stop in the middle of a large body, or spoil it: they are told, and
/// the endpoint's connection goes.
#[test]
fn a_large_request_that_stops_or_breaks_is_ended() {
    let (tell, ends) = channel();
    let tell = Mutex::new(tell);
    let endpoint = RawEndpoint::start(move |head, stream| {
        let body = read_body(head, stream);
        tell.lock()
            .expect("the only one")
            .send(body.is_some())
            .expect("the test runs");
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let ended = || {
        ends.recv_timeout(TEST_TIMEOUT)
            .expect("the endpoint's connection ends")
    };
    let begin = |framing: &str, body: &[u8]| {
        let mut client = connect(&sidecar);
        send(&mut client, request_head("keyed", framing).as_bytes());
        send(&mut client, body);
        endpoint.next_head();
        client
    };
    // It stops.
    let mut client = begin("Content-Length: 500000", &pattern(100_000));
    assert_eq!(status(&read_head(&mut client).expect("an answer")), "408");
    assert!(!ended());
    // It ends in what is no chunk.
    let mut client = begin("Transfer-Encoding: chunked", &chunk(&pattern(100_000)));
    send(&mut client, b"not a size\r\n");
    let _ = read_head(&mut client); // an answer or a close
    assert!(!ended());
    // It leaves.
    drop(begin("Content-Length: 500000", &pattern(100_000)));
    assert!(!ended());
    wait_until("nothing is open", || sidecar.metric("pending") == Some(0));
    assert_eq!(sidecar.requests_ended("completed", "keyed"), Some(0));
    assert_eq!(sidecar.metric("upstream_requests"), Some(0));
}

/// Guards slow callers: a large body at 64 kB a second is waited for, though it takes longer than a small one may.
#[test]
fn a_slow_caller_is_waited_for() {
    let body = Arc::new(pattern(320_000));
    let wanted = body.clone();
    let endpoint = RawEndpoint::start(move |head, stream| {
        let same = read_body(head, stream).is_some_and(|body| body == *wanted);
        send(
            stream,
            if same {
                OK
            } else {
                "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
            }
            .as_bytes(),
        );
    });
    let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
    let mut client = connect(&sidecar);
    send(
        &mut client,
        request_head("keyed", &format!("Content-Length: {}", body.len())).as_bytes(),
    );
    for piece in body.chunks(6_400) {
        send(&mut client, piece);
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(status(&read_head(&mut client).expect("an answer")), "200");
}

/// Guards the caller's sight: an answer that breaks off once it has begun to go on ends so that the caller can tell, is
/// counted as failed, and is not tried again.
#[test]
fn a_large_answer_that_breaks_off_is_seen_to() {
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
        wait_until("it is counted", || {
            sidecar.requests_ended("failed", "safe") == Some(1)
        });
        assert_eq!(
            endpoints
                .iter()
                .map(|e| e.heads.try_iter().count())
                .sum::<usize>(),
            1
        );
        assert_eq!(sidecar.metric("pending"), Some(0));
    }
}

/// Guards the limit of memory for what is kept: with no room for an answer it goes on as it comes, and is whole.
#[test]
fn answers_without_room_pass_as_they_come() {
    let body = Arc::new(pattern(50_000));
    let given = body.clone();
    let endpoint = RawEndpoint::start(move |_, stream| {
        send(
            stream,
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", given.len()).as_bytes(),
        );
        for piece in given.chunks(10_000) {
            send(stream, piece);
        }
    });
    let discovery = Discovery::start();
    let mut config = with_admin_address(config(
        discovery.address,
        &[entry("e0", endpoint.address, "SERVING")],
    ));
    config["limits"]["memory_mb"] = serde_json::json!(0);
    let sidecar = Sidecar::start(&config);
    let mut client = connect(&sidecar);
    for _ in 0..3 {
        send(&mut client, get_request("15").as_bytes());
        let head = read_head(&mut client).expect("an answer");
        assert_eq!(status(&head), "200");
        assert!(read_body(&head, &mut client).expect("all of it") == **body);
    }
    wait_until("they are served", || {
        sidecar.requests_ended("completed", "safe") == Some(3)
    });
}
