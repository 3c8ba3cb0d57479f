//! The loop: gathers all that is ready, hands it to the decision module in one go, and carries out
//! what comes back.

use std::io;

use hollypaddle_config::{Conf, Names, OwnFile, Platform};
use hollypaddle_crossing::{Crossing, Report, Span};
use hollypaddle_policy::{Action, CallId, Controller, Event, ListKind, Settings};
use serde_json::Value;

use self::draining::DrainedCalls;
pub use self::stopping::Signals;
use self::stopping::{KILL_AFTER, KILL_RESERVE, LONGEST_WAIT};
use super::clients::Clients;
use super::clock::Clock;
use super::config::{Config, LinkClass};
use super::gates::Gates;
use super::http::Http;
use super::poller::{Key, Watch};
use super::resolver::Resolver;
use super::servers::{Servers, Turn};
use super::subjects::{Room, Subjects};
use hollypaddle_core::calls::Reply;
use hollypaddle_core::calls::{Calls, Effect, Order};
use hollypaddle_core::wheel::Wheel;
use hollypaddle_policy::ClassSettings;
use hollypaddle_service::classes::Table;
use hollypaddle_service::descriptors::{self, Descriptors};
use hollypaddle_service::figures::{Figures, Outcome, OTHER};
use hollypaddle_service::lifecycle::{Lifecycle, Phase};

/// A tick of the timer wheel, in seconds.
const TICK: f64 = 0.005;
/// Time between looks at connections that owe a sign.
const BEAT: f64 = 0.05;
/// Between two questions to the resolver lies this part of the time in which a drain must be kept after it was told, which
/// an answer that gets lost counts as too: so two in a row may be lost and the third still comes in time. In seconds, it
/// is asked no less and no more often than that.
const ASK_PART: f64 = 0.32;
const ASK_LEAST: f64 = 0.02;
const ASK_MOST: f64 = 0.25;
/// Least time between two pieces to members that catch up.
const GIVES: f64 = 0.001;
/// How much later than the settings say the sockets' rules let a limit end; the release rule's strict
/// reading waits for it too.
const SOCKET_SLACK: f64 = 0.05;
/// Parts of the memory for set-ups held, and for what waits to be written to callers.
const HELD_SHARE: usize = 8;
const WAITING_SHARE: usize = 4;

/// What a subject may reach, of a gatekeeper whose subjects are borrowed beside it.
macro_rules! room {
    ($node:expr, $now:expr) => {
        Room {
            now: $now,
            watch: &mut $node.watch,
            calls: &mut $node.calls,
            servers: &mut $node.servers,
            clients: &mut $node.clients,
            resolver: &mut $node.resolver,
            gates: $node.controller.gate_mut(),
            list_at: $node.list_at,
            platform: &$node.platform,
            seed: $node.seed,
            class_names: &$node.class_names,
        }
    };
}

mod control;
mod draining;
mod settings;
mod stopping;

/// Whether set-ups of a class may be sent again, by its number.
fn repeatable(classes: &Table<(ClassSettings, LinkClass)>) -> impl Fn(usize) -> bool + '_ {
    |class| classes.entries().get(class).is_some_and(|entry| entry.settings.0.repeatable)
}

enum Timer {
    Module(u32),
    Deadline(CallId),
    Limit(CallId, u8),
    Beat,
    Ask,
}

