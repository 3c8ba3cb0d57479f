//! How a figure grows with a size: fits a row of points to the forms that a table or a loop can have, and says how far
//! off the fit is and to which size it was really run.

use std::fmt;

use serde::Serialize;

/// Sizes that a fit takes at the least.
pub(crate) const FEWEST: usize = 5;
/// The simpler form is taken where its residual is no more than this many times the least.
const SIMPLER: f64 = 1.1;
/// Residuals below this part of the mean value are taken for none: they come from rounding.
const ROUNDING: f64 = 1e-9;

/// How a value grows with n, the simplest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Form {
    /// The same at every size.
    Constant,
    /// In proportion to n.
    Linear,
    /// In proportion to n times the logarithm of n to the base of 2.
    LogLinear,
    /// In proportion to the square of n.
    Quadratic,
}

impl Form {
    /// All of them.
    pub(crate) const ALL: [Form; 4] = [Form::Constant, Form::Linear, Form::LogLinear, Form::Quadratic];

    /// What the coefficient stands before, at a size.
    fn at(self, n: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Linear => n,
            Form::LogLinear => n * n.max(1.0).log2(),
            Form::Quadratic => n * n,
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Form::Constant => "constant",
            Form::Linear => "n",
            Form::LogLinear => "n log2 n",
            Form::Quadratic => "n²",
        })
    }
}

/// Why points cannot be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Unfit {
    /// Too few sizes.
    #[error("a fit takes {FEWEST} sizes or more, and these are {0}")]
    Sizes(usize),
    /// A point is no number.
    #[error("a point is no number")]
    Number,
}

/// How a figure grows: `offset + coefficient * form(n)`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Slope {
    /// The form with the least residual, or a simpler one that is as good.
    pub(crate) form: Form,
    /// What each step of the form adds; 0 where the form is constant.
    pub(crate) coefficient: f64,
    /// The value at no size at all; the mean where the form is constant.
    pub(crate) offset: f64,
    /// The standard error of the fit, as a part of the mean size of the values.
    pub(crate) residual: f64,
    /// The largest size that was really run.
    pub(crate) largest: f64,
}

impl Slope {
    /// What the fit says at a size, run or not.
    pub(crate) fn at(&self, n: f64) -> f64 {
        self.offset + self.coefficient * self.form.at(n)
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (residual, largest) = (self.residual * 100.0, self.largest);
        match self.form {
            Form::Constant => write!(f, "{}", short(self.offset))?,
            form => {
                let sign = if self.coefficient < 0.0 { "-" } else { "+" };
                write!(f, "{} {sign} {} {form}", short(self.offset), short(self.coefficient.abs()))?;
            }
        }
        write!(f, ", residual {residual:.0}%, run to {}", largest.round())
    }
}

/// A figure with three digits that count, and no more of them behind the point than that takes.
pub(crate) fn short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let whole = value.abs().log10().floor() as i32;
    let behind = (2 - whole).clamp(0, 9) as usize;
    let text = format!("{value:.behind$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

/// Fits `(size, value)` points by least squares; several values of one size count as so many points.
pub(crate) fn fit(points: &[(f64, f64)]) -> Result<Slope, Unfit> {
    if points.iter().any(|(n, value)| !n.is_finite() || !value.is_finite()) {
        return Err(Unfit::Number);
    }
    let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let largest = match sizes.last() {
        Some(largest) if sizes.len() >= FEWEST => *largest,
        _ => return Err(Unfit::Sizes(sizes.len())),
    };
    let all = Form::ALL.map(|form| of_form(form, points, largest));
    let least = all.iter().map(|s| s.residual).fold(f64::INFINITY, f64::min);
    let good = |s: &&Slope| s.residual <= (least * SIMPLER).max(ROUNDING);
    // The least itself is always good.
    Ok(*all.iter().find(good).unwrap_or(&all[0]))
}

/// The least squares of one form.
fn of_form(form: Form, points: &[(f64, f64)], largest: f64) -> Slope {
    let count = points.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(&|p| form.at(p.0)), mean(&|p| p.1));
    let spread = mean(&|p| (form.at(p.0) - x).powi(2));
    let both = mean(&|p| (form.at(p.0) - x) * (p.1 - y));
    let coefficient = if spread > 0.0 { both / spread } else { 0.0 };
    let mut slope = Slope { form, coefficient, offset: y - coefficient * x, residual: 0.0, largest };
    let squares: f64 = points.iter().map(|(n, value)| (value - slope.at(*n)).powi(2)).sum();
    // A form with a coefficient has one more to bend; what it wins by that alone does not count.
    let free = count - if form == Form::Constant { 1.0 } else { 2.0 };
    let size = mean(&|p| p.1.abs());
    slope.residual = if size > 0.0 { (squares / free).sqrt() / size } else { 0.0 };
    slope
}

#[cfg(test)]
mod tests;
