//! The callers of one gatekeeper.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};

use hollypaddle_platform::message::{cause, code, kind, Message};

use crate::{peer, redial, Peer};

/// An answer may be so late, in seconds: the settings' grace of 20 ms, and 50 ms on sockets.
const GRACE: f64 = 0.07;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// Refused, and asked to stay away for so many seconds.
    Refused(f64),
    /// Failed.
    Failed,
    /// It stood, and came to its end.
    Ended,
    /// It stood, and was cut.
    Cut,
}

/// One call as its caller sees it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub class: String,
    /// When it was offered.
    pub offered: f64,
    /// When it stood.
    pub stood: Option<f64>,
    /// When and how it ended.
    pub end: Option<(f64, End)>,
    /// Final answers heard; one is owed.
    pub answers: u32,
    /// How often its end was told after it had stood.
    pub ends: u32,
    /// The first choice.
    pub choice: u32,
    /// For how long its caller waits, in seconds.
    pub wait: f64,
    /// The first try of which it is a further one.
    pub further_of: Option<u64>,
    /// Its caller gave it up, then.
    pub given_up: Option<f64>,
}

/// The callers of one gatekeeper, on one connection that is opened anew when it has gone.
pub struct Callers {
    gatekeeper: SocketAddr,
    /// Where they go for what is said of calls that stand, while their own gatekeeper cannot be reached.
    pub others: Vec<SocketAddr>,
    peer: Option<Peer>,
    /// The connection is to their own gatekeeper; set-ups go there alone.
    at_home: bool,
    /// What came that is about calls of others: what ends a call may come on any caller's connection.
    pub strays: Vec<Message>,
    /// All calls so far, by id.
    pub calls: BTreeMap<u64, Call>,
    next: u64,
}

impl Callers {
    /// Callers of a gatekeeper; `name` keeps their ids apart from those of others.
    pub fn new(gatekeeper: SocketAddr, name: u16) -> Callers {
        Callers {
            gatekeeper,
            others: Vec::new(),
            peer: None,
            at_home: false,
            strays: Vec::new(),
            calls: BTreeMap::new(),
            next: u64::from(name) << 48,
        }
    }

    /// Offers a call; returns its id. A gatekeeper that cannot be reached has not taken it.
    pub fn offer(&mut self, now: f64, class: &str, first_choice: u32, wait: f64) -> Option<u64> {
        self.dial(now, class, first_choice, wait, None, false)
    }

    /// Offers a call again that is over, under an id of its own; `marked` tells the gatekeeper so.
    pub fn redial(&mut self, now: f64, id: u64, marked: bool) -> Option<u64> {
        let call = self.calls.get(&id)?;
        let (class, choice, wait) = (call.class.clone(), call.choice, call.wait);
        let first = call.further_of.unwrap_or(id);
        self.dial(now, &class, choice, wait, Some(first), marked)
    }

    /// Gives up calls whose callers have waited for as long as they do.
    pub fn give_up_late(&mut self, now: f64) {
        let late = |c: &Call| c.answers == 0 && c.given_up.is_none() && now - c.offered >= c.wait + GRACE;
        let ids: Vec<u64> = self.calls.iter().filter(|(_, c)| late(c)).map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(call) = self.calls.get_mut(&id) {
                call.given_up = Some(now);
            }
            if let Some(peer) = &mut self.peer {
                let _ = peer.send(&crate::release(id, cause::NORMAL));
            }
        }
    }

    fn dial(
        &mut self,
        now: f64,
        class: &str,
        first_choice: u32,
        wait: f64,
        further_of: Option<u64>,
        marked: bool,
    ) -> Option<u64> {
        if self.peer.is_none() || !self.at_home {
            if let Ok(home) = TcpStream::connect(self.gatekeeper).and_then(peer) {
                (self.peer, self.at_home) = (Some(home), true);
            }
        }
        if !self.at_home {
            return None;
        }
        self.next += 1;
        let number = further_of.unwrap_or(self.next);
        let message = redial(class, first_choice, self.next, number, (wait * 1000.0) as u32, marked);
        if self.peer.as_mut()?.send(&message).is_err() {
            self.peer = None;
            return None;
        }
        let call = Call {
            class: class.into(),
            offered: now,
            stood: None,
            end: None,
            answers: 0,
            ends: 0,
            choice: first_choice,
            wait,
            further_of,
            given_up: None,
        };
        self.calls.insert(self.next, call);
        Some(self.next)
    }

    /// Hears what the gatekeeper says.
    pub fn turn(&mut self, now: f64) {
        // What stands belongs to no connection, but its end needs one to come on.
        if self.peer.is_none() && self.standing() > 0 {
            let mut all = std::iter::once(&self.gatekeeper).chain(&self.others);
            self.peer = all.find_map(|address| TcpStream::connect(address).and_then(peer).ok());
            self.at_home = self
                .peer
                .as_ref()
                .is_some_and(|p| p.stream().peer_addr().is_ok_and(|address| address == self.gatekeeper));
        }
        let Some(peer) = &mut self.peer else { return };
        let mut heard = Vec::new();
        let over = peer.read(&mut heard).is_err() || peer.flush().is_err();
        if over {
            self.peer = None;
        }
        for message in heard {
            if !self.heard(now, &message) {
                self.strays.push(message);
            }
        }
    }

    /// Takes a message, wherever it came; returns whether it is about a call of these callers.
    pub fn heard(&mut self, now: f64, message: &Message) -> bool {
        let Some(call) = self.calls.get_mut(&message.call) else { return false };
        match message.kind {
            kind::ANSWER => {
                call.stood.get_or_insert(now);
                call.answers += 1;
            }
            kind::RELEASE if call.stood.is_some() => {
                let end = if message.cause() == Some(cause::NORMAL) { End::Ended } else { End::Cut };
                call.end.get_or_insert((now, end));
                call.ends += 1;
            }
            kind::RELEASE => {
                let after = message.text(code::RETRY_AFTER).and_then(|t| t.parse::<f64>().ok());
                let refused =
                    matches!(message.cause(), Some(cause::FULL | cause::CONGESTION | cause::NEVER_SENT));
                let end = if refused { End::Refused(after.unwrap_or(0.0) / 1000.0) } else { End::Failed };
                call.end.get_or_insert((now, end));
                call.answers += 1;
            }
            _ => {}
        }
        true
    }

    /// Calls without their final answer.
    pub fn unanswered(&self) -> usize {
        self.calls.values().filter(|c| c.answers == 0).count()
    }

    /// Calls that stand.
    pub fn standing(&self) -> usize {
        self.calls.values().filter(|c| c.stood.is_some() && c.end.is_none()).count()
    }
}
