//! The program under test as a process, and its log.

use super::caller::*;
use super::config::*;
use super::discovery::*;
use super::endpoint::*;
use super::message::*;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

/// The state of a listening socket in `/proc/PID/net/tcp`.
const LISTEN_STATE: &str = "0A";

/// A running sidecar. Dropping it kills the process.
pub struct Sidecar {
    pub address: SocketAddr,
    /// The address for operators' calls, if it has one.
    admin_address: Option<SocketAddr>,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

/// The command that runs the sidecar, without settings from this process's environment.
pub fn sidecar_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-sidecar"));
    isolate(&mut command);
    command
}

/// Isolates a sidecar from this process's environment and standard streams. Its log is written to a pipe.
fn isolate(command: &mut Command) {
    for name in ["ROUTER_CONFIG", "ROUTER_ADMIN_ADDR", "TMPDIR"] {
        command.env_remove(name);
    }
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
}

/// Sends a signal such as `TERM` to a process.
pub fn send_signal(child: &Child, name: &str) {
    let status = Command::new("kill")
        .args(["-s", name, &child.id().to_string()])
        .status();
    assert!(status.expect("`kill` runs").success());
}

impl Sidecar {
    /// Starts a sidecar with this configuration, and waits until it listens.
    pub fn start(config: &Value) -> Self {
        let path = temporary_file(&config.to_string());
        let sidecar = Self::start_with_file(&path);
        std::fs::remove_file(path).expect("the file is removed");
        sidecar
    }

    /// Starts a sidecar whose configuration file stays, so that it can be reloaded.
    pub fn start_with_file(path: &Path) -> Self {
        Self::spawn(sidecar_command().env("ROUTER_CONFIG", path))
    }

    /// Starts a sidecar with this shared directory, which the processes of a hot restart have in common.
    pub fn start_in_directory(directory: &Path, config: &Value) -> Self {
        let path = temporary_file(&config.to_string());
        let sidecar = Self::spawn(
            sidecar_command()
                .env("ROUTER_CONFIG", &path)
                .env("TMPDIR", directory),
        );
        std::fs::remove_file(path).expect("the file is removed");
        sidecar
    }

    /// Starts a sidecar whose process may open at most this number of descriptors.
    pub fn start_with_descriptor_limit(path: &Path, descriptors: usize) -> Self {
        let script = format!(
            "ulimit -n {descriptors}; exec {}",
            env!("CARGO_BIN_EXE_balancer-sidecar")
        );
        let mut command = Command::new("sh");
        isolate(&mut command);
        Self::spawn(command.args(["-c", &script]).env("ROUTER_CONFIG", path))
    }

    /// Starts a sidecar by this command, and waits until it listens.
    pub fn spawn(command: &mut Command) -> Self {
        Self::from_child(command.spawn().expect("the program starts"))
    }

    /// Waits until a process that has been started listens.
    pub fn from_child(mut child: Child) -> Self {
        let mut lines = BufReader::new(child.stderr.take().expect("the log is piped"))
            .lines()
            .map_while(Result::ok);
        let address_after = |line: &str, text: &str| {
            line.split_once(text)
                .and_then(|(_, address)| address.parse().ok())
        };
        let mut admin_address = None;
        let address = lines
            .find_map(|line| {
                admin_address = admin_address.or(address_after(&line, "serves operators on "));
                address_after(&line, "listens on ")
            })
            .expect("the log says where it listens");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines_so_far = log.clone();
        thread::spawn(move || {
            lines.for_each(|line| lines_so_far.lock().expect("the log").push(line));
        });
        Sidecar {
            address,
            admin_address,
            child,
            log,
        }
    }

    /// Starts a sidecar with an address for operators' calls and with these endpoints in its cached list, and a stub of
    /// discovery that writes no list by itself.
    pub fn start_with_admin(endpoints: &[&Endpoint]) -> (Self, Discovery) {
        let discovery = Discovery::start();
        (
            Self::start(&with_admin_address(config(
                discovery.address,
                &serving_entries(endpoints),
            ))),
            discovery,
        )
    }

    /// Starts a sidecar with these endpoints in its cached list, and a stub of discovery that writes no list by itself.
    pub fn start_with_endpoints(endpoints: &[&Endpoint]) -> (Self, Discovery) {
        let discovery = Discovery::start();
        (
            Self::start(&config(discovery.address, &serving_entries(endpoints))),
            discovery,
        )
    }

