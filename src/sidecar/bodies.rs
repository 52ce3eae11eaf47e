//! Bodies on their way through: what is kept of them, and what goes on as it comes.
//!
//! A body of up to [`KEPT`] bytes is read whole first, so that an attempt can be made again with it, or its answer
//! be found broken before a client has seen any of it. Of a larger one no more than that is ever held: the rest is read
//! when the other side has taken what came before.

use crate::sidecar::counters::Ticket;
use crate::sidecar::endpoints::{Link, Place, Wire};
use crate::sidecar::inbound::Traffic;
use crate::sidecar::node::Handle;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

/// The largest body that is kept whole, either way.
pub const KEPT: usize = 64 << 10;
/// The largest body that is taken at all, either way: a quarter more than any there should be.
pub const LARGEST: u64 = 40 << 20;
/// From a head's first byte a caller has so long for the body, and a second more for each so many bytes that have
/// come: half the pace of the slowest that is served.
const BODY_TIME: Duration = Duration::from_millis(2_600);
const SLOWEST: f64 = 32_000.0;
/// So much at once is a sign that the caller was not waited for, but the endpoint: it gets a moment more.
const LARGE_PIECE: usize = 16 << 10;
const MOMENT: Duration = Duration::from_secs(1);
/// An endpoint that has begun to answer may pause so long; it may have a tier behind it.
const ANSWER_PAUSE: Duration = Duration::from_secs(10);
/// A body that goes on as it comes may pause so long, whoever is slow.
const UPLOAD_PAUSE: Duration = Duration::from_secs(6);

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// What is wrong with a caller's body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoilt {
    TooSlow,
    TooLarge,
    NotWhole,
}

/// How long a caller may still take over its body. Only waiting for the caller counts.
struct Patience {
    due: Instant,
    /// Since when it has been waited for, or it has not.
    since: Instant,
    waiting: bool,
}

impl Patience {
    fn new(begun: Instant) -> Self {
        Patience { due: begun + BODY_TIME, since: Instant::now(), waiting: true }
    }

    /// When it ends, if nothing comes.
    fn wait(&mut self) -> Instant {
        if !self.waiting {
            (self.due, self.waiting) = (self.due + self.since.elapsed(), true);
        }
        self.due
    }

    fn came(&mut self, bytes: usize) {
        (self.since, self.waiting) = (Instant::now(), false);
        self.due += Duration::from_secs_f64(bytes as f64 / SLOWEST);
        if bytes >= LARGE_PIECE {
            self.due = self.due.max(self.since + MOMENT);
        }
    }
}

// ---- From callers to endpoints ---------------------------------------------------------------------------

/// A caller's body as far as it is kept: all of it, or its beginning and what is to come.
pub struct Read {
    pub kept: Bytes,
    pub upload: Option<Rc<Upload>>,
}

/// Reads a caller's body until it is whole or no more of it can be kept.
pub async fn read(mut body: Incoming, begun: Instant) -> Result<Read, Spoilt> {
    let length = body.size_hint().exact();
    if body.size_hint().lower() > LARGEST {
        return Err(Spoilt::TooLarge);
    }
    let mut patience = Patience::new(begun);
    let mut kept = BytesMut::new();
    loop {
        let data = match timeout_at(patience.wait(), body.frame()).await {
            Err(_) => return Err(Spoilt::TooSlow),
            Ok(None) => return Ok(Read { kept: kept.freeze(), upload: None }),
            Ok(Some(Err(_))) => return Err(Spoilt::NotWhole),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(), // trailers go no further
        };
        patience.came(data.len());
        kept.extend_from_slice(&data);
        if kept.len() > KEPT || length.is_some_and(|l| l > KEPT as u64) {
            let upload = Upload {
                rest: RefCell::new(Some((body, patience))),
                length,
                received: Cell::new(kept.len() as u64),
                moved: Cell::new(Instant::now()),
                end: Cell::new(None),
                ended: Notify::new(),
            };
            return Ok(Read { kept: kept.freeze(), upload: Some(Rc::new(upload)) });
        }
    }
}

