//! Callers: their connections, what they ask, and the one answer that each request gets.

use crate::bodies::{self, Passing, Spoilt};
use crate::counters::Ticket;
use crate::descriptors::{Permit, Side};
use crate::endpoints::{DEADLINE, Forward, end_to_end};
use crate::inbound::{Fault, Inbound, Traffic, left};
use crate::node::{Answer, FAR_OFF, Handle, Node, NotTaken, Terms};
use crate::sockets;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use passproxy::api::{self, ClassId, Effect, Key, Moment, RequestId, Settings, TenantId};
use std::collections::HashMap;
use std::convert::Infallible;
use std::error::Error;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::sync::{Notify, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Pause after an accept that failed, as it does while the process is out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// From a connection's start to its first head, and from a head's first byte to its last.
const HEAD_TIME: Duration = Duration::from_millis(2_100);
/// A connection may stand so long between requests before it is closed, and so long before it makes room for others.
const IDLE_TIME: Duration = Duration::from_secs(15);
const SPARED_IDLE: Duration = Duration::from_secs(2);
/// The first request of a new connection is on its way for so long at the most.
const FRESH: Duration = Duration::from_millis(300);
/// A slow caller sends a piece of its head more often than that; others send half of one and no more.
const SILENT: Duration = Duration::from_millis(700);
/// A caller may leave what has been written to it unread for so long. What the kernel holds of it takes a slow one
/// many seconds, in which no more can be written.
const UNREAD_TIME: Duration = Duration::from_secs(60);
/// The front asks ten times a second whether to send callers here, and sends some for 0.2 s after a no.
const STILL_SENT: Duration = Duration::from_millis(600);
/// Then callers have so long to come back once more, and be told that their connection closes. 4 s after a drain began
/// none may be kept, and none have a request of the 2 s before that.
const LEAVING: Duration = Duration::from_millis(1_000);
/// A connection that ended with an early answer is read on for so long, unless its descriptor is needed: closed with bytes
/// unread, it would be reset, and the answer lost with it.
const LINGER: Duration = Duration::from_secs(1);
/// What hyper may have of a caller's unread: a head, and a piece of a body.
const READ_BUFFER: usize = 32 << 10;
/// The longest id or key, in bytes.
const LONGEST_ID: usize = 256;

type Reply = Response<ReplyBody>;

/// The body of what a caller is answered.
enum ReplyBody {
    Whole(Full<Bytes>),
    Passing(Box<Passing>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            ReplyBody::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            ReplyBody::Passing(body) => Pin::new(&mut **body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(body) => body.is_end_stream(),
            ReplyBody::Passing(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(body) => body.size_hint(),
            ReplyBody::Passing(body) => body.size_hint(),
        }
    }
}

/// The callers' connections.
#[derive(Default)]
pub struct Callers {
    connections: HashMap<u64, Caller>,
    next: u64,
    /// The sidecar stops: each connection closes once it is between requests.
    stopping: bool,
    gone: Rc<Notify>,
    /// Another process lets callers in: each connection here closes with its next answer.
    gone_over: watch::Sender<bool>,
    /// The operators have the sidecar emptied, and how far that is.
    drain: Option<Drain>,
}

/// How far a drain is. From its start on the front is told not to send anyone here.
#[derive(Clone, Copy, PartialEq)]
enum Drain {
    /// The front has to ask first, and callers still come: all as ever.
    Begun,
    /// Each connection closes with its next answer.
    Leaving,
    /// None is kept.
    Empty,
}

struct Caller {
    traffic: Rc<Traffic>,
    /// It was asked to make room, once.
    leaving: bool,
    close: Rc<Notify>,
}

impl Callers {
    /// Asks one connection to make room: the oldest that has never asked anything, else one that has been idle for over
    /// 2 s, else one that has fallen silent in the middle of a head, else any that is idle, and only then one whose
    /// request may be on the way; of each kind the one of which nothing was heard longest. False where all have
    /// requests open.
    pub fn make_room(&mut self) -> bool {
        let now = Instant::now();
        let rank = |c: &Caller| {
            let since = c.traffic.idle_since.get().filter(|_| !c.leaving)?;
            match (c.traffic.head_since.get(), c.traffic.asked.get()) {
                (None, false) if now >= since + FRESH => Some((0, since)),
                (None, true) if now >= since + SPARED_IDLE => Some((1, since)),
                (Some(_), _) if now >= c.traffic.heard.get() + SILENT => Some((2, c.traffic.heard.get())),
                (None, true) => Some((3, since)), // better than to turn a caller away
                (Some(_), _) | (None, false) => Some((4, c.traffic.heard.get())),
            }
        };
        let first = self.connections.iter().filter_map(|(n, c)| Some((rank(c)?, *n))).min();
        first.and_then(|(_, n)| self.connections.get_mut(&n)).is_some_and(|caller| {
            caller.leaving = true;
            caller.traffic.closed_idle.set(true);
            caller.close.notify_one();
            true
        })
    }

    /// From now on connections close between requests.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.connections.values().for_each(|c| c.close.notify_one());
    }

    /// The front is to send nobody here; the steps that follow are [`drain`]'s.
    pub fn begin_drain(&mut self) {
        self.drain = Some(Drain::Begun);
    }

    /// All is as before the drain.
    pub fn end_drain(&mut self) {
        self.drain = None;
    }

    pub fn are_drained(&self) -> bool {
        self.drain.is_some()
    }

    /// From now on another process lets callers in.
    pub fn go_over(&mut self) {
        self.gone_over.send_replace(true);
    }

    /// That process is gone, or about to; true where callers are let in here again.
    pub fn come_back(&mut self) -> bool {
        self.gone_over.send_replace(false) && !self.stopping
    }

    /// Whether another process lets callers in.
    pub fn are_let_in_elsewhere(&self) -> bool {
        *self.gone_over.borrow()
    }

    /// Whether a connection closes with its answer, so that its caller comes again elsewhere.
    fn are_sent_away(&self) -> bool {
        self.are_let_in_elsewhere() || matches!(self.drain, Some(Drain::Leaving | Drain::Empty))
    }

    pub fn are_stopped(&self) -> bool {
        self.stopping
    }

    pub fn are_gone(&self) -> bool {
        self.connections.is_empty()
    }

    /// Tells, once stopping, that the last connection has closed; all that was taken is answered then.
    pub fn gone(&self) -> Rc<Notify> {
        self.gone.clone()
    }
}

/// Empties the sidecar of callers, in steps, for as long as it is polled: those that the front still sends are served
/// as ever, then each connection closes with its next answer, and at last those that nobody uses.
pub async fn drain(node: Handle) {
    sleep(STILL_SENT).await;
    node.borrow().callers.drain = Some(Drain::Leaving);
    sleep(LEAVING).await;
    let callers = &mut node.borrow().callers;
    callers.drain = Some(Drain::Empty);
    callers.connections.values().for_each(|c| c.close.notify_one());
}

/// Accepts connections for as long as it is polled, unless another process does. Never waits for anything else: what
/// stands in the kernel's backlog counts as taken. Others get their turn after each, above all those that were asked to
/// make room.
pub async fn accept(node: Handle, listener: &TcpListener) {
    let mut gone_over = node.borrow().callers.gone_over.subscribe();
    loop {
        if *gone_over.borrow_and_update() {
            if gone_over.changed().await.is_err() {
                return;
            }
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = gone_over.changed() => continue,
        };
        match accepted {
            Ok((stream, _)) => start(&node, stream),
            Err(failure) => {
                log!("a connection could not be accepted: {failure}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
        yield_now().await;
    }
}

/// Lets in what waits in the kernel's backlog, and closes the listener: with a connection there it would be reset, and a
/// request that has come on it lost. The socket is asked, as the runtime hears of it later.
pub fn accept_last(node: &Handle, listener: std::net::TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            start(node, stream);
        }
    }
}

fn start(node: &Handle, stream: TcpStream) {
    let mut guard = node.borrow();
    let Node { callers, pool, .. } = &mut *guard;
    let spent = pool.descriptors.callers_have_theirs();
    let made_room = spent && ((pool.descriptors.are_spent() && pool.close_oldest()) || callers.make_room());
    if spent && !made_room && pool.descriptors.are_overdrawn() {
        return; // closed unread: nothing of it was taken, and the descriptors left are for what was
    }
    let permit = pool.descriptors.permit(Side::Callers);
    let number = callers.next;
    let (close, traffic) = (Rc::new(Notify::new()), Traffic::new());
    let caller = Caller { traffic: traffic.clone(), leaving: false, close: close.clone() };
    callers.connections.insert(number, caller);
    callers.next += 1;
    let turned_away = spent && !made_room;
    let once = callers.stopping || turned_away || callers.drain == Some(Drain::Empty);
    drop(guard);
    let connection = Connection { node: node.clone(), number, traffic, turned_away, _permit: permit };
    spawn_local(connection.serve(stream, close, once));
}

struct Connection {
    node: Handle,
    number: u64,
    traffic: Rc<Traffic>,
    /// There are no descriptors for it: whatever it asks is refused.
    turned_away: bool,
    _permit: Permit,
}

impl Connection {
    async fn serve(self, stream: TcpStream, close: Rc<Notify>, once: bool) {
        let _ = stream.set_nodelay(true); // slower without, no worse
        let traffic = &*self.traffic;
        let service = service_fn(async |request| {
            traffic.idle_since.set(None);
            let begun = traffic.head_since.take().unwrap_or_else(Instant::now);
            let mut reply = self.answer(request, begun).await;
            traffic.answered();
            if traffic.last.get() || self.node.borrow().callers.are_sent_away() {
                reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            if let ReplyBody::Whole(_) = reply.body() {
                traffic.idle_since.set(Some(Instant::now()));
            }
            Ok::<Reply, Infallible>(reply)
        });
        let stream = Rc::new(stream);
        let inbound = Inbound::new(stream.clone(), self.traffic.clone());
        let mut builder = http1::Builder::new();
        builder.keep_alive(!once).max_buf_size(READ_BUFFER);
        {
            let mut connection = pin!(builder.serve_connection(TokioIo::new(inbound), service));
            let mut time = pin!(sleep_until(traffic.opened + HEAD_TIME));
            let mut left = pin!(left(&stream, traffic));
            loop {
                tokio::select! {
                    // What has been read goes first: a request that has come is no longer between requests.
                    biased;
                    // A caller that breaks its connection off is no news beyond what its request makes of it.
                    _ = connection.as_mut() => break,
                    () = left.as_mut() => {
                        traffic.ended.set(true);
                        break;
                    }
                    () = close.notified() => match traffic.head_since.get() {
                        // One that was just let in has not been read yet, or its request is on its way; what has
                        // come on it counts as taken.
                        None if !traffic.closed_idle.get()
                            && (traffic.is_fresh(FRESH) || sockets::has_unread(&stream)) =>
                        {
                            traffic.last.set(true);
                        }
                        None => connection.as_mut().graceful_shutdown(),
                        Some(_) if traffic.closed_idle.get() => break,
                        // Its request is on the way, and is answered.
                        Some(_) => traffic.last.set(true),
                    },
                    () = poll_fn(|context| {
                        let due = traffic.due(HEAD_TIME, FRESH, IDLE_TIME, UNREAD_TIME);
                        let Some(due) = due else { return Poll::Pending };
                        if time.deadline() != due {
                            time.as_mut().reset(due);
                        }
                        time.as_mut().poll(context)
                    }) => match traffic.head_since.get() {
                        _ if traffic.unread_since.get().is_some() => break,
                        Some(_) => traffic.fault.set(Some(Fault::TooSlow)),
                        None => {
                            traffic.closed_idle.set(true);
                            connection.as_mut().graceful_shutdown();
                        }
                    },
                }
            }
        }
        if !traffic.ended.get() && !traffic.closed_idle.get() {
            let _ = sockets::end(&stream); // the answer ends, also for one who reads to the end
            let mut unread = vec![0; 16 << 10];
            let mut drain = async || loop {
                let mut unread = ReadBuf::new(&mut unread);
                let read = poll_fn(|context| sockets::poll_read(&stream, context, &mut unread)).await;
                if read.is_err() || unread.filled().is_empty() {
                    break;
                }
            };
            // A stop lets it read on, one that needs its descriptor does not.
            let makes_room = async {
                while !traffic.closed_idle.get() {
                    close.notified().await;
                }
            };
            tokio::select! {
                _ = timeout(LINGER, drain()) => {}
                () = makes_room => {}
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>, begun: Instant) -> Reply {
        if let Some(fault) = self.traffic.fault.get() {
            return Wrong::from(fault).reply();
        }
        match (request.uri().path(), request.method()) {
            ("/ready", &Method::GET | &Method::HEAD) => {
                let ready = self.node.borrow().takes_callers();
                plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
            }
            ("/ready", _) => Wrong::method("GET, HEAD").reply(),
            ("/api", &Method::GET | &Method::POST) if self.turned_away => {
                let class = request.headers().get("x-class").and_then(|v| v.to_str().ok());
                let reply = self.turn_away();
                let mut node = self.node.borrow();
                let known = class
                    .filter(|c| node.terms.settings.classes.iter().any(|k| k.name == **c))
                    .map(String::from);
                known.iter().for_each(|c| node.figures.begin(c).end(reply.status()));
                reply
            }
            ("/api", &Method::GET | &Method::POST) => {
                self.call(request, begun).await.unwrap_or_else(|wrong| {
                    // With a body that was not read to its end the next request's start is not known.
                    self.traffic.last.set(self.traffic.last.get() || wrong.early);
                    wrong.reply()
                })
            }
            ("/api", _) => Wrong::method("GET, POST").reply(),
            _ => plain(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn turn_away(&self) -> Reply {
        let mut node = self.node.borrow();
        node.counters.turned_away += 1;
        refused(node.retry_after())
    }

    /// A request for an endpoint.
    async fn call(&self, request: Request<Incoming>, begun: Instant) -> Result<Reply, Wrong> {
        let mut ticket = None;
        let mut answer = self.forward(request, begun, &mut ticket).await;
        let passing = answer.as_mut().ok().and_then(|a| match a.body_mut() {
            ReplyBody::Passing(passing) => Some(passing),
            ReplyBody::Whole(_) => None,
        });
        match (ticket, passing) {
            (Some(ticket), Some(passing)) => passing.counts(ticket, &self.traffic),
            (Some(ticket), None) => {
                ticket.end(answer.as_ref().map_or_else(|wrong| wrong.status, Response::status));
            }
            (None, _) => {}
        }
        answer
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        begun: Instant,
        ticket: &mut Option<Ticket>,
    ) -> Result<Reply, Wrong> {
        let (clock, (terms, before), rooms) = {
            let node = self.node.borrow();
            (node.clock, node.terms_for(begun), node.bodies.clone())
        };
        let asked = clock.now();
        let (head, body) = request.into_parts();
        let early = !body.is_end_stream();
        let chunked = self.traffic.last.get();
        let asked_of = |terms: Rc<Terms>| {
            asks(&head.method, &head.headers, &terms.settings, asked).map(|request| (terms, request))
        };
        // Sent before a reload, it may be a request of the settings before alone.
        let (terms, mut request) = asked_of(terms)
            .or_else(|wrong| before.and_then(|terms| asked_of(terms).ok()).ok_or(wrong))
            .map_err(|w| Wrong { early, ..w })?;
        let settings = &terms.settings;
        let class = &settings.classes[request.class.0];
        request.class = terms.classes[request.class.0];
        let ticket = {
            let mut node = self.node.borrow();
            ticket.insert(node.figures.begin(&class.name))
        };
        // As much as it declares, or as much as may be kept.
        let most = body.size_hint().exact().map_or(bodies::KEPT, |n| n.min(bodies::KEPT as u64) as usize);
        let Some(room) = rooms.take(most) else {
            self.traffic.last.set(true);
            return Ok(self.turn_away());
        };
        let time_left = request.deadline.since(asked);
        let bodies::Read { kept, upload } = bodies::read(body, begun).await.map_err(Wrong::from)?;
        if upload.is_none() {
            ticket.is_whole();
        }
        // The time of a request counts from its last byte.
        let last_answer = self.node.borrow().last_answer;
        request.deadline = clock.now() + time_left;
        request.deadline = last_answer.map_or(request.deadline, |last| request.deadline.min(last));
        let deadline = clock.instant(request.deadline);
        let path = head.uri.into_parts().path_and_query;
        let forward = Forward {
            method: head.method,
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/api")),
            headers: end_to_end(&head.headers),
            body: kept,
            upload: upload.clone(),
            repeatable: class.effect != Effect::Unsafe,
            _room: room,
        };
        let slack = settings.rules.answer_slack;
        let id = request.id.clone();
        let answer = match self.node.take(request, forward) {
            Ok(answer) => answer,
            Err(NotTaken::TooMany) => return Ok(self.turn_away()),
            Err(NotTaken::Repeated) => {
                let text = "a request with this id is open";
                return Err(Wrong { early: false, ..Wrong::new(StatusCode::CONFLICT, text) });
            }
        };
        let mut owed = Owed { node: &self.node, id, answer };
        let answer = &mut owed.answer;
        let answer = match upload {
            None => timeout_at(deadline + slack, answer).await.ok(),
            Some(upload) => {
                // Answered before it has come whole, the connection ends with the answer.
                self.traffic.last.set(true);
                let answer = pin!(upload.within(time_left + slack, answer));
                let ended = async {
                    if let Err(spoilt) = upload.end().await {
                        return spoilt;
                    }
                    self.traffic.last.set(chunked);
                    ticket.is_whole();
                    std::future::pending().await
                };
                let answer = tokio::select! {
                    biased;
                    spoilt = ended => return Err(spoilt.into()),
                    answer = answer => answer,
                };
                ticket.is_whole();
                answer
            }
        };
        Ok(match answer {
            Some(Ok(answer)) => reply(answer),
            Some(Err(_)) | None => {
                self.node.overdue(&owed.id);
                plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let callers = &mut self.node.borrow().callers;
        callers.connections.remove(&self.number);
        if callers.stopping && callers.connections.is_empty() {
            callers.gone.notify_one();
        }
    }
}

/// A request that waits for its answer. Its connection's end drops it, which is how a client goes. Once it has its
/// answer it is over, and its id may be another request's.
struct Owed<'a> {
    node: &'a Handle,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if self.answer.try_recv().is_err_and(|e| e == TryRecvError::Empty) {
            self.node.client_gone(&self.id);
        }
    }
}

// ---- What is asked ---------------------------------------------------------------------------------------

/// Why a request is not taken, in words for whoever wrote the caller.
struct Wrong {
    status: StatusCode,
    text: &'static str,
    allowed: Option<&'static str>,
    /// Its body was not read to the end.
    early: bool,
}

impl From<Fault> for Wrong {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Lengths => Wrong::new(StatusCode::BAD_REQUEST, "the body's length is not clear"),
            Fault::TooLong => {
                Wrong::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is over 16 KiB")
            }
            Fault::TooSlow => Wrong::new(StatusCode::REQUEST_TIMEOUT, "the head did not come in time"),
        }
    }
}

impl From<Spoilt> for Wrong {
    fn from(spoilt: Spoilt) -> Self {
        match spoilt {
            Spoilt::TooLarge => Wrong::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 40 MiB"),
            Spoilt::NotWhole => Wrong::new(StatusCode::BAD_REQUEST, "the body is not whole"),
            Spoilt::TooSlow => Wrong::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        }
    }
}

impl Wrong {
    fn new(status: StatusCode, text: &'static str) -> Self {
        Wrong { status, text, allowed: None, early: true }
    }

    fn method(allowed: &'static str) -> Self {
        Wrong { allowed: Some(allowed), ..Wrong::new(StatusCode::METHOD_NOT_ALLOWED, "wrong method") }
    }

    fn reply(self) -> Reply {
        let mut reply = plain(self.status, self.text);
        if let Some(allowed) = self.allowed {
            reply.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        reply
    }
}

/// The request in the decision module's form, or what is wrong with it.
fn asks(
    method: &Method,
    headers: &HeaderMap,
    settings: &Settings,
    now: Moment,
) -> Result<api::Request, Wrong> {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let bad = |what| Wrong::new(StatusCode::BAD_REQUEST, what);
    let id =
        text("x-request-id").filter(|id| !id.is_empty()).ok_or_else(|| bad("X-Request-Id is missing"))?;
    // Ids and keys are kept, and go on: no longer than any honest one.
    let kept = ["x-request-id", "idempotency-key"].map(|name| headers.get_all(name).iter());
    if kept.into_iter().flatten().any(|v| v.len() > LONGEST_ID) {
        return Err(bad("X-Request-Id or Idempotency-Key is over 256 bytes"));
    }
    if headers.get_all("x-request-id").iter().count() > 1 {
        return Err(bad("X-Request-Id is there twice"));
    }
    let name = text("x-class").ok_or_else(|| bad("X-Class is missing"))?;
    let class =
        settings.classes.iter().position(|c| c.name == name).ok_or_else(|| bad("X-Class is not known"))?;
    let effect = settings.classes[class].effect;
    let due = if effect == Effect::Safe { "GET" } else { "POST" };
    if method.as_str() != due {
        return Err(Wrong::method(due));
    }
    if matches!(effect, Effect::Keyed { .. }) && !headers.contains_key("idempotency-key") {
        return Err(bad("Idempotency-Key is missing"));
    }
    let tenant = match text("x-tenant") {
        _ if settings.tenants.is_empty() => None,
        Some(name) => settings.tenants.iter().position(|t| t.name == name).map(TenantId),
        None => None,
    };
    if tenant.is_none() && !settings.tenants.is_empty() {
        return Err(bad("X-Tenant is not known"));
    }
    let left = text(DEADLINE.as_str()).and_then(|v| v.trim().parse().ok()).filter(|s: &f64| s.is_finite());
    let left = left.and_then(|s| Duration::try_from_secs_f64(s.min(FAR_OFF.as_secs_f64())).ok());
    let time_left = left.ok_or_else(|| bad("X-Deadline is not a number of seconds"))?;
    // No client waits longer than its class allows over all its tries.
    let time_left = time_left.min(settings.classes[class].deadline);
    let hint = text("x-cost-hint").and_then(|v| v.trim().parse().ok());
    Ok(api::Request {
        id: RequestId::from(id),
        class: ClassId(class),
        tenant,
        key: headers.get_all(header::COOKIE).iter().find_map(subject),
        deadline: now + time_left,
        cost_hint: hint.filter(|us| *us > 0).map(Duration::from_micros),
        client_retry: text("x-retry") == Some("1"),
        write: effect != Effect::Safe,
    })
}

/// The cookie `sid`: what the request is about.
fn subject(cookies: &HeaderValue) -> Option<Key> {
    let mut cookies = cookies.to_str().ok()?.split(';');
    let sid = cookies.find_map(|c| c.trim().strip_prefix("sid="));
    sid.filter(|sid| !sid.is_empty() && sid.len() <= LONGEST_ID).map(Key::from)
}

// ---- What is answered ------------------------------------------------------------------------------------

fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Served(answered) => {
            let mut reply = Response::new(match answered.body {
                bodies::Answered::Whole(body) => ReplyBody::Whole(Full::new(body)),
                bodies::Answered::Passing(body) => ReplyBody::Passing(body),
            });
            *reply.headers_mut() = answered.headers;
            reply
        }
        Answer::Refused { retry_after } => refused(retry_after),
        Answer::Failed { timed_out: true } => {
            plain(StatusCode::GATEWAY_TIMEOUT, "no endpoint answered in time")
        }
        Answer::Failed { timed_out: false } => plain(StatusCode::BAD_GATEWAY, "no endpoint served it"),
    }
}

/// Says that trying again is harmless, and when.
fn refused(retry_after: Option<Duration>) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused; trying again is harmless");
    let seconds = retry_after.map(|after| HeaderValue::from_str(&after.as_secs_f64().to_string()));
    if let Some(Ok(seconds)) = seconds {
        reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    reply
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(Full::new(Bytes::from_static(text.as_bytes()))));
    *reply.status_mut() = status;
    reply
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::Config;
    use tokio::task::LocalSet;

    fn request(node: &Handle) -> Owed<'_> {
        let now = node.borrow().clock.now();
        let room = node.borrow().bodies.take(0).expect("there is room");
        let headers = [("x-request-id", "r"), ("x-class", "c"), ("x-deadline", "9")];
        let names = headers.map(|(n, v)| (header::HeaderName::from_static(n), HeaderValue::from_static(v)));
        let headers = HeaderMap::from_iter(names);
        let settings = node.borrow().terms.settings.clone();
        let request = asks(&Method::GET, &headers, &settings, now).unwrap_or_else(|w| panic!("{}", w.text));
        let (path, body) = (PathAndQuery::from_static("/api"), Bytes::new());
        let forward =
            Forward { method: Method::GET, path, headers, body, upload: None, repeatable: true, _room: room };
        let id = request.id.clone();
        let answer = node.take(request, forward).unwrap_or_else(|_| panic!("it is taken"));
        Owed { node, id, answer }
    }

    /// Guards a request against the end of an earlier one's connection, where both have one id and the earlier one was
    /// answered, but its client has not been given that yet. No order of bytes on sockets brings this about for sure.
    #[test]
    fn an_answered_request_that_is_dropped_leaves_the_next_with_its_id_alone() {
        let config = serde_json::json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
            "limits": {"sockets": 256, "memory_mb": 32},
            "settings": {
                "zone": "a", "dcs": ["a"], "stages": ["one"], "tier": 0, "balancers": 1, "myNumber": 0,
                "discovery": "automatic", "granularityNs": 1, "weightSource": "off", "worthBy": "request",
                "overShareWorth": 0.1, "customers": [], "fees": {}, "report": {"fields": [], "how": "off"},
                "bounds": {"cancel": true, "connIdleNs": 1, "connectTimeoutNs": 1, "maxOpen": 9, "maxRetryAfterNs": 1,
                    "maxStreams": 1, "mayTell": false, "parallelTries": true, "probes": false, "retryAfter": true,
                    "sendCap": 1},
                "rules": {"answerSlackNs": 1, "askWithinNs": 1, "coldFrom": 0.5, "drainGraceNs": 1, "fallMultiple": 2.0,
                    "fallNs": 1, "warmWithinNs": 1},
                "categories": [{"name": "c", "effect": "free", "keyScope": "all", "memorySpanNs": 1, "worth": 1.0,
                    "objectiveNs": 9_000_000_000u64, "hardLimitNs": 9_000_000_000u64, "lateShare": 0.0,
                    "stream": false}],
            },
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let config = Config::parse(&config.to_string()).expect("a configuration");
            let node = Handle::start(config, None, false).unwrap_or_else(|e| panic!("{e}"));
            let first = request(&node);
            node.borrow().answer(&first.id, Answer::Failed { timed_out: false });
            let mut second = request(&node);
            drop(first);
            assert_eq!(second.answer.try_recv().err(), Some(TryRecvError::Empty), "it is still owed");
            assert_eq!(node.borrow().counters.gone, 0);
            drop(second);
            assert_eq!(node.borrow().counters.gone, 1);
        });
    }
}
