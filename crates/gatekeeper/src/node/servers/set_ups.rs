//! Set-ups for a session server: waiting for a connection, sending, and giving up.

use hollypaddle_core::calls::Content;
use hollypaddle_platform::connection::CloseReason;
use hollypaddle_platform::message::{code, kind, Message};
use hollypaddle_policy::PoolId;

use super::channel::{most_recent_channel, SentSetUp};
use super::release::Release;
use super::{Context, Server};
use crate::node::config::ProtocolSettings;

/// A set-up that waits for a connection.
pub(super) struct WaitingSetUp {
    /// The call's 64-bit id.
    pub id: u64,
    /// When it began to wait, in Unix seconds.
    pub since: f64,
    /// The class number, an index into [`ProtocolSettings::classes`].
    pub class: usize,
    /// Time after which its answer is useless, in Unix seconds.
    pub until: f64,
    pub content: std::rc::Rc<Content>,
}

impl Server {
    /// Sends the waiting set-ups, unless the connection is blocked: bytes waiting in a buffer could not be taken back when the
    /// server begins to drain, or when the caller leaves. Nothing is sent on old connections to an unreachable server either:
    /// set-ups lost there would be assumed to run, while those that wait for a connection are known to have never run. A set-up
    /// that is past its deadline is left to its timer, which is due.
    pub(super) fn send_waiting(&mut self, pool: PoolId, protocol: &ProtocolSettings, ctx: &mut Context) {
        let mut waiting = std::mem::take(&mut self.waiting_set_ups);
        while !self.unreachable && !waiting.is_empty() {
            let Some((key, channel)) = most_recent_channel(&mut self.channels) else { break };
            let Some(next) = waiting.iter().position(|s| s.until > ctx.now) else { break };
            let WaitingSetUp { id, class, until, content, .. } = &waiting[next];
            let left_ms = ((until - ctx.now) * 1000.0).max(1.0);
            let mut message = Message::new(kind::SET_UP, *id)
                .with(code::CLASS, protocol.classes.get(*class).map_or("", |c| c.name.as_str()))
                .with(code::WAIT, format!("{left_ms:.0}"))
                .with(code::NUMBER, &content.number[..]);
            if let Some(description) = &content.description {
                message = message.with(code::DESCRIPTION, &description[..]);
            }
            let (id, sent) = (*id, channel.connection.try_start(&message));
            match sent {
                Ok(None) => break,
                Ok(Some(end_offset)) => {
                    channel.open.insert(id, SentSetUp { sent_at: ctx.now, end_offset });
                    ctx.calls.forwards += 1;
                    channel.update_watch(key, ctx.poller);
                    waiting.remove(next);
                    self.forget_releases(id);
                }
                // It is not known whether any part of it was sent. Closing the connection resets it.
                Err(error) => {
                    channel.open.insert(id, SentSetUp { sent_at: ctx.now, end_offset: 0 });
                    waiting.remove(next);
                    self.forget_releases(id);
                    self.close_and_reconnect(pool, key, &error, protocol, ctx);
                }
            }
        }
        self.waiting_set_ups = waiting;
    }

    /// Gives up a set-up: removes it if it waits, sends its release if it was sent, or closes its connection if only a part of it
    /// was written.
    pub(super) fn give_up(&mut self, pool: PoolId, id: u64, protocol: &ProtocolSettings, ctx: &mut Context) {
        if let Some(index) = self.waiting_set_ups.iter().position(|s| s.id == id) {
            self.waiting_set_ups.remove(index);
            return ctx.calls.give_up_written(pool, id);
        }
        let Some((&key, channel)) = self.channels.iter_mut().find(|(_, c)| c.open.contains_key(&id)) else {
            return ctx.calls.give_up_written(pool, id);
        };
        let set_up = channel.open.remove(&id);
        // It is partially written. Writing the rest would deliver a set-up that nobody waits for, however much later the server
        // reads it. Only closing the connection keeps it from arriving completely.
        if set_up.is_some_and(|set_up| set_up.end_offset > channel.connection.written()) {
            ctx.calls.give_up_written(pool, id);
            return self.close_and_reconnect(pool, key, &CloseReason::WriteBacklog, protocol, ctx);
        }
        let release = Release::new(id);
        match (channel.send_release(ctx.now, key, release, ctx.poller), set_up) {
            (Some(end_offset), _) => channel.give_ups.push_back((end_offset, id)),
            // The connection is broken, and closing it gives the set-up up.
            (None, Some(set_up)) => drop(channel.open.insert(id, set_up)),
            (None, None) => {}
        }
        channel.report_give_ups(pool, key, ctx);
    }

    pub(super) fn fail_waiting(&mut self, pool: PoolId, ctx: &mut Context) {
        for set_up in std::mem::take(&mut self.waiting_set_ups) {
            ctx.calls.attempt_not_sent(pool, set_up.id);
        }
    }
}
