/// A least-squares fit of a measured value against a size.
#[derive(Clone, Debug)]
pub(crate) struct LinearFit {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

impl LinearFit {
    /// A fit without measurements; `name` ends with the unit.
    pub(crate) fn new(name: &'static str) -> Self {
        Self { name, points: Vec::new() }
    }

    /// Adds one measurement.
    pub(crate) fn add(&mut self, size: usize, value: f64) {
        println!("  {size}: {} {value:.3}", self.name);
        self.points.push((size as f64, value));
    }

    /// Prints the fitted line and the largest residual as a share of the largest value.
    pub(crate) fn print(&self) {
        let count = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let size_squares: f64 =
            self.points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let products: f64 =
            self.points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = products / size_squares;
        let intercept = mean_value - slope * mean_size;
        let residuals =
            self.points.iter().map(|(size, value)| (value - intercept - slope * size).abs());
        let largest = self.points.iter().map(|point| point.1).fold(f64::MIN_POSITIVE, f64::max);
        let residual = residuals.fold(0.0, f64::max) / largest;
        let name = self.name;
        println!("{name}: {intercept:.4} + {slope:.6} x size, residual {:.1}%", residual * 100.0);
    }
}
