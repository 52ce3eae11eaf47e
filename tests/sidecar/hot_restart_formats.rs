//! The formats that processes of different releases share during a hot restart: messages, file names and the stored
//! file.
//!
//! The golden files were written by an earlier release. A hot restart from that release to this one, and back, must
//! work.

use crate::stubs::*;
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use serde_json::json;
use std::io::{BufRead, BufReader, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The byte that accompanies the listening socket.
const HANDOVER_BYTE: &[u8] = include_bytes!("../golden/hot_restart/handover_byte");
/// One message of each kind, one line each, in the order of [`MessageLines`].
const MESSAGES: &str = include_str!("../golden/hot_restart/messages.jsonl");
/// The names of the files in the shared directory, one per line, sorted.
const FILE_NAMES: &str = include_str!("../golden/hot_restart/file_names");
/// The stored file while endpoints e0 and e1 are disabled.
const DISABLED_FILE: &[u8] = include_bytes!("../golden/hot_restart/disabled_file");

/// The golden messages, each with its line end.
struct MessageLines {
    connection_count: &'static str,
    serving: &'static str,
    stopping: &'static str,
    disabled: &'static str,
    enabled: &'static str,
    /// `DISCOVERY` stands for the address of discovery.
    listed: &'static str,
    /// `ID` stands for the id of a request.
    sent: &'static str,
}

fn golden_messages() -> MessageLines {
    let lines: Vec<&str> = MESSAGES.split_inclusive('\n').collect();
    let [
        connection_count,
        serving,
        stopping,
        disabled,
        enabled,
        listed,
        sent,
    ] = lines[..]
    else {
        panic!("seven messages in {MESSAGES:?}");
    };
    MessageLines {
        connection_count,
        serving,
        stopping,
        disabled,
        enabled,
        listed,
        sent,
    }
}

/// The golden file names: that of the stored file, then that of the socket.
fn golden_file_names() -> (&'static str, &'static str) {
    let names: Vec<&str> = FILE_NAMES.lines().collect();
    let [disabled_file, socket] = names[..] else {
        panic!("two names in {FILE_NAMES:?}");
    };
    (disabled_file, socket)
}

/// A shared directory, removed at the end of the test.
struct SharedDirectory(PathBuf);

impl SharedDirectory {
    fn create() -> Self {
        SharedDirectory(temporary_directory())
    }

    fn socket(&self) -> PathBuf {
        self.0.join(golden_file_names().1)
    }

    fn disabled_file(&self) -> PathBuf {
        self.0.join(golden_file_names().0)
    }

    /// Returns the names of its files, one per line, sorted.
    fn file_names(&self) -> String {
        let entries = std::fs::read_dir(&self.0).expect("a directory");
        let mut names: Vec<String> = entries
            .map(|entry| entry.expect("an entry").file_name())
            .map(|name| format!("{}\n", name.to_string_lossy()))
            .collect();
        names.sort();
        names.concat()
    }
}

impl Drop for SharedDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The test's end of the stream between two processes.
struct OtherProcess(BufReader<UnixStream>);

impl OtherProcess {
    /// Acts as the new process: connects, and receives the byte that comes with the listening socket.
    fn connect_as_new(socket: &Path) -> Self {
        wait_until("the process listens for a new one", || socket.exists());
        let stream = UnixStream::connect(socket).expect("a connection");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        let mut byte = [0];
        (&stream).read_exact(&mut byte).expect("the hand-over byte");
        assert_eq!(byte, HANDOVER_BYTE);
        OtherProcess(BufReader::new(stream))
    }

    /// Acts as the old process: hands its listening socket over to the process that connects.
    fn accept_as_old(socket: &UnixListener, listener: &TcpListener) -> Self {
        let (stream, _) = socket.accept().expect("the new process connects");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        let descriptors = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let bytes = [IoSlice::new(HANDOVER_BYTE)];
        let sent = sendmsg(&stream, &bytes, &mut control, SendFlags::NOSIGNAL);
        assert_eq!(sent, Ok(HANDOVER_BYTE.len()));
        OtherProcess(BufReader::new(stream))
    }

    fn send(&mut self, line: &str) {
        let stream = self.0.get_mut();
        stream.write_all(line.as_bytes()).expect("it is open");
    }

    /// Reads up to a line of exactly these bytes. Only heartbeats with other numbers may precede it.
    fn expect_line(&mut self, expected: &str) {
        loop {
            let mut line = String::new();
            let length = self.0.read_line(&mut line).expect("a line in time");
            assert!(length > 0, "closed before {expected:?}");
            if line == expected {
                return;
            }
            let digits = line
                .strip_prefix("{\"holds\":")
                .and_then(|rest| rest.strip_suffix("}\n"));
            let is_heartbeat =
                digits.is_some_and(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()));
            assert!(is_heartbeat, "{line:?} before {expected:?}");
        }
    }

    /// Makes a sidecar send a message of each kind that both old and new processes send, and expects the golden bytes.
    fn expect_messages_of(&mut self, sidecar: &Sidecar) {
        let golden = golden_messages();
        assert!(sidecar.admin_answers_yes("DISABLE e0"));
        self.expect_line(golden.disabled);
        assert!(sidecar.admin_answers_yes("ENABLE e0"));
        self.expect_line(golden.enabled);
        let mut client = sidecar.client();
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
        self.expect_line(golden.connection_count); // the client's connection and an idle one to an endpoint
        drop(client);
        sidecar.terminate();
        self.expect_line(golden.stopping);
    }
}

