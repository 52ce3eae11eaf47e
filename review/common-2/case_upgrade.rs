//! An upgrade while discovery is down, just after an endpoint has begun to drain.

use crate::lab::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ENDPOINTS: usize = 4;
const CLIENTS: usize = 12;
const WORK: Duration = Duration::from_millis(300);
/// The latest time at which any sentence of the pages counts the drain as told: 6 s after discovery had it.
const TOLD_AT_THE_LATEST: f64 = 6.0;
/// `drainGraceNs` of the settings, and 50 ms that every limit is longer.
const GRACE: f64 = 2.05;
/// A margin of the judge for its own lateness.
const MARGIN: f64 = 0.15;

/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(8);

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
    let mut old = Sidecar::start(record, &options);
    for _ in 0..200 {
        if discovery.watches() > 0 {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, Option<u16>>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (is_over, answers, quiet, to) =
            (is_over.clone(), answers.clone(), quiet.clone(), old.listen);
        let log = record.clone();
        clients.push(thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("c{number}-{count}");
                let request = ClientRequest {
                    method: "POST",
                    id: &id,
                    class: "confirm",
                    deadline: 6.0,
                    body: b"slot=7",
                };
                let got = send(&quiet, to, &request, Duration::from_secs(8));
                if got.status != Some(200) {
                    log.line(&format!(
                        "client: {id}, sent at {:.3}, got {:?} {}",
                        got.sent_at, got.status, got.how_ended
                    ));
                }
                answers.lock().unwrap().insert(id, got.status);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let mut entry = entries[0].clone();
    entry.status = "DRAINING";
    discovery.change(entry);
    let drained_at = record.now();
    record.line("s-0 begins to drain, and discovery tells it on the open watch");
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        discovery.go_down_for(OUTAGE, record);
    }
    thread::sleep(Duration::from_millis(500));
    record.line(
        "platform: an upgrade begins; the configuration has the list of the first start as `known`",
    );
    let new = Sidecar::start_at(record, &options, old.listen);
    record.line("platform: the new process says YES; SIGTERM to the old one");
    old.signal(SIGTERM);
    for _ in 0..370 {
        if old.has_ended() {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!(
        "platform: the old process has ended by itself: {}; else SIGKILL",
        old.has_ended()
    ));
    drop(old);
    let bound = drained_at + TOLD_AT_THE_LATEST + GRACE;
    while record.now() < bound + 1.0 {
        thread::sleep(Duration::from_millis(10));
    }
    processes[0].end();
    record.line(&format!(
        "platform: s-0 has drained for {:.1} s, and its process ends",
        record.now() - drained_at
    ));
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(new);
    let answers = answers.lock().unwrap();
    let (mut early, mut late, mut lost) = (0, 0, 0);
    for run in runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.endpoint == 0 && run.at > drained_at + GRACE + MARGIN)
    {
        if run.at <= bound + MARGIN {
            early += 1;
            continue;
        }
        let status = answers.get(&run.id).copied().flatten();
        late += 1;
        lost += usize::from(status != Some(200));
        record.line(&format!(
            "s-0 got {} {:.3} s after it began to drain; the client's answer: {status:?}",
            run.id,
            run.at - drained_at
        ));
    }
    let served = answers
        .values()
        .filter(|status| **status == Some(200))
        .count();
    record.line(&format!(
        "{served} of {} requests were served; s-0 got {early} from {GRACE} s after the sidecar was told, and {late} after \
         {:.2} s; {lost} of the latter were lost",
        answers.len(),
        TOLD_AT_THE_LATEST + GRACE
    ));
    late > 0
}
