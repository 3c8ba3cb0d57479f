//! Medians and spreads.

use serde::{Deserialize, Serialize};

/// A figure over several runs.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    /// Of at least one value; what is no number is left out.
    pub fn of(values: &[f64]) -> Spread {
        let mut sorted: Vec<f64> = values.iter().copied().filter(|v| v.is_finite()).collect();
        sorted.sort_by(f64::total_cmp);
        let at = |part: f64| sorted.get((sorted.len().saturating_sub(1) as f64 * part) as usize).copied();
        let [median, least, most] = [0.5, 0.0, 1.0].map(|part| at(part).unwrap_or(f64::NAN));
        Spread { median, least, most }
    }
}

#[cfg(test)]
mod tests {
    use super::Spread;

    #[test]
    fn the_median_is_the_middle_one() {
        let spread = Spread::of(&[3.0, f64::NAN, 1.0, 2.0]);
        assert_eq!((spread.median, spread.least, spread.most), (2.0, 1.0, 3.0));
    }
}
