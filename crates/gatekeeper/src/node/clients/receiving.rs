//! Handles the messages of clients.

use hollypaddle_core::calls::{Calls, OfferError, Reply};
use hollypaddle_platform::connection::CloseReason;
use hollypaddle_platform::message::{cause, kind, Message};

use super::reply::encode_reply;
use super::set_up::{class_index, parse_request};
use super::{BestReply, Clients};
use crate::node::poller::{Key, Poller};

/// Maximum number of invalid set-ups on one connection; each is refused, and the connection is closed at this number.
const MAX_INVALID_SET_UPS: u32 = 8;

impl Clients {
    /// Handles a message; an error closes the connection.
    pub(super) fn receive(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        poller: &Poller,
        calls: &mut Calls,
    ) -> Result<(), CloseReason> {
        let Some(client) = self.connections.get_mut(&key) else { return Ok(()) };
        match message.kind {
            // Nobody waits for its answer.
            kind::SET_UP if client.has_left => {}
            kind::SET_UP => return self.receive_set_up(now, key, message, poller, calls),
            kind::RELEASE => {
                client.used_at = now;
                calls.caller_release(now, key, message.call);
            }
            kind::RELEASE_COMPLETE => client.pending_ends.confirm(|end| end.id == message.call),
            kind::TEST => {
                client.used_at = now;
                let passed = Message::new(kind::TEST_RESULT, message.call).with_cause(1);
                self.send(now, key, &passed, BestReply::Notice, poller);
            }
            _ => {}
        }
        Ok(())
    }

    fn receive_set_up(
        &mut self,
        now: f64,
        key: Key,
        message: &Message,
        poller: &Poller,
        calls: &mut Calls,
    ) -> Result<(), CloseReason> {
        let Some(client) = self.connections.get_mut(&key) else { return Ok(()) };
        (client.used_at, client.last_set_up_at) = (now, Some(now));
        client.set_up_after_reply |= client.best_reply >= BestReply::Outcome;
        let request = match parse_request(message, &self.classes) {
            Ok(request) => request,
            Err(cause) => return self.reject_set_up(now, key, message.call, cause, poller),
        };
        if !calls.is_known(message.call) && self.refuse_if_draining(now, key, message, poller) {
            return Ok(());
        }
        match calls.offer(now, key, request) {
            Ok(()) => Ok(()),
            Err(OfferError::TooManyHeld) => {
                self.refused_classes.push(class_index(message, &self.classes));
                let refusal = encode_reply(message.call, Reply::Refused(self.retry_after()));
                self.send(now, key, &refusal, BestReply::Outcome, poller);
                Ok(())
            }
            Err(OfferError::KnownId) => {
                self.reject_set_up(now, key, message.call, cause::INVALID_PARAMETER, poller)
            }
            Err(OfferError::DuplicateId) => Err(CloseReason::UnexpectedMessage("a set-up came twice")),
        }
    }

    /// Refuses an invalid set-up with this cause. Too many of them close the connection.
    fn reject_set_up(
        &mut self,
        now: f64,
        key: Key,
        id: u64,
        cause: u8,
        poller: &Poller,
    ) -> Result<(), CloseReason> {
        log::debug!(call:% = format_args!("{id:016x}"), cause; "set-up-not-taken");
        let Some(client) = self.connections.get_mut(&key) else { return Ok(()) };
        client.invalid_set_ups += 1;
        let invalid_set_ups = client.invalid_set_ups;
        let refusal = Message::new(kind::RELEASE, id).with_cause(cause);
        self.send(now, key, &refusal, BestReply::Notice, poller);
        match invalid_set_ups < MAX_INVALID_SET_UPS {
            true => Ok(()),
            false => Err(CloseReason::UnexpectedMessage("nothing but set-ups that make no sense")),
        }
    }
}
