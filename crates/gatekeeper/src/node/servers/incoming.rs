//! What session servers say: how it is read, and what it means for the calls.

use hollypaddle_core::calls::{Calls, End};
use hollypaddle_platform::boundary::{Candidate, Cut, Verdict};
use hollypaddle_platform::connection::Over;
use hollypaddle_platform::message::{cause, code, kind, Message};
use hollypaddle_policy::settings::Telemetry;
use hollypaddle_policy::{Cause, Outcome, PoolId, Report};

use super::{Context, Server};
use crate::node::config::ProtocolSettings;
use crate::node::poller::Key;

impl Server {
    /// Takes what was read on a connection: its messages, and how the read ended.
    pub(super) fn take(
        &mut self,
        pool: PoolId,
        key: Key,
        (messages, mut end): (Vec<Message>, Result<(), Over>),
        known: (&Telemetry, &ProtocolSettings),
        ctx: &mut Context,
    ) {
        let Some(channel) = self.channels.get_mut(&key) else { return };
        channel.note_held(ctx.now);
        channel.report_give_ups(pool, key, ctx);
        if !messages.is_empty() {
            (channel.heard_at, self.heard_at, self.unreachable) = (ctx.now, ctx.now, false);
            (self.last_message_at, self.silent_at) = (ctx.now, None);
        }
        for message in messages {
            if let Err(reason) = self.heard(pool, key, message, known, ctx) {
                end = Err(reason);
                break;
            }
        }
        if let Err(error) = end {
            if let Over::CutShort(cut) = &error {
                self.count_cut_short(cut);
            }
            self.close_failed(pool, key, &error, known.1, ctx);
        }
    }

    /// Counts a message that was cut short, and tells of it each time that there are twice as many.
    fn count_cut_short(&mut self, cut: &Cut) {
        self.cut_short += 1;
        if self.cut_short.is_power_of_two() {
            let (server, times) = (self.name.as_str(), self.cut_short);
            log::warn!(server, times, message:% = cut; "message-cut-short");
        }
    }

    /// Takes a message; an error tells that its connection is of no more use.
    fn heard(
        &mut self,
        pool: PoolId,
        key: Key,
        message: Message,
        (telemetry, link): (&Telemetry, &ProtocolSettings),
        ctx: &mut Context,
    ) -> Result<(), Over> {
        let id = message.call;
        let report = message.text(code::REPORT).map_or(Report::default(), |t| telemetry.decode_text(t));
        let told = message.bytes(code::REPORT).is_some();
        let description = message.bytes(code::DESCRIPTION).map(<[u8]>::to_vec);
        // Guards against spoilt answers that still have the form of a message. The call may stand at the
        // server, but what it said is not known; and nothing good follows on that connection.
        if message.repeats() {
            return Err(Over::Improper("a message with a parameter that comes twice"));
        }
        match message.kind {
            kind::ANSWER if description.is_none() || message.cause().is_some() => {
                return Err(Over::Improper("an answer without a description, or with a cause"));
            }
            kind::ANSWER => {
                self.silence_limit = link.silence_limit();
                if let Some(sent_at) = self.take_open(key, id) {
                    self.close_overtaken(pool, sent_at, link, ctx);
                }
                ctx.calls.established(ctx.now, pool, id, description);
                if told {
                    ctx.calls.load_reported(pool, report);
                }
            }
            kind::RELEASE if message.cause().is_none() || description.is_some() => {
                // For a call that is not there it is no more than an answer ahead.
                if ctx.calls.is_at(pool, id) {
                    return Err(Over::Improper("a release without a cause, or with a description"));
                }
            }
            kind::RELEASE => {
                self.silence_limit = link.silence_limit();
                self.take_open(key, id);
                ctx.calls.ended(ctx.now, pool, id, end(&message, report, link.max_wait()));
            }
            kind::STATE | kind::TEST_RESULT if told => ctx.calls.load_reported(pool, report),
            kind::TEST => {
                let passed = Message::new(kind::TEST_RESULT, id).caused(1);
                if let Some(channel) = self.channels.get_mut(&key) {
                    channel.send(key, &passed, ctx.poller);
                }
            }
            kind::RELEASE_HEARD => self.confirm_release(id),
            kind::PROGRESS | kind::STATE | kind::TEST_RESULT => {}
            _ => return Err(Over::Improper("a message of a type that no server sends")),
        }
        Ok(())
    }

    /// Takes a set-up that is no longer open, as its end came on this connection. Returns when it was sent.
    fn take_open(&mut self, key: Key, id: u64) -> Option<f64> {
        let (&own_key, channel) = self.channels.iter_mut().find(|(_, c)| c.open.contains_key(&id))?;
        let out = channel.open.remove(&id)?;
        // Elsewhere it may answer an earlier attempt.
        if own_key == key {
            channel.releases.confirm_through(out.end);
        }
        Some(out.sent_at)
    }
}

/// Judges whether a message was sent whole. One of a call that is at the server cannot be part of another message.
pub(super) fn judge(candidate: Candidate, pool: PoolId, calls: &Calls) -> Verdict {
    match candidate.is_followed_by_message() {
        true => candidate.verdict(|id| calls.is_at(pool, id)),
        false => Verdict::CutShort,
    }
}

fn end(message: &Message, report: Report, longest: f64) -> End {
    let outcome = match message.cause() {
        Some(cause::NORMAL) => Outcome::Done,
        Some(cause::FULL) => Outcome::Full,
        Some(cause::MOOT) => Outcome::NotSent,
        Some(cause::TEMPORARY_FAILURE) => Outcome::Reset,
        // Busy (17), a fault (47), and what no server should say: it ends the attempt all the same.
        _ => Outcome::Error,
    };
    let cause = match message.text(code::NOTE) {
        Some("congestion") => Cause::NoLine,
        Some("crankback" | "remote_throttled") => Cause::Crankback,
        Some("throttled") => Cause::ProcessorFull,
        Some("engaged") => Cause::NumberBusy,
        _ => Cause::Unknown,
    };
    let wait = message.text(code::FULL_WAIT).and_then(|text| text.trim().parse::<f64>().ok());
    // No caller waits longer than the longest deadline: a server that says more must not shut itself for good.
    let wait = wait.filter(|ms| ms.is_finite() && *ms >= 0.0).map(|ms| (ms / 1000.0).min(longest));
    End { outcome, cause, wait, report }
}
