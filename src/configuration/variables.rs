//! The environment variables that the sidecar reads.

/// The variable that names the configuration file.
pub const CONFIGURATION_FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// The variable that holds the operators' address as an IP address and port. It takes precedence over the configuration
/// file.
pub const ADMIN_ADDRESS_VARIABLE: &str = "ROUTER_ADMIN_ADDR";
