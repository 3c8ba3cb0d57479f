//! Handling of messages from session servers.

use hollypaddle_core::calls::{Calls, End};
use hollypaddle_platform::boundary::{Candidate, TruncatedMessage, Verdict};
use hollypaddle_platform::connection::CloseReason;
use hollypaddle_platform::message::{cause, code, kind, Message};
use hollypaddle_policy::settings::Telemetry;
use hollypaddle_policy::{Cause, Outcome, PoolId, Report};

use super::{Context, Server};
use crate::node::config::ProtocolSettings;
use crate::node::poller::Key;

impl Server {
    /// Handles the result of a read on a connection: the messages, and whether the connection has to be closed.
    pub(super) fn handle_read(
        &mut self,
        pool: PoolId,
        key: Key,
        (messages, mut end): (Vec<Message>, Result<(), CloseReason>),
        known: (&Telemetry, &ProtocolSettings),
        ctx: &mut Context,
    ) {
        let Some(channel) = self.channels.get_mut(&key) else { return };
        channel.update_held_since(ctx.now);
        channel.report_give_ups(pool, key, ctx);
        if !messages.is_empty() {
            (channel.heard_at, self.heard_at, self.unreachable) = (ctx.now, ctx.now, false);
            (self.last_message_at, self.silent_at) = (ctx.now, None);
        }
        // What a process sent before its end is still read after it, together with the end of the connection.
        if end.is_ok() {
            channel.confirm_verification(&messages, ctx.now);
        }
        for message in messages {
            if let Err(reason) = self.handle_message(pool, key, message, known, ctx) {
                end = Err(reason);
                break;
            }
        }
        if let Err(error) = end {
            if let CloseReason::Truncated(cut) = &error {
                self.record_cut_short(cut);
            }
            self.close_and_reconnect(pool, key, &error, known.1, ctx);
        }
    }

    /// Counts a message that was cut short, and logs it whenever the count reaches a power of two.
    fn record_cut_short(&mut self, cut: &TruncatedMessage) {
        self.cut_short_messages += 1;
        if self.cut_short_messages.is_power_of_two() {
            let (server, times) = (self.name.as_str(), self.cut_short_messages);
            log::warn!(server, times, message:% = cut; "message-cut-short");
        }
    }

    /// Handles a message; an error means that its connection is unusable and must be closed.
    fn handle_message(
        &mut self,
        pool: PoolId,
        key: Key,
        message: Message,
        (telemetry, protocol): (&Telemetry, &ProtocolSettings),
        ctx: &mut Context,
    ) -> Result<(), CloseReason> {
        let id = message.call;
        let report = message.text(code::REPORT).map_or(Report::default(), |t| telemetry.decode_text(t));
        let has_report = message.bytes(code::REPORT).is_some();
        let description = message.bytes(code::DESCRIPTION).map(<[u8]>::to_vec);
        // Guards against damaged answers that still have the form of a message. The call may be established at the server, but
        // what the server sent is not known, and nothing that follows on this connection can be trusted.
        if message.has_duplicate_parameters() {
            return Err(CloseReason::UnexpectedMessage("a message with a repeated parameter"));
        }
        match message.kind {
            kind::ANSWER if description.is_none() || message.cause().is_some() => {
                return Err(CloseReason::UnexpectedMessage(
                    "an answer without a description, or with a cause",
                ));
            }
            kind::ANSWER => {
                self.silence_timeout = protocol.silence_timeout();
                if let Some(sent_at) = self.remove_open_set_up(key, id) {
                    self.close_overtaken(pool, sent_at, protocol, ctx);
                }
                ctx.calls.established(ctx.now, pool, key, id, description);
                if has_report {
                    ctx.calls.load_reported(pool, report);
                }
            }
            kind::RELEASE if message.cause().is_none() || description.is_some() => {
                // For a call that is not at this server it is harmless: no more than an answer that came early.
                if ctx.calls.is_at(pool, id) {
                    return Err(CloseReason::UnexpectedMessage(
                        "a release without a cause, or with a description",
                    ));
                }
            }
            kind::RELEASE => {
                self.silence_timeout = protocol.silence_timeout();
                self.remove_open_set_up(key, id);
                ctx.calls.ended(ctx.now, pool, id, parse_end(&message, report, protocol.max_wait()));
            }
            kind::STATE | kind::TEST_RESULT if has_report => ctx.calls.load_reported(pool, report),
            kind::TEST => {
                let passed = Message::new(kind::TEST_RESULT, id).with_cause(1);
                if let Some(channel) = self.channels.get_mut(&key) {
                    channel.send(key, &passed, ctx.poller);
                }
            }
            kind::RELEASE_COMPLETE => self.confirm_release(id),
            kind::PROGRESS | kind::STATE | kind::TEST_RESULT => {}
            _ => return Err(CloseReason::UnexpectedMessage("a message of a type that servers do not send")),
        }
        Ok(())
    }

    /// Removes an open set-up whose answer or release came on this connection. Returns when it was sent, in Unix seconds.
    fn remove_open_set_up(&mut self, key: Key, id: u64) -> Option<f64> {
        let (&own_key, channel) = self.channels.iter_mut().find(|(_, c)| c.open.contains_key(&id))?;
        let set_up = channel.open.remove(&id)?;
        // On another connection the message may belong to an earlier attempt, so it confirms nothing there.
        if own_key == key {
            channel.releases.confirm_through(set_up.end_offset);
        }
        Some(set_up.sent_at)
    }
}

/// Judges whether a message was sent completely. The start of a message for a call at this server, found within another message,
/// shows that the other one was cut short.
pub(super) fn judge(candidate: Candidate, pool: PoolId, calls: &Calls) -> Verdict {
    match candidate.is_followed_by_message() {
        true => candidate.verdict(|id| calls.is_at(pool, id)),
        false => Verdict::Truncated,
    }
}

fn parse_end(message: &Message, report: Report, longest: f64) -> End {
    let outcome = match message.cause() {
        Some(cause::NORMAL) => Outcome::Done,
        Some(cause::FULL) => Outcome::Full,
        Some(cause::NEVER_SENT) => Outcome::NotSent,
        Some(cause::TEMPORARY_FAILURE) => Outcome::Reset,
        // Busy (17), a fault (47), and any cause that no server should send: the attempt ends in any case.
        _ => Outcome::Error,
    };
    let cause = match message.text(code::REJECT_REASON) {
        Some("congestion") => Cause::NoLine,
        Some("crankback" | "remote_throttled") => Cause::Crankback,
        Some("throttled") => Cause::ProcessorFull,
        Some("engaged") => Cause::NumberBusy,
        _ => Cause::Unknown,
    };
    let wait = message.text(code::FULL_WAIT).and_then(|text| text.trim().parse::<f64>().ok());
    // No caller waits longer than the longest deadline. A server that asks for more time must not exclude itself for good.
    let wait = wait.filter(|ms| ms.is_finite() && *ms >= 0.0).map(|ms| (ms / 1000.0).min(longest));
    End { outcome, cause, wait, report }
}
