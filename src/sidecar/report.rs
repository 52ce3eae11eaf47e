//! The counters line of the log.

use super::node::{NodeHandle, NodeReport};
use super::process_memory::ProcessMemory;
use crate::policy::BalancerStatus;
use std::time::Duration;
use tokio::time::sleep;

/// The interval between two lines. A busy sidecar writes about seventeen thousand lines a day.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Writes a line at the end of each interval in which an event was counted.
pub async fn write_at_intervals(node: NodeHandle) {
    loop {
        sleep(REPORT_INTERVAL).await;
        write(&node);
    }
}

/// Writes the counters since the last line and the balancer's status. Writes nothing if no event was counted.
pub fn write(node: &NodeHandle) {
    let NodeReport {
        counters,
        status,
        list,
        connections,
        reserved_bytes,
    } = node.borrow().take_report();
    if counters.is_empty() {
        return;
    }
    let BalancerStatus {
        pending,
        queued,
        in_flight,
        clear,
        gapping,
        discarding,
        current_states,
        unavailable,
        suspended,
    } = status;
    let memory = ProcessMemory::read();
    log!(
        "counts {counters}; now pending={pending} queued={queued} in_flight={in_flight} callers={callers} \
         connections={endpoints} clear={clear} gapping={gapping} discarding={discarding} \
         current_states={current_states} unavailable={unavailable} suspended={suspended} list_version={version} \
         list_unconfirmed_ms={unconfirmed} memory_kb={memory} memory_anonymous_kb={anonymous} \
         memory_peak_kb={peak} reserved_kb={reserved}",
        callers = connections.callers,
        endpoints = connections.endpoints,
        version = list.version,
        unconfirmed = list.unconfirmed_ms(),
        memory = memory.resident,
        anonymous = memory.anonymous,
        peak = memory.peak,
        reserved = reserved_bytes >> 10,
    );
}