/// One gatekeeper.
pub struct Gatekeeper {
    clock: Clock,
    watch: Watch,
    wheel: Wheel<Timer>,
    controller: Controller<Gates>,
    calls: Calls,
    clients: Clients,
    servers: Servers,
    resolver: Resolver,
    resolver_key: Key,
    /// The settings in force, as the file gave them.
    settings: Settings,
    /// What the own configuration file builds on and says.
    platform: Platform,
    own: Conf,
    /// The own configuration file as it was last read, the names that it was held against, and the fleet's settings that
    /// are in force beside it.
    own_file: OwnFile,
    names: Names,
    fleet_entries: Vec<(String, String)>,
    /// What takes part beside callers, servers and resolver.
    subjects: Subjects,
    seed: u64,
    /// When the resolver last told the whole list, or the file did.
    list_at: f64,
    /// The control address, readiness and lameduck, and the figures that it reports.
    http: Option<Http>,
    life: Lifecycle,
    figures: Figures,
    /// The names of the classes, by number.
    class_names: Vec<String>,
    /// The classes by number, since the start.
    classes: Table<(ClassSettings, LinkClass)>,
    started: f64,
    /// Calls of this turn whose caller could not be told that they stand.
    untold: Vec<u64>,
    /// Calls that were ended in drains.
    drained_calls: DrainedCalls,
    /// The longest time after SIGTERM.
    last: f64,
    /// Between two questions to the resolver.
    ask_every: f64,
    /// Called in the next turn once all is read, before anything is decided and written.
    #[cfg(test)]
    pub before_writing: Option<Box<dyn FnOnce()>>,
}

impl Gatekeeper {
    /// Opens the sockets.
    pub fn new(config: Config) -> io::Result<Gatekeeper> {
        Gatekeeper::on_clock(config, Clock::new())
    }

    /// Opens the sockets, with a clock of the caller's. On one that stands still no turn waits.
    pub fn on_clock(config: Config, clock: Clock) -> io::Result<Gatekeeper> {
        let now = clock.now();
        let mut watch = Watch::new()?;
        let resolver =
            Resolver::new(config.dns, config.known.position, config.seed, config.link.districts.clone())?;
        let resolver_key = watch.add(resolver.socket(), false)?;
        // The links to other gatekeepers come off what callers share with the rest, and so does the control address.
        let links = config
            .own
            .fleet
            .as_ref()
            .map_or(0, |fleet| super::tier::max_link_descriptors(fleet, &config.name));
        let control = config.control.map_or(0, |_| super::http::MOST_CONNECTIONS + 1);
        let fixed = descriptors::FIXED + control;
        let descriptors = Descriptors { all: config.sockets.saturating_sub(links), fixed };
        let listed = config.known.servers.len();
        if !descriptors.suffice(listed) {
            log::warn!(sockets = config.sockets, servers = listed; "descriptors-short");
        }
        let most = descriptors.divided(listed).callers;
        let clients = Clients::listen(
            config.listen,
            most,
            config.memory / WAITING_SHARE,
            config.link.classes.clone(),
            &mut watch,
        )?;
        let http = match config.control {
            Some(address) => Some(Http::listen(address, &mut watch)?),
            None => None,
        };
        let class_names: Vec<String> = config.link.classes.iter().map(|c| c.name.clone()).collect();
        let both = config.settings.classes.iter().cloned().zip(config.link.classes.iter().cloned());
        let classes = Table::new(class_names.iter().cloned().zip(both));
        let figures = Figures::new(class_names.iter().map(String::as_str));
        let names = config.names();
        let given = config.settings;
        let mut settings = given.clone();
        settings.release_time += SOCKET_SLACK;
        let ask_every = (config.link.drain_grace * ASK_PART).clamp(ASK_LEAST, ASK_MOST);
        let last = config.link.longest().min(LONGEST_WAIT) + KILL_AFTER - KILL_RESERVE;
        let mut node = Gatekeeper {
            clock,
            watch,
            wheel: Wheel::new(now, TICK),
            controller: Controller::with_gate(settings, config.seed, Gates::default()),
            calls: Calls::new(now, config.memory / HELD_SHARE),
            clients,
            servers: Servers::new(config.link, config.telemetry, descriptors, config.seed),
            resolver,
            resolver_key,
            settings: given,
            names,
            own_file: config.own_file,
            fleet_entries: Vec::new(),
            platform: config.platform,
            own: Conf::default(),
            subjects: Subjects::default(),
            seed: config.seed,
            list_at: now,
            http,
            life: Lifecycle::new(now),
            figures,
            class_names,
            classes,
            started: now,
            untold: Vec::new(),
            drained_calls: DrainedCalls::default(),
            last,
            ask_every,
            #[cfg(test)]
            before_writing: None,
        };
        node.calls.calls_last(node.settings.mean_holding_time);
        node.clients.set_stay_away(node.settings.max_retry_after);
        node.take_own(now, config.own)?;
        let mut turn = Turn { now, watch: &mut node.watch, calls: &mut node.calls };
        node.servers.list(&config.known, ListKind::Cached, &mut turn);
        node.servers.beat(&mut turn);
        node.wheel.set(now, Timer::Beat);
        node.wheel.set(now, Timer::Ask);
        node.decide(now);
        Ok(node)
    }

