use hollypaddle_faults::tier::*;
fn main() {
    let a: Vec<f64> = std::env::args().skip(1).map(|x| x.parse().unwrap()).collect();
    let t = std::time::Instant::now();
    let mut w = World::new(Plan::of(a[0] as usize, a[1] as usize), a[3] as u64);
    let at = w.until(30.0, World::all_attached);
    println!("attached {at:?} rejected {:?}", w.errors);
    w.pass(a[2]);
    println!("{:?} turns {} said {:?}", t.elapsed(), w.turns, w.said);
    println!("most {:?} errors {:?}", w.most, w.errors);
    for b in w.broken.iter().chain(&w.unsettled()).take(12) { println!("{b}"); }
}
