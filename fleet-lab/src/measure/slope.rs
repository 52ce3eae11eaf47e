//! Least-squares lines through values that were measured at several sizes.

use serde::Serialize;

/// The value of a metric at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size, for example a number of endpoints.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// A straight line through measurements, and its residuals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The value at size 0.
    pub intercept: f64,
    /// The slope: the change of the value per unit of size.
    pub per_unit: f64,
    /// The fraction of the variance that the line does not explain, from 0 to 1; 0 if the values do not vary.
    pub unexplained: f64,
    /// The largest absolute difference between a value and the line.
    pub largest_residual: f64,
}

impl Slope {
    /// Fits a line by ordinary least squares. Returns `None` for fewer than two different sizes.
    pub fn fit(points: &[Point]) -> Option<Slope> {
        let first = points.first()?;
        if points.iter().all(|point| point.size == first.size) {
            return None;
        }
        let mean_size = mean(points.iter().map(|point| point.size));
        let mean_value = mean(points.iter().map(|point| point.value));
        let size_squares: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let products: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let per_unit = products / size_squares;
        let fitted_line = Slope {
            intercept: mean_value - per_unit * mean_size,
            per_unit,
            unexplained: 0.0,
            largest_residual: 0.0,
        };
        Some(Slope {
            unexplained: fitted_line.unexplained_fraction(points, mean_value),
            largest_residual: fitted_line
                .residuals(points)
                .map(f64::abs)
                .fold(0.0, f64::max),
            ..fitted_line
        })
    }

    /// Returns the line's value at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.per_unit * size
    }

    fn residuals(&self, points: &[Point]) -> impl Iterator<Item = f64> {
        points.iter().map(|point| point.value - self.at(point.size))
    }

    /// Returns the fraction of the variance that the line does not explain: 1 - R².
    fn unexplained_fraction(&self, points: &[Point], mean_value: f64) -> f64 {
        let value_squares: f64 = points
            .iter()
            .map(|point| (point.value - mean_value).powi(2))
            .sum();
        if value_squares == 0.0 {
            return 0.0;
        }
        let residual_squares: f64 = self
            .residuals(points)
            .map(|residual| residual.powi(2))
            .sum();
        (residual_squares / value_squares).clamp(0.0, 1.0)
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}
