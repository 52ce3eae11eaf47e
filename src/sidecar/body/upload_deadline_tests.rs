//! Tests of the deadline of a client's upload, with tokio's clock paused.

use super::*;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn received_bytes_extend_the_deadline() {
    let started_at = Instant::now();
    let mut deadline = UploadDeadline::new(started_at);
    assert_eq!(deadline.resume(), started_at + BASE_TIME);

    deadline.on_received(MIN_RATE as usize / 4);

    assert_eq!(deadline.resume(), started_at + BASE_TIME + SECOND / 4);
}

#[tokio::test(start_paused = true)]
async fn deadline_pauses_while_no_data_is_awaited() {
    let started_at = Instant::now();
    let mut deadline = UploadDeadline::new(started_at);
    deadline.on_received(0);

    advance(10 * SECOND).await;

    assert_eq!(deadline.resume(), started_at + BASE_TIME + 10 * SECOND);
    advance(SECOND).await;
    assert_eq!(
        deadline.resume(),
        started_at + BASE_TIME + 10 * SECOND,
        "the deadline is not paused after it was resumed"
    );
}

#[tokio::test(start_paused = true)]
async fn large_frame_leaves_a_late_client_the_minimum_time() {
    let started_at = Instant::now();
    let mut deadline = UploadDeadline::new(started_at);
    advance(10 * SECOND).await;

    deadline.on_received(LARGE_FRAME);

    assert_eq!(
        deadline.resume(),
        Instant::now() + MIN_TIME_AFTER_LARGE_FRAME
    );
}
