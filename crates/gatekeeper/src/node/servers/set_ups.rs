//! Set-ups for a session server: they wait for a connection, go out, or are given up.

use hollypaddle_core::calls::Content;
use hollypaddle_platform::connection::Over;
use hollypaddle_platform::message::{code, kind, Message};
use hollypaddle_policy::PoolId;

use super::channel::{last_heard, SentSetUp};
use super::release::Release;
use super::{Context, Server};
use crate::node::config::ProtocolSettings;

/// A set-up that waits for a connection.
pub(super) struct WaitingSetUp {
    pub id: u64,
    /// Since when.
    pub since: f64,
    pub class: usize,
    /// Until when its answer is of use.
    pub until: f64,
    pub content: std::rc::Rc<Content>,
}

impl Server {
    /// Sends the set-ups that wait, unless the connection is blocked: bytes that wait in a buffer could
    /// not be taken back when the server is told to drain, or when the caller leaves. Nor on old connections to a server that
    /// cannot be reached: set-ups swallowed there would be taken to run, while those that wait for a
    /// connection prove to have never run. One whose time is over stays for its timer, which is due.
    pub(super) fn send_waiting(&mut self, pool: PoolId, link: &ProtocolSettings, ctx: &mut Context) {
        let mut waiting = std::mem::take(&mut self.waiting);
        while !self.unreachable && !waiting.is_empty() {
            let Some((key, channel)) = last_heard(&mut self.channels) else { break };
            let Some(next) = waiting.iter().position(|s| s.until > ctx.now) else { break };
            let WaitingSetUp { id, class, until, content, .. } = &waiting[next];
            let left = ((until - ctx.now) * 1000.0).max(1.0);
            let mut message = Message::new(kind::SET_UP, *id)
                .with(code::CLASS, link.classes.get(*class).map_or("", |c| c.name.as_str()))
                .with(code::WAIT, format!("{left:.0}"))
                .with(code::NUMBER, &content.number[..]);
            if let Some(description) = &content.description {
                message = message.with(code::DESCRIPTION, &description[..]);
            }
            let (id, begun) = (*id, channel.connection.begin(&message));
            match begun {
                Ok(None) => break,
                Ok(Some(end)) => {
                    channel.open.insert(id, SentSetUp { sent_at: ctx.now, end });
                    ctx.calls.forwards += 1;
                    channel.watch(key, ctx.poller);
                    waiting.remove(next);
                    self.forget_releases(id);
                }
                // Whether any of it left is not known. The connection's end resets it.
                Err(error) => {
                    channel.open.insert(id, SentSetUp { sent_at: ctx.now, end: 0 });
                    waiting.remove(next);
                    self.forget_releases(id);
                    self.close_failed(pool, key, &error, link, ctx);
                }
            }
        }
        self.waiting = waiting;
    }

    pub(super) fn give_up(&mut self, pool: PoolId, id: u64, link: &ProtocolSettings, ctx: &mut Context) {
        if let Some(at) = self.waiting.iter().position(|s| s.id == id) {
            self.waiting.remove(at);
            return ctx.calls.give_up_written(pool, id);
        }
        let Some((&key, channel)) = self.channels.iter_mut().find(|(_, c)| c.open.contains_key(&id)) else {
            return ctx.calls.give_up_written(pool, id);
        };
        let out = channel.open.remove(&id);
        // Half of it is written: the rest would bring the server a set-up that nobody waits for, however much later it
        // takes it. Nothing but the connection's end keeps it from arriving whole.
        if out.is_some_and(|out| out.end > channel.connection.written()) {
            ctx.calls.give_up_written(pool, id);
            return self.close_failed(pool, key, &Over::Stuck, link, ctx);
        }
        let release = Release::new(ctx.now, id);
        match (channel.send_release(ctx.now, key, release, ctx.poller), out) {
            (Some(end), _) => channel.give_ups.push_back((end, id)),
            // The end of this connection, which is broken, gives it up.
            (None, Some(out)) => drop(channel.open.insert(id, out)),
            (None, None) => {}
        }
        channel.report_give_ups(pool, key, ctx);
    }

    pub(super) fn fail_waiting(&mut self, pool: PoolId, ctx: &mut Context) {
        for set_up in std::mem::take(&mut self.waiting) {
            ctx.calls.attempt_not_sent(pool, set_up.id);
        }
    }
}
