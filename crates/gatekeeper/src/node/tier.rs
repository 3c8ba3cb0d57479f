//! This gatekeeper in a tier of relays, as a relay or as a leaf. The decisions are made in the crate `relay`. This module connects
//! them with the links ([`super::relays`]) and the rest of the gatekeeper.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use hollypaddle_config::{Conf, Fleet as FleetConf, Locality, Tier as TierConf};
use hollypaddle_membership::view::State;
use hollypaddle_membership::MemberId;
use hollypaddle_policy::{Event as ModuleEvent, ListKind, PoolEntry};
use hollypaddle_relay::leaf::{self, Leaf};
use hollypaddle_relay::placement::{NodeLocation, RelayLocation};
use hollypaddle_relay::relay::{self, Relay, SettingsError};
use hollypaddle_relay::settings::{Revision, SettingsSet};
use hollypaddle_relay::{Message, Node, Timing};
use hollypaddle_replica::guard::Guard;
use hollypaddle_replica::record::{ServerKey, Topic};
use serde_json::{json, Value};

use super::components::{Component, ComponentContext};
use super::control::Query;
use super::events::{log_member_event, EventLogLimiter};
use super::fleet::new_incarnation;
use super::observations::{PeerObservations, ReportedServers};
use super::poller::Ready;
use super::relays::{max_leaf_links, max_links, Links};

/// Time after which a started leaf is ready even if it has not received a relay's state.
const MAX_CATCH_UP_WAIT_S: f64 = 1.0;
/// This process was paused if two iterations are at least this far apart.
const PAUSE_THRESHOLD_S: f64 = 1.0;
/// How long the fleet's settings are proposed again at a start, until a majority of relays is alive.
const PROPOSE_RETRY_S: f64 = 10.0;
/// Errors in the file with the fleet's settings that are logged one by one.
const MAX_LOGGED_PROBLEMS: usize = 20;

/// Returns how many descriptors the links of a fleet may use, depending on this gatekeeper's role.
pub fn max_link_descriptors(conf: &FleetConf, platform_name: &str) -> usize {
    match &conf.tier {
        None => super::peers::max_links(conf.members.len()),
        Some(tier) => max_links_in_tier(tier, conf.own_name(platform_name)),
    }
}

fn max_links_in_tier(tier: &TierConf, own: &str) -> usize {
    match tier.relay(own) {
        Some(_) => max_links(tier.max_leaves, tier.relays.len()),
        None => max_leaf_links(),
    }
}

/// Why the file with the fleet's settings was not proposed or not accepted. None of it is in force anywhere.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The file has errors.
    #[error(
        "{0} errors in the file: correct it and send SIGHUP; each is logged as `fleet-settings-problem`"
    )]
    File(usize),
    /// The relay refused the proposal.
    #[error(transparent)]
    Refused(#[from] SettingsError),
}

impl SettingsFileError {
    /// Returns the label used in the log and on the page for on-call staff.
    pub fn name(&self) -> &'static str {
        match self {
            SettingsFileError::File(_) => "settings-file",
            SettingsFileError::Refused(error) => error.name(),
        }
    }
}

enum Role {
    Leaf(Box<Leaf>),
    Relay(Box<Relay>),
}

impl Role {
    fn node(&mut self) -> &mut dyn Node {
        match self {
            Role::Leaf(leaf) => leaf.as_mut(),
            Role::Relay(relay) => relay.as_mut(),
        }
    }
}

/// The part of the configuration that can't change without a new incarnation.
#[derive(Clone, PartialEq)]
struct Identity {
    name: String,
    /// Listen address of a relay.
    listen: Option<SocketAddr>,
    place: NodeLocation,
    topic: Topic,
}

