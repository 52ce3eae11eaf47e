//! Calls from an endpoint to the next tier through a sidecar. Connections are reused; each carries one call at a time.

use super::message::Request;
use super::response::{Response, ResponseError, is_closed, read_response};
use bytes::BytesMut;
use rand::RngExt;
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The largest number of idle connections. Further ones are closed after their call.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The time that the endpoint waits for the sidecar's response beyond the deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// The timeout of a call if the request has no deadline.
const MAX_CALL_TIME: Duration = Duration::from_secs(30);

const STATUS_OK: u16 = 200;

/// A client of the sidecar through which an endpoint calls the next tier.
pub(super) struct Downstream {
    sidecar: SocketAddr,
    idle: RefCell<Vec<CallConnection>>,
    in_flight: Cell<u32>,
    /// The random numbers that are the ids of calls.
    ids: RefCell<Pcg64>,
}

/// A failed call to the next tier.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The deadline had passed before the call.
    #[error("the deadline had passed before the call")]
    NoTimeLeft,
    /// No complete response was received in time.
    #[error("no complete response in time")]
    TimedOut,
    /// The connection could not be opened, or the request could not be written.
    #[error("cannot send the request: {0}")]
    Send(#[from] io::Error),
    /// No complete response was received.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// The status of the response was not 200.
    #[error("the response status is {0}, not 200")]
    Status(u16),
}

impl CallError {
    /// Returns true if the connection failed before the first byte of a response.
    fn is_unanswered(&self) -> bool {
        matches!(
            self,
            CallError::Send(_) | CallError::Response(ResponseError::NoResponse)
        )
    }
}

impl Downstream {
    /// Creates a client. The ids of its calls are drawn from `ids`.
    pub fn new(sidecar: SocketAddr, ids: Pcg64) -> Self {
        Self {
            sidecar,
            idle: RefCell::default(),
            in_flight: Cell::new(0),
            ids: RefCell::new(ids),
        }
    }

    /// Returns the number of calls in flight.
    pub fn calls_in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Forwards a request with a new id and the time left until the deadline. Returns an error unless the response
    /// status is 200.
    pub async fn call(
        &self,
        request: &Request,
        deadline: Option<Instant>,
    ) -> Result<(), CallError> {
        let time_left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        if time_left.is_some_and(|time_left| time_left.is_zero()) {
            return Err(CallError::NoTimeLeft);
        }
        let timeout = time_left.map_or(MAX_CALL_TIME, |time_left| {
            time_left.saturating_add(DEADLINE_GRACE)
        });
        let call = Call {
            id: self.ids.borrow_mut().random(),
            request,
            deadline,
        };
        self.in_flight.set(self.in_flight.get() + 1);
        let response = tokio::time::timeout(timeout, self.send(&call)).await;
        self.in_flight.set(self.in_flight.get() - 1);
        match response.map_err(|_| CallError::TimedOut)?? {
            Response {
                status: STATUS_OK, ..
            } => Ok(()),
            Response { status, .. } => Err(CallError::Status(status)),
        }
    }

    /// Sends a call on an idle connection if there is one. If that connection ends before the first byte of the
    /// response, sends the call again on a new one.
    async fn send(&self, call: &Call<'_>) -> Result<Response, CallError> {
        if let Some(connection) = self.take_idle_connection() {
            match self.send_on(connection, call).await {
                Err(error) if error.is_unanswered() => {}
                outcome => return outcome,
            }
        }
        let connection = CallConnection::open(self.sidecar).await?;
        self.send_on(connection, call).await
    }

    async fn send_on(
        &self,
        mut connection: CallConnection,
        call: &Call<'_>,
    ) -> Result<Response, CallError> {
        let response = connection.exchange(call).await?;
        if response.keep_alive {
            self.store_idle(connection);
        }
        Ok(response)
    }

    /// Takes the idle connection that was used last and is still open.
    fn take_idle_connection(&self) -> Option<CallConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if !is_closed(&connection.stream) {
                return Some(connection);
            }
        }
        None
    }

    fn store_idle(&self, connection: CallConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.input.is_empty() {
            idle.push(connection);
        }
    }
}

/// A call to the next tier.
struct Call<'request> {
    id: u64,
    request: &'request Request,
    deadline: Option<Instant>,
}

impl Call<'_> {
    /// Appends the serialized request to the output.
    fn write(&self, output: &mut Vec<u8>) -> io::Result<()> {
        let Request {
            method,
            path,
            class,
            body,
            ..
        } = self.request;
        write!(
            output,
            "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {:016x}\r\n",
            self.id
        )?;
        if let Some(class) = class {
            write!(output, "X-Class: {class}\r\n")?;
        }
        if let Some(deadline) = self.deadline {
            let time_left = deadline.saturating_duration_since(Instant::now());
            write!(output, "X-Deadline: {:.6}\r\n", time_left.as_secs_f64())?;
        }
        if method != "GET" || !body.is_empty() {
            write!(output, "Content-Length: {}\r\n", body.len())?;
        }
        output.extend_from_slice(b"\r\n");
        output.extend_from_slice(body);
        Ok(())
    }
}

/// A connection to the sidecar, with its buffers.
struct CallConnection {
    stream: TcpStream,
    input: BytesMut,
    output: Vec<u8>,
}

impl CallConnection {
    async fn open(sidecar: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(sidecar).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            output: Vec::new(),
        })
    }

    /// Sends a call and reads its response.
    async fn exchange(&mut self, call: &Call<'_>) -> Result<Response, CallError> {
        self.output.clear();
        call.write(&mut self.output)?;
        self.stream.write_all(&self.output).await?;
        Ok(read_response(&mut self.stream, &mut self.input).await?)
    }
}
