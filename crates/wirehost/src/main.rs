//! Runs many controllers for the simulator: it translates the records of the simulator's protocol into events, routes
//! them and translates the actions back. It makes no decision of its own.

mod codec;

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use codec::{Record, WireError};
use hollypaddle_policy::settings::{self, Telemetry};
use hollypaddle_policy::{Action, Controller, Event, PoolEntry};

/// The running instances and the registered lists.
struct Host {
    /// Controller and layout of load reports of each instance, by its number.
    instances: BTreeMap<u16, (Controller, Telemetry)>,
    /// The registered lists of pools, by number.
    lists: BTreeMap<u8, Vec<PoolEntry>>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the records of one frame and adds the actions to `reply`.
    fn batch(&mut self, now: f64, body: &[u8], reply: &mut codec::Reply) -> Result<(), WireError> {
        let mut reader = codec::Reader::new(body);
        while let Some(record) = reader.record()? {
            match record {
                Record::Create { instance, seed, settings } => match settings::parse(settings) {
                    Ok((settings, telemetry)) => {
                        let controller = Controller::new(settings, seed);
                        self.instances.insert(instance, (controller, telemetry));
                    }
                    Err(reason) => reply.crash(instance, &format!("settings: {reason}")),
                },
                Record::Stop { instance } => {
                    self.instances.remove(&instance);
                }
                Record::Register { number, entries } => {
                    self.lists.insert(number, entries);
                }
                Record::List { instance, kind, number } => {
                    let entries = match (kind, self.lists.get(&number)) {
                        (hollypaddle_policy::ListKind::Failed, _) => Vec::new(),
                        (_, Some(entries)) => entries.clone(),
                        (_, None) => return Err(WireError::UnknownList(number)),
                    };
                    self.event(now, instance, Event::List { kind, entries }, reply);
                }
                Record::Event { instance, event } => self.event(now, instance, event, reply),
                Record::Report { instance, event, values } => {
                    let report = match self.instances.get(&instance) {
                        Some((_, telemetry)) => telemetry.decode(&values),
                        None => continue,
                    };
                    self.event(now, instance, event.with_report(report), reply);
                }
            }
        }
        Ok(())
    }

    /// Passes an event to an instance, if it runs, and adds its actions to `reply`.
    fn event(&mut self, now: f64, instance: u16, event: Event, reply: &mut codec::Reply) {
        if let Some((controller, _)) = self.instances.get_mut(&instance) {
            controller.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                reply.action(instance, &action);
            }
        }
    }
}

/// Answers frames from standard input on standard output until the input ends.
fn run() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host { instances: BTreeMap::new(), lists: BTreeMap::new(), actions: Vec::new() };
    let mut frame = Vec::new();
    let mut reply = codec::Reply::default();
    while let Some(now) = codec::read_frame(&mut input, &mut frame)? {
        reply.clear();
        host.batch(now, &frame[codec::CLOCK_BYTES..], &mut reply)?;
        output.write_all(reply.finish())?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hollypaddle-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
