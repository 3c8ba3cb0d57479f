//! The event loop: collects all events that are ready, passes them to the decision module together, and carries out its
//! actions.

use std::io;

use hollypaddle_config::{Conf, Names, OwnFile, Platform};
use hollypaddle_crossing::{Crossing, Report, Span};
use hollypaddle_policy::{Action, CallId, Controller, Event, ListKind, Settings};
use serde_json::Value;

use self::draining::DrainedCalls;
pub use self::stopping::Signals;
use self::stopping::{KILL_AFTER_S, KILL_RESERVE_S, MAX_WAIT_S};
use super::clients::Clients;
use super::clock::Clock;
use super::components::{ComponentContext, Components};
use super::config::{Config, ProtocolClass};
use super::gates::Gates;
use super::http::HttpServer;
use super::poller::{Key, Poller};
use super::resolver::Resolver;
use super::servers::{Context, Servers};
use hollypaddle_core::calls::Reply;
use hollypaddle_core::calls::{Calls, Command, Effect};
use hollypaddle_core::wheel::TimerWheel;
use hollypaddle_policy::ClassSettings;
use hollypaddle_service::classes::ClassTable;
use hollypaddle_service::descriptors::{self, DescriptorBudget};
use hollypaddle_service::figures::{Figures, Outcome, OTHER_CLASS};
use hollypaddle_service::lifecycle::{Lifecycle, Phase};

/// A tick of the timer wheel, in seconds.
const TICK_S: f64 = 0.005;
/// Interval of the heartbeat of the event loop, at which connections are checked and periodic work is done, in seconds.
const HEARTBEAT_S: f64 = 0.05;
/// Interval between two queries to the resolver, as a fraction of the drain grace: the time after the announcement of a
/// drain within which it must be obeyed, which also runs if the answer that announces it is lost. With this fraction two
/// answers in a row may be lost, and the third still comes in time.
const RESOLVER_INTERVAL_RATIO: f64 = 0.32;
/// Shortest interval between two queries to the resolver, in seconds.
const MIN_RESOLVER_INTERVAL_S: f64 = 0.02;
/// Longest interval between two queries to the resolver, in seconds.
const MAX_RESOLVER_INTERVAL_S: f64 = 0.25;
/// Shortest interval between two pieces that are sent to members that catch up, in seconds.
const MIN_CATCH_UP_INTERVAL_S: f64 = 0.001;
/// How much later than in the settings the rules of the protocol allow a time limit to end, in seconds. The strict reading
/// of the release rule waits for this too.
const LIMIT_TOLERANCE_S: f64 = 0.05;
/// Calls without a final answer may take up the memory limit divided by this.
const HELD_MEMORY_DIVISOR: usize = 8;
/// Number of timers that calls may leave behind before they are removed.
const MAX_STALE_TIMERS: usize = 4096;
/// Timers that each open call may have: for its deadline and for its attempt.
const TIMERS_PER_CALL: usize = 2;
/// Output that waits to be written to callers may take up the memory limit divided by this.
const WAITING_MEMORY_DIVISOR: usize = 4;

