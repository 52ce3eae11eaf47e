//! An accepted connection. Its requests are served one after another until one of them opens a watch.

use super::options::ListChangeAction;
use super::protocol::{self, Call, Request};
use super::registry::Change;
use super::service::{CountGuard, QueueOutcome, Service};
use super::zone_state::ZoneState;
use bytes::BytesMut;
use socket2::SockRef;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{Instant, sleep_until, timeout};

/// The size of one read from a client whose further input is ignored.
const DISCARDED_READ_BYTES: usize = 64;
/// The initial capacity of the input buffer, enough for the head of a typical request.
const TYPICAL_REQUEST_BYTES: usize = 512;
/// The longest time for which the rest of a malformed request is read.
const BAD_REQUEST_LINGER: Duration = Duration::from_secs(1);

/// Serves a connection until it ends. [`configure`] must have been called on it. Dropping the future earlier resets the
/// connection.
pub(super) async fn serve(mut stream: TcpStream, zone: Rc<ZoneState>, service: Rc<Service>) {
    let mut partition = zone.is_partitioned.subscribe();
    let session = Session {
        stream: &mut stream,
        zone: &zone,
        service: &service,
    };
    tokio::select! {
        biased;
        // The wait cannot fail, because the sender lives as long as the zone.
        _ = partition.wait_for(|is_partitioned| *is_partitioned) => {}
        result = session.run() => {
            if result.is_ok() {
                disable_reset(&stream);
            }
            return;
        }
    }
    // The zone is partitioned. Its connections stay open without traffic until the partition ends and this task is
    // aborted.
    pending::<()>().await;
}

/// Configures an accepted connection. Small messages are sent at once, and closing the socket resets the connection
/// unless [`disable_reset`] was called.
pub(super) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Makes closing the socket an orderly shutdown instead of a reset.
fn disable_reset(stream: &TcpStream) {
    // If this fails, the client sees a reset, which it must handle in any case.
    let _ = SockRef::from(stream).set_linger(None);
}

/// A connection, and the zone and service that its requests are for.
struct Session<'a> {
    stream: &'a mut TcpStream,
    zone: &'a ZoneState,
    service: &'a Service,
}

