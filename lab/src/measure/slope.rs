//! Least-squares lines through figures that were measured at several sizes.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size at which it was made.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// A straight line through measurements, and what it leaves unexplained.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The value at size 0.
    pub intercept: f64,
    /// The value's growth for each unit of size.
    pub per_unit: f64,
    /// The part of the variance that the line does not explain, from 0 to 1.
    pub unexplained: f64,
    /// The largest distance of a point from the line.
    pub largest_residual: f64,
}

impl Slope {
    /// Fits a line; none for fewer than two different sizes.
    pub fn fit(_points: &[Point]) -> Option<Slope> {
        todo!()
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.per_unit * size
    }
}
