//! An endpoint's cores, the queue for them, the service times, and the load report.

use super::options::{EndpointOptions, ServiceTime, SlowStart};
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// The time constant of the average utilisation in load reports.
const UTILISATION_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// The longest lateness of a timer that shortens later work. A longer one means that the thread has stalled.
const MAX_CARRIED_LATENESS: Duration = Duration::from_millis(2);

/// The cores of a running endpoint and the queue for them.
pub(super) struct CorePool {
    cores: u32,
    queue_limit: u32,
    service_time: ServiceTime,
    slow_start: Option<SlowStart>,
    error_rate: f64,
    started: Instant,
    permits: Semaphore,
    /// The number of queued requests.
    queued: Cell<u32>,
    /// The number of busy cores.
    busy: Cell<u32>,
    utilisation: Cell<Utilisation>,
    /// The lateness of earlier timers that has not shortened any work yet.
    lateness: Cell<Duration>,
    random: RefCell<Pcg64>,
}

/// The result of a request for a core.
pub(super) enum Admission<'pool> {
    /// The request has a core.
    Core(Core<'pool>),
    /// The request is queued for a core.
    Queued(QueueSlot<'pool>),
    /// The queue is full.
    RejectedEarly,
}

impl CorePool {
    pub fn new(options: &EndpointOptions, random: Pcg64) -> Self {
        let started = Instant::now();
        Self {
            cores: options.cores,
            queue_limit: options.queue,
            service_time: options.service_time,
            slow_start: options.slow_start,
            error_rate: options.error_rate,
            started,
            permits: Semaphore::new(options.cores as usize),
            queued: Cell::new(0),
            busy: Cell::new(0),
            utilisation: Cell::new(Utilisation {
                average: 0.0,
                at: started,
            }),
            lateness: Cell::new(Duration::ZERO),
            random: RefCell::new(random),
        }
    }

    /// Gives a request a core or a slot in the queue, or rejects it.
    pub fn admit(&self) -> Admission<'_> {
        if let Ok(permit) = self.permits.try_acquire() {
            return Admission::Core(Core::occupy(self, permit));
        }
        if self.queued.get() >= self.queue_limit {
            return Admission::RejectedEarly;
        }
        self.queued.set(self.queued.get() + 1);
        Admission::Queued(QueueSlot { pool: self })
    }

    /// Returns true if the next response is to be an error, which is drawn at random with the error rate.
    pub fn draw_error(&self) -> bool {
        self.error_rate > 0.0 && self.random.borrow_mut().random_bool(self.error_rate)
    }

    /// Returns the current load. `calls` is the number of calls in flight to the next tier.
    pub fn load_report(&self, calls: u32) -> LoadReport {
        self.update_utilisation();
        LoadReport {
            in_flight: self.busy.get() + calls,
            queued: self.queued.get(),
            utilisation: self.utilisation.get().average,
        }
    }

    /// Draws the service time of work that starts now.
    fn draw_work_time(&self) -> Duration {
        let milliseconds = match self.service_time {
            ServiceTime::None => return Duration::ZERO,
            ServiceTime::Fixed { milliseconds } => milliseconds,
            ServiceTime::Exponential { mean_milliseconds } => {
                let unit_exponential: f64 = Exp1.sample(&mut *self.random.borrow_mut());
                mean_milliseconds * unit_exponential
            }
        };
        let capacity = self.slow_start.map_or(1.0, |slow_start| {
            slow_start.capacity(self.started.elapsed())
        });
        Duration::from_secs_f64(milliseconds / 1000.0 / capacity)
    }

    /// Updates the average utilisation for the time since the last update. The number of busy cores is constant between
    /// updates.
    fn update_utilisation(&self) {
        let busy_fraction = f64::from(self.busy.get()) / f64::from(self.cores);
        self.utilisation.set(
            self.utilisation
                .get()
                .advanced_to(busy_fraction, Instant::now()),
        );
    }
}

impl SlowStart {
    /// Returns the fraction of its full capacity that an endpoint has this long after its start.
    fn capacity(&self, since_start: Duration) -> f64 {
        if self.warm_up_milliseconds == 0 {
            return 1.0;
        }
        let warm_up_progress =
            since_start.as_secs_f64() * 1000.0 / self.warm_up_milliseconds as f64;
        self.initial_capacity + (1.0 - self.initial_capacity) * warm_up_progress.min(1.0)
    }
}

/// A slot in the queue. Dropping it frees the slot.
pub(super) struct QueueSlot<'pool> {
    pool: &'pool CorePool,
}

impl<'pool> QueueSlot<'pool> {
    /// Waits for a core. Queued requests get cores in order of arrival.
    pub async fn core(self) -> Core<'pool> {
        let permit = self
            .pool
            .permits
            .acquire()
            .await
            .expect("the semaphore is never closed");
        Core::occupy(self.pool, permit)
    }
}

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        self.pool.queued.set(self.pool.queued.get() - 1);
    }
}

/// A core that works on a request. Dropping it frees the core.
pub(super) struct Core<'pool> {
    pool: &'pool CorePool,
    _permit: SemaphorePermit<'pool>,
}

impl<'pool> Core<'pool> {
    /// Marks a core as busy.
    fn occupy(pool: &'pool CorePool, permit: SemaphorePermit<'pool>) -> Self {
        pool.update_utilisation();
        pool.busy.set(pool.busy.get() + 1);
        Self {
            pool,
            _permit: permit,
        }
    }

    /// Works on the request: waits for a service time. Timers fire late, at whole milliseconds. The lateness of one
    /// timer shortens later waits. This keeps the mean service time, and with it the endpoint's capacity, correct.
    pub async fn work(&self) {
        let service_time = self.pool.draw_work_time();
        let carried = service_time.min(self.pool.lateness.get());
        self.pool.lateness.set(self.pool.lateness.get() - carried);
        let sleep_time = service_time - carried;
        if sleep_time.is_zero() {
            return;
        }
        let sleep_start = Instant::now();
        tokio::time::sleep(sleep_time).await;
        let lateness = sleep_start
            .elapsed()
            .saturating_sub(sleep_time)
            .min(MAX_CARRIED_LATENESS);
        self.pool.lateness.set(self.pool.lateness.get() + lateness);
    }
}

impl Drop for Core<'_> {
    fn drop(&mut self) {
        self.pool.update_utilisation();
        self.pool.busy.set(self.pool.busy.get() - 1);
    }
}

/// The average fraction of busy cores over time, with exponentially decreasing weights.
#[derive(Clone, Copy)]
struct Utilisation {
    average: f64,
    /// The time of the last update.
    at: Instant,
}

impl Utilisation {
    /// Returns the average at a later time. `busy_fraction` is the fraction of cores that were busy since the last
    /// update.
    fn advanced_to(self, busy_fraction: f64, now: Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.at);
        let decay = (-elapsed.as_secs_f64() / UTILISATION_TIME_CONSTANT.as_secs_f64()).exp();
        Self {
            average: busy_fraction + (self.average - busy_fraction) * decay,
            at: now,
        }
    }
}

/// An endpoint's load, as its responses carry it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    in_flight: u32,
    queued: u32,
    utilisation: f64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            in_flight,
            queued,
            utilisation,
        } = self;
        write!(
            formatter,
            "TEXT inflight={in_flight}, queue={queued}, util={utilisation:.2}"
        )
    }
}
