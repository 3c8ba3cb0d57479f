//! The account: every set-up by class and district of its server.
//!
//! A gatekeeper's own district is where every set-up comes from, so the directed pair of districts is told
//! by the server's alone. At any moment, for each cell and each sum of cells,
//! `sent = stood + refused + failed + reset + given_up + out`.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use hollypaddle_policy::Outcome;
use serde::Serialize;

use crate::window::SlidingWindow;
use crate::District;

/// What is counted of set-ups; all but the two times are numbers of set-ups or calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Set-ups sent, first tries and further ones alike.
    pub sent: u64,
    /// Those that stood.
    #[serde(rename = "stood")]
    pub established: u64,
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
    #[serde(rename = "bent")]
    pub overdrew: u64,
    /// Calls turned away for want of a budget; no set-up was sent.
    pub denied: u64,
    /// Sum of the set-up delays of those that stood, in seconds.
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
    /// Whether all that was sent has ended in one of the ways, or is out.
    pub fn balances(&self, out: u64) -> bool {
        self.sent == self.established + self.refused + self.failed + self.reset + self.given_up + out
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
    pub fn from_name(name: &str) -> Option<Span> {
        Span::ALL.into_iter().find(|s| s.name() == name)
    }
}

/// Seconds and slots of the sliding windows, in the order of [`Span::ALL`] after the total.
const WINDOWS: [(f64, usize); 3] = [(10.0, 10), (60.0, 12), (600.0, 20)];

/// One class towards one district.
///
/// What happens is counted in the running second alone and folded into the rest once that is over: the
/// windows' slots are whole seconds, so nothing is lost by it, and a decision costs no more than a few
/// additions.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Set-ups out now.
    pub in_flight: u64,
    /// Calls standing now.
    pub standing: u64,
    /// Which second is running, and what was counted in it.
    second: i64,
    running: Counts,
    /// What was counted before it.
    folded: Counts,
    windows: [SlidingWindow<Counts>; 3],
}

impl Cell {
    fn new() -> Self {
        let (second, running, folded) = (i64::MIN, Counts::default(), Counts::default());
        let windows = WINDOWS.map(|(window, slots)| SlidingWindow::new(window, slots));
        Cell { in_flight: 0, standing: 0, second, running, folded, windows }
    }

    /// The counts of the running second. Time that goes back counts there too.
    fn now(&mut self, second: i64) -> &mut Counts {
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

    /// What was counted since the start.
    pub fn total(&self) -> Counts {
        let mut total = self.folded;
        total += &self.running;
        total
    }

    /// What was counted in a span. A window counts each thing when it happened.
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

/// All cells: a row for each class, a column for each district, and one more of each for what is not known.
/// A cell takes memory once something was counted in it.
#[derive(Clone, Debug, Default)]
pub struct Account {
    classes: usize,
    districts: usize,
    cells: Vec<Option<Box<Cell>>>,
}

impl Account {
    /// An empty account of so many classes and districts.
    pub fn new(classes: usize, districts: usize) -> Self {
        Account { classes, districts, cells: vec![None; (classes + 1) * (districts + 1)] }
    }

    /// Takes other numbers of classes and districts; what was counted stays with its class and district, or
    /// goes to what is not known where there is none of that number any more.
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
            let place = resized.cell_index(class, to);
            match &mut resized.cells[place] {
                Some(other) => {
                    other.in_flight += cell.in_flight;
                    other.standing += cell.standing;
                    other.folded += &cell.folded;
                    // Windows of what is no longer known apart would be of no use to anyone.
                }
                empty => *empty = Some(cell),
            }
        }
        *self = resized;
    }

    /// Where a cell stands; also what other tables of classes and districts go by.
    pub fn cell_index(&self, class: usize, to: District) -> usize {
        class.min(self.classes) * (self.districts + 1) + usize::from(to.0).min(self.districts)
    }

    fn cell(&mut self, class: usize, to: District) -> &mut Cell {
        let place = self.cell_index(class, to);
        self.cells[place].get_or_insert_with(|| Box::new(Cell::new()))
    }

    /// A set-up was sent.
    pub fn record_sent(&mut self, now: f64, class: usize, to: District, bent: bool) {
        let cell = self.cell(class, to);
        cell.in_flight += 1;
        let counts = cell.now(now as i64);
        counts.sent += 1;
        counts.overdrew += u64::from(bent);
    }

    /// A set-up that was out stood after `delay` seconds.
    pub fn record_established(&mut self, now: f64, class: usize, to: District, delay: f64, late: bool) {
        let cell = self.cell(class, to);
        cell.in_flight = cell.in_flight.saturating_sub(1);
        cell.standing += 1;
        let counts = cell.now(now as i64);
        counts.established += 1;
        counts.late += u64::from(late);
        counts.delay_s += delay;
    }

    /// A set-up that was out ended without standing.
    pub fn record_failed(&mut self, now: f64, class: usize, to: District, outcome: Outcome) {
        let cell = self.cell(class, to);
        cell.in_flight = cell.in_flight.saturating_sub(1);
        let counts = cell.now(now as i64);
        *match outcome {
            Outcome::Full | Outcome::NotSent => &mut counts.refused,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Done => &mut counts.failed,
            Outcome::Reset => &mut counts.reset,
            Outcome::Timeout | Outcome::Cancelled => &mut counts.given_up,
        } += 1;
    }

    /// A call that stood is over: by its end, or cut.
    pub fn record_call_end(&mut self, now: f64, class: usize, to: District, cut: bool) {
        let cell = self.cell(class, to);
        cell.standing = cell.standing.saturating_sub(1);
        let counts = cell.now(now as i64);
        *if cut { &mut counts.cut } else { &mut counts.ended } += 1;
    }

    /// A call that could only have gone there was turned away for want of a budget.
    pub fn record_denied(&mut self, now: f64, class: usize, to: District) {
        self.cell(class, to).now(now as i64).denied += 1;
    }

    /// All cells in which something was counted, by class and district.
    pub fn cells(&mut self) -> impl Iterator<Item = (usize, District, &mut Cell)> {
        let (districts, columns) = (self.districts, self.districts + 1);
        self.cells.iter_mut().enumerate().filter_map(move |(at, cell)| {
            let column = at % columns;
            let to = if column == districts { District::UNKNOWN } else { District(column as u16) };
            Some((at / columns, to, cell.as_deref_mut()?))
        })
    }

    /// Whether every cell balances, and every sum over a class, over a district and over all.
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
