//! Hedged dials: while a connection does not come up, further ones are dialled to the same endpoint, and the first that
//! is up is used. A request is written to that one alone, so that a dial is no attempt.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Dials for one connection at most: where a third of them come up late, one in 27 requests finds all three late.
const MOST_DIALS: usize = 3;

/// Part of the connect time-out after which a dial is late. A connection takes one round trip, and the time-out leaves
/// room for many.
const LATE_PART: f64 = 0.1;

/// The first of some dials that comes up, or `None` when one is refused or none is up in time.
///
/// `dial` makes one dial; `may_hedge` says whether there is room for one more beside those under way. The others are
/// given up when one has ended.
pub async fn hedged<Link, Dial>(
    dial: impl Fn() -> Dial,
    may_hedge: impl Fn() -> bool,
    connect_timeout: Duration,
    until: Instant,
) -> Option<Link>
where
    Dial: Future<Output = io::Result<Link>>,
{
    let late = connect_timeout.mul_f64(LATE_PART);
    let mut dials = vec![Box::pin(dial())];
    loop {
        let is_last = dials.len() >= MOST_DIALS;
        let wait_until = if is_last {
            until
        } else {
            until.min(Instant::now() + late)
        };
        let first = poll_fn(|context| poll_first(&mut dials, context));
        if let Ok(ended) = timeout_at(wait_until, first).await {
            return ended.ok();
        }
        if Instant::now() >= until {
            return None;
        }
        if may_hedge() {
            dials.push(Box::pin(dial()));
        }
    }
}

/// Polls dials until one has ended, the oldest first.
fn poll_first<Link, Dial>(
    dials: &mut [Pin<Box<Dial>>],
    context: &mut Context<'_>,
) -> Poll<io::Result<Link>>
where
    Dial: Future<Output = io::Result<Link>>,
{
    let mut polled = dials.iter_mut().map(|dial| dial.as_mut().poll(context));
    polled.find(Poll::is_ready).unwrap_or(Poll::Pending)
}
