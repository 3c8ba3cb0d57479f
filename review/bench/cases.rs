//! What the cases share: a small deployment, and a console whose calls are the usual ones.

use std::path::PathBuf;

use crate::caller::{set_up, Caller, Connection};
use crate::gatekeeper::Gatekeeper;
use crate::record::{now, sleep_until, Record, Timers};
use crate::resolver::{List, Listed, Resolver};
use crate::server::{Habits, Server};
use crate::{new_tenants, slow_discovery, taken_back};

/// Plays a case; returns whether the rule was broken.
pub fn play(name: &str, root: PathBuf, trouble: bool, record: &Record) -> Result<bool, String> {
    match name {
        "taken-back" => taken_back::play(root, trouble, record),
        "new-tenants" => new_tenants::play(root, trouble, record),
        "slow-discovery" => slow_discovery::play(root, trouble, record),
        _ => Err(format!("there is no case {name}")),
    }
}

const ZONES: [&str; 3] = ["downtown", "medical-center", "riverside"];
/// How much longer than in the settings every time limit is on sockets, in seconds.
pub const SLACK_S: f64 = 0.05;
/// Time between two calls of the console, in seconds.
const CALL_INTERVAL_S: f64 = 0.05;

/// A small deployment: two session servers, a resolver and a gatekeeper that is ready.
pub struct Deployment {
    pub servers: Vec<Server>,
    pub list: List,
    pub resolver: Resolver,
    pub gatekeeper: Gatekeeper,
}

impl Deployment {
    pub fn start(root: PathBuf, habits: Habits, record: &Record) -> Result<Deployment, String> {
        let timers = Timers::start();
        let servers: Vec<Server> =
            (0..2).map(|n| Server::start(&format!("s-{n:08x}"), n, habits, record, &timers)).collect();
        let listed = servers.iter().zip(ZONES).map(|(server, zone)| Listed::ready(server, zone)).collect();
        let list = List { position: 1, servers: listed };
        let resolver = Resolver::start(list.clone(), record, &timers);
        let mut gatekeeper = Gatekeeper::new(root, record);
        gatekeeper.write_config(&gatekeeper.config(resolver.address, &list.known()));
        gatekeeper.start()?;
        Ok(Deployment { servers, list, resolver, gatekeeper })
    }

    /// Ends the run: the gatekeeper's log goes into the record. Fails if the gatekeeper doesn't run any more.
    pub fn finish(mut self) -> Result<(), String> {
        let ended = self.gatekeeper.ended();
        self.gatekeeper.record_log();
        ended.map_or(Ok(()), |status| Err(format!("the gatekeeper has ended: {status}")))
    }
}

/// A set-up that was sent.
#[derive(Clone, Copy)]
pub struct Sent {
    pub call: u64,
    /// When its last byte was written.
    pub at: f64,
    /// How long its caller waits, in seconds.
    pub wait: f64,
}

/// The usual calls: one after the other, to either server in turn; one in sixteen is urgent and prefers the second one.
pub struct Console {
    pub caller: Caller,
    pub connections: Vec<Connection>,
    pub sent: Vec<Sent>,
    last_call: u64,
}

impl Console {
    pub fn connect(gatekeeper: &Gatekeeper, connections: usize, record: &Record) -> Result<Console, String> {
        let caller = Caller::new("console", gatekeeper.listen, record);
        let connections = (0..connections)
            .map(|n| caller.connect(&n.to_string()).map_err(|e| e.to_string()))
            .collect::<Result<_, _>>()?;
        Ok(Console { caller, connections, sent: Vec::new(), last_call: 0x7000_0000_0000_0000 })
    }

    /// Sends a set-up on one of the connections. A try is given up after 30% of its class's give-up time.
    pub fn call(&mut self, connection: usize) -> Result<Sent, String> {
        self.last_call += 1;
        let call = self.last_call;
        let (class, wait) = if call % 16 == 0 { ("valve-set", 1.8) } else { ("meter-read", 2.7) };
        let first_choice = if class == "valve-set" { 1 } else { (call % 2) as u32 };
        let message = set_up(call, class, wait, first_choice, &format!("console session {call:016x}"));
        let at = self.connections[connection].send(&[message]).map_err(|e| e.to_string())?;
        let sent = Sent { call, at, wait };
        self.sent.push(sent);
        Ok(sent)
    }

    /// Sends calls in steady intervals until a Unix time, on all connections in turn.
    pub fn call_until(&mut self, until: f64) -> Result<(), String> {
        let mut at = now();
        while at < until {
            sleep_until(at);
            let connection = self.last_call as usize % self.connections.len();
            self.call(connection)?;
            at += CALL_INTERVAL_S;
        }
        Ok(())
    }
}
