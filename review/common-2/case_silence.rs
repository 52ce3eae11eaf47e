//! All open watches fall silent at once, and an endpoint begins to drain right after.

use crate::lab::*;
use crate::tier::*;
use std::thread;
use std::time::Duration;

/// One sidecar beside each node of the first tier. All ask one discovery.
const SIDECARS: usize = 17;
/// The second tier: 2.8 times as many machines.
const ENDPOINTS: usize = 48;
/// A quarter.
const DRAINING: usize = 12;
const CLIENTS_PER_SIDECAR: usize = 3;
/// The capacity of discovery and the time that a call waits in turn, from the site file.
const CALLS_PER_SECOND: f64 = 3.4;
const CALL_PATIENCE: Duration = Duration::from_secs(1);
/// What a silent watch misses counts as told so long after it fell silent.
const TOLD_AFTER_SILENCE: f64 = 6.0;

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let tier = Tier::start(ENDPOINTS, record);
    let discovery = Discovery::start(tier.entries.clone(), record);
    let start = |number| {
        let options = SidecarOptions {
            tier: 1,
            number,
            balancers: SIDECARS,
            ..SidecarOptions::of_seoul_booking(&discovery)
        };
        Sidecar::start(record, &options)
    };
    let sidecars: Vec<Sidecar> = (0..SIDECARS).map(start).collect();
    discovery.await_watches(SIDECARS);
    discovery.limit_calls(CALLS_PER_SECOND, CALL_PATIENCE);
    let mut clients = Clients::default();
    for (number, sidecar) in sidecars.iter().enumerate() {
        for client in 0..CLIENTS_PER_SIDECAR {
            let name = format!("n{number}-{client}");
            clients.start_one(name, sidecar.listen, Duration::from_millis(60), record);
        }
    }
    thread::sleep(Duration::from_secs(3));
    discovery.change(with_status(&tier.entries[ENDPOINTS - 1], "DELETED"));
    record.line("an endpoint is removed from the list; every watch tells it");
    thread::sleep(Duration::from_millis(300));
    let silent_at = record.now();
    if has_trouble {
        discovery.silence_watches();
        record.line("all open watches fall silent and stay open");
    }
    thread::sleep(Duration::from_millis(500));
    let mut draining: Vec<usize> = (0..ENDPOINTS - 1).collect();
    draining.sort_by_key(|endpoint| std::cmp::Reverse(tier.runs_of(*endpoint).len()));
    draining.truncate(DRAINING);
    for endpoint in &draining {
        discovery.change(with_status(&tier.entries[*endpoint], "DRAINING"));
    }
    let drained_at = record.now();
    let told_at = if has_trouble {
        silent_at + TOLD_AFTER_SILENCE
    } else {
        drained_at
    };
    let bound = told_at + GRACE;
    record.line(&format!(
        "{draining:?} begin to drain; told at {told_at:.3} at the latest, so nothing new after {bound:.3}"
    ));
    record.wait_until(silent_at + TOLD_AFTER_SILENCE + GRACE + 1.0);
    for endpoint in &draining {
        tier.end_process(*endpoint);
    }
    record.line(&format!(
        "platform: they have drained for {:.1} s, and their processes end",
        record.now() - drained_at
    ));
    thread::sleep(Duration::from_secs(2));
    let answers = clients.finish();
    let mut late: Vec<Run> = draining
        .iter()
        .flat_map(|endpoint| tier.runs_of(*endpoint))
        .collect();
    late.retain(|run| run.at > bound + MARGIN);
    let (late, lost) = judge_late(&late, drained_at, &answers, record);
    record.line(&format!(
        "{} of {} requests were served; {late} were sent late, {lost} of these were lost",
        served(&answers),
        answers.len()
    ));
    late > 0
}
