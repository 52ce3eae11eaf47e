//! A load balancer's decisions with overload control, sans I/O: one instance per caller.
//!
//! The design: each endpoint is clear, gapping or discarding for each worth level, by its queue length
//! against abatement, onset and discard thresholds. Two draws from a subset skip throttled members; when all
//! are throttled a request waits for the earliest gap, and past the queue limit the least worthy is refused.
//!
//! A host builds [`Event`]s, gives them to [`Balancer::handle`], and carries out the [`Action`]s that come
//! back, in order.
//!
//! | decision | file |
//! | --- | --- |
//! | thresholds for each worth level | `thresholds.rs`, `worth_level.rs` |
//! | clear, gapping or discarding; lapse; gap | `overload_state.rs` |
//! | which endpoints take work | `membership.rs` |
//! | the subset | `subset.rs` |
//! | the endpoint of an attempt | `pick.rs`, `outlier.rs`, `cold_ramp.rs` |
//! | send, hold or refuse a new request | `admission.rs`, `hold_queue.rs`, `key_order.rs` |
//! | retry, refuse or fail | `attempt_end.rs`, `retry.rs`, `send.rs` |
//! | how long answers take | `answer_time.rs` |
//! | probes | `probing.rs` |
//! | calls of discovery | `discovery_calls.rs` |

mod action;
mod admission;
mod answer_time;
mod arrival_rate;
mod attempt_end;
mod balancer;
mod class;
mod class_table;
mod cold_ramp;
mod discovery_calls;
mod discovery_schedule;
mod endpoint;
mod endpoint_table;
mod event;
mod held_requests;
mod hold_queue;
mod id;
mod in_flight;
mod instance;
mod key_order;
mod mean_depths;
mod membership;
mod outlier;
mod overload_state;
mod pending;
mod pick;
mod probing;
pub(crate) mod random;
mod request_table;
mod retry;
mod send;
mod settings;
mod settings_check;
mod status;
mod subset;
mod thresholds;
mod time;
mod timer;
mod token_budget;
mod worth_level;

pub use action::Action;
pub use balancer::Balancer;
pub use discovery_calls::{CHANGE_DEADLINE, DISCOVERY_TIMEOUT, NEXT_CALL_WITHIN};
pub use event::{AttemptEnd, EndpointEntry, Event, ListKind, LoadReport, Outcome, Readiness, Request};
pub use id::{AttemptNumber, ClassId, EndpointId, GroupId, Key, KindId, PeerId, RequestId, TenantId, ZoneId};
pub use settings::{
    Class, DiscoveryMode, Idempotency, KeyScope, Limits, Prices, Reporting, Rules, Settings, SizeMeaning,
    Tenant, WorthBy,
};
pub use settings_check::SettingsError;
pub use status::BalancerStatus;
pub use time::Timestamp;
