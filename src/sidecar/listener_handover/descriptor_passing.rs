//! Passing a listening socket over a Unix stream, as a control message (`SCM_RIGHTS`) that accompanies one byte of
//! data.

use rustix::io::Errno;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream as BlockingUnixStream;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// The time that either process waits for the other.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The data that accompanies the control message, which cannot be sent without any.
const HANDOVER_BYTE: &[u8] = b"L";

/// The reason why no listening socket was received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveListenerError {
    /// The stream failed, or nothing was received in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer sent data without a descriptor, or closed the stream.
    #[error("no listening socket was sent")]
    NoDescriptor,
}

impl From<Errno> for ReceiveListenerError {
    fn from(error: Errno) -> Self {
        ReceiveListenerError::Io(error.into())
    }
}

/// Receives a listening socket. Blocks the thread for up to [`HANDOVER_TIMEOUT`], because the process does not serve
/// yet.
///
/// # Errors
/// The stream fails, nothing is received in time, or no descriptor is received.
pub fn receive_listener(stream: &BlockingUnixStream) -> Result<TcpListener, ReceiveListenerError> {
    stream.set_read_timeout(Some(HANDOVER_TIMEOUT))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let mut buffers = [IoSliceMut::new(&mut byte)];
    recvmsg(stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let descriptor = descriptors.flatten().next();
    descriptor
        .map(TcpListener::from)
        .ok_or(ReceiveListenerError::NoDescriptor)
}

/// Sends a listening socket, which stays open in this process too.
///
/// # Errors
/// The stream fails or stays blocked for [`HANDOVER_TIMEOUT`].
pub async fn send_listener(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let send = || {
        let descriptors = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let bytes = [IoSlice::new(HANDOVER_BYTE)];
        sendmsg(stream, &bytes, &mut control, SendFlags::NOSIGNAL).map_err(Errno::into)
    };
    let sent = stream.async_io(Interest::WRITABLE, send);
    timeout(HANDOVER_TIMEOUT, sent).await?.map(drop)
}
