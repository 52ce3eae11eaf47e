//! Load reports and responses of endpoints, well-formed and malformed.

use crate::stubs::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An endpoint that reports a long queue gets hardly any requests while another one is idle. A report with implausible
/// values is ignored.
#[test]
fn valid_load_report_of_long_queue_diverts_requests() {
    for (load, is_valid) in [
        ("X-Load: TEXT concurrent=9, depth=8, load_share=1.0", true),
        (
            "X-Load: %%%\r\nX-Load: TEXT concurrent=9, depth=8, load_share=1.0",
            true,
        ),
        (
            "X-Load: TEXT concurrent=1e300, depth=1e300, load_share=-1",
            false,
        ),
        (
            "X-Load: TEXT concurrent=-5, depth=-4, load_share=0.1",
            false,
        ),
    ] {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{load}\r\n\r\n");
        let idle_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Load: TEXT concurrent=0, depth=0, load_share=0\r\n\r\n";
        let endpoints = [
            Endpoint::start(move |_| EndpointAction::Respond(response.clone())),
            Endpoint::start(|_| EndpointAction::Respond(idle_response.into())),
        ];
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoints[0], &endpoints[1]]);
        let mut client = sidecar.client();
        for _ in 0..20 {
            client.exchange(&get_request("2")); // some may be rejected: one of two is overloaded
        }
        let sent = endpoints[0].take_request_count();
        assert_eq!(sent <= 2, is_valid, "{load}: {sent} of 20");
    }
}

/// The end of each of these responses is unknown or not worth waiting for, and the request may have run. It fails at
/// once and not at its timeout, and the connection is closed.
#[test]
fn malformed_response_fails_its_request_at_once() {
    let long_headers = "X-Pad: pppppppppppppppppppppppppppppp\r\n".repeat(2000);
    let hints = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(200);
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmuch",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        "noise\r\n\r\n",
        &format!("HTTP/1.1 200 OK\r\n{long_headers}"),
        &hints,
    ] {
        let text = response.to_string();
        let endpoint = Endpoint::start(move |_| EndpointAction::Respond(text.clone()));
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
        // If the sidecar waited for the rest, the status would be 504 and not 502.
        let reply = sidecar.client().exchange(&post_request("unsafe", "5", "x"));
        let shown = &response[..response.len().min(90)];
        assert_eq!(reply.status(), 502, "{shown}");
        assert_eq!(
            endpoint.next_request().connection,
            endpoint.next_connection_close(),
            "{shown}"
        );
        assert_eq!(endpoint.take_request_count(), 0, "{shown}");
    }
}

/// Informational responses may precede a response, and extra bytes may follow it. The response is served, and the extra
/// bytes are not taken for the next request's response.
#[test]
fn valid_response_with_extra_bytes_is_served() {
    let response_with = |id: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        )
    };
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    for kind in 0..3 {
        let endpoint = Endpoint::start(move |message| {
            let response = response_with(message.header("x-request-id").expect("an id"));
            EndpointAction::Respond(match kind {
                0 => format!("{response}{response}"),
                1 => format!("{response}noise that is no answer"),
                _ => format!("{hints}{response}"),
            })
        });
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
        let mut client = sidecar.client();
        for _ in 1..9 {
            let reply = client.exchange(&get_request("5"));
            let id = endpoint
                .next_request()
                .message
                .header("x-request-id")
                .map(str::to_string);
            assert_eq!(
                (reply.status(), String::from_utf8(reply.body).ok()),
                (200, id),
                "{kind}"
            );
            std::thread::sleep(Duration::from_millis(60)); // past the settling time of the idle connection
        }
    }
}

/// Once a response has reached the client, the endpoint sends a second one or closes the connection. The next request,
/// which is sent at that moment, must not be written on that connection.
#[test]
fn late_second_response_does_not_reach_next_request() {
    for closes_connection in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the port is bound");
        let address = listener.local_addr().expect("a bound address");
        let (next_request_sent, next_request) = channel::<()>();
        let next_request = Arc::new(Mutex::new(next_request));
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let next_request = next_request.clone();
                std::thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(message) = read_message(&mut stream) {
                        let id = message.header("x-request-id").expect("an id").to_string();
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
                            id.len()
                        );
                        let _ = stream.get_mut().write_all(text.as_bytes());
                        if connection == 0 {
                            let _ = next_request
                                .lock()
                                .expect("the lock is not poisoned")
                                .recv();
                            if closes_connection {
                                return drop(stream.get_mut().shutdown(Shutdown::Both));
                            }
                            let _ = stream.get_mut().write_all(text.as_bytes());
                        }
                    }
                });
            }
        });
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&config(
            discovery.address,
            &[list_entry("e0", address, "SERVING")],
        ));
        let mut client = sidecar.client();
        // The second request is pipelined after the first, and is sent as soon as the first has its response.
        let requests = [0, 1, 2, 3].map(|_| get_request("5"));
        client.write(&requests[..2].concat());
        for (number, request) in requests.iter().enumerate() {
            if number >= 2 {
                client.write(request);
            }
            let reply = client.read().expect("a response");
            let body = String::from_utf8(reply.body.clone()).expect("text");
            let is_own_response = request.contains(&format!("X-Request-Id: {body}\r\n"));
            assert!(
                reply.status() == 200 && is_own_response,
                "{number}, {closes_connection}: {} {body}",
                reply.status()
            );
            if number == 0 {
                std::thread::sleep(Duration::from_millis(5)); // the second request is in flight
                next_request_sent.send(()).expect("the endpoint waits");
            }
        }
    }
}
