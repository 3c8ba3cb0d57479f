//! What one run does, all of it drawn from its seed.

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Seconds of load before SIGTERM, at least and at most.
const LOAD: (f64, f64) = (0.3, 0.8);

/// What a session server does with set-ups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    /// Each stands after so many seconds and ends at once.
    Answers(f64),
    /// It says nothing.
    Hangs,
    /// It is full.
    Full,
    /// It answers, and resets its connection after so many set-ups.
    Resets(usize),
    /// Each stands at once and ends so many seconds later.
    Holds(f64),
    /// Each stands after so many seconds, and ends after some more: so many on average.
    Stands(f64, f64),
    /// Each stands at once; of so many answers one stops short of its length, with the next ones behind it.
    StopsShort(usize),
    /// Each stands at once, is answered twice, and another answer under an id that nobody knows comes ahead.
    Repeats,
}

/// What a signal does, besides being sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// SIGHUP with the file as it was.
    SameFile,
    /// SIGHUP with another goal.
    NewFile,
    /// SIGHUP with half a file.
    BrokenFile,
    /// A further SIGTERM.
    Term,
    /// SIGSTOP, and SIGCONT a tenth of a second later.
    Pause,
}

/// How a caller behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// It sends, and waits for the answer.
    Plain,
    /// It sends in two pieces.
    Pieces,
    /// It cancels a moment later.
    Cancels,
    /// It closes its connection right behind the set-up.
    Closes,
    /// It never reads.
    Deaf,
    /// It reads its answer, or all but the last message, and closes with the end unread.
    LeavesEnd,
    /// It reads nothing and closes with both unread.
    LeavesBoth,
    /// It closes for writing once it has read its answer, and then altogether.
    HalfCloses,
    /// It reads its answer and the end, and resets its connection.
    Aborts,
}

/// What callers bring to a gatekeeper.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Set-ups a second.
    pub rate: f64,
    /// The longest deadline, in seconds.
    pub deadline: f64,
    /// Connections that callers keep open.
    pub kept: usize,
    /// Servers that they name as their first choice.
    pub pools: u32,
    /// The id of the first call.
    pub first_id: u64,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The longest deadline, in seconds.
    pub deadline: f64,
    /// Set-ups a second.
    pub rate: f64,
    /// Connections that callers keep open.
    pub kept: usize,
    /// The servers.
    pub servers: Vec<Service>,
    /// When SIGTERM comes, counted from the first set-up.
    pub term_at: f64,
    /// For how long after it new connections come.
    pub connects: f64,
    /// Further signals, counted from SIGTERM, in order.
    pub signals: Vec<(f64, Signal)>,
    /// A crowd of callers that connect in one moment, counted from SIGTERM, and how many.
    pub crowd: Option<(f64, usize)>,
    /// A second process listens at the address before SIGTERM.
    pub upgrade: bool,
}

impl Plan {
    /// What its callers bring.
    pub fn load(&self) -> Load {
        let (rate, deadline, kept) = (self.rate, self.deadline, self.kept);
        Load { rate, deadline, kept, pools: self.servers.len() as u32, first_id: 1 }
    }

    /// The run of a seed.
    pub fn of(seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let servers = (0..rng.gen_range(1..=3)).map(|_| service(&mut rng)).collect();
        let mut signals: Vec<(f64, Signal)> = (0..rng.gen_range(0..=5))
            .map(|_| {
                let (at, signal): (f64, Signal) = (rng.gen_range(-0.2..0.9), signal(&mut rng));
                // A second SIGTERM before the first would be the first.
                (if signal == Signal::Term { at.abs() } else { at }, signal)
            })
            .collect();
        signals.sort_by(|a, b| a.0.total_cmp(&b.0));
        let crowd = rng.gen_bool(0.4).then(|| (rng.gen_range(-0.2..0.3), rng.gen_range(50..=200)));
        Plan {
            deadline: [0.8, 1.5, 3.0][rng.gen_range(0..3)],
            rate: rng.gen_range(20.0..400.0),
            kept: rng.gen_range(4..=16),
            servers,
            term_at: rng.gen_range(LOAD.0..LOAD.1),
            connects: rng.gen_range(0.2..0.4),
            signals,
            crowd,
            upgrade: rng.gen_bool(0.4),
        }
    }
}

fn service(rng: &mut ChaCha8Rng) -> Service {
    match rng.gen_range(0..13) {
        0..=3 => Service::Answers(0.0),
        4..=6 => Service::Answers(rng.gen_range(0.01..0.3)),
        7 => Service::Hangs,
        8 => Service::Full,
        9 => Service::Resets(rng.gen_range(5..50)),
        10 => Service::Holds(rng.gen_range(0.05..0.5)),
        11 => Service::StopsShort(rng.gen_range(5..30)),
        _ => Service::Repeats,
    }
}

fn signal(rng: &mut ChaCha8Rng) -> Signal {
    match rng.gen_range(0..5) {
        0 => Signal::SameFile,
        1 => Signal::NewFile,
        2 => Signal::BrokenFile,
        3 => Signal::Term,
        _ => Signal::Pause,
    }
}

/// How the next caller behaves.
pub fn manner(rng: &mut ChaCha8Rng) -> Manner {
    match rng.gen_range(0..40) {
        0..=2 => Manner::Pieces,
        3 => Manner::Cancels,
        4 => Manner::Closes,
        5 => Manner::Deaf,
        6..=7 => Manner::LeavesEnd,
        8 => Manner::LeavesBoth,
        9 => Manner::HalfCloses,
        10 => Manner::Aborts,
        _ => Manner::Plain,
    }
}
