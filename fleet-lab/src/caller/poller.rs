//! Waits for the readiness of sockets, with timeouts in nanoseconds.
//!
//! The timeout of `epoll_wait` is in milliseconds and would delay requests. A timer descriptor, polled with the
//! sockets, ends a wait on time.

use super::connection_table::Token;
use rustix::buffer::spare_capacity;
use rustix::event::epoll;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use rustix::time::{
    Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, timerfd_create,
    timerfd_settime,
};
use std::io;
use std::time::Duration;

/// The largest number of events that one wait returns.
const MAX_EVENTS: usize = 256;
/// The event data of the timer. Events of sockets have a token instead.
const TIMER_DATA: u64 = u64::MAX;
/// The shortest wait. A time of zero would disarm the timer.
const MIN_WAIT: Duration = Duration::from_nanos(1);
/// The longest wait. A longer timeout ends after this time without an event.
const MAX_WAIT: Duration = Duration::from_secs(3600);
const ZERO_TIME: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// A socket that is ready.
#[derive(Clone, Copy, Debug)]
pub(super) struct Readiness {
    pub token: Token,
    /// True if the peer has closed its sending side or the socket has an error.
    pub has_hung_up: bool,
}

/// An epoll instance with a timer.
pub(super) struct Poller {
    epoll: OwnedFd,
    timer: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Poller {
    pub fn new() -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let timer = timerfd_create(
            TimerfdClockId::Monotonic,
            TimerfdFlags::CLOEXEC | TimerfdFlags::NONBLOCK,
        )?;
        // The timer is edge-triggered. It need not be read, because arming it again clears it.
        let interest = epoll::EventFlags::IN | epoll::EventFlags::ET;
        epoll::add(
            &epoll,
            &timer,
            epoll::EventData::new_u64(TIMER_DATA),
            interest,
        )?;
        Ok(Poller {
            epoll,
            timer,
            events: Vec::with_capacity(MAX_EVENTS),
        })
    }

    /// Watches a socket until it is closed, edge-triggered: each change of its readiness is reported once.
    pub fn watch(&self, socket: impl AsFd, token: Token) -> io::Result<()> {
        use epoll::EventFlags as Flags;
        let interest = Flags::IN | Flags::OUT | Flags::RDHUP | Flags::ET;
        epoll::add(
            &self.epoll,
            socket,
            epoll::EventData::new_u64(token.to_u64()),
            interest,
        )?;
        Ok(())
    }

    /// Waits until a socket is ready or the timeout has passed. Replaces the contents of `ready`.
    pub fn wait(&mut self, timeout: Duration, ready: &mut Vec<Readiness>) -> io::Result<()> {
        ready.clear();
        self.events.clear();
        let epoll_timeout = timeout.is_zero().then_some(&ZERO_TIME);
        if !timeout.is_zero() {
            self.set_timer(timeout)?;
        }
        match epoll::wait(&self.epoll, spare_capacity(&mut self.events), epoll_timeout) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        let sockets = self
            .events
            .iter()
            .filter(|event| event.data.u64() != TIMER_DATA);
        ready.extend(sockets.map(readiness));
        Ok(())
    }

    /// Arms the timer, which fires once after the delay.
    fn set_timer(&self, delay: Duration) -> io::Result<()> {
        let delay = delay.clamp(MIN_WAIT, MAX_WAIT);
        let it_value = Timespec {
            tv_sec: delay.as_secs() as _,
            tv_nsec: delay.subsec_nanos().into(),
        };
        let once = Itimerspec {
            it_interval: ZERO_TIME,
            it_value,
        };
        timerfd_settime(&self.timer, TimerfdTimerFlags::empty(), &once)?;
        Ok(())
    }
}

fn readiness(event: &epoll::Event) -> Readiness {
    use epoll::EventFlags as Flags;
    let (flags, data) = (event.flags, event.data);
    let has_hung_up = flags.intersects(Flags::RDHUP | Flags::HUP | Flags::ERR);
    Readiness {
        token: Token::from_u64(data.u64()),
        has_hung_up,
    }
}