impl Identity {
    fn of(conf: &FleetConf, tier: &TierConf, platform: &hollypaddle_config::Platform) -> Identity {
        let name = conf.own_name(&platform.name).to_string();
        let relay = tier.relay(&name);
        // By default the zone of a leaf is the platform's district.
        let district = || platform.own.and_then(|own| platform.districts.get(own)).cloned();
        let own = Locality {
            zone: tier.locality.zone.clone().or_else(district),
            region: tier.locality.region.clone(),
        };
        Identity {
            listen: relay.map(|relay| conf.listen.unwrap_or(relay.address)),
            place: place(relay.map_or(&own, |relay| &relay.locality), &tier.relays),
            topic: Topic::of(tier.service.as_deref().unwrap_or_default()),
            name,
        }
    }
}

/// Converts a location to a place of the crate `relay`. If the region is not configured, it is that of the zone's relays, if any.
fn place(locality: &Locality, relays: &[hollypaddle_config::RelayConf]) -> NodeLocation {
    let of_zone = || {
        let same = |l: &&Locality| l.zone.is_some() && l.zone == locality.zone;
        relays.iter().map(|r| &r.locality).filter(same).find_map(|l| l.region.clone())
    };
    NodeLocation {
        zone: locality.zone.clone().unwrap_or_default(),
        region: locality.region.clone().or_else(of_zone).unwrap_or_default(),
    }
}

/// The state of this gatekeeper in a tier that it has joined.
struct Joined {
    conf: FleetConf,
    tier: TierConf,
    identity: Identity,
    role: Role,
    links: Links,
    names: BTreeMap<MemberId, String>,
    joined_at: f64,
    last_tick_at: f64,
    // Used by a leaf.
    reported: ReportedServers,
    /// Servers that were removed from the list, and when. They are reported as gone for a while.
    removed_servers: VecDeque<(f64, ServerKey)>,
    observations: PeerObservations,
    /// The settings that were received last.
    received_settings: Option<Arc<SettingsSet>>,
    // Used by a relay.
    /// Settings to be proposed, and until when to retry.
    proposal: Option<(Vec<(String, String)>, f64)>,
    /// Why the last proposal was refused.
    refused: Option<String>,
    log_limiter: EventLogLimiter,
}

impl Joined {
    fn join(ctx: &mut ComponentContext, conf: &FleetConf, tier: &TierConf) -> io::Result<Joined> {
        let now = ctx.now;
        let identity = Identity::of(conf, tier, ctx.platform);
        let own = MemberId::of(&identity.name);
        let incarnation = new_incarnation(now, ctx.seed);
        let relays = places(tier);
        let mut role = match tier.relay(&identity.name) {
            Some(_) => {
                let writer = MemberId::of(&tier.writer);
                let known = relay::Identity { id: own, incarnation, relays, writer };
                Role::Relay(Box::new(Relay::new(now, known, conf.settings, timing(tier))))
            }
            None => {
                let (topic, place) = (identity.topic, identity.place.clone());
                let known = leaf::Identity { id: own, incarnation, topic, location: place };
                Role::Leaf(Box::new(Leaf::new(now, known, relays, timing(tier)).with_name(&identity.name)))
            }
        };
        let max_links = max_links_in_tier(tier, &identity.name);
        let mut links = Links::open(identity.listen, max_links, ctx.poller)?;
        links.reconfigure(now, max_links, addresses(tier), role.node(), ctx.poller);
        let name = identity.name.as_str();
        match links.address() {
            Some(listen) => {
                log::info!(name, listen:%, relays = tier.relays.len(), life:% = incarnation; "relay-joined")
            }
            None => log::info!(name, relays = tier.relays.len(), life:% = incarnation; "leaf-joined"),
        }
        Ok(Joined {
            conf: conf.clone(),
            tier: tier.clone(),
            names: names(tier, &identity.name),
            identity,
            role,
            links,
            joined_at: now,
            last_tick_at: now,
            reported: ReportedServers::default(),
            removed_servers: VecDeque::new(),
            observations: PeerObservations::new(now),
            received_settings: None,
            proposal: None,
            refused: None,
            log_limiter: EventLogLimiter::new(now),
        })
    }

