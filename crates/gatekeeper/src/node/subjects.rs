//! The seam between the loop and its subjects.
//!
//! The loop calls each subject at the same places of a turn, in one order: first, before anything that came is taken
//! ([`Subject::begin`]); for each thing that is ready ([`Subject::heard`]); now and then ([`Subject::due`]); and last, after
//! the decisions ([`Subject::carry_out`]). A configuration read anew is taken in two steps: all that can fail is prepared
//! by every subject, and only then does any of it count. A further subject adds a file and a line in [`Subjects`].

use std::io;

use hollypaddle_budgets::Shares;
use hollypaddle_config::{Conf, Platform};
use hollypaddle_core::calls::Calls;
use hollypaddle_crossing::{Crossing, District, Span};
use hollypaddle_policy::{Event, Gate, ListKind, PoolEntry};
use hollypaddle_replica::guard::Guard;
use serde_json::{json, Value};

use super::clients::Clients;
use super::control::{Control, Question};
use super::fleet::Fleet;
use super::gates::Gates;
use super::poller::{Key, Ready, Watch};
use super::resolver::Resolver;
use super::servers::Servers;
use super::tier::InTier;

/// What a subject may reach in a step.
pub struct Room<'a> {
    /// The time.
    pub now: f64,
    /// The poller.
    pub watch: &'a mut Watch,
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
pub trait Subject {
    /// Opens what a configuration needs that is read anew; may fail, and then nothing of that file counts.
    fn prepare(&mut self, _room: &mut Room, _old: &Conf, _new: &Conf) -> io::Result<()> {
        Ok(())
    }

    /// Closes what was prepared, as another subject could not be.
    fn abandon(&mut self, _room: &mut Room) {}

    /// Takes the configuration that was prepared; tells in a word what changed.
    fn commit(&mut self, _room: &mut Room, _old: &Conf, _new: &Conf) -> Option<String> {
        None
    }

    /// What time brings, before anything that came is taken.
    fn begin(&mut self, _room: &mut Room) {}

    /// Something is ready; it may be another's.
    fn heard(&mut self, _room: &mut Room, _ready: Ready) {}

    /// Looks after things. Called now and then.
    fn due(&mut self, _room: &mut Room, _own: &Conf) {}

    /// Carries out what was decided in this turn.
    fn carry_out(&mut self, _room: &mut Room) {}

    /// The program ends.
    fn end(&mut self, _room: &mut Room) {}

    /// When the next turn is wanted at the latest.
    fn wants_turn_at(&self) -> Option<f64> {
        None
    }

    /// Why the gatekeeper is not ready yet, in a word.
    fn not_ready(&self) -> Option<&'static str> {
        None
    }

    /// The answer to a question of the control socket, where it is this subject's.
    fn answer(&mut self, _room: &mut Room, _question: &Question) -> Option<Value> {
        None
    }
}

/// All subjects, in the order in which they are called.
#[derive(Default)]
pub struct Subjects {
    /// The control socket.
    pub control: ControlRoom,
    /// The account of what crosses districts.
    pub account: Account,
    /// The other gatekeepers.
    pub fellows: Fellows,
    /// The tier of relays.
    pub tier: InTier,
}

impl Subjects {
    /// Each, in order.
    pub fn all(&mut self) -> [&mut dyn Subject; 4] {
        [&mut self.control, &mut self.account, &mut self.fellows, &mut self.tier]
    }

    /// The same, to be looked at.
    fn each(&self) -> [&dyn Subject; 4] {
        [&self.control, &self.account, &self.fellows, &self.tier]
    }

    /// The lines of a list, with what others know.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64) {
        if let Some(fleet) = &self.fellows.fleet {
            fleet.overlay(entries, list_at);
        }
        self.tier.overlay(entries, list_at);
    }

    /// Takes a configuration read anew, all of it or nothing; returns what changed, in words.
    pub fn take(&mut self, room: &mut Room, old: &Conf, new: &Conf) -> io::Result<Vec<String>> {
        let mut failed = None;
        for subject in self.all() {
            if let Err(error) = subject.prepare(room, old, new) {
                failed = Some(error);
                break;
            }
        }
        if let Some(error) = failed {
            self.all().into_iter().for_each(|subject| subject.abandon(room));
            return Err(error);
        }
        Ok(self.all().into_iter().filter_map(|subject| subject.commit(room, old, new)).collect())
    }

    /// When the next turn is wanted at the latest.
    pub fn wants_turn_at(&self) -> Option<f64> {
        self.each().into_iter().filter_map(Subject::wants_turn_at).min_by(f64::total_cmp)
    }

    /// Why the gatekeeper is not ready yet.
    pub fn not_ready(&self) -> Option<&'static str> {
        self.each().into_iter().find_map(Subject::not_ready)
    }
}

