//! The environment variables that the sidecar reads.

/// Names the configuration file.
pub const FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// Holds the IP address and port for operators' calls. It takes precedence over the configuration file.
pub const ADMIN_VARIABLE: &str = "ROUTER_ADMIN_ADDR";