    /// Applies relays, timing and limits of a reloaded configuration.
    fn change(&mut self, ctx: &mut ComponentContext, conf: &FleetConf, tier: &TierConf) {
        let now = ctx.now;
        match &mut self.role {
            Role::Leaf(leaf) => leaf.reconfigure(now, places(tier), timing(tier)),
            Role::Relay(relay) => {
                let writer = MemberId::of(&tier.writer);
                let known = relay::Identity { relays: places(tier), writer, ..relay.identity().clone() };
                relay.reconfigure(now, known, conf.settings, timing(tier));
            }
        }
        let max_links = max_links_in_tier(tier, &self.identity.name);
        self.links.reconfigure(now, max_links, addresses(tier), self.role.node(), ctx.poller);
        self.names = names(tier, &self.identity.name);
        (self.conf, self.tier) = (conf.clone(), tier.clone());
    }

    /// Announces that this gatekeeper leaves, and closes all links.
    fn leave(mut self, ctx: &mut ComponentContext) {
        match &mut self.role {
            Role::Leaf(_) => self.links.send_to_all(&Message::Leave),
            Role::Relay(relay) => {
                relay.begin_shutdown(ctx.now);
                self.links.apply_node_actions(ctx.now, self.role.node(), ctx.poller);
            }
        }
        self.links.close_all(ctx.poller);
    }

    fn name(&self, member: MemberId) -> String {
        name(&self.names, member)
    }

    // ---- Settings

    /// Reads the file with the fleet's settings and proposes its content.
    fn read_settings(&mut self, now: f64, path: &Path, at_start: bool) {
        let wanted = match hollypaddle_config::entries(path) {
            Ok(wanted) => wanted,
            Err(problems) => {
                for problem in problems.iter().take(MAX_LOGGED_PROBLEMS) {
                    let (place, what) = (problem.location.to_string(), problem.description.as_str());
                    log::warn!(place = place.as_str(), what; "fleet-settings-problem");
                }
                return self.record_refusal(&SettingsFileError::File(problems.len()));
            }
        };
        if let Role::Relay(relay) = &self.role {
            let writer = relay.identity().writer == relay.identity().id;
            // One file may be shared by all relays: settings that are already in force are no change, and at a start only the
            // writer's file counts.
            let as_in_force = relay.settings().entries().eq(sorted(&wanted).iter().map(|(n, t)| (*n, *t)));
            if !writer && (at_start || as_in_force) {
                return;
            }
        }
        let until = if at_start { now + PROPOSE_RETRY_S } else { now };
        self.proposal = Some((wanted, until));
        self.propose(now);
    }

    /// Proposes the settings that were read. At a start this is retried until the other relays are alive.
    fn propose(&mut self, now: f64) {
        let Role::Relay(relay) = &mut self.role else { return };
        let Some((wanted, until)) = self.proposal.take() else { return };
        match relay.propose(now, &wanted) {
            Ok(mark) => {
                self.refused = None;
                let in_force = relay.settings().revision().version;
                log::info!(version = mark.version, in_force, entries = wanted.len(); "fleet-settings-proposed");
            }
            Err(SettingsError::CatchingUp | SettingsError::NoMajority { .. }) if now < until => {
                self.proposal = Some((wanted, until));
            }
            Err(error) => self.record_refusal(&error.into()),
        }
    }

    fn record_refusal(&mut self, error: &SettingsFileError) {
        let reason = error.name();
        log::warn!(reason, error:%; "fleet-settings-refused");
        self.refused = Some(error.to_string());
    }

    // ---- Steps of an iteration of the event loop

    /// Advances the time; returns whether this process was paused.
    fn tick(&mut self, now: f64) -> bool {
        let resumed = now - std::mem::replace(&mut self.last_tick_at, now) >= PAUSE_THRESHOLD_S;
        self.role.node().tick(now);
        self.log(now);
        resumed
    }

