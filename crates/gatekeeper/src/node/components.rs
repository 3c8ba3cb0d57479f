//! The interface between the event loop and the gatekeeper's components.
//!
//! In each iteration the event loop calls every component, always in the same order: before any event is handled
//! ([`Component::begin_iteration`]), for each event ([`Component::handle_ready`]), at each heartbeat
//! ([`Component::on_heartbeat`]), and after the decisions ([`Component::finish_iteration`]). A new configuration is applied
//! in two steps: every component first prepares everything that can fail, and only if all succeed are the changes committed.
//! A new component needs a file and a line in [`Components`].

use std::io;

use hollypaddle_budgets::Shares;
use hollypaddle_config::{Conf, Platform};
use hollypaddle_core::calls::Calls;
use hollypaddle_crossing::{Crossing, District, Span};
use hollypaddle_policy::{Event, Gate, ListKind, PoolEntry};
use hollypaddle_replica::guard::Guard;
use serde_json::{json, Value};

use super::clients::Clients;
use super::control::{ControlSocket, Query};
use super::fleet::Fleet;
use super::gates::Gates;
use super::poller::{Key, Poller, Ready};
use super::resolver::Resolver;
use super::servers::Servers;
use super::tier::TierComponent;

/// Target of this module's log events. Operators' log filters name this path.
const LOG_TARGET: &str = "hollypaddle::node::subjects";

/// The parts of the gatekeeper that a component may use.
pub struct ComponentContext<'a> {
    /// The time, in Unix seconds.
    pub now: f64,
    /// The poller.
    pub poller: &'a mut Poller,
    /// All calls.
    pub calls: &'a mut Calls,
    /// The connections to session servers.
    pub servers: &'a mut Servers,
    /// The connections of callers.
    pub clients: &'a mut Clients,
    /// The connection to the resolver.
    pub resolver: &'a mut Resolver,
    /// The gates that set-ups have to pass.
    pub gates: &'a mut Gates,
    /// When the complete list of servers was last confirmed, by the resolver or by the configuration file.
    pub list_at: f64,
    /// The platform's names and values that the own configuration file refers to.
    pub platform: &'a Platform,
    /// The seed of random choices.
    pub seed: u64,
    /// The names of the classes, indexed by number.
    pub class_names: &'a [String],
}

/// A part of the gatekeeper other than callers, servers and resolver. All methods have defaults that do nothing.
pub trait Component {
    /// Opens what a new configuration needs, without applying it.
    ///
    /// # Errors
    ///
    /// Fails if something can't be opened. Nothing of the new configuration is applied then.
    fn prepare(&mut self, _ctx: &mut ComponentContext, _old: &Conf, _new: &Conf) -> io::Result<()> {
        Ok(())
    }

    /// Closes what was prepared, because another component failed to prepare.
    fn abandon(&mut self, _ctx: &mut ComponentContext) {}

    /// Applies the configuration that was prepared. Returns a short label of what changed, for the log.
    fn commit(&mut self, _ctx: &mut ComponentContext, _old: &Conf, _new: &Conf) -> Option<String> {
        None
    }

    /// Handles the passing of time, before any event of this iteration is handled.
    fn begin_iteration(&mut self, _ctx: &mut ComponentContext) {}

    /// Handles an event of the poller, if its source belongs to this component.
    fn handle_ready(&mut self, _ctx: &mut ComponentContext, _ready: Ready) {}

    /// Does periodic work. Called at each heartbeat of the event loop.
    fn on_heartbeat(&mut self, _ctx: &mut ComponentContext, _own: &Conf) {}

    /// Carries out the decisions of this iteration.
    fn finish_iteration(&mut self, _ctx: &mut ComponentContext) {}

    /// Closes everything, because the program ends.
    fn shut_down(&mut self, _ctx: &mut ComponentContext) {}

    /// The latest time for the next iteration of the event loop, if this component needs one.
    fn next_iteration_at(&self) -> Option<f64> {
        None
    }

    /// Why the gatekeeper is not ready yet, as a short label, or `None` if this component is ready.
    fn not_ready_reason(&self) -> Option<&'static str> {
        None
    }

    /// Answers a query from the control socket, if this component has the report.
    fn answer(&mut self, _ctx: &mut ComponentContext, _query: &Query) -> Option<Value> {
        None
    }
}

/// All components, in the order in which they are called.
#[derive(Default)]
pub struct Components {
    /// The control socket.
    pub control: ControlComponent,
    /// Counts and budgets of set-ups to other districts.
    pub crossing: CrossingComponent,
    /// Replication between the members of a fleet without relays.
    pub fleet: FleetComponent,
    /// Replication through a tier of relays.
    pub tier: TierComponent,
}

