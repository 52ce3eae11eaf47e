//! Fetches the endpoint list and watches its changes, each call on a connection of its own.

use super::backoff::Backoff;
use super::consumer::ListConsumer;
use super::error::{DiscoveryError, DiscoveryFailure};
use super::hedged_call::call_with_hedging;
use super::list::EndpointList;
use super::list_decoder::{ChunkContent, ListDecoder, MAX_LIST_BYTES};
use super::source::Source;
use crate::policy::DISCOVERY_TIMEOUT;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::fmt;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The path of the full list. With a query it is the path of a watch.
const LIST_PATH: &str = "/v1/endpoints";

/// Watches the changes after `known_version` until the watch fails, and reports the failure to the consumer. The
/// consumer's balancer schedules the next call.
pub(super) async fn watch<C: ListConsumer>(
    consumer: C,
    source: Source,
    known_version: Option<u64>,
) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    let end = run_watch(&consumer, source, known_version, &mut backoff).await;
    consumer.watch_ended(source, end.last_received_at());
    consumer.log(format_args!("the watch on discovery ended: {end}"));
    consumer.discovery_failed(source, end.failure());
}

/// Watches an agent that pushes lists, and reopens the watch with backoff whenever it fails.
///
/// The balancer neither schedules these calls nor is notified of failures. Timeouts are not logged, because an agent
/// is silent while discovery is down.
pub(super) async fn watch_agent<C: ListConsumer>(consumer: C, source: Source) {
    let mut backoff = Backoff::new(consumer.jitter_seed());
    loop {
        let known_version = consumer.known_version(source);
        let end = run_watch(&consumer, source, known_version, &mut backoff).await;
        consumer.watch_ended(source, end.last_received_at());
        if !matches!(end.error, DiscoveryError::TimedOut(_)) {
            consumer.log(format_args!("the watch on discovery's agent ended: {end}"));
        }
        let call_duration = match end.stage {
            WatchStage::Opening { elapsed, .. } => elapsed,
            WatchStage::Open { .. } => Duration::ZERO,
        };
        sleep(backoff.delay_after(call_duration)).await;
    }
}

/// The maximum time to receive one list. A list that takes longer is abandoned, because a new call returns a newer one.
const MAX_LIST_TRANSFER_TIME: Duration = Duration::from_secs(30);

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
        consumer.discovery_failed(source, error.call_failure());
    }
}

async fn fetch_full_list<C: ListConsumer>(
    consumer: &C,
    source: Source,
    backoff: &mut Backoff,
) -> Result<EndpointList, DiscoveryError> {
    let on_hedge = |is_reached| consumer.call_hedged(source, is_reached);
    let body = call_with_hedging(source.address, LIST_PATH, backoff, on_hedge).await?;
    let body = timeout(MAX_LIST_TRANSFER_TIME, collect_list(body)).await??;
    Ok(serde_json::from_slice(&body)?)
}

/// Receives the body of a full list. Fails if nothing arrives for [`DISCOVERY_TIMEOUT`] or if the list is too long.
async fn collect_list(mut body: Incoming) -> Result<BytesMut, DiscoveryError> {
    let mut list = BytesMut::new();
    while let Some(frame) = timeout(DISCOVERY_TIMEOUT, body.frame()).await? {
        if let Ok(chunk) = frame?.into_data() {
            list.extend_from_slice(&chunk);
        }
        if list.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::TooLong);
        }
    }
    Ok(list)
}

/// The cause of the end of a watch, and the stage that the watch had reached.
struct WatchEnd {
    error: DiscoveryError,
    stage: WatchStage,
}

/// The stage that a watch had reached when it ended.
enum WatchStage {
    /// The watch had not been opened.
    Opening {
        /// The version from which the watch was to resume, or `None` if the full list had to be fetched first.
        since: Option<u64>,
        /// The time from the first call to the failure.
        elapsed: Duration,
    },
    /// The watch had been opened.
    Open {
        /// The time for which the watch was open.
        duration: Duration,
        /// The number of lists received on the watch.
        list_count: u64,
        /// The time at which a list or a heartbeat was last received on the watch. Initially the time at which the
        /// watch was opened.
        last_received_at: Instant,
    },
}

impl WatchEnd {
    /// Returns the kind of the failure, which determines the schedule of the next call.
    fn failure(&self) -> DiscoveryFailure {
        match self.stage {
            WatchStage::Opening { .. } => self.error.call_failure(),
            WatchStage::Open { .. } if matches!(self.error, DiscoveryError::TimedOut(_)) => {
                DiscoveryFailure::Silent
            }
            WatchStage::Open { .. } => DiscoveryFailure::Lost,
        }
    }

