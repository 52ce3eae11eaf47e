//! Tests of the deadline of a streamed request, with tokio's clock paused.

use super::super::arrival_history::{CLIENT_BUFFER, FULL_BUFFER, LOOK_INTERVAL};
use super::*;
use std::future::pending;
use tokio::join;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);
const TIME_LEFT: Duration = Duration::from_secs(2);
const SLACK: Duration = Duration::from_millis(10);
const BODY_LENGTH: u64 = 1_000;

/// A connection on which the test lets bytes arrive.
#[derive(Debug, Default)]
struct Connection {
    read: Cell<u64>,
    bytes: Cell<u64>,
    request_end: Option<u64>,
}

impl ConnectionArrival for Connection {
    fn read_bytes(&self) -> u64 {
        self.read.get()
    }

    fn unread_bytes(&self) -> u64 {
        self.bytes.get() - self.read.get()
    }

    fn request_end(&self) -> Option<u64> {
        self.request_end
    }
}

/// A deadline of which the test sees the connection and the shutdown.
struct Fixture {
    arrival: Rc<Connection>,
    shutdown: ShutdownDeadline,
    deadline: RequestDeadline,
}

impl Fixture {
    fn new(request_end: Option<u64>) -> Self {
        let arrival = Rc::new(Connection {
            request_end,
            ..Connection::default()
        });
        let shutdown = ShutdownDeadline::default();
        let deadline = RequestDeadline::new(arrival.clone(), shutdown.clone());
        Fixture {
            arrival,
            shutdown,
            deadline,
        }
    }

    /// Waits for work that never ends while `events` happen. Returns the time after which the wait ended.
    async fn wait_during(&self, events: impl Future<Output = ()>) -> Duration {
        let started_at = Instant::now();
        let wait = async {
            let output = self.deadline.timeout(TIME_LEFT, SLACK, pending::<()>());
            assert_eq!(output.await, None);
            started_at.elapsed()
        };
        join!(wait, events).0
    }
}