impl Components {
    /// The components, in order.
    pub fn all_mut(&mut self) -> [&mut dyn Component; 4] {
        [&mut self.control, &mut self.crossing, &mut self.fleet, &mut self.tier]
    }

    /// The components, in order, for reading.
    fn all(&self) -> [&dyn Component; 4] {
        [&self.control, &self.crossing, &self.fleet, &self.tier]
    }

    /// Updates the entries of a list of servers with what other members report. `list_at` is the time of the list.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64) {
        if let Some(fleet) = &self.fleet.joined {
            fleet.overlay(entries, list_at);
        }
        self.tier.overlay(entries, list_at);
    }

    /// Applies a new configuration, all of it or nothing. Returns a short label for each component that changed.
    ///
    /// # Errors
    ///
    /// Fails if a component can't prepare what the configuration needs.
    pub fn apply_config(
        &mut self,
        ctx: &mut ComponentContext,
        old: &Conf,
        new: &Conf,
    ) -> io::Result<Vec<String>> {
        let mut failed = None;
        for component in self.all_mut() {
            if let Err(error) = component.prepare(ctx, old, new) {
                failed = Some(error);
                break;
            }
        }
        if let Some(error) = failed {
            self.all_mut().into_iter().for_each(|component| component.abandon(ctx));
            return Err(error);
        }
        Ok(self.all_mut().into_iter().filter_map(|component| component.commit(ctx, old, new)).collect())
    }

    /// The latest time for the next iteration of the event loop, if any component needs one.
    pub fn next_iteration_at(&self) -> Option<f64> {
        self.all().into_iter().filter_map(Component::next_iteration_at).min_by(f64::total_cmp)
    }

    /// Why the gatekeeper is not ready yet, or `None` if all components are ready.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        self.all().into_iter().find_map(Component::not_ready_reason)
    }
}

/// The control socket, if it is configured, and its pending queries.
#[derive(Default)]
pub struct ControlComponent {
    control: Option<ControlSocket>,
    /// A socket that is opened but not in use yet.
    prepared: Option<ControlSocket>,
    /// Queries that wait for their answers, with the keys of their connections.
    pub pending_queries: Vec<(Key, Query)>,
}

impl ControlComponent {
    /// Answers a query on this connection.
    pub fn reply(&mut self, key: Key, answer: &Value, poller: &Poller) {
        if let Some(control) = &mut self.control {
            control.reply(key, answer, poller);
        }
    }
}

