//! The decisions of a load balancer with overload control, sans I/O: one [`Balancer`] per caller.
//!
//! Each endpoint is clear, gapping or discarding for each priority level, by its queue length against abatement, onset
//! and discard thresholds. A request goes to the less loaded of two random members of a subset, throttled members
//! excluded. While all are throttled it waits for the next end of a gap, and past the queue limit the requests of the
//! lowest priority are rejected.
//!
//! A host builds [`Event`]s, passes them to [`Balancer::handle`], and carries out the returned [`Action`]s in order.
//!
//! | decision | file |
//! | --- | --- |
//! | thresholds for each priority level | `thresholds.rs` |
//! | the priority level of a request | `priority_level.rs` |
//! | clear, gapping or discarding; state expiry; gap | `overload_state.rs` |
//! | which endpoints take work | `membership.rs` |
//! | which endpoints are suspended while the list may be old | `suspension.rs` |
//! | the subset | `subset.rs` |
//! | the endpoint of an attempt | `pick.rs` |
//! | which endpoints are outliers | `outlier.rs` |
//! | how many requests a warming endpoint is sent | `slow_start.rs` |
//! | send, queue or reject a new request | `admission.rs` |
//! | how many requests are queued, and in which order they are sent | `request_queue.rs` |
//! | what follows from the end of an attempt | `attempt_end.rs` |
//! | whether and where a request may be retried | `retry.rs` |
//! | how many retries and health checks are saved up | `token_budget.rs` |
//! | the send of an attempt, and the answer to a request that is not served | `send.rs` |
//! | how long answers take | `answer_time.rs` |
//! | the answer time assumed before any answer | `class.rs` |
//! | how many requests arrive | `arrival_rate.rs` |
//! | health checks | `health_check.rs` |
//! | calls of discovery | `discovery_calls.rs` |
//! | when the host's timer expires next | `timer.rs` |
//! | what each event leads to | `event_handler.rs` |
//! | what new settings change | `settings_change.rs` |
//! | which settings are valid | `settings_check.rs` |
//! | the longest duration that is computed with | `time.rs` |
//! | the state of a balancer at its start | `balancer.rs` |
//! | the ids of classes while settings change | `class_table.rs` |
//! | which attempts count as in flight | `in_flight.rs` |
//! | the table of pending requests | `request_table.rs` |
//! | the counts for the operators | `status.rs` |

mod action;
mod admission;
mod answer_time;
mod arrival_rate;
mod attempt_end;
mod balancer;
mod class;
mod class_settings;
mod class_table;
mod discovery_calls;
mod discovery_schedule;
mod endpoint;
mod endpoint_sets;
mod endpoint_table;
mod event;
mod event_handler;
mod health_check;
mod id;
mod in_flight;
mod key_order;
mod limits;
mod mean_queue_lengths;
mod membership;
mod outlier;
mod overload_state;
mod pending;
mod pick;
mod prices;
mod priority_level;
mod queued_requests;
pub(crate) mod random;
mod request_queue;
mod request_table;
mod retry;
mod rules;
mod send;
mod settings;
mod settings_change;
mod settings_check;
mod slow_start;
mod status;
mod subset;
mod suspension;
mod thresholds;
mod time;
mod timer;
mod token_budget;

pub use action::Action;
pub use balancer::Balancer;
pub use class_settings::{Class, Idempotency, KeyScope, Tenant};
pub use discovery_calls::{CHANGE_PROPAGATION_DEADLINE, DISCOVERY_TIMEOUT, MAX_CALL_INTERVAL};
pub use event::{
    AttemptEnd, EndpointEntry, Event, ListKind, LoadReport, Outcome, Readiness, Request,
};
pub use id::{
    AttemptNumber, ClassId, EndpointId, GroupId, Key, KindId, PeerId, RequestId, TenantId, ZoneId,
};
pub use limits::Limits;
pub use prices::Prices;
pub use rules::Rules;
pub use settings::{DiscoveryMode, Reporting, Settings, SizeMeaning, ValueBasis};
pub use settings_check::SettingsError;
pub use status::BalancerStatus;
pub use time::Timestamp;
