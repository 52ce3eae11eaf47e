//! The hand-over from a process to the one that replaces it, under load and with nothing lost on the way.
//!
//! The older process listens on a Unix socket in `$TMPDIR`, which both have and nobody else does. The newer one asks
//! there for the callers' listening socket itself, so that no queue of connections is ever closed; what waits in it is
//! let in by whichever process accepts. Once the newer one is ready it says so, and the older one stops accepting and
//! asks its callers to come again. Until it ends, both tell each other what they hold of the limits that they share.

use crate::node::{Handle, Node};
use crate::server;
use rustix::io::Errno;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, AsRawFd};
use std::os::unix::net::UnixStream as BlockingStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// The older process answers at once, or is not there.
const ASKED: Duration = Duration::from_secs(1);
/// How often each process tells the other what it holds.
const BEAT: Duration = Duration::from_millis(50);
/// The longest line between the two: a ban of an id of 256 bytes, escaped.
const LONGEST_WORD: u64 = 4 << 10;
/// Words that may wait to be written. The other side reads at once, or is gone.
const MOST_WORDS: usize = 256;
/// The newer process may listen to discovery for so long before it says that it is ready.
pub const NEWS_WITHIN: Duration = Duration::from_secs(3);
/// How often the newer process looks whether it is ready.
const LOOK: Duration = Duration::from_millis(5);
const BACKLOG: u32 = 1024;
/// The longest path that an address of a Unix socket holds.
const LONGEST_PATH: usize = 107;
const SOCKET: &str = "rowanway.sock";
const BANS: &str = "rowanway.bans";
/// The largest file of bans that is read: thousands of them.
const MOST_BANS: u64 = 1 << 20;

/// What the two processes say to each other, a line each.
#[derive(Clone, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Word {
    /// So many connections are held.
    Holds(usize),
    /// The newer process lets callers in from now on.
    Serving,
    /// This one has been told to stop, and lets nobody in before long.
    Stopping,
    /// The operators have taken an endpoint out, or back in.
    Ban { endpoint: String, out: bool },
}

/// The other processes that are one sidecar with this one for a while: the one before, and the one after.
#[derive(Default)]
pub struct Twins {
    next: u64,
    others: BTreeMap<u64, Twin>,
}

struct Twin {
    words: mpsc::Sender<Word>,
    /// It was given the listening socket by this one.
    is_after: bool,
    holds: Option<usize>,
}

impl Twins {
    /// Tells the other processes, those that still listen, but for the one that it comes from.
    pub fn tell(&self, word: &Word, from: Option<u64>) {
        for (_, twin) in self.others.iter().filter(|(number, _)| Some(**number) != from) {
            let _ = twin.words.try_send(word.clone());
        }
    }

    /// Whether another process has the listening socket from this one.
    pub fn has_one_after(&self) -> bool {
        self.others.values().any(|twin| twin.is_after)
    }

    /// What each holds, as far as it has told.
    fn hold(&self) -> impl Iterator<Item = usize> {
        self.others.values().filter_map(|twin| twin.holds)
    }
}

/// The folder that a sidecar's processes share.
pub struct Folder {
    path: PathBuf,
    /// Open, so that a path too long for a socket's address can be named through it.
    opened: File,
    /// What is kept there is short of what this process was told, as the last word could not be written.
    is_behind: Cell<bool>,
}

impl Folder {
    /// `$TMPDIR`, if there is one that can be used.
    pub fn from_environment() -> Option<Self> {
        let path = PathBuf::from(std::env::var_os("TMPDIR").filter(|p| !p.is_empty())?);
        let opened = File::open(&path).ok().filter(|f| f.metadata().is_ok_and(|m| m.is_dir()))?;
        Some(Folder { path, opened, is_behind: Cell::new(false) })
    }

    fn file(&self, name: &str) -> PathBuf {
        let path = self.path.join(name);
        if path.as_os_str().len() <= LONGEST_PATH {
            return path;
        }
        PathBuf::from(format!("/proc/self/fd/{}/{name}", self.opened.as_raw_fd()))
    }
}

impl Folder {
    /// The endpoints that the operators had taken out when the process before ended, or as it goes on; none where nothing
    /// is kept. What cannot be read is one line of the log.
    pub fn bans(&self) -> Option<BTreeSet<String>> {
        let read = || -> Result<BTreeSet<String>, Box<dyn std::error::Error>> {
            let mut text = String::new();
            File::open(self.file(BANS))?.take(MOST_BANS).read_to_string(&mut text)?;
            Ok(serde_json::from_str(&text)?)
        };
        match read() {
            Ok(bans) => Some(bans),
            Err(e) if e.downcast_ref().is_some_and(|e: &io::Error| e.kind() == io::ErrorKind::NotFound) => {
                None
            }
            Err(failure) => {
                log!("the file of endpoints taken out is ignored: {failure}");
                None
            }
        }
    }