    fn due(&mut self, ctx: &mut ComponentContext) -> Vec<PoolEntry> {
        let now = ctx.now;
        self.links.maintain(now, self.role.node(), ctx.poller);
        self.propose(now);
        let Role::Leaf(leaf) = &mut self.role else { return Vec::new() };
        for server in self.reported.report_changes(now, ctx.servers, leaf.as_mut()) {
            self.removed_servers.push_back((now, server));
        }
        let forget_after = self.conf.settings.forget_after;
        while let Some((_, server)) = self.removed_servers.pop_front_if(|(at, _)| now - *at >= forget_after) {
            let listed = self.reported.pool_of(server).is_some()
                || self.removed_servers.iter().any(|(_, again)| *again == server);
            if !listed {
                leaf.set_server(now, server, None);
            }
        }
        let Some(guard) = &mut ctx.gates.fleet else { return Vec::new() };
        let lists_late = self.conf.settings.max_list_delay;
        self.observations.update(
            now,
            &leaf.peer_observations(now),
            (ctx.list_at, lists_late),
            ctx.servers,
            guard,
        )
    }

    /// Returns newly received settings, once.
    fn take_offered_settings(&mut self) -> Option<Arc<SettingsSet>> {
        let Role::Leaf(leaf) = &mut self.role else { return None };
        let offered = leaf.take_new_settings()?;
        self.received_settings = Some(Arc::clone(&offered));
        Some(offered)
    }

    fn ready(&self, now: f64) -> bool {
        let waited_enough = now - self.joined_at >= MAX_CATCH_UP_WAIT_S;
        match &self.role {
            Role::Leaf(leaf) => waited_enough || leaf.has_current_feeds(),
            Role::Relay(relay) => relay.is_caught_up(),
        }
    }

    // ---- Log

    fn log(&mut self, now: f64) {
        match &mut self.role {
            Role::Leaf(leaf) => {
                for event in leaf.take_events() {
                    if self.log_limiter.may_log(now) {
                        log_leaf_event(&event, &self.names);
                    }
                }
            }
            Role::Relay(relay) => {
                for event in relay.take_events() {
                    let may_log = match &event {
                        relay::Event::Mesh(event) => self.log_limiter.may_log_event(now, event),
                        _ => self.log_limiter.may_log(now),
                    };
                    if may_log {
                        let name =
                            |id| relay.leaf_name(id).map_or_else(|| name(&self.names, id), String::from);
                        log_relay_event(&event, name);
                    }
                }
            }
        }
    }

    // ---- Reports

    fn report(&self, now: f64) -> Value {
        match &self.role {
            Role::Leaf(leaf) => self.report_leaf(now, leaf),
            Role::Relay(relay) => self.report_relay(now, relay),
        }
    }

    fn report_leaf(&self, now: f64, leaf: &Leaf) -> Value {
        let status = leaf.status(now);
        let place = |l: &NodeLocation| (!l.zone.is_empty()).then(|| l.zone.clone());
        let row = |r: &hollypaddle_config::RelayConf| {
            let id = MemberId::of(&r.name);
            let state = match () {
                () if status.relay == Some(id) => "own",
                () if status.second_choice == Some(id) => "second",
                () => "other",
            };
            json!({"name": r.name, "state": state, "zone": r.locality.zone, "region": r.locality.region})
        };
        let peer = |(member, fact): (MemberId, hollypaddle_replica::record::LeafFact)| {
            json!({"name": self.name(member), "state": presence(fact.presence), "life": fact.life.to_string(),
                "moves": fact.moves})
        };
        json!({
            "role": "leaf", "name": self.identity.name, "life": leaf.identity().incarnation.to_string(),
            "ready": self.ready(now), "zone": place(&self.identity.place),
            "relay": status.relay.map(|r| self.name(r)), "second": status.second_choice.map(|r| self.name(r)),
            "age_s": status.last_heard_s, "moves": status.moves,
            "settings": {"version": status.settings.version, "hash": hash(status.settings),
                "in_force": status.in_force,
                "refused": status.turned_down.as_ref().map(|(version, _)| version),
                "reason": status.turned_down.as_ref().map(|(_, reason)| reason)},
            "relays": self.tier.relays.iter().map(row).collect::<Vec<_>>(),
            "members": leaf.peers().map(peer).collect::<Vec<_>>(),
            "links": self.links.counts,
        })
    }

