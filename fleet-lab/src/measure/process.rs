//! The resources that a process uses, as the kernel counts them.

use procfs::ProcError;
use procfs::process::{Process, Status, Task};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::io;
use std::time::Duration;

/// Bytes in the unit of `/proc/PID/status`.
const KIBIBYTE: u64 = 1024;

/// The resources that a process uses at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// Processor time since its start over all running threads, from `/proc/PID/task/*/schedstat`.
    pub processor_time: Duration,
    /// Anonymous resident memory (not backed by files), in bytes.
    pub anonymous_bytes: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the resources that a process uses.
    ///
    /// # Errors
    /// Fails where there is no such process, or it has ended and was not waited for yet.
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

/// Returns the anonymous and resident bytes. The status of a process that has ended has neither.
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

/// Returns the processor time of one thread; none if it has ended since the threads were listed.
fn thread_nanoseconds(thread: &Task) -> Option<u64> {
    let schedstat = thread.schedstat().ok()?;
    Some(schedstat.sum_exec_runtime)
}

fn into_io_error(error: ProcError) -> io::Error {
    let kind = match &error {
        ProcError::NotFound(_) => io::ErrorKind::NotFound,
        ProcError::PermissionDenied(_) => io::ErrorKind::PermissionDenied,
        ProcError::Io(source, _) => source.kind(),
        _ => io::ErrorKind::Other,
    };
    io::Error::new(kind, error)
}
