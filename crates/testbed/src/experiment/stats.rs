//! Means and paired differences with their intervals.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean and half the width of its interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// Values.
    pub n: usize,
    /// Their mean.
    pub mean: f64,
    /// The interval reaches so far to both sides; infinite for a single value.
    pub half: f64,
}

impl Mean {
    /// The interval does not hold zero.
    pub fn clear(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// The mean of values that are independent, with its 95 % interval by Student's t.
pub fn mean(values: &[f64]) -> Mean {
    let n = values.len();
    let mean = values.iter().sum::<f64>() / n.max(1) as f64;
    if n < 2 {
        return Mean { n, mean, half: f64::INFINITY };
    }
    let spread = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    let t = StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(f64::INFINITY, |d| d.inverse_cdf(0.975));
    Mean { n, mean, half: t * (spread / n as f64).sqrt() }
}

/// The mean of differences of pairs, with its 95 % interval.
pub fn paired(pairs: &[(f64, f64)]) -> Mean {
    let differences: Vec<f64> = pairs.iter().map(|(base, other)| other - base).collect();
    mean(&differences)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_interval_is_students() {
        // Tables give 2.776 for four degrees of freedom; deviation 1.5811, over the root of 5.
        let m = mean(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert_eq!((m.n, m.mean), (5, 3.0));
        assert!((m.half - 2.776_445 * 1.581_139 / 5f64.sqrt()).abs() < 1e-4, "{}", m.half);
        assert!(m.clear() && !mean(&[-1.0, 1.0]).clear() && !mean(&[7.0]).clear());
    }

    #[test]
    fn pairs_take_out_what_seeds_share() {
        let seeds = [0.3, 0.9, 0.5, 0.7];
        let pairs: Vec<(f64, f64)> = seeds.iter().map(|&s| (s, s + 0.01)).collect();
        let d = paired(&pairs);
        assert!((d.mean - 0.01).abs() < 1e-9 && d.clear());
    }
}
