//! An upgrade while discovery is down, just after an endpoint has begun to drain.

use crate::lab::*;
use crate::tier::*;
use std::thread;
use std::time::Duration;

const ENDPOINTS: usize = 4;
const CLIENTS: usize = 12;
/// The latest time at which any sentence of the pages counts the drain as told: 6 s after discovery had it.
const TOLD_AT_THE_LATEST: f64 = 6.0;
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(8);

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let tier = Tier::start(ENDPOINTS, record);
    let discovery = Discovery::start(tier.entries.clone(), record);
    let options = SidecarOptions::of_seoul_booking(&discovery);
    let mut old = Sidecar::start(record, &options);
    discovery.await_watches(1);
    let mut clients = Clients::default();
    for client in 0..CLIENTS {
        let name = format!("c{client}");
        clients.start_one(name, old.listen, Duration::from_millis(100), record);
    }
    thread::sleep(Duration::from_secs(2));
    discovery.change(with_status(&tier.entries[0], "DRAINING"));
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
    let begun_at = record.now();
    let _new = Sidecar::start_at(record, &options, old.listen);
    if record.now() > begun_at + 6.0 {
        unable("the new process took over 6 s to say yes");
    }
    record.line("platform: the new process says YES; SIGTERM to the old one");
    old.signal(SIGTERM);
    let killed_at = record.now() + 3.7;
    while !old.has_ended() && record.now() < killed_at {
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!(
        "platform: the old process has ended by itself: {}; else SIGKILL",
        old.has_ended()
    ));
    drop(old);
    let bound = drained_at + TOLD_AT_THE_LATEST + GRACE;
    record.wait_until(bound + 1.0);
    tier.end_process(0);
    record.line(&format!(
        "platform: s-0 has drained for {:.1} s, and its process ends",
        record.now() - drained_at
    ));
    thread::sleep(Duration::from_secs(2));
    let answers = clients.finish();
    let mut late = tier.runs_of(0);
    late.retain(|run| run.at > drained_at + GRACE + MARGIN);
    let since_told = late.len();
    late.retain(|run| run.at > bound + MARGIN);
    let (late, lost) = judge_late(&late, drained_at, &answers, record);
    record.line(&format!(
        "{} of {} requests were served; s-0 got {since_told} later than {GRACE} s after the sidecar was told, {late} of \
         them after {:.2} s; {lost} of the latter were lost",
        served(&answers),
        answers.len(),
        TOLD_AT_THE_LATEST + GRACE
    ));
    late > 0
}
