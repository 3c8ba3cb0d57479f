//! Clients that send at full speed, slowly, or by the hundreds, beside usual callers of a gatekeeper that runs as a process with
//! the limits of a small machine.

mod bed;
mod clients;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use bed::{Bed, Load};
use clients::{half_request, request_of_short_fields, Flood, SetUps};

/// An answer on another connection comes within this time: the end of a call is due to its caller in it, and so is an answer at
/// the control address "under any load".
const MAX_REPLY_TIME: Duration = Duration::from_secs(1);
/// How long clients send.
const FLOOD_TIME: Duration = Duration::from_secs(3);

/// Number of clients that stop half way.
const SLOW_CLIENTS: usize = 700;

/// Plays floods of this many clients, and checks that others are answered in time.
fn check_flood(clients: usize, set_ups: SetUps, load: Load) {
    let bed = Bed::open(load);
    let floods: Vec<Flood> =
        (0..clients).map(|n| Flood::start(bed.address(), n as u64, set_ups, FLOOD_TIME)).collect();
    let seen = bed.observe(FLOOD_TIME);
    let sent: u64 = floods.into_iter().map(Flood::finish).sum();
    let rest = bed.observe(Duration::from_millis(500));
    println!("{clients} clients, {set_ups:?}, {load:?}: {sent} set-ups sent; {seen:?}; then {rest:?}");
    let slowest = seen.slowest_reply.max(rest.slowest_reply);
    assert!(slowest <= MAX_REPLY_TIME, "{slowest:?}");
    assert!(rest.replies > 0, "no reply after the flood");
    assert!(seen.peak_memory_kb.max(rest.peak_memory_kb) <= bed::MEMORY_LIMIT_KB);
}

/// Guards against a client that holds the event loop in one iteration by sending valid set-ups at full speed.
#[test]
fn one_client_that_sends_set_ups_at_full_speed_delays_nobody() {
    check_flood(1, SetUps::Valid, Load::Steady);
}

/// Guards against several clients that together hold the event loop by sending valid set-ups at full speed.
#[test]
fn several_clients_that_send_set_ups_at_full_speed_delay_nobody() {
    check_flood(8, SetUps::Valid, Load::Steady);
}

/// Guards against memory that grows with the set-ups of a client that takes each back at once.
#[test]
fn a_client_that_takes_its_set_ups_back_at_full_speed_delays_nobody() {
    check_flood(1, SetUps::TakenBack, Load::Steady);
}

/// Guards against an event loop that is held by set-ups at full speed while the list of servers changes.
#[test]
fn clients_that_send_at_full_speed_while_discovery_changes_delay_nobody() {
    check_flood(2, SetUps::Valid, Load::ChangingList);
}

/// Guards against an event loop that is held by set-ups at full speed in a drain, which looks at connections in each iteration.
#[test]
fn clients_that_send_at_full_speed_in_a_drain_delay_nobody() {
    check_flood(2, SetUps::Valid, Load::Draining);
}

/// Guards against a client that holds the event loop, or lets memory grow, by set-ups of ever new classes that don't exist.
#[test]
fn clients_that_send_invalid_set_ups_under_ever_new_names_delay_nobody() {
    check_flood(4, SetUps::UnknownClass, Load::Steady);
}

/// Guards against a process beyond its limit of memory while hundreds of clients are connected that stop half way through a large
/// request, or in one of very many short fields.
#[test]
fn hundreds_of_clients_that_stop_half_way_through_a_request_take_no_more_than_the_memory() {
    for request in [half_request(), request_of_short_fields()] {
        let bed = Bed::open(Load::Steady);
        let clients: Vec<TcpStream> = (0..SLOW_CLIENTS)
            .map(|_| {
                let mut client = TcpStream::connect(bed.address()).unwrap();
                client.write_all(&request).unwrap();
                client
            })
            .collect();
        let seen = bed.observe(FLOOD_TIME);
        println!("{SLOW_CLIENTS} clients, {} bytes each: {seen:?}", request.len());
        assert!(
            seen.slowest_reply <= MAX_REPLY_TIME && seen.peak_memory_kb <= bed::MEMORY_LIMIT_KB,
            "{seen:?}"
        );
        drop(clients);
    }
}
