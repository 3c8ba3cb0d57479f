//! Decides which member takes over the calls of a member that is gone.
//!
//! A call belongs to the incarnation that accepted it. When that is over, it belongs to the same member's next
//! incarnation, if there is one, or else to one of the live members, by rendezvous hashing. Members need not agree on
//! this: those that see the same live members name the same adopter, and where they differ, two members believe that
//! they own a call. Neither sends a set-up for it, so the only cost is a duplicate message: the caller may receive
//! the end twice, and a server may get a second release of a call that it has released. Both ignore that. The first
//! of the two members to record the end makes the other yield.

use std::collections::BTreeMap;

use hollypaddle_membership::view::{Membership, State};
use hollypaddle_membership::MemberId;
use hollypaddle_ownership::owner;

use crate::record::{CallFact, Key, Origin};
use crate::store::Store;

/// A call that this member is responsible for in place of its origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdoptedCall {
    /// The stream that the call is recorded in.
    pub origin: Origin,
    /// Since when the call stands, on the own clock.
    pub since: f64,
    /// The call's server and class.
    pub fact: CallFact,
}

/// Who is responsible for the calls that an incarnation of a member accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOwner {
    /// That incarnation itself.
    Origin,
    /// A later incarnation of the same member.
    LaterIncarnation(MemberId),
    /// One of the live members, chosen for each call.
    LiveMembers,
}

/// Returns who is responsible for the calls of a stream.
pub fn call_owner(origin: &Origin, view: &Membership) -> CallOwner {
    let gone = matches!(view.state(origin.member), State::Gone(_));
    match view.incarnation_of(origin.member) {
        _ if gone => CallOwner::LiveMembers,
        Some(life) if life > origin.life => CallOwner::LaterIncarnation(origin.member),
        _ => CallOwner::Origin,
    }
}

/// Whether this member may take responsibility for calls of an origin. Guards against a member without a majority that
/// takes over the calls of one that it merely does not receive from, and that goes on working where others receive
/// from it.
pub fn may_adopt(origin: &Origin, view: &Membership) -> bool {
    origin.member == view.own_id() || view.quorum_is_stable() || view.process_ended(origin.member)
}

/// The calls that this member is responsible for in place of others, by call id.
pub fn calls_to_adopt(store: &Store, view: &Membership) -> BTreeMap<u64, AdoptedCall> {
    let (own, own_stream) = (view.own_id(), store.stream(&store.own_origin()));
    let living: Vec<(MemberId, u64)> = view.live_members().map(|m| (m, m.0)).collect();
    let mut adopted = BTreeMap::new();
    for (origin, stream) in store.streams().filter(|(o, _)| **o != store.own_origin()) {
        let candidates = match call_owner(origin, view) {
            CallOwner::Origin => continue,
            CallOwner::LaterIncarnation(member) if member != own => continue,
            CallOwner::LaterIncarnation(_) => None,
            CallOwner::LiveMembers => Some(&living),
        };
        for (id, since, fact) in Store::calls_in(stream) {
            let is_mine = candidates.is_none_or(|living| owner(id, living.iter().copied()) == Some(own));
            // A member that raised its incarnation has them in its present stream, too.
            let recorded_as_own = own_stream.is_some_and(|s| s.get(&Key::Call(id)).is_some());
            if is_mine && !recorded_as_own && !store.is_call_over(id) {
                adopted.insert(id, AdoptedCall { origin: *origin, since, fact });
            }
        }
    }
    adopted
}
