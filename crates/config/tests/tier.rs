//! The block `fleet` with relays, and the settings that belong to a whole fleet.

use std::path::{Path, PathBuf};

use hollypaddle_config::{entries, load, load_with, Conf, Names, OwnFile};
use proptest::prelude::*;

fn names() -> Names {
    let list = |names: &[&str]| Some(names.iter().map(|n| n.to_string()).collect());
    Names { districts: list(&["downtown", "riverside"]), classes: list(&["meter-read", "valve-set"]) }
}

/// A folder with files; mistakes are told without its name.
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

    fn told<T: std::fmt::Debug>(&self, read: Result<T, Vec<hollypaddle_config::Problem>>) -> Vec<String> {
        let prefix = format!("{}/", self.0.path().display());
        read.unwrap_err().iter().map(|p| p.to_string().replace(&prefix, "")).collect()
    }
}

fn fleet(inner: &str, names: &Names) -> Result<Conf, Vec<String>> {
    let files = Files::new(&[("f", &format!("fleet {{\n{inner}}}\n"))]);
    load(&files.path("f"), names).map_err(|problems| files.told::<()>(Err(problems)))
}

const RELAYS: &str =
    "relay r1 10.0.0.1:7100 zone downtown region west\nrelay r2 10.0.0.2:7100 region east\nrelay r3 \
                      10.0.0.3:7100\n";

#[test]
fn relays_make_a_tier() {
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
    assert_eq!(tier.settings, Some(files.path("the fleet.conf")), "beside the file in which it is named");
    assert!(tier.relay("n7").is_none());
}

#[test]
fn what_a_tier_leaves_out_has_its_defaults() {
    let fleet = fleet(RELAYS, &names()).unwrap().fleet.unwrap();
    let tier = fleet.tier.as_ref().unwrap();
    assert_eq!((tier.writer.as_str(), tier.max_leaves, tier.leaf_rate_bytes_per_s), ("r1", 400, 5120.0));
    assert_eq!((tier.settings.as_deref(), tier.service.as_deref()), (None, None));
    assert_eq!(fleet.own_name("n1"), "n1");
    let one = self::fleet("relay r1 10.0.0.1:7100\n", &names()).unwrap();
    assert_eq!(one.fleet.unwrap().tier.unwrap().relays.len(), 1, "one relay alone is a tier");
    let members = "member a 10.0.0.1:7100\nmember b 10.0.0.2:7100\n";
    assert!(self::fleet(members, &names()).unwrap().fleet.unwrap().tier.is_none(), "members alone are none");
}

/// A platform without districts has none that a zone could be.
#[test]
fn zones_are_the_platforms_districts_where_it_has_some() {
    assert!(fleet("relay r1 10.0.0.1:7100 zone anywhere\n", &Names::default()).is_ok());
    let none = Names { districts: Some(Vec::new()), classes: None };
    assert!(fleet("relay r1 10.0.0.1:7100 zone anywhere\n", &none).is_ok());
    let told = fleet("relay r1 10.0.0.1:7100 zone anywhere\nzone downtwn\n", &names()).unwrap_err();
    assert_eq!(
        told,
        [
            "f:2:29: unknown zone \"anywhere\", expected one of: downtown, riverside",
            "f:3:6: unknown zone \"downtwn\", did you mean \"downtown\"?",
        ]
    );
}

