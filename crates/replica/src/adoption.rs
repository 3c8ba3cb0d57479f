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
pub struct Adopted {
    /// Whose it was.
    pub origin: Origin,
    /// Since when it stands.
    pub since: f64,
    /// Where, and of which class.
    pub fact: CallFact,
}

/// Who sees to the calls of a life of a member that took them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heir {
    /// That life itself.
    Itself,
    /// A later life of the same member.
    Later(MemberId),
    /// One of the living, for each call.
    Living,
}

/// Who sees to the calls of a stream.
pub fn heir(origin: &Origin, view: &Membership) -> Heir {
    let gone = matches!(view.state(origin.member), State::Gone(_));
    match view.incarnation_of(origin.member) {
        _ if gone => Heir::Living,
        Some(life) if life > origin.life => Heir::Later(origin.member),
        _ => Heir::Itself,
    }
}

/// Whether this member may begin to see to calls of an origin. Guards against a member without a majority that takes over the
/// calls of one that it merely does not hear, and that goes on where others hear it.
pub fn may_begin(origin: &Origin, view: &Membership) -> bool {
    origin.member == view.own_id() || view.quorum_is_stable() || view.process_ended(origin.member)
}

/// The calls that are the own member's to see to.
pub fn adopted(store: &Store, view: &Membership) -> BTreeMap<u64, Adopted> {
    let (own, owned) = (view.own_id(), store.stream(&store.own()));
    let living: Vec<(MemberId, u64)> = view.live_members().map(|m| (m, m.0)).collect();
    let mut all = BTreeMap::new();
    for (origin, stream) in store.streams().filter(|(o, _)| **o != store.own()) {
        let mine = match heir(origin, view) {
            Heir::Itself => continue,
            Heir::Later(member) if member != own => continue,
            Heir::Later(_) => None,
            Heir::Living => Some(&living),
        };
        for (id, since, fact) in Store::calls(stream) {
            let is_mine = mine.is_none_or(|living| owner(id, living.iter().copied()) == Some(own));
            // One that raised its incarnation has them in its present stream, too.
            let has = owned.is_some_and(|s| s.get(&Key::Call(id)).is_some());
            if is_mine && !has && !store.over(id) {
                all.insert(id, Adopted { origin: *origin, since, fact });
            }
        }
    }
    all
}
