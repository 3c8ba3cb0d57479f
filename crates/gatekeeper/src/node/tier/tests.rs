use hollypaddle_relay::settings::SetError;

use super::*;

/// Each reason for which settings of the fleet are refused has a row on the page for on-call staff, and says what can be
/// done.
#[test]
fn every_refusal_of_settings_is_on_the_page_for_on_call_staff() {
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
        assert!(error.to_string().contains(':'), "{error} says nothing of what can be done");
    }
}

/// Each event of a tier has a row on that page.
#[test]
fn every_event_is_on_the_page_for_on_call_staff() {
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
        // The name stands behind the fields, or alone.
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

/// The file's defaults are those that the crate's bounds were reckoned with.
#[test]
fn what_the_file_leaves_out_is_what_the_relays_were_reckoned_with() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.conf");
    std::fs::write(&path, "fleet {\n relay r1 127.0.0.1:7100\n}\n").unwrap();
    let conf = hollypaddle_config::load(&path, &hollypaddle_config::Names::default()).unwrap();
    let tier = conf.fleet.unwrap().tier.unwrap();
    assert_eq!(timing(&tier), Timing::default());
}