    /// Where callers connect.
    pub fn address(&self) -> std::net::SocketAddr {
        self.clients.address().unwrap_or_else(|| (std::net::Ipv4Addr::UNSPECIFIED, 0).into())
    }

    /// Where the control address listens, where configured.
    pub fn control_address(&self) -> Option<std::net::SocketAddr> {
        self.http.as_ref().and_then(|h| h.address().ok())
    }

    /// Account and budgets of what crosses districts, where configured.
    pub fn crossing(&mut self) -> Option<&mut Crossing> {
        self.controller.gate_mut().crossing.as_mut()
    }

    /// The time.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Set-ups of which a part is written to a server.
    #[cfg(test)]
    pub fn half_written(&self) -> usize {
        self.servers.half_written()
    }

    /// Calls this between the last accept and the close of the callers' listener, with its address.
    #[cfg(test)]
    pub fn before_listener_closes(&mut self, hook: impl FnMut(std::net::SocketAddr) + 'static) {
        self.clients.before_close = Some(Box::new(hook));
    }

    /// Whether something waits to be written to a caller.
    #[cfg(test)]
    pub fn blocked_callers(&self) -> bool {
        self.clients.blocked()
    }

    /// Has few bytes fill the system's buffers on the way to callers.
    #[cfg(test)]
    pub fn shrink_send_buffers(&self) {
        self.clients.shrink_send_buffers();
    }

    /// Calls this between the next look at a caller's connection and what is written on it.
    #[cfg(test)]
    pub fn after_next_look(&mut self, hook: impl FnOnce() + 'static) {
        self.clients.after_poll = Some(Box::new(hook));
    }

    /// Lets time pass at once.
    pub fn skip(&mut self, seconds: f64) {
        self.clock.skip(seconds);
    }

    /// Whether it says that it takes clients.
    pub fn ready(&self) -> bool {
        self.life.ready() && self.subjects.not_ready().is_none()
    }

    /// The reports on members and on what is held of them, where a fleet is configured.
    pub fn fleet_reports(&self) -> Option<(Value, Value)> {
        let fleet = self.subjects.fellows.fleet.as_ref()?;
        Some((fleet.report_members(self.clock.now()), fleet.report_replica(&self.calls)))
    }

    /// The report of what crosses districts, where configured.
    pub fn report(&mut self, span: Span) -> Option<Report> {
        let now = self.clock.now();
        Some(self.crossing()?.report(now, span))
    }

