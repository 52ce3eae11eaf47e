//! Endpoints that do as they are told.

use super::message::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// What an endpoint does with a request.
pub enum EndpointAction {
    /// Writes this and keeps the connection.
    Respond(String),
    /// Writes this and closes the connection.
    RespondThenClose(String),
    /// Writes this, and resets the connection at the next request on it.
    RespondThenReset(String),
    /// Says nothing until the sidecar closes the connection.
    Hang,
}

#[derive(Debug)]
pub enum EndpointEvent {
    /// A request, on the connection with this number.
    Request(usize, Message),
    /// The end of the connection with this number, by either side.
    ConnectionClosed(usize),
}

pub fn respond_ok(body: &str) -> EndpointAction {
    EndpointAction::Respond(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub struct Endpoint {
    pub address: SocketAddr,
    events: Receiver<EndpointEvent>,
}

impl Endpoint {
    pub fn start(respond: impl Fn(&Message) -> EndpointAction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, events) = channel();
        let respond = Arc::new(respond);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (Ok(stream), sender, respond) = (stream, sender.clone(), respond.clone())
                else {
                    break;
                };
                thread::spawn(move || {
                    converse(number, stream, &sender, &*respond);
                    let _ = sender.send(EndpointEvent::ConnectionClosed(number));
                });
            }
        });
        Endpoint { address, events }
    }

    /// The next thing that it sees.
    pub fn next_event(&self) -> EndpointEvent {
        self.events
            .recv_timeout(TEST_TIMEOUT)
            .expect("the endpoint sees something")
    }

    pub fn next_request(&self) -> (usize, Message) {
        loop {
            if let EndpointEvent::Request(number, message) = self.next_event() {
                return (number, message);
            }
        }
    }

    pub fn next_connection_close(&self) -> usize {
        loop {
            if let EndpointEvent::ConnectionClosed(number) = self.next_event() {
                return number;
            }
        }
    }

    /// The requests that it has seen up to now and not told of.
    pub fn take_request_count(&self) -> usize {
        self.take_requests().len()
    }

    pub fn take_requests(&self) -> Vec<Message> {
        let requests = |events| {
            if let EndpointEvent::Request(_, message) = events {
                Some(message)
            } else {
                None
            }
        };
        self.events.try_iter().filter_map(requests).collect()
    }
}

fn converse(
    number: usize,
    stream: TcpStream,
    sender: &Sender<EndpointEvent>,
    respond: &dyn Fn(&Message) -> EndpointAction,
) {
    let mut reader = BufReader::new(stream);
    let mut spent = false;
    while let Some(message) = read_message(&mut reader).filter(|_| !spent) {
        let _ = sender.send(EndpointEvent::Request(number, message.clone()));
        let (text, closes) = match respond(&message) {
            EndpointAction::Respond(text) => (text, false),
            EndpointAction::RespondThenClose(text) => (text, true),
            EndpointAction::RespondThenReset(text) => {
                spent = true;
                (text, false)
            }
            EndpointAction::Hang => continue, // the next read waits for the end
        };
        if reader.get_mut().write_all(text.as_bytes()).is_err() || closes {
            let _ = reader.get_mut().shutdown(Shutdown::Both);
            return;
        }
    }
}
