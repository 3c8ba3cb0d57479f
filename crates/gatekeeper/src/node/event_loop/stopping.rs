//! Runs the event loop until the program ends: handles signals, and completes the open work after SIGTERM.

use super::{repeatable, Gatekeeper, TICK_S};
use crate::node::components::ComponentContext;
use crate::node::config::{Config, ConfigError};
use crate::node::servers::Context;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// How long new connections and set-ups are served after SIGTERM, in seconds. Connections still arrive for up to 0.4 s and
/// requests for 0.2 s more; the rest is for messages that are on their way.
const LAST_REQUESTS_S: f64 = 0.8;
/// How long the last connections are read after the listener closed, before the program may end, in seconds.
const READ_AFTER_CLOSE_S: f64 = 0.2;
/// The longest deadline is taken to be this, in seconds, if it is longer. After SIGTERM the program may be killed once the
/// longest deadline and [`KILL_AFTER_S`] have passed.
pub(super) const MAX_WAIT_S: f64 = 3.0;
/// The time that is added to the longest deadline: when both have passed since SIGTERM, the program may be killed. In seconds.
pub(super) const KILL_AFTER_S: f64 = 0.7;
/// The program stops waiting for open calls this long before it may be killed, in seconds.
pub(super) const KILL_RESERVE_S: f64 = 0.2;
/// How long callers have at the end to read their last answers and close, in seconds. Part of [`KILL_RESERVE_S`].
const CLOSE_GRACE_S: f64 = 0.1;

/// Flags that are set by signal handlers.
#[derive(Default)]
pub struct Signals {
    /// Complete the open work and end.
    pub stop: Arc<AtomicBool>,
    /// Read the configuration again.
    pub reload: Arc<AtomicBool>,
}

/// SIGTERM was received. A process that was paused sees it late, but is killed at a fixed time after it was sent.
#[derive(Clone, Copy)]
struct Stopping {
    seen_at: f64,
    /// The last time at which it was known not to have been sent.
    sent_after: f64,
}

impl Gatekeeper {
    /// Runs until it is signalled to stop and the open work is complete. `load` reads the configuration again.
    ///
    /// # Errors
    ///
    /// Fails if waiting for events fails.
    pub fn run(
        &mut self,
        signals: &Signals,
        load: impl Fn() -> Result<Config, ConfigError>,
    ) -> io::Result<()> {
        let (mut stopping, mut closed): (Option<Stopping>, Option<f64>) = (None, None);
        let mut last_without_signal = self.clock.now();
        loop {
            self.run_once()?;
            let now = self.clock.now();
            if signals.reload.swap(false, Ordering::Relaxed) {
                self.reload(load());
            }
            if stopping.is_none() && signals.stop.load(Ordering::Relaxed) {
                self.begin_stop(now);
                stopping = Some(Stopping { seen_at: now, sent_after: last_without_signal });
            }
            last_without_signal = now;
            if let Some(Stopping { seen_at, sent_after }) = stopping {
                if now - seen_at >= LAST_REQUESTS_S {
                    if closed.is_none() && self.clients.stop_listening(now, &mut self.poller, &mut self.calls)
                    {
                        closed = Some(now);
                    }
                    // Connections that were accepted from the queue when the listener closed have not been read yet. The
                    // time counts from the close itself, because a process that gets no CPU for a while closes late.
                    let read = closed.is_some_and(|at| now - at >= READ_AFTER_CLOSE_S);
                    if (read && self.calls.count() == (0, 0)) || now - sent_after >= self.max_stop_time {
                        return self.finish(now);
                    }
                }
            }
        }
    }

    /// Handles SIGTERM: the gatekeeper is not ready any more, but serves what still comes. A drain continues.
    pub(in crate::node) fn begin_stop(&mut self, now: f64) {
        let (open, standing) = self.calls.count();
        log::info!(open, standing; "stopping");
        self.lifecycle.stop(now);
        self.clients.steer_away(now);
    }

    pub(in crate::node) fn finish(&mut self, now: f64) -> io::Result<()> {
        let (open, standing) = self.calls.count();
        self.answer_remaining(now);
        let mut component_ctx = component_context!(self, now);
        self.components
            .all_mut()
            .into_iter()
            .rev()
            .for_each(|component| component.shut_down(&mut component_ctx));
        if let Some(http) = self.http.take() {
            http.close(&self.poller);
        }
        // When a process ends with unread input on a connection, the connection is reset. Output that the caller does not
        // accept now would be lost with it.
        self.clients.close_all(now, &self.poller, &mut self.calls);
        let until = now + CLOSE_GRACE_S;
        while (self.clients.has_closing_connections() || self.clients.is_listening())
            && self.clock.now() < until
        {
            let wait = if self.clock.is_real_time() { (until - self.clock.now()).max(0.0) } else { 0.0 };
            let all = self.poller.wait(wait)?;
            if all.is_empty() && !self.clock.is_real_time() {
                self.clock.advance(TICK_S);
            }
            for ready in all {
                self.clients.handle_ready(self.clock.now(), ready, &mut self.poller, &mut self.calls);
                // Input from servers and the resolver is read and ignored, because otherwise they would be ready all the
                // time.
                let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
                self.servers.handle_ready(ready, &mut ctx);
                if ready.key == self.resolver_key {
                    self.resolver.read_answers(now);
                }
            }
            // Closed connections have freed descriptors for callers that still wait.
            if self.clients.is_listening() {
                self.answer_remaining(now);
                self.clients.close_all(now, &self.poller, &mut self.calls);
            }
        }
        log::info!(refused = open, standing; "stopped");
        Ok(())
    }

    /// Reads and answers everything that has come so far, at the end of the program. A set-up on a connection that is not
    /// accepted or not read would be lost.
    fn answer_remaining(&mut self, now: f64) {
        self.clients.accept_remaining(now, &mut self.poller, &mut self.calls);
        self.clients.read_all(now, &self.poller, &mut self.calls);
        self.answer_open(now);
        // Answers set-ups that were read while the first answers were written.
        if self.calls.count().0 > 0 {
            self.answer_open(now);
        }
    }

    /// Gives a final answer to all calls that have none yet, because the program ends.
    fn answer_open(&mut self, now: f64) {
        self.calls.answer_all(repeatable(&self.classes), self.clients.retry_after());
        self.decide(now);
    }
}
