//! One accepted connection: it answers requests one after another until one of them opens a watch.

use super::protocol::{self, Call, Request};
use super::registry::Change;
use super::service::{CountGuard, Service, WaitOutcome};
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

/// Bytes read at once from a caller that has opened a watch and has nothing more to say.
const DISCARDED_READ_BYTES: usize = 64;
/// Room for a usual request's head, in bytes.
const USUAL_REQUEST_BYTES: usize = 512;
/// How long the rest of a bad request is read.
const BAD_REQUEST_LINGER: Duration = Duration::from_secs(1);

/// Serves a connection that [`prepare`] has readied, until it ends. Dropped earlier, it resets the connection.
pub(super) async fn serve(mut stream: TcpStream, zone: Rc<ZoneState>, service: Rc<Service>) {
    let mut silence = zone.silent.subscribe();
    let conversation = Conversation {
        stream: &mut stream,
        zone: &zone,
        service: &service,
    };
    tokio::select! {
        biased;
        // The sender lives as long as the zone, so there is no error.
        _ = silence.wait_for(|silent| *silent) => {}
        ended = conversation.run() => {
            if ended.is_ok() {
                close_in_order(&stream);
            }
            return;
        }
    }
    // Cut off: the connection stays open and quiet until the zone is joined again and this task is ended.
    pending::<()>().await;
}

/// Readies an accepted connection: small messages go out at once, and an end that is not in order is a reset.
pub(super) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

fn close_in_order(stream: &TcpStream) {
    // If it fails, the caller has a reset in place of an end.
    let _ = SockRef::from(stream).set_linger(None);
}

/// A connection while it is served.
struct Conversation<'a> {
    stream: &'a mut TcpStream,
    zone: &'a ZoneState,
    service: &'a Service,
}

impl Conversation<'_> {
    async fn run(mut self) -> io::Result<()> {
        let mut unread = BytesMut::with_capacity(USUAL_REQUEST_BYTES);
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
                    tracing::debug!(%problem, "bad request");
                    return self.turn_down().await;
                }
            };
            self.answer(request, &mut unread).await?;
            if request.closes {
                return Ok(());
            }
        }
    }

    async fn answer(&mut self, request: Request, unread: &mut BytesMut) -> io::Result<()> {
        if request.call == Call::NotFound {
            return self.write(protocol::NOT_FOUND).await;
        }
        let outcome = self.service.wait_for_turn().await;
        if self.caller_has_left(unread) {
            self.service.count(|usage| usage.abandoned += 1);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        match (outcome, request.call) {
            (WaitOutcome::TooLate, _) => {
                self.service.count(|usage| usage.rejected += 1);
                self.write(protocol::UNAVAILABLE).await
            }
            (WaitOutcome::Turn, Call::Watch { since }) => self.watch(since).await,
            (WaitOutcome::Turn, _) => self.list().await,
        }
    }

    /// Whether the caller has closed or reset the connection. What it may have sent meanwhile is kept.
    fn caller_has_left(&self, unread: &mut BytesMut) -> bool {
        match self.stream.try_read_buf(unread) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    async fn list(&mut self) -> io::Result<()> {
        self.service.count(|usage| usage.lists += 1);
        let body = self.service.registry.borrow_mut().whole_list();
        self.write(protocol::list_head(body.len()).as_bytes())
            .await?;
        self.write(&body).await
    }

    async fn watch(&mut self, since: Option<u64>) -> io::Result<()> {
        self.service.count(|usage| usage.watches_opened += 1);
        let _open = CountGuard::new(&self.zone.watches);
        // No change comes between these steps: they wait for nothing.
        let mut changes = self.service.subscribe();
        let mut written_version = self.service.registry.borrow().version();
        let first = self.service.registry.borrow_mut().chunk_since(since);
        self.write(protocol::WATCH_HEAD).await?;
        if let Some(chunk) = first {
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
                // It came before the whole list that was written in place of others.
                Some(Ok(Change { version, .. })) if version <= written_version => continue,
                Some(Ok(Change { version, chunk })) => {
                    written_version = version;
                    self.write(&chunk).await?;
                }
                Some(Err(RecvError::Lagged(_))) => {
                    written_version = self.service.registry.borrow().version();
                    let chunk = self.service.registry.borrow_mut().whole_list_chunk();
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
            .count(|usage| usage.heartbeat_bytes += protocol::HEARTBEAT.len() as u64);
        Ok(())
    }

    /// Answers a bad request and ends sending. The rest of it is read, as a close over unread bytes would be a reset
    /// that can overtake the answer.
    async fn turn_down(&mut self) -> io::Result<()> {
        self.write(protocol::BAD_REQUEST).await?;
        self.stream.shutdown().await?;
        let (mut reader, _) = self.stream.split();
        let _ = timeout(BAD_REQUEST_LINGER, read_until_end(&mut reader)).await;
        Ok(())
    }

    /// Writes all of it, and counts what was written also where it breaks off.
    async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.stream.write(bytes).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.service
                .count(|usage| usage.bytes_written += written as u64);
            bytes = &bytes[written..];
        }
        Ok(())
    }
}

/// Reads and discards until the caller is gone.
async fn read_until_end(reader: &mut ReadHalf<'_>) {
    let mut discarded = [0; DISCARDED_READ_BYTES];
    while let Ok(1..) = reader.read(&mut discarded).await {}
}