impl Component for ControlComponent {
    fn prepare(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> io::Result<()> {
        if new.control != old.control {
            if let Some(path) = &new.control {
                let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
                self.prepared = Some(ControlSocket::listen(path, ctx.poller).map_err(named)?);
            }
        }
        Ok(())
    }

    fn abandon(&mut self, ctx: &mut ComponentContext) {
        if let Some(prepared) = self.prepared.take() {
            prepared.close(ctx.poller);
        }
    }

    fn commit(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> Option<String> {
        if new.control == old.control {
            return None;
        }
        if let Some(old) = std::mem::replace(&mut self.control, self.prepared.take()) {
            old.close(ctx.poller);
        }
        Some("control".into())
    }

    fn handle_ready(&mut self, ctx: &mut ComponentContext, ready: Ready) {
        if let Some(control) = &mut self.control {
            self.pending_queries.extend(control.ready(ctx.now, ready, ctx.poller));
        }
    }

    fn on_heartbeat(&mut self, ctx: &mut ComponentContext, _: &Conf) {
        if let Some(control) = &mut self.control {
            control.on_heartbeat(ctx.now, ctx.poller);
        }
    }

    fn shut_down(&mut self, ctx: &mut ComponentContext) {
        if let Some(control) = self.control.take() {
            control.close(ctx.poller);
        }
    }
}

/// Configuration, log lines and report of the set-ups to other districts. They are counted by the gate `crossing`.
#[derive(Default)]
pub struct CrossingComponent {
    /// When the counts were last logged. `None` before the first heartbeat.
    logged_at: Option<f64>,
}

impl CrossingComponent {
    /// Logs the counts if that is configured and due. Writes one line for each combination of class and district that
    /// occurs, and therefore at most classes times districts.
    fn log_if_due(&mut self, ctx: &mut ComponentContext, own: &Conf) {
        let since = *self.logged_at.get_or_insert(ctx.now);
        let every = own.crossings.as_ref().and_then(|c| c.log_every);
        let Some(_) = every.filter(|every| ctx.now - since >= *every) else { return };
        self.logged_at = Some(ctx.now);
        let Some(crossing) = &mut ctx.gates.crossing else { return };
        let report = crossing.report(ctx.now, Span::Total);
        for row in report.rows.iter().filter(|r| r.class != "all" && r.to != "all" && r.to != "abroad") {
            let (class, from, to, c) = (row.class.as_str(), row.from.as_str(), row.to.as_str(), &row.counts);
            log::info!(
                target: LOG_TARGET, class, from, to, sent = c.sent, stood = c.established, late = c.late,
                refused = c.refused, failed = c.failed, reset = c.reset, given_up = c.given_up, ended = c.ended, cut = c.cut,
                bent = c.overdrew, denied = c.denied, out = row.in_flight, standing = row.standing;
                "crossings"
            );
        }
    }
}

impl Component for CrossingComponent {
    fn prepare(&mut self, ctx: &mut ComponentContext, _: &Conf, new: &Conf) -> io::Result<()> {
        // The platform's names are those of the start, and a file that is read later may have others. Without this check
        // budgets with such names would be dropped silently.
        let missing = new.crossings.as_ref().map_or(Vec::new(), |c| c.missing(ctx.platform));
        match missing.is_empty() {
            true => Ok(()),
            false => {
                let what = format!("not known until the gatekeeper is restarted: {}", missing.join(", "));
                Err(io::Error::new(io::ErrorKind::InvalidInput, what))
            }
        }
    }

    fn commit(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> Option<String> {
        let gate = &mut ctx.gates.crossing;
        if new.crossings == old.crossings && new.crossings.is_some() == gate.is_some() {
            return None;
        }
        let word = match (gate.as_mut(), &new.crossings) {
            (Some(crossing), Some(conf)) => {
                crossing.update_settings(conf.settings(ctx.platform), ctx.now);
                "changed"
            }
            (None, Some(conf)) => {
                let mut crossing = Crossing::new(conf.settings(ctx.platform), ctx.now);
                // The gate did not exist when the list of servers came.
                let entries = ctx.servers.pool_entries();
                crossing.on_event(ctx.now, &Event::List { kind: ListKind::Full, entries });
                *gate = Some(crossing);
                "on"
            }
            (_, None) => {
                *gate = None;
                "off"
            }
        };
        // If the own district is unknown no set-up counts as a crossing, and budgets that never take effect look as if they
        // were kept.
        if gate.as_ref().is_some_and(|g| g.settings().own_district == District::UNKNOWN) {
            log::warn!(target: LOG_TARGET, "own-district-unknown");
        }
        let budgets = new.crossings.as_ref().map_or(0, |c| c.budgets.len());
        Some(format!("crossings-{word}-{budgets}-budgets"))
    }

    fn on_heartbeat(&mut self, ctx: &mut ComponentContext, own: &Conf) {
        self.log_if_due(ctx, own);
    }

    fn answer(&mut self, ctx: &mut ComponentContext, query: &Query) -> Option<Value> {
        let Query::Crossings { span } = query else { return None };
        Some(match (Span::from_name(span), &mut ctx.gates.crossing) {
            (None, _) => json!({"error": format!("no span {span:?}: expected total, 10s, 1min or 10min")}),
            (_, None) => json!({"error": "no counts of crossings: the block `crossings` is not configured"}),
            (Some(span), Some(crossing)) => json!({"ok": crossing.report(ctx.now, span)}),
        })
    }
}

/// The fleet of a configuration file, if its members are linked directly rather than through relays.
fn fleet_without_relays(conf: &Conf) -> Option<&hollypaddle_config::Fleet> {
    conf.fleet.as_ref().filter(|fleet| fleet.tier.is_none())
}

/// Membership in a fleet, if the own configuration names one, and this gatekeeper's share of the fleet's budgets.
#[derive(Default)]
pub struct FleetComponent {
    /// The fleet that this gatekeeper has joined: its links and what it knows through them.
    pub joined: Option<Fleet>,
    /// The share of the budgets that may be used, and what was lent. Kept for a while after the fleet is left.
    shares: Option<Shares>,
    /// A fleet that was joined but is not in use yet.
    prepared: Option<Fleet>,
}

impl Component for FleetComponent {
    /// Joins a fleet, unless the file keeps this gatekeeper's own name and address in the fleet that was joined before.
    fn prepare(&mut self, ctx: &mut ComponentContext, _: &Conf, new: &Conf) -> io::Result<()> {
        let Some(conf) = fleet_without_relays(new) else { return Ok(()) };
        let name = &ctx.platform.name;
        if conf.own_member(name).is_none()
            || !self.joined.as_ref().is_some_and(|f| f.keeps_identity(conf, name))
        {
            self.prepared = Some(Fleet::join(ctx.now, conf, name, ctx.seed, ctx.calls, ctx.poller)?);
        }
        Ok(())
    }

    fn abandon(&mut self, ctx: &mut ComponentContext) {
        if let Some(prepared) = self.prepared.take() {
            prepared.discard(ctx.now, ctx.poller);
            // A fleet that stays joined continues to record changes.
            if self.joined.is_none() {
                ctx.calls.record_changes(false);
            }
        }
    }

    fn commit(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> Option<String> {
        if new.fleet == old.fleet || fleet_without_relays(old).or(fleet_without_relays(new)).is_none() {
            return None;
        }
        let word = match (&mut self.joined, self.prepared.take(), fleet_without_relays(new)) {
            (old, Some(prepared), _) => {
                if let Some(old) = old.replace(prepared) {
                    old.leave(ctx.now, ctx.calls, ctx.poller);
                    ctx.calls.record_changes(true);
                }
                "joined"
            }
            (Some(fleet), None, Some(conf)) => {
                fleet.reconfigure(ctx.now, conf, ctx.poller);
                "changed"
            }
            (old, None, _) => {
                if let Some(old) = old.take() {
                    old.leave(ctx.now, ctx.calls, ctx.poller);
                }
                "left"
            }
        };
        ctx.gates.fleet = self.joined.as_ref().map(|_| Guard::default());
        if let Some(fleet) = &mut self.joined {
            fleet.set_classes(ctx.class_names);
        }
        if let Some(conf) = fleet_without_relays(new) {
            self.shares
                .get_or_insert_with(|| Shares::new(ctx.now, conf.lend_ratio))
                .set_max_lent_ratio(conf.lend_ratio);
        }
        Some(format!("fleet-{word}"))
    }

    fn begin_iteration(&mut self, ctx: &mut ComponentContext) {
        if let (Some(fleet), Some(guard)) = (&mut self.joined, &mut ctx.gates.fleet) {
            if fleet.tick(ctx.now, guard) {
                // Answers that wait at the socket were sent before or while this process was paused, so they are old.
                ctx.resolver.forget_queries();
                ctx.resolver.send_query(ctx.now);
            }
        }
    }

    fn handle_ready(&mut self, ctx: &mut ComponentContext, ready: Ready) {
        if let Some(fleet) = &mut self.joined {
            fleet.handle_ready(ctx.now, ready, ctx.poller);
        }
    }

    /// Updates the share of the fleet's budgets, and passes what other members report to the gate and to the list.
    fn on_heartbeat(&mut self, ctx: &mut ComponentContext, _: &Conf) {
        let member = self.joined.as_mut().map(Fleet::member);
        let crossing = ctx.gates.crossing.as_mut();
        if self.shares.as_mut().is_some_and(|shares| !shares.update(ctx.now, member, crossing)) {
            self.shares = None;
        }
        let (Some(fleet), Some(guard)) = (&mut self.joined, &mut ctx.gates.fleet) else { return };
        let entries = fleet.maintain(ctx.now, ctx.list_at, ctx.servers, ctx.calls, guard, ctx.poller);
        fleet.hand_over_ends(ctx.now, ctx.clients);
        if !entries.is_empty() {
            ctx.calls.events.push(Event::List { kind: ListKind::Changes, entries });
        }
    }

    fn finish_iteration(&mut self, ctx: &mut ComponentContext) {
        if let Some(fleet) = &mut self.joined {
            fleet.send_pending(ctx.now, ctx.calls, ctx.poller);
        }
    }

    fn shut_down(&mut self, ctx: &mut ComponentContext) {
        if let Some(fleet) = self.joined.take() {
            fleet.leave(ctx.now, ctx.calls, ctx.poller);
        }
    }

    /// A member that catches up gets one piece per iteration, so there are more iterations meanwhile. Changes since the last
    /// message are also sent soon.
    fn next_iteration_at(&self) -> Option<f64> {
        self.joined.as_ref().and_then(Fleet::next_send_at)
    }

    fn not_ready_reason(&self) -> Option<&'static str> {
        self.joined.as_ref().filter(|fleet| !fleet.ready()).map(|_| "catching-up")
    }

    fn answer(&mut self, ctx: &mut ComponentContext, query: &Query) -> Option<Value> {
        let members = match query {
            Query::Members {} => true,
            Query::Replica {} => false,
            _ => return None,
        };
        // Without a fleet the tier's component answers.
        let fleet = self.joined.as_ref()?;
        Some(match members {
            true => json!({"ok": fleet.report_members(ctx.now)}),
            false => json!({"ok": fleet.report_replica(ctx.calls)}),
        })
    }
}
