//! Hosts many controllers on the simulator's wire. It translates and routes; it decides nothing.

mod codec;

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use codec::{Record, WireError};
use hollypaddle_policy::settings::{self, Telemetry};
use hollypaddle_policy::{Action, Controller, Event, PoolEntry};

struct Host {
    instances: BTreeMap<u16, (Controller, Telemetry)>,
    lists: BTreeMap<u8, Vec<PoolEntry>>,
    actions: Vec<Action>,
}

impl Host {
    fn batch(&mut self, now: f64, body: &[u8], reply: &mut codec::Reply) -> Result<(), WireError> {
        let mut reader = codec::Reader::new(body);
        while let Some(record) = reader.record()? {
            match record {
                Record::Create { who, seed, settings } => match settings::parse(settings) {
                    Ok((settings, telemetry)) => {
                        let controller = Controller::new(settings, seed);
                        self.instances.insert(who, (controller, telemetry));
                    }
                    Err(reason) => reply.crash(who, &format!("settings: {reason}")),
                },
                Record::Stop { who } => {
                    self.instances.remove(&who);
                }
                Record::Register { number, entries } => {
                    self.lists.insert(number, entries);
                }
                Record::List { who, kind, number } => {
                    let entries = match (kind, self.lists.get(&number)) {
                        (hollypaddle_policy::ListKind::Failed, _) => Vec::new(),
                        (_, Some(entries)) => entries.clone(),
                        (_, None) => return Err(WireError::UnknownList(number)),
                    };
                    self.event(now, who, Event::List { kind, entries }, reply);
                }
                Record::Event { who, event } => self.event(now, who, event, reply),
                Record::Figures { who, make, values } => {
                    let report = match self.instances.get(&who) {
                        Some((_, telemetry)) => telemetry.decode(&values),
                        None => continue,
                    };
                    self.event(now, who, make.with(report), reply);
                }
            }
        }
        Ok(())
    }

    fn event(&mut self, now: f64, who: u16, event: Event, reply: &mut codec::Reply) {
        if let Some((controller, _)) = self.instances.get_mut(&who) {
            controller.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                reply.action(who, &action);
            }
        }
    }
}

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
