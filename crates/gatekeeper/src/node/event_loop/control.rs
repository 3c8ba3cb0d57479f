//! Requests on the control socket and the control address.

use super::Gatekeeper;
use crate::node::components::ComponentContext;
use crate::node::control::Query;
use hollypaddle_service::figures::Gauges;
use hollypaddle_service::http::{self as control_http, Endpoint};
use hollypaddle_service::lifecycle::Phase;
use serde_json::{json, Value};

impl Gatekeeper {
    /// Answers a query from the control socket.
    pub(super) fn answer_query(&mut self, now: f64, query: Query) -> Value {
        match query {
            Query::Status {} => {
                let (open, standing) = self.calls.count();
                let districts = &self.platform.districts;
                let servers: Vec<Value> = (self.servers.status())
                    .map(|(name, state, district, connections)| {
                        let district = district.and_then(|d| districts.get(usize::from(d)));
                        let state = format!("{state:?}").to_lowercase();
                        json!({"name": name, "state": state, "district": district, "connections": connections})
                    })
                    .collect();
                json!({"ok": {"name": self.platform.name, "up_s": now - self.started, "open": open,
                    "standing": standing, "servers": servers}})
            }
            query => {
                let mut component_ctx = component_context!(self, now);
                let answer =
                    self.components.all_mut().into_iter().find_map(|s| s.answer(&mut component_ctx, &query));
                answer.unwrap_or_else(|| json!({"error": "no component answers this query"}))
            }
        }
    }

    /// Carries out a request from the control address, and returns the bytes of the answer.
    pub(super) fn handle_request(&mut self, now: f64, call: Endpoint) -> Vec<u8> {
        let changed = match call {
            Endpoint::Ready => {
                return match self.lifecycle.phase() {
                    Phase::Serving => match self.components.not_ready_reason() {
                        Some(why) => control_http::response(503, "text/plain", &format!("{why}\n")),
                        None => control_http::response(200, "text/plain", "ready\n"),
                    },
                    Phase::Lameduck => control_http::response(503, "text/plain", "lameduck\n"),
                    Phase::Stopping => control_http::response(503, "text/plain", "stopping\n"),
                };
            }
            Endpoint::Vars => {
                let json = serde_json::to_string(&self.figures_now()).unwrap_or_else(|_| "{}".into());
                return control_http::response(200, "application/json", &json);
            }
            Endpoint::LameduckOn => self.lifecycle.lameduck_on(now),
            Endpoint::LameduckOff => self.lifecycle.lameduck_off(now),
        };
        let phase = format!("{:?}", self.lifecycle.phase()).to_lowercase();
        if changed {
            match self.lifecycle.phase() {
                Phase::Lameduck => {
                    self.clients.steer_away(now);
                    self.clients.begin_drain(now);
                }
                Phase::Serving | Phase::Stopping => {
                    self.clients.steer_back();
                    self.clients.end_drain();
                }
            }
            log::info!(phase = phase.as_str(); "lameduck");
        }
        control_http::response(200, "text/plain", &format!("{phase}\n"))
    }

    /// The metrics, with the current values of the gauges.
    pub fn figures_now(&self) -> hollypaddle_service::figures::Report {
        let (open, standing) = self.calls.count();
        let (discovered, ejected) = self.servers.counts();
        let outstanding = (open + standing) as u64;
        let ends = self.clients.end_counts();
        let mut report = self.figures.report(Gauges {
            outstanding,
            discovered,
            ejected,
            unusable_lists: self.resolver.unusable_answers(),
            lists_passed_over: self.resolver.answers_passed_over(),
            calls_moved: self.calls.replaced.moved,
            calls_cut_at_replacement: self.calls.replaced.cut,
            ends_redelivered: ends.redelivered,
            ends_unconfirmed: ends.unconfirmed,
            drain_closed: self.clients.drain_counts().closed,
            drain_refused: self.clients.drain_counts().refused,
            drain_answered: self.drained_calls.answered,
            drain_cut: self.drained_calls.cut,
        });
        // Counted by the connections to servers, where set-ups are written.
        report.forwards += self.calls.forwards;
        report.fleet = self.components.fleet.joined.as_ref().map(|fleet| fleet.figures(&self.calls));
        report
    }
}
