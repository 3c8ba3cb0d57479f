use super::Config;

#[test]
fn what_is_wrong_is_told_in_plain_words() {
    let read =
        |listen: &str, text: &str| Config::parse("n0".into(), listen, text).err().map(|e| e.to_string());
    let file = |dns: &str, seed: &str| {
        format!(
            r#"{{"dns":"{dns}","seed":"{seed}","settings":{{"peersTotal":1,"period":0.005,
            "familyInfo":{{"release":0.3}},"limits":{{"tryLimit":6}},
                "requestClasses":[{{"name":"a","effect":"read_like","goalTime":1.0,"hardLimit":3,"value":1}}],
            "safety":{{"cold":14,"coldFrom":0.3,"overloadFactor":3}}}}}}"#
        )
    };
    let listen = "127.0.0.1:5060";
    assert_eq!(read(listen, &file("127.0.0.1:53", "ab")), None);
    assert_eq!(read("here", &file("127.0.0.1:53", "ab")), Some(r#"PROXY_LISTEN cannot be "here""#.into()));
    assert_eq!(read(listen, &file("there", "ab")), Some(r#"dns cannot be "there""#.into()));
    assert_eq!(read(listen, &file("127.0.0.1:53", "?")), Some(r#"seed cannot be "?""#.into()));
    assert!(read(listen, "{}").is_some_and(|e| e.contains("missing field")));
    assert!(read(listen, "").is_some_and(|e| e.contains("EOF")));
    let whole = file("127.0.0.1:53", "ab");
    assert!(read(listen, &whole[..whole.len() / 2]).is_some_and(|e| e.contains("EOF")));
    // Figures out of all reason are named, each with what was expected.
    let told = |from: &str, to: &str| {
        assert!(whole.contains(from), "{from}");
        read(listen, &whole.replace(from, to)).unwrap_or_else(|| panic!("{to} was taken"))
    };
    for (from, to, error) in [
        (
            r#""tryLimit":6"#,
            r#""tryLimit":0"#,
            r#"settings.limits.tryLimit cannot be "0": expected a number from 1"#,
        ),
        (r#""tryLimit":6"#, r#""tryLimit":-2"#, "invalid value"),
        (r#""hardLimit":3"#, r#""hardLimit":-3"#, r#"settings.requestClasses[0].hardLimit cannot be "-3""#),
        (r#""hardLimit":3"#, r#""hardLimit":1e300"#, "hardLimit cannot be"),
        (r#""goalTime":1.0"#, r#""goalTime":0"#, r#"settings.requestClasses[0].goalTime cannot be "0""#),
        (r#""name":"a""#, r#""name":"""#, r#"requestClasses[].name cannot be """#),
        (r#""release":0.3"#, r#""release":-0.1"#, r#"familyInfo.release cannot be "-0.1": expected seconds"#),
        (r#""cold":14"#, r#""cold":1e9"#, "settings.safety.cold cannot be"),
        (
            r#""coldFrom":0.3"#,
            r#""coldFrom":1.3"#,
            r#"coldFrom cannot be "1.3": expected a share from 0 to 1"#,
        ),
        (r#""overloadFactor":3"#, r#""overloadFactor":0"#, "overloadFactor cannot be"),
        (r#""peersTotal":1"#, r#""peersTotal":0"#, "peersTotal cannot be"),
        (r#""limits":{"#, r#""limits":{"connectTimeout":0,"#, "connectTimeout cannot be"),
        (
            r#""settings":"#,
            r#""limits":{"sockets":0},"settings":"#,
            r#"limits.sockets cannot be "0": expected 24"#,
        ),
        (r#""settings":"#, r#""limits":{"memory_mb":-1},"settings":"#, "limits.memory_mb cannot be"),
    ] {
        let said = told(from, to);
        assert!(said.contains(error), "{to}: {said}");
    }
    let class = whole.find("{\"name\"").unwrap()..whole.find("}],").unwrap() + 1;
    assert!(told(&whole[class.clone()], "").contains("a list of 1 to 256 classes"));
    let twice = format!("{0},{0}", &whole[class.clone()]);
    assert!(told(&whole[class], &twice).contains(r#"name cannot be "a""#));
    assert!(told(r#""requestClasses""#, r#""classes""#).contains("missing field"));
}