    fn report_relay(&self, now: f64, relay: &Relay) -> Value {
        let view = relay.member().view();
        let alive = 1 + view.peers().filter(|m| matches!(view.state(*m), State::Alive)).count();
        let row = |r: &hollypaddle_membership::view::Row| {
            json!({
                "name": self.name(r.member), "state": r.state.name(), "life": r.incarnation.map(|i| i.to_string()),
                "silent_ms": r.silent_s.map(|s| (s * 1000.0).round()), "linked": r.linked,
                "hears_us": !r.not_receiving, "ready": r.ready,
            })
        };
        let leaf = |r: relay::LeafRow| {
            json!({
                "name": relay.leaf_name(r.leaf).map_or_else(|| self.name(r.leaf), String::from), "state": presence(r.presence), "since_s": r.since_s, "moves": r.moves,
                "in_force": r.in_force, "refused": r.turned_down.as_ref().map(|(version, _)| version),
                "reason": r.turned_down.as_ref().map(|(_, reason)| reason),
            })
        };
        let mark = relay.settings().revision();
        json!({
            "role": "relay", "name": self.identity.name, "life": relay.identity().incarnation.to_string(),
            "ready": relay.is_caught_up(), "writer": self.tier.writer, "heard": alive, "all": self.tier.relays.len(),
            "majority": 2 * alive > self.tier.relays.len(),
            "attached": relay.attached_count(), "limit": relay.leaf_limit(), "takes": relay.accept_limit(),
            "settings": {"version": mark.version, "hash": hash(mark),
                "entries": relay.settings().entries().count(),
                "proposed": relay.proposed().map(|p| p.version), "refused": self.refused},
            "relays": view.snapshot(now).iter().map(row).collect::<Vec<_>>(),
            "members": relay.leaf_rows(now).into_iter().map(leaf).collect::<Vec<_>>(),
            "counts": relay.counts, "links": self.links.counts,
        })
    }
}

fn sorted(entries: &[(String, String)]) -> BTreeMap<&str, &str> {
    entries.iter().map(|(name, text)| (name.as_str(), text.as_str())).collect()
}

fn hash(mark: Revision) -> String {
    format!("{:016x}", mark.hash)
}

fn presence(presence: hollypaddle_replica::record::Presence) -> String {
    format!("{presence:?}").to_lowercase()
}

fn name(names: &BTreeMap<MemberId, String>, member: MemberId) -> String {
    names.get(&member).cloned().unwrap_or_else(|| format!("{:016x}", member.0))
}

fn names(tier: &TierConf, own: &str) -> BTreeMap<MemberId, String> {
    let relays = tier.relays.iter().map(|r| r.name.as_str());
    relays.chain([own]).map(|name| (MemberId::of(name), name.to_string())).collect()
}

fn places(tier: &TierConf) -> Vec<RelayLocation> {
    let of = |r: &hollypaddle_config::RelayConf| RelayLocation {
        relay: MemberId::of(&r.name),
        location: place(&r.locality, &tier.relays),
    };
    tier.relays.iter().map(of).collect()
}

fn addresses(tier: &TierConf) -> BTreeMap<MemberId, SocketAddr> {
    tier.relays.iter().map(|r| (MemberId::of(&r.name), r.address)).collect()
}

fn timing(tier: &TierConf) -> Timing {
    Timing { leaf_bytes_per_s: tier.leaf_rate_bytes_per_s, max_leaves: tier.max_leaves, ..Timing::default() }
}

fn log_leaf_event(event: &leaf::Event, names: &BTreeMap<MemberId, String>) {
    let name = |member: MemberId| name(names, member);
    match event {
        leaf::Event::Attached(relay, after_s) => {
            let after_s = after_s.unwrap_or(0.0);
            log::info!(relay = name(*relay).as_str(), after_s; "relay-attached");
        }
        leaf::Event::Returned(relay) => log::info!(relay = name(*relay).as_str(); "relay-returned"),
        leaf::Event::Lost(relay, how) => {
            log::warn!(relay = name(*relay).as_str(), how = how.name(); "relay-lost");
        }
        leaf::Event::Refused(relay, why, retry_s) => {
            let reason = refusal(*why);
            log::info!(relay = name(*relay).as_str(), reason = reason.as_str(), retry_s; "relay-refused");
        }
        leaf::Event::SettingsReceived(mark) => log::debug!(version = mark.version; "fleet-settings-came"),
        leaf::Event::ResyncRequested(feed) => {
            let feed = format!("{feed:?}").to_lowercase();
            log::info!(feed = feed.as_str(); "relay-told-anew");
        }
        leaf::Event::IncarnationRaised(life) => log::info!(life:%; "leaf-life-raised"),
    }
}

