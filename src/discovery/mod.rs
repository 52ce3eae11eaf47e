//! The client of discovery: the whole list when it is asked for, and watches on its changes.
//!
//! The client holds no list itself. What it receives goes to a [`ListConsumer`], which feeds it to its decision
//! module and asks for calls ([`fetch`]) and watches ([`watch`], [`watch_agent`]) as the module says. All of them
//! run on the current thread and need a [`tokio::task::LocalSet`].

mod backoff;
mod client;
mod consumer;
mod error;
mod hedged_call;
mod list;
mod membership;
mod source;
mod subscription;

pub use backoff::Backoff;
pub use client::{fetch, watch, watch_agent};
pub use consumer::ListConsumer;
pub use error::{DiscoveryError, StaleListError};
pub use list::{EndpointList, EntryStatus, ListEntry};
pub use membership::{ListUpdate, Member, Membership};
pub use source::Source;
pub use subscription::{ListOrigin, SourceChange, Subscription};
