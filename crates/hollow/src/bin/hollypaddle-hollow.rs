//! The program: a process with many hollow leaves. See the crate's page.

use std::error::Error;

use clap::Parser;
use hollypaddle_hollow::leaves::{run, Plan};

fn main() -> Result<(), Box<dyn Error>> {
    run(&Plan::parse())
}
