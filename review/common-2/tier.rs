//! A tier whose endpoints note what they run, and clients that send one `confirm` after another.

use crate::lab::*;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `drainGraceNs` of the settings, and the 50 ms that every limit is longer.
pub const GRACE: f64 = 2.05;
/// A margin of the judge for its own lateness.
pub const MARGIN: f64 = 0.15;
/// The time for which an endpoint works on a `confirm`.
const WORK: Duration = Duration::from_millis(300);

/// A request that an endpoint has begun to run.
#[derive(Clone)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub endpoint: usize,
}

pub struct Tier {
    pub entries: Vec<Entry>,
    processes: Vec<EndpointProcess>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Tier {
    pub fn start(endpoints: usize, record: &Record) -> Tier {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let mut tier = Tier {
            entries: Vec::new(),
            processes: Vec::new(),
            runs: runs.clone(),
        };
        for endpoint in 0..endpoints {
            let (runs, log) = (runs.clone(), record.clone());
            let answer = move |arrived: &Arrived, stream: &mut TcpStream| {
                let (at, id) = (log.now(), arrived.id.clone());
                runs.lock().unwrap().push(Run { at, id, endpoint });
                thread::sleep(WORK);
                answer_at_once(stream, &answer_body(&arrived.id, 300))
            };
            let (name, process) = (format!("s-{endpoint}"), EndpointProcess::default());
            let entry = start_endpoint_process(&name, &Record::quiet(), &process, Arc::new(answer));
            tier.entries.push(entry);
            tier.processes.push(process);
        }
        tier
    }

    /// Returns what an endpoint has run so far.
    pub fn runs_of(&self, endpoint: usize) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        let of_endpoint = runs.iter().filter(|run| run.endpoint == endpoint);
        of_endpoint.cloned().collect()
    }

    /// Ends an endpoint's process.
    pub fn end_process(&self, endpoint: usize) {
        self.processes[endpoint].end();
    }
}

/// Returns the entry with another status.
pub fn with_status(entry: &Entry, status: &'static str) -> Entry {
    Entry {
        status,
        ..entry.clone()
    }
}

/// The statuses that clients got, by request; `None` where there was no answer.
pub type Answers = HashMap<String, Option<u16>>;

#[derive(Default)]
pub struct Clients {
    is_over: Arc<AtomicBool>,
    answers: Arc<Mutex<Answers>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts a client that sends one `confirm` after another, on a connection that it keeps, with a pause in between.
    pub fn start_one(&mut self, name: String, to: SocketAddr, pause: Duration, record: &Record) {
        let (is_over, answers, log) = (self.is_over.clone(), self.answers.clone(), record.clone());
        self.threads.push(thread::spawn(move || {
            let mut connection = KeptConnection::default();
            for count in 1.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{name}-{count}");
                let request = ClientRequest {
                    method: "POST",
                    id: &id,
                    class: "confirm",
                    deadline: 5.0,
                    body: b"slot=7",
                };
                let sent_at = log.now();
                let status = connection.send(to, &request);
                if status != Some(200) {
                    log.line(&format!(
                        "client: {id}, sent at {sent_at:.3}, got {status:?}"
                    ));
                }
                answers.lock().unwrap().insert(id, status);
                thread::sleep(pause);
            }
        }));
    }

    /// Lets each client end its last request, and returns all answers.
    pub fn finish(self) -> Answers {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.threads {
            let _ = client.join();
        }
        self.answers.lock().unwrap().clone()
    }
}

/// Writes what a draining endpoint has run after a bound. Returns how many requests that were, and how many of them were
/// not served.
pub fn judge_late(late: &[Run], since: f64, answers: &Answers, record: &Record) -> (usize, usize) {
    let mut lost = 0;
    for run in late {
        let status = answers.get(&run.id).copied().flatten();
        lost += usize::from(status != Some(200));
        record.line(&format!(
            "s-{} got {} {:.3} s after it began to drain; the client's answer: {status:?}",
            run.endpoint,
            run.id,
            run.at - since
        ));
    }
    (late.len(), lost)
}

pub fn served(answers: &Answers) -> usize {
    answers
        .values()
        .filter(|status| **status == Some(200))
        .count()
}
