//! Faults of the courier's own machine, injected into the real program: failing system calls, files and
//! clocks.

mod clock;
mod event_loop;
mod journal;
mod journal_restart;
mod sockets;

use crate::courier::{submission, CourierProcess};
use linnetcart_fault_injection::Fault;

/// How long a client waits for the answer to its submission, in milliseconds.
const CLIENT_PATIENCE_MS: u64 = 400;

/// Faults that leave no way to write the journal.
const JOURNAL_UNWRITABLE: [Fault; 2] = [Fault::FileWrite, Fault::FileCreate];

fn make_journal_unwritable(courier: &CourierProcess) {
    JOURNAL_UNWRITABLE.into_iter().for_each(|fault| courier.faults.always(fault));
}

/// Returns a submission that may be delivered for this time.
fn submission_for(class: &str, id: &str, milliseconds: u64) -> String {
    submission(class, id, "").replace("-Ms: 30000", &format!("-Ms: {milliseconds}"))
}
