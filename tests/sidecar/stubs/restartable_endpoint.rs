//! An endpoint whose process can end and start again at the same address.

use super::message::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The interval at which the threads of an endpoint's process check if it has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// An endpoint that answers each request with 200 while it runs. When it ends, its connections are reset and new ones
/// are refused.
pub struct RestartableEndpoint {
    pub address: SocketAddr,
    after_response: AfterResponse,
    process: Option<EndpointProcess>,
    /// Keeps the port from other tests while no process listens.
    _reservation: Socket,
}

/// The endpoint's treatment of a connection after a response.
#[derive(Clone, Copy, PartialEq)]
pub enum AfterResponse {
    KeepOpen,
    Close,
}

/// One process of the endpoint, simulated by threads.
struct EndpointProcess {
    state: Arc<ProcessState>,
    accepting: JoinHandle<()>,
}

#[derive(Default)]
struct ProcessState {
    has_ended: AtomicBool,
    requests: AtomicUsize,
}

impl RestartableEndpoint {
    pub fn start(after_response: AfterResponse) -> Self {
        let reservation = bind_shared("127.0.0.1:0".parse().expect("an address"));
        let address = reservation.local_addr().expect("the socket is bound");
        let address = address.as_socket().expect("an address");
        RestartableEndpoint {
            address,
            after_response,
            process: Some(EndpointProcess::start(listen(address), after_response)),
            _reservation: reservation,
        }
    }

    /// Ends the process, and returns once its connections are reset and it does not listen any more.
    pub fn end(&mut self) {
        let process = self.process.take().expect("the process runs");
        process.state.has_ended.store(true, Ordering::SeqCst);
        process.accepting.join().expect("the thread ends");
    }

    /// Starts a new process at the same address.
    pub fn start_again(&mut self) {
        assert!(self.process.is_none(), "the previous process has ended");
        let listener = listen(self.address);
        self.process = Some(EndpointProcess::start(listener, self.after_response));
    }

    /// Returns how many requests the present process has received.
    pub fn request_count(&self) -> usize {
        let process = self.process.as_ref().expect("the process runs");
        process.state.requests.load(Ordering::SeqCst)
    }
}

impl EndpointProcess {
    fn start(listener: TcpListener, after_response: AfterResponse) -> Self {
        let state = Arc::<ProcessState>::default();
        let accepting = {
            let state = state.clone();
            thread::spawn(move || accept_until_ended(&listener, &state, after_response))
        };
        EndpointProcess { state, accepting }
    }
}

/// Binds a socket to an address that it shares with other sockets of the endpoint, but not with those of other tests.
fn bind_shared(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_port(true).expect("the option is set");
    socket.bind(&address.into()).expect("the port is bound");
    socket
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = bind_shared(address);
    socket.listen(128).expect("the socket listens");
    socket.into()
}

fn accept_until_ended(
    listener: &TcpListener,
    state: &Arc<ProcessState>,
    after_response: AfterResponse,
) {
    listener.set_nonblocking(true).expect("the option is set");
    let mut connections = Vec::new();
    while !state.has_ended.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(CHECK_INTERVAL);
            continue;
        };
        let state = state.clone();
        connections.push(thread::spawn(move || {
            serve_until_ended(stream, &state, after_response);
        }));
    }
    for connection in connections {
        connection.join().expect("the thread ends");
    }
}

/// Answers the requests on a connection, and resets it when the process ends.
fn serve_until_ended(stream: TcpStream, state: &ProcessState, after_response: AfterResponse) {
    stream.set_nonblocking(false).expect("the option is set");
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("the option is set");
    let mut reader = BufReader::new(stream);
    while wait_for_request(reader.get_ref(), state) {
        if read_message(&mut reader).is_none() {
            return;
        }
        state.requests.fetch_add(1, Ordering::SeqCst);
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let is_written = reader.get_mut().write_all(response).is_ok();
        if is_written && after_response == AfterResponse::Close {
            let linger = SockRef::from(reader.get_ref()).set_linger(None);
            return linger.expect("the option is set");
        }
        if !is_written {
            return;
        }
    }
}

/// Waits until something can be read; returns false if the process has ended first.
fn wait_for_request(stream: &TcpStream, state: &ProcessState) -> bool {
    let set_timeout = |timeout| stream.set_read_timeout(timeout).expect("the option is set");
    set_timeout(Some(CHECK_INTERVAL));
    while !state.has_ended.load(Ordering::SeqCst) {
        let is_silent = stream.peek(&mut [0]).is_err_and(|error| {
            matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
        });
        if !is_silent {
            set_timeout(None);
            return true;
        }
    }
    false
}
