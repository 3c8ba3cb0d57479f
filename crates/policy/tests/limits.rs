//! Limits on the size of the decision module, set by its users.

const MODULE: &str = include_str!("../src/controller.rs");

#[test]
fn the_decision_module_stays_within_950_non_blank_lines() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines");
}

#[test]
fn no_line_of_the_decision_module_is_longer_than_110_characters() {
    for (n, line) in MODULE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", n + 1);
    }
}
