//! Plans where the load of each site would go if it were lost, so that nothing has to be agreed or measured at
//! the time of the loss.
//!
//! The plan uses the spare capacity of each survivor, and how well a call that crosses to it can still be
//! established within its goal time. Load that the survivors cannot carry is refused at once, as it would
//! overload them together with the calls of their own callers. The plan is compared with a simple one, an even
//! split: [`even`].

/// The capacity and load of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteLoad {
    /// The calls per second that its servers can carry, as reported or configured.
    pub capacity_per_s: f64,
    /// The calls per second that it is offered now by all callers, including load that was displaced to it
    /// earlier.
    pub load_per_s: f64,
    /// Whether it accepts no displaced load, because it is lost or returning.
    pub lost: bool,
}

/// The limits of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The largest fraction of its capacity to which a survivor is filled, 0 to 1. The rest keeps it out of
    /// overload while calls come in bursts.
    pub max_utilization_ratio: f64,
    /// The largest fraction of the goal time of a class that a crossing may take, there and back.
    pub max_crossing_ratio: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { max_utilization_ratio: 0.95, max_crossing_ratio: 0.25 }
    }
}

/// Where the load of one site goes: the fraction for each of all sites. The sum is at most one; the rest is
/// refused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadShares(pub Vec<f64>);

impl LoadShares {
    /// The fraction of the load that goes to some site.
    pub fn placed(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns the site for a call, by a random `draw` between 0 and 1, or `None` if the call is refused.
    pub fn target(&self, draw: f64) -> Option<usize> {
        let mut left = draw;
        self.0.iter().position(|share| {
            left -= share;
            left < 0.0 && *share > 0.0
        })
    }
}

/// The calls per second that a survivor can still take.
fn spare_capacity(site: &SiteLoad, settings: &Settings) -> f64 {
    let spare_capacity =
        if site.lost { 0.0 } else { site.capacity_per_s * settings.max_utilization_ratio - site.load_per_s };
    if spare_capacity.is_finite() {
        spare_capacity.max(0.0)
    } else {
        0.0
    }
}

/// Returns where the load of site `from` goes, for a class with a goal time of `goal_s` seconds. `delays_s` are
/// the one-way delays from the callers of that site to each site, in seconds.
///
/// A call that crosses pays the delay twice, so the spare capacity of each survivor is weighted by how much of
/// the allowed part of the goal time is left. If the goal is short, near sites are filled first. Load that
/// finds no capacity there goes to any site that has some and that the goal allows at all.
pub fn shares(
    from: usize,
    sites: &[SiteLoad],
    delays_s: &[f64],
    goal_s: f64,
    settings: &Settings,
) -> LoadShares {
    let load = sites.get(from).map_or(0.0, |site| site.load_per_s).max(0.0);
    let allowed = (goal_s * settings.max_crossing_ratio).max(1e-9);
    let usefulness = |to: usize| {
        let delay_s = delays_s.get(to).copied().unwrap_or(f64::INFINITY);
        (1.0 - 2.0 * delay_s / allowed).clamp(0.0, 1.0)
    };
    let spare: Vec<f64> = (0..sites.len())
        .map(
            |to| if to == from || usefulness(to) <= 0.0 { 0.0 } else { spare_capacity(&sites[to], settings) },
        )
        .collect();
    if load <= 0.0 {
        // There is no load now: calls that come later are split by spare capacity.
        return normalize(
            &spare
                .iter()
                .enumerate()
                .map(|(to, spare_capacity)| spare_capacity * usefulness(to))
                .collect::<Vec<f64>>(),
            1.0,
        );
    }
    // Fill in rounds: what a full site cannot take goes to the others.
    let mut placed_load = vec![0.0; sites.len()];
    for _ in 0..sites.len() {
        let left = load - placed_load.iter().sum::<f64>();
        let weight = |to: usize| if placed_load[to] < spare[to] { spare[to] * usefulness(to) } else { 0.0 };
        let sum: f64 = (0..sites.len()).map(weight).sum();
        if left <= load * 1e-9 || sum <= 0.0 {
            break;
        }
        let more: Vec<f64> = (0..sites.len()).map(|to| left * weight(to) / sum).collect();
        for (to, more) in more.into_iter().enumerate() {
            placed_load[to] = (placed_load[to] + more).min(spare[to]);
        }
    }
    LoadShares(placed_load.iter().map(|placed_load| placed_load / load).collect())
}

/// The simple plan: an even fraction for each survivor, whatever its load.
pub fn even(from: usize, sites: &[SiteLoad]) -> LoadShares {
    let weight = |(to, site): (usize, &SiteLoad)| if to == from || site.lost { 0.0 } else { 1.0 };
    normalize(&sites.iter().enumerate().map(weight).collect::<Vec<f64>>(), 1.0)
}

fn normalize(weights: &[f64], whole: f64) -> LoadShares {
    let sum: f64 = weights.iter().sum();
    LoadShares(weights.iter().map(|w| if sum > 0.0 { whole * w / sum } else { 0.0 }).collect())
}

/// Returns the largest fraction of the load of a site that the survivors can carry: the upper bound of any
/// plan.
pub fn max_placed_ratio(from: usize, sites: &[SiteLoad]) -> f64 {
    let load = sites.get(from).map_or(0.0, |site| site.load_per_s);
    let spare = sites.iter().enumerate().filter(|(to, site)| *to != from && !site.lost);
    let spare_capacity: f64 = spare.map(|(_, site)| (site.capacity_per_s - site.load_per_s).max(0.0)).sum();
    if load > 0.0 {
        (spare_capacity / load).min(1.0)
    } else {
        1.0
    }
}
