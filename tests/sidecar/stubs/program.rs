//! The built program, its configuration and its log.

use super::caller::*;
use super::discovery::*;
use super::endpoint::*;
use super::message::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Sidecar {
    pub address: SocketAddr,
    /// Where it is called by the operators, if anywhere.
    admin: Option<SocketAddr>,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str, priority_weight: f64| {
        json!({"name": name, "effect": effect, "keyScope": "all", "memorySpanNs": 5_000_000_000u64, "worth": priority_weight,
               "objectiveNs": 10_000_000_000u64, "hardLimitNs": 10_000_000_000u64, "lateShare": 0.0, "stream": false})
    };
    json!({
        "balancers": 1, "myNumber": 0, "zone": "a", "dcs": ["a"], "tier": 0, "stages": ["one"],
        "granularityNs": 1_000_000, "discovery": "subscribe", "weightSource": "off", "worthBy": "request",
        "overShareWorth": 0.1, "customers": [], "fees": {}, "report": {"fields": ["depth"], "how": "inline"},
        "bounds": {"cancel": true, "connIdleNs": 60_000_000_000u64, "connectTimeoutNs": 10_000_000_000u64,
                   "maxOpen": 1000, "maxRetryAfterNs": 2_000_000_000u64, "maxStreams": 100, "mayTell": false,
                   "parallelTries": true, "probes": false, "retryAfter": true, "sendCap": 3},
        "rules": {"answerSlackNs": 5_000_000, "askWithinNs": 1_000_000_000, "coldFrom": 0.31,
                  "drainGraceNs": 250_000_000, "fallMultiple": 2.5, "fallNs": 2_000_000_000u64,
                  "warmWithinNs": 8_900_000_000u64},
        "categories": [class("safe", "free", 1.0), class("unsafe", "single_shot", 2.0),
                       class("keyed", "guarded", 2.0)],
    })
}

pub fn config(discovery: SocketAddr, endpoints: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings(),
           "known": {"index": 41, "snapshot": true, "endpoints": endpoints}})
}

/// The same with a second address.
pub fn with_admin_address(mut config: Value) -> Value {
    config["admin_addr"] = json!("127.0.0.1:0");
    config
}

/// These endpoints, as a list has them.
pub fn serving_entries(endpoints: &[&Endpoint]) -> Vec<Value> {
    let names = endpoints.iter().enumerate();
    names
        .map(|(n, e)| entry(&format!("e{n}"), e.address, "SERVING"))
        .collect()
}

pub fn sidecar_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-sidecar"));
    isolate(&mut command);
    command
}

/// Keeps what this process has in its environment, and says, from another.
fn isolate(command: &mut Command) {
    for name in ["ROUTER_CONFIG", "ROUTER_ADMIN_ADDR", "TMPDIR"] {
        command.env_remove(name);
    }
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
}