/// Guards the messages of an old process. The test acts as the new process.
#[test]
fn old_process_sends_golden_messages() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (directory, discovery) = (SharedDirectory::create(), Discovery::start());
    let config = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    let sidecar = Sidecar::start_in_directory(&directory.0, &config);

    let mut new_process = OtherProcess::connect_as_new(&directory.socket());

    let golden = golden_messages();
    let discovery = discovery.address.to_string();
    new_process.expect_line(&golden.listed.replace("DISCOVERY", &discovery));
    let request = post_request("unsafe", "5", "x");
    let (_, id) = request.split_once("X-Request-Id: ").expect("an id");
    let (id, _) = id.split_once("\r\n").expect("the end of the id");
    assert_eq!(sidecar.client().exchange(&request).status(), 200);
    new_process.expect_line(&golden.sent.replace("ID", id));
    new_process.expect_messages_of(&sidecar);
}

/// Guards the messages of a new process. The test acts as the old process.
#[test]
fn new_process_sends_golden_messages() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (directory, discovery) = (SharedDirectory::create(), Discovery::start());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let socket = UnixListener::bind(directory.socket()).expect("a socket");
    let mut config = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    config["listen"] = json!(listener.local_addr().expect("its address").to_string());
    let (sidecar, mut old_process) = std::thread::scope(|scope| {
        let accepted = scope.spawn(|| OtherProcess::accept_as_old(&socket, &listener));
        let sidecar = Sidecar::start_in_directory(&directory.0, &config);
        (
            sidecar,
            accepted.join().expect("the listener is handed over"),
        )
    });
    let mut watch = discovery.next_call();
    watch.write_line(&endpoint_list(42, true, &serving_entries(&[&endpoint])));

    old_process.expect_line(golden_messages().serving);

    old_process.expect_messages_of(&sidecar);
}

/// Guards the effect of each message on an old process. The test acts as the new process.
/// `golden_connection_count_reduces_the_budget` covers the number of connections.
#[test]
fn golden_messages_are_understood() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (directory, discovery) = (SharedDirectory::create(), Discovery::start());
    let config = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    let sidecar = Sidecar::start_in_directory(&directory.0, &config);
    let golden = golden_messages();
    let mut new_process = OtherProcess::connect_as_new(&directory.socket());

    new_process.send(golden.disabled);
    wait_until("the endpoint is disabled", || {
        sidecar.metric("members_unavailable") == Some(1)
    });
    new_process.send(golden.enabled);
    wait_until("the endpoint is enabled", || {
        sidecar.metric("members_unavailable") == Some(0)
    });
    // The `serving` message says that the new process accepts callers: the old one then closes each connection with its
    // next response.
    let mut caller = sidecar.client();
    assert_eq!(
        caller.exchange(&get_request("5")).header("connection"),
        None
    );
    new_process.send(golden.serving);
    wait_until("connections close with their responses", || {
        let is_closing = caller.exchange(&get_request("5")).header("connection") == Some("close");
        std::thread::sleep(Duration::from_millis(10));
        is_closing
    });
    new_process.send(golden.stopping);
    let mut caller = sidecar.client();
    assert_eq!(
        caller.exchange(&get_request("5")).header("connection"),
        None
    );
}

