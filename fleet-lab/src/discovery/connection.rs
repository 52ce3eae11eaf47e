//! One accepted connection, which serves requests one after another until one of them opens a watch.

use super::options::WatchOnChange;
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

/// Bytes read at once from a client whose further input is discarded.
const DISCARDED_READ_BYTES: usize = 64;
/// Initial buffer capacity: enough for the head of a typical request.
const TYPICAL_REQUEST_BYTES: usize = 512;
/// How long the rest of a malformed request is read.
const BAD_REQUEST_LINGER: Duration = Duration::from_secs(1);

/// Serves a connection until it ends; [`configure`] was called on it. Dropping the future earlier resets the
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
        // The sender lives as long as the zone, so this does not fail.
        _ = partition.wait_for(|is_partitioned| *is_partitioned) => {}
        result = session.run() => {
            if result.is_ok() {
                disable_reset(&stream);
            }
            return;
        }
    }
    // The connection of a partitioned zone stays open without traffic until the zone heals and aborts this task.
    pending::<()>().await;
}

/// Configures an accepted connection: small messages are sent at once, and closing it resets it until
/// [`disable_reset`] is called.
pub(super) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Has the connection close with an orderly shutdown instead of a reset.
fn disable_reset(stream: &TcpStream) {
    // After a failure the client sees a reset, which it has to cope with anyway.
    let _ = SockRef::from(stream).set_linger(None);
}

/// A connection with the state that its requests are served from.
struct Session<'a> {
    stream: &'a mut TcpStream,
    zone: &'a ZoneState,
    service: &'a Service,
}

impl Session<'_> {
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
                    tracing::debug!(%problem, "malformed request");
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

    /// Returns whether the client has closed or reset the connection. Bytes that it has sent meanwhile are added to
    /// `unread`.
    fn client_disconnected(&self, unread: &mut BytesMut) -> bool {
        match self.stream.try_read_buf(unread) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns the number of list entries in the answer to a call.
    fn response_entry_count(&self, call: Call) -> usize {
        let registry = self.service.registry.borrow();
        match call {
            Call::Watch { since } => registry.entries_since(self.resume_version(since)),
            Call::List => registry.len(),
            Call::NotFound => 0,
        }
    }

    /// Returns the version from which a watch resumes. Where watches end instead of sending changes, one that is behind
    /// gets the full list.
    fn resume_version(&self, since: Option<u64>) -> Option<u64> {
        let version = self.service.registry.borrow().version();
        let sends_changes = self.service.on_change == WatchOnChange::Sends;
        since.filter(|since| sends_changes || *since == version)
    }

    async fn list(&mut self) -> io::Result<()> {
        self.service.update_usage(|usage| usage.lists += 1);
        let body = self.service.registry.borrow_mut().full_list();
        self.write(protocol::list_head(body.len()).as_bytes())
            .await?;
        self.write(&body).await
    }

    async fn watch(&mut self, since: Option<u64>) -> io::Result<()> {
        self.service.update_usage(|usage| usage.watches_opened += 1);
        let _open = CountGuard::new(&self.zone.open_watches);
        // These steps run without a suspension point, so no change is published between them.
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
                // The change is part of the full list that was written after a lag.
                Some(Ok(Change { version, .. })) if version <= written_version => continue,
                Some(Ok(_)) if self.service.on_change == WatchOnChange::Ends => {
                    // Without the last chunk, the client sees that the response is incomplete.
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

    /// Answers a malformed request and closes the sending side. The rest of the request is read, because closing a
    /// socket with unread bytes sends a reset that can overtake the answer.
    async fn reject_malformed(&mut self) -> io::Result<()> {
        self.write(protocol::BAD_REQUEST).await?;
        self.stream.shutdown().await?;
        let (mut reader, _) = self.stream.split();
        let _ = timeout(BAD_REQUEST_LINGER, read_until_end(&mut reader)).await;
        Ok(())
    }

    /// Writes all bytes, and counts those that were written also where the write fails.
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

/// Reads and discards input until the client disconnects.
async fn read_until_end(reader: &mut ReadHalf<'_>) {
    let mut discarded = [0; DISCARDED_READ_BYTES];
    while let Ok(1..) = reader.read(&mut discarded).await {}
}
