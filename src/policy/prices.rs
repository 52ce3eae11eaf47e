//! The prices of what a balancer uses.

/// Prices, as fractions of the result for each unit.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// Attempts that cross zones, for each first attempt.
    pub cross_zone: f64,
    /// Work of endpoints that served no answer, as a fraction of the work that was requested.
    pub waste: f64,
    /// Health checks, for each first attempt.
    pub health_check: f64,
    /// Peer messages of full length, for each first attempt.
    pub peer: f64,
    /// New connections, for each first attempt.
    pub handshake: f64,
    /// Open connections, for each 100 at an endpoint.
    pub connection: f64,
    /// The value of requests that are not served and fail after their objective.
    pub late_fail: f64,
    /// List entries, for each 100 a first attempt.
    pub discovery: f64,
}
