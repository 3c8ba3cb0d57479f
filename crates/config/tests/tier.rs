//! Reads the block `fleet` with relays, and the settings that belong to a whole fleet.

use std::path::{Path, PathBuf};

use hollypaddle_config::{entries, load, load_with, Conf, Names, OwnFile};
use proptest::prelude::*;

fn names() -> Names {
    let list = |names: &[&str]| Some(names.iter().map(|n| n.to_string()).collect());
    Names { districts: list(&["downtown", "riverside"]), classes: list(&["meter-read", "valve-set"]) }
}

/// A temporary folder with files; problems are reported without its name.
struct Files(tempfile::TempDir);

impl Files {
    fn new(files: &[(&str, &str)]) -> Files {
        let all = Files(tempfile::tempdir().unwrap());
        files.iter().for_each(|(name, text)| all.write(name, text));
        all
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path(name), text).unwrap();
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn reported<T: std::fmt::Debug>(&self, read: Result<T, Vec<hollypaddle_config::Problem>>) -> Vec<String> {
        let prefix = format!("{}/", self.0.path().display());
        read.unwrap_err().iter().map(|p| p.to_string().replace(&prefix, "")).collect()
    }
}

fn fleet(inner: &str, names: &Names) -> Result<Conf, Vec<String>> {
    let files = Files::new(&[("f", &format!("fleet {{\n{inner}}}\n"))]);
    load(&files.path("f"), names).map_err(|problems| files.reported::<()>(Err(problems)))
}

const RELAYS: &str =
    "relay r1 10.0.0.1:7100 zone downtown region west\nrelay r2 10.0.0.2:7100 region east\nrelay r3 \
                      10.0.0.3:7100\n";

#[test]
fn relay_lines_make_a_tier_with_all_its_settings() {
    let inner = format!(
        "{RELAYS}zone riverside\nregion west\nservice valves\nwriter r2\nsettings \"the fleet.conf\"\nleaves 200\n\
         leaf-rate 4KiB/s\nname n7\nlisten 0.0.0.0:7100\n"
    );
    let files = Files::new(&[("f", &format!("fleet {{\n{inner}}}\n"))]);
    let fleet = load(&files.path("f"), &names()).unwrap().fleet.unwrap();
    assert_eq!((fleet.own_name("n1"), fleet.members.len()), ("n7", 0));
    assert!(fleet.own_member("n1").is_none(), "a tier has no members");
    let tier = fleet.tier.unwrap();
    assert_eq!(tier.relays.iter().map(|r| r.name.as_str()).collect::<Vec<_>>(), ["r1", "r2", "r3"]);
    let first = tier.relay("r1").unwrap();
    assert_eq!(first.address.to_string(), "10.0.0.1:7100");
    assert_eq!(
        (first.locality.zone.as_deref(), first.locality.region.as_deref()),
        (Some("downtown"), Some("west"))
    );
    assert_eq!(
        (tier.locality.zone.as_deref(), tier.locality.region.as_deref()),
        (Some("riverside"), Some("west"))
    );
    assert_eq!((tier.service.as_deref(), tier.writer.as_str()), (Some("valves"), "r2"));
    assert_eq!((tier.max_leaves, tier.leaf_rate_bytes_per_s), (200, 4096.0));
    assert_eq!(tier.settings, Some(files.path("the fleet.conf")), "relative to the file that names it");
    assert!(tier.relay("n7").is_none());
}

#[test]
fn a_tier_has_defaults_for_settings_that_are_left_out() {
    let fleet = fleet(RELAYS, &names()).unwrap().fleet.unwrap();
    let tier = fleet.tier.as_ref().unwrap();
    assert_eq!((tier.writer.as_str(), tier.max_leaves, tier.leaf_rate_bytes_per_s), ("r1", 400, 5120.0));
    assert_eq!((tier.settings.as_deref(), tier.service.as_deref()), (None, None));
    assert_eq!(fleet.own_name("n1"), "n1");
    let one = self::fleet("relay r1 10.0.0.1:7100\n", &names()).unwrap();
    assert_eq!(one.fleet.unwrap().tier.unwrap().relays.len(), 1, "a single relay is a tier");
    let members = "member a 10.0.0.1:7100\nmember b 10.0.0.2:7100\n";
    assert!(
        self::fleet(members, &names()).unwrap().fleet.unwrap().tier.is_none(),
        "members alone are not a tier"
    );
}

