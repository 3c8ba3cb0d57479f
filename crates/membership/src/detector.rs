//! How long a member may be silent before it is suspected: an accrual detector over the gaps between its heartbeats.
//!
//! The last gaps give a mean and a standard deviation. The timeout is the mean plus some deviations, with a floor. A member
//! that is merely slow, or whose path loses one heartbeat in five, thereby raises its own timeout and is not suspected again
//! and again.

/// Gaps that are kept.
const MAX_GAPS: usize = 32;
/// With fewer gaps than this the timeout is the floor.
const MIN_GAPS: usize = 8;

/// Records the gaps between the heartbeats of one member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Detector {
    gaps: Vec<f64>,
    next_slot: usize,
    last_at: Option<f64>,
}

impl Detector {
    /// Records the arrival of a heartbeat.
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

    /// Leaves the next gap out, because that member was restarted or this one was paused.
    pub fn skip_next_gap(&mut self) {
        self.last_at = None;
    }

    /// Returns the silence after which the member is suspected: the mean gap plus this many standard deviations, between the
    /// floor and the ceiling.
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

    fn timeout_after(gaps: &[f64]) -> f64 {
        let (mut detector, mut now) = (Detector::default(), 0.0);
        detector.record_heartbeat(now);
        for gap in gaps {
            now += gap;
            detector.record_heartbeat(now);
        }
        detector.suspicion_timeout_s(4.0, 0.35, 1.0)
    }

    #[test]
    fn regular_heartbeats_get_the_floor_and_irregular_ones_a_longer_timeout() {
        assert_eq!(timeout_after(&[]), 0.35);
        assert_eq!(timeout_after(&[0.1; 40]), 0.35);
        let irregular: Vec<f64> = (0..40).map(|n| if n % 4 == 0 { 0.3 } else { 0.1 }).collect();
        assert!(timeout_after(&irregular) > 0.45, "{}", timeout_after(&irregular));
        assert_eq!(
            timeout_after(&[2.0, 0.1, 2.0, 0.1, 2.0, 0.1, 2.0, 0.1, 2.0]),
            1.0,
            "the ceiling limits the timeout"
        );
    }

    /// Old gaps are overwritten by new ones.
    #[test]
    fn timeout_returns_to_the_floor_once_heartbeats_are_regular_again() {
        let gaps: Vec<f64> = std::iter::repeat_n(0.5, 40).chain(std::iter::repeat_n(0.1, 32)).collect();
        assert_eq!(timeout_after(&gaps), 0.35);
    }

    #[test]
    fn skipped_gap_does_not_change_the_timeout() {
        let mut detector = Detector::default();
        (0..20).for_each(|n| detector.record_heartbeat(f64::from(n) * 0.1));
        detector.skip_next_gap();
        detector.record_heartbeat(50.0);
        assert_eq!(detector.suspicion_timeout_s(4.0, 0.35, 9.0), 0.35);
    }
}
