//! What scripts do to one direction of a link: it is cut, slow, or throttled.

use crate::script::Fault;

/// What has been done to one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Impairment {
    /// Nothing arrives.
    pub(crate) cut: bool,
    /// What it takes longer, in seconds.
    pub(crate) delay_s: f64,
    /// Bytes a second; none is as fast as may be.
    pub(crate) rate: Option<f64>,
}

impl Impairment {
    /// Whether anything was done to it.
    pub(crate) fn is_impaired(&self) -> bool {
        self.cut || self.delay_s > 0.0 || self.rate.is_some()
    }

    /// Takes over what a step of a script does to a direction; other steps change nothing.
    pub(crate) fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut(..) => self.cut = true,
            Fault::Delay(_, _, seconds) => self.delay_s = *seconds,
            Fault::Throttle(_, _, rate) => self.rate = Some(*rate),
            _ => {}
        }
    }
}
