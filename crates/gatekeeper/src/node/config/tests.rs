use super::Config;

#[test]
fn invalid_configuration_is_rejected_with_the_field_the_value_and_the_expected_range() {
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
    assert_eq!(
        read("here", &file("127.0.0.1:53", "ab")),
        Some(r#"PROXY_LISTEN has the invalid value "here""#.into())
    );
    assert_eq!(read(listen, &file("there", "ab")), Some(r#"dns has the invalid value "there""#.into()));
    assert_eq!(read(listen, &file("127.0.0.1:53", "?")), Some(r#"seed has the invalid value "?""#.into()));
    assert!(read(listen, "{}").is_some_and(|e| e.contains("missing field")));
    assert!(read(listen, "").is_some_and(|e| e.contains("EOF")));
    let whole = file("127.0.0.1:53", "ab");
    assert!(read(listen, &whole[..whole.len() / 2]).is_some_and(|e| e.contains("EOF")));
    // Numbers that are out of range are rejected, with the field and the expected range.
    let error_for = |from: &str, to: &str| {
        assert!(whole.contains(from), "{from}");
        read(listen, &whole.replace(from, to)).unwrap_or_else(|| panic!("{to} was accepted"))
    };
    for (from, to, error) in [
        (
            r#""tryLimit":6"#,
            r#""tryLimit":0"#,
            r#"settings.limits.tryLimit has the invalid value "0": expected a number from 1"#,
        ),
        (r#""tryLimit":6"#, r#""tryLimit":-2"#, "invalid value"),
        (
            r#""hardLimit":3"#,
            r#""hardLimit":-3"#,
            r#"settings.requestClasses[0].hardLimit has the invalid value "-3""#,
        ),
        (r#""hardLimit":3"#, r#""hardLimit":1e300"#, "hardLimit has the invalid value"),
        (
            r#""goalTime":1.0"#,
            r#""goalTime":0"#,
            r#"settings.requestClasses[0].goalTime has the invalid value "0""#,
        ),
        (r#""name":"a""#, r#""name":"""#, r#"requestClasses[].name has the invalid value """#),
        (
            r#""release":0.3"#,
            r#""release":-0.1"#,
            r#"familyInfo.release has the invalid value "-0.1": expected seconds"#,
        ),
        (r#""cold":14"#, r#""cold":1e9"#, "settings.safety.cold has the invalid value"),
        (
            r#""coldFrom":0.3"#,
            r#""coldFrom":1.3"#,
            r#"coldFrom has the invalid value "1.3": expected a fraction from 0 to 1"#,
        ),
        (r#""overloadFactor":3"#, r#""overloadFactor":0"#, "overloadFactor has the invalid value"),
        (r#""peersTotal":1"#, r#""peersTotal":0"#, "peersTotal has the invalid value"),
        (r#""limits":{"#, r#""limits":{"connectTimeout":0,"#, "connectTimeout has the invalid value"),
        (
            r#""settings":"#,
            r#""limits":{"sockets":0},"settings":"#,
            r#"limits.sockets has the invalid value "0": expected 24"#,
        ),
        (
            r#""settings":"#,
            r#""limits":{"memory_mb":-1},"settings":"#,
            "limits.memory_mb has the invalid value",
        ),
    ] {
        let message = error_for(from, to);
        assert!(message.contains(error), "{to}: {message}");
    }
    let class = whole.find("{\"name\"").unwrap()..whole.find("}],").unwrap() + 1;
    assert!(error_for(&whole[class.clone()], "").contains("a list of 1 to 256 classes"));
    let twice = format!("{0},{0}", &whole[class.clone()]);
    assert!(error_for(&whole[class], &twice).contains(r#"name has the invalid value "a""#));
    assert!(error_for(r#""requestClasses""#, r#""classes""#).contains("missing field"));
}
