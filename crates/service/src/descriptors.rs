//! Divides the file descriptors between callers and session servers.
//!
//! Guards against callers that use up all descriptors, so that none are left for the servers, the resolver at a reload and the
//! control address.

/// Maximum ratio of the descriptors for callers' connections; usual callers need a third.
const MAX_CALLERS_RATIO: f64 = 0.7;
/// Minimum ratio that must remain for callers before a server gets a further connection.
const MIN_CALLERS_RATIO: f64 = 0.4;
/// Maximum number of connections to one server, which reports its state on at most four.
const MAX_CONNECTIONS_PER_SERVER: usize = 3;
/// Number of descriptors that a gatekeeper needs besides connections: the standard streams, three of the poller, the listener,
/// the resolver's and at a reload the new resolver's, the files that are read then, and a few spare ones.
pub const FIXED_DESCRIPTORS: usize = 16;

/// The descriptors that a gatekeeper may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Number of all descriptors.
    pub total: usize,
    /// Number of those that are for neither callers nor servers.
    pub fixed: usize,
}

/// How many connections callers and servers may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Maximum number of callers' connections in all.
    pub callers: usize,
    /// Maximum number of connections to each server.
    pub per_server: usize,
}

impl DescriptorBudget {
    /// Divides the descriptors for a list of `servers` servers. Each server gets at least one connection; callers keep at
    /// least one even if there are too few descriptors for that.
    pub fn allocate(&self, servers: usize) -> Allocation {
        let part = |share: f64| (self.total as f64 * share) as usize;
        let left = |each: usize| self.total.saturating_sub(self.fixed + each * servers);
        let per_server = (2..=MAX_CONNECTIONS_PER_SERVER)
            .rev()
            .find(|each| left(*each) >= part(MIN_CALLERS_RATIO))
            .unwrap_or(1);
        Allocation { callers: left(per_server).min(part(MAX_CALLERS_RATIO)).max(1), per_server }
    }

    /// Returns whether the descriptors suffice for one connection to each server and a third of the total for callers.
    pub fn is_sufficient(&self, servers: usize) -> bool {
        self.total >= self.fixed + servers + self.total / 3
    }
}
