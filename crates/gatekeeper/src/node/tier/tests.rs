use hollypaddle_relay::settings::SetError;

use super::*;

/// Each reason for rejecting the fleet's settings must have a row on the page for on-call staff, and a text that says what to do.
#[test]
fn each_settings_error_is_documented_for_on_call_staff() {
    let page = include_str!("../../../../../docs/ONCALL.md");
    let refused = [
        SettingsError::NotWriter,
        SettingsError::CatchingUp,
        SettingsError::NoMajority { reachable: 1, total: 3 },
        SettingsError::Set(SetError::TooManyEntries(9)),
        SettingsError::Set(SetError::EntryTooLong { name: "x".into(), bytes: 9 }),
        SettingsError::Set(SetError::TooLong(9)),
        SettingsError::Set(SetError::DuplicateName("x".into())),
    ];
    let all = refused.into_iter().map(SettingsFileError::Refused).chain([SettingsFileError::File(3)]);
    for error in all {
        let row = format!("| `{}` |", error.name());
        assert!(page.contains(&row), "{row} is not in docs/ONCALL.md");
        assert!(error.to_string().contains(':'), "{error} does not say what to do");
    }
}

/// Each log event of a tier must have a row on that page.
#[test]
fn each_log_event_is_documented_for_on_call_staff() {
    let page = include_str!("../../../../../docs/ONCALL.md");
    let sources = [
        include_str!("../tier.rs"),
        include_str!("../relays.rs"),
        include_str!("../event_loop.rs"),
        include_str!("../event_loop/control.rs"),
        include_str!("../event_loop/draining.rs"),
        include_str!("../event_loop/settings.rs"),
        include_str!("../event_loop/stopping.rs"),
        include_str!("../clients/draining.rs"),
    ];
    let mut found = 0;
    for source in sources {
        // The name follows the fields, or is the only argument.
        for line in source.split("log::").skip(1) {
            let after = |mark: &str| line.split_once(mark).map(|(before, name)| (before.len(), name));
            let level = |at: usize| !line[..at].contains(");");
            let name = [after("; \""), after("!(\"")].into_iter().flatten().filter(|(at, _)| level(*at));
            let Some((_, name)) = name.min_by_key(|(at, _)| *at) else { continue };
            let name = name.split('"').next().unwrap();
            assert!(
                ['`', ' '].iter().any(|end| page.contains(&format!("`{name}{end}"))),
                "the event {name:?} is not in docs/ONCALL.md"
            );
            found += 1;
        }
    }
    assert!(found > 30, "only {found} events were found");
}

/// The defaults of the configuration must equal those that the limits of the crate `relay` were computed with.
#[test]
fn defaults_of_the_configuration_equal_those_of_the_relay_crate() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.conf");
    std::fs::write(&path, "fleet {\n relay r1 127.0.0.1:7100\n}\n").unwrap();
    let conf = hollypaddle_config::load(&path, &hollypaddle_config::Names::default()).unwrap();
    let tier = conf.fleet.unwrap().tier.unwrap();
    assert_eq!(timing(&tier), Timing::default());
}
