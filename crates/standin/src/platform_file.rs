//! Platform files for tests, from only the keys that matter to a test.

use serde_json::{json, Map, Value};

/// Completes a platform file: adds each required key that it lacks, with a value that changes nothing where a gatekeeper can do
/// without. Keys that are there stay as they are.
///
/// # Errors
///
/// Fails if the text is not valid JSON.
pub fn complete(text: &str) -> Result<String, serde_json::Error> {
    let mut file: Value = serde_json::from_str(text)?;
    add_missing(&mut file, &defaults());
    let any_pool = file["settings"]["requestClasses"].as_array().map_or(0, Vec::len);
    let any_pool = json!({"poolsByClass": vec![[(); 0]; any_pool]});
    add_missing(&mut file["settings"]["familyInfo"], &any_pool);
    let class_defaults = json!({"effect": "", "lateWorth": 0.0});
    let classes = file["settings"]["requestClasses"].as_array_mut();
    classes.into_iter().flatten().for_each(|class| add_missing(class, &class_defaults));
    Ok(file.to_string())
}

/// Adds the keys of `defaults` that an object lacks, also to the objects in it.
fn add_missing(object: &mut Value, defaults: &Value) {
    let (Value::Object(object), Value::Object(defaults)) = (object, defaults) else { return };
    for (key, default) in defaults {
        let value = object.entry(key).or_insert_with(|| match default {
            Value::Object(_) => Value::Object(Map::new()),
            other => other.clone(),
        });
        add_missing(value, default);
    }
}

fn defaults() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
        "known": {"pos": 0, "entries": []},
        "settings": {
            "discovery": "push", "zone": 0, "zones": [], "overShareWorth": 1.0,
            "goal": {"whole": 0.0, "worstClass": 0.0, "worstTenant": 0.0, "worstWindow": 0.0},
            "telemetry": {"names": []},
            "familyInfo": {"holding": [], "retransmit": 0.0, "topology": "pools", "widths": []},
            "limits": {"connectTimeout": 0.5, "maxRetryAfter": 0.0, "mayCancel": false, "retryAfter": false},
            "safety": {"drainGrace": 0.25},
        },
    })
}