/// The control socket, where it is configured, and what was asked on it.
#[derive(Default)]
pub struct ControlRoom {
    control: Option<Control>,
    /// One that was opened and does not count yet.
    fresh: Option<Control>,
    /// Questions that wait for their answers.
    pub asked: Vec<(Key, Question)>,
}

impl ControlRoom {
    /// Answers a question.
    pub fn reply(&mut self, key: Key, told: &Value, watch: &Watch) {
        if let Some(control) = &mut self.control {
            control.reply(key, told, watch);
        }
    }
}

impl Subject for ControlRoom {
    fn prepare(&mut self, room: &mut Room, old: &Conf, new: &Conf) -> io::Result<()> {
        if new.control != old.control {
            if let Some(path) = &new.control {
                let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
                self.fresh = Some(Control::listen(path, room.watch).map_err(named)?);
            }
        }
        Ok(())
    }

    fn abandon(&mut self, room: &mut Room) {
        if let Some(fresh) = self.fresh.take() {
            fresh.close(room.watch);
        }
    }

    fn commit(&mut self, room: &mut Room, old: &Conf, new: &Conf) -> Option<String> {
        if new.control == old.control {
            return None;
        }
        if let Some(old) = std::mem::replace(&mut self.control, self.fresh.take()) {
            old.close(room.watch);
        }
        Some("control".into())
    }

    fn heard(&mut self, room: &mut Room, ready: Ready) {
        if let Some(control) = &mut self.control {
            self.asked.extend(control.ready(room.now, ready, room.watch));
        }
    }

    fn due(&mut self, room: &mut Room, _: &Conf) {
        if let Some(control) = &mut self.control {
            control.beat(room.now, room.watch);
        }
    }

    fn end(&mut self, room: &mut Room) {
        if let Some(control) = self.control.take() {
            control.close(room.watch);
        }
    }
}

/// The account of what crosses districts: its configuration, its line in the log, its report. The account itself is a gate.
#[derive(Default)]
pub struct Account {
    /// When it was last logged; none before the first look.
    logged_at: Option<f64>,
}

