//! The loop: gathers all that is ready, hands it to the decision module in one go, and carries out
//! what comes back.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use hollypaddle_policy::{Action, CallId, Controller, Event, ListKind, Settings};

use super::clients::Clients;
use super::clock::Clock;
use super::config::{Config, ConfigError};
use super::poller::{Key, Watch};
use super::resolver::Resolver;
use super::servers::{Servers, Turn};
use hollypaddle_core::calls::{Calls, Effect};
use hollypaddle_core::wheel::Wheel;

/// A tick of the timer wheel, in seconds.
const TICK: f64 = 0.005;
/// Time between looks at connections that owe a sign.
const BEAT: f64 = 0.05;
/// Time between questions to the resolver. A drain must be kept 0.25 s after it was told, which an
/// answer that gets lost counts as too: so two in a row may be lost and the third still comes in time.
const ASK: f64 = 0.08;
/// How much later than the settings say the sockets' rules let a limit end; the release rule's strict
/// reading waits for it too.
const SOCKET_SLACK: f64 = 0.05;
/// After SIGTERM connections arrive for up to 0.4 s and requests for 0.2 s more. With what is on its
/// way, both are served for this long.
const LAST_REQUESTS: f64 = 0.8;
/// After SIGTERM the program may be killed once the longest deadline, counted as this where it is
/// longer, and 0.7 s have passed. What is left of that is kept as a reserve.
const LONGEST_WAIT: f64 = 3.0;
const KILL_AFTER: f64 = 0.7;
const KILL_RESERVE: f64 = 0.2;
/// Part of the descriptors that callers' connections may take; the usual ones hold a third by themselves.
const CALLERS_SHARE: f64 = 0.7;
/// Parts of the memory for set-ups held, and for what waits to be written to callers.
const HELD_SHARE: usize = 8;
const WAITING_SHARE: usize = 4;

enum Timer {
    Module(u32),
    Deadline(CallId),
    Limit(CallId, u8),
    Beat,
    Ask,
}

/// What signals ask of the gatekeeper.
#[derive(Default)]
pub struct Signals {
    /// To see to what is open, and end.
    pub stop: Arc<AtomicBool>,
    /// To read the configuration anew.
    pub reload: Arc<AtomicBool>,
}

/// One gatekeeper.
pub struct Gatekeeper {
    clock: Clock,
    watch: Watch,
    wheel: Wheel<Timer>,
    controller: Controller,
    calls: Calls,
    clients: Clients,
    servers: Servers,
    resolver: Resolver,
    resolver_key: Key,
    /// The settings in force, as the file gave them.
    settings: Settings,
    /// The longest time after SIGTERM.
    last: f64,
}

impl Gatekeeper {
    /// Opens the sockets.
    pub fn new(config: Config) -> io::Result<Gatekeeper> {
        let clock = Clock::new();
        let now = clock.now();
        let mut watch = Watch::new()?;
        let resolver =
            Resolver::new(config.dns, config.known.position, config.seed, config.link.districts.clone())?;
        let resolver_key = watch.add(resolver.socket(), false)?;
        let most = ((config.sockets as f64 * CALLERS_SHARE) as usize).max(1);
        let clients = Clients::listen(
            config.listen,
            most,
            config.memory / WAITING_SHARE,
            config.link.classes.clone(),
            &mut watch,
        )?;
        let given = config.settings;
        let mut settings = given.clone();
        settings.release += SOCKET_SLACK;
        let last = config.link.longest().min(LONGEST_WAIT) + KILL_AFTER - KILL_RESERVE;
        let mut node = Gatekeeper {
            clock,
            watch,
            wheel: Wheel::new(now, TICK),
            controller: Controller::new(settings, config.seed),
            calls: Calls::new(now, config.memory / HELD_SHARE),
            clients,
            servers: Servers::new(config.link, config.telemetry),
            resolver,
            resolver_key,
            settings: given,
            last,
        };
        let mut turn = Turn { now, watch: &mut node.watch, calls: &mut node.calls };
        node.servers.list(&config.known, ListKind::Cached, &mut turn);
        node.servers.beat(&mut turn);
        node.wheel.set(now, Timer::Beat);
        node.wheel.set(now, Timer::Ask);
        node.decide(now);
        Ok(node)
    }

    /// Where callers connect.
    #[cfg(test)]
    pub fn address(&self) -> std::net::SocketAddr {
        self.clients.address().expect("listening")
    }

    /// The time.
    #[cfg(test)]
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Lets time pass at once.
    #[cfg(test)]
    pub fn skip(&mut self, seconds: f64) {
        self.clock.skip(seconds);
    }

