//! An accepted HTTP/1.1 connection of an endpoint. It serves one request at a time; each response is one write.

use super::downstream::Downstream;
use super::message::{READ_BYTES, Request, RequestError, ServerResponse};
use super::state::EndpointState;
use super::work::{Admission, Core, CorePool, LoadReport, QueueSlot};
use bytes::BytesMut;
use rand::RngExt;
use rand_pcg::Pcg64;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The number of bytes that are read ahead while a request is queued. Further ones stay in the kernel's buffer.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// The byte that fills the body of a successful response.
const BODY_BYTE: u8 = b'x';

/// An endpoint from a start to the next stop.
pub(super) struct RunningEndpoint {
    pub state: Arc<EndpointState>,
    pool: CorePool,
    /// The client for calls to the next tier; `None` in the last tier.
    downstream: Option<Downstream>,
    /// The body of successful responses.
    body: Vec<u8>,
}

impl RunningEndpoint {
    pub fn new(state: Arc<EndpointState>, host_seed: u64) -> Self {
        let mut random = state.random_generator(host_seed);
        let call_ids = Pcg64::new(random.random(), random.random());
        Self {
            pool: CorePool::new(&state.options, random),
            downstream: state
                .next_sidecar
                .map(|sidecar| Downstream::new(sidecar, call_ids)),
            body: vec![BODY_BYTE; state.options.answer_bytes],
            state,
        }
    }

    /// Returns the current load report; `None` if the endpoint sends no load reports.
    fn load_report(&self) -> Option<LoadReport> {
        let calls = self
            .downstream
            .as_ref()
            .map_or(0, Downstream::calls_in_flight);
        self.state
            .options
            .load_reports
            .then(|| self.pool.load_report(calls))
    }

    /// Returns the response to a health check; `None` if the request is not one.
    fn health_check_response(&self, request: &Request) -> Option<ServerResponse> {
        let response = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => ServerResponse::Healthy,
            ("GET", "/status/load") => ServerResponse::Load,
            _ => return None,
        };
        self.state.counters.health_checks.increment();
        Some(if self.state.options.load_reports {
            response
        } else {
            ServerResponse::NotFound
        })
    }

    /// Works on a request with its core, frees the core, and then calls the next tier if there is one.
    async fn run(
        &self,
        request: &Request,
        core: Core<'_>,
        deadline: Option<Instant>,
    ) -> ServerResponse {
        core.work().await;
        drop(core);
        if self.pool.draw_error() {
            return ServerResponse::Failed;
        }
        if let Some(downstream) = &self.downstream
            && let Err(error) = downstream.call(request, deadline).await
        {
            tracing::debug!(endpoint = %self.state.name, %error, "call to the next tier failed");
            self.state.counters.failed.increment();
            return ServerResponse::Failed;
        }
        ServerResponse::Served
    }

    fn count_response(&self, response: ServerResponse) {
        match response {
            ServerResponse::Served => self.state.counters.served.increment(),
            ServerResponse::NotRun => self.state.counters.rejected_early.increment(),
            _ => {}
        }
    }
}

/// The way in which a connection ends.
enum Ending {
    /// It is closed.
    Closed,
    /// It is reset, as if the endpoint's process were killed.
    Reset,
}

/// Serves a connection until it ends. Dropping the future earlier resets the connection.
pub(super) async fn serve(stream: TcpStream, endpoint: Rc<RunningEndpoint>) {
    // If this fails, the connection is only slower.
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream, endpoint);
    match connection.run().await {
        Ok(Ending::Closed) => connection.resets_on_drop = false,
        Ok(Ending::Reset) | Err(_) => {}
    }
}

/// An accepted connection and the endpoint that serves it.
struct Connection {
    stream: TcpStream,
    endpoint: Rc<RunningEndpoint>,
    input: BytesMut,
    output: Vec<u8>,
    /// True if dropping it resets the connection instead of closing it.
    resets_on_drop: bool,
}

impl Connection {
    fn new(stream: TcpStream, endpoint: Rc<RunningEndpoint>) -> Self {
        endpoint.state.counters.connections.increment();
        endpoint.state.counters.connections_open.increment();
        Self {
            stream,
            endpoint,
            input: BytesMut::new(),
            output: Vec::new(),
            resets_on_drop: true,
        }
    }