fn log_relay_event(event: &relay::Event, name: impl Fn(MemberId) -> String) {
    match event {
        relay::Event::Mesh(event) => log_member_event(event, name),
        relay::Event::LeafPresence(leaf, found) => {
            let state = presence(*found);
            log::info!(leaf = name(*leaf).as_str(), state = state.as_str(); "leaf-found");
        }
        relay::Event::Refused(leaf, why) => {
            let reason = refusal(*why);
            log::info!(leaf = name(*leaf).as_str(), reason = reason.as_str(); "leaf-refused");
        }
        relay::Event::Proposed(mark) => log::debug!(version = mark.version; "fleet-settings-stored"),
        relay::Event::InForce(mark) => log::info!(version = mark.version; "fleet-settings-in-force"),
        relay::Event::Undecided(mark) => log::warn!(version = mark.version; "fleet-settings-undecided"),
        relay::Event::TurnedDown { leaf, version, reason } => {
            let reason = reason.as_str();
            log::warn!(leaf = name(*leaf).as_str(), version, reason; "fleet-settings-turned-down");
        }
        relay::Event::SecondWriter(relay) => {
            log::warn!(relay = name(*relay).as_str(); "fleet-settings-second-writer");
        }
    }
}

fn refusal(why: hollypaddle_relay::message::Refusal) -> String {
    use hollypaddle_relay::message::Refusal;
    match why {
        Refusal::Full => "full",
        Refusal::Shedding => "shedding",
        Refusal::CatchingUp => "catching-up",
    }
    .into()
}

/// This gatekeeper in a tier, if one is configured.
#[derive(Default)]
pub struct TierComponent {
    joined: Option<Joined>,
    /// A tier that was joined while a configuration is prepared, and is not in use yet.
    prepared: Option<Joined>,
}

impl TierComponent {
    /// Applies what other gatekeepers report to the entries of a list.
    pub fn overlay(&self, entries: &mut [PoolEntry], list_at: f64) {
        if let Some(joined) = &self.joined {
            joined.observations.overlay(entries, list_at, joined.conf.settings.max_list_delay);
        }
    }

    /// Returns newly received settings of the fleet, once.
    pub fn take_offered_settings(&mut self) -> Option<Arc<SettingsSet>> {
        self.joined.as_mut().and_then(Joined::take_offered_settings)
    }

    /// Returns the settings of the fleet that are not in force here, to be tried again after this gatekeeper's configuration has
    /// changed.
    pub fn rejected_settings(&self) -> Option<Arc<SettingsSet>> {
        let joined = self.joined.as_ref()?;
        let Role::Leaf(leaf) = &joined.role else { return None };
        let received = joined.received_settings.as_ref()?;
        (leaf.status(joined.last_tick_at).in_force < received.revision().version)
            .then(|| Arc::clone(received))
    }

    /// Reports that this version of the settings is in force here, or why it is not.
    pub fn report_verdict(&mut self, version: u64, verdict: Result<(), String>) {
        let Some(Joined { role: Role::Leaf(leaf), .. }) = &mut self.joined else { return };
        leaf.record_settings_result(version, verdict);
    }
}

fn fleet_and_tier(conf: &Conf) -> Option<(&FleetConf, &TierConf)> {
    let fleet = conf.fleet.as_ref()?;
    Some((fleet, fleet.tier.as_ref()?))
}

impl Component for TierComponent {
    fn prepare(&mut self, ctx: &mut ComponentContext, _: &Conf, new: &Conf) -> io::Result<()> {
        let Some((conf, tier)) = fleet_and_tier(new) else { return Ok(()) };
        let identity = Identity::of(conf, tier, ctx.platform);
        if self.joined.as_ref().is_none_or(|joined| joined.identity != identity) {
            self.prepared = Some(Joined::join(ctx, conf, tier)?);
        }
        Ok(())
    }

