//! The budget of descriptors: what callers may hold beside the connections to servers, however many are listed. Guards against
//! callers that fill the descriptors: the servers, the resolver at a reload and the control address would find none left.

/// Part of the descriptors that callers' connections may take at most; the usual ones hold a third by themselves.
const CALLERS_MOST: f64 = 0.7;
/// Part that is left to callers before a server gets a further connection.
const CALLERS_LEAST: f64 = 0.4;
/// Connections to one server at most: it tells its state on no more than four.
const EACH_SERVER: usize = 3;
/// What a gatekeeper holds beside connections: the standard streams, the poller's three, the listener, the resolver's and
/// at a reload its successor's, the files that are read then, and a few to spare.
pub const FIXED: usize = 16;

/// Descriptors that a gatekeeper may hold, and how many of them belong to neither callers nor servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// All.
    pub all: usize,
    /// Those of neither.
    pub fixed: usize,
}

/// How they are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Divided {
    /// Connections that callers may hold.
    pub callers: usize,
    /// Connections that each server may have.
    pub each_server: usize,
}

impl Descriptors {
    /// Divides them with so many servers listed. Each gets one connection; where there are too few descriptors even for
    /// that, callers keep one.
    pub fn divided(&self, servers: usize) -> Divided {
        let part = |share: f64| (self.all as f64 * share) as usize;
        let left = |each: usize| self.all.saturating_sub(self.fixed + each * servers);
        let each_server =
            (2..=EACH_SERVER).rev().find(|each| left(*each) >= part(CALLERS_LEAST)).unwrap_or(1);
        Divided { callers: left(each_server).min(part(CALLERS_MOST)).max(1), each_server }
    }

    /// Whether they suffice for a connection to each of so many servers and for as many callers as hold a third.
    pub fn suffice(&self, servers: usize) -> bool {
        self.all >= self.fixed + servers + self.all / 3
    }
}
