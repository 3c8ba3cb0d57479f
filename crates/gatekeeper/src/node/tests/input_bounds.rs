//! What is read from one client in an iteration of the event loop is bounded.

use super::*;

/// Maximum number of bytes that may be read from one client in an iteration.
const MAX_BYTES: usize = 4096;
/// Set-ups that wait to be read. They are more than one read of a connection takes.
const WAITING: u64 = 1500;

/// Guards against an iteration that goes on for as long as a client sends: before each reply its connection is read again, and
/// what is read there must not extend the iteration.
#[test]
fn replies_to_a_client_do_not_read_on_beyond_its_bound_in_one_iteration() {
    let mut bed = TestBed::new(1);
    (1..=20).for_each(|id| bed.establish_call(id));
    let mut bytes = Vec::new();
    (1000..1000 + WAITING).for_each(|id| set_up(id, 3000).encode(&mut bytes));
    let message_bytes = bytes.len() / WAITING as usize;
    let mut stream = bed.caller.stream().try_clone().unwrap();
    let writer = std::thread::spawn(move || drop(stream.write_all(&bytes)));
    // The writer may have to wait for the system's buffers to be read.
    std::thread::sleep(std::time::Duration::from_millis(50));
    (1..=20).for_each(|id| bed.send_from_all_servers(&release(id, cause::NORMAL)));
    for _ in 0..3 {
        let before = bed.gatekeeper.open_calls();
        bed.run_iteration();
        let taken = bed.gatekeeper.open_calls() - before;
        assert!(taken <= MAX_BYTES / message_bytes + 1, "{taken} set-ups in one iteration");
        assert!(taken > 0);
    }
    drop(bed);
    writer.join().unwrap();
}
