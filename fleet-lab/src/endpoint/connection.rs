//! HTTP/1.1 on one connection of an endpoint: one request at a time, each answered with one write.

use super::downstream::Downstream;
use super::message::{EndpointResponse, READ_BYTES, Request, RequestError};
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

/// Bytes that are read ahead while a request is queued; further ones stay in the kernel's buffer.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// The byte that bodies of successful answers consist of.
const BODY_BYTE: u8 = b'x';

/// An endpoint between a start and the next stop.
pub(super) struct RunningEndpoint {
    pub state: Arc<EndpointState>,
    pool: CorePool,
    downstream: Option<Downstream>,
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

    /// Returns the load report that answers carry, if they carry one.
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

    /// Returns the answer to a health check; none if the request is not a health check.
    fn health_check_response(&self, request: &Request) -> Option<EndpointResponse> {
        let response = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => EndpointResponse::Healthy,
            ("GET", "/status/load") => EndpointResponse::Load,
            _ => return None,
        };
        self.state.counters.health_checks.increment();
        Some(if self.state.options.load_reports {
            response
        } else {
            EndpointResponse::NotFound
        })
    }

    /// Works on a request that has a core, and calls the next tier if there is one.
    async fn run(
        &self,
        request: &Request,
        core: Core<'_>,
        deadline: Option<Instant>,
    ) -> EndpointResponse {
        core.work().await;
        drop(core);
        if self.pool.draw_error() {
            return EndpointResponse::Failed;
        }
        if let Some(downstream) = &self.downstream
            && let Err(error) = downstream.call(request, deadline).await
        {
            tracing::debug!(endpoint = %self.state.name, %error, "call to the next tier failed");
            self.state.counters.failed.increment();
            return EndpointResponse::Failed;
        }
        EndpointResponse::Served
    }

    fn count_response(&self, response: EndpointResponse) {
        match response {
            EndpointResponse::Served => self.state.counters.served.increment(),
            EndpointResponse::NotRun => self.state.counters.rejected_early.increment(),
            _ => {}
        }
    }
}

/// How a connection ends.
enum Ending {
    /// It is closed.
    Closed,
    /// It is reset, as when a process is killed.
    Reset,
}

/// Serves a connection until it ends. Dropping the future earlier resets the connection.
pub(super) async fn serve(stream: TcpStream, endpoint: Rc<RunningEndpoint>) {
    // A failure only makes the connection slower.
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream, endpoint);
    match connection.run().await {
        Ok(Ending::Closed) => connection.resets_on_drop = false,
        Ok(Ending::Reset) | Err(_) => {}
    }
}

struct Connection {
    stream: TcpStream,
    endpoint: Rc<RunningEndpoint>,
    input: BytesMut,
    output: Vec<u8>,
    /// Whether dropping it resets the connection instead of closing it.
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

    async fn run(&mut self) -> io::Result<Ending> {
        let endpoint = Rc::clone(&self.endpoint);
        loop {
            let request = match self.next_request().await? {
                Some(Ok(request)) => request,
                Some(Err(error)) => {
                    self.write(EndpointResponse::Rejected(error), true).await?;
                    return Ok(Ending::Closed);
                }
                None => return Ok(Ending::Closed),
            };
            let Some(response) = self.handle_request(&endpoint, &request).await else {
                return Ok(Ending::Closed);
            };
            if endpoint.state.is_hanging() {
                return self.hang().await;
            }
            endpoint.count_response(response);
            self.write(response, request.closes_connection).await?;
            if request.closes_connection {
                return Ok(Ending::Closed);
            }
        }
    }

    /// Reads the next request; none at the end of the connection.
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

    /// Serves a request; no answer if the client disconnects while it is queued.
    async fn handle_request(
        &mut self,
        endpoint: &RunningEndpoint,
        request: &Request,
    ) -> Option<EndpointResponse> {
        if let Some(response) = endpoint.health_check_response(request) {
            return Some(response);
        }
        endpoint.state.counters.requests.increment();
        if !request.has_id {
            return Some(EndpointResponse::NotFound);
        }
        let deadline = request
            .time_left
            .and_then(|time_left| Instant::now().checked_add(time_left));
        let core = match endpoint.pool.admit() {
            Admission::Core(core) => core,
            Admission::Queued(slot) => self.wait_for_core(slot).await?,
            Admission::RejectedEarly => return Some(EndpointResponse::NotRun),
        };
        if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return Some(EndpointResponse::NotRun);
        }
        Some(endpoint.run(request, core, deadline).await)
    }

    /// Waits for a core; none if the client disconnects first.
    async fn wait_for_core<'pool>(&mut self, slot: QueueSlot<'pool>) -> Option<Core<'pool>> {
        tokio::select! {
            biased;
            () = self.end_of_input() => None,
            core = slot.core() => Some(core),
        }
    }

    /// Waits until the client closes the connection or its sending side. Input until then is buffered.
    async fn end_of_input(&mut self) {
        while self.input.len() < MAX_READ_AHEAD_BYTES {
            self.input.reserve(READ_BYTES);
            if matches!(self.stream.read_buf(&mut self.input).await, Ok(0) | Err(_)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    async fn write(
        &mut self,
        response: EndpointResponse,
        closes_connection: bool,
    ) -> io::Result<()> {
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

    /// Leaves a request without an answer until the endpoint resumes, which resets the connection. The client may close
    /// it first.
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
            // After a failure the connection is closed instead.
            let _ = self.stream.set_zero_linger();
        }
        self.endpoint.state.counters.connections_open.decrement();
    }
}

/// Reads and discards input until the peer closes the connection.
async fn read_until_closed(stream: &mut TcpStream) -> io::Result<()> {
    let mut scratch = [0; READ_BYTES];
    while stream.read(&mut scratch).await? > 0 {}
    Ok(())
}
