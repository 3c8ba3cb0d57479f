//! When a worker is started, started again, left out, or stopped.
//!
//! A worker that dies is replaced after a pause that doubles with each death in a row and has some jitter, so that
//! workers that die of one cause do not come back in step. One that dies again and again is left out and
//! reported: a worker that cannot live costs the others its calls each time it takes some.

use crate::Worker;

/// The figures of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Patience {
    /// The first pause before a replacement, and the longest, in seconds.
    pub first: f64,
    /// The longest.
    pub most: f64,
    /// A worker that served for so long has not died in a row, in seconds.
    pub proven: f64,
    /// Deaths in a row after which it is left out.
    pub deaths: u32,
    /// A worker that serves and has said nothing for so long is ended, in seconds.
    pub silent: f64,
}

impl Default for Patience {
    fn default() -> Self {
        Patience { first: 0.1, most: 10.0, proven: 30.0, deaths: 6, silent: 1.0 }
    }
}

/// What a seat's worker does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Its process runs and has not said that it serves.
    Starting,
    /// It serves, since then.
    Serving(f64),
    /// It died and is to be started then.
    Resting(f64),
    /// It died too often.
    LeftOut,
    /// It has ended as it was told to.
    Stopped,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Start a process for the seat.
    Start(Worker),
    /// A serving worker is lost: its ids are to be fenced and given to others.
    Lost(Worker),
    /// A worker serves: it is to be given its ids.
    Serves(Worker),
    /// A worker is left out; staff on call should know.
    LeftOut(Worker),
    /// A worker has been silent for too long: its process is to be killed. Its end is then told as any other.
    Kill(Worker),
}

struct Seat {
    state: State,
    deaths: u32,
    /// When its worker last said anything.
    heard: f64,
}

/// All seats.
pub struct Supervisor {
    patience: Patience,
    seats: Vec<Seat>,
    stopping: bool,
}

impl Supervisor {
    /// So many seats, all to be started.
    pub fn new(seats: u16, patience: Patience, now: f64) -> Supervisor {
        let seat = |_| Seat { state: State::Resting(now), deaths: 0, heard: now };
        Supervisor { patience, seats: (0..seats).map(seat).collect(), stopping: false }
    }

    /// What a seat's worker does.
    pub fn state(&self, worker: Worker) -> Option<State> {
        self.seats.get(usize::from(worker.0)).map(|seat| seat.state)
    }

    /// Whether nothing is left to wait for after a stop.
    pub fn over(&self) -> bool {
        let over = |seat: &Seat| matches!(seat.state, State::Stopped | State::LeftOut | State::Resting(_));
        self.stopping && self.seats.iter().all(over)
    }

    /// Nothing is started any more.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// A worker said something.
    pub fn heard(&mut self, now: f64, worker: Worker) {
        if let Some(seat) = self.seats.get_mut(usize::from(worker.0)) {
            seat.heard = seat.heard.max(now);
        }
    }

    /// Starts what is due, and ends what is silent, also during a stop. Called now and then.
    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let mut acts = Vec::new();
        for (at, seat) in self.seats.iter_mut().enumerate() {
            if matches!(seat.state, State::Serving(_)) && now - seat.heard >= self.patience.silent {
                // Asked for once; should the kill come to nothing, again as long after.
                seat.heard = now;
                acts.push(Act::Kill(Worker(at as u16)));
            }
            if !self.stopping && matches!(seat.state, State::Resting(until) if until <= now) {
                seat.state = State::Starting;
                acts.push(Act::Start(Worker(at as u16)));
            }
        }
        acts
    }

    /// A worker says that it serves.
    pub fn serves(&mut self, now: f64, worker: Worker) -> Vec<Act> {
        match self.seats.get_mut(usize::from(worker.0)) {
            Some(seat) if seat.state == State::Starting => {
                (seat.state, seat.heard) = (State::Serving(now), now);
                vec![Act::Serves(worker)]
            }
            _ => Vec::new(),
        }
    }

    /// A worker's process has ended. `chance` between 0 and 1 spreads the pause.
    pub fn ended(&mut self, now: f64, worker: Worker, chance: f64) -> Vec<Act> {
        let (patience, stopping) = (self.patience, self.stopping);
        let Some(seat) = self.seats.get_mut(usize::from(worker.0)) else { return Vec::new() };
        let mut acts = Vec::new();
        match seat.state {
            State::Starting => seat.deaths = seat.deaths.saturating_add(1),
            State::Serving(since) => {
                let proven = now - since >= patience.proven;
                seat.deaths = if proven { 1 } else { seat.deaths.saturating_add(1) };
                acts.push(Act::Lost(worker));
            }
            // No process of it was running.
            State::Resting(_) | State::LeftOut | State::Stopped => return acts,
        }
        seat.state = if stopping {
            State::Stopped
        } else if seat.deaths >= patience.deaths {
            acts.push(Act::LeftOut(worker));
            State::LeftOut
        } else {
            let pause = patience.first * 2f64.powi(seat.deaths.saturating_sub(1).min(30) as i32);
            let spread = 0.75 + 0.5 * chance.clamp(0.0, 1.0);
            State::Resting(now + pause.min(patience.most) * spread)
        };
        acts
    }
}
