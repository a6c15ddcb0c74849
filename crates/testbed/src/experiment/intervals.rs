//! Means and means of paired differences, with 95 % confidence intervals by Student's t-distribution.

use statrs::distribution::{ContinuousCDF, StudentsT};

#[cfg(test)]
mod tests;

/// The quantile of the t-distribution at the upper bound of a two-sided 95 % interval.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean with its confidence interval `mean ± half_width`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// Number of values.
    pub count: usize,
    /// The arithmetic mean of the values; 0 without values.
    pub mean: f64,
    /// Half the width of the interval; infinite for fewer than two values.
    pub half_width: f64,
}

impl Mean {
    /// Whether the interval does not contain zero, so that the mean differs from zero significantly.
    pub fn excludes_zero(&self) -> bool {
        self.mean.abs() > self.half_width
    }
}

/// The mean of n independent values. Half the width of its interval is t(0.975, n - 1) * s / sqrt(n), where s
/// is the sample standard deviation.
pub fn mean(values: &[f64]) -> Mean {
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    if count < 2 {
        return Mean { count, mean, half_width: f64::INFINITY };
    }
    let degrees_of_freedom = (count - 1) as f64;
    let squared_deviations = values.iter().map(|value| (value - mean).powi(2));
    let variance = squared_deviations.sum::<f64>() / degrees_of_freedom;
    let distribution = StudentsT::new(0.0, 1.0, degrees_of_freedom);
    let t = distribution.map_or(f64::INFINITY, |students_t| students_t.inverse_cdf(UPPER_QUANTILE));
    Mean { count, mean, half_width: t * (variance / count as f64).sqrt() }
}

/// The mean of `other[i] - base[i]` over all pairs. Deviations that both values of a pair share, such as
/// those caused by their common seed, cancel out.
pub fn paired_difference(base: &[f64], other: &[f64]) -> Mean {
    let differences: Vec<f64> = base.iter().zip(other).map(|(base, other)| other - base).collect();
    mean(&differences)
}
