//! Applies new settings and new configurations.

use super::{Gatekeeper, LIMIT_TOLERANCE_S};
use crate::node::components::ComponentContext;
use crate::node::config::{Config, ConfigError, ProtocolClass};
use crate::node::poller::Key;
use crate::node::resolver;
use crate::node::servers::Context;
use hollypaddle_config::{Conf, Problem};
use hollypaddle_policy::{ClassSettings, ListKind, Settings};
use hollypaddle_relay::settings::SettingsSet;
use hollypaddle_service::classes::ClassTable;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Returns the first problem and the number of further ones.
fn summarize(problems: &[Problem]) -> String {
    let first = problems.first().map(Problem::to_string).unwrap_or_default();
    match problems.len() {
        0 | 1 => first,
        all => format!("{first} (and {} more)", all - 1),
    }
}

impl Gatekeeper {
    /// Applies a configuration that was read again: its settings, its resolver, and its list of servers if that is newer
    /// than the current one. Calls, connections and the position in the list are kept. An incomplete file is rejected, and
    /// an older list is ignored, because it would bring back servers that are gone. The result is logged.
    pub fn reload(&mut self, read: Result<Config, ConfigError>) {
        let now = self.clock.now();
        let new = match read {
            Ok(new) => new,
            Err(ConfigError::Own(problems)) => return self.reject_own_file(&problems),
            Err(error) => {
                self.figures.reloaded(false);
                return log::warn!(error:%; "configuration-rejected");
            }
        };
        // The fleet's settings stay in force with the new own file, as long as that has a tier of relays.
        let mut own = new.own_conf.clone();
        let keeps_fleet_settings = own.fleet.as_ref().is_some_and(|fleet| fleet.tier.is_some());
        if keeps_fleet_settings && !self.fleet_entries.is_empty() {
            match new.own_file.with(&self.fleet_entries, &new.names()) {
                Ok(merged) => own = merged,
                Err(problems) => return self.reject_own_file(&problems),
            }
        }
        // Everything that can fail comes first, so that either all of the new configuration is applied or nothing.
        let resolver_socket = match self.open_resolver_socket(new.dns) {
            Ok(opened) => opened,
            Err(error) => {
                self.figures.reloaded(false);
                return log::error!(resolver:% = new.dns, error:%; "resolver-failed");
            }
        };
        let both = new.settings.classes.iter().cloned().zip(new.protocol.classes.iter().cloned());
        let table =
            match self.classes.with_classes(new.protocol.classes.iter().map(|c| c.name.clone()).zip(both)) {
                Ok(table) => table,
                Err(error) => {
                    self.discard_resolver_socket(resolver_socket);
                    self.figures.reloaded(false);
                    return log::warn!(error:% = error; "configuration-rejected");
                }
            };
        let names = new.names();
        let changes = match self.apply_own_conf(now, own) {
            Ok(changes) => changes,
            Err(error) => {
                self.discard_resolver_socket(resolver_socket);
                self.figures.reloaded(false);
                return log::warn!(error:%; "configuration-rejected");
            }
        };
        (self.own_file, self.names) = (new.own_file, names);
        if !keeps_fleet_settings {
            self.fleet_entries.clear();
        }
        if let Some((key, socket)) = resolver_socket {
            self.poller.remove(&self.resolver.switch_to(new.dns, socket));
            self.resolver_key = key;
        }
        if self.resolver.accept(new.initial_list.position) {
            let mut ctx = Context { now, poller: &mut self.poller, calls: &mut self.calls };
            self.servers.apply_list(&new.initial_list, ListKind::Full, &mut ctx);
            self.clients.set_max_connections(self.servers.max_caller_connections());
        }
        let classes = table.changes(&self.classes);
        self.retune(new.settings.clone(), table);
        self.resolver.send_query(now);
        self.decide(now);
        self.figures.reloaded(true);
        log::info!(resolver:% = new.dns, changes:% = changes, classes:% = classes; "configuration-read");
        self.settings = new.settings;
        if new.platform != self.platform {
            // Changed districts, and changed classes of budgets, only take effect at the next start.
            log::warn!("platform-changed");
        }
        // Fleet settings that were rejected with the old file may be valid with the new one.
        if let Some(set) = self.components.tier.rejected_settings() {
            self.apply_fleet_settings(now, &set);
        }
    }

