//! A connection to an endpoint.

use super::known_processes::KnownProcessGuard;
use super::request_body::RequestBody;
use super::response::{EndpointResponse, FramingError, check_framing};
use super::write_progress::WriteProgress;
use crate::sidecar::body::{Buffering, ReceivedResponse, receive_response};
use crate::sidecar::descriptors::DescriptorPermit;
use crate::sidecar::sockets::{self, ObservedSocket, SocketState};
use crate::task::Task;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::error::Error as _;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The size of a connection's read buffer in bytes, which also limits the length of a response head.
const READ_BUFFER_SIZE: usize = 16 << 10;
/// The maximum number of informational (1xx) responses before the final one.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// A connection to an endpoint. Dropping it closes it.
pub struct EndpointConnection {
    sender: SendRequest<RequestBody>,
    stream: Rc<TcpStream>,
    progress: Rc<WriteProgress>,
    idle_state: Rc<IdleState>,
    reaches_known_process: bool,
    _task: Task,
}

/// The parts of an [`EndpointConnection`] before its handshake.
pub struct OpenedConnection {
    /// The connected socket.
    pub stream: TcpStream,
    /// The progress of writes to it.
    pub progress: WriteProgress,
    /// Its share of the descriptor budget.
    pub descriptor: DescriptorPermit,
    /// The guard of the listed process, if the connection is known to reach it.
    pub known_process: Option<KnownProcessGuard>,
}

/// The idle flag of a connection, and the callback for a reset while it is idle.
struct IdleState {
    /// True from the end of a complete exchange to the start of the next one.
    is_idle: Cell<bool>,
    on_idle_reset: Cell<Option<Box<dyn FnOnce()>>>,
}

impl IdleState {
    /// Handles a reset of the connection: calls `on_idle_reset` if it is idle, and only the first time.
    fn on_reset(&self) {
        if self.is_idle.get()
            && let Some(on_idle_reset) = self.on_idle_reset.take()
        {
            on_idle_reset();
        }
    }
}

/// The purpose of an exchange on a connection.
#[derive(Clone, Copy, Debug)]
pub enum ExchangeKind {
    /// An attempt, which is counted.
    Attempt,
    /// A health check, which is not counted.
    HealthCheck,
}

/// The reason why an exchange got no response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection failed, or the endpoint sent invalid HTTP.
    #[error("the connection failed")]
    Http(#[from] hyper::Error),
    /// More than [`MAX_INFORMATIONAL_RESPONSES`] informational responses arrived. hyper itself accepts any number of
    /// them.
    #[error("too many informational responses")]
    TooManyInformationalResponses,
    /// The response's framing is not acceptable.
    #[error(transparent)]
    Framing(#[from] FramingError),
}

impl EndpointConnection {
    /// Starts HTTP/1.1 on a connected socket. `on_idle_reset` is called if the endpoint resets the connection after a
    /// complete exchange and before the next one.
    ///
    /// # Errors
    /// hyper failed to set up the connection.
    pub async fn handshake(
        connection: OpenedConnection,
        on_idle_reset: impl FnOnce() + 'static,
    ) -> io::Result<Self> {
        let OpenedConnection {
            stream,
            progress,
            descriptor,
            known_process,
        } = connection;
        let (stream, progress) = (Rc::new(stream), Rc::new(progress));
        let reaches_known_process = known_process.is_some();
        let socket = ObservedSocket::new(stream.clone(), progress.clone());
        let mut builder = http1::Builder::new();
        let handshake = builder
            .max_buf_size(READ_BUFFER_SIZE)
            .handshake(TokioIo::new(socket));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let idle_state = Rc::new(IdleState {
            is_idle: Cell::new(false),
            on_idle_reset: Cell::new(Some(Box::new(on_idle_reset))),
        });
        let state_for_task = idle_state.clone();
        let task = Task::spawn(async move {
            // An exchange in progress receives the error from its own future.
            if connection.await.is_err_and(|error| is_reset(&error)) {
                state_for_task.on_reset();
            }
            drop((descriptor, known_process));
        });
        Ok(EndpointConnection {
            sender,
            stream,
            progress,
            idle_state,
            reaches_known_process,
            _task: task,
        })
    }

    /// Returns the progress of writes to the connection.
    pub fn progress(&self) -> &Rc<WriteProgress> {
        &self.progress
    }

    /// Sends a request and receives the head of its response. [`Self::receive_body`] receives the body.
    ///
    /// # Errors
    /// No acceptable response head was received.
    pub async fn exchange(
        &mut self,
        mut request: Request<RequestBody>,
        kind: ExchangeKind,
    ) -> Result<Response<Incoming>, ExchangeError> {
        match kind {
            ExchangeKind::Attempt => self.progress.on_attempt_started(),
            ExchangeKind::HealthCheck => self.progress.on_health_check_started(),
        }
        self.idle_state.is_idle.set(false);
        let too_many_informational = limit_informational_responses(&mut request);
        let response = tokio::select! {
            response = self.sender.try_send_request(request) => response.map_err(TrySendError::into_error)?,
            () = too_many_informational.notified() => return Err(ExchangeError::TooManyInformationalResponses),
        };
        check_framing(&response)?;
        Ok(response)
    }

    /// Receives the body of a response, or as much of it as may be buffered.
    pub async fn receive_body(
        &self,
        response: Response<Incoming>,
        buffering: Buffering,
    ) -> EndpointResponse {
        let (head, body) = response.into_parts();
        let body = receive_response(body, buffering).await;
        let is_complete = matches!(body, Ok(ReceivedResponse::Complete(_)));
        self.idle_state.is_idle.set(is_complete);
        EndpointResponse {
            head: Response::from_parts(head, ()),
            body,
        }
    }

    /// Returns whether the connection is known to reach the process that the endpoint list names.
    pub fn reaches_known_process(&self) -> bool {
        self.reaches_known_process
    }

    /// Returns whether the endpoint or hyper has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection can carry a request now, which means that it is open and has no unread bytes.
    /// Unread bytes would be taken for the next request's response.
    pub fn is_ready(&self) -> bool {
        match sockets::state(&self.stream) {
            SocketState::OpenWithoutUnread => self.sender.is_ready(),
            SocketState::Reset => {
                self.idle_state.on_reset();
                false
            }
            SocketState::ClosedOrUnread => false,
        }
    }
}

impl fmt::Debug for EndpointConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("EndpointConnection")
            .field("stream", &self.stream)
            .field("progress", &self.progress)
            .finish_non_exhaustive()
    }
}

/// Returns whether a connection ended because the endpoint reset it.
fn is_reset(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref());
    source.is_some_and(|error: &io::Error| error.kind() == io::ErrorKind::ConnectionReset)
}

/// Returns a [`Notify`] that is notified once the request has received more than [`MAX_INFORMATIONAL_RESPONSES`]
/// informational responses.
fn limit_informational_responses(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (received, notify) = (AtomicUsize::new(0), too_many.clone());
    hyper::ext::on_informational(request, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_RESPONSES {
            notify.notify_one();
        }
    });
    too_many
}