/// Each bad block has exactly this one mistake.
#[test]
fn each_mistake_in_a_tier_is_told_with_its_place() {
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
            "f:5:10: \"[::1]:7100\" makes no sense here, expected an IPv4 address and port",
        ),
        (
            with("relay r4"),
            "f:5:1: not the words of this directive, expected: relay NAME ADDRESS:PORT [zone ZONE]",
        ),
        (with("relay r4 10.0.0.9:7100 zone"), "f:5:1: not the words of this directive, expected: relay NAME"),
        (
            with("relay r4 10.0.0.9:7100 place x"),
            "f:5:24: \"place\" makes no sense here, expected: relay NAME",
        ),
        (
            with("relay r4 10.0.0.9:7100 region a region b"),
            "f:5:33: \"region\" makes no sense here, expected: relay",
        ),
        (with(&format!("relay {long} 10.0.0.9:7100")), "f:5:7: \"xxx"),
        (with("relay '' 10.0.0.9:7100"), "f:5:7: \"\" makes no sense here, expected a name of 1 to 64 bytes"),
        (with(&format!("service {long}")), "f:5:9: \"xxx"),
        (with("region ''"), "f:5:8: \"\" makes no sense here, expected a name of 1 to 64 bytes"),
        (with(&format!("name {long}")), "f:5:6: \"xxx"),
        (with("writer r9"), "f:5:8: \"r9\" is no relay, expected one of the block"),
        (with("writer r1\nwriter r2"), "f:6:1: a second \"writer\", expected one"),
        (with("leaves 0"), "f:5:8: 0 leaves make no sense here, expected 1 to 4096"),
        (with("leaves 4097"), "f:5:8: 4097 leaves make no sense here"),
        (with("leaves many"), "f:5:8: \"many\" makes no sense here, expected a whole number"),
        (
            with("leaf-rate 512B/s"),
            "f:5:11: \"512B/s\" makes no sense here, expected bytes a second from 1KiB/s",
        ),
        (with("leaf-rate 0.5KiB/s"), "f:5:11: \"0.5KiB/s\" makes no sense here"),
        (with("leaf-rate"), "f:5:1: not the words of this directive, expected: leaf-rate BYTES"),
        (with("zone"), "f:5:1: not the words of this directive, expected: zone ZONE"),
        (with("region a b"), "f:5:1: not the words of this directive, expected: region REGION"),
        (with("service"), "f:5:1: not the words of this directive, expected: service NAME"),
        (with("settings a b"), "f:5:1: not the words of this directive, expected: settings FILE"),
        (with("leaves"), "f:5:1: not the words of this directive, expected: leaves COUNT"),
        (with("writer"), "f:5:1: not the words of this directive, expected: writer RELAY"),
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
        let told = fleet(&text, &names()).expect_err(&text);
        assert!(told[0].starts_with(expected), "{text}\n{told:?}\n{expected}");
        assert_eq!(told.len(), 1, "{text}\n{told:?}");
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
fn a_file_of_the_fleet_is_split_into_entries() {
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
    assert_eq!(entries(&files.path("s")).unwrap(), [], "nothing set is a set too");
}

#[test]
fn what_is_not_the_fleets_is_told_with_its_place() {
    let text = "control /run/x\ncrossings {\n own downtown\n budget all {\n  rate 0/s\n }\n urgent valve-set\n urgent \
                meter-read\n}\nfleet {\n}\n";
    let files = Files::new(&[("s", text)]);
    let told = files.told(entries(&files.path("s")));
    for expected in [
        "s:1:1: \"control\" is no part of a fleet's settings, expected one of: crossings",
        "s:3:2: \"own\" belongs to one gatekeeper, expected it in that one's own configuration",
        "s:5:8: \"0/s\" makes no sense here",
        "s:8:2: a second \"urgent\", expected one",
        "s:10:1: \"fleet\" is no part of a fleet's settings",
    ] {
        assert!(told.iter().any(|t| t.starts_with(expected)), "{expected}\n{told:?}");
    }
    let told = files.told(entries(&files.path("nowhere")));
    assert!(told[0].contains("cannot be read"), "{told:?}");
}

#[test]
fn own_file_and_entries_are_checked_as_one() {
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
    // A file without the block gets it; without entries it stays as it is.
    files.write("bare", "control /run/x\n");
    let conf = load_with(&files.path("bare"), &fleets, &names()).unwrap();
    assert_eq!(conf.crossings.unwrap().budgets.len(), 1);
    assert_eq!(
        load_with(&files.path("f"), &[], &names()).unwrap(),
        load(&files.path("f"), &names()).unwrap()
    );
}

