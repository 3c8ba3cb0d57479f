//! Random scripts in the deterministic world, and faults put in on purpose that must be found.

use hollypaddle_faults::check::Broken;
use hollypaddle_faults::script::{Draw, Script};
use hollypaddle_faults::world::{Plan, Planted, Shared, World};

fn draw(members: usize) -> Draw {
    Draw { gatekeepers: members, servers: 0, lasts: 8.0, faults: 6, server_links: false }
}

fn play(plan: &Plan, script: &Script) -> Vec<Broken> {
    World::new(plan.clone(), script.seed).play(script)
}

/// Rounds; `ROUNDS=2000` plays more.
fn rounds() -> u64 {
    std::env::var("ROUNDS").ok().and_then(|n| n.parse().ok()).unwrap_or(40)
}

#[test]
fn random_scripts_break_nothing() {
    for seed in 0..rounds() {
        let members = 3 + (seed % 6) as usize;
        let plan = Plan { chaos: if seed % 2 == 0 { 0.0 } else { 0.1 }, ..Plan::of(members) };
        let script = Script::random(seed, &draw(members));
        let broken = play(&plan, &script);
        if !broken.is_empty() {
            let small = script.smaller(|s| !play(&plan, s).is_empty());
            let text: Vec<String> = play(&plan, &small).iter().map(Broken::to_string).collect();
            panic!("{members} members, made smaller:\n{small}{}", text.join("\n"));
        }
    }
}

/// Guards against calls of a living member adopted in a minority that cuts of one direction leave.
#[test]
fn no_minority_adopts_calls_after_cuts_of_one_direction() {
    for (seed, members) in [(44, 5), (79, 4)] {
        let plan = Plan { chaos: if seed % 2 == 0 { 0.0 } else { 0.1 }, ..Plan::of(members) };
        assert_eq!(play(&plan, &Script::random(seed, &draw(members))), [], "seed {seed}");
    }
}

/// Guards against calls of a living member that fall to one in a minority as their adopter dies.
#[test]
fn calls_of_a_silent_member_fall_to_nobody_in_a_minority() {
    let silent: String = (1..5).map(|n| format!("at 2s cut g0 -> g{n}\n")).collect();
    let script = format!("{silent}at 6s cut g2 -> g1\nat 6s cut g3 -> g1\nat 8s kill g4\nat 12s heal");
    for seed in 0..8 {
        let script: Script = format!("seed {seed}\n{script}").parse().unwrap();
        assert_eq!(play(&Plan::of(5), &script), [], "seed {seed}");
    }
}

/// Guards against calls adopted by a member that nobody hears, of one that lives and is heard by those it hears.
#[test]
fn a_member_that_nobody_hears_adopts_nothing_of_those_that_others_hear() {
    let script = "at 2s cut g1 -> g0\nat 2s cut g1 -> g2\nat 2s cut g2 -> g1\nat 9s heal";
    for seed in 0..8 {
        let script: Script = format!("seed {seed}\n{script}").parse().unwrap();
        assert_eq!(play(&Plan::of(3), &script), [], "seed {seed}");
    }
}

/// Each is found by some script, within so many.
#[test]
fn faults_put_in_on_purpose_are_found() {
    for planted in [Planted::NoTombstones, Planted::SkipsRecords, Planted::NeverYields, Planted::NoCatchUp] {
        let found = (0..40).find(|seed| {
            let plan = Plan { planted: Some(planted), ..Plan::of(5) };
            !play(&plan, &Script::random(*seed, &draw(5))).is_empty()
        });
        assert!(found.is_some(), "{planted:?} is not found");
    }
}

/// A budget that five members share and three of them want more of.
fn shared(lend: f64) -> Plan {
    Plan { shared: Some(Shared { per_s: 150.0, burst: 4.0, lend }), ..Plan::of(5) }
}

/// Over what was sent, by whoever was cut off, paused or killed while it lent or borrowed.
#[test]
fn a_shared_rate_holds_over_random_scripts() {
    let (mut used, mut even) = (0, 0);
    for seed in 0..rounds() {
        let script = Script::random(seed, &draw(5));
        let mut world = World::new(shared(0.75), seed);
        let broken = world.play(&script);
        assert_eq!(broken, [], "seed {seed}:\n{script}");
        used += world.sent.len();
        let mut world = World::new(shared(0.0), seed);
        assert_eq!(world.play(&script), [], "seed {seed}, nothing lent");
        even += world.sent.len();
    }
    println!("{used} set-ups with parts that are lent, {even} with even ones");
    assert!(used as f64 > 1.15 * even as f64, "{used} of {even}");
}

/// Each is found by the trouble that it does not stand: a demand that comes and goes, members that are killed in turn and
/// back at once, a split.
#[test]
fn faults_put_into_the_shares_are_found() {
    let turns = (0..20).map(|n| {
        let (at, who) = (5.0 + 0.7 * f64::from(n), n % 5);
        format!("at {at}s kill g{who}\nat {}s start g{who}\n", at + 0.1)
    });
    let pairs = [0, 1].into_iter().flat_map(|a| [2, 3, 4].map(|b| (a, b)));
    let split: String = pairs.map(|(a, b)| format!("at 6s cut g{a} - g{b}\n")).collect();
    let scripts = [
        (Planted::LendsAndUses, String::new()),
        (Planted::ForgetsLeases, turns.collect()),
        (Planted::EndlessLease, split),
    ];
    for (planted, text) in scripts {
        let script: Script = format!("{text}at 20s heal").parse().unwrap();
        let found = (0..30).find(|seed| {
            let play = |plan: Plan| World::new(plan, *seed).play(&script);
            assert_eq!(play(shared(0.75)), [], "{planted:?}, seed {seed}");
            let broken = play(Plan { planted: Some(planted), ..shared(0.75) });
            broken.iter().any(|broken| broken.0 == "a shared rate holds for the sum over all")
        });
        println!("{planted:?} is found by seed {found:?}");
        assert!(found.is_some(), "{planted:?} is not found");
    }
}

/// Minorities of each size are cut off for longer than a silence takes to count as an end, while calls stand everywhere and
/// one of the majority is killed: nobody in a minority sees to the calls of those who live, and all is well afterwards.
#[test]
fn a_minority_that_is_cut_off_adopts_nothing_of_those_that_live() {
    for (members, minority) in [(3, 1), (4, 2), (5, 1), (5, 2), (6, 3), (8, 3)] {
        for seed in 0..4 {
            let pairs = (0..minority).flat_map(|a| (minority..members).map(move |b| (a, b)));
            let cuts: String = pairs.map(|(a, b)| format!("at 3s cut g{a} - g{b}\n")).collect();
            let killed = members - 1;
            let script: Script =
                format!("seed {seed}\n{cuts}at 8s kill g{killed}\nat 12s heal").parse().unwrap();
            let mut world = World::new(Plan::of(members), seed);
            assert_eq!(world.play(&script), [], "{minority} of {members}, seed {seed}");
        }
    }
}

/// One seed, one world: what was found is found again.
#[test]
fn a_script_plays_the_same_again() {
    let script = Script::random(11, &draw(5));
    let run = || {
        let mut world = World::new(Plan::of(5), script.seed);
        world.play(&script);
        (world.history.events.len(), world.bytes, world.adopted)
    };
    assert_eq!(run(), run());
}
