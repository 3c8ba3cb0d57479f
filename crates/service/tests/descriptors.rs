//! Checks how the descriptors are allocation between callers and session servers.

use hollypaddle_service::descriptors::{DescriptorBudget, FIXED_DESCRIPTORS};

/// Whatever the limit and the number of servers, callers and servers together stay within the limit, callers get at least a
/// third, and every server gets a connection, if there are enough descriptors for that.
#[test]
fn callers_and_servers_stay_within_the_limit_and_both_get_their_minimum() {
    for all in (24..=2048).step_by(8) {
        let descriptors = DescriptorBudget { total: all, fixed: FIXED_DESCRIPTORS };
        for servers in 0..=64 {
            let allocation = descriptors.allocate(servers);
            assert!(allocation.callers >= 1 && (1..=3).contains(&allocation.per_server));
            if descriptors.is_sufficient(servers) {
                let taken = FIXED_DESCRIPTORS + allocation.callers + allocation.per_server * servers;
                assert!(taken <= all, "{allocation:?} of {all} with {servers}");
                assert!(allocation.callers >= all / 3, "{allocation:?} of {all} with {servers}");
            }
        }
    }
}

#[test]
fn a_limit_of_256_descriptors_is_enough_for_36_servers_and_40_descriptors_are_not() {
    let descriptors = DescriptorBudget { total: 256, fixed: FIXED_DESCRIPTORS };
    let allocation = descriptors.allocate(36);
    assert_eq!((allocation.callers, allocation.per_server), (132, 3));
    let plenty = DescriptorBudget { total: 1024, fixed: FIXED_DESCRIPTORS }.allocate(36);
    assert_eq!((plenty.callers, plenty.per_server), (716, 3));
    assert!(!DescriptorBudget { total: 40, fixed: FIXED_DESCRIPTORS }.is_sufficient(36));
}