    /// Serves requests until the connection ends.
    async fn run(&mut self) -> io::Result<Ending> {
        let endpoint = Rc::clone(&self.endpoint);
        loop {
            let request = match self.next_request().await? {
                Some(Ok(request)) => request,
                Some(Err(error)) => {
                    self.write(ServerResponse::Rejected(error), true).await?;
                    return Ok(Ending::Closed);
                }
                None => return Ok(Ending::Closed),
            };
            // A request that arrives while the endpoint hangs is not answered, also if the endpoint has resumed since.
            let is_hanging_at_arrival = endpoint.state.is_hanging();
            let Some(response) = self.handle_request(&endpoint, &request).await else {
                return Ok(Ending::Closed);
            };
            if is_hanging_at_arrival || endpoint.state.is_hanging() {
                return self.hang().await;
            }
            endpoint.count_response(response);
            self.write(response, request.closes_connection).await?;
            if request.closes_connection {
                return Ok(Ending::Closed);
            }
        }
    }

    /// Reads the next request; `None` at the end of the connection.
    async fn next_request(&mut self) -> io::Result<Option<Result<Request, RequestError>>> {
        loop {
            if !self.input.is_empty()
                && let Some(request) = Request::take(&mut self.input).transpose()
            {
                return Ok(Some(request));
            }
            self.input.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Serves a request and returns its response; `None` if the client disconnects while the request is queued.
    async fn handle_request(
        &mut self,
        endpoint: &RunningEndpoint,
        request: &Request,
    ) -> Option<ServerResponse> {
        if let Some(response) = endpoint.health_check_response(request) {
            return Some(response);
        }
        endpoint.state.counters.requests.increment();
        if !request.has_id {
            return Some(ServerResponse::NotFound);
        }
        let deadline = request
            .time_left
            .and_then(|time_left| Instant::now().checked_add(time_left));
        let core = match endpoint.pool.admit() {
            Admission::Core(core) => core,
            Admission::Queued(slot) => self.wait_for_core(slot).await?,
            Admission::RejectedEarly => return Some(ServerResponse::NotRun),
        };
        if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return Some(ServerResponse::NotRun);
        }
        Some(endpoint.run(request, core, deadline).await)
    }

    /// Waits for a core; `None` if the client disconnects first.
    async fn wait_for_core<'pool>(&mut self, slot: QueueSlot<'pool>) -> Option<Core<'pool>> {
        tokio::select! {
            biased;
            () = self.end_of_input() => None,
            core = slot.core() => Some(core),
        }
    }

    /// Waits until the client closes the connection or its sending side. Buffers the input until then, up to
    /// [`MAX_READ_AHEAD_BYTES`]; with a full buffer it waits forever.
    async fn end_of_input(&mut self) {
        while self.input.len() < MAX_READ_AHEAD_BYTES {
            self.input.reserve(READ_BYTES);
            if matches!(self.stream.read_buf(&mut self.input).await, Ok(0) | Err(_)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    async fn write(&mut self, response: ServerResponse, closes_connection: bool) -> io::Result<()> {
        self.output.clear();
        let report = self.endpoint.load_report();
        response.write(
            &mut self.output,
            &self.endpoint.body,
            report,
            closes_connection,
        );
        self.stream.write_all(&self.output).await
    }

    /// Leaves the request without a response until the endpoint resumes, then resets the connection. The connection
    /// ends earlier if the client closes it.
    async fn hang(&mut self) -> io::Result<Ending> {
        let endpoint = Rc::clone(&self.endpoint);
        tokio::select! {
            biased;
            () = endpoint.state.resumed() => Ok(Ending::Reset),
            ended = read_until_closed(&mut self.stream) => ended.map(|()| Ending::Closed),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.resets_on_drop {
            // If this fails, the connection is closed instead.
            let _ = self.stream.set_zero_linger();
        }
        self.endpoint.state.counters.connections_open.decrement();
    }
}

/// Reads and ignores input until the peer closes the connection.
async fn read_until_closed(stream: &mut TcpStream) -> io::Result<()> {
    let mut scratch = [0; READ_BYTES];
    while stream.read(&mut scratch).await? > 0 {}
    Ok(())
}
