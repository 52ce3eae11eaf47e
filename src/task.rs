//! Tasks on the current thread that are aborted when their owner drops them.

use tokio::task::{AbortHandle, spawn_local, yield_now};

/// A task on the current thread that is aborted when this guard is dropped.
#[derive(Debug)]
pub struct Task(AbortHandle);

impl Task {
    /// Spawns a task on the current [`LocalSet`](tokio::task::LocalSet) or local runtime.
    #[must_use = "the task is aborted when its guard is dropped"]
    pub fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Task(spawn_local(work).abort_handle())
    }

    /// Returns whether the task has finished or was aborted.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }

    /// Aborts the task and waits until everything that it owns has been dropped.
    pub async fn stop(self) {
        self.0.abort();
        while !self.is_finished() {
            yield_now().await;
        }
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
