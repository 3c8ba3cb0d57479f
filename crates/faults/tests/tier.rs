//! Relays and leaves under faults in skipped time, each promise by its name; and faults put in on purpose, which are found.

use hollypaddle_faults::check::Broken;
use hollypaddle_faults::tier::{
    entries, random_script, Plan, Planted, World, BYTES, CHANGE, HOME, MOVED, OVER,
};
use hollypaddle_relay::relay::SettingsError;
use hollypaddle_relay::Timing;
use hollypaddle_replica::record::{Presence, ServerFact, ServerState};

/// Rounds; `ROUNDS=2000` plays more.
fn rounds() -> u64 {
    std::env::var("ROUNDS").ok().and_then(|n| n.parse().ok()).unwrap_or(40)
}

/// A world where all are attached and at home, and have settings.
fn world(plan: Plan, seed: u64) -> World {
    let mut world = World::new(plan, seed);
    world.pass(2.0);
    assert!(world.all_attached(), "seed {seed}: {:?}", world.unattached());
    world.propose(0, &entries(1)).unwrap().unwrap();
    // A long list is told at the rate of a leaf.
    world.until(40.0, |w| w.unsettled().is_empty());
    world.pass(2.0);
    assert_eq!(world.unsettled(), [], "seed {seed}");
    world
}

fn quiet(world: &mut World) {
    world.heal();
    world.pass(8.0);
    assert_eq!(world.broken, []);
    assert_eq!(world.unsettled(), []);
}

fn lasts(world: &World) -> f64 {
    world.moves.iter().filter(|m| !m.started).map(|m| m.after).fold(0.0, f64::max)
}

#[test]
fn random_scripts_break_nothing() {
    for seed in 0..rounds() {
        let loss = if seed % 4 == 3 { 0.05 } else { 0.0 };
        let plan = Plan { loss, ..Plan::of(5, 12) };
        let script = random_script(seed, &plan, 5, 8.0);
        let play = |s: &_| World::new(plan.clone(), seed).play(s);
        let broken = play(&script);
        if !broken.is_empty() {
            let small = script.smaller(|s| !play(s).is_empty());
            let text: Vec<String> = play(&small).iter().map(Broken::to_string).collect();
            panic!("made smaller:\n{small}{}", text.join("\n"));
        }
    }
}

/// What long runs found once: a leaf that woke while a link of its was being made never slept again before that was given up;
/// one that heard a relay that did not hear it stayed there until it was held to be gone.
#[test]
fn what_was_found_once_stays_mended() {
    let found = [
        (327, "at 1.807s cut g9 -> g1\nat 3.915s pause g9\nat 5.147s wake g9\n"),
        (279, "at 3.760s cut g11 -> g4\n"),
    ];
    for (seed, steps) in found {
        let script = format!("seed {seed}\n{steps}at 9.000s heal").parse().unwrap();
        assert_eq!(World::new(Plan { loss: 0.05, ..Plan::of(5, 12) }, seed).play(&script), [], "{seed}");
    }
}

#[test]
fn one_seed_is_one_world() {
    let script = random_script(11, &Plan::of(5, 12), 5, 8.0);
    let run = || {
        let mut world = World::new(Plan::of(5, 12), 11);
        let broken = world.play(&script);
        (broken, world.turns, world.said, world.moves)
    };
    assert_eq!(run(), run());
}

#[test]
fn leaves_of_a_relay_that_is_killed_or_paused_are_elsewhere_within_two_seconds() {
    for seed in 0..4 {
        for paused in [false, true] {
            let mut world = world(Plan::of(5, 100), seed);
            if paused {
                world.pause(0)
            } else {
                world.kill(0)
            }
            world.pass(3.0);
            assert!(world.all_attached(), "seed {seed}: {:?}", world.unattached());
            let moved = world.moves.iter().filter(|m| !m.started).count();
            assert!(moved >= 10 && lasts(&world) <= MOVED, "seed {seed}: {moved}, {}", lasts(&world));
            quiet(&mut world);
        }
    }
}

#[test]
fn all_are_attached_within_five_seconds_with_two_relays_gone_at_once() {
    for seed in 0..3 {
        for (a, b) in [(0, 1), (3, 4)] {
            for how in [World::kill, World::pause, World::vanish] {
                let mut world = world(Plan::of(5, 100), seed);
                how(&mut world, a);
                how(&mut world, b);
                let within = world.until(HOME, World::all_attached);
                assert!(within.is_some(), "seed {seed}: {:?}", world.unattached());
                world.pass(5.0);
                assert!(lasts(&world) <= HOME, "seed {seed}: {}", lasts(&world));
                assert_eq!(world.unsettled(), [], "seed {seed}");
                quiet(&mut world);
            }
        }
    }
}

