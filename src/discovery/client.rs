//! Calls of discovery and watches on it, each on a connection of its own.

use super::backoff::Backoff;
use super::consumer::ListConsumer;
use super::error::DiscoveryError;
use super::hedged_call;
use super::list::EndpointList;
use super::source::Source;
use crate::policy::DISCOVERY_TIMEOUT;
use bytes::{Buf, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::error::Error;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The longest list or change of it that is taken, in bytes. The largest fleets need a fiftieth of it.
const MAX_LIST_BYTES: usize = 4 << 20;
/// The path of the whole list.
const LIST_PATH: &str = "/v1/endpoints";

/// Follows the changes after version `since` until the watch fails, which the consumer is then told: when to ask
/// again is the decision module's business.
pub async fn watch<C: ListConsumer>(consumer: C, source: Source, since: Option<u64>) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    let Lost { failure, .. } = follow(&consumer, source, since, &mut backoff).await;
    consumer.watch_ended(source, &failure);
    consumer.log(format_args!("the watch on discovery ended: {failure}"));
    consumer.discovery_failed(source);
}

/// Follows an agent that pushes lists, without end. Nobody else decides there when it is called again. It says nothing
/// while discovery is down, so that is not told to the consumer.
pub async fn watch_agent<C: ListConsumer>(consumer: C, source: Source) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    loop {
        let begun = Instant::now();
        let since = consumer.known_version(source);
        let Lost { failure, was_open } = follow(&consumer, source, since, &mut backoff).await;
        consumer.watch_ended(source, &failure);
        if !matches!(failure, DiscoveryError::TimedOut(_)) {
            consumer.log(format_args!(
                "the watch on discovery's agent ended: {failure}"
            ));
        }
        let took = if was_open {
            Duration::ZERO
        } else {
            begun.elapsed()
        };
        sleep(backoff.delay_after(took)).await;
    }
}

/// Asks for the whole list once.
pub async fn fetch<C: ListConsumer>(consumer: C, source: Source) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    let received = match fetch_full_list(&consumer, source, &mut backoff).await {
        Ok(list) => consumer
            .list_received(source, list)
            .map_err(DiscoveryError::from),
        Err(failure) => Err(failure),
    };
    if let Err(failure) = received {
        consumer.fetch_failed(source, &failure);
        consumer.log(format_args!("discovery gave no list: {failure}"));
        consumer.discovery_failed(source);
    }
}

async fn fetch_full_list<C: ListConsumer>(
    consumer: &C,
    source: Source,
    backoff: &mut Backoff,
) -> Result<EndpointList, DiscoveryError> {
    let body = hedged_call::fetch_with_hedging(source.address, LIST_PATH, backoff, || {
        consumer.call_hedged(source);
    })
    .await?;
    let body = timeout(
        DISCOVERY_TIMEOUT,
        Limited::new(body, MAX_LIST_BYTES).collect(),
    )
    .await?;
    let body = body.map_err(limited_body_error)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// What went wrong with a body of limited length: its connection broke, or it is too long.
fn limited_body_error(failure: Box<dyn Error + Send + Sync>) -> DiscoveryError {
    match failure.downcast::<hyper::Error>() {
        Ok(broken) => DiscoveryError::Http(*broken),
        Err(_) => DiscoveryError::TooLong,
    }
}

/// How following discovery ended.
struct Lost {
    failure: DiscoveryError,
    /// A watch was open before.
    was_open: bool,
}

async fn follow<C: ListConsumer>(
    consumer: &C,
    source: Source,
    since: Option<u64>,
    backoff: &mut Backoff,
) -> Lost {
    match open_watch(consumer, source, since, backoff).await {
        Ok(body) => {
            backoff.reset();
            let failure = read_watch(consumer, source, body)
                .await
                .err()
                .unwrap_or(DiscoveryError::Closed);
            Lost {
                failure,
                was_open: true,
            }
        }
        Err(failure) => Lost {
            failure,
            was_open: false,
        },
    }
}

/// Without a version to go on from it asks for the whole list first: a watch from version 0 may hold just the
/// changes that this discovery still remembers.
async fn open_watch<C: ListConsumer>(
    consumer: &C,
    source: Source,
    since: Option<u64>,
    backoff: &mut Backoff,
) -> Result<Incoming, DiscoveryError> {
    let since = match since {
        Some(since) => since,
        None => {
            let list = fetch_full_list(consumer, source, backoff).await?;
            let since = list.index;
            consumer.list_received(source, list)?;
            since
        }
    };
    let path = format!("{LIST_PATH}?follow=1&since={since}");
    let body = hedged_call::fetch_with_hedging(source.address, &path, backoff, || {
        consumer.call_hedged(source);
    })
    .await?;
    consumer.watch_opened(source);
    Ok(body)
}

/// Reads a watch's lists until it ends.
async fn read_watch<C: ListConsumer>(
    consumer: &C,
    source: Source,
    mut body: Incoming,
) -> Result<(), DiscoveryError> {
    let mut unread = BytesMut::new();
    // Beats do not put it off while half a list is unread, whose rest may never come.
    let mut silent_from = Instant::now();
    while let Some(frame) = timeout_at(silent_from + DISCOVERY_TIMEOUT, body.frame()).await? {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        unread.extend_from_slice(&data);
        // Whole objects are read as they come, whichever way they are broken into lines and pieces.
        let mut lists = serde_json::Deserializer::from_slice(&unread).into_iter::<EndpointList>();
        let mut read = 0;
        while let Some(list) = data.contains(&b'}').then(|| lists.next()).flatten() {
            match list {
                Err(e) if e.is_eof() => break,
                list => consumer.list_received(source, list?)?,
            }
            read = lists.byte_offset();
        }
        unread.advance(read);
        if unread.iter().all(u8::is_ascii_whitespace) {
            unread.clear();
        }
        if read > 0 || unread.is_empty() {
            silent_from = Instant::now();
        }
        if unread.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::TooLong);
        }
    }
    Ok(())
}
