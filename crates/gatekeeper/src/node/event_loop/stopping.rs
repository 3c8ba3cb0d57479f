//! The run of the program to its end: signals, and what is seen to after SIGTERM.

use super::{repeatable, Gatekeeper, TICK};
use crate::node::config::{Config, ConfigError};
use crate::node::servers::Context as ServerContext;
use crate::node::subjects::Room;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// After SIGTERM connections arrive for up to 0.4 s and requests for 0.2 s more. With what is on its
/// way, both are served for this long.
const LAST_REQUESTS: f64 = 0.8;
/// After the listener closed, what its last connections send is read for so long before the program may end.
const READ_AFTER_CLOSE: f64 = 0.2;
/// After SIGTERM the program may be killed once the longest deadline, counted as this where it is
/// longer, and 0.7 s have passed. What is left of that is kept as a reserve.
pub(super) const LONGEST_WAIT: f64 = 3.0;
pub(super) const KILL_AFTER: f64 = 0.7;
pub(super) const KILL_RESERVE: f64 = 0.2;
/// At the end, callers have so long to read their last answers and close, out of the reserve.
const LAST_WORDS: f64 = 0.1;

/// What signals ask of the gatekeeper.
#[derive(Default)]
pub struct Signals {
    /// To see to what is open, and end.
    pub stop: Arc<AtomicBool>,
    /// To read the configuration anew.
    pub reload: Arc<AtomicBool>,
}

/// SIGTERM was seen. A process that was paused sees it late, and is killed all the same so long after it was sent.
#[derive(Clone, Copy)]
struct Stopping {
    seen_at: f64,
    /// When it was last known not to have been sent.
    sent_after: f64,
}

impl Gatekeeper {
    /// Runs until it is told to stop and all is seen to. `load` reads the configuration anew.
    pub fn run(
        &mut self,
        signals: &Signals,
        load: impl Fn() -> Result<Config, ConfigError>,
    ) -> io::Result<()> {
        let (mut stopping, mut closed): (Option<Stopping>, Option<f64>) = (None, None);
        let mut not_stopped_at = self.clock.now();
        loop {
            self.turn()?;
            let now = self.clock.now();
            if signals.reload.swap(false, Ordering::Relaxed) {
                self.reload(load());
            }
            if stopping.is_none() && signals.stop.load(Ordering::Relaxed) {
                self.begin_stop(now);
                stopping = Some(Stopping { seen_at: now, sent_after: not_stopped_at });
            }
            not_stopped_at = now;
            if let Some(Stopping { seen_at, sent_after }) = stopping {
                if now - seen_at >= LAST_REQUESTS {
                    if closed.is_none() && self.clients.stop_listening(now, &mut self.watch, &mut self.calls)
                    {
                        closed = Some(now);
                    }
                    // Connections taken from the queue as the listener closed have not been read yet. Counted from the close
                    // itself: a process without a processor for a while closes late.
                    let read = closed.is_some_and(|at| now - at >= READ_AFTER_CLOSE);
                    if (read && self.calls.count() == (0, 0)) || now - sent_after >= self.last {
                        return self.finish(now);
                    }
                }
            }
        }
    }

    /// SIGTERM: it serves what still comes, and is not ready any more. A drain goes on.
    pub(in crate::node) fn begin_stop(&mut self, now: f64) {
        let (open, standing) = self.calls.count();
        log::info!(open, standing; "stopping");
        self.life.stop(now);
        self.clients.steer_away(now);
    }

    pub(in crate::node) fn finish(&mut self, now: f64) -> io::Result<()> {
        let (open, standing) = self.calls.count();
        self.answer_rest(now);
        let mut room = room!(self, now);
        self.subjects.all().into_iter().rev().for_each(|subject| subject.end(&mut room));
        if let Some(http) = self.http.take() {
            http.close(&self.watch);
        }
        // A process that ends with something unread resets its connections, and what is still to be written to one that takes
        // nothing now would be lost with it.
        self.clients.close_all(now, &self.watch, &mut self.calls);
        let until = now + LAST_WORDS;
        while (self.clients.has_closing_connections() || self.clients.is_listening())
            && self.clock.now() < until
        {
            let wait = if self.clock.runs() { (until - self.clock.now()).max(0.0) } else { 0.0 };
            let all = self.watch.wait(wait)?;
            if all.is_empty() && !self.clock.runs() {
                self.clock.skip(TICK);
            }
            for ready in all {
                self.clients.handle_ready(self.clock.now(), ready, &mut self.watch, &mut self.calls);
                // What servers and the resolver still say is read away: what is ready would be so again at once.
                let mut server_ctx = ServerContext { now, watch: &mut self.watch, calls: &mut self.calls };
                self.servers.handle_ready(ready, &mut server_ctx);
                if ready.key == self.resolver_key {
                    self.resolver.read_answers();
                }
            }
            // Connections that were closed have left their descriptors to callers that still wait.
            if self.clients.is_listening() {
                self.answer_rest(now);
                self.clients.close_all(now, &self.watch, &mut self.calls);
            }
        }
        log::info!(refused = open, standing; "stopped");
        Ok(())
    }

    /// Answers all that has come by now, at the end of the program: a connection that ends with a set-up unread in it, or
    /// that is not accepted, has lost that.
    fn answer_rest(&mut self, now: f64) {
        self.clients.accept_remaining(now, &mut self.watch, &mut self.calls);
        self.clients.read_all(now, &self.watch, &mut self.calls);
        self.answer_open(now);
        // What was read on the way to telling these.
        if self.calls.count().0 > 0 {
            self.answer_open(now);
        }
    }

    /// Answers the calls that have no final answer yet, as the program ends.
    fn answer_open(&mut self, now: f64) {
        self.calls.answer_all(repeatable(&self.classes), self.clients.retry_after());
        self.decide(now);
    }
}
