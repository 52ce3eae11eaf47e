//! Endpoints that respond as the test decides, and record the requests that they receive.

use super::message::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// The reaction of an endpoint to a request.
pub enum EndpointAction {
    /// Writes this response and keeps the connection open.
    Respond(String),
    /// Writes this response and closes the connection.
    RespondThenClose(String),
    /// Writes this response. Closes the connection without a response when the next request arrives on it.
    RespondThenCloseOnNextRequest(String),
    /// Writes nothing until the sidecar closes the connection.
    Hang,
}

/// An event at an endpoint. Connections are numbered from 0 in the order in which they are accepted.
#[derive(Debug)]
pub enum EndpointEvent {
    /// A request arrived.
    Request(ReceivedRequest),
    /// A connection was closed, by either side.
    ConnectionClosed { connection: usize },
}

/// A request, and the number of the connection that it arrived on.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub connection: usize,
    pub message: Message,
}

/// A response with status 200 and this body.
pub fn respond_ok(body: &str) -> EndpointAction {
    EndpointAction::Respond(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// An endpoint on a loopback port.
pub struct Endpoint {
    pub address: SocketAddr,
    events: Receiver<EndpointEvent>,
}

impl Endpoint {
    /// Starts an endpoint that reacts to each request by the action that `respond` returns for it.
    pub fn start(respond: impl Fn(&Message) -> EndpointAction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the port is bound");
        let address = listener.local_addr().expect("a bound address");
        let (sender, events) = channel();
        let respond = Arc::new(respond);
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (Ok(stream), sender, respond) = (stream, sender.clone(), respond.clone())
                else {
                    break;
                };
                thread::spawn(move || {
                    serve_connection(connection, stream, &sender, &*respond);
                    let _ = sender.send(EndpointEvent::ConnectionClosed { connection });
                });
            }
        });
        Endpoint { address, events }
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> EndpointEvent {
        self.events
            .recv_timeout(TEST_TIMEOUT)
            .expect("an event at the endpoint")
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> ReceivedRequest {
        loop {
            if let EndpointEvent::Request(request) = self.next_event() {
                return request;
            }
        }
    }

    /// Waits until the next connection is closed, and returns its number.
    pub fn next_connection_close(&self) -> usize {
        loop {
            if let EndpointEvent::ConnectionClosed { connection } = self.next_event() {
                return connection;
            }
        }
    }

    /// Takes the requests that have arrived and were not taken yet, and returns their number. Drops the other events
    /// that have occurred.
    pub fn take_request_count(&self) -> usize {
        self.take_requests().len()
    }

    /// Takes the requests that have arrived and were not taken yet. Drops the other events that have occurred.
    pub fn take_requests(&self) -> Vec<Message> {
        let requests = |event| match event {
            EndpointEvent::Request(request) => Some(request.message),
            EndpointEvent::ConnectionClosed { .. } => None,
        };
        self.events.try_iter().filter_map(requests).collect()
    }
}

fn serve_connection(
    connection: usize,
    stream: TcpStream,
    events: &Sender<EndpointEvent>,
    respond: &dyn Fn(&Message) -> EndpointAction,
) {
    let mut reader = BufReader::new(stream);
    let mut closes_on_next_request = false;
    while let Some(message) = read_message(&mut reader).filter(|_| !closes_on_next_request) {
        let _ = events.send(EndpointEvent::Request(ReceivedRequest {
            connection,
            message: message.clone(),
        }));
        let (response, closes) = match respond(&message) {
            EndpointAction::Respond(response) => (response, false),
            EndpointAction::RespondThenClose(response) => (response, true),
            EndpointAction::RespondThenCloseOnNextRequest(response) => {
                closes_on_next_request = true;
                (response, false)
            }
            EndpointAction::Hang => continue, // the next read waits until the connection is closed
        };
        if reader.get_mut().write_all(response.as_bytes()).is_err() || closes {
            let _ = reader.get_mut().shutdown(Shutdown::Both);
            return;
        }
    }
}
