//! The memory that connections and requests take, and how much of it a process may use.

use hyper::header::HeaderMap;

/// What the process takes without callers, in bytes: its program, the runtime and the settings.
const BASE: usize = 6_000_000;
/// What an endpoint of the list takes, in bytes.
const LISTED_ENDPOINT: usize = 2_000;
/// The fraction of the rest that is used. The allocator cannot reuse all of the memory that was freed.
const USABLE_FRACTION: f64 = 3.0 / 4.0;
/// The least budget in bytes, with which a process with too little memory serves a few callers.
const MIN_BUDGET: usize = 1 << 20;
/// A megabyte of the configuration's limit, in bytes.
const MEGABYTE: usize = 1_000_000;

/// What a caller's connection takes in bytes, beyond the descriptor: the buffers of hyper, the task, and the first bytes of
/// the next request.
pub const CALLER_CONNECTION: usize = 24 << 10;
/// What an open request takes in bytes apart from its head and its buffered body: the connection to its endpoint, and the
/// frames of bodies that are on their way.
pub const EXCHANGE: usize = 48 << 10;
/// What a request with a body that may be streamed takes in addition, in bytes.
pub const STREAMED_UPLOAD: usize = 64 << 10;
/// What an idle connection to an endpoint takes, in bytes.
pub const IDLE_ENDPOINT_CONNECTION: usize = 24 << 10;

/// What one header takes in bytes apart from its text: an entry in the map of the received headers and in those that are
/// forwarded.
const HEADER: usize = 250;
/// How many copies there are of a header's text: as it was received, as it is forwarded, and as it is written.
const TEXT_COPIES: usize = 3;

/// Returns the budget in bytes of a process that may take `memory_mb` together with the sidecar's other processes, of which
/// there are `processes` in all, with `endpoints` in its list.
pub fn process_budget(memory_mb: usize, processes: usize, endpoints: usize) -> usize {
    let own = memory_mb.saturating_mul(MEGABYTE) / processes.max(1);
    let rest = own.saturating_sub(BASE + endpoints * LISTED_ENDPOINT);
    ((rest as f64 * USABLE_FRACTION) as usize).max(MIN_BUDGET)
}

/// Returns what the head of a request takes while the request is open, in bytes.
pub fn head_size(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| HEADER + TEXT_COPIES * (name.as_str().len() + value.len()))
        .sum()
}

#[cfg(test)]
#[path = "memory_costs_tests.rs"]
mod tests;