    /// Returns the time at which a list or a heartbeat was last received on the watch. Returns `None` if the watch was
    /// not opened.
    fn last_received_at(&self) -> Option<Instant> {
        match self.stage {
            WatchStage::Opening { .. } => None,
            WatchStage::Open {
                last_received_at, ..
            } => Some(last_received_at),
        }
    }
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.error)?;
        match self.stage {
            WatchStage::Opening { since, elapsed } => {
                let since = since.map_or("none".into(), |since| format!("{since}"));
                let elapsed = elapsed.as_secs_f64();
                write!(
                    formatter,
                    " (not opened after {elapsed:.3} s, known version: {since})"
                )
            }
            WatchStage::Open {
                duration,
                list_count,
                ..
            } => {
                let duration = duration.as_secs_f64();
                write!(formatter, " (open for {duration:.3} s, {list_count} lists)")
            }
        }
    }
}

/// Opens a watch and receives its events until it fails.
async fn run_watch<C: ListConsumer>(
    consumer: &C,
    source: Source,
    known_version: Option<u64>,
    backoff: &mut Backoff,
) -> WatchEnd {
    let called_at = Instant::now();
    let body = match open_watch(consumer, source, known_version, backoff).await {
        Ok(body) => body,
        Err(error) => {
            let stage = WatchStage::Opening {
                since: known_version,
                elapsed: called_at.elapsed(),
            };
            return WatchEnd { error, stage };
        }
    };
    backoff.reset();
    let opened_at = Instant::now();
    consumer.log(format_args!(
        "the watch on discovery opened after {:.3} s",
        (opened_at - called_at).as_secs_f64()
    ));
    let mut receiver = WatchReceiver::new(opened_at, backoff.silence_timeout());
    let Err(error) = receiver.receive(consumer, source, body).await;
    let stage = WatchStage::Open {
        duration: opened_at.elapsed(),
        list_count: receiver.list_count,
        last_received_at: receiver.last_received_at,
    };
    WatchEnd { error, stage }
}

/// Opens a watch on the changes after `known_version`.
///
/// Without a known version the full list is fetched first. A watch from version 0 might return only the changes that
/// the discovery service still stores.
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
            let version = list.version;
            consumer.list_received(source, list)?;
            version
        }
    };
    let path = format!("{LIST_PATH}?follow=1&since={version}");
    let on_hedge = |is_reached| consumer.call_hedged(source, is_reached);
    let body = call_with_hedging(source.address, &path, backoff, on_hedge).await?;
    consumer.watch_opened(source);
    Ok(body)
}

/// Receives the events of an open watch.
struct WatchReceiver {
    decoder: ListDecoder,
    /// The time without data after which the watch fails.
    silence_timeout: Duration,
    /// The number of lists received.
    list_count: u64,
    /// The time at which a list was last completed or a heartbeat last received. Initially the time at which the watch
    /// was opened.
    last_received_at: Instant,
    /// The time at which a part of an incomplete list was last received. Initially the time at which the watch was
    /// opened.
    last_part_at: Instant,
}

impl WatchReceiver {
    fn new(opened_at: Instant, silence_timeout: Duration) -> Self {
        WatchReceiver {
            decoder: ListDecoder::default(),
            silence_timeout,
            list_count: 0,
            last_received_at: opened_at,
            last_part_at: opened_at,
        }
    }

    /// Receives the events of a watch until it fails, ends or is silent for too long.
    ///
    /// While a list is incomplete, heartbeats count as silence, because the rest of the list may never arrive. Further
    /// parts of the list end the silence, but only within [`MAX_LIST_TRANSFER_TIME`] of the last complete list or of
    /// the last heartbeat before the incomplete list.
    async fn receive<C: ListConsumer>(
        &mut self,
        consumer: &C,
        source: Source,
        mut body: Incoming,
    ) -> Result<Infallible, DiscoveryError> {
        loop {
            let Some(frame) = timeout_at(self.silence_deadline(), body.frame()).await? else {
                return Err(DiscoveryError::Closed);
            };
            let Ok(chunk) = frame?.into_data() else {
                continue;
            };
            let list_count = &mut self.list_count;
            let content = self.decoder.decode(&chunk, |list| {
                *list_count += 1;
                consumer.list_received(source, list)
            })?;
            match content {
                ChunkContent::ListOrHeartbeat => {
                    self.last_received_at = Instant::now();
                    consumer.list_confirmed(source);
                }
                ChunkContent::PartOfList => self.last_part_at = Instant::now(),
                ChunkContent::NothingNew => {}
            }
        }
    }

    /// Returns the time at which the watch fails unless data arrives before.
    fn silence_deadline(&self) -> Instant {
        let last_progress_at = self.last_received_at.max(self.last_part_at);
        let latest = self.last_received_at + MAX_LIST_TRANSFER_TIME;
        latest.min(last_progress_at + self.silence_timeout)
    }
}