    /// One turn: waits, gathers, decides.
    pub fn turn(&mut self) -> io::Result<()> {
        let wait = match self.clock.runs() {
            true => {
                let now = self.clock.now();
                let wait = self.wheel.next_in(now).unwrap_or(BEAT).min(BEAT);
                let wait = self.servers.release_due().map_or(wait, |at| wait.min((at - now).max(0.0)));
                self.subjects.wants_turn_at().map_or(wait, |at| wait.min((at - now).max(GIVES)))
            }
            false => 0.0,
        };
        let all = self.watch.wait(wait)?;
        let now = self.clock.now();
        let mut room = room!(self, now);
        self.subjects.all().into_iter().for_each(|subject| subject.begin(&mut room));
        for ready in all {
            let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
            if ready.key == self.resolver_key {
                if let Some(list) = self.resolver.read() {
                    self.servers.list(&list, ListKind::Full, &mut turn);
                    self.clients.set_most(self.servers.left_to_callers());
                }
                if self.resolver.confirmed() {
                    self.list_at = now;
                }
            } else {
                self.servers.ready(ready, &mut turn);
                let mut room = room!(self, now);
                self.subjects.all().into_iter().for_each(|subject| subject.heard(&mut room, ready));
                self.clients.ready(now, ready, &mut self.watch, &mut self.calls);
                for class in std::mem::take(&mut self.clients.turned_away) {
                    self.count(class, Outcome::Declined);
                }
                let called = self.http.as_mut().and_then(|h| h.ready(now, ready, &mut self.watch));
                if let Some((key, call)) = called {
                    let bytes = self.call(now, call);
                    if let Some(http) = &mut self.http {
                        http.reply(key, bytes, &self.watch);
                    }
                }
                for (key, question) in std::mem::take(&mut self.subjects.control.asked) {
                    let told = self.answer(now, question);
                    self.subjects.control.reply(key, &told, &self.watch);
                }
            }
        }
        self.servers.release_held(&mut Turn { now, watch: &mut self.watch, calls: &mut self.calls });
        let mut beat = false;
        for timer in self.wheel.advance(now) {
            match timer {
                Timer::Module(token) => self.calls.events.push(Event::Timer { token }),
                Timer::Deadline(call) => self.calls.deadline(now, call),
                Timer::Limit(call, attempt) => self.calls.limit(call, attempt),
                Timer::Beat => {
                    let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
                    self.servers.beat(&mut turn);
                    let mut room = room!(self, now);
                    self.subjects.all().into_iter().for_each(|subject| subject.due(&mut room, &self.own));
                    if let Some(http) = &mut self.http {
                        http.beat(now, &self.watch);
                    }
                    beat = true;
                    self.wheel.set(now + BEAT, Timer::Beat);
                }
                Timer::Ask => {
                    self.resolver.ask();
                    self.wheel.set(now + self.ask_every, Timer::Ask);
                }
            }
        }
        if let Some(set) = self.subjects.tier.take_offered_settings() {
            self.take_settings(now, &set);
        }
        #[cfg(test)]
        if let Some(hook) = self.before_writing.take() {
            hook();
        }
        self.decide(now);
        if beat {
            // Only now is all said that this turn brought. Guards against a connection closed as idle while the end of the
            // call that kept it is on its way there.
            self.clients.beat(now, &self.watch, &mut self.calls);
            self.listen_as_told(now);
        }
        if beat || self.clients.drains_firmly(now) {
            self.drain(now);
            self.decide(now);
        }
        let mut room = room!(self, now);
        self.subjects.all().into_iter().for_each(|subject| subject.carry_out(&mut room));
        Ok(())
    }

    /// Hands the module what happened and carries out what it says, until neither brings anything new.
    /// Each round ends attempts or calls, of which there are only so many.
    fn decide(&mut self, now: f64) {
        let mut actions = Vec::new();
        // Set-ups that waited for a connection, with nothing new in this turn.
        let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
        if turn.calls.effects.is_empty() {
            self.servers.send_waiting(&mut turn);
        }
        while !(self.calls.events.is_empty() && self.calls.effects.is_empty()) {
            for effect in std::mem::take(&mut self.calls.effects) {
                self.effect(now, effect);
            }
            let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
            self.servers.send_waiting(&mut turn);
            for mut event in std::mem::take(&mut self.calls.events) {
                if let Event::List { entries, .. } = &mut event {
                    self.subjects.overlay(entries, self.list_at);
                }
                self.controller.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                match action {
                    Action::Send { call, pool, limit } => self.calls.send(now, call, pool, limit),
                    Action::Refuse { call, retry_after } => self.calls.refuse(call, retry_after),
                    Action::Fail { call } => self.calls.fail(call),
                    Action::Cancel { call, attempt } => self.calls.cancel(call, attempt),
                    Action::Timer { at, token } => self.wheel.set(at, Timer::Module(token)),
                    // Pools that shut and open again under load would fill the log with the traffic.
                    Action::Log(text) => log::debug!(text = text.as_str(); "module"),
                    // The list is asked for all the time.
                    Action::Subscribe => {}
                }
            }
        }
        self.untold.clear();
    }

