//! The account: every set-up by class and district of its server.
//!
//! A gatekeeper's own district is where every set-up comes from, so the directed pair of districts is told
//! by the server's alone. At any moment, for each cell and each sum of cells,
//! `sent = stood + refused + failed + reset + given_up + out`.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use hollypaddle_policy::Outcome;
use serde::Serialize;

use crate::window::Ring;
use crate::District;

/// What is counted of set-ups; all but the two times are numbers of set-ups or calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Set-ups sent, first tries and further ones alike.
    pub sent: u64,
    /// Those that stood.
    pub stood: u64,
    /// Of those, the ones that stood later than the class's wanted time after the caller's first try.
    pub late: u64,
    /// Turned back before they ran, or never sent.
    pub refused: u64,
    /// Ended in error, without a connection, or over before anyone heard that the call stood.
    pub failed: u64,
    /// Broken on their way.
    pub reset: u64,
    /// Timed out, or called off by either side.
    pub given_up: u64,
    /// Calls that stood and came to their end.
    pub ended: u64,
    /// Calls that stood and were cut.
    pub cut: u64,
    /// Set-ups that overdrew a budget.
    pub bent: u64,
    /// Calls turned away for want of a budget; no set-up was sent.
    pub denied: u64,
    /// Sum of the set-up delays of those that stood, in seconds.
    pub delay: f64,
}

impl AddAssign<&Counts> for Counts {
    fn add_assign(&mut self, other: &Counts) {
        self.sent += other.sent;
        self.stood += other.stood;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.reset += other.reset;
        self.given_up += other.given_up;
        self.ended += other.ended;
        self.cut += other.cut;
        self.bent += other.bent;
        self.denied += other.denied;
        self.delay += other.delay;
    }
}

impl Counts {
    /// Whether all that was sent has ended in one of the ways, or is out.
    pub fn balances(&self, out: u64) -> bool {
        self.sent == self.stood + self.refused + self.failed + self.reset + self.given_up + out
    }
}

/// The time that a figure is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// Since the start.
    Total,
    /// The last 10 s.
    Seconds10,
    /// The last minute.
    Minute,
    /// The last ten minutes.
    Minutes10,
}

impl Span {
    /// All spans.
    pub const ALL: [Span; 4] = [Span::Total, Span::Seconds10, Span::Minute, Span::Minutes10];

    /// Its name, as the command line takes it.
    pub fn name(self) -> &'static str {
        match self {
            Span::Total => "total",
            Span::Seconds10 => "10s",
            Span::Minute => "1min",
            Span::Minutes10 => "10min",
        }
    }

    /// The span of a name.
    pub fn named(name: &str) -> Option<Span> {
        Span::ALL.into_iter().find(|s| s.name() == name)
    }
}

/// Seconds and slots of the sliding windows, in the order of [`Span::ALL`] after the total.
const WINDOWS: [(f64, usize); 3] = [(10.0, 10), (60.0, 12), (600.0, 20)];

/// One class towards one district.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Since the start.
    pub total: Counts,
    /// Set-ups out now.
    pub out: u64,
    /// Calls standing now.
    pub standing: u64,
    windows: [Ring<Counts>; 3],
}

impl Cell {
    fn new() -> Self {
        let windows = WINDOWS.map(|(window, slots)| Ring::new(window, slots));
        Cell { total: Counts::default(), out: 0, standing: 0, windows }
    }

    fn count(&mut self, now: f64, count: impl Fn(&mut Counts)) {
        count(&mut self.total);
        self.windows.iter_mut().for_each(|window| count(window.now(now)));
    }

    /// What was counted in a span. A window counts each thing when it happened.
    pub fn counts(&mut self, now: f64, span: Span) -> Counts {
        let window = match span {
            Span::Total => return self.total,
            Span::Seconds10 => &mut self.windows[0],
            Span::Minute => &mut self.windows[1],
            Span::Minutes10 => &mut self.windows[2],
        };
        window.advance(now);
        window.covered().fold(Counts::default(), |mut sum, (_, slot)| {
            sum += slot;
            sum
        })
    }
}

/// All cells. A cell is there once something was counted in it; there are no more than classes times
/// districts, and one more district for those not known.
#[derive(Clone, Debug, Default)]
pub struct Account {
    cells: BTreeMap<(usize, District), Cell>,
}

impl Account {
    fn cell(&mut self, class: usize, to: District) -> &mut Cell {
        self.cells.entry((class, to)).or_insert_with(Cell::new)
    }

    /// A set-up was sent.
    pub fn sent(&mut self, now: f64, class: usize, to: District, bent: bool) {
        let cell = self.cell(class, to);
        cell.out += 1;
        cell.count(now, |c| {
            c.sent += 1;
            c.bent += u64::from(bent);
        });
    }

    /// A set-up that was out stood after `delay` seconds.
    pub fn stood(&mut self, now: f64, class: usize, to: District, delay: f64, late: bool) {
        let cell = self.cell(class, to);
        cell.out = cell.out.saturating_sub(1);
        cell.standing += 1;
        cell.count(now, |c| {
            c.stood += 1;
            c.late += u64::from(late);
            c.delay += delay;
        });
    }

    /// A set-up that was out ended without standing.
    pub fn ended(&mut self, now: f64, class: usize, to: District, outcome: Outcome) {
        let cell = self.cell(class, to);
        cell.out = cell.out.saturating_sub(1);
        cell.count(now, |c| match outcome {
            Outcome::Full | Outcome::Moot => c.refused += 1,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Done => c.failed += 1,
            Outcome::Reset => c.reset += 1,
            Outcome::Timeout | Outcome::Cancelled => c.given_up += 1,
        });
    }

    /// A call that stood is over: by its end, or cut.
    pub fn over(&mut self, now: f64, class: usize, to: District, cut: bool) {
        let cell = self.cell(class, to);
        cell.standing = cell.standing.saturating_sub(1);
        cell.count(now, |c| match cut {
            true => c.cut += 1,
            false => c.ended += 1,
        });
    }

    /// A call that could only have gone there was turned away for want of a budget.
    pub fn denied(&mut self, now: f64, class: usize, to: District) {
        self.cell(class, to).count(now, |c| c.denied += 1);
    }

    /// All cells, by class and district.
    pub fn cells(&mut self) -> impl Iterator<Item = (usize, District, &mut Cell)> {
        self.cells.iter_mut().map(|((class, to), cell)| (*class, *to, cell))
    }

    /// Whether every cell balances, and every sum over a class, over a district and over all.
    pub fn balances(&self) -> bool {
        type Pick = fn(&(usize, District)) -> (Option<usize>, Option<District>);
        let margins: [Pick; 4] =
            [|k| (Some(k.0), Some(k.1)), |k| (Some(k.0), None), |k| (None, Some(k.1)), |_| (None, None)];
        margins.iter().all(|margin| {
            let mut sums: BTreeMap<_, (Counts, u64)> = BTreeMap::new();
            for (key, cell) in &self.cells {
                let sum = sums.entry(margin(key)).or_default();
                sum.0 += &cell.total;
                sum.1 += cell.out;
            }
            sums.values().all(|(counts, out)| counts.balances(*out))
        })
    }
}
