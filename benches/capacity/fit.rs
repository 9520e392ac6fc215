//! Straight lines through measured points.

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearFit {
    pub base: f64,
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl LinearFit {
    /// Fits points of (size, value).
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let shared: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let distances = points.iter().map(|(x, y)| (y - base - slope * x).abs());
        let distance = distances.fold(0.0, f64::max);
        Self {
            base,
            slope,
            residual: if largest > 0.0 {
                distance / largest
            } else {
                0.0
            },
        }
    }

    /// Value of the line; never below zero.
    pub fn at(&self, size: f64) -> f64 {
        (self.base + self.slope * size).max(0.0)
    }
}

/// Prints the points, the line and its value at `size`, which is returned.
pub fn report(name: &str, unit: &str, points: &[(f64, f64)], size: f64) -> f64 {
    let fit = LinearFit::of(points);
    let shown = points.iter().map(|(x, y)| format!("{x:.0}:{y:.2}"));
    let shown = shown.collect::<Vec<_>>().join(" ");
    println!(
        "{name:<34} {shown:<46} {:>10.4} +{:>9.5}/x {:>4.0}% {:>10.2} {unit}",
        fit.base,
        fit.slope,
        fit.residual * 100.0,
        fit.at(size)
    );
    fit.at(size)
}
