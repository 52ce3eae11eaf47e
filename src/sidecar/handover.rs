//! The hand-over from a process to the one that replaces it, under load and with nothing lost on the way.
//!
//! The older process listens on a Unix socket in the shared directory. The newer one asks there for the callers' listening
//! socket itself, so that no queue of connections is ever closed; what waits in it is accepted by whichever process accepts.
//! Once the newer one is ready it says so, and the older one stops accepting and asks its callers to come again. Until it
//! ends, both tell each other what they hold of the limits that they share.

use super::hot_restart::{OtherProcessId, ProcessMessage, ProcessRole, SharedDirectory};
use super::node::{NodeHandle, TakeoverEnd};
use super::server;
use rustix::io::Errno;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream as BlockingStream;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// The older process answers at once, or is not there.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// How often each process tells the other what it holds.
const HEARTBEAT: Duration = Duration::from_millis(50);
/// The longest message between the two: a disabled endpoint's id of 256 bytes, escaped.
const LONGEST_MESSAGE: u64 = 4 << 10;
/// How often the newer process looks whether it is ready.
const READY_CHECK: Duration = Duration::from_millis(5);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Goes along with the socket that is handed over.
const HANDOVER_BYTE: &[u8] = b"L";

/// What the older process has handed over.
pub struct OldProcess {
    listener: std::net::TcpListener,
    stream: BlockingStream,
}

/// Asks the process that serves already, if one does, for its listening socket.
pub fn request_listener(directory: &SharedDirectory) -> Option<OldProcess> {
    // Nobody there is the usual case, at every start but an upgrade.
    let stream = BlockingStream::connect(directory.socket()).ok()?;
    match receive_listener(&stream) {
        Ok(listener) => Some(OldProcess { listener, stream }),
        Err(failure) => {
            log!("the process before hands nothing over: {failure}");
            None
        }
    }
}

fn receive_listener(stream: &BlockingStream) -> io::Result<std::net::TcpListener> {
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(
        stream,
        &mut [IoSliceMut::new(&mut byte)],
        &mut control,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let descriptor = descriptors.flatten().next();
    let descriptor = descriptor.ok_or_else(|| io::Error::other("no socket came along"))?;
    Ok(descriptor.into())
}

/// Listens for callers: on the socket handed over, or on one of its own. That one may be shared, so that a hand-over that
/// fails leaves an upgrade possible all the same.
pub fn listen(
    address: SocketAddr,
    shared: bool,
    old_process: Option<&OldProcess>,
) -> io::Result<TcpListener> {
    if let Some(old_process) = old_process {
        old_process.listener.set_nonblocking(true)?;
        return TcpListener::from_std(old_process.listener.try_clone()?);
    }
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The newer process's part: it waits until it is ready, as long as the older one serves, has callers come to it, and
/// stays in touch until the older one has ended.
pub async fn take_over(node: &NodeHandle, old_process: OldProcess) -> io::Result<()> {
    old_process.stream.set_nonblocking(true)?;
    let stream = UnixStream::from_std(old_process.stream)?;
    let (number, messages) = node.add_process(ProcessRole::Old);
    let message_node = node.clone();
    tokio::task::spawn_local(async move {
        exchange_messages(&message_node, number, stream, messages).await;
        message_node.process_ended(number);
        log!("the process before has ended");
    });
    let is_alone = || !node.has_process(number);
    while !node.borrow().is_ready() && !is_alone() {
        sleep(READY_CHECK).await;
    }
    node.announce_serving();
    Ok(())
}

/// The older process's part: hands the listening socket to whoever asks for it, one after another, and stays in touch
/// until that one has ended.
pub async fn offer(
    node: NodeHandle,
    directory: Rc<SharedDirectory>,
    listener: std::net::TcpListener,
) {
    let mut bound = bind(&directory);
    loop {
        let socket = match &bound {
            Ok(socket) => socket,
            Err(failure) => return log!("no hand-over from this process: {failure}"),
        };
        let stream = hand_over_to_next(socket, &listener).await;
        let (number, messages) = node.add_process(ProcessRole::New);
        node.send_disabled_endpoints();
        exchange_messages(&node, number, stream, messages).await;
        node.process_ended(number);
        let callers = match node.takeover_ended() {
            // Perhaps the last part of it that is open: what waits there is accepted by nobody else.
            TakeoverEnd::ShuttingDown => return server::accept_backlog(&node, listener),
            TakeoverEnd::Resumed => "; callers are let in here again",
            TakeoverEnd::NeverSuspended => "",
        };
        log!("the process after has ended{callers}");
        bound = bind(&directory);
    }
}

/// Bound aside and moved into place: the socket of the process before gives way without a gap.
fn bind(directory: &SharedDirectory) -> io::Result<UnixListener> {
    let aside = directory.own_socket();
    let _ = std::fs::remove_file(&aside);
    let socket = UnixListener::bind(&aside)?;
    std::fs::rename(&aside, directory.socket())?;
    Ok(socket)
}

/// Hands the listener to the next process that asks and gets it.
async fn hand_over_to_next(socket: &UnixListener, listener: &std::net::TcpListener) -> UnixStream {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(HEARTBEAT).await;
            continue;
        };
        match send_listener(&stream, listener).await {
            Ok(()) => return stream,
            Err(failure) => log!("the callers' socket could not be handed over: {failure}"),
        }
    }
}

async fn send_listener(stream: &UnixStream, listener: &std::net::TcpListener) -> io::Result<()> {
    let send = || {
        let descriptors = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let bytes = [IoSlice::new(HANDOVER_BYTE)];
        sendmsg(stream, &bytes, &mut control, SendFlags::NOSIGNAL).map_err(Errno::into)
    };
    let sent = stream.async_io(tokio::io::Interest::WRITABLE, send);
    timeout(ANSWER_WITHIN, sent).await?.map(drop)
}

/// Messages go back and forth until the other process's end.
async fn exchange_messages(
    node: &NodeHandle,
    number: OtherProcessId,
    stream: UnixStream,
    messages: mpsc::Receiver<ProcessMessage>,
) {
    let (from, to) = stream.into_split();
    tokio::select! {
        () = write_messages(node, to, messages) => {}
        () = read_messages(node, number, from) => {}
    }
}

/// Writes messages as they come, and what this process holds where that has changed.
async fn write_messages(
    node: &NodeHandle,
    mut to: OwnedWriteHalf,
    mut messages: mpsc::Receiver<ProcessMessage>,
) {
    let mut last_reported = None;
    loop {
        let message = match timeout(HEARTBEAT, messages.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => {
                let held = node.borrow().open_connections().total();
                if last_reported.replace(held) == Some(held) {
                    continue;
                }
                ProcessMessage::Holds(held)
            }
        };
        let Ok(mut line) = serde_json::to_vec(&message) else {
            continue;
        };
        line.push(b'\n');
        if to.write_all(&line).await.is_err() {
            return;
        }
    }
}

async fn read_messages(node: &NodeHandle, number: OtherProcessId, from: OwnedReadHalf) {
    let mut lines = BufReader::new(from);
    loop {
        let mut line = Vec::new();
        let read = (&mut lines)
            .take(LONGEST_MESSAGE)
            .read_until(b'\n', &mut line)
            .await;
        if !read.is_ok_and(|length| length > 0) {
            return;
        }
        match serde_json::from_slice(&line) {
            Ok(message) => node.receive(number, message),
            // Another version of the program may say more than this one understands.
            Err(failure) => log!("the other process says what is not known: {failure}"),
        }
    }
}
