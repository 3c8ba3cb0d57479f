//! The budget of descriptors.

use hollypaddle_service::descriptors::{DescriptorBudget, FIXED_DESCRIPTORS};

/// Whatever the limit and the list, callers and servers together stay within it, usual callers keep their third, and every
/// server has its connection, as far as there are descriptors for that at all.
#[test]
fn callers_and_servers_stay_within_the_limit_and_neither_takes_it_all() {
    for all in (24..=2048).step_by(8) {
        let descriptors = DescriptorBudget { total: all, fixed: FIXED_DESCRIPTORS };
        for servers in 0..=64 {
            let divided = descriptors.allocate(servers);
            assert!(divided.callers >= 1 && (1..=3).contains(&divided.per_server));
            if descriptors.is_sufficient(servers) {
                let taken = FIXED_DESCRIPTORS + divided.callers + divided.per_server * servers;
                assert!(taken <= all, "{divided:?} of {all} with {servers}");
                assert!(divided.callers >= all / 3, "{divided:?} of {all} with {servers}");
            }
        }
    }
}

#[test]
fn the_smallest_limit_bears_the_largest_list() {
    let descriptors = DescriptorBudget { total: 256, fixed: FIXED_DESCRIPTORS };
    let divided = descriptors.allocate(36);
    assert_eq!((divided.callers, divided.per_server), (132, 3));
    let plenty = DescriptorBudget { total: 1024, fixed: FIXED_DESCRIPTORS }.allocate(36);
    assert_eq!((plenty.callers, plenty.per_server), (716, 3));
    assert!(!DescriptorBudget { total: 40, fixed: FIXED_DESCRIPTORS }.is_sufficient(36));
}
