//! Trials.
use hollypaddle_faults::tier::*;
fn main() {
    let a: Vec<f64> = std::env::args().skip(2).map(|x| x.parse().unwrap()).collect();
    let what = std::env::args().nth(1).unwrap();
    let t = std::time::Instant::now();
    let mut w = World::new(Plan::of(a[0] as usize, a[1] as usize), a[3] as u64);
    let at = w.until(30.0, World::all_attached);
    println!("attached {at:?} rejected {:?}", w.errors);
    w.pass(5.0);
    match &what[..] {
        "kill" => w.kill(0),
        "pause" => w.pause(0),
        "vanish" => w.vanish(0),
        "kill2" => {
            w.kill(0);
            w.kill(1)
        }
        "pause2" => {
            w.pause(0);
            w.pause(1)
        }
        "cut" => w.cut_off(0, true, true),
        "says" => w.cut_off(0, true, false),
        "hears" => w.cut_off(0, false, true),
        "regions" => w.cut_regions(true),
        "loss" => w.loss = 0.2,
        "all" => {
            for n in 0..5 {
                w.kill(n)
            }
            w.pass(3.0);
            for n in 0..5 {
                w.start(n)
            }
        }
        _ => {}
    }
    let at = w.until(10.0, World::all_attached);
    println!(
        "attached {at:?} moves {:?}",
        w.moves.iter().filter(|m| !m.started).map(|m| m.after).fold(0.0, f64::max)
    );
    w.pass(a[2]);
    w.heal();
    w.pass(10.0);
    println!("{:?} turns {} said {:?}", t.elapsed(), w.turns, w.said);
    println!("most {:?} errors {:?} stuck {}", w.most, w.errors, w.stuck);
    for b in w.broken.iter().chain(&w.unsettled()).take(12) {
        println!("{b}");
    }
}
