//! All open watches fall silent at once, and an endpoint begins to drain right after.

use crate::lab::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The sidecars of the deployment, all of which ask one discovery.
const SIDECARS: usize = 18;
const ENDPOINTS: usize = 6;
const CLIENTS_PER_SIDECAR: usize = 3;
/// The capacity of discovery and the time that a call waits in turn, from the site file.
const CALLS_PER_SECOND: f64 = 3.4;
const CALL_PATIENCE: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(300);
/// The bound on sends to a draining endpoint: `drainGraceNs` of the settings, and 50 ms that every limit is longer.
const GRACE: f64 = 2.05;
/// A margin of the judge for its own lateness.
const MARGIN: f64 = 0.15;

struct Run {
    at: f64,
    id: String,
    endpoint: usize,
}

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let processes: Vec<EndpointProcess> =
        (0..ENDPOINTS).map(|_| EndpointProcess::default()).collect();
    let quiet = Record::quiet();
    let start = |number: usize| {
        let (runs, log) = (runs.clone(), record.clone());
        let answer = move |arrived: &Arrived, stream: &mut std::net::TcpStream| {
            let id = arrived.id.clone();
            runs.lock().unwrap().push(Run {
                at: log.now(),
                id,
                endpoint: number,
            });
            thread::sleep(WORK);
            answer_at_once(stream, &answer_body(&arrived.id, 300))
        };
        start_endpoint_process(
            &format!("s-{number}"),
            &quiet,
            &processes[number],
            Arc::new(answer),
        )
    };
    let entries: Vec<Entry> = (0..ENDPOINTS).map(start).collect();
    let discovery = Discovery::start(entries.clone(), record);
    let classes = [
        ClassSettings {
            name: "clinic-list",
            effect: "free",
            aim_s: 1.2,
            deadline_s: 3.0,
            worth: 1.0,
        },
        ClassSettings {
            name: "confirm",
            effect: "single_shot",
            aim_s: 2.5,
            deadline_s: 6.0,
            worth: 10.0,
        },
    ];
    let options = SidecarOptions {
        discovery: &discovery,
        known: discovery.full_list(),
        classes: &classes,
        memory_mb: 48,
        sockets: 384,
    };
    let sidecars: Vec<Sidecar> = (0..SIDECARS)
        .map(|_| Sidecar::start(record, &options))
        .collect();
    for _ in 0..600 {
        if discovery.watches() >= SIDECARS {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    if discovery.watches() < SIDECARS {
        unable("the watches were not open in 30 s");
    }
    record.line("all watches are open");
    discovery.limit_calls(CALLS_PER_SECOND, CALL_PATIENCE);
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, Option<u16>>>> = Arc::default();
    let mut clients = Vec::new();
    for (number, sidecar) in sidecars.iter().enumerate() {
        for client in 0..CLIENTS_PER_SIDECAR {
            let (is_over, answers, quiet, to) = (
                is_over.clone(),
                answers.clone(),
                quiet.clone(),
                sidecar.listen,
            );
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("n{number}-{client}-{count}");
                    let request = ClientRequest {
                        method: "POST",
                        id: &id,
                        class: "confirm",
                        deadline: 6.0,
                        body: b"slot=7",
                    };
                    let got = send(&quiet, to, &request, Duration::from_secs(8));
                    answers.lock().unwrap().insert(id, got.status);
                    thread::sleep(Duration::from_millis(60));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let mut removed = entries[ENDPOINTS - 1].clone();
    removed.status = "DELETED";
    discovery.change(removed);
    record.line("an endpoint is removed from the list; every watch tells it");
    thread::sleep(Duration::from_millis(300));
    let silent_at = record.now();
    if has_trouble {
        discovery.silence_watches();
        record.line("all open watches fall silent and stay open");
    }
    thread::sleep(Duration::from_millis(500));
    let mut counts = [0; ENDPOINTS];
    for run in runs.lock().unwrap().iter() {
        counts[run.endpoint] += 1;
    }
    let draining = (0..ENDPOINTS - 1)
        .max_by_key(|number| counts[*number])
        .unwrap_or(0);
    let mut entry = entries[draining].clone();
    entry.status = "DRAINING";
    discovery.change(entry);
    let told_at = if has_trouble {
        silent_at + 6.0
    } else {
        record.now()
    };
    let bound = told_at + GRACE;
    record.line(&format!(
        "s-{draining} begins to drain ({} requests so far); told at {told_at:.3} at the latest, so nothing new after {bound:.3}",
        counts[draining]
    ));
    while record.now() < silent_at + 6.0 + GRACE + 1.0 {
        thread::sleep(Duration::from_millis(10));
    }
    processes[draining].end();
    record.line(&format!(
        "platform: s-{draining} has drained for {:.1} s, and its process ends",
        record.now() - silent_at - 0.5
    ));
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let (mut late, mut lost) = (0, 0);
    for run in runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.endpoint == draining && run.at > bound + MARGIN)
    {
        let status = answers.get(&run.id).copied().flatten();
        late += 1;
        lost += usize::from(status != Some(200));
        let after = run.at - bound;
        record.line(&format!(
            "s-{draining} got {} {after:.3} s after the bound; the client's answer: {status:?}",
            run.id
        ));
    }
    let served = answers
        .values()
        .filter(|status| **status == Some(200))
        .count();
    record.line(&format!(
        "{served} of {} requests were served; {late} were sent late, {lost} of these were lost",
        answers.len()
    ));
    late > 0
}
