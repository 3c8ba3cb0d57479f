//! Reads complete configuration files, valid and invalid: what they mean, and that each problem is reported with its location.

use std::path::Path;

use hollypaddle_config::{load, Conf, Names, Platform};
use hollypaddle_crossing::{District, OverdraftSettings, Scope};
use proptest::prelude::*;

fn names() -> Names {
    let list = |names: &[&str]| Some(names.iter().map(|n| n.to_string()).collect());
    Names {
        districts: list(&["downtown", "medical-center", "riverside"]),
        classes: list(&["meter-read", "valve-set"]),
    }
}

/// Writes the files into a temporary folder, reads the first one, and returns the problems without the folder's name.
fn read(files: &[(&str, &[u8])], names: &Names) -> Result<Conf, Vec<String>> {
    let folder = tempfile::tempdir().unwrap();
    for (name, text) in files {
        let path = folder.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    }
    let path = folder.path().join(files[0].0);
    let prefix = format!("{}/", folder.path().display());
    load(&path, names).map_err(|all| all.iter().map(|p| p.to_string().replace(&prefix, "")).collect())
}

fn problems_of(text: &str) -> Vec<String> {
    read(&[("f", text.as_bytes())], &names()).expect_err(text)
}

const GOOD: &str = r#"
# The whole block, each directive once.
districts downtown medical-center riverside
classes meter-read valve-set
control "/run/holly paddle.sock"   # quoted
crossings {
    own riverside
    urgent valve-set
    log-every 1min
    bend start 20% end 5% window 10s
    share-of n3 40%
    budget all {
        rate 4/s burst 8 fleet
        share 20% over 1min
        standing 40 fleet
        overdraft 12
        floor 50%
    }
    budget class meter-read { # a comment
        rate 30/min
    }
    include more/*.conf
}
"#;

#[test]
fn a_valid_file_yields_the_settings_it_names_and_everything_else_is_off() {
    let more = b"budget from downtown to riverside class valve-set {\n standing 3\n}\n";
    let conf = read(&[("f", GOOD.as_bytes()), ("more/a.conf", more)], &names()).unwrap();
    assert_eq!(conf.control.as_deref(), Some(Path::new("/run/holly paddle.sock")));
    let crossings = conf.crossings.unwrap();
    assert_eq!(crossings.bend, OverdraftSettings { window_s: 10.0, start_ratio: 0.2, end_ratio: 0.05 });
    assert_eq!((crossings.log_every, crossings.urgent.len()), (Some(60.0), 1));
    let mut platform = Platform {
        name: "n3".into(),
        districts: names().districts.unwrap(),
        own: Some(0),
        classes: names().classes.unwrap().into_iter().map(|c| (c, 1.5)).collect(),
        gatekeepers: 4,
    };
    let settings = crossings.settings(&platform);
    assert_eq!((settings.own_district, settings.fleet_share), (District(2), 0.4));
    assert!(settings.classes[1].urgent && !settings.classes[0].urgent);
    let scopes: Vec<Scope> = settings.rules.iter().map(|r| r.scope).collect();
    let pair = Some((District(0), District(2)));
    let class = |class| Some(class);
    assert_eq!(
        scopes,
        [Scope::default(), Scope { pair: None, class: class(0) }, Scope { pair, class: class(1) }]
    );
    let all = settings.rules[0];
    let rate = all.rate.unwrap();
    assert_eq!((rate.per_s.value, rate.burst.value, rate.per_s.whole_fleet), (4.0, 8.0, true));
    assert_eq!((all.ratio.unwrap().max_ratio, all.floor, all.overdraft.value), (0.2, 0.5, 12.0));
    let meter = settings.rules[1];
    assert_eq!((meter.rate.unwrap().per_s.value, meter.rate.unwrap().burst.value), (0.5, 1.0));
    platform.name = "n1".into();
    assert!(
        (crossings.settings(&platform).fleet_share - 0.2).abs() < 1e-9,
        "an even part of what the share of n3 leaves"
    );
    let off = read(&[("f", b"")], &names()).unwrap();
    assert_eq!(off, Conf::default(), "what the file does not set is off");
}

#[test]
fn all_problems_are_reported_in_one_run_with_their_locations() {
    let reported = problems_of(
        "crosings {\n}\ncrossings {\n  urgent valv-set\n  budget class valve-set {\n    rate -1/s\n  }\n}\ncontrol\n",
    );
    assert_eq!(
        reported,
        [
            "f:1:1: unknown directive \"crosings\", did you mean \"crossings\"?",
            "f:4:10: unknown class \"valv-set\", did you mean \"valve-set\"?",
            "f:6:10: \"-1/s\" is not valid here, expected a rate above 0 and up to 1000000/s, as 5/s or 30/min",
            "f:9:1: invalid arguments, expected: control PATH",
        ]
    );
}

/// Each invalid file has exactly this one problem.
#[test]
fn each_kind_of_problem_is_reported_with_its_own_text() {
    let budget = |inner: &str| format!("crossings {{\n budget all {{\n  {inner}\n }}\n}}\n");
    let block = |inner: &str| format!("crossings {{\n {inner}\n}}\n");
    let cases: Vec<(String, &str)> = vec![
        (budget("rate 0/s"), "f:3:8: \"0/s\" is not valid here, expected a rate above 0"),
        (budget("rate 1e400/s"), "f:3:8: \"1e400/s\" is not valid here"),
        (budget("rate nan/s"), "f:3:8: \"nan/s\" is not valid here"),
        (budget("rate 5/fortnight"), "f:3:8: \"5/fortnight\" is not valid here"),
        (budget("rate 5"), "f:3:8: \"5\" is not valid here"),
        (budget("rate 5/s burst 0"), "f:3:18: a burst of 0 admits nothing"),
        (budget("rate 5/s burts 3"), "f:3:3: invalid arguments, expected: rate RATE"),
        (
            budget("share 101% over 10s"),
            "f:3:9: \"101%\" is not valid here, expected a share from 0% to 100%",
        ),
        (budget("share 10% over 10parsecs"), "f:3:18: \"10parsecs\" is not valid here, expected a time"),
        (budget("share 10% over 99h"), "f:3:18: \"99h\" is not valid here"),
        (budget("standing -3"), "f:3:12: \"-3\" is not valid here, expected a whole number"),
        (
            budget("standing 3\n  standing 4"),
            "f:4:3: a second \"standing\", expected one; the first is at f:3:3",
        ),
        (budget("standing 3 {\n }"), "f:3:3: \"standing\" takes no block"),
        (budget("overdraft 3"), "f:2:2: a budget without a limit"),
        (budget("stading 3\n  rate 1/s"), "f:3:3: unknown directive \"stading\", did you mean \"standing\"?"),
        (block("budget {\n  rate 1/s\n }"), "f:2:2: invalid arguments, expected: budget all"),
        (block("budget all"), "f:2:2: \"budget\" without its block"),
        (block("own dwntown"), "f:2:6: unknown district \"dwntown\", did you mean \"downtown\"?"),
        (block("own xyz"), "f:2:6: unknown district \"xyz\", expected one of: downtown, medical-center"),
        (
            block("budget from downtown to downtown {\n  rate 1/s\n }"),
            "f:2:2: from downtown to downtown does not cross districts",
        ),
        (
            block("budget class valve-set {\n  rate 1/s\n }\n budget class valve-set {\n  rate 2/s\n }"),
            "f:5:2: a second budget of one scope, expected one; the first is at f:2:2",
        ),
        (block("share-of n1 60%\n share-of n2 50%"), "f:3:14: the shares add up to 110%"),
        (block("bend start 5% end 5%"), "f:2:2: bending ends at or above its start"),
        (block("bend begin 5%"), "f:2:7: \"begin\" is not valid here"),
        ("crossings {\n".into(), "f:1:11: the block is not closed, expected `}`"),
        ("}\n".into(), "f:1:1: `}` closes no block"),
        ("{\n}\n".into(), "f:1:1: `{` without a directive"),
        ("control \"abc\n".into(), "f:1:9: a quote or an escape without its end"),
        ("crossings { own downtown\n}\n".into(), "f:1:13: text after `{`"),
        ("include nowhere.conf\n".into(), "f:1:9: nowhere.conf does not exist"),
        ("include [\n".into(), "f:1:9: \"[\" is not a valid pattern"),
    ];
    for (text, expected) in cases {
        let reported = problems_of(&text);
        assert!(reported[0].starts_with(expected), "{text}\n{reported:?}\n{expected}");
        // A misplaced brace leaves the matching brace misplaced too.
        let braces = text.starts_with('{') || text.starts_with("crossings { own");
        assert!(reported.len() == 1 || braces, "{text}\n{reported:?}");
    }
}

/// Guards against endless reading, and against problems in an included file that are reported for another file.
#[test]
fn includes_are_bounded_and_their_problems_have_the_location_in_the_included_file() {
    let reported = read(&[("f", b"include f\n")], &names()).unwrap_err();
    assert_eq!(reported, ["f:1:9: f includes itself, expected another file"]);
    let reported = read(&[("f", b"include a\n"), ("a", b"\ninclude f\nwhat 1\n")], &names()).unwrap_err();
    assert_eq!(reported.len(), 2, "{reported:?}");
    assert!(reported[0].starts_with("a:2:9: f includes itself") && reported[1].starts_with("a:3:1: unknown"));
    let reported = read(&[("f", b"include d\n"), ("d/x", b"")], &names()).unwrap_err();
    assert!(reported[0].contains("is not a file"), "{reported:?}");
    let missing = load(Path::new("/nowhere/at/all"), &names()).unwrap_err();
    assert!(missing[0].to_string().starts_with("/nowhere/at/all:1:1: /nowhere/at/all cannot be read"));
    let chain: Vec<(String, Vec<u8>)> =
        (0..40).map(|n| (format!("c{n}"), format!("include c{}\n", n + 1).into_bytes())).collect();
    let chain: Vec<(&str, &[u8])> = chain.iter().map(|(n, t)| (n.as_str(), &t[..])).collect();
    assert!(read(&chain, &names()).unwrap_err()[0].contains("too many files"));
}

#[test]
fn too_many_budgets_and_too_deep_blocks_are_reported() {
    let many = "budget all {\nrate 1/s\n}\n".repeat(257);
    assert!(problems_of(&format!("crossings {{\n{many}}}\n")).iter().any(|t| t.contains("too many budgets")));
    let deep = "crossings {\n".repeat(40);
    assert!(problems_of(&deep).iter().any(|t| t.contains("nested too deep")));
}

#[test]
fn invalid_utf_8_is_reported_with_its_location() {
    let reported = read(&[("f", b"control /x\n# \xc3\xa4 \xff\n")], &names()).unwrap_err();
    assert_eq!(reported, ["f:2:5: invalid UTF-8, expected text"]);
    // Columns count characters.
    assert!(problems_of("# \u{e4}\n\"\u{e4}\u{f6}\" x\n")[0].starts_with("f:2:1: unknown directive"));
}

#[test]
fn declared_names_are_used_only_if_the_platform_has_none() {
    let text = b"districts north south\nclasses a\ncrossings {\n budget from north to suth class b {\n  standing 1\n }\n}\n";
    let reported = read(&[("f", text)], &Names::default()).unwrap_err();
    assert_eq!(
        reported,
        [
            "f:4:23: unknown district \"suth\", did you mean \"south\"?",
            "f:4:34: unknown class \"b\", expected one of: a"
        ]
    );
    let reported = read(&[("f", &text[..])], &names()).unwrap_err();
    assert!(
        reported.iter().any(|t| t.contains("unknown district \"north\"")),
        "the platform's names take precedence: {reported:?}"
    );
}

proptest! {
    /// Guards against a panic or an endless read on any file.
    #[test]
    fn reading_any_mix_of_keywords_does_not_panic(words in prop::collection::vec(prop::sample::select(vec![
        "crossings", "budget", "all", "class", "valve-set", "from", "to", "downtown", "{", "}", "\n", "rate",
        "5/s", "burst", "3", "share", "10%", "over", "10s", "standing", "fleet", "\"", "'", "\\", "#", "include",
        "*", "bend", "start", "end", "floor", "\u{e4}", "\t", "1e400",
    ]), 0..80), joint in prop::sample::select(vec![" ", ""])) {
        let text = words.join(joint);
        let _ = read(&[("f", text.as_bytes())], &names());
    }

    #[test]
    fn reading_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = read(&[("f", &bytes)], &names());
    }
}

/// Reads a fleet with every directive, and reports every problem of another one in one run.
#[test]
fn a_fleet_block_is_read_and_each_of_its_problems_is_reported_with_its_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.conf");
    let read = |text: &str| {
        std::fs::write(&path, text).unwrap();
        hollypaddle_config::load(&path, &Names::default())
    };
    let conf = read(
        "districts east west\nfleet {\n member a 10.0.0.1:7100 district east\n member b 10.0.0.2:7100\n name a\n \
         listen 0.0.0.0:7100\n catch-up within 5s rate 2MiB/s\n suspect 500ms\n gone 3s\n forget 5min\n digest 1s\n \
         records 5000\n lend 40%\n}\n",
    )
    .unwrap();
    let fleet = conf.fleet.unwrap();
    let s = fleet.settings;
    assert_eq!((s.catch_up_timeout, s.catch_up.bytes_per_s, s.catch_up.max_records), (5.0, 2097152.0, 5000));
    assert_eq!(
        (s.membership.suspect_after_s, s.membership.gone_after_s, s.forget_after, s.digest_interval),
        (0.5, 3.0, 300.0, 1.0)
    );
    assert_eq!(fleet.lend_ratio, 0.4);
    assert_eq!(
        fleet.own_member("platform").map(|m| m.name.as_str()),
        Some("a"),
        "the name in the block overrides the platform's"
    );
    assert_eq!(fleet.listen.map(|l| l.to_string()), Some("0.0.0.0:7100".into()));
    assert_eq!(fleet.members[0].district.as_deref(), Some("east"));

    let text = "districts east\nfleet {\n member a 10.0.0.1:7100 district north\n member a 10.0.0.2:7100\n member b \
                10.0.0.1:7100\n member c [::1]:7100\n member d\n name z\n suspect 2s\n gone 1s\n forget soon\n records \
                0\n catch-up rate 1MiB/s\n catch-up within 1s\n listens 1.2.3.4:5\n lend 95%\n}\n";
    let problems = read(text).unwrap_err();
    let reported: Vec<(usize, &str)> =
        problems.iter().map(|p| (p.location.line, p.description.as_str())).collect();
    for (line, what) in [
        (3, "unknown district \"north\""),
        (16, "95% of the own part is too much, expected at most 90%"),
        (4, "a second member \"a\""),
        (5, "a second member at 10.0.0.1:7100"),
        (6, "expected an IPv4 address and port"),
        (7, "member NAME ADDRESS:PORT"),
        (8, "\"z\" is not a member"),
        (2, "a member is gone before its silence is suspect"),
        (11, "expected a time from 10ms to 1h"),
        (12, "expected 1 or more"),
        (13, "catch-up within TIME"),
        (14, "a second \"catch-up\""),
        (15, "did you mean \"listen\"?"),
    ] {
        assert!(
            reported.iter().any(|t| t.0 == line && t.1.contains(what)),
            "line {line}: {what:?} not in {reported:?}"
        );
    }
    let few = read("fleet {\n member a 10.0.0.1:7100\n}\n").unwrap_err();
    assert!(few[0].description.contains("fewer than two members"), "{few:?}");
}
