//! Reading from a connection, and the events that report its input.

use super::Connections;
use crate::connection::ReadOutcome;
use crate::reactor::Reactor;
use crate::{Event, Token};
use bytes::Bytes;
use std::ops::ControlFlow;

impl Connections {
    /// Reads the available input, in at most [`Connections::set_reads_per_poll`] reads.
    pub(crate) fn read(&mut self, token: Token, reactor: &mut Reactor, out: &mut Vec<Event>) {
        for _ in 0..self.reads_per_poll {
            if reactor.is_batch_full() {
                break;
            }
            if self.read_once(token, reactor, out).is_break() {
                return;
            }
        }
        reactor.pending_reads.insert(token);
    }

    fn read_once(&mut self, token: Token, reactor: &mut Reactor, out: &mut Vec<Event>) -> ControlFlow<()> {
        let Some(connection) = self.open.get_mut(&token) else { return ControlFlow::Break(()) };
        if !connection.may_read() {
            return ControlFlow::Break(());
        }
        if connection.is_connecting() {
            return self.finish_connect_before_read(token, reactor, out);
        }
        let written = connection.written_bytes();
        let outcome = connection.read(&mut reactor.read_buffer);
        // The owner of a closing connection expects no more events from it.
        let is_closing = connection.is_closing();
        if !is_closing {
            out.extend(read_event(token, outcome, &reactor.read_buffer, written));
        }
        match outcome {
            ReadOutcome::Received(count) => {
                reactor.count_read(if is_closing { 0 } else { count });
                ControlFlow::Continue(())
            }
            ReadOutcome::Interrupted => ControlFlow::Continue(()),
            ReadOutcome::EndOfStream => {
                self.finish_linger(token, reactor);
                ControlFlow::Break(())
            }
            ReadOutcome::Blocked => ControlFlow::Break(()),
            ReadOutcome::Deferred => {
                self.defer(token);
                ControlFlow::Break(())
            }
            ReadOutcome::Failed => {
                self.close_lost(token, reactor);
                ControlFlow::Break(())
            }
        }
    }

    /// Checks the connection attempt first: the system also reports a failed attempt as readable.
    fn finish_connect_before_read(
        &mut self,
        token: Token,
        reactor: &mut Reactor,
        out: &mut Vec<Event>,
    ) -> ControlFlow<()> {
        self.handle_writable(token, reactor, out);
        match self.open.get(&token) {
            Some(connection) if !connection.is_connecting() => ControlFlow::Continue(()),
            _ => ControlFlow::Break(()),
        }
    }
}

/// Returns the event that reports the result of a read, if there is one. The loss of a connection is reported
/// by [`Connections::close_lost`].
fn read_event(token: Token, outcome: ReadOutcome, read_buffer: &[u8], written: u64) -> Option<Event> {
    match outcome {
        ReadOutcome::Received(count) => {
            let bytes = Bytes::copy_from_slice(&read_buffer[..count]);
            Some(Event::Data { token, bytes, written })
        }
        ReadOutcome::EndOfStream => Some(Event::HalfClosed(token)),
        ReadOutcome::Blocked | ReadOutcome::Interrupted | ReadOutcome::Deferred | ReadOutcome::Failed => None,
    }
}