#[test]
fn nobody_who_lives_and_is_heard_is_held_to_be_gone_at_a_fifth_of_all_messages_lost() {
    for seed in 0..3 {
        let mut world = world(Plan::of(5, 60), seed);
        world.loss = 0.2;
        world.pass(60.0);
        assert_eq!(world.false_deaths, 0, "seed {seed}: {:?}", world.broken);
        quiet(&mut world);
    }
}

/// A relay that is cut off, one way or both, or a whole region, holds nobody to be gone who is heard elsewhere.
#[test]
fn who_is_cut_off_holds_nobody_to_be_gone() {
    for seed in 0..2 {
        for cut in 0..4 {
            let mut world = world(Plan::of(5, 30), seed);
            match cut {
                0 => world.cut_regions(true),
                1 => world.cut_off(0, true, true),
                2 => world.cut_off(0, true, false),
                _ => world.cut_off(0, false, true),
            }
            world.pass(20.0);
            assert!(world.all_attached(), "seed {seed}, cut {cut}: {:?}", world.unattached());
            quiet(&mut world);
            assert_eq!(world.false_deaths, 0, "seed {seed}, cut {cut}");
        }
    }
}

/// The way to its relay alone is cut, while that goes on telling it things: the leaf goes elsewhere before it is held to be
/// gone.
#[test]
fn a_leaf_that_is_not_heard_goes_elsewhere_though_it_hears() {
    let mut world = world(Plan::of(5, 12), 15);
    let had = world.attached_to(5).unwrap();
    world.cut(5, had, true);
    for n in 0..40 {
        world.propose(0, &entries(n + 2)).unwrap().unwrap();
        world.silence(5 + 2, 1, n % 2 == 0);
        world.pass(0.2);
        assert!(n < 15 || world.attached_to(5) != Some(had), "{n}");
    }
    quiet(&mut world);
}

/// A leaf that is killed, or whose machine vanishes, is gone to the others of its topic, and is back when it is back.
#[test]
fn who_has_ended_is_gone_and_who_is_back_is_here() {
    let mut world = world(Plan::of(5, 30), 5);
    let (killed, vanished) = (5, 6);
    let other = |world: &World, of: usize| {
        world.leaf_nodes().find(|n| *n != of && world.plan.topic(*n) == world.plan.topic(of)).unwrap()
    };
    world.kill(killed);
    world.vanish(vanished);
    world.pass(9.0);
    for node in [killed, vanished] {
        let leaf = world.leaf(other(&world, node)).unwrap();
        let member = hollypaddle_faults::tier::id(node, &world.plan);
        let fact = leaf.peers().find(|(m, _)| *m == member).unwrap().1;
        assert_eq!(fact.presence, Presence::Gone, "{node}");
    }
    quiet(&mut world);
}

/// A leaf whose clock was set back between two lives comes back all the same.
#[test]
fn a_leaf_that_starts_with_an_earlier_life_is_here_again() {
    let mut world = world(Plan::of(5, 12), 3);
    // Every seventh start is with a clock set back.
    for n in 0..14 {
        let node = 5 + n % 12;
        world.kill(node);
        world.pass(0.7);
        world.start(node);
        world.pass(0.7);
    }
    quiet(&mut world);
}

/// The same with a single relay, and at another relay than the one that knows of its last life.
#[test]
fn a_leaf_with_an_earlier_life_is_taken_by_the_relay_that_it_had_and_by_another() {
    let mut world = world(Plan::of(1, 6), 3);
    world.set_back = true;
    world.kill(3);
    world.pass(1.0);
    world.start(3);
    world.pass(3.0);
    assert!(world.all_attached());
    quiet(&mut world);
    let mut world = self::world(Plan::of(5, 12), 3);
    world.set_back = true;
    let had = world.attached_to(7).unwrap();
    world.kill(7);
    world.pass(0.1);
    world.cut(7, had, true);
    world.cut(had, 7, true);
    world.start(7);
    world.pass(10.0);
    assert!(world.all_attached() && world.attached_to(7) != Some(had));
    quiet(&mut world);
}

