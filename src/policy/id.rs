//! Identifiers of requests, endpoints, classes, tenants and balancers.

use std::sync::Arc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Arc::from(text))
            }
        }
    };
}

text_id!(
    /// Identifies a request. A client's retry has an id of its own.
    RequestId
);
text_id!(
    /// Identifies an endpoint. The id stays the same when the endpoint's process restarts.
    EndpointId
);
text_id!(
    /// Identifies a zone of endpoints and balancers.
    ZoneId
);
text_id!(
    /// Identifies a machine type.
    MachineTypeId
);
text_id!(
    /// The key of a request, which identifies the object that the request concerns.
    Key
);

/// Index into [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// The number of a balancer within its tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// Identifies a small group of endpoints that deduplicate keyed requests among themselves. The key scope `cell` of the
/// configuration means such a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// The number of an attempt of a request, counted from 0 in the order of the sends.
pub type AttemptNumber = usize;