    /// Opens a caller's connection.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Returns the address for operators' calls.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
            .expect("the sidecar has an address for operators' calls")
    }

    /// Writes these bytes on a new connection to the operators' address. Returns the text that is read until the
    /// sidecar closes the connection.
    pub fn exchange_admin_bytes(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.admin_address()).expect("the sidecar accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is set");
        stream.write_all(bytes).expect("the call is written");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer); // fails after a reset, which a close with unread bytes causes
        String::from_utf8(answer).expect("text")
    }

    /// Sends an operators' command with its argument, if it has one. Returns the answer.
    pub fn admin_command(&self, command: &str) -> String {
        self.exchange_admin_bytes(format!("{command}\n").as_bytes())
    }

    /// Sends an operators' command. Returns true if the answer is `YES`, and false if it is `NO`.
    pub fn admin_answers_yes(&self, command: &str) -> bool {
        let answer = self.admin_command(command);
        assert!(
            answer.starts_with("YES") || answer.starts_with("NO"),
            "{command}: {answer:?}"
        );
        answer.starts_with("YES")
    }

    /// Returns the value of a metric in the answer to `STATS`, or `None` if it is missing. The name is given without
    /// the prefix `app_`.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let stats = self.admin_command("STATS");
        assert!(stats.ends_with("\nEND\n"), "{stats}");
        let value = stats.lines().find_map(|line| {
            line.strip_prefix("app_")?
                .strip_prefix(name)?
                .strip_prefix(' ')
        });
        value.map(|value| value.parse().expect("a number"))
    }

    /// Returns how many requests of a class ended with this outcome: `completed`, `rejected` or `failed`.
    pub fn ended_request_count(&self, outcome: &str, class: &str) -> Option<u64> {
        self.metric(&format!("{outcome}{{lane=\"{class}\"}}"))
    }

    /// Sends a signal such as `TERM`.
    pub fn send_signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// Pauses the process by SIGSTOP. After [`Sidecar::resume`] it finds everything that has arrived meanwhile at once.
    pub fn pause(&self) {
        self.send_signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the process is paused", || {
            std::fs::read_to_string(&stat)
                .expect("the process exists")
                .contains(") T ")
        });
    }

    /// Resumes a paused process by SIGCONT.
    pub fn resume(&self) {
        self.send_signal("CONT");
    }

    /// Returns the targets of the process's open descriptors, as `/proc` lists them.
    fn open_files(&self) -> Vec<String> {
        let descriptors =
            std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the process runs");
        let links = descriptors.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        links.map(|link| link.display().to_string()).collect()
    }

    /// Returns the number of the process's open descriptors.
    pub fn descriptor_count(&self) -> usize {
        self.open_files().len()
    }

    /// Returns the number of the process's listening sockets.
    pub fn listener_count(&self) -> usize {
        let sockets = std::fs::read_to_string(format!("/proc/{}/net/tcp", self.child.id()))
            .expect("the process runs");
        let listening = sockets.lines().filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            (fields.get(3) == Some(&LISTEN_STATE)).then(|| format!("socket:[{}]", fields[9]))
        });
        let listening: Vec<String> = listening.collect();
        self.open_files()
            .iter()
            .filter(|file| listening.contains(file))
            .count()
    }

    /// Returns the process's resident memory in kB.
    pub fn memory_kb(&self) -> usize {
        self.status_kb("VmRSS:")
    }

    /// Returns the process's resident memory in kB without mapped files, such as the program itself.
    pub fn own_memory_kb(&self) -> usize {
        self.status_kb("RssAnon:")
    }

    fn status_kb(&self, name: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process runs");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .expect("a line with this name");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process runs");
        let _ = self.child.wait();
    }

    /// Starts a graceful shutdown.
    pub fn terminate(&self) {
        self.send_signal("TERM");
    }

    /// Returns the sum of a counter over all `counts` lines in the log so far.
    pub fn logged_count(&self, name: &str) -> u64 {
        let value = |field: &str| {
            field
                .strip_prefix(name)?
                .strip_prefix('=')?
                .trim_end_matches(';')
                .parse::<u64>()
                .ok()
        };
        let log = self.log();
        log.iter()
            .filter(|line| line.contains("counts "))
            .filter_map(|line| line.split(' ').find_map(value))
            .sum()
    }

    /// Waits for a log line that contains this text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(&format!("a log line with {text:?}"), || {
            self.log().iter().any(|line| line.contains(text))
        });
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    /// Returns the lines that the sidecar has logged since it began to listen.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("the log").clone()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
