//! The resources that a process uses, read from the kernel.

use procfs::ProcError;
use procfs::process::{Process, Status, Task};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::io;
use std::time::Duration;

/// The number of bytes in the unit of `/proc/PID/status`.
const KIBIBYTE: u64 = 1024;

/// The resources that a process uses at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// The sum of the processor times of all running threads, from `/proc/PID/task/*/schedstat`. Threads that have
    /// ended are not included.
    pub processor_time: Duration,
    /// Anonymous resident memory (not backed by files), in bytes.
    pub anonymous_bytes: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// The number of open descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the resources that the process with this id uses.
    ///
    /// # Errors
    /// Returns an error if there is no such process, or if it has ended and its parent has not waited for it yet.
    pub fn of(process: u32) -> io::Result<Self> {
        let process_id = i32::try_from(process).map_err(io::Error::other)?;
        let process = Process::new(process_id).map_err(into_io_error)?;
        let status = process.status().map_err(into_io_error)?;
        let (anonymous_bytes, resident_bytes) = memory_bytes(&status)?;
        Ok(ProcessUsage {
            processor_time: processor_time(&process)?,
            anonymous_bytes,
            resident_bytes,
            descriptors: process.fd_count().map_err(into_io_error)? as u64,
        })
    }
}

/// Returns the processor time of the calling thread.
#[must_use]
pub fn thread_processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanoseconds)
}

/// Returns the anonymous and the resident memory in bytes. The status of a process that has ended has neither.
fn memory_bytes(status: &Status) -> io::Result<(u64, u64)> {
    match (status.rssanon, status.vmrss) {
        (Some(anonymous), Some(resident)) => Ok((anonymous * KIBIBYTE, resident * KIBIBYTE)),
        _ => Err(io::Error::new(
            io::ErrorKind::NotFound,
            "the process has ended",
        )),
    }
}

fn processor_time(process: &Process) -> io::Result<Duration> {
    let tasks = process.tasks().map_err(into_io_error)?;
    let nanoseconds = tasks
        .flatten()
        .filter_map(|task| thread_nanoseconds(&task))
        .sum();
    Ok(Duration::from_nanos(nanoseconds))
}

/// Returns the processor time of a thread; `None` if it has ended since the threads were listed.
fn thread_nanoseconds(thread: &Task) -> Option<u64> {
    let schedstat = thread.schedstat().ok()?;
    Some(schedstat.sum_exec_runtime)
}

/// Converts an error of `procfs` and keeps its kind.
fn into_io_error(error: ProcError) -> io::Error {
    let kind = match &error {
        ProcError::NotFound(_) => io::ErrorKind::NotFound,
        ProcError::PermissionDenied(_) => io::ErrorKind::PermissionDenied,
        ProcError::Io(source, _) => source.kind(),
        _ => io::ErrorKind::Other,
    };
    io::Error::new(kind, error)
}
