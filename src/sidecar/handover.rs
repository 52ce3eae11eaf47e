//! The hand-over from a process to the one that replaces it, under load and with nothing lost on the way.
//!
//! The older process listens on a Unix socket in the shared directory. The newer one asks there for the callers' listening
//! socket itself, so that no queue of connections is ever closed; what waits in it is accepted by whichever process accepts.
//! Once the newer one is ready it says so, and the older one stops accepting and asks its callers to come again. Until it
//! ends, both tell each other what they hold of the limits that they share.

use super::endpoint::IdleConnections;
use super::node::{Node, NodeHandle};
use super::server;
use super::upgrade::{Order, ProcessMessage, ProcessNumber, SharedDirectory};
use rustix::io::Errno;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::collections::BTreeSet;
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
pub struct OlderProcess {
    listener: std::net::TcpListener,
    stream: BlockingStream,
}

/// Asks the process that serves already, if one does, for its listening socket.
pub fn ask(directory: &SharedDirectory) -> Option<OlderProcess> {
    // Nobody there is the usual case, at every start but an upgrade.
    let stream = BlockingStream::connect(directory.socket()).ok()?;
    match receive(&stream) {
        Ok(listener) => Some(OlderProcess { listener, stream }),
        Err(failure) => {
            log!("the process before hands nothing over: {failure}");
            None
        }
    }
}

fn receive(stream: &BlockingStream) -> io::Result<std::net::TcpListener> {
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
    older: Option<&OlderProcess>,
) -> io::Result<TcpListener> {
    if let Some(older) = older {
        older.listener.set_nonblocking(true)?;
        return TcpListener::from_std(older.listener.try_clone()?);
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
pub async fn take_over(node: &NodeHandle, older: OlderProcess) -> io::Result<()> {
    older.stream.set_nonblocking(true)?;
    let stream = UnixStream::from_std(older.stream)?;
    let (number, messages) = node.borrow().other_processes.add(Order::Before);
    let talker = node.clone();
    tokio::task::spawn_local(async move {
        talk(&talker, number, stream, messages).await;
        talker.process_ended(number);
        log!("the process before has ended");
    });
    let is_alone = || !node.borrow().other_processes.contains(number);
    while !node.borrow().is_ready() && !is_alone() {
        sleep(READY_CHECK).await;
    }
    node.borrow()
        .other_processes
        .send(&ProcessMessage::Serving, None);
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
        let stream = give_to_next(socket, &listener).await;
        let (number, messages) = node.borrow().other_processes.add(Order::After);
        node.tell_disabled();
        talk(&node, number, stream, messages).await;
        node.process_ended(number);
        let (is_taken_back, is_stopped) = {
            let mut node = node.borrow();
            node.pool.set_idle_connections(IdleConnections::Pooled);
            (
                node.callers.resume_accepting(),
                node.callers.is_shutting_down(),
            )
        };
        if is_stopped {
            // Perhaps the last part of it that is open: what waits there is accepted by nobody else.
            return server::accept_backlog(&node, listener);
        }
        let callers = if is_taken_back {
            "; callers are let in here again"
        } else {
            ""
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
async fn give_to_next(socket: &UnixListener, listener: &std::net::TcpListener) -> UnixStream {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(HEARTBEAT).await;
            continue;
        };
        match give(&stream, listener).await {
            Ok(()) => return stream,
            Err(failure) => log!("the callers' socket could not be handed over: {failure}"),
        }
    }
}

async fn give(stream: &UnixStream, listener: &std::net::TcpListener) -> io::Result<()> {
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
async fn talk(
    node: &NodeHandle,
    number: ProcessNumber,
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
                let held = node.borrow().descriptors.in_use().total();
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

async fn read_messages(node: &NodeHandle, number: ProcessNumber, from: OwnedReadHalf) {
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

impl NodeHandle {
    /// Tells the newest process what is disabled: it has read the file, but perhaps before the last change.
    fn tell_disabled(&self) {
        let node = self.borrow();
        for endpoint in node.disabled_endpoints() {
            let message = ProcessMessage::Disabled {
                endpoint: endpoint.0.to_string(),
                disabled: true,
            };
            node.other_processes.send(&message, None);
        }
    }

    /// Another process has ended, and holds nothing any more. The last change it may have kept, but not passed on: what is
    /// kept is what holds.
    fn process_ended(&self, number: ProcessNumber) {
        let mut node = self.borrow();
        node.other_processes.remove(number);
        node.descriptors
            .set_other_process_connections(node.other_processes.held_connections());
        let Some(directory) = node.directory.clone() else {
            return;
        };
        let Some(kept) = directory.disabled_endpoints() else {
            return;
        };
        let known: BTreeSet<String> = node.disabled_endpoints().map(|e| e.0.to_string()).collect();
        drop(node);
        for endpoint in known.symmetric_difference(&kept) {
            let is_kept = kept.contains(endpoint);
            if is_kept || !directory.is_behind() {
                self.set_disabled(endpoint.as_str().into(), is_kept);
            }
        }
    }

    fn receive(&self, from: ProcessNumber, message: ProcessMessage) {
        let mut guard = self.borrow();
        let Node {
            pool,
            callers,
            descriptors,
            other_processes,
            ..
        } = &mut *guard;
        match message {
            ProcessMessage::Disabled { endpoint, disabled } => {
                drop(guard);
                self.receive_disabled(from, &endpoint, disabled);
            }
            ProcessMessage::Holds(connections) => {
                other_processes.set_held(from, connections);
                descriptors.set_other_process_connections(other_processes.held_connections());
            }
            ProcessMessage::Serving => {
                callers.suspend_accepting();
                pool.set_idle_connections(IdleConnections::Closed);
                log!("callers go over to the process after");
            }
            // Told by the process before, it is no news: callers go over from there.
            ProcessMessage::Stopping => {
                if other_processes.is_after(from) && callers.resume_accepting() {
                    pool.set_idle_connections(IdleConnections::Pooled);
                    log!("the process after stops; callers are let in here again");
                }
            }
        }
    }

    fn receive_disabled(&self, from: ProcessNumber, name: &str, disabled: bool) {
        let endpoint = name.into();
        if self.borrow().is_disabled(&endpoint) != disabled {
            let message = ProcessMessage::Disabled {
                endpoint: name.into(),
                disabled,
            };
            self.borrow().other_processes.send(&message, Some(from));
            self.set_disabled(endpoint, disabled);
        }
    }
}
