//! Tests that settings which are replaced at a reload leave the controller able to decide the calls that follow.

use hollypaddle_policy::{
    settings, Action, Controller, Event, ListKind, PoolEntry, PoolId, Readiness, Settings,
};

/// Settings with one class and these tenants, a JSON list.
fn settings_with_tenants(tenants: &str) -> Settings {
    let text = format!(
        r#"{{"period": 0.05, "peersTotal": 1, "tenants": {tenants}, "overShareWorth": 0.5, "goal": {{}},
            "requestClasses": [{{"name": "voice", "goalTime": 1.0, "hardLimit": 3.0, "value": 1.0, "lateWorth": 0.5,
                                 "effect": "none"}}],
            "familyInfo": {{"retransmit": 0.5, "release": 0.5, "poolsByClass": [[]]}},
            "limits": {{"tryLimit": 2}},
            "safety": {{"cold": 5.0, "coldFrom": 0.2, "overloadFactor": 1.2}}}}"#
    );
    settings::parse(text.as_bytes()).unwrap().0
}

/// Offers a call of the first tenant and returns whether it is sent to a pool at once.
fn is_sent(controller: &mut Controller, now: f64, call: u32) -> bool {
    let mut actions = Vec::new();
    let offer = Event::Call { call, class: 0, tenant: 0, time_left: 1.0, dialled: 0, first_choice: 0 };
    controller.handle(now, offer, &mut actions);
    actions.iter().any(|action| matches!(action, Action::Send { call: sent, .. } if *sent == call))
}

/// Guards against a panic at the first call after a reload that adds tenants: the counts of calls by tenant keep the
/// length that they had at the start.
#[test]
fn a_call_is_sent_after_a_reload_that_adds_a_tenant() {
    let mut controller = Controller::new(settings_with_tenants("[]"), 1);
    let pool =
        PoolEntry { pool: PoolId(1), number: 0, readiness: Readiness::Ready, ready_at: 0.0, district: None };
    controller.handle(1.0, Event::List { kind: ListKind::Full, entries: vec![pool] }, &mut Vec::new());
    assert!(is_sent(&mut controller, 1.1, 1), "before the reload");
    controller.update_settings(settings_with_tenants(r#"[{"quotaPerS": 10.0}]"#));
    assert!(is_sent(&mut controller, 2.0, 2), "after the reload");
}
