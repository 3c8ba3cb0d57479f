//! The seam between the loop and its subjects.
//!
//! The loop calls each subject at the same places of a turn, in one order: first, before anything that came is taken
//! ([`Component::begin_iteration`]); for each thing that is ready ([`Component::handle_ready`]); now and then ([`Component::on_heartbeat`]); and last, after
//! the decisions ([`Component::finish_iteration`]). A configuration read anew is taken in two steps: all that can fail is prepared
//! by every subject, and only then does any of it count. A further subject adds a file and a line in [`Components`].

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

/// What a subject may reach in a step.
pub struct ComponentContext<'a> {
    /// The time.
    pub now: f64,
    /// The poller.
    pub poller: &'a mut Poller,
    /// The calls.
    pub calls: &'a mut Calls,
    /// The session servers.
    pub servers: &'a mut Servers,
    /// The callers.
    pub clients: &'a mut Clients,
    /// The resolver.
    pub resolver: &'a mut Resolver,
    /// What set-ups have to pass.
    pub gates: &'a mut Gates,
    /// When the resolver last told the whole list, or the file did.
    pub list_at: f64,
    /// What the own configuration builds on.
    pub platform: &'a Platform,
    /// The seed of the start.
    pub seed: u64,
    /// The names of the classes, by number.
    pub class_names: &'a [String],
}

/// A part of the gatekeeper beside callers, servers and resolver. What it does not need it leaves out.
pub trait Component {
    /// Opens what a configuration needs that is read anew; may fail, and then nothing of that file counts.
    fn prepare(&mut self, _ctx: &mut ComponentContext, _old: &Conf, _new: &Conf) -> io::Result<()> {
        Ok(())
    }

    /// Closes what was prepared, as another subject could not be.
    fn abandon(&mut self, _ctx: &mut ComponentContext) {}

    /// Takes the configuration that was prepared; tells in a word what changed.
    fn commit(&mut self, _ctx: &mut ComponentContext, _old: &Conf, _new: &Conf) -> Option<String> {
        None
    }

    /// What time brings, before anything that came is taken.
    fn begin_iteration(&mut self, _ctx: &mut ComponentContext) {}

    /// Something is ready; it may be another's.
    fn handle_ready(&mut self, _ctx: &mut ComponentContext, _ready: Ready) {}

    /// Looks after things. Called now and then.
    fn on_heartbeat(&mut self, _ctx: &mut ComponentContext, _own: &Conf) {}

    /// Carries out what was decided in this turn.
    fn finish_iteration(&mut self, _ctx: &mut ComponentContext) {}

    /// The program ends.
    fn shut_down(&mut self, _ctx: &mut ComponentContext) {}

    /// When the next turn is wanted at the latest.
    fn next_iteration_at(&self) -> Option<f64> {
        None
    }

    /// Why the gatekeeper is not ready yet, in a word.
    fn not_ready_reason(&self) -> Option<&'static str> {
        None
    }

    /// The answer to a question of the control socket, where it is this subject's.
    fn answer(&mut self, _ctx: &mut ComponentContext, _question: &Query) -> Option<Value> {
        None
    }
}

/// All subjects, in the order in which they are called.
#[derive(Default)]
pub struct Components {
    /// The control socket.
    pub control: ControlComponent,
    /// The account of what crosses districts.
    pub crossing: CrossingComponent,
    /// The other gatekeepers.
    pub fleet: FleetComponent,
    /// The tier of relays.
    pub tier: TierComponent,
}

impl Components {
    /// Each, in order.
    pub fn all_mut(&mut self) -> [&mut dyn Component; 4] {
        [&mut self.control, &mut self.crossing, &mut self.fleet, &mut self.tier]
    }

    /// The same, to be looked at.
    fn all(&self) -> [&dyn Component; 4] {
        [&self.control, &self.crossing, &self.fleet, &self.tier]
    }

    /// The lines of a list, with what others know.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64) {
        if let Some(fleet) = &self.fleet.joined {
            fleet.overlay(entries, list_at);
        }
        self.tier.overlay(entries, list_at);
    }

    /// Takes a configuration read anew, all of it or nothing; returns what changed, in words.
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

    /// When the next turn is wanted at the latest.
    pub fn next_iteration_at(&self) -> Option<f64> {
        self.all().into_iter().filter_map(Component::next_iteration_at).min_by(f64::total_cmp)
    }

    /// Why the gatekeeper is not ready yet.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        self.all().into_iter().find_map(Component::not_ready_reason)
    }
}

/// The control socket, where it is configured, and what was asked on it.
#[derive(Default)]
pub struct ControlComponent {
    control: Option<ControlSocket>,
    /// One that was opened and does not count yet.
    fresh: Option<ControlSocket>,
    /// Questions that wait for their answers.
    pub asked: Vec<(Key, Query)>,
}

impl ControlComponent {
    /// Answers a question.
    pub fn reply(&mut self, key: Key, told: &Value, poller: &Poller) {
        if let Some(control) = &mut self.control {
            control.reply(key, told, poller);
        }
    }
}

