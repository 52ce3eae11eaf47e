//! A sidecar that balances the requests of a service over endpoints, with overload control.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`policy`] | the load-balancing decisions, without I/O: a [`policy::Balancer`] takes events and returns actions |
//! | [`discovery`] | the client of the discovery service |
//! | [`configuration`] | the format, validation and JSON Schema of the configuration |
//! | [`command_line`] | the commands of the program |
//! | [`simulator`] | the simulator's protocol and the adapter that serves it |
//! | [`sidecar`] | the host that runs a balancer: sockets, HTTP, connection pools, timers |
//! | [`clock`] | the clock of a host, in Unix time |
//! | [`task`] | tasks on the current thread that are aborted when dropped |
//!
//! ```
//! use balancer_sidecar::policy::*;
//! use std::time::Duration;
//!
//! let second = Duration::from_secs(1);
//! let look_up = Class::new("look-up", 1.0, Idempotency::Idempotent, second, 3 * second);
//! let settings = Settings { balancers: 2, ..Settings::new("here".into(), vec![look_up]) };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//! let now = Timestamp::from_nanos(1_000_000_000);
//!
//! // Pass an endpoint list first, then a request.
//! let entries = vec![EndpointEntry {
//!     endpoint: "box-1".into(),
//!     zone: "here".into(),
//!     machine_type: "box".into(),
//!     group: GroupId(0),
//!     readiness: Readiness::Serving,
//!     weight: 1.0,
//!     started_at: None,
//! }];
//! let list = Event::EndpointList { version: 1, kind: ListKind::Cached, entries: entries.into() };
//! balancer.handle(now, list, &mut actions);
//! let request = Request {
//!     id: "r-1".into(),
//!     class: ClassId(0),
//!     tenant: None,
//!     key: None,
//!     deadline: now + 2 * second,
//!     cost_hint: None,
//!     client_retry: false,
//!     write: false,
//! };
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(matches!(&actions[..], [Action::Send { endpoint, .. }] if *endpoint == "box-1".into()));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff;
pub mod clock;
pub mod command_line;
pub mod configuration;
pub mod discovery;
pub mod policy;
pub mod sidecar;
pub mod simulator;
pub mod task;
