//! What endpoints send that is not as it ought to be.

use crate::stubs::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Guards the module's view of load: reports come with the names that the settings give their fields. An endpoint that
/// reports a long queue gets nothing while another is clear; figures that cannot be are no report.
#[test]
fn load_reports_steer_requests() {
    for (load, believed) in [
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
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{load}\r\n\r\n");
        let clear = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Load: TEXT concurrent=0, depth=0, load_share=0\r\n\r\n";
        let endpoints = [
            Endpoint::start(move |_| EndpointAction::Respond(text.clone())),
            Endpoint::start(|_| EndpointAction::Respond(clear.into())),
        ];
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoints[0], &endpoints[1]]);
        let mut client = sidecar.client();
        for _ in 0..20 {
            client.exchange(&get_request("2")); // the module may refuse some: one of two is overloaded
        }
        let sent = endpoints[0].take_request_count();
        assert_eq!(sent <= 2, believed, "{load}: {sent} of 20");
    }
}

/// Guards against answers whose end cannot be known, or that are not worth waiting for: the request may have run, so it
/// fails, at once and not when its time is up, and the connection goes.
#[test]
fn a_spoilt_answer_fails_at_once() {
    let pad = "X-Pad: pppppppppppppppppppppppppppppp\r\n".repeat(2000);
    let hints = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(200);
    for answer in [
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
        &format!("HTTP/1.1 200 OK\r\n{pad}"),
        &hints,
    ] {
        let text = answer.to_string();
        let endpoint = Endpoint::start(move |_| EndpointAction::Respond(text.clone()));
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
        // Were it waited for, the answer would be 504 and not 502.
        let reply = sidecar.client().exchange(&post_request("unsafe", "5", "x"));
        let shown = &answer[..answer.len().min(90)];
        assert_eq!(reply.status(), 502, "{shown}");
        assert_eq!(
            endpoint.next_request().0,
            endpoint.next_connection_close(),
            "{shown}"
        );
        assert_eq!(endpoint.take_request_count(), 0, "{shown}");
    }
}

/// Guards good answers that bring more than belongs to them, ahead or behind: they are served, and what came behind is
/// no answer to the next request.
#[test]
fn an_answer_with_more_than_belongs_to_it_is_served() {
    let good = |id: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        )
    };
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    for kind in 0..3 {
        let endpoint = Endpoint::start(move |message| {
            let good = good(message.header("x-request-id").expect("an id"));
            EndpointAction::Respond(match kind {
                0 => format!("{good}{good}"),
                1 => format!("{good}noise that is no answer"),
                _ => format!("{hints}{good}"),
            })
        });
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
        let mut client = sidecar.client();
        for _ in 1..9 {
            let reply = client.exchange(&get_request("5"));
            let id = endpoint
                .next_request()
                .1
                .header("x-request-id")
                .map(str::to_string);
            assert_eq!(
                (reply.status(), String::from_utf8(reply.body).ok()),
                (200, id),
                "{kind}"
            );
            std::thread::sleep(Duration::from_millis(60)); // what is kept has settled
        }
    }
}

/// Guards the next request against what the endpoint says late: once its answer is with the client it answers again, or
/// closes, and the next request may not be on that connection by then. The stub does so while that request is asked.
#[test]
fn a_second_answer_that_comes_late_is_no_answer_to_the_next_request() {
    for closes in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (asked, asks) = channel::<()>();
        let first_is_done = Arc::new(Mutex::new(asks));
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let first_is_done = first_is_done.clone();
                std::thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(message) = read_message(&mut stream) {
                        let id = message.header("x-request-id").expect("an id").to_string();
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
                            id.len()
                        );
                        let _ = stream.get_mut().write_all(text.as_bytes());
                        if number == 0 {
                            let _ = first_is_done.lock().expect("the only one").recv();
                            if closes {
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
            &[entry("e0", address, "SERVING")],
        ));
        let mut client = sidecar.client();
        // The second comes with the first, so that it is sent as soon as that is answered.
        let requests = [0, 1, 2, 3].map(|_| get_request("5"));
        client.write(&requests[..2].concat());
        for (n, request) in requests.iter().enumerate() {
            if n >= 2 {
                client.write(request);
            }
            let reply = client.read().expect("an answer");
            let body = String::from_utf8(reply.body.clone()).expect("text");
            let own = request.contains(&format!("X-Request-Id: {body}\r\n"));
            assert!(
                reply.status() == 200 && own,
                "{n}, {closes}: {} {body}",
                reply.status()
            );
            if n == 0 {
                std::thread::sleep(Duration::from_millis(5)); // the second is out
                asked.send(()).expect("the stub waits");
            }
        }
    }
}
