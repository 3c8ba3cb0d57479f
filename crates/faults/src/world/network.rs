//! The directions between members, the connections on them and what is said on those.

use std::collections::VecDeque;

use hollypaddle_replica::Message;
use rand::Rng;

use super::{id, Planted, World, BASE_DELAY_S, CHANNEL_MESSAGES, DIAL_EVERY_S, GREETING_WITHIN_S};
use crate::check::Broken;
use crate::impairment::Impairment;

#[derive(Clone)]
pub(super) enum Packet {
    Message(Vec<u8>),
    Close,
}

/// One direction between two members.
#[derive(Clone, Default)]
pub(super) struct Channel {
    pub(super) items: VecDeque<(f64, u64, Packet)>,
    pub(super) impairment: Impairment,
}

#[derive(Clone, Copy)]
pub(super) struct Link {
    pub(super) connection: u64,
    pub(super) greeted: bool,
    pub(super) since: f64,
}

impl World {
    pub(super) fn unlink(&mut self, n: usize, peer: usize) {
        let node = &mut self.nodes[n];
        if node.links.remove(&peer).is_some() {
            node.next_dial[peer] = self.now + DIAL_EVERY_S;
            if let Some(member) = &mut node.member {
                member.link_down(id(peer));
            }
        }
    }

    /// One end of a connection is closed; the other hears of it when what was said before has come.
    pub(super) fn close(&mut self, from: usize, to: usize, connection: u64) {
        if let Some(channel) = self.channels.get_mut(&(from, to)) {
            channel.items.push_back((
                self.now + BASE_DELAY_S + channel.impairment.delay_s,
                connection,
                Packet::Close,
            ));
        }
        // What was on its way here is lost.
        if let Some(channel) = self.channels.get_mut(&(to, from)) {
            channel.items.retain(|(_, c, _)| *c != connection);
        }
    }

    pub(super) fn receive_all(&mut self, n: usize, local: f64) {
        for peer in (0..self.nodes.len()).filter(|p| *p != n) {
            while let Some((connection, item)) = self.arrived(peer, n) {
                let link = self.nodes[n].links.get(&peer).copied();
                match item {
                    Packet::Close if link.is_some_and(|l| l.connection == connection) => self.unlink(n, peer),
                    Packet::Close => {}
                    Packet::Message(bytes) => {
                        let Ok(message) = postcard::from_bytes::<Message>(&bytes) else {
                            self.broken.push(Broken("what is said can be read", format!("{bytes:?}")));
                            continue;
                        };
                        self.receive(n, peer, connection, link, local, &message);
                    }
                }
            }
        }
    }

    /// What has come on the channel between two, one by one.
    pub(super) fn arrived(&mut self, from: usize, to: usize) -> Option<(u64, Packet)> {
        let channel = self.channels.get_mut(&(from, to)).filter(|channel| !channel.impairment.cut)?;
        let (_, connection, item) = channel.items.pop_front_if(|(at, ..)| *at <= self.now)?;
        Some((connection, item))
    }

    pub(super) fn receive(
        &mut self,
        n: usize,
        peer: usize,
        connection: u64,
        link: Option<Link>,
        local: f64,
        message: &Message,
    ) {
        let Some(member) = &mut self.nodes[n].member else { return };
        if let Message::Hello { .. } = message {
            // A new connection takes the place of one of which the end was not heard.
            let answers = link.is_none_or(|l| l.connection != connection);
            if answers && link.is_some_and(|l| l.connection > connection) {
                return;
            }
            if answers && link.is_some() {
                member.link_down(id(peer));
            }
            let greeted = member.receive_hello(local, message);
            let hello = member.hello(local, id(peer));
            let link = Link { connection, greeted: greeted.is_ok(), since: self.now };
            self.nodes[n].links.insert(peer, link);
            if answers {
                self.send(n, peer, connection, &hello);
            }
            if greeted.is_err() {
                self.unlink(n, peer);
                self.close(n, peer, connection);
            }
            return;
        }
        if !link.is_some_and(|l| l.connection == connection && l.greeted) {
            return;
        }
        if member.receive(local, id(peer), message).is_err() {
            self.unlink(n, peer);
            self.close(n, peer, connection);
        }
    }