/// Borrows the parts of a gatekeeper that its components may use. A macro, so that the components can be borrowed as well.
macro_rules! component_context {
    ($node:expr, $now:expr) => {
        ComponentContext {
            now: $now,
            poller: &mut $node.poller,
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

/// Returns a function that tells whether set-ups of a class, given by its number, may be repeated.
fn repeatable(classes: &ClassTable<(ClassSettings, ProtocolClass)>) -> impl Fn(usize) -> bool + '_ {
    |class| classes.entries().get(class).is_some_and(|entry| entry.settings.0.repeatable)
}

enum Timer {
    Module(u32),
    Deadline(CallId),
    AttemptLimit(CallId, u8),
    Heartbeat,
    QueryResolver,
}

/// One gatekeeper.
pub struct Gatekeeper {
    clock: Clock,
    poller: Poller,
    wheel: TimerWheel<Timer>,
    controller: Controller<Gates>,
    calls: Calls,
    clients: Clients,
    servers: Servers,
    resolver: Resolver,
    resolver_key: Key,
    /// The settings in force, as given by the platform's file.
    settings: Settings,
    /// The platform's names and values that the own configuration file refers to, and the content of that file.
    platform: Platform,
    own_conf: Conf,
    /// The own configuration file as it was last read, the names that it was checked against, and the fleet's settings that
    /// are in force with it.
    own_file: OwnFile,
    names: Names,
    fleet_entries: Vec<(String, String)>,
    /// The parts other than callers, servers and resolver.
    components: Components,
    seed: u64,
    /// The time as of which the complete list of servers was last confirmed, by the resolver or by the configuration file.
    list_at: f64,
    /// The control address, the readiness and lameduck state, and the metrics that it reports.
    http: Option<HttpServer>,
    lifecycle: Lifecycle,
    figures: Figures,
    /// The names of the classes, indexed by number.
    class_names: Vec<String>,
    /// All classes since the start, indexed by number.
    classes: ClassTable<(ClassSettings, ProtocolClass)>,
    started: f64,
    /// Calls that were established in this iteration, but whose caller could not be sent the answer.
    undelivered: Vec<u64>,
    /// The number of calls that were ended by drains.
    drained_calls: DrainedCalls,
    /// How long the program may continue after SIGTERM, in seconds.
    max_stop_time: f64,
    /// Interval between two queries to the resolver, in seconds.
    resolver_interval: f64,
    /// Called once in the next iteration, after all input is read and before anything is decided and written.
    #[cfg(test)]
    pub before_writing: Option<Box<dyn FnOnce()>>,
}

impl Gatekeeper {
    /// Opens the sockets, on a real-time clock.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
    pub fn new(config: Config) -> io::Result<Gatekeeper> {
        Gatekeeper::with_clock(config, Clock::new())
    }

    /// Opens the sockets, on a given clock. With a clock that is not real-time, no iteration waits for events.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
    pub fn with_clock(config: Config, clock: Clock) -> io::Result<Gatekeeper> {
        let now = clock.now();
        let mut poller = Poller::new()?;
        let resolver = Resolver::new(
            config.dns,
            config.initial_list.position,
            config.seed,
            config.protocol.districts.clone(),
        )?;
        let resolver_key = poller.add(resolver.socket(), false)?;
        // The descriptors of links to other gatekeepers and of the control address are subtracted from the limit that callers
        // and servers share.
        let link_descriptors = config
            .own_conf
            .fleet
            .as_ref()
            .map_or(0, |fleet| super::tier::max_link_descriptors(fleet, &config.name));
        let control_descriptors = config.control.map_or(0, |_| super::http::MAX_CONNECTIONS + 1);
        let fixed = descriptors::FIXED_DESCRIPTORS + control_descriptors;
        let descriptors =
            DescriptorBudget { total: config.max_sockets.saturating_sub(link_descriptors), fixed };
        let listed = config.initial_list.servers.len();
        if !descriptors.is_sufficient(listed) {
            log::warn!(sockets = config.max_sockets, servers = listed; "descriptors-short");
        }
        let max_callers = descriptors.allocate(listed).callers;
        let clients = Clients::listen(
            config.listen,
            max_callers,
            config.memory_bytes / WAITING_MEMORY_DIVISOR,
            config.protocol.classes.clone(),
            &mut poller,
        )?;
        let http = match config.control {
            Some(address) => Some(HttpServer::listen(address, &mut poller)?),
            None => None,
        };
        let class_names: Vec<String> = config.protocol.classes.iter().map(|c| c.name.clone()).collect();
        let both = config.settings.classes.iter().cloned().zip(config.protocol.classes.iter().cloned());
        let classes = ClassTable::new(class_names.iter().cloned().zip(both));
        let figures = Figures::new(class_names.iter().map(String::as_str));
        let names = config.names();
        let configured = config.settings;
        let mut settings = configured.clone();
        settings.release_time += LIMIT_TOLERANCE_S;
        let resolver_interval = (config.protocol.drain_grace * RESOLVER_INTERVAL_RATIO)
            .clamp(MIN_RESOLVER_INTERVAL_S, MAX_RESOLVER_INTERVAL_S);
        let max_stop_time = config.protocol.max_wait().min(MAX_WAIT_S) + KILL_AFTER_S - KILL_RESERVE_S;
        let mut node = Gatekeeper {
            clock,
            poller,
            wheel: TimerWheel::new(now, TICK_S),
            controller: Controller::with_gate(settings, config.seed, Gates::default()),
            calls: Calls::new(now, config.memory_bytes / HELD_MEMORY_DIVISOR),
            clients,
            servers: Servers::new(config.protocol, config.telemetry, descriptors, config.seed),
            resolver,
            resolver_key,
            settings: configured,
            names,
            own_file: config.own_file,
            fleet_entries: Vec::new(),
            platform: config.platform,
            own_conf: Conf::default(),
            components: Components::default(),
            seed: config.seed,
            list_at: now,
            http,
            lifecycle: Lifecycle::new(now),
            figures,
            class_names,
            classes,
            started: now,
            undelivered: Vec::new(),
            drained_calls: DrainedCalls::default(),
            max_stop_time,
            resolver_interval,
            #[cfg(test)]
            before_writing: None,
        };
        node.calls.set_mean_call_duration(node.settings.mean_holding_time);
        node.clients.set_max_retry_after(node.settings.max_retry_after);
        node.apply_own_conf(now, config.own_conf)?;
        let mut ctx = Context { now, poller: &mut node.poller, calls: &mut node.calls };
        node.servers.apply_list(&config.initial_list, ListKind::Cached, &mut ctx);
        node.servers.maintain(&mut ctx);
        node.wheel.schedule(now, Timer::Heartbeat);
        node.wheel.schedule(now, Timer::QueryResolver);
        node.decide(now);
        Ok(node)
    }

    /// The address at which callers connect, or 0.0.0.0:0 while the listener is closed.
    pub fn address(&self) -> std::net::SocketAddr {
        self.clients.address().unwrap_or_else(|| (std::net::Ipv4Addr::UNSPECIFIED, 0).into())
    }

    /// The control address, if it is configured.
    pub fn control_address(&self) -> Option<std::net::SocketAddr> {
        self.http.as_ref().and_then(|h| h.address().ok())
    }

    /// Counts and budgets of set-ups to other districts, if configured.
    pub fn crossing(&mut self) -> Option<&mut Crossing> {
        self.controller.gate_mut().crossing.as_mut()
    }

    /// The time, in Unix seconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The number of set-ups that are written to a server only in part.
    #[cfg(test)]
    pub fn half_written(&self) -> usize {
        self.servers.half_written()
    }

    /// Calls the hook with the listener's address between the last accept and the close of the callers' listener.
    #[cfg(test)]
    pub fn before_listener_closes(&mut self, hook: impl FnMut(std::net::SocketAddr) + 'static) {
        self.clients.before_close = Some(Box::new(hook));
    }

    /// The number of calls without a final answer.
    #[cfg(test)]
    pub fn open_calls(&self) -> usize {
        self.calls.count().0
    }

    /// Whether output waits to be written to a caller.
    #[cfg(test)]
    pub fn blocked_callers(&self) -> bool {
        self.clients.blocked()
    }

    /// Reduces the system's send buffers for callers, so that few bytes fill them.
    #[cfg(test)]
    pub fn shrink_send_buffers(&self) {
        self.clients.shrink_send_buffers();
    }

    /// Calls the hook between the next poll of a caller's connection and the following write to it.
    #[cfg(test)]
    pub fn after_next_poll(&mut self, hook: impl FnOnce() + 'static) {
        self.clients.after_poll = Some(Box::new(hook));
    }

    /// Moves the clock forward.
    pub fn advance_clock(&mut self, seconds: f64) {
        self.clock.advance(seconds);
    }

    /// Whether the gatekeeper reports that it accepts clients.
    pub fn ready(&self) -> bool {
        self.lifecycle.ready() && self.components.not_ready_reason().is_none()
    }

    /// The reports on members and on the records replicated from them, if a fleet without relays is configured.
    pub fn fleet_reports(&self) -> Option<(Value, Value)> {
        let fleet = self.components.fleet.joined.as_ref()?;
        Some((fleet.report_members(self.clock.now()), fleet.report_replica(&self.calls)))
    }

    /// The report on set-ups to other districts, if configured.
    pub fn report(&mut self, span: Span) -> Option<Report> {
        let now = self.clock.now();
        Some(self.crossing()?.report(now, span))
    }

    /// Runs one iteration of the event loop: waits for events, handles them, decides, and carries out the decisions.
    ///
    /// # Errors
    ///
    /// Fails if waiting for events fails.
    pub fn run_once(&mut self) -> io::Result<()> {
        let wait = match self.clock.is_real_time() {
            true => {
                let now = self.clock.now();
                let wait = self.wheel.time_to_next(now).unwrap_or(HEARTBEAT_S).min(HEARTBEAT_S);
                let wait =
                    self.servers.held_messages_due_at().map_or(wait, |at| wait.min((at - now).max(0.0)));
                self.components
                    .next_iteration_at()
                    .map_or(wait, |at| wait.min((at - now).max(MIN_CATCH_UP_INTERVAL_S)))
            }
            false => 0.0,
        };
        let all = self.poller.wait(wait)?;
        let now = self.clock.now();
        self.clients.begin_iteration();
        let mut component_ctx = component_context!(self, now);
        self.components
            .all_mut()
            .into_iter()
            .for_each(|component| component.begin_iteration(&mut component_ctx));
        for ready in all {
            let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
            if ready.key == self.resolver_key {
                if let Some(list) = self.resolver.read_answers(now) {
                    self.servers.apply_list(&list, ListKind::Full, &mut ctx);
                    self.clients.set_max_connections(self.servers.max_caller_connections());
                }
                if let Some(confirmed_at) = self.resolver.take_confirmed() {
                    self.list_at = self.list_at.max(confirmed_at);
                }
            } else {
                self.servers.handle_ready(ready, &mut ctx);
                let mut component_ctx = component_context!(self, now);
                self.components
                    .all_mut()
                    .into_iter()
                    .for_each(|component| component.handle_ready(&mut component_ctx, ready));
                self.clients.handle_ready(now, ready, &mut self.poller, &mut self.calls);
                for class in std::mem::take(&mut self.clients.refused_classes) {
                    self.count_answer(class, Outcome::Declined);
                }
                let called = self.http.as_mut().and_then(|h| h.ready(now, ready, &mut self.poller));
                if let Some((key, call)) = called {
                    let bytes = self.handle_request(now, call);
                    if let Some(http) = &mut self.http {
                        http.reply(key, bytes, &self.poller);
                    }
                }
                for (key, query) in std::mem::take(&mut self.components.control.pending_queries) {
                    let answer = self.answer_query(now, query);
                    self.components.control.reply(key, &answer, &self.poller);
                }
            }
        }
        self.servers.process_held_messages(&mut Context {
            now,
            poller: &mut self.poller,
            calls: &mut self.calls,
        });
        let mut is_heartbeat = false;
        for timer in self.wheel.advance(now) {
            match timer {
                Timer::Module(token) => self.calls.events.push(Event::Timer { token }),
                Timer::Deadline(call) => self.calls.deadline_passed(now, call),
                Timer::AttemptLimit(call, attempt) => self.calls.attempt_timed_out(call, attempt),
                Timer::Heartbeat => {
                    let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
                    self.servers.maintain(&mut ctx);
                    let mut component_ctx = component_context!(self, now);
                    self.components
                        .all_mut()
                        .into_iter()
                        .for_each(|component| component.on_heartbeat(&mut component_ctx, &self.own_conf));
                    if let Some(http) = &mut self.http {
                        http.on_heartbeat(now, &self.poller);
                    }
                    self.remove_stale_timers();
                    is_heartbeat = true;
                    self.wheel.schedule(now + HEARTBEAT_S, Timer::Heartbeat);
                }
                Timer::QueryResolver => {
                    self.resolver.send_query(now);
                    self.wheel.schedule(now + self.resolver_interval, Timer::QueryResolver);
                }
            }
        }
        if let Some(set) = self.components.tier.take_offered_settings() {
            self.apply_fleet_settings(now, &set);
        }
        #[cfg(test)]
        if let Some(hook) = self.before_writing.take() {
            hook();
        }
        self.decide(now);
        if is_heartbeat {
            // Checked only now that all messages of this iteration are written. Otherwise a connection could be closed as
            // idle while the end of the call that kept it open is still to be written to it.
            self.clients.maintain(now, &self.poller, &mut self.calls);
            self.update_listener(now);
        }
        if is_heartbeat || self.clients.closes_idle_immediately(now) {
            self.drain(now);
            self.decide(now);
        }
        let mut component_ctx = component_context!(self, now);
        self.components
            .all_mut()
            .into_iter()
            .for_each(|component| component.finish_iteration(&mut component_ctx));
        Ok(())
    }

    /// Removes the timers of calls that have their final answer, if there are many. A caller may wait for seconds, so at a high rate of
    /// refused calls their timers would take up more memory than the calls.
    fn remove_stale_timers(&mut self) {
        let (open, _) = self.calls.count();
        if self.wheel.len() <= TIMERS_PER_CALL * open + MAX_STALE_TIMERS {
            return;
        }
        let calls = &self.calls;
        self.wheel.retain(|timer| match timer {
            Timer::Deadline(call) | Timer::AttemptLimit(call, _) => calls.awaits_answer(*call),
            Timer::Module(_) | Timer::Heartbeat | Timer::QueryResolver => true,
        });
    }

    /// Passes events to the decision module and carries out its actions, until there are no more of either. This terminates
    /// because each round ends attempts or calls, whose number is limited.
    fn decide(&mut self, now: f64) {
        let mut actions = Vec::new();
        // Sends set-ups that wait for a connection even if nothing else happened in this iteration.
        let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
        if ctx.calls.effects.is_empty() {
            self.servers.send_waiting(&mut ctx);
        }
        while !(self.calls.events.is_empty() && self.calls.effects.is_empty()) {
            for effect in self.calls.take_effects() {
                self.apply_effect(now, effect);
            }
            let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
            self.servers.send_waiting(&mut ctx);
            for mut event in self.calls.take_events() {
                if let Event::List { entries, .. } = &mut event {
                    self.components.overlay(entries, self.list_at);
                }
                self.controller.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                match action {
                    Action::Send { call, pool, limit } => self.calls.start_attempt(now, call, pool, limit),
                    Action::Refuse { call, retry_after } => self.calls.refuse(call, retry_after),
                    Action::Fail { call } => self.calls.fail(call),
                    Action::Cancel { call, attempt } => self.calls.cancel(call, attempt),
                    Action::Timer { at, token } => self.wheel.schedule(at, Timer::Module(token)),
                    // At debug level, because pools that close and open again under load would fill the log.
                    Action::Log(text) => log::debug!(text = text.as_str(); "module"),
                    // Nothing to do: the list is queried all the time.
                    Action::Subscribe => {}
                }
            }
        }
        self.undelivered.clear();
    }

    fn apply_effect(&mut self, now: f64, effect: Effect) {
        match effect {
            Effect::Reply { origin, id, class, reply } => {
                match reply {
                    Reply::Established(_) => self.count_answer(class, Outcome::Succeeded),
                    Reply::Refused(_) => self.count_answer(class, Outcome::Declined),
                    Reply::Failed => self.count_answer(class, Outcome::Aborted),
                    // The end of a standing call, which has already had its final answer.
                    Reply::Ended { .. } => {}
                }
                let is_established = matches!(reply, Reply::Established(_));
                if matches!(reply, Reply::Ended { .. }) && self.undelivered.contains(&id) {
                    return;
                }
                let sent = self.clients.reply(now, origin, id, reply, &self.poller, &mut self.calls);
                match (is_established, sent) {
                    (true, true) => self.calls.answer_sent(id),
                    // The caller left in the same iteration in which the answer came, and doesn't know of it. The call
                    // must be released. If its end came in the same iteration too, nobody else needs to be told.
                    (true, false) => {
                        self.undelivered.push(id);
                        self.calls.answer_not_sent(id);
                    }
                    (false, _) => {}
                }
            }
            Effect::Command { pool, id, command } => {
                let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
                self.servers.execute(pool, id, command, &mut ctx);
            }
            Effect::ReleaseEverywhere { id } => self.servers.release_everywhere(now, id, &self.poller),
            Effect::UnknownCallEnded { id, cut, may_predate_start, .. } => {
                // The call belongs to another gatekeeper. Whichever member receives its end reports it to the caller.
                if self
                    .components
                    .fleet
                    .joined
                    .as_mut()
                    .is_some_and(|fleet| fleet.handle_unknown_end(now, id, cut, may_predate_start))
                {
                    self.calls.report_end(id, cut);
                }
            }
            Effect::UnknownCallReleased { id, release_everywhere } => {
                let Some(fleet) = &self.components.fleet.joined else { return };
                match fleet.adopted_call(id).and_then(|call| fleet.pool_of(call.fact.server)) {
                    Some(pool) => {
                        self.calls.released_elsewhere(id);
                        let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
                        self.servers.execute(pool, id, Command::Release, &mut ctx);
                    }
                    None if release_everywhere => self.servers.release_everywhere(now, id, &self.poller),
                    None => {}
                }
            }
            Effect::DeadlineTimer { call, at } => self.wheel.schedule(at, Timer::Deadline(call)),
            Effect::AttemptTimer { call, attempt, at } => {
                self.wheel.schedule(at, Timer::AttemptLimit(call, attempt))
            }
        }
    }
}

impl Gatekeeper {
    /// Closes or opens the callers' listener according to the lifecycle. If that is not possible yet, it is tried again at
    /// the next heartbeat: the listener can't close while callers wait for a free connection, and its address may be in use.
    fn update_listener(&mut self, now: f64) {
        let (listening, may_listen) = (self.clients.is_listening(), self.lifecycle.accepts_connections(now));
        if listening && !may_listen && self.clients.stop_listening(now, &mut self.poller, &mut self.calls) {
            log::info!("listener-closed");
        }
        if !listening && self.lifecycle.phase() == Phase::Serving {
            match self.clients.resume_listening(&mut self.poller) {
                Ok(()) => log::info!("listener-open"),
                Err(error) => log::warn!(error:%; "listener-failed"),
            }
        }
    }

    fn count_answer(&mut self, class: usize, outcome: Outcome) {
        let name = self.class_names.get(class).map_or(OTHER_CLASS, String::as_str);
        self.figures.answered(name, outcome);
    }
}