#[test]
fn a_mistake_in_an_entry_is_placed_in_it() {
    let own = "crossings {\n urgent valve-set\n}\n";
    let files = Files::new(&[("f", own)]);
    let told = |entries: &[(&str, &str)]| files.told(load_with(&files.path("f"), &pairs(entries), &names()));
    let unknown = [("crossings/budget class gone", "budget class gone {\n    rate 5/s\n}\n")];
    assert_eq!(
        told(&unknown),
        [
            "fleet settings crossings/budget class gone:1:14: unknown class \"gone\", expected one of: meter-read, \
             valve-set"
        ]
    );
    let inner = [("crossings/budget all", "budget all {\n    rate 0/s\n}\n")];
    assert!(told(&inner)[0].starts_with("fleet settings crossings/budget all:2:10: \"0/s\" makes no sense"));
    assert_eq!(
        told(&[("crossings/urgent", "urgent meter-read\n")]),
        ["fleet settings crossings/urgent:1:1: a second \"urgent\", expected one; the first is at f:2:2"]
    );
    for (name, text, expected) in [
        ("control", "control /x\n", ":1:1: the fleet does not set this, expected an entry of crossings"),
        ("crossings", "", ":1:1: the fleet does not set this"),
        ("crossingsx/urgent", "urgent valve-set", ":1:1: the fleet does not set this"),
        ("crossings/bend", "", ":1:1: not one directive"),
        ("crossings/bend", "bend start 5%\nurgent a\n", ":1:1: not one directive"),
        ("crossings/bend", "bend 'start", ":1:6: a quote or an escape without its end"),
        ("crossings/own", "own downtown", ":1:1: \"own\" belongs to one gatekeeper"),
        ("crossings/include", "include /etc/passwd", ":1:1: an entry includes no file"),
        ("crossings/budget all", "budget all {\n include x\n}\n", ":2:2: an entry includes no file"),
        (
            "crossings/bend",
            "log-every 1min",
            ":1:1: the text of another entry, expected that of \"crossings/bend\"",
        ),
        ("crossings/new", "new 1", ":1:1: unknown directive \"new\""),
    ] {
        let told = told(&[(name, text)]);
        assert!(told[0].starts_with(&format!("fleet settings {name}{expected}")), "{name} {text}\n{told:?}");
    }
    // The own file's mistakes are told too, all in one run.
    files.write("f", "crossings {\n urgent nobody\n what\n}\n");
    assert_eq!(told(&unknown).len(), 2, "{:?}", told(&unknown));
}

/// The file as it was read counts, until it is read anew: an edit that nobody asked to be read is not taken over
/// with a change of the fleet's.
#[test]
fn an_edit_of_the_own_file_waits_until_it_is_read() {
    let files = Files::new(&[("f", "crossings {\n log-every 1min\n}\n")]);
    let own = OwnFile::read(&files.path("f"), &names()).unwrap();
    files.write("f", "crossings {\n log-every 1h\n half an ed\n");
    let conf = own.with(&pairs(&[("crossings/urgent", "urgent valve-set\n")]), &names()).unwrap();
    assert_eq!(conf.crossings.unwrap().log_every, Some(60.0));
}

proptest! {
    /// Guards against words that are not the same after they were written anew, and so against entries that mean
    /// something else at a leaf than in the fleet's file.
    #[test]
    fn an_entry_says_what_its_line_said(name in "[^\\x00]{1,20}") {
        let quoted = format!("'{}'", name.replace('\'', "'\"'\"'"));
        let files = Files::new(&[("s", &format!("crossings {{\n share-of {quoted} 40%\n}}\n"))]);
        let split = entries(&files.path("s")).unwrap();
        let conf = load_with(Path::new("/dev/null"), &split, &names());
        prop_assert!(conf.is_err(), "a device is no file");
        files.write("f", "");
        let conf = load_with(&files.path("f"), &split, &names()).unwrap();
        prop_assert_eq!(&conf.crossings.unwrap().share_of[0].0, &name);
    }

    /// Guards against a panic on what another version of a writer says.
    #[test]
    fn no_entry_panics(name in "(crossings/)?[a-z {}\"'#\\n]{0,20}", text in "[a-z0-9 {}\"'#\\\\\\n]{0,40}") {
        let files = Files::new(&[("f", "")]);
        let _ = load_with(&files.path("f"), &[(name, text)], &names());
    }
}
