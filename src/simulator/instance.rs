//! The numbers that identify instances.

/// The number `N` of the instance `sidecar/N`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceNumber(pub u64);