impl Account {
    /// Writes the account to the log where that is configured and due: a line a cell, of which there are no more than
    /// classes times districts.
    fn log(&mut self, room: &mut Room, own: &Conf) {
        let since = *self.logged_at.get_or_insert(room.now);
        let every = own.crossings.as_ref().and_then(|c| c.log_every);
        let Some(_) = every.filter(|every| room.now - since >= *every) else { return };
        self.logged_at = Some(room.now);
        let Some(crossing) = &mut room.gates.crossing else { return };
        let report = crossing.report(room.now, Span::Total);
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

impl Subject for Account {
    fn prepare(&mut self, room: &mut Room, _: &Conf, new: &Conf) -> io::Result<()> {
        // The platform's names are those of the start, and a file read since may have others. Guards against
        // budgets that are dropped without a word.
        let missing = new.crossings.as_ref().map_or(Vec::new(), |c| c.missing(room.platform));
        match missing.is_empty() {
            true => Ok(()),
            false => {
                let what = format!("not known before the next start: {}", missing.join(", "));
                Err(io::Error::new(io::ErrorKind::InvalidInput, what))
            }
        }
    }

    fn commit(&mut self, room: &mut Room, old: &Conf, new: &Conf) -> Option<String> {
        let gate = &mut room.gates.crossing;
        if new.crossings == old.crossings && new.crossings.is_some() == gate.is_some() {
            return None;
        }
        let word = match (gate.as_mut(), &new.crossings) {
            (Some(crossing), Some(conf)) => {
                crossing.change(conf.settings(room.platform), room.now);
                "changed"
            }
            (None, Some(conf)) => {
                let mut crossing = Crossing::new(conf.settings(room.platform), room.now);
                // It was not there when the list came.
                let entries = room.servers.entries();
                crossing.on_event(room.now, &Event::List { kind: ListKind::Full, entries });
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

    fn due(&mut self, room: &mut Room, own: &Conf) {
        self.log(room, own);
    }

    fn answer(&mut self, room: &mut Room, question: &Question) -> Option<Value> {
        let Question::Crossings { span } = question else { return None };
        Some(match (Span::named(span), &mut room.gates.crossing) {
            (None, _) => json!({"error": format!("no span {span:?}: total, 10s, 1min or 10min")}),
            (_, None) => json!({"error": "no account: the block `crossings` is not configured"}),
            (Some(span), Some(crossing)) => json!({"ok": crossing.report(room.now, span)}),
        })
    }
}

/// The fleet of a file whose members have links to each other.
fn meshed(conf: &Conf) -> Option<&hollypaddle_config::Fleet> {
    conf.fleet.as_ref().filter(|fleet| fleet.tier.is_none())
}

/// The other gatekeepers, where the own configuration names them, and what may be used of the fleet's budgets.
#[derive(Default)]
pub struct Fellows {
    /// The links and what is known by them.
    pub fleet: Option<Fleet>,
    /// What may be used, and what was lent. It outlives the fleet.
    shares: Option<Shares>,
    /// A fleet that was joined and does not count yet.
    fresh: Option<Fleet>,
}

impl Subject for Fellows {
    /// Joins a fleet where the file names another one than before, or another name or address of the own member's.
    fn prepare(&mut self, room: &mut Room, _: &Conf, new: &Conf) -> io::Result<()> {
        let Some(conf) = meshed(new) else { return Ok(()) };
        let name = &room.platform.name;
        if conf.own(name).is_none() || !self.fleet.as_ref().is_some_and(|f| f.keeps_identity(conf, name)) {
            self.fresh = Some(Fleet::join(room.now, conf, name, room.seed, room.calls, room.watch)?);
        }
        Ok(())
    }

    fn abandon(&mut self, room: &mut Room) {
        if let Some(fresh) = self.fresh.take() {
            fresh.discard(room.now, room.watch);
            // The one that stays goes on noting.
            if self.fleet.is_none() {
                room.calls.note_changes(false);
            }
        }
    }

    fn commit(&mut self, room: &mut Room, old: &Conf, new: &Conf) -> Option<String> {
        if new.fleet == old.fleet || meshed(old).or(meshed(new)).is_none() {
            return None;
        }
        let word = match (&mut self.fleet, self.fresh.take(), meshed(new)) {
            (old, Some(fresh), _) => {
                if let Some(old) = old.replace(fresh) {
                    old.leave(room.now, room.calls, room.watch);
                    room.calls.note_changes(true);
                }
                "joined"
            }
            (Some(fleet), None, Some(conf)) => {
                fleet.reconfigure(room.now, conf, room.watch);
                "changed"
            }
            (old, None, _) => {
                if let Some(old) = old.take() {
                    old.leave(room.now, room.calls, room.watch);
                }
                "left"
            }
        };
        room.gates.fleet = self.fleet.as_ref().map(|_| Guard::default());
        if let Some(fleet) = &mut self.fleet {
            fleet.set_classes(room.class_names);
        }
        if let Some(conf) = meshed(new) {
            self.shares.get_or_insert_with(|| Shares::new(room.now, conf.lend)).change(conf.lend);
        }
        Some(format!("fleet-{word}"))
    }

    fn begin(&mut self, room: &mut Room) {
        if let (Some(fleet), Some(guard)) = (&mut self.fleet, &mut room.gates.fleet) {
            if fleet.tick(room.now, guard) {
                // What waits at the socket was said before or while this process was paused.
                room.resolver.forget_asked();
                room.resolver.ask();
            }
        }
    }

    fn heard(&mut self, room: &mut Room, ready: Ready) {
        if let Some(fleet) = &mut self.fleet {
            fleet.handle_ready(room.now, ready, room.watch);
        }
    }

    /// What others know, for the gate and for the lines of the list, and what may be used of the fleet's budgets.
    fn due(&mut self, room: &mut Room, _: &Conf) {
        let member = self.fleet.as_mut().map(Fleet::member);
        let crossing = room.gates.crossing.as_mut();
        if self.shares.as_mut().is_some_and(|shares| !shares.beat(room.now, member, crossing)) {
            self.shares = None;
        }
        let (Some(fleet), Some(guard)) = (&mut self.fleet, &mut room.gates.fleet) else { return };
        let entries = fleet.maintain(room.now, room.list_at, room.servers, room.calls, guard, room.watch);
        fleet.hand_over_ends(room.now, room.clients);
        if !entries.is_empty() {
            room.calls.events.push(Event::List { kind: ListKind::Changes, entries });
        }
    }

    fn carry_out(&mut self, room: &mut Room) {
        if let Some(fleet) = &mut self.fleet {
            fleet.send_pending(room.now, room.calls, room.watch);
        }
    }

    fn end(&mut self, room: &mut Room) {
        if let Some(fleet) = self.fleet.take() {
            fleet.leave(room.now, room.calls, room.watch);
        }
    }

    /// One that catches up gets a piece a turn, and more turns; what came since the last word follows soon.
    fn wants_turn_at(&self) -> Option<f64> {
        self.fleet.as_ref().and_then(Fleet::next_send_at)
    }

    fn not_ready(&self) -> Option<&'static str> {
        self.fleet.as_ref().filter(|fleet| !fleet.ready()).map(|_| "catching-up")
    }

    fn answer(&mut self, room: &mut Room, question: &Question) -> Option<Value> {
        let members = match question {
            Question::Members {} => true,
            Question::Replica {} => false,
            _ => return None,
        };
        // Without one the tier answers.
        let fleet = self.fleet.as_ref()?;
        Some(match members {
            true => json!({"ok": fleet.report_members(room.now)}),
            false => json!({"ok": fleet.report_replica(room.calls)}),
        })
    }
}
