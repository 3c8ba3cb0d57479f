//! The plan of one run, drawn from its seed.

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Range of the seconds of load before SIGTERM.
const LOAD_S: (f64, f64) = (0.3, 0.8);

/// How a session server handles set-ups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Answers each after this delay in seconds, and ends the call at once.
    Answers(f64),
    /// Sends nothing.
    Hangs,
    /// Refuses each as full.
    Full,
    /// Answers each, and resets its connection after this number of set-ups.
    Resets(usize),
    /// Answers each at once, and ends the call after this number of seconds.
    Holds(f64),
    /// Answers each after the first number of seconds, and ends the call after a random time with the second number as mean.
    HoldsRandomly(f64, f64),
    /// Answers each at once, but truncates one answer in this number; the next messages follow it directly.
    TruncatesAnswers(usize),
    /// Answers each at once and twice, preceded by an answer to an unknown call id.
    RepeatsAnswers,
}

/// A signal to the program, and the change of its platform file that goes with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// SIGHUP with the same file.
    SameFile,
    /// SIGHUP with a changed goal time.
    NewFile,
    /// SIGHUP with a file that is cut in half.
    BrokenFile,
    /// A further SIGTERM.
    Term,
    /// SIGSTOP, followed by SIGCONT 0.1 s later.
    Pause,
}

/// How a caller behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallerBehavior {
    /// Sends the set-up and waits for the answer.
    Plain,
    /// Writes the set-up in two parts.
    SendsInParts,
    /// Cancels the set-up shortly after it.
    Cancels,
    /// Closes its connection directly after the set-up.
    Closes,
    /// Never reads.
    NeverReads,
    /// Reads its answer, or all messages but the last one, and closes with the end unread.
    LeavesEndUnread,
    /// Reads nothing, and closes with answer and end unread.
    LeavesAllUnread,
    /// Closes for writing once it has read its answer, and completely later.
    HalfCloses,
    /// Reads its answer and the end, and resets its connection.
    ResetsAtEnd,
}

/// The load of the callers of one gatekeeper.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Set-ups a second.
    pub set_ups_per_s: f64,
    /// The longest deadline, in seconds.
    pub deadline: f64,
    /// Connections that callers keep open.
    pub kept_connections: usize,
    /// Number of servers from which they take their first choice.
    pub first_choices: u32,
    /// Id of the first call.
    pub first_id: u64,
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The longest deadline, in seconds.
    pub deadline: f64,
    /// Set-ups a second.
    pub set_ups_per_s: f64,
    /// Connections that callers keep open.
    pub kept_connections: usize,
    /// Behaviour of each server.
    pub servers: Vec<ServerBehavior>,
    /// When SIGTERM is sent, in seconds since the start of the load.
    pub term_at: f64,
    /// For how many seconds after SIGTERM callers open new connections.
    pub connects_for_s: f64,
    /// Further signals in order of their times, in seconds relative to SIGTERM.
    pub signals: Vec<(f64, Signal)>,
    /// A burst of callers that connect at once: the time in seconds relative to SIGTERM, and their number.
    pub connection_burst: Option<(f64, usize)>,
    /// Whether a second process listens at the same address before SIGTERM.
    pub upgrade: bool,
}

impl Plan {
    /// The load of its callers.
    pub fn load(&self) -> Load {
        let (set_ups_per_s, deadline, kept_connections) =
            (self.set_ups_per_s, self.deadline, self.kept_connections);
        Load {
            set_ups_per_s,
            deadline,
            kept_connections,
            first_choices: self.servers.len() as u32,
            first_id: 1,
        }
    }

    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let servers = (0..rng.gen_range(1..=3)).map(|_| random_server_behavior(&mut rng)).collect();
        let mut signals: Vec<(f64, Signal)> = (0..rng.gen_range(0..=5))
            .map(|_| {
                let (at, signal): (f64, Signal) = (rng.gen_range(-0.2..0.9), random_signal(&mut rng));
                // A further SIGTERM before the planned one would take its place as the first.
                (if signal == Signal::Term { at.abs() } else { at }, signal)
            })
            .collect();
        signals.sort_by(|a, b| a.0.total_cmp(&b.0));
        let connection_burst = rng.gen_bool(0.4).then(|| (rng.gen_range(-0.2..0.3), rng.gen_range(50..=200)));
        Plan {
            deadline: [0.8, 1.5, 3.0][rng.gen_range(0..3)],
            set_ups_per_s: rng.gen_range(20.0..400.0),
            kept_connections: rng.gen_range(4..=16),
            servers,
            term_at: rng.gen_range(LOAD_S.0..LOAD_S.1),
            connects_for_s: rng.gen_range(0.2..0.4),
            signals,
            connection_burst,
            upgrade: rng.gen_bool(0.4),
        }
    }
}

fn random_server_behavior(rng: &mut ChaCha8Rng) -> ServerBehavior {
    match rng.gen_range(0..13) {
        0..=3 => ServerBehavior::Answers(0.0),
        4..=6 => ServerBehavior::Answers(rng.gen_range(0.01..0.3)),
        7 => ServerBehavior::Hangs,
        8 => ServerBehavior::Full,
        9 => ServerBehavior::Resets(rng.gen_range(5..50)),
        10 => ServerBehavior::Holds(rng.gen_range(0.05..0.5)),
        11 => ServerBehavior::TruncatesAnswers(rng.gen_range(5..30)),
        _ => ServerBehavior::RepeatsAnswers,
    }
}

fn random_signal(rng: &mut ChaCha8Rng) -> Signal {
    match rng.gen_range(0..5) {
        0 => Signal::SameFile,
        1 => Signal::NewFile,
        2 => Signal::BrokenFile,
        3 => Signal::Term,
        _ => Signal::Pause,
    }
}

/// Draws the behaviour of a caller on a new connection.
pub fn random_caller_behavior(rng: &mut ChaCha8Rng) -> CallerBehavior {
    match rng.gen_range(0..40) {
        0..=2 => CallerBehavior::SendsInParts,
        3 => CallerBehavior::Cancels,
        4 => CallerBehavior::Closes,
        5 => CallerBehavior::NeverReads,
        6..=7 => CallerBehavior::LeavesEndUnread,
        8 => CallerBehavior::LeavesAllUnread,
        9 => CallerBehavior::HalfCloses,
        10 => CallerBehavior::ResetsAtEnd,
        _ => CallerBehavior::Plain,
    }
}
