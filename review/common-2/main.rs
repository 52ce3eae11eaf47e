//! Runs one case of the second review: `lab CASE RECORD`. TROUBLE=0 leaves the disruption out.
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case_memory;
mod case_shutdown;
mod case_silence;
mod case_slow_answer;
mod case_upgrade;
mod lab;
mod tier;

use std::path::Path;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        lab::unable("usage: lab CASE RECORD")
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = lab::Record::new(Path::new(record));
    lab::limit_time(Duration::from_secs(110));
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let is_broken = match case.as_str() {
        "upgrade" => case_upgrade::run(&record, has_trouble),
        "shutdown" => case_shutdown::run(&record, has_trouble),
        "silence" => case_silence::run(&record, has_trouble),
        "slow-answer" => case_slow_answer::run(&record, has_trouble),
        "memory" => case_memory::run(&record, has_trouble),
        _ => lab::unable("unknown case"),
    };
    record.line(if is_broken {
        "RESULT: the rule was broken"
    } else {
        "RESULT: the rule held"
    });
    lab::finish(i32::from(is_broken));
}