fn assert_about(actual: Duration, expected: Duration) {
    let (earliest, latest) = (expected, expected + ARRIVAL_CHECK_INTERVAL + SLACK + SLACK);
    assert!(
        (earliest..=latest).contains(&actual),
        "{actual:?}, expected {expected:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn complete_body_brings_a_running_wait_forward() {
    let fixture = Fixture::new(Some(BODY_LENGTH));
    let waited = fixture.wait_during(async {
        sleep(SECOND).await;
        fixture.arrival.bytes.set(BODY_LENGTH);
        fixture.arrival.read.set(BODY_LENGTH);
        fixture.deadline.on_body_complete();
    });
    assert_about(waited.await, SECOND + TIME_LEFT);
}

#[tokio::test(start_paused = true)]
async fn unread_bytes_up_to_the_declared_length_complete_a_body() {
    let fixture = Fixture::new(Some(BODY_LENGTH));
    let waited = fixture.wait_during(async {
        sleep(SECOND).await;
        fixture.arrival.bytes.set(BODY_LENGTH);
        for _ in 0..5 {
            // A slow endpoint takes parts of the body, which does not move the deadline any more.
            sleep(SECOND / 2).await;
            fixture.deadline.on_progress();
        }
    });
    assert_about(waited.await, SECOND + TIME_LEFT);
}

/// Guards against a short deadline that is over as soon as the arrival is seen.
#[tokio::test(start_paused = true)]
async fn arrival_between_two_looks_leaves_the_whole_time() {
    let fixture = Fixture::new(Some(BODY_LENGTH));
    let waited = fixture.wait_during(async {
        sleep(SECOND - ARRIVAL_CHECK_INTERVAL / 2).await;
        fixture.arrival.bytes.set(BODY_LENGTH);
    });
    let arrived_after = SECOND - ARRIVAL_CHECK_INTERVAL / 2;
    assert_about(waited.await, arrived_after + TIME_LEFT);
}

#[tokio::test(start_paused = true)]
async fn body_that_has_not_arrived_may_pause() {
    let fixture = Fixture::new(Some(BODY_LENGTH));
    fixture.arrival.bytes.set(BODY_LENGTH - 1);
    assert_about(fixture.wait_during(async {}).await, MAX_PAUSE);
}

#[tokio::test(start_paused = true)]
async fn unread_bytes_of_undeclared_length_count_from_their_arrival() {
    let fixture = Fixture::new(None);
    let waited = fixture.wait_during(async {
        sleep(SECOND).await;
        fixture.arrival.bytes.set(BODY_LENGTH);
        sleep(SECOND).await;
        fixture.deadline.on_progress();
    });
    assert_about(waited.await, SECOND + TIME_LEFT);
}

#[tokio::test(start_paused = true)]
async fn client_of_undeclared_length_may_pause_while_everything_is_read() {
    let fixture = Fixture::new(None);
    fixture.deadline.on_nothing_to_read();
    assert_about(fixture.wait_during(async {}).await, MAX_PAUSE);
}

#[tokio::test(start_paused = true)]
async fn shutdown_limits_a_body_that_is_not_complete() {
    let fixture = Fixture::new(Some(BODY_LENGTH));
    let waited = fixture.wait_during(async {
        fixture.shutdown.begin(Instant::now() + SECOND);
        sleep(SECOND / 2).await;
        fixture.deadline.on_body_complete();
    });
    assert_about(waited.await, SECOND);
}

#[tokio::test(start_paused = true)]
async fn shutdown_does_not_limit_a_body_that_was_complete_before() {
    let fixture = Fixture::new(Some(BODY_LENGTH));
    let waited = fixture.wait_during(async {
        fixture.deadline.on_body_complete();
        fixture.shutdown.begin(Instant::now() + SECOND);
    });
    assert_about(waited.await, TIME_LEFT);
}

/// The bytes that wait unread while the receive buffer is full.
const FULL: u64 = 2 * FULL_BUFFER;

/// Lets an endpoint take parts of a body slowly, while the receive buffer stays full until `total` bytes have arrived.
async fn read_slowly(fixture: &Fixture, total: u64) {
    fixture.arrival.bytes.set(FULL);
    while fixture.arrival.bytes.get() < total {
        sleep(SECOND / 4).await;
        fixture.arrival.read.set(fixture.arrival.read.get() + FULL);
        fixture
            .arrival
            .bytes
            .set(fixture.arrival.bytes.get() + FULL);
        fixture.deadline.on_progress();
    }
}

/// Guards the final answer of a client that has written its whole body into the kernels, while the endpoint reads it slowly:
/// it comes in time, with and without a declared length.
#[tokio::test(start_paused = true)]
async fn bytes_from_the_clients_kernel_do_not_move_the_deadline() {
    for request_end in [Some(40 * FULL), None] {
        let fixture = Fixture::new(request_end);
        let waited = fixture.wait_during(async {
            sleep(SECOND).await;
            read_slowly(&fixture, 30 * FULL).await;
        });
        assert_about(waited.await, SECOND + TIME_LEFT);
    }
}

/// Guards an endpoint that reads the last bytes of such a body shortly before the deadline.
#[tokio::test(start_paused = true)]
async fn late_arrival_from_the_clients_kernel_does_not_move_the_deadline() {
    let fixture = Fixture::new(Some(6 * FULL));
    let waited = fixture.wait_during(async {
        sleep(SECOND).await;
        read_slowly(&fixture, 6 * FULL).await;
        fixture.deadline.on_body_complete();
    });
    assert_about(waited.await, SECOND + TIME_LEFT);
}

/// Guards long bodies: a client cannot have written more than its kernel holds, and has the rest of its time after that.
#[tokio::test(start_paused = true)]
async fn body_beyond_the_clients_kernel_may_take_longer() {
    let fixture = Fixture::new(Some(10 * CLIENT_BUFFER));
    let waited = fixture.wait_during(async {
        sleep(SECOND).await;
        read_slowly(&fixture, 20 * FULL).await;
    });
    assert!(waited.await > SECOND + 2 * TIME_LEFT);
}

/// Guards the final answer of a long body that the client's kernel has held in part since the client wrote its last byte
/// (issue 48, picture b): it counts from that moment, not from when the kernel's bytes arrive.
#[tokio::test(start_paused = true)]
async fn end_of_a_long_body_counts_from_when_the_clients_kernel_held_it() {
    let arrived_when_written = 100 * FULL;
    let fixture = Fixture::new(Some(arrived_when_written + CLIENT_BUFFER));
    let waited = fixture.wait_during(read_slowly(&fixture, 2 * arrived_when_written));
    let reads = arrived_when_written / FULL - 1;
    let written_after = SECOND / 4 * reads as u32;
    let latest = written_after + TIME_LEFT + ARRIVAL_CHECK_INTERVAL + SLACK;
    let earliest =
        latest - SECOND / 4 * (2 * LOOK_INTERVAL / FULL) as u32 - 2 * ARRIVAL_CHECK_INTERVAL;
    let waited = waited.await;
    assert!(
        (earliest..=latest).contains(&waited),
        "{waited:?} of {earliest:?} to {latest:?}"
    );
}

/// Guards slow clients: while the receive buffer has room, the bytes that arrive were just written.
#[tokio::test(start_paused = true)]
async fn slow_client_counts_from_its_last_bytes() {
    for request_end in [Some(BODY_LENGTH), None] {
        let fixture = Fixture::new(request_end);
        let waited = fixture.wait_during(async {
            for _ in 0..10 {
                sleep(SECOND / 2).await;
                fixture
                    .arrival
                    .bytes
                    .set(fixture.arrival.bytes.get() + BODY_LENGTH / 10);
            }
        });
        assert_about(waited.await, 5 * SECOND + TIME_LEFT);
    }
}

/// Guards against an endpoint that is ready for more before the next bytes are read from the kernel: the client has sent
/// them, and is not awaited.
#[tokio::test(start_paused = true)]
async fn client_is_not_awaited_while_its_bytes_wait_in_the_kernel() {
    let fixture = Fixture::new(None);
    let waited = fixture.wait_during(async {
        fixture.arrival.bytes.set(FULL);
        fixture.deadline.on_nothing_to_read();
    });
    assert_about(waited.await, TIME_LEFT);
}