    /// Runs until it is told to stop and all is seen to. `load` reads the configuration anew.
    pub fn run(
        &mut self,
        signals: &Signals,
        load: impl Fn() -> Result<Config, ConfigError>,
    ) -> io::Result<()> {
        let mut stopping = None;
        loop {
            self.turn()?;
            let now = self.clock.now();
            if signals.reload.swap(false, Ordering::Relaxed) {
                self.reload(load());
            }
            if stopping.is_none() && signals.stop.load(Ordering::Relaxed) {
                let (open, standing) = self.calls.count();
                log::info!("stopping: {open} calls open, {standing} stand");
                stopping = Some(now);
            }
            if let Some(since) = stopping {
                if now - since >= LAST_REQUESTS {
                    self.clients.stop_listening(&self.watch);
                    if self.calls.count() == (0, 0) || now - since >= self.last {
                        return self.finish(now);
                    }
                }
            }
        }
    }

    /// Moves to a configuration read anew: to its resolver, and to its list where that is newer than the
    /// one held. Calls, connections and the position in the list stay. Guards against a file that is
    /// not whole, and against an older list, which would bring servers back that have gone.
    pub fn reload(&mut self, read: Result<Config, ConfigError>) {
        let now = self.clock.now();
        let new = match read {
            Ok(new) => new,
            Err(error) => return log::warn!("the configuration in force stays: {error}"),
        };
        let moved = self.resolver.move_to(new.dns).and_then(|old| {
            let key = self.watch.add(self.resolver.socket(), false);
            self.watch.remove(&old);
            key
        });
        match moved {
            Ok(key) => self.resolver_key = key,
            Err(error) => return log::error!("resolver {}: {error}", new.dns),
        }
        if self.resolver.accept(new.known.position) {
            let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
            self.servers.list(&new.known, ListKind::Full, &mut turn);
        }
        self.resolver.ask();
        self.decide(now);
        log::info!("configuration read anew; the resolver is {}", new.dns);
        if new.settings != self.settings {
            log::warn!("the settings have changed; they count from the next start on");
        }
    }

    fn finish(&mut self, now: f64) -> io::Result<()> {
        let (open, standing) = self.calls.count();
        self.calls.refuse_all();
        self.decide(now);
        log::info!("stopped: {open} calls refused at the end, {standing} left standing");
        Ok(())
    }

    /// One turn: waits, gathers, decides.
    pub fn turn(&mut self) -> io::Result<()> {
        let wait = self.wheel.next_in(self.clock.now()).unwrap_or(BEAT).min(BEAT);
        let all = self.watch.wait(wait)?;
        let now = self.clock.now();
        for ready in all {
            let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
            if ready.key == self.resolver_key {
                if let Some(list) = self.resolver.read() {
                    self.servers.list(&list, ListKind::Full, &mut turn);
                }
            } else {
                self.servers.ready(ready, &mut turn);
                self.clients.ready(now, ready, &mut self.watch, &mut self.calls);
            }
        }
        for timer in self.wheel.advance(now) {
            match timer {
                Timer::Module(token) => self.calls.events.push(Event::Timer { token }),
                Timer::Deadline(call) => self.calls.deadline(now, call),
                Timer::Limit(call, attempt) => self.calls.limit(call, attempt),
                Timer::Beat => {
                    let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
                    self.servers.beat(&mut turn);
                    self.clients.beat(now, &self.watch, &mut self.calls);
                    self.wheel.set(now + BEAT, Timer::Beat);
                }
                Timer::Ask => {
                    self.resolver.ask();
                    self.wheel.set(now + ASK, Timer::Ask);
                }
            }
        }
        self.decide(now);
        Ok(())
    }

    /// Hands the module what happened and carries out what it says, until neither brings anything new.
    /// Each round ends attempts or calls, of which there are only so many.
    fn decide(&mut self, now: f64) {
        let mut actions = Vec::new();
        while !(self.calls.events.is_empty() && self.calls.effects.is_empty()) {
            for effect in std::mem::take(&mut self.calls.effects) {
                self.effect(now, effect);
            }
            for event in std::mem::take(&mut self.calls.events) {
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
                    Action::Log(text) => log::debug!("module: {text}"),
                    // The list is asked for all the time.
                    Action::Subscribe => {}
                }
            }
        }
    }

    fn effect(&mut self, now: f64, effect: Effect) {
        match effect {
            Effect::Caller { origin, id, reply } => self.clients.reply(now, origin, id, reply, &self.watch),
            Effect::Server { pool, id, order } => {
                let mut turn = Turn { now, watch: &mut self.watch, calls: &mut self.calls };
                self.servers.order(pool, id, order, &mut turn);
            }
            Effect::Stray { id } => self.servers.release_anywhere(id, &self.watch),
            Effect::Deadline { call, at } => self.wheel.set(at, Timer::Deadline(call)),
            Effect::Limit { call, attempt, at } => self.wheel.set(at, Timer::Limit(call, attempt)),
        }
    }
}
