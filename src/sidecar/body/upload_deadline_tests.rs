//! The deadline of a client's upload, on paused time.

use super::*;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn deadline_moves_by_the_time_that_received_bytes_may_take() {
    let started_at = Instant::now();
    let mut deadline = UploadDeadline::new(started_at);
    assert_eq!(deadline.resume(), started_at + BASE_TIME);

    deadline.on_received(MIN_RATE as usize / 4);

    assert_eq!(deadline.resume(), started_at + BASE_TIME + SECOND / 4);
}

#[tokio::test(start_paused = true)]
async fn deadline_is_paused_while_the_client_is_not_waited_for() {
    let started_at = Instant::now();
    let mut deadline = UploadDeadline::new(started_at);
    deadline.on_received(0);

    advance(10 * SECOND).await;

    assert_eq!(deadline.resume(), started_at + BASE_TIME + 10 * SECOND);
    advance(SECOND).await;
    assert_eq!(
        deadline.resume(),
        started_at + BASE_TIME + 10 * SECOND,
        "it is not paused while the client is waited for"
    );
}

#[tokio::test(start_paused = true)]
async fn a_large_piece_leaves_a_client_that_is_late_the_minimum_time() {
    let started_at = Instant::now();
    let mut deadline = UploadDeadline::new(started_at);
    advance(10 * SECOND).await;

    deadline.on_received(LARGE_PIECE);

    assert_eq!(
        deadline.resume(),
        Instant::now() + MIN_TIME_AFTER_LARGE_PIECE
    );
}
