//! What was seen beside the five cases of this review; see `review/REPORT-2.md`.

use crate::Case;

pub const CASES: &[Case] = &[];
