//! Settings and configurations that are read anew.

use super::{Gatekeeper, SOCKET_SLACK};
use crate::node::config::{Config, ConfigError, LinkClass};
use crate::node::resolver;
use crate::node::servers::Context as ServerContext;
use crate::node::subjects::Room;
use hollypaddle_config::{Conf, Problem};
use hollypaddle_policy::{ClassSettings, ListKind, Settings};
use hollypaddle_relay::settings::SettingsSet;
use hollypaddle_service::classes::Table;
use std::io;

/// The first mistake, and how many there are.
fn first_of(problems: &[Problem]) -> String {
    let first = problems.first().map(Problem::to_string).unwrap_or_default();
    match problems.len() {
        0 | 1 => first,
        all => format!("{first} (and {} more)", all - 1),
    }
}

impl Gatekeeper {
    /// Moves to a configuration read anew: to its resolver, and to its list where that is newer than the
    /// one held. Calls, connections and the position in the list stay. Guards against a file that is
    /// not whole, and against an older list, which would bring servers back that have gone.
    pub fn reload(&mut self, read: Result<Config, ConfigError>) {
        let now = self.clock.now();
        let new = match read {
            Ok(new) => new,
            Err(ConfigError::Own(problems)) => return self.own_rejected(&problems),
            Err(error) => {
                self.figures.reloaded(false);
                return log::warn!(error:%; "configuration-rejected");
            }
        };
        // The fleet's settings stay in force beside the own file, as long as that has a tier.
        let mut own = new.own.clone();
        let kept = own.fleet.as_ref().is_some_and(|fleet| fleet.tier.is_some());
        if kept && !self.fleet_entries.is_empty() {
            match new.own_file.with(&self.fleet_entries, &new.names()) {
                Ok(merged) => own = merged,
                Err(problems) => return self.own_rejected(&problems),
            }
        }
        // What can fail comes first, so that all of the new configuration counts or nothing.
        let opened =
            resolver::open_socket(new.dns).and_then(|socket| Ok((self.watch.add(&socket, false)?, socket)));
        let (key, socket) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                self.figures.reloaded(false);
                return log::error!(resolver:% = new.dns, error:%; "resolver-failed");
            }
        };
        let both = new.settings.classes.iter().cloned().zip(new.link.classes.iter().cloned());
        let table = match self.classes.retuned(new.link.classes.iter().map(|c| c.name.clone()).zip(both)) {
            Ok(table) => table,
            Err(full) => {
                self.watch.remove(&socket);
                self.figures.reloaded(false);
                return log::warn!(error:% = full; "configuration-rejected");
            }
        };
        let names = new.names();
        let changes = match self.take_own(now, own) {
            Ok(changes) => changes,
            Err(error) => {
                self.watch.remove(&socket);
                self.figures.reloaded(false);
                return log::warn!(error:%; "configuration-rejected");
            }
        };
        (self.own_file, self.names) = (new.own_file, names);
        if !kept {
            self.fleet_entries.clear();
        }
        self.watch.remove(&self.resolver.replace_socket(socket));
        self.resolver_key = key;
        if self.resolver.accept(new.known.position) {
            let mut server_ctx = ServerContext { now, watch: &mut self.watch, calls: &mut self.calls };
            self.servers.apply_list(&new.known, ListKind::Full, &mut server_ctx);
            self.clients.set_max_connections(self.servers.max_caller_connections());
        }
        let classes = table.changes(&self.classes);
        self.retune(new.settings.clone(), table);
        self.resolver.send_query();
        self.decide(now);
        self.figures.reloaded(true);
        log::info!(resolver:% = new.dns, changes:% = changes, classes:% = classes; "configuration-read");
        self.settings = new.settings;
        if new.platform != self.platform {
            // The districts and the classes that budgets name count from the next start on.
            log::warn!("platform-changed");
        }
        // What did not fit the file as it was may fit it now.
        if let Some(set) = self.subjects.tier.rejected_settings() {
            self.take_settings(now, &set);
        }
    }

    /// Notes that the own configuration file was turned down, with each mistake.
    fn own_rejected(&mut self, problems: &[Problem]) {
        self.figures.reloaded(false);
        for problem in problems {
            let (place, what) = (problem.place.to_string(), problem.what.as_str());
            log::warn!(place = place.as_str(), what; "configuration-problem");
        }
        log::warn!(problems = problems.len(); "configuration-rejected");
    }

    /// Takes settings of the fleet, beside the own file as it was last read: all of them or none, as at a reading anew. The
    /// relay hears what came of it.
    pub(super) fn take_settings(&mut self, now: f64, set: &SettingsSet) {
        let version = set.revision().version;
        let entries: Vec<(String, String)> =
            set.entries().map(|(name, text)| (name.to_string(), text.to_string())).collect();
        let merged = self.own_file.with(&entries, &self.names);
        let taken = match merged {
            Ok(conf) => self.take_own(now, conf).map_err(|error| error.to_string()),
            Err(problems) => Err(first_of(&problems)),
        };
        match &taken {
            Ok(changes) => {
                self.fleet_entries = entries;
                self.decide(now);
                log::info!(version, changes = changes.as_str(); "fleet-settings-taken");
            }
            Err(reason) => {
                log::warn!(version, reason = reason.as_str(); "fleet-settings-not-taken");
            }
        }
        self.subjects.tier.report_verdict(version, taken.map(drop));
    }

    /// Takes what the own configuration file says now, all of it or nothing; returns what has changed in a word.
    pub(super) fn take_own(&mut self, now: f64, new: Conf) -> io::Result<String> {
        let changes = self.subjects.take(&mut room!(self, now), &self.own, &new)?;
        self.own = new;
        Ok(if changes.is_empty() { "none".into() } else { changes.join(",") })
    }

    /// Takes settings read anew: the module gets them with every class number since the start, so that open
    /// calls keep the rules they came with; the sockets and the figures get the names.
    fn retune(&mut self, mut settings: Settings, table: Table<(ClassSettings, LinkClass)>) {
        let entries = table.entries();
        settings.classes = entries.iter().map(|e| e.settings.0.clone()).collect();
        settings.release_time += SOCKET_SLACK;
        self.calls.calls_last(settings.mean_holding_time);
        self.clients.set_max_retry_after(settings.max_retry_after);
        self.controller.update_settings(settings);
        let link = |e: &hollypaddle_service::classes::Entry<(ClassSettings, LinkClass)>| LinkClass {
            live: e.live,
            ..e.settings.1.clone()
        };
        let links: Vec<LinkClass> = entries.iter().map(link).collect();
        self.clients.set_classes(links.clone());
        self.servers.set_classes(links);
        self.class_names = entries.iter().map(|e| e.name.clone()).collect();
        if let Some(fleet) = &mut self.subjects.fellows.fleet {
            fleet.set_classes(&self.class_names);
        }
        self.figures.name(entries.iter().filter(|e| e.live).map(|e| e.name.as_str()));
        self.classes = table;
    }
}