/// The number of clients with a pending request: more than a sidecar with 128 descriptors serves beside another
/// process.
const CLIENTS: usize = 30;

/// A sidecar with few descriptors that has received messages of a new process, and clients with one request each.
struct LoadedSidecar {
    sidecar: Sidecar,
    _clients: Vec<Client>,
    _new_process: OtherProcess,
    _directory: SharedDirectory,
    _endpoint: Endpoint,
    _discovery: Discovery,
}

impl LoadedSidecar {
    fn start(messages_of_new_process: &[&str]) -> Self {
        let endpoint = Endpoint::start(|_| EndpointAction::Hang);
        let (directory, discovery) = (SharedDirectory::create(), Discovery::start());
        let mut config =
            with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
        config["limits"]["sockets"] = json!(128);
        let sidecar = Sidecar::start_in_directory(&directory.0, &config);
        let mut new_process = OtherProcess::connect_as_new(&directory.socket());
        for message in messages_of_new_process {
            new_process.send(message);
        }
        // Messages are read in order: once this message and the next have taken effect, so have those before them.
        new_process.send(golden_messages().disabled);
        wait_until("the messages are read", || {
            sidecar.metric("members_unavailable") == Some(1)
        });
        new_process.send(golden_messages().enabled);
        wait_until("the endpoint is enabled", || {
            sidecar.metric("members_unavailable") == Some(0)
        });
        let clients = (0..CLIENTS).map(|_| {
            let mut client = sidecar.client();
            client.write(&post_request("unsafe", "15", "x"));
            client
        });
        LoadedSidecar {
            _clients: clients.collect(),
            sidecar,
            _new_process: new_process,
            _directory: directory,
            _endpoint: endpoint,
            _discovery: discovery,
        }
    }

    fn pending(&self) -> Option<u64> {
        self.sidecar.metric("pending")
    }
}

/// Guards the effect of the message with the number of connections: the other process's connections and its reserve are
/// deducted from the limit that both processes share.
#[test]
fn golden_connection_count_reduces_the_budget() {
    let alone = LoadedSidecar::start(&[]);
    wait_until("all requests are pending", || {
        alone.pending() == Some(CLIENTS as u64)
    });
    let beside_another = LoadedSidecar::start(&[golden_messages().connection_count]);
    wait_until("some requests are pending", || {
        beside_another.pending() > Some(0)
    });
    for _ in 0..40 {
        assert!(beside_another.pending() < Some(CLIENTS as u64));
        std::thread::sleep(Duration::from_millis(25));
    }
}

/// Guards the names of the files in the shared directory, and the content of the stored file.
#[test]
fn shared_directory_has_golden_files() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let [e0, e1, e2] = &endpoints;
    let (directory, discovery) = (SharedDirectory::create(), Discovery::start());
    let config = with_admin_address(config(discovery.address, &serving_entries(&[e0, e1, e2])));
    let sidecar = Sidecar::start_in_directory(&directory.0, &config);
    wait_until("the process listens for a new one", || {
        directory.socket().exists()
    });

    assert!(sidecar.admin_answers_yes("DISABLE e1") && sidecar.admin_answers_yes("DISABLE e0"));

    assert_eq!(directory.file_names(), FILE_NAMES);
    let stored = std::fs::read(directory.disabled_file()).expect("the stored file");
    assert_eq!(stored, DISABLED_FILE);
}

/// Guards the effect of the stored file on a process that starts.
#[test]
fn golden_disabled_file_is_understood() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let [e0, e1, e2] = &endpoints;
    let (directory, discovery) = (SharedDirectory::create(), Discovery::start());
    std::fs::write(directory.disabled_file(), DISABLED_FILE).expect("the stored file");
    let config = with_admin_address(config(discovery.address, &serving_entries(&[e0, e1, e2])));

    let sidecar = Sidecar::start_in_directory(&directory.0, &config);

    assert_eq!(sidecar.metric("members_unavailable"), Some(2));
    let mut client = sidecar.client();
    for _ in 0..10 {
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
    }
    assert_eq!([e0, e1, e2].map(Endpoint::take_request_count), [0, 0, 10]);
}
