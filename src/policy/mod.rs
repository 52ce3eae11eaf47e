//! The decision module: the decisions of a load balancer with overload control, without I/O. An instance of it is a
//! [`Balancer`], and each sidecar has one.
//!
//! Each endpoint has an overload state for each priority level: clear, gapping or discarding. The state follows from
//! the endpoint's queue length and from three thresholds of the level: abatement, onset and discard. An endpoint
//! throttles the levels for which it is gapping or discarding. While it is gapping for a level, it is sent a request of
//! that level only after a gap since its last send. While it is discarding, it is sent none. A request is sent to the
//! less loaded of two random members of a subset of the endpoints, excluding those that throttle its level. While all
//! members throttle the level, the request is queued until a gap ends. If the queue exceeds its limit, requests of the
//! lowest priority level are rejected.
//!
//! The host is the program that embeds a balancer. It builds [`Event`]s, passes them to [`Balancer::handle`], and
//! carries out the returned [`Action`]s in order.
//!
//! | decision | file |
//! | --- | --- |
//! | thresholds for each priority level | `thresholds.rs` |
//! | the priority level of a request | `priority_level.rs` |
//! | the overload state (clear, gapping or discarding), its expiry, and the gap between sends | `overload_state.rs` |
//! | which endpoints take work | `membership.rs` |
//! | which endpoints are suspended while the endpoint list may be outdated | `suspension.rs` |
//! | which endpoints form the subset that this balancer sends to | `subset.rs` |
//! | the endpoint of an attempt | `pick.rs` |
//! | which endpoints are outliers | `outlier.rs` |
//! | how many requests are sent to an endpoint that is warming up | `slow_start.rs` |
//! | send, queue or reject a new request | `admission.rs` |
//! | how many requests are queued, and in which order they are sent | `request_queue.rs` |
//! | retry or final answer after the end of an attempt | `attempt_end.rs` |
//! | whether a request may be retried, and at which endpoints | `retry.rs` |
//! | the budgets of retries and health checks | `token_budget.rs` |
//! | how an attempt is sent, and the final answer to a request that is not served | `send.rs` |
//! | the estimates of answer times | `answer_time.rs` |
//! | the answer time assumed for a class before its first answer | `class.rs` |
//! | the arrival rate of requests | `arrival_rate.rs` |
//! | health checks | `health_check.rs` |
//! | when discovery is called | `discovery_calls.rs` |
//! | when the host's timer expires next | `timer.rs` |
//! | how each event is handled | `event_handler.rs` |
//! | how new settings take effect | `settings_change.rs` |
//! | which settings are valid | `settings_check.rs` |
//! | the longest duration used in calculations | `time.rs` |
//! | the initial state of a balancer | `balancer.rs` |
//! | the ids of classes while settings change | `class_table.rs` |
//! | which attempts count as in flight | `in_flight.rs` |
//! | the table of pending requests | `request_table.rs` |
//! | the counts reported to operators | `status.rs` |

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
    AttemptNumber, ClassId, EndpointId, GroupId, Key, MachineTypeId, PeerId, RequestId, TenantId,
    ZoneId,
};
pub use limits::Limits;
pub use prices::Prices;
pub use rules::Rules;
pub use settings::{DiscoveryMode, Reporting, Settings, ValueBasis, WeightSource};
pub use settings_check::SettingsError;
pub use status::BalancerStatus;
pub use suspension::ListValidity;
pub use time::Timestamp;
