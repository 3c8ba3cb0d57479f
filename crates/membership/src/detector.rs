//! How long a member may be silent before it is suspected: an accrual detector over the gaps between its beats.
//!
//! The gaps of the last beats give a mean and a deviation; the limit is the mean and some deviations, with a floor. So a
//! member that is only slow, or behind a way that loses one beat in five, raises its own limit and is not taken for
//! silent again and again.

/// Gaps remembered.
const MAX_GAPS: usize = 32;
/// Gaps without which the floor alone counts.
const MIN_GAPS: usize = 8;

/// The gaps between the beats of one member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Detector {
    gaps: Vec<f64>,
    next_slot: usize,
    last_at: Option<f64>,
}

impl Detector {
    /// A beat came.
    pub fn record_heartbeat(&mut self, now: f64) {
        if let Some(last_at) = self.last_at {
            let gap = (now - last_at).max(0.0);
            if self.gaps.len() < MAX_GAPS {
                self.gaps.push(gap);
            } else {
                self.gaps[self.next_slot] = gap;
            }
            self.next_slot = (self.next_slot + 1) % MAX_GAPS;
        }
        self.last_at = Some(now);
    }

    /// The next gap tells nothing: the member was started anew, or this one was paused.
    pub fn skip_next_gap(&mut self) {
        self.last_at = None;
    }

    /// A silence longer than this is suspect: the mean gap and so many deviations, between a floor and a ceiling.
    pub fn suspicion_timeout_s(&self, deviations: f64, floor: f64, ceiling: f64) -> f64 {
        if self.gaps.len() < MIN_GAPS {
            return floor.min(ceiling);
        }
        let count = self.gaps.len() as f64;
        let mean = self.gaps.iter().sum::<f64>() / count;
        let variance = self.gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count;
        (mean + deviations * variance.sqrt()).clamp(floor.min(ceiling), ceiling)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limit(gaps: &[f64]) -> f64 {
        let (mut detector, mut now) = (Detector::default(), 0.0);
        detector.record_heartbeat(now);
        for gap in gaps {
            now += gap;
            detector.record_heartbeat(now);
        }
        detector.suspicion_timeout_s(4.0, 0.35, 1.0)
    }

    #[test]
    fn an_even_beat_is_held_to_the_floor_and_an_uneven_one_is_given_more_time() {
        assert_eq!(limit(&[]), 0.35);
        assert_eq!(limit(&[0.1; 40]), 0.35);
        let uneven: Vec<f64> = (0..40).map(|n| if n % 4 == 0 { 0.3 } else { 0.1 }).collect();
        assert!(limit(&uneven) > 0.45, "{}", limit(&uneven));
        assert_eq!(limit(&[2.0, 0.1, 2.0, 0.1, 2.0, 0.1, 2.0, 0.1, 2.0]), 1.0, "the ceiling holds");
    }

    /// What was long ago is forgotten.
    #[test]
    fn a_member_that_is_even_again_is_held_to_the_floor_again() {
        let gaps: Vec<f64> = std::iter::repeat_n(0.5, 40).chain(std::iter::repeat_n(0.1, 32)).collect();
        assert_eq!(limit(&gaps), 0.35);
    }

    #[test]
    fn a_gap_that_tells_nothing_is_left_out() {
        let mut detector = Detector::default();
        (0..20).for_each(|n| detector.record_heartbeat(f64::from(n) * 0.1));
        detector.skip_next_gap();
        detector.record_heartbeat(50.0);
        assert_eq!(detector.suspicion_timeout_s(4.0, 0.35, 9.0), 0.35);
    }
}
