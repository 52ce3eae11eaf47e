//! All open watches fall silent at once, and an endpoint begins to drain right after.

use crate::lab::*;
use crate::tier::*;
use std::thread;
use std::time::Duration;

/// The sidecars of the deployment, all of which ask one discovery.
const SIDECARS: usize = 18;
const ENDPOINTS: usize = 6;
const CLIENTS_PER_SIDECAR: usize = 3;
/// The capacity of discovery and the time that a call waits in turn, from the site file.
const CALLS_PER_SECOND: f64 = 3.4;
const CALL_PATIENCE: Duration = Duration::from_secs(1);
/// What a silent watch misses counts as told so long after it fell silent.
const TOLD_AFTER_SILENCE: f64 = 6.0;

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let tier = Tier::start(ENDPOINTS, record);
    let discovery = Discovery::start(tier.entries.clone(), record);
    let options = SidecarOptions::of_seoul_booking(&discovery);
    let sidecars: Vec<Sidecar> = (0..SIDECARS)
        .map(|_| Sidecar::start(record, &options))
        .collect();
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
    let draining = (0..ENDPOINTS - 1)
        .max_by_key(|endpoint| tier.runs_of(*endpoint).len())
        .unwrap_or(0);
    discovery.change(with_status(&tier.entries[draining], "DRAINING"));
    let drained_at = record.now();
    let told_at = if has_trouble {
        silent_at + TOLD_AFTER_SILENCE
    } else {
        drained_at
    };
    let bound = told_at + GRACE;
    record.line(&format!(
        "s-{draining} begins to drain; told at {told_at:.3} at the latest, so nothing new after {bound:.3}"
    ));
    record.wait_until(silent_at + TOLD_AFTER_SILENCE + GRACE + 1.0);
    tier.end_process(draining);
    record.line(&format!(
        "platform: s-{draining} has drained for {:.1} s, and its process ends",
        record.now() - drained_at
    ));
    thread::sleep(Duration::from_secs(2));
    let answers = clients.finish();
    let mut late = tier.runs_of(draining);
    late.retain(|run| run.at > bound + MARGIN);
    let (late, lost) = judge_late(&late, drained_at, &answers, record);
    record.line(&format!(
        "{} of {} requests were served; {late} were sent late, {lost} of these were lost",
        served(&answers),
        answers.len()
    ));
    late > 0
}
