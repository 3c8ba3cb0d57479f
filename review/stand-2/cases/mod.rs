//! The cases of `review/6` to `review/10`.

use crate::Case;

mod broken_file;
mod foreign_end;
mod late_connection;
mod refused_connection;
mod replaced_server;

pub const CASES: &[Case] = &[
    ("replaced-server", 40.0, replaced_server::play),
    ("late-connection", 60.0, late_connection::play),
    ("refused-connection", 40.0, refused_connection::play),
    ("foreign-end", 9.4, foreign_end::play),
    ("broken-file", 2.0, broken_file::play),
];