    /// Keeps for the other processes that one is taken out, or back in, beside what they have kept; where nothing is, with
    /// all that this one knows. Written aside and moved into place, so that no reader finds half of it.
    pub fn keep_ban<'a>(&self, endpoint: &str, out: bool, known: impl Iterator<Item = &'a str>) {
        let mut bans = self.bans().unwrap_or_else(|| known.map(String::from).collect());
        if out {
            bans.insert(endpoint.into())
        } else {
            bans.remove(endpoint)
        };
        let (aside, place) = (self.file(&format!("{}.bans", std::process::id())), self.file(BANS));
        let keep = |aside: &Path| -> io::Result<()> {
            std::fs::write(aside, serde_json::to_vec(&bans)?)?;
            std::fs::rename(aside, place)
        };
        let kept = keep(&aside);
        self.is_behind.set(kept.is_err());
        if let Err(failure) = kept {
            log!("an upgrade will not know what is taken out: {failure}");
        }
    }
}

/// What the older process has handed over.
pub struct Before {
    listener: std::net::TcpListener,
    stream: BlockingStream,
}

/// Asks the process that serves already, if one does, for its listening socket.
pub fn ask(folder: &Folder) -> Option<Before> {
    // Nobody there is the usual case, at every start but an upgrade.
    let stream = BlockingStream::connect(folder.file(SOCKET)).ok()?;
    match receive(&stream) {
        Ok(listener) => Some(Before { listener, stream }),
        Err(failure) => {
            log!("the process before hands nothing over: {failure}");
            None
        }
    }
}

fn receive(stream: &BlockingStream) -> io::Result<std::net::TcpListener> {
    stream.set_read_timeout(Some(ASKED))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let descriptor = descriptors.flatten().next();
    let descriptor = descriptor.ok_or_else(|| io::Error::other("no socket came along"))?;
    Ok(descriptor.into())
}

