//! Counts every set-up by its class and the district of its server.
//!
//! Every set-up comes from the district of the gatekeeper, so the district of the server alone gives the
//! directed pair. At any moment, for each cell and each sum of cells, `sent = established + refused + failed +
//! reset + given_up + in_flight`.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use hollypaddle_policy::Outcome;
use serde::Serialize;

use crate::window::SlidingWindow;
use crate::District;

/// What is counted of set-ups. All fields but `delay_s` are numbers of set-ups or calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Set-ups sent, first attempts and further ones alike.
    pub sent: u64,
    /// Set-ups that were established.
    #[serde(rename = "stood")]
    pub established: u64,
    /// Of the established ones, those established later than the goal time of the class after the first attempt
    /// of the caller.
    pub late: u64,
    /// Set-ups that were turned back before they ran, or never sent.
    pub refused: u64,
    /// Set-ups that ended in an error, without a connection, or before anyone received that the call was
    /// established.
    pub failed: u64,
    /// Set-ups that were reset on their way.
    pub reset: u64,
    /// Set-ups that timed out or were cancelled by either side.
    pub given_up: u64,
    /// Standing calls that ended normally.
    pub ended: u64,
    /// Standing calls that were cut.
    pub cut: u64,
    /// Set-ups that overdrew a budget.
    #[serde(rename = "bent")]
    pub overdrew: u64,
    /// Calls that were denied because a budget was used up; no set-up was sent.
    pub denied: u64,
    /// The sum of the set-up delays of the established set-ups, in seconds.
    #[serde(rename = "delay")]
    pub delay_s: f64,
}

impl AddAssign<&Counts> for Counts {
    fn add_assign(&mut self, other: &Counts) {
        self.sent += other.sent;
        self.established += other.established;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.reset += other.reset;
        self.given_up += other.given_up;
        self.ended += other.ended;
        self.cut += other.cut;
        self.overdrew += other.overdrew;
        self.denied += other.denied;
        self.delay_s += other.delay_s;
    }
}

impl Counts {
    /// Whether each set-up that was sent has ended in one of the ways, or is among the `out` that are in
    /// flight.
    pub fn balances(&self, out: u64) -> bool {
        self.sent == self.established + self.refused + self.failed + self.reset + self.given_up + out
    }
}

/// The time span that a count covers.
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

    /// Returns the name of the span, as the command line takes it.
    pub fn name(self) -> &'static str {
        match self {
            Span::Total => "total",
            Span::Seconds10 => "10s",
            Span::Minute => "1min",
            Span::Minutes10 => "10min",
        }
    }

    /// Returns the span with this name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Span> {
        Span::ALL.into_iter().find(|s| s.name() == name)
    }
}

/// The length in seconds and the number of slots of each sliding window, in the order of [`Span::ALL`] after
/// the total.
const WINDOWS: [(f64, usize); 3] = [(10.0, 10), (60.0, 12), (600.0, 20)];

/// The counts of one class towards one district.
///
/// Events are counted only in the current second and added to the windows once that second is over. The slots
/// of the windows are whole seconds, so nothing is lost, and a decision costs only a few additions.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Set-ups in flight.
    pub in_flight: u64,
    /// Standing calls.
    pub standing: u64,
    /// The current second.
    second: i64,
    /// What was counted in the current second.
    running: Counts,
    /// What was counted before the current second.
    folded: Counts,
    windows: [SlidingWindow<Counts>; 3],
}

impl Cell {
    fn new() -> Self {
        let (second, running, folded) = (i64::MIN, Counts::default(), Counts::default());
        let windows = WINDOWS.map(|(window, slots)| SlidingWindow::new(window, slots));
        Cell { in_flight: 0, standing: 0, second, running, folded, windows }
    }

    /// Returns the counts of the current second. If the clock goes back, events still count there.
    fn counts_at(&mut self, second: i64) -> &mut Counts {
        if second > self.second {
            self.fold();
            self.second = second;
        }
        &mut self.running
    }

    fn fold(&mut self) {
        if self.running != Counts::default() {
            let running = std::mem::take(&mut self.running);
            self.folded += &running;
            let middle = self.second as f64 + 0.5;
            self.windows.iter_mut().for_each(|window| *window.current_slot(middle) += &running);
        }
    }

    /// Returns the counts since the start.
    pub fn total(&self) -> Counts {
        let mut total = self.folded;
        total += &self.running;
        total
    }

    /// Returns the counts in a span that ends at `now`. A window counts each event at the time when it
    /// happened.
    pub fn counts(&mut self, now: f64, span: Span) -> Counts {
        let window = match span {
            Span::Total => return self.total(),
            Span::Seconds10 => 0,
            Span::Minute => 1,
            Span::Minutes10 => 2,
        };
        self.fold();
        let window = &mut self.windows[window];
        window.advance(now);
        window.covered_slots().fold(Counts::default(), |mut sum, (_, slot)| {
            sum += slot;
            sum
        })
    }
}

/// All cells: a row for each class, a column for each district, and one more of each for unknown classes and
/// districts. A cell takes memory once something was counted in it.
#[derive(Clone, Debug, Default)]
pub struct Account {
    classes: usize,
    districts: usize,
    cells: Vec<Option<Box<Cell>>>,
}