#[test]
fn a_change_accepted_is_everywhere_within_four_seconds() {
    for seed in 0..2 {
        let mut world = world(Plan::of(5, 100), seed);
        for n in 2..52 {
            world.propose(0, &entries(n)).unwrap().unwrap();
            world.pass(0.02);
        }
        world.kill(3);
        world.propose(0, &entries(60)).unwrap().unwrap();
        world.pass(CHANGE);
        assert_eq!(world.all_on_newest(), [], "seed {seed}");
        let late = |c: &hollypaddle_faults::tier::Changed| {
            c.accepted.is_none_or(|at| c.reached.values().any(|r| r - at > CHANGE))
        };
        assert!(!world.changes.values().any(late), "seed {seed}");
        quiet(&mut world);
    }
}

#[test]
fn the_minority_side_refuses_changes_and_all_are_equal_soon_after_the_heal() {
    for seed in 0..3 {
        // The writer stands on the side of three, and then on that of two.
        for first in [3, 2] {
            let mut world = world(Plan { first, ..Plan::of(5, 30) }, seed);
            world.cut_regions(true);
            world.pass(3.0);
            for n in 100..110 {
                let said = world.propose(0, &entries(n)).unwrap();
                match first {
                    3 => assert!(said.is_ok(), "seed {seed}: {said:?}"),
                    _ => assert!(
                        matches!(said, Err(SettingsError::NoMajority { reachable: 2, total: 5 })),
                        "seed {seed}: {said:?}"
                    ),
                }
                world.pass(1.0);
            }
            world.cut_regions(false);
            let equal = world.until(CHANGE, |w| w.all_on_newest().is_empty());
            assert!(equal.is_some(), "seed {seed}: {:?}", world.all_on_newest());
            world.pass(CHANGE);
            assert!(world.propose(0, &entries(200)).unwrap().is_ok());
            quiet(&mut world);
        }
    }
}

/// One that is not the writer refuses; and one that has just started.
#[test]
fn who_may_not_change_the_settings_is_told_why() {
    let mut world = world(Plan::of(3, 3), 1);
    assert_eq!(world.propose(1, &entries(9)), Some(Err(SettingsError::NotWriter)));
    world.kill(0);
    world.pass(1.0);
    world.start(0);
    world.pass(0.001);
    let refused = world.propose(0, &entries(9)).unwrap().unwrap_err();
    assert!(matches!(refused, SettingsError::NoMajority { reachable: 1, total: 3 }), "{refused}");
    quiet(&mut world);
}

/// Relays keep nothing on a disk. What is in force stays so when all of them are gone at once: the leaves have it.
#[test]
fn settings_outlive_all_relays() {
    for seed in 0..3 {
        let mut world = world(Plan::of(5, 30), seed);
        for n in 2..12 {
            world.propose(0, &entries(n)).unwrap().unwrap();
            world.pass(0.2);
        }
        let version = world.relay(0).unwrap().settings().revision().version;
        assert!(version > 5);
        (0..5).for_each(|n| world.kill(n));
        world.pass(3.0);
        // The writer has proposed what its file says before it hears of the leaves.
        world.leaf_nodes().for_each(|n| world.cut_off(n, true, true));
        (0..5).for_each(|n| world.start(n));
        let taken = (0..40).any(|_| {
            world.pass(0.1);
            world.proposes(0, &entries(50))
        });
        assert!(taken, "seed {seed}");
        world.pass(1.0);
        assert!(world.relay(0).unwrap().settings().revision().version < version);
        world.heal();
        world.pass(8.0);
        assert_eq!(world.unsettled(), [], "seed {seed}");
        let settings = world.relay(0).unwrap().settings();
        assert!(settings.revision().version > version, "{:?}", settings.revision());
        let wanted = entries(50);
        let mut text: Vec<(&str, &str)> = wanted.iter().map(|(n, t)| (n.as_str(), t.as_str())).collect();
        text.sort();
        assert_eq!(settings.entries().collect::<Vec<_>>(), text, "seed {seed}");
        quiet(&mut world);
    }
}

#[test]
fn a_leaf_turns_a_change_down_and_the_writer_is_told() {
    let mut world = world(Plan::of(5, 12), 2);
    world.picky.insert(9);
    let mark = world.propose(0, &entries(7)).unwrap().unwrap();
    world.pass(3.0);
    let leaf = hollypaddle_faults::tier::id(9, &world.plan);
    assert!(world.turned_down.contains(&(leaf, mark.version)), "{:?}", world.turned_down);
    assert_eq!(world.leaf(9).unwrap().status(0.0).turned_down.unwrap().1, "not with me");
    quiet(&mut world);
}

