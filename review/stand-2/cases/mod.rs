//! The cases of `review/6` to `review/10`.

use crate::Case;

pub const CASES: &[Case] = &[];
