//! The budget of descriptors.

use hollypaddle_service::descriptors::{Descriptors, FIXED};

/// Whatever the limit and the list, callers and servers together stay within it, usual callers keep their third, and every
/// server has its connection, as far as there are descriptors for that at all.
#[test]
fn callers_and_servers_stay_within_the_limit_and_neither_takes_it_all() {
    for all in (24..=2048).step_by(8) {
        let descriptors = Descriptors { all, fixed: FIXED };
        for servers in 0..=64 {
            let divided = descriptors.divided(servers);
            assert!(divided.callers >= 1 && (1..=3).contains(&divided.each_server));
            if descriptors.suffice(servers) {
                let taken = FIXED + divided.callers + divided.each_server * servers;
                assert!(taken <= all, "{divided:?} of {all} with {servers}");
                assert!(divided.callers >= all / 3, "{divided:?} of {all} with {servers}");
            }
        }
    }
}

#[test]
fn the_smallest_limit_bears_the_largest_list() {
    let descriptors = Descriptors { all: 256, fixed: FIXED };
    let divided = descriptors.divided(36);
    assert_eq!((divided.callers, divided.each_server), (132, 3));
    let plenty = Descriptors { all: 1024, fixed: FIXED }.divided(36);
    assert_eq!((plenty.callers, plenty.each_server), (716, 3));
    assert!(!Descriptors { all: 40, fixed: FIXED }.suffice(36));
}