#[test]
fn a_leaf_alone_keeps_what_it_has_and_holds_nobody_to_be_gone() {
    let mut world = world(Plan::of(5, 12), 4);
    let had = world.leaf(5).unwrap().status(0.0);
    world.cut_off(5, true, true);
    world.pass(60.0);
    let leaf = world.leaf(5).unwrap();
    let has = leaf.status(world.clock(5));
    assert_eq!((has.relay, has.servers, has.leaves), (None, had.servers, had.leaves));
    assert_eq!(has.settings, had.settings);
    assert!(has.last_heard_s > 55.0, "{}", has.last_heard_s);
    assert!(leaf.peers().all(|(_, fact)| fact.presence == Presence::Here));
    quiet(&mut world);
}

#[test]
fn leaves_hear_of_servers_and_silences_whatever_relay_they_are_at() {
    let mut world = world(Plan::of(5, 30), 6);
    world.silence(7, 2, true);
    world.tell(8, 1, Some(ServerFact { started_ms: 2000, place: ServerState::Draining }));
    world.tell(9, 0, Some(ServerFact { started_ms: 1000, place: ServerState::Gone }));
    world.pass(1.0);
    assert_eq!(world.unsettled(), []);
    world.silence(7, 2, false);
    world.kill(2);
    world.pass(4.0);
    assert_eq!(world.unsettled(), []);
    quiet(&mut world);
}

#[test]
fn bytes_of_a_leaf_stay_within_the_budget_through_a_flood() {
    let mut world = world(Plan { servers: 300, topics: 2, ..Plan::of(5, 12) }, 7);
    let mut n = 0;
    for _ in 0..30 {
        for _ in 0..60 {
            n += 1;
            let fact = ServerFact { started_ms: 1000 + n, place: ServerState::Ready };
            world.tell(5 + (n % 12) as usize, (n * 7 % 300) as usize, Some(fact));
        }
        world.propose(0, &entries(n)).unwrap().unwrap();
        world.pass(1.0);
    }
    world.kill(1);
    world.pass(10.0);
    let worst = world.figures("flood", 7).worst_bytes_s;
    assert!(worst > 2000.0 && worst <= BYTES, "{worst} bytes a second over {OVER} s");
    quiet(&mut world);
}

/// A leaf that reads nothing costs its relay a bounded buffer, and no other leaf anything.
#[test]
fn a_leaf_that_reads_nothing_costs_nobody_else_anything() {
    let mut world = world(Plan { servers: 300, topics: 2, ..Plan::of(5, 12) }, 8);
    world.deafen(5, true);
    for n in 0..20u64 {
        for server in 0..100 {
            let fact = ServerFact { started_ms: 2000 + n, place: ServerState::Ready };
            world.tell(7, server, Some(fact));
        }
        world.propose(0, &entries(n + 2)).unwrap().unwrap();
        world.pass(1.0);
        assert!(world.longest_queue() <= 32 * 1024 + 2048, "{}", world.longest_queue());
    }
    let late = |c: &hollypaddle_faults::tier::Changed| c.reached.values().any(|r| r - c.asked > CHANGE);
    assert!(!world.changes.values().any(late));
    quiet(&mut world);
}

#[test]
fn no_relay_has_more_than_its_share() {
    let mut world = world(Plan::of(5, 300), 9);
    world.kill(0);
    world.kill(1);
    world.pass(6.0);
    let most = (2..5).map(|n| world.relay(n).unwrap().attached_count()).max().unwrap();
    assert!(most <= 126, "{most}: a quarter above a third of 301");
    assert!(world.all_attached());
    // They go home slowly.
    world.start(0);
    world.start(1);
    world.pass(20.0);
    assert!(world.relay(0).unwrap().attached_count() < 10, "{}", world.relay(0).unwrap().attached_count());
    world.pass(60.0);
    let all: Vec<usize> = (0..5).map(|n| world.relay(n).unwrap().attached_count()).collect();
    assert!(all.iter().all(|n| (40..=76).contains(n)), "{all:?}");
    quiet(&mut world);
}

/// What a leaf said last is lost on its way, and it says nothing after that: its relay's digest tells that it does not have it.
/// Guards against a leaf that takes its relay's copy to be its own whatever the digest says.
#[test]
fn what_a_leaf_said_last_and_was_lost_is_said_again() {
    let mut world = world(Plan::of(3, 12), 11);
    world.loss = 1.0;
    world.tell(8, 0, Some(ServerFact { started_ms: 5000, place: ServerState::Draining }));
    world.pass(0.3);
    world.loss = 0.0;
    assert_ne!(world.feeds_equal_the_model(), [], "nothing was lost");
    // Digests come every 2 s; the second one that differs is answered.
    world.pass(5.0);
    quiet(&mut world);
}