/// A body that is too large to be kept, and goes on to one endpoint as it comes.
pub struct Upload {
    /// Until an attempt has taken it: from then on no other can be made.
    rest: RefCell<Option<(Incoming, Patience)>>,
    length: Option<u64>,
    received: Cell<u64>,
    /// When the last piece went on.
    moved: Cell<Instant>,
    /// How it ended, and when, once it has.
    end: Cell<Option<(Result<(), Spoilt>, Instant)>>,
    ended: Notify,
}

impl Upload {
    /// Some of it has gone on that is kept nowhere.
    pub fn is_spent(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// What it declares.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// When its last byte had come.
    pub fn whole_at(&self) -> Option<Instant> {
        self.end.get().filter(|(end, _)| end.is_ok()).map(|(_, at)| at)
    }

    /// When something that may take so long after the body's last byte is overdue, as things stand.
    fn due(&self, after: Duration) -> Instant {
        self.whole_at().map_or_else(|| self.moved.get() + after.max(UPLOAD_PAUSE), |at| at + after)
    }

    /// What comes of some work before it is overdue.
    pub async fn within<T>(&self, after: Duration, work: impl Future<Output = T>) -> Option<T> {
        let mut work = std::pin::pin!(work);
        loop {
            let due = self.due(after);
            match timeout_at(due, work.as_mut()).await {
                Ok(done) => return Some(done),
                Err(_) if self.due(after) > due => {}
                Err(_) => return None,
            }
        }
    }

    /// Waits for its end: whole, or spoilt.
    pub async fn end(&self) -> Result<(), Spoilt> {
        loop {
            let ended = self.ended.notified();
            if let Some((end, _)) = self.end.get() {
                return end;
            }
            ended.await;
        }
    }

    fn ends(&self, end: Result<(), Spoilt>) {
        self.end.set(Some((end, Instant::now())));
        self.ended.notify_waiters();
    }
}

/// What an attempt writes of its request's body. Its connection is told when hyper lets go of it whole: as soon as
/// it has all of it, at once where there is none.
pub struct Outgoing {
    part: Part,
    wire: Rc<Wire>,
}

enum Part {
    Kept(Full<Bytes>),
    Passing {
        first: Option<Bytes>,
        upload: Rc<Upload>,
        rest: Option<(Incoming, Patience)>,
        time: Pin<Box<Sleep>>,
    },
}

impl Outgoing {
    pub fn new(kept: Bytes, upload: Option<Rc<Upload>>, wire: Rc<Wire>) -> Self {
        let part = match upload {
            None => Part::Kept(Full::new(kept)),
            Some(upload) => {
                upload.moved.set(Instant::now());
                let time = Box::pin(sleep_until(Instant::now()));
                Part::Passing { first: Some(kept), upload, rest: None, time }
            }
        };
        Outgoing { part, wire }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let (first, upload, rest, time) = match &mut self.part {
            Part::Kept(body) => return Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Part::Passing { first, upload, rest, time } => (first, upload, rest, time),
        };
        if let Some(first) = first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if upload.whole_at().is_some() {
            return Poll::Ready(None);
        }
        if rest.is_none() {
            *rest = upload.rest.borrow_mut().take();
        }
        let Some((body, patience)) = rest else {
            return Poll::Ready(Some(Err("another attempt has taken the body".into())));
        };
        loop {
            let due = patience.wait();
            let spoilt = match Pin::new(&mut *body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers go no further
                    patience.came(data.len());
                    upload.moved.set(Instant::now());
                    upload.received.set(upload.received.get() + data.len() as u64);
                    if upload.received.get() <= LARGEST {
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                    Spoilt::TooLarge
                }
                Poll::Ready(None) => {
                    upload.ends(Ok(()));
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => Spoilt::NotWhole,
                Poll::Pending => {
                    if time.deadline() != due {
                        time.as_mut().reset(due);
                    }
                    ready!(time.as_mut().poll(context));
                    Spoilt::TooSlow
                }
            };
            upload.ends(Err(spoilt));
            return Poll::Ready(Some(Err("the caller's body is spoilt".into())));
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.part {
            Part::Kept(body) => body.is_end_stream(),
            Part::Passing { first, upload, .. } => first.is_none() && upload.whole_at().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.part {
            Part::Kept(body) => body.size_hint(),
            Part::Passing { upload, .. } => upload.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        let whole = match &self.part {
            Part::Kept(body) => body.is_end_stream(),
            Part::Passing { first, upload, .. } => {
                let all = upload.length.is_some_and(|l| l == upload.received.get());
                if all && upload.end.get().is_none() {
                    upload.ends(Ok(())); // hyper asks for no more than was declared
                }
                first.is_none() && upload.whole_at().is_some()
            }
        };
        if whole {
            self.wire.taken();
        }
    }
}

// ---- From endpoints to callers ---------------------------------------------------------------------------

/// The body of an endpoint's answer.
pub enum Answered {
    Whole(Bytes),
    /// Too large to be kept, or there is no room to keep it: it goes on as it comes.
    Passing(Box<Passing>),
}

/// A body that goes on to its caller as it comes. What goes wrong from now on the caller is left to see.
pub struct Passing {
    first: Bytes,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    /// How long the endpoint may still pause, while it is waited for.
    pause: Option<Pin<Box<Sleep>>>,
    end: Option<End>,
    /// The connection that it goes on to.
    on: Option<Rc<Traffic>>,
}

/// What there is to do once the body has gone on.
struct End {
    node: Handle,
    link: Link,
    place: Place,
    ticket: Option<Ticket>,
}

/// What is kept of an answer, and what is to come of it.
pub enum Piece {
    Whole(Bytes),
    Begun { first: Bytes, rest: Incoming, length: Option<u64> },
}

/// Reads an endpoint's answer until it is whole, or no more of it can be kept; where there is no room to `keep` it, until
/// it has begun.
pub async fn collect(mut body: Incoming, keep: bool) -> Result<Piece, Failure> {
    let length = body.size_hint().exact();
    let mut first = BytesMut::new();
    while let Some(frame) = body.frame().await {
        first.extend_from_slice(&frame?.into_data().unwrap_or_default());
        let large = first.len() > KEPT || length.is_some_and(|l| l > KEPT as u64);
        let all = length.is_some_and(|l| l == first.len() as u64);
        if !all && !first.is_empty() && (large || !keep) {
            return Ok(Piece::Begun { first: first.freeze(), rest: body, length });
        }
    }
    Ok(Piece::Whole(first.freeze()))
}

impl Passing {
    pub fn new(
        node: Handle,
        link: Link,
        place: Place,
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
    ) -> Self {
        let end = End { node, link, place, ticket: None };
        Passing { first, rest, length, passed: 0, pause: None, end: Some(end), on: None }
    }

    /// Has it count for a request, and its end for the connection that it goes to.
    pub fn counts(&mut self, ticket: Ticket, on: &Rc<Traffic>) {
        self.on = Some(on.clone());
        if let Some(end) = &mut self.end {
            end.ticket = Some(ticket);
        }
    }

    fn ends(&mut self, status: StatusCode) {
        let Some(End { node, link, place, ticket, .. }) = self.end.take() else { return };
        ticket.into_iter().for_each(|t| t.end(status));
        if status == StatusCode::OK {
            node.put_back(link, &place);
        }
    }
}

/// Its connection is between requests again.
impl Drop for Passing {
    fn drop(&mut self) {
        let on = self.on.take();
        on.iter().for_each(|traffic| traffic.idle_since.set(Some(Instant::now())));
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            self.passed += first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let failure: Failure = loop {
            match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue }; // trailers go no further
                    self.passed += data.len() as u64;
                    if self.passed > LARGEST {
                        break "the answer is too large".into();
                    }
                    self.pause = None;
                    if self.length == Some(self.passed) {
                        self.ends(StatusCode::OK); // hyper asks for no more
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Poll::Ready(None) => {
                    self.ends(StatusCode::OK);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(failure))) => break failure.into(),
                Poll::Pending => {
                    let pause = || Box::pin(sleep_until(Instant::now() + ANSWER_PAUSE));
                    ready!(self.pause.get_or_insert_with(pause).as_mut().poll(context));
                    break "the endpoint has stopped in the middle of its answer".into();
                }
            }
        };
        self.ends(StatusCode::BAD_GATEWAY);
        Poll::Ready(Some(Err(failure)))
    }

    fn is_end_stream(&self) -> bool {
        self.end.is_none() && self.first.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(|l| SizeHint::with_exact(l - self.passed)).unwrap_or_default()
    }
}
