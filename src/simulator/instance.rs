//! The numbers by which the wire names instances.

/// The number `N` of an instance, which the wire names `sidecar/N`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceNumber(pub u64);