/// If the platform has no districts, any zone is accepted.
#[test]
fn a_zone_must_be_a_district_if_the_platform_has_districts() {
    assert!(fleet("relay r1 10.0.0.1:7100 zone anywhere\n", &Names::default()).is_ok());
    let none = Names { districts: Some(Vec::new()), classes: None };
    assert!(fleet("relay r1 10.0.0.1:7100 zone anywhere\n", &none).is_ok());
    let reported = fleet("relay r1 10.0.0.1:7100 zone anywhere\nzone downtwn\n", &names()).unwrap_err();
    assert_eq!(
        reported,
        [
            "f:2:29: unknown zone \"anywhere\", expected one of: downtown, riverside",
            "f:3:6: unknown zone \"downtwn\", did you mean \"downtown\"?",
        ]
    );
}

/// Each invalid block has exactly this one problem.
#[test]
fn each_problem_in_a_tier_is_reported_with_its_location() {
    let with = |line: &str| format!("{RELAYS}{line}\n");
    let long = "x".repeat(65);
    let many: String = (0..17).map(|n| format!("relay r{n} 10.0.0.1:{}\n", 7100 + n)).collect();
    let members = "member a 10.0.0.1:7100\nmember b 10.0.0.2:7100\n";
    let cases: Vec<(String, &str)> = vec![
        (with("member a 10.0.0.9:7100"), "f:5:1: `relay` and `member` lines in one block, expected"),
        (format!("{members}{RELAYS}"), "f:2:1: `relay` and `member` lines in one block, expected"),
        (with("relay r1 10.0.0.9:7100"), "f:5:7: a second relay \"r1\", expected one"),
        (with("relay r4 10.0.0.1:7100"), "f:5:10: a second relay at 10.0.0.1:7100, expected one"),
        (
            with("relay r4 [::1]:7100"),
            "f:5:10: \"[::1]:7100\" is not valid here, expected an IPv4 address and port",
        ),
        (with("relay r4"), "f:5:1: invalid arguments, expected: relay NAME ADDRESS:PORT [zone ZONE]"),
        (with("relay r4 10.0.0.9:7100 zone"), "f:5:1: invalid arguments, expected: relay NAME"),
        (with("relay r4 10.0.0.9:7100 place x"), "f:5:24: \"place\" is not valid here, expected: relay NAME"),
        (
            with("relay r4 10.0.0.9:7100 region a region b"),
            "f:5:33: \"region\" is not valid here, expected: relay",
        ),
        (with(&format!("relay {long} 10.0.0.9:7100")), "f:5:7: \"xxx"),
        (with("relay '' 10.0.0.9:7100"), "f:5:7: \"\" is not valid here, expected a name of 1 to 64 bytes"),
        (with(&format!("service {long}")), "f:5:9: \"xxx"),
        (with("region ''"), "f:5:8: \"\" is not valid here, expected a name of 1 to 64 bytes"),
        (with(&format!("name {long}")), "f:5:6: \"xxx"),
        (with("writer r9"), "f:5:8: \"r9\" is not a relay, expected one of the block"),
        (with("writer r1\nwriter r2"), "f:6:1: a second \"writer\", expected one"),
        (with("leaves 0"), "f:5:8: 0 leaves are not valid here, expected 1 to 4096"),
        (with("leaves 4097"), "f:5:8: 4097 leaves are not valid here"),
        (with("leaves many"), "f:5:8: \"many\" is not valid here, expected a whole number"),
        (
            with("leaf-rate 512B/s"),
            "f:5:11: \"512B/s\" is not valid here, expected bytes per second from 1KiB/s",
        ),
        (with("leaf-rate 0.5KiB/s"), "f:5:11: \"0.5KiB/s\" is not valid here"),
        (with("leaf-rate"), "f:5:1: invalid arguments, expected: leaf-rate BYTES"),
        (with("zone"), "f:5:1: invalid arguments, expected: zone ZONE"),
        (with("region a b"), "f:5:1: invalid arguments, expected: region REGION"),
        (with("service"), "f:5:1: invalid arguments, expected: service NAME"),
        (with("settings a b"), "f:5:1: invalid arguments, expected: settings FILE"),
        (with("leaves"), "f:5:1: invalid arguments, expected: leaves COUNT"),
        (with("writer"), "f:5:1: invalid arguments, expected: writer RELAY"),
        (with("leafs 3"), "f:5:1: unknown directive \"leafs\", did you mean \"leaves\"?"),
        (with("service a {\n}"), "f:5:1: \"service\" takes no block"),
        (many, "f:2:1: too many relays, expected at most 16"),
        (
            format!("{members}writer a"),
            "f:4:1: \"writer\" without a relay, expected `relay NAME ADDRESS:PORT` lines",
        ),
        (format!("{members}leaf-rate 6KiB/s"), "f:4:1: \"leaf-rate\" without a relay"),
    ];
    for (text, expected) in cases {
        let text = if text.ends_with('\n') { text } else { text + "\n" };
        let reported = fleet(&text, &names()).expect_err(&text);
        assert!(reported[0].starts_with(expected), "{text}\n{reported:?}\n{expected}");
        assert_eq!(reported.len(), 1, "{text}\n{reported:?}");
    }
}

