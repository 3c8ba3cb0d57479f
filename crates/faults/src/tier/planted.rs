//! What a fault that is put in on purpose makes of messages.

use hollypaddle_relay::message::{Feed, Message};
use hollypaddle_replica::record::{Key, Presence, Topic, Value};

use super::{id, Planted, World};

impl World {
    /// What a fault put in on purpose makes of a message; none where it is lost.
    pub(super) fn apply_planted(&mut self, from: usize, to: usize, message: Message) -> Option<Message> {
        let Some(planted) = self.plan.planted else { return Some(message) };
        let (relays, last) = (self.plan.relays, self.plan.relays + self.plan.leaves - 1);
        match (planted, message) {
            (Planted::MadeUpDeath, Message::Records(Feed::Leaves, mut piece)) => {
                for record in &mut piece.records {
                    if let (Key::Leaf(_, member), Some(Value::Leaf(fact))) = (record.key, &mut record.value) {
                        if member == id(relays, &self.plan) {
                            fact.presence = Presence::Gone;
                        }
                    }
                }
                Some(Message::Records(Feed::Leaves, piece))
            }
            (Planted::OtherTopics, Message::Records(Feed::Servers, mut piece)) => {
                for record in &mut piece.records {
                    if let Key::TopicServer(_, server) = record.key {
                        record.key = Key::TopicServer(Topic::of("another"), server);
                    }
                }
                Some(Message::Records(Feed::Servers, piece))
            }
            (Planted::SkipsRecords, Message::Records(Feed::Servers, mut piece)) => {
                piece.records.pop();
                Some(Message::Records(Feed::Servers, piece))
            }
            (Planted::StoresNothing, Message::Holds { in_force, .. }) if from > 0 && to == 0 => {
                let proposed = self.stored.keys().next_back().copied().unwrap_or_default();
                Some(Message::Holds { in_force, proposed })
            }
            (Planted::StoresNothing, Message::Settings { proposed: true, .. }) => None,
            (Planted::LosesSettings, Message::Settings { proposed: false, .. }) if to == last => None,
            (_, message) => Some(message),
        }
    }
}