    fn abandon(&mut self, ctx: &mut ComponentContext) {
        if let Some(prepared) = self.prepared.take() {
            prepared.links.close_all(ctx.poller);
        }
    }

    fn commit(&mut self, ctx: &mut ComponentContext, old: &Conf, new: &Conf) -> Option<String> {
        let (prepared, at_start) = (self.prepared.take(), self.joined.is_none());
        let change = match (&mut self.joined, prepared, fleet_and_tier(new)) {
            (old, Some(prepared), _) => {
                if let Some(old) = old.replace(prepared) {
                    old.leave(ctx);
                }
                Some("joined")
            }
            (Some(joined), None, Some((conf, tier))) if new.fleet != old.fleet => {
                joined.change(ctx, conf, tier);
                Some("changed")
            }
            (Some(_), None, Some(_)) | (None, None, _) => None,
            (old, None, None) => {
                if let Some(old) = old.take() {
                    old.leave(ctx);
                }
                Some("left")
            }
        };
        if let Some(joined) = &mut self.joined {
            if change.is_some() {
                ctx.gates.fleet = matches!(joined.role, Role::Leaf(_)).then(Guard::default);
            }
            // A relay reads the fleet's settings whenever it reads its configuration.
            if let (Role::Relay(_), Some(path)) = (&joined.role, joined.tier.settings.clone()) {
                joined.read_settings(ctx.now, &path, at_start);
            }
        }
        change.map(|change| format!("tier-{change}"))
    }

    fn begin_iteration(&mut self, ctx: &mut ComponentContext) {
        if let Some(joined) = &mut self.joined {
            if joined.tick(ctx.now) {
                // Answers waiting at the socket were sent before or during the pause.
                ctx.resolver.forget_queries();
                ctx.resolver.send_query(ctx.now);
            }
        }
    }

    fn handle_ready(&mut self, ctx: &mut ComponentContext, ready: Ready) {
        if let Some(joined) = &mut self.joined {
            joined.links.handle_ready(ctx.now, ready, joined.role.node(), ctx.poller);
        }
    }

    fn on_heartbeat(&mut self, ctx: &mut ComponentContext, _: &Conf) {
        let Some(joined) = &mut self.joined else { return };
        let entries = joined.due(ctx);
        if !entries.is_empty() {
            ctx.calls.events.push(ModuleEvent::List { kind: ListKind::Changes, entries });
        }
    }

    fn finish_iteration(&mut self, ctx: &mut ComponentContext) {
        if let Some(joined) = &mut self.joined {
            joined.links.apply_node_actions(ctx.now, joined.role.node(), ctx.poller);
        }
    }

    fn shut_down(&mut self, ctx: &mut ComponentContext) {
        if let Some(joined) = self.joined.take() {
            joined.leave(ctx);
        }
    }

    fn next_iteration_at(&self) -> Option<f64> {
        self.joined.as_ref().map(|joined| match &joined.role {
            Role::Leaf(leaf) => leaf.next_tick_at(),
            Role::Relay(relay) => relay.next_tick_at(),
        })
    }

    fn not_ready_reason(&self) -> Option<&'static str> {
        self.joined.as_ref().filter(|joined| !joined.ready(joined.last_tick_at)).map(|_| "catching-up")
    }

    fn answer(&mut self, ctx: &mut ComponentContext, question: &Query) -> Option<Value> {
        Some(match (question, &self.joined) {
            (Query::Members {}, Some(joined)) => json!({"ok": joined.report(ctx.now)}),
            (Query::Replica {}, Some(_)) => {
                json!({"error": "a tier of relays holds no copies of other members: ask for `members`"})
            }
            (Query::Members {} | Query::Replica {}, None) => {
                json!({"error": "no fleet: the block `fleet` is not configured"})
            }
            _ => return None,
        })
    }
}

#[cfg(test)]
mod tests;
