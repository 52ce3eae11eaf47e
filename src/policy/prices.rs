//! The prices of the resources that a balancer uses.

/// The prices of resources. A price is the cost of one unit, as a fraction of the balancer's result, which is the value
/// of the requests that it answers.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// The price of attempts that cross zones, per first attempt.
    pub cross_zone: f64,
    /// The price of endpoint work that led to no answer, as a fraction of the requested work.
    pub waste: f64,
    /// The price of health checks, per first attempt.
    pub health_check: f64,
    /// The price of peer messages of full length, per first attempt.
    pub peer: f64,
    /// The price of new connections, per first attempt.
    pub handshake: f64,
    /// The price of open connections, per 100 connections at an endpoint.
    pub connection: f64,
    /// The price of requests that are not served and fail after their objective, per unit of their value.
    pub late_fail: f64,
    /// The price of list entries, per 100 entries for each first attempt.
    pub discovery: f64,
}