    /// Opens a socket for the resolver at this address, or returns none if it is the resolver in use: its socket stays, as the
    /// queries on it may still be answered.
    fn open_resolver_socket(&mut self, address: SocketAddr) -> io::Result<Option<(Key, UdpSocket)>> {
        if address == self.resolver.address() {
            return Ok(None);
        }
        let socket = resolver::open_socket(address)?;
        Ok(Some((self.poller.add(&socket, false)?, socket)))
    }

    /// Closes a socket that was opened for a configuration that is rejected.
    fn discard_resolver_socket(&self, opened: Option<(Key, UdpSocket)>) {
        if let Some((_, socket)) = opened {
            self.poller.remove(&socket);
        }
    }

    /// Logs and counts that the own configuration file was rejected, with each problem.
    fn reject_own_file(&mut self, problems: &[Problem]) {
        self.figures.reloaded(false);
        for problem in problems {
            let (place, what) = (problem.location.to_string(), problem.description.as_str());
            log::warn!(place = place.as_str(), what; "configuration-problem");
        }
        log::warn!(problems = problems.len(); "configuration-rejected");
    }

    /// Applies settings of the fleet, together with the own file as it was last read: all of them or none, as at a reload.
    /// The result is reported to the relay.
    pub(super) fn apply_fleet_settings(&mut self, now: f64, set: &SettingsSet) {
        let version = set.revision().version;
        let entries: Vec<(String, String)> =
            set.entries().map(|(name, text)| (name.to_string(), text.to_string())).collect();
        let merged = self.own_file.with(&entries, &self.names);
        let result = match merged {
            Ok(conf) => self.apply_own_conf(now, conf).map_err(|error| error.to_string()),
            Err(problems) => Err(summarize(&problems)),
        };
        match &result {
            Ok(changes) => {
                self.fleet_entries = entries;
                self.decide(now);
                log::info!(version, changes = changes.as_str(); "fleet-settings-taken");
            }
            Err(reason) => {
                log::warn!(version, reason = reason.as_str(); "fleet-settings-not-taken");
            }
        }
        self.components.tier.report_verdict(version, result.map(drop));
    }

    /// Applies the new content of the own configuration file, all of it or nothing. Returns the labels of what changed.
    pub(super) fn apply_own_conf(&mut self, now: f64, new: Conf) -> io::Result<String> {
        let changes =
            self.components.apply_config(&mut component_context!(self, now), &self.own_conf, &new)?;
        self.own_conf = new;
        Ok(if changes.is_empty() { "none".into() } else { changes.join(",") })
    }

    /// Applies new platform settings. The decision module gets them with every class number since the start, so that open
    /// calls keep the rules under which they came; the connections and the metrics get the classes' names.
    fn retune(&mut self, mut settings: Settings, table: ClassTable<(ClassSettings, ProtocolClass)>) {
        let entries = table.entries();
        settings.classes = entries.iter().map(|e| e.settings.0.clone()).collect();
        settings.release_time += LIMIT_TOLERANCE_S;
        self.calls.set_mean_call_duration(settings.mean_holding_time);
        self.clients.set_max_retry_after(settings.max_retry_after);
        self.controller.update_settings(settings);
        let protocol_class =
            |e: &hollypaddle_service::classes::ClassEntry<(ClassSettings, ProtocolClass)>| ProtocolClass {
                accepts_calls: e.open,
                ..e.settings.1.clone()
            };
        let protocol_classes: Vec<ProtocolClass> = entries.iter().map(protocol_class).collect();
        self.clients.set_classes(protocol_classes.clone());
        self.servers.set_classes(protocol_classes);
        self.class_names = entries.iter().map(|e| e.name.clone()).collect();
        if let Some(fleet) = &mut self.components.fleet.joined {
            fleet.set_classes(&self.class_names);
        }
        self.figures.add_classes(entries.iter().filter(|e| e.open).map(|e| e.name.as_str()));
        self.classes = table;
    }
}
