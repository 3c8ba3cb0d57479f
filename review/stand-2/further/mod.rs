//! What was seen beside the five cases of this review; see `review/REPORT-2.md`.

use crate::Case;

mod dropped_class;
mod embedded_message;
mod end_to_the_front;
mod list_of_before;
mod many_configurations;
mod older_list;
mod older_list_cuts;
mod release_at_exit;
mod releases_after_restart;

pub const CASES: &[Case] = &[
    ("dropped-class", 2.0, dropped_class::play),
    ("embedded-message", 2.0, embedded_message::play),
    ("end-to-the-front", 6.0, end_to_the_front::play),
    ("list-of-before", 2.0, list_of_before::play),
    ("many-configurations", 2.0, many_configurations::play),
    ("older-list", 2.0, older_list::play),
    ("older-list-cuts", 40.0, older_list_cuts::play),
    ("release-at-exit", 60.0, release_at_exit::play),
    ("releases-after-restart", 600.0, releases_after_restart::play),
];
