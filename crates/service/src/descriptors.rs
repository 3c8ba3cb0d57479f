//! The budget of descriptors: what callers may hold beside the connections to servers, however many are listed. Guards against
//! callers that fill the descriptors: the servers, the resolver at a reload and the control address would find none left.

/// Part of the descriptors that callers' connections may take at most; the usual ones hold a third by themselves.
const MAX_CALLERS_RATIO: f64 = 0.7;
/// Part that is left to callers before a server gets a further connection.
const MIN_CALLERS_RATIO: f64 = 0.4;
/// Connections to one server at most: it tells its state on no more than four.
const MAX_CONNECTIONS_PER_SERVER: usize = 3;
/// What a gatekeeper holds beside connections: the standard streams, the poller's three, the listener, the resolver's and
/// at a reload its successor's, the files that are read then, and a few to spare.
pub const FIXED_DESCRIPTORS: usize = 16;

/// Descriptors that a gatekeeper may hold, and how many of them belong to neither callers nor servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// All.
    pub total: usize,
    /// Those of neither.
    pub fixed: usize,
}

/// How they are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Connections that callers may hold.
    pub callers: usize,
    /// Connections that each server may have.
    pub per_server: usize,
}

impl DescriptorBudget {
    /// Divides them with so many servers listed. Each gets one connection; where there are too few descriptors even for
    /// that, callers keep one.
    pub fn allocate(&self, servers: usize) -> Allocation {
        let part = |share: f64| (self.total as f64 * share) as usize;
        let left = |each: usize| self.total.saturating_sub(self.fixed + each * servers);
        let per_server = (2..=MAX_CONNECTIONS_PER_SERVER)
            .rev()
            .find(|each| left(*each) >= part(MIN_CALLERS_RATIO))
            .unwrap_or(1);
        Allocation { callers: left(per_server).min(part(MAX_CALLERS_RATIO)).max(1), per_server }
    }

    /// Whether they suffice for a connection to each of so many servers and for as many callers as hold a third.
    pub fn is_sufficient(&self, servers: usize) -> bool {
        self.total >= self.fixed + servers + self.total / 3
    }
}
