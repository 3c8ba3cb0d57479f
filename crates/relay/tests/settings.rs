//! Settings told as differences, against the sets themselves: whatever is lost, whoever is behind, nothing older wins.

use std::sync::Arc;

use hollypaddle_relay::settings::{Incoming, Mark, Outgoing, Set, SetError, MOST_ENTRY};
use proptest::prelude::*;

type Wanted = Vec<(String, String)>;

fn wanted() -> impl Strategy<Value = Wanted> {
    proptest::collection::btree_map("[a-f]{1,2}", "[a-z]{0,300}", 0..30).prop_map(|m| m.into_iter().collect())
}

fn told(from: &Set, to: &Arc<Set>) -> Option<Set> {
    let (mut outgoing, mut incoming) = (Outgoing::new(Arc::clone(to), from.mark()), None);
    loop {
        let part = outgoing.part();
        match Incoming::take(from, &mut incoming, &part) {
            Ok(None) => assert!(!part.last),
            Ok(Some(set)) => return Some(set),
            Err(_) => return None,
        }
    }
}

fn entries(set: &Set) -> Wanted {
    set.entries().map(|(n, t)| (n.into(), t.into())).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// From any earlier set to any later one, by differences or whole.
    #[test]
    fn who_is_behind_comes_to_the_same_set(steps in proptest::collection::vec(wanted(), 1..12)) {
        let mut sets = vec![Set::default()];
        for wanted in &steps {
            let next = sets[sets.len() - 1].changed(0, wanted).unwrap();
            prop_assert_eq!(&entries(&next), wanted);
            sets.push(next);
        }
        let last = Arc::new(sets[sets.len() - 1].clone());
        for held in &sets {
            let set = told(held, &last);
            prop_assert!(set.is_some());
            let set = set.unwrap_or_default();
            prop_assert_eq!(set.mark(), last.mark());
            prop_assert_eq!(entries(&set), entries(&last));
        }
    }

    /// Parts that are lost or come in another order never make a wrong set.
    #[test]
    fn lost_and_overtaken_parts_make_no_wrong_set(
        a in wanted(), b in wanted(), order in proptest::collection::vec(0usize..12, 1..40)
    ) {
        let old = Set::default().changed(0, &a).unwrap();
        let new = Arc::new(old.changed(0, &b).unwrap());
        let mut parts = Vec::new();
        for held in [Mark::default(), old.mark()] {
            let mut outgoing = Outgoing::new(Arc::clone(&new), held);
            loop {
                let part = outgoing.part();
                parts.push(part.clone());
                if part.last { break }
            }
        }
        let mut incoming = None;
        for at in order {
            if let Ok(Some(set)) = Incoming::take(&old, &mut incoming, &parts[at % parts.len()]) {
                prop_assert_eq!(set.mark(), new.mark());
                prop_assert_eq!(entries(&set), entries(&new));
            }
        }
    }

    /// Two lives of a writer may make two sets of one version: who holds the one is told the whole of the other.
    #[test]
    fn another_set_of_the_same_version_is_told_whole(a in wanted(), b in wanted()) {
        let (x, y) = (Set::default().changed(4, &a).unwrap(), Arc::new(Set::default().changed(4, &b).unwrap()));
        prop_assume!(x.mark().version == y.mark().version && x.mark() != y.mark());
        prop_assert_eq!(y.from(x.mark()), 0);
        let set = told(&x, &y);
        prop_assert_eq!(set.map(|s| entries(&s)), Some(entries(&y)));
    }
}

#[test]
fn removed_entries_beyond_the_memory_need_the_whole() {
    let all = |n: usize| (0..n).map(|k| (format!("entry {k}"), "text".to_string())).collect::<Wanted>();
    let mut set = Set::default().changed(0, &all(600)).unwrap();
    let old = set.clone();
    for left in (0..600).rev().step_by(50) {
        set = set.changed(0, &all(left)).unwrap();
    }
    assert_eq!(set.from(old.mark()), 0, "600 were removed, 256 are remembered");
    let set = Arc::new(set);
    assert_eq!(told(&old, &set).map(|s| entries(&s)), Some(entries(&set)));
}

#[test]
fn a_set_that_is_too_large_says_why() {
    let one = |name: &str, bytes: usize| (name.to_string(), "x".repeat(bytes));
    let set = Set::default();
    assert_eq!(
        set.changed(0, &[one("a", MOST_ENTRY)]),
        Err(SetError::Entry { name: "a".into(), bytes: MOST_ENTRY + 1 })
    );
    assert_eq!(set.changed(0, &[one("a", 1), one("a", 2)]), Err(SetError::Twice("a".into())));
    let many: Wanted = (0..20).map(|n| one(&format!("e{n}"), 4000)).collect();
    assert!(matches!(set.changed(0, &many), Err(SetError::Bytes(_))));
    let many: Wanted = (0..4097).map(|n| one(&format!("e{n}"), 1)).collect();
    assert_eq!(set.changed(0, &many), Err(SetError::Entries(4097)));
}
