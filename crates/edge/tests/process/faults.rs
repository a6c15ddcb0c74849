//! Faults of the courier's own machine, injected into the real program: system calls and file operations that
//! fail, and a wall clock that is stepped.

mod clock;
mod event_loop;
mod journal;
mod journal_restart;
mod sockets;

use crate::courier::{submission, CourierProcess};
use linnetcart_fault_injection::Fault;

/// How long a client waits for the answer to its submission, in milliseconds. The courier must reject a
/// message before that if it cannot record it.
const CLIENT_TIMEOUT_MS: u64 = 400;

/// Faults under which the journal can be written neither to its current file nor to a new one.
const JOURNAL_UNWRITABLE: [Fault; 2] = [Fault::FileWrite, Fault::FileCreate];

fn make_journal_unwritable(courier: &CourierProcess) {
    JOURNAL_UNWRITABLE.into_iter().for_each(|fault| courier.faults.always(fault));
}

/// Returns a submission with this time to its deadline.
fn submission_for(class: &str, id: &str, milliseconds: u64) -> String {
    submission(class, id, "").replace("-Ms: 30000", &format!("-Ms: {milliseconds}"))
}