/// One relay serves alone; and two, of which one goes.
#[test]
fn few_relays_do() {
    for relays in 1..4 {
        let mut world = world(Plan::of(relays, 6), 10);
        world.kill(relays - 1);
        world.pass(5.0);
        assert_eq!(world.all_attached(), relays > 1);
        world.start(relays - 1);
        world.pass(4.0);
        quiet(&mut world);
    }
}

#[test]
fn faults_put_in_on_purpose_are_found() {
    let home = Timing { return_delay_s: 5.0, ..Timing::default() };
    let found = |planted, trouble: fn(&mut World), rule: &str| {
        let run = |planted| {
            let mut world = World::new(Plan { planted, timing: home, ..Plan::of(5, 200) }, 12);
            world.pass(2.0);
            world.propose(0, &entries(1));
            world.pass(6.0);
            world.propose(0, &entries(2));
            world.pass(4.0);
            trouble(&mut world);
            world.heal();
            world.pass(8.0);
            let mut broken = world.unsettled();
            broken.extend(world.broken.clone());
            if lasts(&world) > HOME {
                broken.push(Broken("moved late", lasts(&world).to_string()));
            }
            broken
        };
        assert_eq!(run(None), [], "{planted:?}: found without it");
        let broken = run(Some(planted));
        assert!(broken.iter().any(|b| b.0.contains(rule)), "{planted:?} is not found: {:?}", broken.first());
    };
    let nothing = |_: &mut World| {};
    let lost = |w: &mut World| {
        w.pause(1);
        w.pause(2);
        w.pass(12.0);
    };
    found(Planted::MadeUpDeath, nothing, "held to be gone");
    found(Planted::OtherTopics, nothing, "beyond its topic");
    found(Planted::SkipsRecords, nothing, "told everybody everything");
    found(Planted::StoresNothing, nothing, "majority of relays has not stored");
    found(Planted::LosesSettings, nothing, "newest settings");
    found(
        Planted::ForgetsAlone,
        |w| {
            w.kill(0);
            w.pass(5.0)
        },
        "keeps what it has",
    );
    found(
        Planted::SlowToLeave,
        |w| {
            w.pause(0);
            w.pass(12.0)
        },
        "moved late",
    );
    found(Planted::NoShare, lost, "share");
    found(
        Planted::NoBudget,
        |w| {
            for n in 0..400u64 {
                let fact = ServerFact { started_ms: 5000 + n, place: ServerState::Ready };
                for server in 0..6 {
                    w.tell(5 + (n as usize % 6) * 34, server, Some(fact));
                }
                w.pass(0.01);
            }
            w.pass(10.0);
        },
        "within its budget",
    );
    // A writer that counts a majority among two takes a change that nobody else has.
    found(
        Planted::SmallMajority,
        |w| {
            w.cut_regions(true);
            w.cut(0, 2, true);
            w.cut(2, 0, true);
            w.pass(3.0);
            w.propose(0, &entries(5));
            w.pass(2.0);
        },
        "majority of relays has not stored",
    );
}

/// A leaf at a relay that is not its best one keeps one link to a second, and makes no new ones all the time.
#[test]
fn links_stay_where_nothing_happens() {
    let mut world = world(Plan::of(5, 30), 13);
    (0..3).for_each(|n| world.kill(n));
    world.pass(10.0);
    assert!(world.all_attached());
    // They are back, and nobody goes home yet.
    (0..3).for_each(|n| world.start(n));
    world.pass(6.0);
    world.said.clear();
    world.pass(15.0);
    assert_eq!(world.said.get(&1), None, "hellos");
    quiet(&mut world);
}

/// While all come at once a relay's share grows as it hears of them: who is refused for it does not wait long.
#[test]
fn all_are_attached_soon_after_everything_was_restarted() {
    let mut world = world(Plan::of(5, 400), 14);
    (0..405).for_each(|n| world.kill(n));
    world.pass(0.5);
    (0..405).for_each(|n| world.start(n));
    let within = world.until(HOME, World::all_attached);
    assert!(within.is_some(), "{} are not", world.unattached().len());
    quiet(&mut world);
}