impl Session<'_> {
    /// Serves requests until the connection ends or a request asks for its end.
    async fn run(mut self) -> io::Result<()> {
        let mut unread = BytesMut::with_capacity(TYPICAL_REQUEST_BYTES);
        loop {
            let request = match protocol::take_request(&mut unread) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    if self.stream.read_buf(&mut unread).await? == 0 {
                        return Ok(());
                    }
                    continue;
                }
                Err(problem) => {
                    tracing::debug!(%problem, "closing a discovery connection after a malformed request");
                    return self.reject_malformed().await;
                }
            };
            self.handle_request(request, &mut unread).await?;
            if request.closes_connection {
                return Ok(());
            }
        }
    }

    async fn handle_request(&mut self, request: Request, unread: &mut BytesMut) -> io::Result<()> {
        if request.call == Call::NotFound {
            return self.write(protocol::NOT_FOUND).await;
        }
        let entries = self.response_entry_count(request.call);
        let outcome = self.service.wait_in_queue(entries).await;
        if self.client_disconnected(unread) {
            self.service.update_usage(|usage| usage.disconnected += 1);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        match (outcome, request.call) {
            (QueueOutcome::TimedOut, _) => {
                self.service.update_usage(|usage| usage.rejected += 1);
                self.write(protocol::UNAVAILABLE).await
            }
            (QueueOutcome::Handled, Call::Watch { since }) => self.watch(since).await,
            (QueueOutcome::Handled, _) => self.list().await,
        }
    }

    /// Returns true if the client has closed or reset the connection. Adds bytes that it has sent meanwhile to
    /// `unread`.
    fn client_disconnected(&self, unread: &mut BytesMut) -> bool {
        match self.stream.try_read_buf(unread) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns the number of list entries in the response to a call.
    fn response_entry_count(&self, call: Call) -> usize {
        let registry = self.service.registry.borrow();
        match call {
            Call::Watch { since } => registry.entries_since(self.resume_version(since)),
            Call::List => registry.len(),
            Call::NotFound => 0,
        }
    }

    /// Returns the version from which a watch may resume; `None` if it has to start with the full list. With
    /// [`ListChangeAction::EndWatch`], a watch can resume only from the current version.
    fn resume_version(&self, since: Option<u64>) -> Option<u64> {
        let version = self.service.registry.borrow().version();
        let sends_changes = self.service.on_change == ListChangeAction::SendChange;
        since.filter(|since| sends_changes || *since == version)
    }

    async fn list(&mut self) -> io::Result<()> {
        self.service.update_usage(|usage| usage.lists += 1);
        let body = self.service.registry.borrow_mut().full_list();
        self.write(protocol::full_list_head(body.len()).as_bytes())
            .await?;
        self.write(&body).await
    }

    async fn watch(&mut self, since: Option<u64>) -> io::Result<()> {
        self.service.update_usage(|usage| usage.watches_opened += 1);
        let _open = CountGuard::new(&self.zone.open_watches);
        // No change is published between these steps, because they contain no suspension point.
        let mut changes = self.service.subscribe();
        let mut written_version = self.service.registry.borrow().version();
        let since = self.resume_version(since);
        let first_chunk = self.service.registry.borrow_mut().chunk_since(since);
        self.write(protocol::WATCH_HEAD).await?;
        if let Some(chunk) = first_chunk {
            self.write(&chunk).await?;
        }
        let mut last_write = Instant::now();
        loop {
            let (mut reader, _) = self.stream.split();
            let change = tokio::select! {
                biased;
                () = read_until_end(&mut reader) => return Ok(()),
                change = changes.recv() => Some(change),
                () = sleep_until(last_write + self.service.heartbeat) => None,
            };
            match change {
                None => self.write_heartbeat().await?,
                // The change is part of the full list that was written after the watch had lagged.
                Some(Ok(Change { version, .. })) if version <= written_version => continue,
                Some(Ok(_)) if self.service.on_change == ListChangeAction::EndWatch => {
                    // The client sees from the missing last chunk that the response is incomplete.
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                Some(Ok(Change { version, chunk })) => {
                    written_version = version;
                    self.write(&chunk).await?;
                }
                Some(Err(RecvError::Lagged(_))) => {
                    written_version = self.service.registry.borrow().version();
                    let chunk = self.service.registry.borrow_mut().full_list_chunk();
                    self.write(&chunk).await?;
                }
                Some(Err(RecvError::Closed)) => return Ok(()),
            }
            last_write = Instant::now();
        }
    }

    async fn write_heartbeat(&mut self) -> io::Result<()> {
        self.write(protocol::HEARTBEAT).await?;
        self.service
            .update_usage(|usage| usage.heartbeat_bytes += protocol::HEARTBEAT.len() as u64);
        Ok(())
    }

    /// Responds to a malformed request and closes the sending side. Reads the rest of the request, because closing a
    /// socket with unread bytes sends a reset, which can arrive before the response.
    async fn reject_malformed(&mut self) -> io::Result<()> {
        self.write(protocol::BAD_REQUEST).await?;
        self.stream.shutdown().await?;
        let (mut reader, _) = self.stream.split();
        let _ = timeout(BAD_REQUEST_LINGER, read_until_end(&mut reader)).await;
        Ok(())
    }

    /// Writes all bytes. Counts the bytes that were written even if a later write fails.
    async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.stream.write(bytes).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.service
                .update_usage(|usage| usage.bytes_written += written as u64);
            bytes = &bytes[written..];
        }
        Ok(())
    }
}

/// Reads and ignores input until the client disconnects.
async fn read_until_end(reader: &mut ReadHalf<'_>) {
    let mut discarded = [0; DISCARDED_READ_BYTES];
    while let Ok(1..) = reader.read(&mut discarded).await {}
}
