//! The client of the discovery service.
//!
//! # Protocol
//!
//! Discovery publishes the endpoint list over HTTP/1.1 and numbers its versions. The client makes two kinds of calls,
//! each on a connection of its own:
//!
//! - A **fetch** returns the **full list**. Endpoints that it does not name have been removed.
//! - A **watch** names the last known version. Its response stays open and is a stream of events, each of which holds
//!   the changes since the previous one; the first may be the full list instead. Heartbeats are empty lines. If no
//!   version is known, the client fetches the full list before it opens the watch.
//!
//! A watch is lost when its connection ends, an event is malformed or stale, or nothing is received for
//! its **silence timeout** ([`Backoff::silence_timeout`]). A long list may take longer than the
//! timeout if further parts of it keep arriving. A new watch resumes from the last known version, so no change is
//! missed.
//!
//! # Hedging
//!
//! A call without a response is not abandoned after a timeout. It keeps its place in discovery's queue, and a hedged
//! call is made beside it; the first successful response counts. At most two calls are outstanding at a time.
//!
//! # Failures
//!
//! A call fails once it and all its hedged calls have failed. The schedule of the next call depends on the
//! [`DiscoveryMode`](crate::policy::DiscoveryMode):
//!
//! - If lists are sent only on request, a fetch or a watch reports its failure to the [`ListConsumer`] and ends. The
//!   [`Balancer`](crate::policy::Balancer) schedules the next call with its own backoff.
//! - If an agent pushes lists, the client reopens the watch with a [`Backoff`], without the balancer, for as long as
//!   the subscription lasts.
//!
//! # State
//!
//! The calls store no list. They pass received lists to a [`ListConsumer`], which owns a [`Subscription`]. The
//! subscription holds the current [`Source`], the watch on it, and the [`Membership`], which checks versions and
//! rejects stale lists.
//!
//! All calls run on the current thread and need a [`tokio::task::LocalSet`].

mod backoff;
mod client;
mod consumer;
mod error;
mod hedged_call;
mod list;
mod list_decoder;
#[cfg(test)]
mod list_decoder_tests;
mod list_scanner;
mod membership;
mod source;
mod subscription;
#[cfg(test)]
mod subscription_tests;

pub use backoff::Backoff;
pub use client::fetch;
pub use consumer::ListConsumer;
pub use error::{DiscoveryFailure, StaleListError};
pub use list::{EndpointList, EntryStatus, ListEntry};
pub use membership::{ListUpdate, Member, Membership};
pub use source::Source;
pub use subscription::{ListOrigin, SourceChange, Subscription};
