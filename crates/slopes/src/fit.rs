//! Least-squares fit of a straight line, and the table of all slopes.

use std::fmt::Write as _;
use std::path::Path;
use std::{fs, io};

/// One measured point.
#[derive(Clone, Copy, Debug)]
pub struct SlopePoint {
    /// The size, such as the number of hosts or items.
    pub size: f64,
    /// The measured cost at that size, in the unit of the slope.
    pub cost: f64,
}

/// A line `cost = intercept + slope * size`, fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub struct LineFit {
    /// Extrapolated cost at size zero.
    pub intercept: f64,
    /// Cost of each additional host, item or record.
    pub slope: f64,
    /// Coefficient of determination: the share of the variance of the costs that the line explains.
    pub r_squared: f64,
}

impl LineFit {
    /// Fits a line to at least two points; if all sizes are equal, the slope is zero.
    #[must_use]
    pub fn through(points: &[SlopePoint]) -> Self {
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean = |value: fn(&SlopePoint) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_cost) = (mean(|p| p.size), mean(|p| p.cost));
        let sum = |value: &dyn Fn(&SlopePoint) -> f64| points.iter().map(value).sum::<f64>();
        let size_square_sum = sum(&|p| (p.size - mean_size).powi(2));
        let cross_sum = sum(&|p| (p.size - mean_size) * (p.cost - mean_cost));
        let slope = if size_square_sum > 0.0 {
            cross_sum / size_square_sum
        } else {
            0.0
        };
        let intercept = mean_cost - slope * mean_size;
        let total_square_sum = sum(&|p| (p.cost - mean_cost).powi(2));
        let residual_square_sum = sum(&|p| (p.cost - intercept - slope * p.size).powi(2));
        let r_squared = if total_square_sum > 0.0 {
            1.0 - residual_square_sum / total_square_sum
        } else {
            1.0
        };
        Self {
            intercept,
            slope,
            r_squared,
        }
    }
}

/// All slopes measured in one run.
#[derive(Debug, Default)]
pub struct SlopeTable {
    name_filter: String,
    rows: String,
    count: usize,
}

impl SlopeTable {
    /// Creates a table of the slopes whose name contains `name_filter`.
    #[must_use]
    pub fn new(name_filter: &str) -> Self {
        Self {
            name_filter: name_filter.into(),
            ..Self::default()
        }
    }

    /// Measures and prints one slope; `measure` returns the cost at a size.
    ///
    /// Does nothing if the name does not match the filter.
    pub fn add(
        &mut self,
        name: &str,
        unit: &str,
        sizes: &[usize],
        mut measure: impl FnMut(usize) -> f64,
    ) {
        if !name.contains(&self.name_filter) {
            return;
        }
        let points: Vec<SlopePoint> = sizes
            .iter()
            .map(|size| SlopePoint {
                size: as_float(*size),
                cost: measure(*size),
            })
            .collect();
        let fit = LineFit::through(&points);
        println!(
            "{name}: {:.4} {unit} each + {:.4} fixed ({:.1}% explained)",
            fit.slope,
            fit.intercept,
            fit.r_squared * 100.0
        );
        for point in &points {
            // Writing to a string cannot fail.
            let _ = writeln!(
                self.rows,
                "{name},{unit},{},{:.4},{:.6},{:.4},{:.4}",
                point.size, point.cost, fit.slope, fit.intercept, fit.r_squared
            );
        }
        self.count += 1;
    }

    /// Returns the number of slopes measured so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Writes all points and fits as CSV and creates the parent directory if missing.
    ///
    /// # Errors
    /// Returns an error if the directory or the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        fs::write(
            path,
            format!("slope,unit,size,cost,each,fixed,explained\n{}", self.rows),
        )
    }
}

/// Converts a size to a float; sizes above `u32::MAX` saturate.
#[must_use]
pub fn as_float(size: usize) -> f64 {
    f64::from(u32::try_from(size).unwrap_or(u32::MAX))
}
