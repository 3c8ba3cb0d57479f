//! Trials.
use hollypaddle_faults::tier::*;
fn main() {
    let a: Vec<String> = std::env::args().skip(1).collect();
    let (leaves, seed): (usize, u64) = (a[0].parse().unwrap(), a[1].parse().unwrap());
    for run in RUNS.iter().filter(|r| a.len() < 3 || a[2..].iter().any(|n| n == r.name())) {
        let f = run.play(Plan::of(5, leaves), seed);
        println!("{}: took {:.1} played {:.0} bytes mean {:.0} p99 {:.0} worst10 {:.0} relay {:.0} | attached {:?} moved {} {:?} | changes {} refused {} in force {:?} accepted {:?} equal {:?} | false {} most {} broken {}", f.name, f.took_s, f.played_s, f.mean_bytes_s, f.p99_bytes_s, f.worst_bytes_s, f.relay_bytes_s, f.attached_s, f.moved, f.moved_s, f.changes, f.refused, f.in_force_s, f.accepted_s, f.equal_s, f.false_deaths, f.most_leaves, f.broken.len());
        for b in f.broken.iter().take(6) {
            println!("    {b}");
        }
    }
}