/// Listens for callers: on the socket handed over, or on one of its own. That one may be shared, so that a
/// hand-over that fails leaves an upgrade possible all the same.
pub fn listen(address: SocketAddr, shared: bool, before: Option<&Before>) -> io::Result<TcpListener> {
    if let Some(before) = before {
        before.listener.set_nonblocking(true)?;
        return TcpListener::from_std(before.listener.try_clone()?);
    }
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The newer process's part: it waits until it is ready, as long as the older one serves, has callers come to it, and
/// stays in touch until the older one has ended.
pub async fn take_over(node: &Handle, before: Before) -> io::Result<()> {
    before.stream.set_nonblocking(true)?;
    let stream = UnixStream::from_std(before.stream)?;
    let (twin, (number, words)) = (node.clone(), node.meet(false));
    tokio::task::spawn_local(async move {
        talk(&twin, number, stream, words).await;
        twin.part(number);
        log!("the process before has ended");
    });
    let is_alone = || !node.borrow().twins.others.contains_key(&number);
    while !node.borrow().takes_callers() && !is_alone() {
        sleep(LOOK).await;
    }
    node.borrow().twins.tell(&Word::Serving, None);
    Ok(())
}

/// The older process's part: hands the listening socket to whoever asks for it, one after another, and stays in touch
/// until that one has ended.
pub async fn offer(node: Handle, folder: Rc<Folder>, listener: std::net::TcpListener) {
    let bind = || {
        // Bound aside and moved into place: the socket of the process before gives way without a gap.
        let (aside, place) = (folder.file(&format!("{}.sock", std::process::id())), folder.file(SOCKET));
        let _ = std::fs::remove_file(&aside);
        UnixListener::bind(&aside).and_then(|l| std::fs::rename(&aside, place).map(|()| l))
    };
    let mut asked = match bind() {
        Ok(asked) => asked,
        Err(failure) => return log!("no hand-over from this process: {failure}"),
    };
    loop {
        let Ok((stream, _)) = asked.accept().await else {
            sleep(BEAT).await;
            continue;
        };
        if let Err(failure) = give(&stream, &listener).await {
            log!("the callers' socket could not be handed over: {failure}");
            continue;
        }
        let (number, words) = node.meet(true);
        // It has read the file, but perhaps before the last word.
        let bans: Vec<String> = node.borrow().bans().map(|e| e.0.to_string()).collect();
        for endpoint in bans {
            node.borrow().twins.tell(&Word::Ban { endpoint, out: true }, None);
        }
        talk(&node, number, stream, words).await;
        node.part(number);
        let (back, stopped) = {
            let mut node = node.borrow();
            node.pool.keep_idle(true);
            (node.callers.come_back(), node.callers.are_stopped())
        };
        if stopped {
            // Perhaps the last part of it that is open: what waits there is let in by nobody else.
            return server::accept_last(&node, listener);
        }
        log!("the process after has ended{}", if back { "; callers are let in here again" } else { "" });
        asked = match bind() {
            Ok(again) => again,
            Err(failure) => return log!("no hand-over from this process: {failure}"),
        };
    }
}

async fn give(stream: &UnixStream, listener: &std::net::TcpListener) -> io::Result<()> {
    let give = || {
        let descriptors = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        sendmsg(stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL).map_err(Errno::into)
    };
    let given = stream.async_io(tokio::io::Interest::WRITABLE, give);
    timeout(ASKED, given).await?.map(drop)
}

/// Words go back and forth until the other process's end.
async fn talk(node: &Handle, number: u64, stream: UnixStream, mut words: mpsc::Receiver<Word>) {
    let (from, mut to) = stream.into_split();
    let write = async {
        let mut told = None;
        loop {
            let word = match timeout(BEAT, words.recv()).await {
                Ok(Some(word)) => word,
                Ok(None) => return,
                Err(_) => {
                    let held = node.borrow().pool.descriptors.held();
                    let held = held.0 + held.1;
                    if told.replace(held) == Some(held) {
                        continue;
                    }
                    Word::Holds(held)
                }
            };
            let Ok(mut line) = serde_json::to_vec(&word) else { continue };
            line.push(b'\n');
            if to.write_all(&line).await.is_err() {
                return;
            }
        }
    };
    let read = async {
        let mut lines = BufReader::new(from);
        loop {
            let mut line = Vec::new();
            let read = (&mut lines).take(LONGEST_WORD).read_until(b'\n', &mut line).await;
            if !read.is_ok_and(|n| n > 0) {
                return;
            }
            match serde_json::from_slice(&line) {
                Ok(word) => node.hear(number, word),
                // Another version of the program may say more than this one understands.
                Err(failure) => log!("the other process says what is not known: {failure}"),
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}

impl Handle {
    /// Another process has come beside this one.
    fn meet(&self, is_after: bool) -> (u64, mpsc::Receiver<Word>) {
        let (sender, words) = mpsc::channel(MOST_WORDS);
        let twins = &mut self.borrow().twins;
        let number = twins.next;
        twins.next += 1;
        twins.others.insert(number, Twin { words: sender, is_after, holds: None });
        (number, words)
    }

    /// Another process is gone, and all that it held. What it was told last it may have kept, but not passed on: what is
    /// kept is what holds.
    fn part(&self, number: u64) {
        let mut node = self.borrow();
        node.twins.others.remove(&number);
        node.pool.descriptors.others_hold(node.twins.hold());
        let Some(kept) = node.folder.as_ref().and_then(|folder| folder.bans()) else { return };
        let known: BTreeSet<String> = node.bans().map(|e| e.0.to_string()).collect();
        let is_behind = node.folder.as_ref().is_some_and(|folder| folder.is_behind.get());
        drop(node);
        for endpoint in known.symmetric_difference(&kept).filter(|e| kept.contains(*e) || !is_behind) {
            self.banned(endpoint.as_str().into(), kept.contains(endpoint));
        }
    }

    fn hear(&self, from: u64, word: Word) {
        if let Word::Ban { endpoint: name, out } = &word {
            let endpoint = name.as_str().into();
            if self.borrow().is_banned(&endpoint) != *out {
                self.borrow().twins.tell(&word, Some(from));
                self.banned(endpoint, *out);
            }
            return;
        }
        let mut guard = self.borrow();
        let Node { pool, callers, twins, .. } = &mut *guard;
        match word {
            Word::Ban { .. } => {}
            Word::Holds(connections) => {
                twins.others.get_mut(&from).into_iter().for_each(|twin| twin.holds = Some(connections));
                pool.descriptors.others_hold(twins.hold());
            }
            Word::Serving => {
                callers.go_over();
                pool.keep_idle(false);
                log!("callers go over to the process after");
            }
            // Told by the process before, it is no news: callers go over from there.
            Word::Stopping => {
                let is_after = twins.others.get(&from).is_some_and(|twin| twin.is_after);
                if is_after && callers.come_back() {
                    pool.keep_idle(true);
                    log!("the process after stops; callers are let in here again");
                }
            }
        }
    }
}