const SHARED: &str = "\
crossings {   # of all
    urgent   valve-set
    include budgets.conf
    share-of n1 40%
}
";

fn pairs(entries: &[(&str, &str)]) -> Vec<(String, String)> {
    entries.iter().map(|(name, text)| (name.to_string(), text.to_string())).collect()
}

#[test]
fn a_settings_file_of_the_fleet_is_split_into_one_entry_per_directive() {
    let budgets =
        "budget class \"meter-read\" {\n rate 5/s fleet # a comment\n}\nbudget all {\n standing 3\n}\n";
    let files = Files::new(&[("s", SHARED), ("budgets.conf", budgets)]);
    let split = entries(&files.path("s")).unwrap();
    assert_eq!(
        split,
        pairs(&[
            ("crossings/urgent", "urgent valve-set\n"),
            ("crossings/budget class meter-read", "budget class meter-read {\n    rate 5/s fleet\n}\n"),
            ("crossings/budget all", "budget all {\n    standing 3\n}\n"),
            ("crossings/share-of n1", "share-of n1 40%\n"),
        ])
    );
    files.write("s", "");
    assert_eq!(entries(&files.path("s")).unwrap(), [], "an empty file is an empty set of entries");
}

#[test]
fn a_directive_that_the_fleet_cannot_set_is_reported_with_its_location() {
    let text = "control /run/x\ncrossings {\n own downtown\n budget all {\n  rate 0/s\n }\n urgent valve-set\n urgent \
                meter-read\n}\nfleet {\n}\n";
    let files = Files::new(&[("s", text)]);
    let reported = files.reported(entries(&files.path("s")));
    for expected in [
        "s:1:1: \"control\" is not part of a fleet's settings, expected one of: crossings",
        "s:3:2: \"own\" belongs to one gatekeeper, expected it in that one's own configuration",
        "s:5:8: \"0/s\" is not valid here",
        "s:8:2: a second \"urgent\", expected one",
        "s:10:1: \"fleet\" is not part of a fleet's settings",
    ] {
        assert!(reported.iter().any(|t| t.starts_with(expected)), "{expected}\n{reported:?}");
    }
    let reported = files.reported(entries(&files.path("nowhere")));
    assert!(reported[0].contains("cannot be read"), "{reported:?}");
}

#[test]
fn the_own_file_and_the_entries_are_checked_as_one_file() {
    let own = "control /run/x\ncrossings {\n own riverside\n log-every 1min\n}\n";
    let files = Files::new(&[
        ("f", own),
        ("s", "crossings {\n urgent valve-set\n budget all {\n  rate 5/s\n }\n}\n"),
    ]);
    let fleets = entries(&files.path("s")).unwrap();
    let conf = load_with(&files.path("f"), &fleets, &names()).unwrap();
    let crossings = conf.crossings.unwrap();
    assert_eq!((crossings.own.as_deref(), crossings.log_every), (Some("riverside"), Some(60.0)));
    assert_eq!((crossings.urgent, crossings.budgets.len()), (vec!["valve-set".to_string()], 1));
    // The block is added to a file that lacks it; without entries the file stays as it is.
    files.write("bare", "control /run/x\n");
    let conf = load_with(&files.path("bare"), &fleets, &names()).unwrap();
    assert_eq!(conf.crossings.unwrap().budgets.len(), 1);
    assert_eq!(
        load_with(&files.path("f"), &[], &names()).unwrap(),
        load(&files.path("f"), &names()).unwrap()
    );
}

