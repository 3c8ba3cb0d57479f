//! The cold budget as a sum: a few of the runs of `hollypaddle-measure cold`, with fixed seeds.

use hollypaddle_drive::cold::{play, Case, Figures, KINDS};

/// What fronts send to a cold server that were told of its start stays within what the settings allow in any window, and
/// two roots of it and two, whoever else is pressed, redials, restarts or drains; and the server is not left idle.
#[test]
fn a_cold_server_bears_what_all_fronts_send_in_sum() {
    for kind in KINDS {
        for fronts in [1, 8, 30] {
            let figures = Figures::of(kind, fronts);
            for case in Case::ALL {
                for seed in 1..=2 {
                    let shown = play(figures, case, seed);
                    let told = !matches!(case, Case::Untold | Case::Some | Case::Late);
                    assert!(!shown.broken, "{case:?}, {fronts} fronts, seed {seed}: {shown:?}");
                    assert!(
                        !told || shown.beyond <= 0.0,
                        "{case:?}, {fronts} fronts, seed {seed}: {shown:?}"
                    );
                    assert!(case == Case::New || shown.used > 0.1, "{case:?}, {fronts} fronts: {shown:?}");
                }
            }
        }
    }
}