    fn effect(&mut self, now: f64, effect: Effect) {
        match effect {
            Effect::Caller { origin, id, class, reply } => {
                match reply {
                    Reply::Stands(_) => self.count(class, Outcome::Succeeded),
                    Reply::Refused(_) => self.count(class, Outcome::Declined),
                    Reply::Failed => self.count(class, Outcome::Aborted),
                    // The end of a call that stood, which had its final answer then.
                    Reply::Over { .. } => {}
                }
                let stands = matches!(reply, Reply::Stands(_));
                if matches!(reply, Reply::Over { .. }) && self.untold.contains(&id) {
                    return;
                }
                if !self.clients.reply(now, origin, id, reply, &self.watch, &mut self.calls) && stands {
                    // Its caller left together with the answer, and knows nothing of it: it must not stand on, and if its
                    // end came with the answer too, that is no news to anybody else.
                    self.untold.push(id);
                    self.calls.caller_release(now, id);
                }
            }
            Effect::Server { pool, id, order } => {
                let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
                self.servers.order(pool, id, order, &mut turn);
            }
            Effect::Stray { id } => self.servers.release_anywhere(now, id, &self.watch),
            Effect::EndOfUnknown { id, cut, earlier, .. } => {
                // Of a call that another gatekeeper took: whoever hears of its end tells its caller.
                if self
                    .subjects
                    .fellows
                    .fleet
                    .as_mut()
                    .is_some_and(|fleet| fleet.handle_unknown_end(now, id, cut, earlier))
                {
                    self.calls.tell_end(id, cut);
                }
            }
            Effect::ReleaseOfUnknown { id, stray } => {
                let Some(fleet) = &self.subjects.fellows.fleet else { return };
                match fleet.adopted_call(id).and_then(|call| fleet.pool_of(call.fact.server)) {
                    Some(pool) => {
                        self.calls.released_elsewhere(id);
                        let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
                        self.servers.order(pool, id, Order::Release, &mut turn);
                    }
                    None if stray => self.servers.release_anywhere(now, id, &self.watch),
                    None => {}
                }
            }
            Effect::Deadline { call, at } => self.wheel.set(at, Timer::Deadline(call)),
            Effect::Limit { call, attempt, at } => self.wheel.set(at, Timer::Limit(call, attempt)),
        }
    }
}

impl Gatekeeper {
    /// Closes or opens the clients' listener as the lifecycle says. What does not succeed is tried again at the next beat: a
    /// close while callers wait for a place, an address that cannot be listened at.
    fn listen_as_told(&mut self, now: f64) {
        let (listening, may_listen) = (self.clients.listening(), self.life.listens(now));
        if listening && !may_listen && self.clients.stop_listening(now, &mut self.watch, &mut self.calls) {
            log::info!("listener-closed");
        }
        if !listening && self.life.phase() == Phase::Serving {
            match self.clients.listen_again(&mut self.watch) {
                Ok(()) => log::info!("listener-open"),
                Err(error) => log::warn!(error:%; "listener-failed"),
            }
        }
    }

    fn count(&mut self, class: usize, outcome: Outcome) {
        let name = self.class_names.get(class).map_or(OTHER, String::as_str);
        self.figures.answered(name, outcome);
    }
}
