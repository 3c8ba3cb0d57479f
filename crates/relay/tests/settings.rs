//! Tests that settings sent as differences arrive as the set that was sent: after lost parts, from any older set, and
//! never replaced by an older one.

use std::sync::Arc;

use hollypaddle_relay::settings::{
    IncomingSet, OutgoingSet, Revision, SetError, SettingsSet, MAX_ENTRY_BYTES,
};
use proptest::prelude::*;

type Wanted = Vec<(String, String)>;

fn wanted() -> impl Strategy<Value = Wanted> {
    proptest::collection::btree_map("[a-f]{1,2}", "[a-z]{0,300}", 0..30).prop_map(|m| m.into_iter().collect())
}

fn send(from: &SettingsSet, to: &Arc<SettingsSet>) -> Option<SettingsSet> {
    let (mut outgoing, mut incoming) = (OutgoingSet::new(Arc::clone(to), from.revision()), None);
    loop {
        let part = outgoing.next_part();
        match IncomingSet::accept_part(from, &mut incoming, &part) {
            Ok(None) => assert!(!part.last),
            Ok(Some(set)) => return Some(set),
            Err(_) => return None,
        }
    }
}

fn entries(set: &SettingsSet) -> Wanted {
    set.entries().map(|(n, t)| (n.into(), t.into())).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// From any earlier set to any later one, as differences or whole.
    #[test]
    fn a_holder_of_any_older_set_receives_the_latest_set(steps in proptest::collection::vec(wanted(), 1..12)) {
        let mut sets = vec![SettingsSet::default()];
        for wanted in &steps {
            let next = sets[sets.len() - 1].with_entries(0, wanted).unwrap();
            prop_assert_eq!(&entries(&next), wanted);
            sets.push(next);
        }
        let last = Arc::new(sets[sets.len() - 1].clone());
        for held in &sets {
            let set = send(held, &last);
            prop_assert!(set.is_some());
            let set = set.unwrap_or_default();
            prop_assert_eq!(set.revision(), last.revision());
            prop_assert_eq!(entries(&set), entries(&last));
        }
    }

    /// Parts that are lost or reordered never produce a wrong set.
    #[test]
    fn lost_and_reordered_parts_never_produce_a_wrong_set(
        a in wanted(), b in wanted(), order in proptest::collection::vec(0usize..12, 1..40)
    ) {
        let old = SettingsSet::default().with_entries(0, &a).unwrap();
        let new = Arc::new(old.with_entries(0, &b).unwrap());
        let mut parts = Vec::new();
        for held in [Revision::default(), old.revision()] {
            let mut outgoing = OutgoingSet::new(Arc::clone(&new), held);
            loop {
                let part = outgoing.next_part();
                parts.push(part.clone());
                if part.last { break }
            }
        }
        let mut incoming = None;
        for at in order {
            if let Ok(Some(set)) = IncomingSet::accept_part(&old, &mut incoming, &parts[at % parts.len()]) {
                prop_assert_eq!(set.revision(), new.revision());
                prop_assert_eq!(entries(&set), entries(&new));
            }
        }
    }

    /// Two incarnations of a writer may create two sets of one version: a holder of one is sent the whole of the
    /// other.
    #[test]
    fn a_different_set_of_the_same_version_is_sent_whole(a in wanted(), b in wanted()) {
        let (x, y) = (SettingsSet::default().with_entries(4, &a).unwrap(), Arc::new(SettingsSet::default().with_entries(4, &b).unwrap()));
        prop_assume!(x.revision().version == y.revision().version && x.revision() != y.revision());
        prop_assert_eq!(y.diff_base(x.revision()), 0);
        let set = send(&x, &y);
        prop_assert_eq!(set.map(|s| entries(&s)), Some(entries(&y)));
    }
}

#[test]
fn a_holder_older_than_the_remembered_removals_is_sent_the_whole_set() {
    let all = |n: usize| (0..n).map(|k| (format!("entry {k}"), "text".to_string())).collect::<Wanted>();
    let mut set = SettingsSet::default().with_entries(0, &all(600)).unwrap();
    let old = set.clone();
    for left in (0..600).rev().step_by(50) {
        set = set.with_entries(0, &all(left)).unwrap();
    }
    assert_eq!(set.diff_base(old.revision()), 0, "600 were removed, 256 are remembered");
    let set = Arc::new(set);
    assert_eq!(send(&old, &set).map(|s| entries(&s)), Some(entries(&set)));
}

#[test]
fn invalid_sets_are_rejected_with_the_reason() {
    let one = |name: &str, bytes: usize| (name.to_string(), "x".repeat(bytes));
    let set = SettingsSet::default();
    assert_eq!(
        set.with_entries(0, &[one("a", MAX_ENTRY_BYTES)]),
        Err(SetError::EntryTooLong { name: "a".into(), bytes: MAX_ENTRY_BYTES + 1 })
    );
    assert_eq!(set.with_entries(0, &[one("a", 1), one("a", 2)]), Err(SetError::DuplicateName("a".into())));
    let many: Wanted = (0..20).map(|n| one(&format!("e{n}"), 4000)).collect();
    assert!(matches!(set.with_entries(0, &many), Err(SetError::TooLong(_))));
    let many: Wanted = (0..4097).map(|n| one(&format!("e{n}"), 1)).collect();
    assert_eq!(set.with_entries(0, &many), Err(SetError::TooManyEntries(4097)));
}
