//! Linear regression over measured points.

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearFit {
    /// Value at size 0.
    pub intercept: f64,
    pub slope: f64,
    /// Largest absolute deviation of a point from the line, divided by the largest
    /// absolute value.
    pub residual: f64,
}

impl LinearFit {
    /// Fits a line to points of (size, value).
    pub fn from_points(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let max_value = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let deviations = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).abs());
        let max_deviation = deviations.fold(0.0, f64::max);
        Self {
            intercept,
            slope,
            residual: if max_value > 0.0 {
                max_deviation / max_value
            } else {
                0.0
            },
        }
    }

    /// Value of the line at `size`, or 0 where the line is negative.
    pub fn value_at(&self, size: f64) -> f64 {
        (self.intercept + self.slope * size).max(0.0)
    }
}

/// Prints the points, the fitted line and its value at `size`; returns that value.
pub fn report(name: &str, unit: &str, points: &[(f64, f64)], size: f64) -> f64 {
    let fit = LinearFit::from_points(points);
    let points_text = points.iter().map(|(x, y)| format!("{x:.0}:{y:.2}"));
    let points_text = points_text.collect::<Vec<_>>().join(" ");
    println!(
        "{name:<34} {points_text:<46} {:>10.4} +{:>9.5}/x {:>4.0}% {:>10.2} {unit}",
        fit.intercept,
        fit.slope,
        fit.residual * 100.0,
        fit.value_at(size)
    );
    fit.value_at(size)
}
