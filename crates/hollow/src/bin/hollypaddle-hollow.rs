//! Runs a process with many hollow leaves; the page of the crate describes them.

use std::error::Error;

use clap::Parser;
use hollypaddle_hollow::leaves::{run, Plan};

fn main() -> Result<(), Box<dyn Error>> {
    run(&Plan::parse())
}
