//! Whose the calls of a member are that is gone.
//!
//! A call belongs to the life that took it. When that is over, it belongs to the same member's next life, if that is
//! there; else to one of the living, by rendezvous hashing. Nobody has to agree on it: members that see the same
//! living name the same adopter, and where they don't, two believe they own a call. Neither sends a set-up for it,
//! so all it costs is a doubled word: the caller may hear of the end twice, a server may get a second release of a call
//! it has released. Both pass over that. The first of them to record the end makes the other yield.

use std::collections::BTreeMap;

use hollypaddle_membership::view::{Membership, State};
use hollypaddle_membership::MemberId;
use hollypaddle_ownership::owner;

use crate::record::{CallFact, Key, Origin};
use crate::store::Store;

/// A call that this member is to see to in place of its origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdoptedCall {
    /// Whose it was.
    pub origin: Origin,
    /// Since when it stands.
    pub since: f64,
    /// Where, and of which class.
    pub fact: CallFact,
}

/// Who sees to the calls of a life of a member that took them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOwner {
    /// That life itself.
    Origin,
    /// A later life of the same member.
    LaterIncarnation(MemberId),
    /// One of the living, for each call.
    LiveMembers,
}

/// Who sees to the calls of a stream.
pub fn call_owner(origin: &Origin, view: &Membership) -> CallOwner {
    let gone = matches!(view.state(origin.member), State::Gone(_));
    match view.incarnation_of(origin.member) {
        _ if gone => CallOwner::LiveMembers,
        Some(life) if life > origin.life => CallOwner::LaterIncarnation(origin.member),
        _ => CallOwner::Origin,
    }
}

/// Whether this member may begin to see to calls of an origin. Guards against a member without a majority that takes over the
/// calls of one that it merely does not hear, and that goes on where others hear it.
pub fn may_adopt(origin: &Origin, view: &Membership) -> bool {
    origin.member == view.own_id() || view.quorum_is_stable() || view.process_ended(origin.member)
}

/// The calls that are the own member's to see to.
pub fn calls_to_adopt(store: &Store, view: &Membership) -> BTreeMap<u64, AdoptedCall> {
    let (own, owned) = (view.own_id(), store.stream(&store.own_origin()));
    let living: Vec<(MemberId, u64)> = view.live_members().map(|m| (m, m.0)).collect();
    let mut all = BTreeMap::new();
    for (origin, stream) in store.streams().filter(|(o, _)| **o != store.own_origin()) {
        let mine = match call_owner(origin, view) {
            CallOwner::Origin => continue,
            CallOwner::LaterIncarnation(member) if member != own => continue,
            CallOwner::LaterIncarnation(_) => None,
            CallOwner::LiveMembers => Some(&living),
        };
        for (id, since, fact) in Store::calls_in(stream) {
            let is_mine = mine.is_none_or(|living| owner(id, living.iter().copied()) == Some(own));
            // One that raised its incarnation has them in its present stream, too.
            let has = owned.is_some_and(|s| s.get(&Key::Call(id)).is_some());
            if is_mine && !has && !store.is_call_over(id) {
                all.insert(id, AdoptedCall { origin: *origin, since, fact });
            }
        }
    }
    all
}
