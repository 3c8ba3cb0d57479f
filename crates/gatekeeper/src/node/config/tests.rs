use hollypaddle_standin::platform_file;
use serde_json::Value;

use super::Config;

#[test]
fn invalid_configuration_is_rejected_with_the_field_the_value_and_the_expected_range() {
    let read =
        |listen: &str, text: &str| Config::parse("n0".into(), listen, text).err().map(|e| e.to_string());
    let file = |dns: &str, seed: &str| {
        let text = format!(
            r#"{{"dns":"{dns}","seed":"{seed}","settings":{{"peersTotal":1,"period":0.005,
            "familyInfo":{{"release":0.3}},"limits":{{"tryLimit":6}},
                "requestClasses":[{{"name":"a","effect":"read_like","goalTime":1.0,"hardLimit":3,"value":1}}],
            "safety":{{"cold":14,"coldFrom":0.3,"overloadFactor":3}}}}}}"#
        );
        platform_file::complete(&text).unwrap()
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
        (r#""connectTimeout":0.5"#, r#""connectTimeout":0"#, "connectTimeout has the invalid value"),
        (r#""sockets":1024"#, r#""sockets":0"#, r#"limits.sockets has the invalid value "0": expected 24"#),
        (r#""memory_mb":64"#, r#""memory_mb":-1"#, "limits.memory_mb has the invalid value"),
    ] {
        let message = error_for(from, to);
        assert!(message.contains(error), "{to}: {message}");
    }
    let class = whole.find("{\"effect\"").unwrap()..whole.find("}],").unwrap() + 1;
    assert!(error_for(&whole[class.clone()], "").contains("a list of 1 to 256 classes"));
    let twice = format!("{0},{0}", &whole[class.clone()]);
    assert!(error_for(&whole[class], &twice).contains(r#"name has the invalid value "a""#));
    assert!(error_for(r#""requestClasses""#, r#""classes""#).contains("missing field"));
}

/// A complete file, with all keys that the pages show and the program reads.
fn complete_file() -> Value {
    let text = r#"{"dns":"127.0.0.1:53","settings":{"peersTotal":1,"period":0.005,"familyInfo":{"release":0.3},
        "limits":{"tryLimit":6},"safety":{"cold":14,"coldFrom":0.3,"overloadFactor":3},
        "requestClasses":[{"name":"a","effect":"read_like","goalTime":1.0,"hardLimit":3,"value":1},
            {"name":"b","effect":"read_like","goalTime":1.0,"hardLimit":3,"value":1}]}}"#;
    let mut file: Value = serde_json::from_str(&platform_file::complete(text).unwrap()).unwrap();
    let server = r#"{"instanceId":"s-0","hostPort":"127.0.0.1:1","zone":"a","cell":0,"lifecycle":"ready","startedAtMs":0}"#;
    let hosts = format!(r#"{{"reset":true,"instances":[{server}]}}"#);
    file["known"]["entries"] = serde_json::from_str(&format!(r#"[{{"pos":1,"hosts":{hosts}}}]"#)).unwrap();
    file
}

/// Returns the JSON pointers of all keys in a value.
fn pointers(value: &Value) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, child)| (key.clone(), child)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, child)| (n.to_string(), child)).collect(),
        _ => Vec::new(),
    };
    let mut all = Vec::new();
    for (name, child) in children {
        all.extend(value.is_object().then(|| format!("/{name}")));
        all.extend(pointers(child).into_iter().map(|rest| format!("/{name}{rest}")));
    }
    all
}

fn without(file: &Value, pointer: &str) -> Value {
    let mut file = file.clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    file.pointer_mut(parent).and_then(Value::as_object_mut).unwrap().remove(key).unwrap();
    file
}

fn parse(file: &Value) -> Result<Config, super::ConfigError> {
    Config::parse("n0".into(), "127.0.0.1:5060", &file.to_string())
}

/// Guards against a file that lacks a key and is used with a default in its place: the rest of it was applied, as the address of
/// another resolver, and a drain was missed.
#[test]
fn a_file_that_lacks_a_key_is_rejected_whichever_key_it_is() {
    let file = complete_file();
    assert!(parse(&file).is_ok());
    // Without tenants their share has no meaning.
    let optional = ["/settings/overShareWorth"];
    let required: Vec<String> =
        pointers(&file).into_iter().filter(|pointer| !optional.contains(&pointer.as_str())).collect();
    assert!(required.len() > 60, "{}", required.len());
    for pointer in required {
        let error = parse(&without(&file, &pointer)).err().map(|error| error.to_string());
        let key = pointer.rsplit('/').next().unwrap();
        assert!(error.as_ref().is_some_and(|e| e.contains(key)), "{pointer}: {error:?}");
    }
}

/// Guards against the rejection of a file without a key that the pages allow to be absent.
#[test]
fn a_file_without_an_optional_key_is_accepted_where_the_key_has_no_meaning() {
    let mut file = complete_file();
    assert!(parse(&without(&file, "/settings/overShareWorth")).is_ok());
    file["settings"]["tenants"] = serde_json::json!([{"name": "a", "quotaPerS": 1.0}]);
    assert!(parse(&file).is_ok());
    let error = parse(&without(&file, "/settings/overShareWorth")).err().map(|error| error.to_string());
    assert!(error.is_some_and(|e| e.contains("settings.overShareWorth")));
    let mut file = complete_file();
    file["settings"]["familyInfo"]["topology"] = "mesh".into();
    assert!(parse(&without(&file, "/settings/familyInfo/poolsByClass")).is_ok());
}