impl Component for ControlComponent {
    fn prepare(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> io::Result<()> {
        if new.control != old.control {
            if let Some(path) = &new.control {
                let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
                self.fresh = Some(ControlSocket::listen(path, ctx.poller).map_err(named)?);
            }
        }
        Ok(())
    }

    fn abandon(&mut self, ctx: &mut ComponentContext) {
        if let Some(fresh) = self.fresh.take() {
            fresh.close(ctx.poller);
        }
    }

    fn commit(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> Option<String> {
        if new.control == old.control {
            return None;
        }
        if let Some(old) = std::mem::replace(&mut self.control, self.fresh.take()) {
            old.close(ctx.poller);
        }
        Some("control".into())
    }

    fn handle_ready(&mut self, ctx: &mut ComponentContext, ready: Ready) {
        if let Some(control) = &mut self.control {
            self.asked.extend(control.ready(ctx.now, ready, ctx.poller));
        }
    }

    fn on_heartbeat(&mut self, ctx: &mut ComponentContext, _: &Conf) {
        if let Some(control) = &mut self.control {
            control.beat(ctx.now, ctx.poller);
        }
    }

    fn shut_down(&mut self, ctx: &mut ComponentContext) {
        if let Some(control) = self.control.take() {
            control.close(ctx.poller);
        }
    }
}

/// The account of what crosses districts: its configuration, its line in the log, its report. The account itself is a gate.
#[derive(Default)]
pub struct CrossingComponent {
    /// When it was last logged; none before the first look.
    logged_at: Option<f64>,
}

impl CrossingComponent {
    /// Writes the account to the log where that is configured and due: a line a cell, of which there are no more than
    /// classes times districts.
    fn log(&mut self, ctx: &mut ComponentContext, own: &Conf) {
        let since = *self.logged_at.get_or_insert(ctx.now);
        let every = own.crossings.as_ref().and_then(|c| c.log_every);
        let Some(_) = every.filter(|every| ctx.now - since >= *every) else { return };
        self.logged_at = Some(ctx.now);
        let Some(crossing) = &mut ctx.gates.crossing else { return };
        let report = crossing.report(ctx.now, Span::Total);
        for row in report.rows.iter().filter(|r| r.class != "all" && r.to != "all" && r.to != "abroad") {
            let (class, from, to, c) = (row.class.as_str(), row.from.as_str(), row.to.as_str(), &row.counts);
            log::info!(
                class, from, to, sent = c.sent, stood = c.stood, late = c.late, refused = c.refused,
                failed = c.failed, reset = c.reset, given_up = c.given_up, ended = c.ended, cut = c.cut,
                bent = c.bent, denied = c.denied, out = row.out, standing = row.standing;
                "crossings"
            );
        }
    }
}

impl Component for CrossingComponent {
    fn prepare(&mut self, ctx: &mut ComponentContext, _: &Conf, new: &Conf) -> io::Result<()> {
        // The platform's names are those of the start, and a file read since may have others. Guards against
        // budgets that are dropped without a word.
        let missing = new.crossings.as_ref().map_or(Vec::new(), |c| c.missing(ctx.platform));
        match missing.is_empty() {
            true => Ok(()),
            false => {
                let what = format!("not known before the next start: {}", missing.join(", "));
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
                crossing.change(conf.settings(ctx.platform), ctx.now);
                "changed"
            }
            (None, Some(conf)) => {
                let mut crossing = Crossing::new(conf.settings(ctx.platform), ctx.now);
                // It was not there when the list came.
                let entries = ctx.servers.entries();
                crossing.hear(ctx.now, &Event::List { kind: ListKind::Full, entries });
                *gate = Some(crossing);
                "on"
            }
            (_, None) => {
                *gate = None;
                "off"
            }
        };
        // Without it nothing crosses, and budgets that never bite look as if they were kept.
        if gate.as_ref().is_some_and(|g| g.settings().own == District::UNKNOWN) {
            log::warn!("own-district-unknown");
        }
        let budgets = new.crossings.as_ref().map_or(0, |c| c.budgets.len());
        Some(format!("crossings-{word}-{budgets}-budgets"))
    }

    fn on_heartbeat(&mut self, ctx: &mut ComponentContext, own: &Conf) {
        self.log(ctx, own);
    }

    fn answer(&mut self, ctx: &mut ComponentContext, question: &Query) -> Option<Value> {
        let Query::Crossings { span } = question else { return None };
        Some(match (Span::named(span), &mut ctx.gates.crossing) {
            (None, _) => json!({"error": format!("no span {span:?}: total, 10s, 1min or 10min")}),
            (_, None) => json!({"error": "no account: the block `crossings` is not configured"}),
            (Some(span), Some(crossing)) => json!({"ok": crossing.report(ctx.now, span)}),
        })
    }
}

/// The fleet of a file whose members have links to each other.
fn meshed(conf: &Conf) -> Option<&hollypaddle_config::Fleet> {
    conf.fleet.as_ref().filter(|fleet| fleet.tier.is_none())
}

/// The other gatekeepers, where the own configuration names them, and what may be used of the fleet's budgets.
#[derive(Default)]
pub struct FleetComponent {
    /// The links and what is known by them.
    pub joined: Option<Fleet>,
    /// What may be used, and what was lent. It outlives the fleet.
    shares: Option<Shares>,
    /// A fleet that was joined and does not count yet.
    fresh: Option<Fleet>,
}

impl Component for FleetComponent {
    /// Joins a fleet where the file names another one than before, or another name or address of the own member's.
    fn prepare(&mut self, ctx: &mut ComponentContext, _: &Conf, new: &Conf) -> io::Result<()> {
        let Some(conf) = meshed(new) else { return Ok(()) };
        let name = &ctx.platform.name;
        if conf.own(name).is_none() || !self.joined.as_ref().is_some_and(|f| f.stays(conf, name)) {
            self.fresh = Some(Fleet::join(ctx.now, conf, name, ctx.seed, ctx.calls, ctx.poller)?);
        }
        Ok(())
    }

    fn abandon(&mut self, ctx: &mut ComponentContext) {
        if let Some(fresh) = self.fresh.take() {
            fresh.undo(ctx.now, ctx.poller);
            // The one that stays goes on noting.
            if self.joined.is_none() {
                ctx.calls.record_changes(false);
            }
        }
    }

    fn commit(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> Option<String> {
        if new.fleet == old.fleet || meshed(old).or(meshed(new)).is_none() {
            return None;
        }
        let word = match (&mut self.joined, self.fresh.take(), meshed(new)) {
            (old, Some(fresh), _) => {
                if let Some(old) = old.replace(fresh) {
                    old.leave(ctx.now, ctx.calls, ctx.poller);
                    ctx.calls.record_changes(true);
                }
                "joined"
            }
            (Some(fleet), None, Some(conf)) => {
                fleet.change(ctx.now, conf, ctx.poller);
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
        if let Some(conf) = meshed(new) {
            self.shares.get_or_insert_with(|| Shares::new(ctx.now, conf.lend)).change(conf.lend);
        }
        Some(format!("fleet-{word}"))
    }

    fn begin_iteration(&mut self, ctx: &mut ComponentContext) {
        if let (Some(fleet), Some(guard)) = (&mut self.joined, &mut ctx.gates.fleet) {
            if fleet.tick(ctx.now, guard) {
                // What waits at the socket was said before or while this process was paused.
                ctx.resolver.forget_asked();
                ctx.resolver.ask();
            }
        }
    }

    fn handle_ready(&mut self, ctx: &mut ComponentContext, ready: Ready) {
        if let Some(fleet) = &mut self.joined {
            fleet.heard(ctx.now, ready, ctx.poller);
        }
    }

    /// What others know, for the gate and for the lines of the list, and what may be used of the fleet's budgets.
    fn on_heartbeat(&mut self, ctx: &mut ComponentContext, _: &Conf) {
        let member = self.joined.as_mut().map(Fleet::member);
        let crossing = ctx.gates.crossing.as_mut();
        if self.shares.as_mut().is_some_and(|shares| !shares.beat(ctx.now, member, crossing)) {
            self.shares = None;
        }
        let (Some(fleet), Some(guard)) = (&mut self.joined, &mut ctx.gates.fleet) else { return };
        let entries = fleet.beat(ctx.now, ctx.list_at, ctx.servers, ctx.calls, guard, ctx.poller);
        fleet.hand_over(ctx.now, ctx.clients);
        if !entries.is_empty() {
            ctx.calls.events.push(Event::List { kind: ListKind::Changes, entries });
        }
    }

    fn finish_iteration(&mut self, ctx: &mut ComponentContext) {
        if let Some(fleet) = &mut self.joined {
            fleet.carry_out(ctx.now, ctx.calls, ctx.poller);
        }
    }

    fn shut_down(&mut self, ctx: &mut ComponentContext) {
        if let Some(fleet) = self.joined.take() {
            fleet.leave(ctx.now, ctx.calls, ctx.poller);
        }
    }

    /// One that catches up gets a piece a turn, and more turns; what came since the last word follows soon.
    fn next_iteration_at(&self) -> Option<f64> {
        self.joined.as_ref().and_then(Fleet::gives_at)
    }

    fn not_ready_reason(&self) -> Option<&'static str> {
        self.joined.as_ref().filter(|fleet| !fleet.ready()).map(|_| "catching-up")
    }

    fn answer(&mut self, ctx: &mut ComponentContext, question: &Query) -> Option<Value> {
        let members = match question {
            Query::Members {} => true,
            Query::Replica {} => false,
            _ => return None,
        };
        // Without one the tier answers.
        let fleet = self.joined.as_ref()?;
        Some(match members {
            true => json!({"ok": fleet.report_members(ctx.now)}),
            false => json!({"ok": fleet.report_replica(ctx.calls)}),
        })
    }
}
