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
    /// Identifies a request; a client's retry has an id of its own.
    RequestId
);
text_id!(
    /// Identifies an endpoint; stays the same when its process restarts.
    EndpointId
);
text_id!(
    /// Identifies a zone of endpoints and balancers.
    ZoneId
);
text_id!(
    /// Identifies a kind of machine.
    KindId
);
text_id!(
    /// The key of a request, which identifies what it is about.
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

/// Identifies a small group of endpoints that drop each other's repeats of keyed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// The number of an attempt of a request, from 0 in order of the sends.
pub type AttemptNumber = usize;
