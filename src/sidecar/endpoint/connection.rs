//! One connection to an endpoint.

use super::request_body::OutgoingBody;
use super::response::{EndpointResponse, framing_problem};
use super::write_progress::WriteProgress;
use crate::sidecar::body::{BodyTransferError, MAX_BUFFERED_BODY, receive_response};
use crate::sidecar::descriptors::DescriptorPermit;
use crate::sidecar::memory::MemoryBudget;
use crate::sidecar::sockets;
use crate::task::Task;
use hyper::Request;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What of an answer may stand unread in a connection's buffer, and so the longest head.
const READ_BUFFER: usize = 16 << 10;
/// Answers of the kind 1xx that may come ahead of one.
const MAX_INFORMATIONAL: usize = 16;

/// A connection to an endpoint, closed when it is dropped.
pub struct EndpointConnection {
    sender: SendRequest<OutgoingBody>,
    stream: Rc<TcpStream>,
    progress: Rc<WriteProgress>,
    _task: Task,
}

/// Whether a connection carries an attempt or a probe.
pub enum Exchange<'a> {
    /// An attempt counts, and its answer takes memory.
    Attempt(&'a MemoryBudget),
    /// A probe does neither.
    HealthCheck,
}

impl EndpointConnection {
    /// Speaks HTTP on a socket that is up.
    ///
    /// # Errors
    /// hyper cannot begin.
    pub async fn begin(
        stream: TcpStream,
        progress: WriteProgress,
        descriptor: DescriptorPermit,
    ) -> io::Result<Self> {
        let (stream, progress) = (Rc::new(stream), Rc::new(progress));
        let socket = EndpointSocket {
            stream: stream.clone(),
            progress: progress.clone(),
        };
        let mut builder = http1::Builder::new();
        let handshake = builder
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(socket));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = Task::spawn(async move {
            // How it ended shows in the attempt that it carried.
            let _ = connection.await;
            drop(descriptor);
        });
        Ok(EndpointConnection {
            sender,
            stream,
            progress,
            _task: task,
        })
    }

    /// What is known of the writing on it.
    pub fn progress(&self) -> &Rc<WriteProgress> {
        &self.progress
    }

    /// Carries a request and its answer, or the beginning of one.
    pub async fn carry(
        &mut self,
        mut request: Request<OutgoingBody>,
        exchange: Exchange<'_>,
    ) -> Result<EndpointResponse, BodyTransferError> {
        match exchange {
            Exchange::Attempt(_) => self.progress.attempt_begins(),
            Exchange::HealthCheck => self.progress.health_check_begins(),
        }
        let too_many_informational = limit_informational(&mut request);
        let response = tokio::select! {
            response = self.sender.try_send_request(request) => response.map_err(hyper::client::conn::TrySendError::into_error)?,
            () = too_many_informational.notified() => return Err("it says too much ahead of its answer".into()),
        };
        if let Some(problem) = framing_problem(&response) {
            return Err(problem.into());
        }
        let (head, body) = response.into_parts();
        let most = body.size_hint().exact().map_or(MAX_BUFFERED_BODY, |n| {
            n.min(MAX_BUFFERED_BODY as u64) as usize
        });
        let (is_kept, _memory) = match exchange {
            Exchange::Attempt(memory) => {
                let reservation = memory.reserve(most);
                (reservation.is_some(), reservation)
            }
            Exchange::HealthCheck => (true, None),
        };
        let body = receive_response(body, is_kept).await;
        Ok(EndpointResponse {
            head: hyper::Response::from_parts(head, ()),
            body,
        })
    }

    /// Whether its other side, or hyper, has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it can carry a request now: nobody has closed it, and nothing has come that no request asked for, which
    /// would be taken for the next one's answer. The socket is asked, as the runtime hears of it later.
    pub fn is_clean(&self) -> bool {
        let unread = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.sender.is_ready() && unread.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Tells when more informational answers came than may: hyper passes over any number of them.
fn limit_informational(request: &mut Request<OutgoingBody>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (seen, notify) = (AtomicUsize::new(0), too_many.clone());
    hyper::ext::on_informational(request, move |_| {
        if seen.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    too_many
}

/// A connection's socket as hyper has it.
struct EndpointSocket {
    stream: Rc<TcpStream>,
    progress: Rc<WriteProgress>,
}

impl AsyncRead for EndpointSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        sockets::poll_read(&self.stream, context, buffer)
    }
}

impl AsyncWrite for EndpointSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(sockets::poll_write(&self.stream, context, parts));
        self.progress.wrote(*written.as_ref().unwrap_or(&0));
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(sockets::end(&self.stream))
    }
}