impl Account {
    /// Creates an empty account of `classes` classes and `districts` districts.
    pub fn new(classes: usize, districts: usize) -> Self {
        Account { classes, districts, cells: vec![None; (classes + 1) * (districts + 1)] }
    }

    /// Changes the numbers of classes and districts. Counts stay with their class and district, or move to the
    /// unknown ones if that number no longer exists.
    pub fn resize(&mut self, classes: usize, districts: usize) {
        if (classes, districts) == (self.classes, self.districts) {
            return;
        }
        let mut resized = Account::new(classes, districts);
        let (before, columns) = (std::mem::take(&mut self.cells), self.districts + 1);
        for (at, cell) in before.into_iter().enumerate() {
            let Some(mut cell) = cell else { continue };
            cell.fold();
            let (class, column) = (at / columns, at % columns);
            let to = if column == self.districts { District::UNKNOWN } else { District(column as u16) };
            let class = if class == self.classes { usize::MAX } else { class };
            let index = resized.cell_index(class, to);
            match &mut resized.cells[index] {
                Some(other) => {
                    other.in_flight += cell.in_flight;
                    other.standing += cell.standing;
                    other.folded += &cell.folded;
                    // The windows are dropped: nobody could use those of cells that are no longer
                    // distinguished.
                }
                empty => *empty = Some(cell),
            }
        }
        *self = resized;
    }

    /// Returns the index of a cell. Other tables by class and district use it too.
    pub fn cell_index(&self, class: usize, to: District) -> usize {
        class.min(self.classes) * (self.districts + 1) + usize::from(to.0).min(self.districts)
    }

    fn cell(&mut self, class: usize, to: District) -> &mut Cell {
        let index = self.cell_index(class, to);
        self.cells[index].get_or_insert_with(|| Box::new(Cell::new()))
    }

    /// Records that a set-up was sent, and whether it overdrew a budget.
    pub fn record_sent(&mut self, now: f64, class: usize, to: District, overdrew: bool) {
        let cell = self.cell(class, to);
        cell.in_flight += 1;
        let counts = cell.counts_at(now as i64);
        counts.sent += 1;
        counts.overdrew += u64::from(overdrew);
    }

    /// Records that a set-up in flight was established after `delay_s` seconds.
    pub fn record_established(&mut self, now: f64, class: usize, to: District, delay_s: f64, late: bool) {
        let cell = self.cell(class, to);
        cell.in_flight = cell.in_flight.saturating_sub(1);
        cell.standing += 1;
        let counts = cell.counts_at(now as i64);
        counts.established += 1;
        counts.late += u64::from(late);
        counts.delay_s += delay_s;
    }

    /// Records that a set-up in flight ended without being established.
    pub fn record_failed(&mut self, now: f64, class: usize, to: District, outcome: Outcome) {
        let cell = self.cell(class, to);
        cell.in_flight = cell.in_flight.saturating_sub(1);
        let counts = cell.counts_at(now as i64);
        *match outcome {
            Outcome::Full | Outcome::NotSent => &mut counts.refused,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Done => &mut counts.failed,
            Outcome::Reset => &mut counts.reset,
            Outcome::Timeout | Outcome::Cancelled => &mut counts.given_up,
        } += 1;
    }

    /// Records that a standing call is over: it ended or was cut.
    pub fn record_call_end(&mut self, now: f64, class: usize, to: District, cut: bool) {
        let cell = self.cell(class, to);
        cell.standing = cell.standing.saturating_sub(1);
        let counts = cell.counts_at(now as i64);
        *if cut { &mut counts.cut } else { &mut counts.ended } += 1;
    }

    /// Records that a call which could only have gone to this district was denied because a budget was used up.
    pub fn record_denied(&mut self, now: f64, class: usize, to: District) {
        self.cell(class, to).counts_at(now as i64).denied += 1;
    }

    /// Iterates over all cells in which something was counted, by class and district.
    pub fn cells(&mut self) -> impl Iterator<Item = (usize, District, &mut Cell)> {
        let (districts, columns) = (self.districts, self.districts + 1);
        self.cells.iter_mut().enumerate().filter_map(move |(at, cell)| {
            let column = at % columns;
            let to = if column == districts { District::UNKNOWN } else { District(column as u16) };
            Some((at / columns, to, cell.as_deref_mut()?))
        })
    }

    /// Whether every cell balances, and every sum over a class, over a district and over all; see
    /// [`Counts::balances`].
    pub fn balances(&self) -> bool {
        type Pick = fn((usize, usize)) -> (Option<usize>, Option<usize>);
        let margins: [Pick; 4] =
            [|k| (Some(k.0), Some(k.1)), |k| (Some(k.0), None), |k| (None, Some(k.1)), |_| (None, None)];
        let columns = self.districts + 1;
        margins.iter().all(|margin| {
            let mut sums: BTreeMap<_, (Counts, u64)> = BTreeMap::new();
            for (at, cell) in self.cells.iter().enumerate() {
                if let Some(cell) = cell {
                    let sum = sums.entry(margin((at / columns, at % columns))).or_default();
                    sum.0 += &cell.total();
                    sum.1 += cell.in_flight;
                }
            }
            sums.values().all(|(counts, out)| counts.balances(*out))
        })
    }
}
