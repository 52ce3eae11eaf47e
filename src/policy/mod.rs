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
//! | thresholds for each worth level | `thresholds.rs` |
//! | the worth level of a request | `priority_level.rs` |
//! | clear, gapping or discarding; lapse; gap | `overload_state.rs` |
//! | which endpoints take work | `membership.rs` |
//! | the subset | `subset.rs` |
//! | the endpoint of an attempt | `pick.rs` |
//! | which endpoints are outliers | `outlier.rs` |
//! | how much traffic a cold endpoint gets | `slow_start.rs` |
//! | send, hold or refuse a new request | `admission.rs` |
//! | how many requests are held, and in which order they are sent | `request_queue.rs` |
//! | what the end of an attempt means | `attempt_end.rs` |
//! | whether and where a request may be tried again | `retry.rs` |
//! | the send of an attempt, and the answer where none serves | `send.rs` |
//! | how long answers take | `answer_time.rs` |
//! | how many requests arrive | `arrival_rate.rs` |
//! | probes | `health_check.rs` |
//! | calls of discovery | `discovery_calls.rs` |
//! | when the host's timer expires next | `timer.rs` |
//! | what each event sets off, and what new settings change | `instance.rs` |
//! | which settings are valid | `settings_check.rs` |
//! | the longest span of time that is computed with | `time.rs` |
//! | the state of an instance at its start | `balancer.rs` |
//! | the ids of classes while settings change | `class_table.rs` |
//! | the places of endpoints in their table | `endpoint_table.rs` |
//! | the table of open requests | `request_table.rs` |
//! | the places that attempts take at their endpoints | `in_flight.rs` |
//! | the counts that operators see | `status.rs` |

mod action;
mod admission;
mod answer_time;
mod arrival_rate;
mod attempt_end;
mod balancer;
mod class;
mod class_table;
mod discovery_calls;
mod discovery_schedule;
mod endpoint;
mod endpoint_table;
mod event;
mod health_check;
mod id;
mod in_flight;
mod instance;
mod key_order;
mod mean_queue_lengths;
mod membership;
mod outlier;
mod overload_state;
mod pending;
mod pick;
mod priority_level;
mod queued_requests;
pub(crate) mod random;
mod request_queue;
mod request_table;
mod retry;
mod send;
mod settings;
mod settings_check;
mod slow_start;
mod status;
mod subset;
mod thresholds;
mod time;
mod timer;
mod token_budget;

pub use action::Action;
pub use balancer::Balancer;
pub use discovery_calls::{CHANGE_PROPAGATION_DEADLINE, DISCOVERY_TIMEOUT, MAX_CALL_INTERVAL};
pub use event::{
    AttemptEnd, EndpointEntry, Event, ListKind, LoadReport, Outcome, Readiness, Request,
};
pub use id::{
    AttemptNumber, ClassId, EndpointId, GroupId, Key, KindId, PeerId, RequestId, TenantId, ZoneId,
};
pub use settings::{
    Class, DiscoveryMode, Idempotency, KeyScope, Limits, Prices, Reporting, Rules, Settings,
    SizeMeaning, Tenant, ValueBasis,
};
pub use settings_check::SettingsError;
pub use status::BalancerStatus;
pub use time::Timestamp;