/// An empty folder of this test's own.
pub fn temporary_directory() -> std::path::PathBuf {
    let name = format!("tmp-{}-{}", std::process::id(), unique_id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir(&path).expect("a folder");
    path
}

/// A file of this test's own with the text.
pub fn temporary_file(text: &str) -> std::path::PathBuf {
    let name = format!("config-{}-{}.json", std::process::id(), unique_id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

pub fn send_signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .args(["-s", name, &child.id().to_string()])
        .status();
    assert!(sent.expect("kill runs").success());
}

impl Sidecar {
    pub fn start(config: &Value) -> Self {
        let path = temporary_file(&config.to_string());
        let sidecar = Self::start_with_file(&path);
        std::fs::remove_file(path).expect("the file goes");
        sidecar
    }

    /// One whose configuration stays where it is, to be read again.
    pub fn start_with_file(path: &std::path::Path) -> Self {
        Self::spawn(sidecar_command().env("ROUTER_CONFIG", path))
    }

    /// One that shares a folder with those before and after it.
    pub fn start_in_directory(folder: &std::path::Path, config: &Value) -> Self {
        let path = temporary_file(&config.to_string());
        let sidecar = Self::spawn(
            sidecar_command()
                .env("ROUTER_CONFIG", &path)
                .env("TMPDIR", folder),
        );
        std::fs::remove_file(path).expect("the file goes");
        sidecar
    }

    /// One that may hold so many descriptors.
    pub fn start_with_descriptor_limit(path: &std::path::Path, descriptors: usize) -> Self {
        let script = format!(
            "ulimit -n {descriptors}; exec {}",
            env!("CARGO_BIN_EXE_balancer-sidecar")
        );
        let mut command = Command::new("sh");
        isolate(&mut command);
        Self::spawn(command.args(["-c", &script]).env("ROUTER_CONFIG", path))
    }

    pub fn spawn(command: &mut Command) -> Self {
        Self::from_child(command.spawn().expect("the program starts"))
    }

    /// One that has been started, once it listens.
    pub fn from_child(mut child: Child) -> Self {
        let mut lines = BufReader::new(child.stderr.take().expect("its log"))
            .lines()
            .map_while(Result::ok);
        let told = |line: &str, what: &str| line.split_once(what).and_then(|(_, a)| a.parse().ok());
        let mut admin = None;
        let address = lines
            .find_map(|line| {
                admin = admin.or(told(&line, "is called at "));
                told(&line, "listens on ")
            })
            .expect("it tells where it listens");
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        thread::spawn(move || lines.for_each(|line| kept.lock().expect("the log").push(line)));
        Sidecar {
            address,
            admin,
            child,
            log,
        }
    }

    /// One that the operators can call, with a discovery that says nothing.
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

    /// One that knows these endpoints, all serving, and of a discovery that says nothing.
    pub fn start_with_endpoints(endpoints: &[&Endpoint]) -> (Self, Discovery) {
        let discovery = Discovery::start();
        (
            Self::start(&config(discovery.address, &serving_entries(endpoints))),
            discovery,
        )
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn admin(&self) -> SocketAddr {
        self.admin.expect("it has a second address")
    }

    /// What it answers to these bytes on a connection of their own, up to its end.
    pub fn call_raw(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.admin()).expect("it accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        stream.write_all(bytes).expect("the call is written");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer); // what it closes with bytes unread is reset
        String::from_utf8(answer).expect("text")
    }

    /// Calls with one word, and perhaps an id.
    pub fn call(&self, call: &str) -> String {
        self.call_raw(format!("{call}\n").as_bytes())
    }

    pub fn call_is_yes(&self, call: &str) -> bool {
        let answer = self.call(call);
        assert!(
            answer.starts_with("YES") || answer.starts_with("NO"),
            "{call}: {answer:?}"
        );
        answer.starts_with("YES")
    }

    /// One of its figures; none where it tells of no such.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let stats = self.call("STATS");
        assert!(stats.ends_with("\nEND\n"), "{stats}");
        let line = stats.lines().find_map(|l| {
            l.strip_prefix("app_")?
                .strip_prefix(name)?
                .strip_prefix(' ')
        });
        line.map(|value| value.parse().expect("a number"))
    }

    /// How many requests of a class ended so.
    pub fn requests_ended(&self, how: &str, class: &str) -> Option<u64> {
        self.metric(&format!("{how}{{lane=\"{class}\"}}"))
    }

    pub fn send_signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// Has it do nothing until [`Sidecar::resume`], so that what comes meanwhile has all come at once.
    pub fn suspend(&self) {
        self.send_signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("it stands", || {
            std::fs::read_to_string(&stat)
                .expect("it is there")
                .contains(") T ")
        });
    }

    pub fn resume(&self) {
        self.send_signal("CONT");
    }

    /// What its open descriptors are.
    fn open_files(&self) -> Vec<String> {
        let held = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs");
        let links = held.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        links.map(|link| link.display().to_string()).collect()
    }

    pub fn descriptor_count(&self) -> usize {
        self.open_files().len()
    }

    /// How many of its sockets listen.
    pub fn listener_count(&self) -> usize {
        let sockets =
            std::fs::read_to_string(format!("/proc/{}/net/tcp", self.child.id())).expect("it runs");
        let listening = sockets.lines().filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            (fields.get(3) == Some(&"0A")).then(|| format!("socket:[{}]", fields[9]))
        });
        let listening: Vec<String> = listening.collect();
        self.open_files()
            .iter()
            .filter(|f| listening.contains(f))
            .count()
    }

    /// Its resident memory.
    pub fn memory_kb(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .expect("its memory");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        let _ = self.child.wait();
    }

    pub fn terminate(&self) {
        self.send_signal("TERM");
    }

    /// The sum of a count over all periods that the log has told of.
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
            .filter(|l| l.contains("counts "))
            .filter_map(|l| l.split(' ').find_map(value))
            .sum()
    }

    /// Waits for a line of the log.
    pub fn wait_for_log(&self, part: &str) {
        wait_until(&format!("a line says {part:?}"), || {
            self.log().iter().any(|line| line.contains(part))
        });
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

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
