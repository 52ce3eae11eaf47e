//! Fetches of the endpoint list and watches on its changes, each on a connection of its own.

use super::backoff::Backoff;
use super::consumer::ListConsumer;
use super::error::DiscoveryError;
use super::hedged_call::fetch_with_hedging;
use super::list::EndpointList;
use super::list_decoder::{ListDecoder, MAX_LIST_BYTES, Progress};
use super::source::Source;
use crate::policy::DISCOVERY_TIMEOUT;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::error::Error;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The path of the full list; with a query also that of a watch.
const LIST_PATH: &str = "/v1/endpoints";

/// Watches the changes after `known_version` until the watch fails, and reports the failure to the consumer, whose
/// decision module schedules the next call.
pub(super) async fn watch<C: ListConsumer>(
    consumer: C,
    source: Source,
    known_version: Option<u64>,
) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    let WatchEnd { error, .. } = run_watch(&consumer, source, known_version, &mut backoff).await;
    consumer.watch_ended(source);
    consumer.log(format_args!("the watch on discovery ended: {error}"));
    consumer.discovery_failed(source);
}

/// Watches an agent that pushes lists, and reopens the watch with backoff whenever it fails.
///
/// The decision module does not schedule these calls and is not notified of failures. An agent is silent while discovery
/// is down, so time-outs are not logged.
pub(super) async fn watch_agent<C: ListConsumer>(consumer: C, source: Source) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    loop {
        let started_at = Instant::now();
        let known_version = consumer.known_version(source);
        let WatchEnd { error, stage } =
            run_watch(&consumer, source, known_version, &mut backoff).await;
        consumer.watch_ended(source);
        if !matches!(error, DiscoveryError::TimedOut(_)) {
            consumer.log(format_args!(
                "the watch on discovery's agent ended: {error}"
            ));
        }
        let call_duration = match stage {
            WatchStage::Opening => started_at.elapsed(),
            WatchStage::Open => Duration::ZERO,
        };
        sleep(backoff.delay_after(call_duration)).await;
    }
}

/// Fetches the full list once, and reports a failure to the consumer.
pub async fn fetch<C: ListConsumer>(consumer: C, source: Source) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    let received = match fetch_full_list(&consumer, source, &mut backoff).await {
        Ok(list) => consumer
            .list_received(source, list)
            .map_err(DiscoveryError::from),
        Err(error) => Err(error),
    };
    if let Err(error) = received {
        consumer.fetch_failed(source);
        consumer.log(format_args!("the fetch from discovery failed: {error}"));
        consumer.discovery_failed(source);
    }
}

async fn fetch_full_list<C: ListConsumer>(
    consumer: &C,
    source: Source,
    backoff: &mut Backoff,
) -> Result<EndpointList, DiscoveryError> {
    let on_hedge = || consumer.call_hedged(source);
    let body = fetch_with_hedging(source.address, LIST_PATH, backoff, on_hedge).await?;
    let body = Limited::new(body, MAX_LIST_BYTES).collect();
    let body = timeout(DISCOVERY_TIMEOUT, body)
        .await?
        .map_err(limited_body_error)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Converts the error of a [`Limited`] body: its connection broke, or it is too long.
fn limited_body_error(error: Box<dyn Error + Send + Sync>) -> DiscoveryError {
    match error.downcast::<hyper::Error>() {
        Ok(error) => DiscoveryError::Http(*error),
        Err(_) => DiscoveryError::TooLong,
    }
}

/// How a watch ended.
struct WatchEnd {
    error: DiscoveryError,
    stage: WatchStage,
}

/// How far a watch got.
enum WatchStage {
    /// The request was not answered with a watch.
    Opening,
    /// The watch was open.
    Open,
}

/// Opens a watch and receives its events until it fails.
async fn run_watch<C: ListConsumer>(
    consumer: &C,
    source: Source,
    known_version: Option<u64>,
    backoff: &mut Backoff,
) -> WatchEnd {
    let body = match open_watch(consumer, source, known_version, backoff).await {
        Ok(body) => body,
        Err(error) => {
            return WatchEnd {
                error,
                stage: WatchStage::Opening,
            };
        }
    };
    backoff.reset();
    let Err(error) = receive_events(consumer, source, body).await;
    WatchEnd {
        error,
        stage: WatchStage::Open,
    }
}

/// Opens a watch on the changes after `known_version`.
///
/// Without a known version the full list is fetched first: a watch from version 0 may contain only the changes that this
/// discovery still remembers.
async fn open_watch<C: ListConsumer>(
    consumer: &C,
    source: Source,
    known_version: Option<u64>,
    backoff: &mut Backoff,
) -> Result<Incoming, DiscoveryError> {
    let version = match known_version {
        Some(version) => version,
        None => {
            let list = fetch_full_list(consumer, source, backoff).await?;
            let version = list.index;
            consumer.list_received(source, list)?;
            version
        }
    };
    let path = format!("{LIST_PATH}?follow=1&since={version}");
    let on_hedge = || consumer.call_hedged(source);
    let body = fetch_with_hedging(source.address, &path, backoff, on_hedge).await?;
    consumer.watch_opened(source);
    Ok(body)
}

/// Receives the events of a watch until it fails, ends or is silent for [`DISCOVERY_TIMEOUT`].
///
/// Heartbeats count as silence while a list is incomplete, because its rest may never come.
async fn receive_events<C: ListConsumer>(
    consumer: &C,
    source: Source,
    mut body: Incoming,
) -> Result<Infallible, DiscoveryError> {
    let mut decoder = ListDecoder::default();
    let mut silent_since = Instant::now();
    while let Some(frame) = timeout_at(silent_since + DISCOVERY_TIMEOUT, body.frame()).await? {
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        let progress = decoder.decode(&chunk, |list| consumer.list_received(source, list))?;
        if progress == Progress::Alive {
            silent_since = Instant::now();
        }
    }
    Err(DiscoveryError::Closed)
}