    pub(super) fn dial(&mut self, n: usize) {
        for peer in (0..self.nodes.len()).filter(|p| *p != n) {
            if let Some(link) = self.nodes[n].links.get(&peer) {
                if !link.greeted && self.now - link.since > GREETING_WITHIN_S {
                    let connection = link.connection;
                    self.unlink(n, peer);
                    self.close(n, peer, connection);
                }
                continue;
            }
            // The one of the lower number makes the link; the other tries where none has come for a while.
            let leaves = if n > peer { 2.0 * DIAL_EVERY_S } else { 0.0 };
            if self.now < self.nodes[n].next_dial[peer] + leaves {
                continue;
            }
            self.nodes[n].next_dial[peer] = self.now + DIAL_EVERY_S;
            let cut = self.channels.get(&(n, peer)).is_some_and(|channel| channel.impairment.cut)
                || self.channels[&(peer, n)].impairment.cut;
            if cut {
                continue;
            }
            if self.nodes[peer].member.is_none() {
                let local = self.nodes[n].clock(self.now);
                if let Some(member) = &mut self.nodes[n].member {
                    member.link_refused(local, id(peer));
                }
                continue;
            }
            self.connections += 1;
            let connection = self.connections;
            self.nodes[n].links.insert(peer, Link { connection, greeted: false, since: self.now });
            let local = self.nodes[n].clock(self.now);
            if let Some(hello) = self.nodes[n].member.as_ref().map(|m| m.hello(local, id(peer))) {
                self.send(n, peer, connection, &hello);
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, connection: u64, message: &Message) {
        let Ok(bytes) = postcard::to_allocvec(message) else { return };
        self.bytes += bytes.len() as u64;
        let Some(channel) = self.channels.get_mut(&(from, to)) else { return };
        let at = self.now + BASE_DELAY_S + channel.impairment.delay_s;
        if self.plan.loss > 0.0
            && matches!(message, Message::Heartbeat(_))
            && self.rng.gen_bool(self.plan.loss)
        {
            return;
        }
        // What comes later on a connection does not overtake.
        let at = channel.items.back().map_or(at, |(last, ..)| last.max(at));
        let at = at + channel.impairment.rate.map_or(0.0, |rate| bytes.len() as f64 / rate);
        let carries = matches!(message, Message::Chunk(_) | Message::Request(_));
        if self.plan.chaos > 0.0 && carries && self.rng.gen_bool(self.plan.chaos) {
            match self.rng.gen_bool(0.5) {
                true => channel.items.push_back((at, connection, Packet::Message(bytes.clone()))),
                false => return,
            }
        }
        channel.items.push_back((at, connection, Packet::Message(bytes)));
    }

    pub(super) fn send_pending(&mut self, n: usize, local: f64) {
        for peer in self.nodes[n].links.keys().copied().collect::<Vec<_>>() {
            let Some(link) = self.nodes[n].links.get(&peer).copied().filter(|l| l.greeted) else { continue };
            while self.channels.get(&(n, peer)).is_some_and(|w| w.items.len() < CHANNEL_MESSAGES) {
                let Some(mut message) =
                    self.nodes[n].member.as_mut().and_then(|m| m.next_message(local, id(peer)))
                else {
                    break;
                };
                self.apply_planted(&mut message);
                self.send(n, peer, link.connection, &message);
            }
        }
    }

    pub(super) fn apply_planted(&mut self, message: &mut Message) {
        let Message::Chunk(piece) = message else { return };
        match self.plan.planted {
            Some(Planted::NoTombstones) => piece.records.retain(|r| r.value.is_some()),
            Some(Planted::SkipsRecords) if piece.records.len() > 1 => drop(piece.records.remove(0)),
            _ => {}
        }
    }
}
