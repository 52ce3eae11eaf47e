//! Hedged dials. If a connection is slow to be established, further ones are dialled to the same endpoint, and the
//! first one to be established is used. The request is written only to that one, so a dial does not count as an
//! attempt.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The maximum number of dials for one connection. If a third of all dials are late, all three are late for one request
/// in 27.
const MAX_DIALS: usize = 3;

/// The fraction of the connect timeout after which the next dial is started. Establishing a connection takes one round
/// trip, and the timeout allows for many.
const HEDGE_DELAY_FRACTION: f64 = 0.1;

/// Returns the result of the first dial to end, and drops the other dials.
///
/// `dial` starts one dial. `may_hedge` returns whether the descriptor budget allows a further one.
///
/// # Errors
/// The first dial to end failed, or none has ended by the deadline.
pub async fn dial_hedged<Connection, Dial>(
    dial: impl Fn() -> Dial,
    may_hedge: impl Fn() -> bool,
    connect_timeout: Duration,
    deadline: Instant,
) -> io::Result<Connection>
where
    Dial: Future<Output = io::Result<Connection>>,
{
    let hedge_delay = connect_timeout.mul_f64(HEDGE_DELAY_FRACTION);
    let mut dials = vec![Box::pin(dial())];
    loop {
        let wait_until = if dials.len() >= MAX_DIALS {
            deadline
        } else {
            deadline.min(Instant::now() + hedge_delay)
        };
        let first_ended = poll_fn(|context| poll_first_ended(&mut dials, context));
        if let Ok(result) = timeout_at(wait_until, first_ended).await {
            return result;
        }
        if Instant::now() >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if may_hedge() {
            dials.push(Box::pin(dial()));
        }
    }
}

/// Polls the dials, the oldest first, and returns the first result.
fn poll_first_ended<Connection, Dial>(
    dials: &mut [Pin<Box<Dial>>],
    context: &mut Context<'_>,
) -> Poll<io::Result<Connection>>
where
    Dial: Future<Output = io::Result<Connection>>,
{
    let mut polled = dials.iter_mut().map(|dial| dial.as_mut().poll(context));
    polled.find(Poll::is_ready).unwrap_or(Poll::Pending)
}