#[test]
fn a_problem_in_an_entry_has_its_location_in_that_entry() {
    let own = "crossings {\n urgent valve-set\n}\n";
    let files = Files::new(&[("f", own)]);
    let reported =
        |entries: &[(&str, &str)]| files.reported(load_with(&files.path("f"), &pairs(entries), &names()));
    let unknown = [("crossings/budget class gone", "budget class gone {\n    rate 5/s\n}\n")];
    assert_eq!(
        reported(&unknown),
        [
            "fleet settings crossings/budget class gone:1:14: unknown class \"gone\", expected one of: meter-read, \
             valve-set"
        ]
    );
    let inner = [("crossings/budget all", "budget all {\n    rate 0/s\n}\n")];
    assert!(reported(&inner)[0]
        .starts_with("fleet settings crossings/budget all:2:10: \"0/s\" is not valid here"));
    assert_eq!(
        reported(&[("crossings/urgent", "urgent meter-read\n")]),
        ["fleet settings crossings/urgent:1:1: a second \"urgent\", expected one; the first is at f:2:2"]
    );
    for (name, text, expected) in [
        ("control", "control /x\n", ":1:1: a fleet entry cannot set this, expected an entry of crossings"),
        ("crossings", "", ":1:1: a fleet entry cannot set this"),
        ("crossingsx/urgent", "urgent valve-set", ":1:1: a fleet entry cannot set this"),
        ("crossings/bend", "", ":1:1: not one directive"),
        ("crossings/bend", "bend start 5%\nurgent a\n", ":1:1: not one directive"),
        ("crossings/bend", "bend 'start", ":1:6: a quote or an escape without its end"),
        ("crossings/own", "own downtown", ":1:1: \"own\" belongs to one gatekeeper"),
        ("crossings/include", "include /etc/passwd", ":1:1: an entry must not include files"),
        ("crossings/budget all", "budget all {\n include x\n}\n", ":2:2: an entry must not include files"),
        (
            "crossings/bend",
            "log-every 1min",
            ":1:1: the text of another entry, expected that of \"crossings/bend\"",
        ),
        ("crossings/new", "new 1", ":1:1: unknown directive \"new\""),
    ] {
        let reported = reported(&[(name, text)]);
        assert!(
            reported[0].starts_with(&format!("fleet settings {name}{expected}")),
            "{name} {text}\n{reported:?}"
        );
    }
    // The problems of the own file are reported too, all in one run.
    files.write("f", "crossings {\n urgent nobody\n what\n}\n");
    assert_eq!(reported(&unknown).len(), 2, "{:?}", reported(&unknown));
}

/// Guards against an edit of the own file that takes effect with a change of the fleet's settings, before a reload was
/// requested.
#[test]
fn an_edit_of_the_own_file_has_no_effect_until_the_file_is_read_again() {
    let files = Files::new(&[("f", "crossings {\n log-every 1min\n}\n")]);
    let own = OwnFile::read(&files.path("f"), &names()).unwrap();
    files.write("f", "crossings {\n log-every 1h\n half an ed\n");
    let conf = own.with(&pairs(&[("crossings/urgent", "urgent valve-set\n")]), &names()).unwrap();
    assert_eq!(conf.crossings.unwrap().log_every, Some(60.0));
}

proptest! {
    /// Guards against tokens that change when they are written again, and so against entries that mean something else at
    /// a leaf than in the fleet's file.
    #[test]
    fn an_entry_holds_the_same_name_as_the_directive_it_was_made_from(name in "[^\\x00]{1,20}") {
        let quoted = format!("'{}'", name.replace('\'', "'\"'\"'"));
        let files = Files::new(&[("s", &format!("crossings {{\n share-of {quoted} 40%\n}}\n"))]);
        let split = entries(&files.path("s")).unwrap();
        let conf = load_with(Path::new("/dev/null"), &split, &names());
        prop_assert!(conf.is_err(), "a device is not a regular file");
        files.write("f", "");
        let conf = load_with(&files.path("f"), &split, &names()).unwrap();
        prop_assert_eq!(&conf.crossings.unwrap().share_of[0].0, &name);
    }

    /// Guards against a panic on entries from a writer of another version.
    #[test]
    fn reading_any_entry_does_not_panic(name in "(crossings/)?[a-z {}\"'#\\n]{0,20}", text in "[a-z0-9 {}\"'#\\\\\\n]{0,40}") {
        let files = Files::new(&[("f", "")]);
        let _ = load_with(&files.path("f"), &[(name, text)], &names());
    }
}
