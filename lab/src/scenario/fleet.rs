//! What experiments with a fleet of hollow sidecars share: a discovery service with a list of endpoints, and the
//! sidecars' configurations.
