//! The memory of callers' connections, requests and bodies.

use crate::sidecar::body::buffer_size;
use crate::sidecar::memory::{MemoryBudget, RequestMemory};
use crate::sidecar::memory_costs::{EXCHANGE, STREAMED_UPLOAD, head_size, process_budget};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;

/// The divisor of the process's memory that gives the budget of callers' request bodies.
const REQUEST_BODY_DIVISOR: usize = 4;
/// The divisor of the process's memory that gives the budget of endpoints' responses.
const RESPONSE_BODY_DIVISOR: usize = 8;

/// The memory budgets of one process.
#[derive(Debug)]
pub struct NodeMemory {
    /// The limit of the configuration in MB, for all processes of the sidecar together.
    memory_mb: usize,
    /// The number of processes that the sidecar has.
    processes: usize,
    /// The number of endpoints in the list.
    endpoints: usize,
    process: MemoryBudget,
    request_bodies: MemoryBudget,
    response_bodies: MemoryBudget,
}

/// The memory that one request takes, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct RequestSize {
    /// Its head, its attempt, and the frames of its bodies that are on their way.
    exchange: usize,
    /// The buffered part of its body.
    body: usize,
}

impl RequestSize {
    /// Returns the most that a request with this head and body takes.
    pub fn new(headers: &HeaderMap, body: &Incoming) -> Self {
        let upload = if body.is_end_stream() {
            0
        } else {
            STREAMED_UPLOAD
        };
        RequestSize {
            exchange: EXCHANGE + head_size(headers) + upload,
            body: buffer_size(body),
        }
    }
}

impl NodeMemory {
    /// Creates the budgets of a process that may take `memory_mb`.
    pub fn new(memory_mb: usize) -> Self {
        let process = MemoryBudget::new(process_budget(memory_mb, 1, 0));
        let bytes = memory_mb << 20;
        NodeMemory {
            memory_mb,
            processes: 1,
            endpoints: 0,
            request_bodies: process.part(bytes / REQUEST_BODY_DIVISOR),
            response_bodies: process.part(bytes / RESPONSE_BODY_DIVISOR),
            process,
        }
    }

    /// Sets the number of processes that the sidecar has. They share its memory.
    pub fn set_processes(&mut self, processes: usize) {
        self.processes = processes;
        self.update_limit();
    }

    /// Sets the number of endpoints in the list.
    pub fn set_endpoints(&mut self, endpoints: usize) {
        self.endpoints = endpoints;
        self.update_limit();
    }

    fn update_limit(&self) {
        let limit = process_budget(self.memory_mb, self.processes, self.endpoints);
        self.process.set_limit(limit);
    }

    /// Returns the budget of the whole process.
    pub fn process(&self) -> &MemoryBudget {
        &self.process
    }

    /// Returns the budget of endpoints' buffered responses.
    pub fn response_bodies(&self) -> &MemoryBudget {
        &self.response_bodies
    }

    /// Returns whether the budget of request bodies has room for a body, whatever the whole process has.
    pub fn may_buffer(&self, size: RequestSize) -> bool {
        self.request_bodies.has_own_room_for(size.body)
    }

    /// Reserves the memory of a request. Returns `None` if there is none left for it.
    pub fn reserve_request(&self, size: RequestSize) -> Option<RequestMemory> {
        let exchange = self.process.reserve(size.exchange)?;
        let body = self.request_bodies.reserve(size.body)?;
        Some(RequestMemory::new(exchange, body))
    }
}
