//! Carries out the outputs of the core on the sockets.

use super::{Role, Shell};
use crate::core::{Output, UpstreamId};
use std::collections::BTreeSet;

impl Shell {
    /// Carries out the outputs of the core until there are none left. Writing to a client may cause further
    /// ones: a client whose backlog is written is read again.
    pub(super) fn carry_out(&mut self) {
        loop {
            let Some(core) = &mut self.program.core else { return };
            let outputs = core.outputs();
            if outputs.is_empty() {
                return;
            }
            let mut written_to = BTreeSet::new();
            for output in outputs {
                if let Output::ToUpstream(upstream, _) = output {
                    written_to.insert(upstream);
                }
                self.carry_out_one(output);
            }
            self.flush();
            self.take_back_unwritten(&written_to);
        }
    }

    /// Removes the calls of which the system has accepted no byte from the send queues; they are decided anew. Left
    /// there, they would be sent although their messages may have ended.
    fn take_back_unwritten(&mut self, written_to: &BTreeSet<UpstreamId>) {
        let Some(core) = &mut self.program.core else { return };
        for &upstream in written_to {
            let Some(&token) = self.upstream_tokens.get(&upstream) else { continue };
            if self.net.unsent_bytes(token) == 0 {
                continue;
            }
            let length = core.take_back_unwritten(upstream, self.net.written_bytes(token));
            if length > 0 && !self.net.take_back(token, length) {
                tracing::error!(upstream, length, "send queue is shorter than the calls in it");
            }
        }
    }

    fn carry_out_one(&mut self, output: Output) {
        match output {
            Output::ToClient(token, bytes) => self.net.send(token, &bytes),
            Output::CloseClient(token) => {
                // The client may still be sending; a reset would take its last responses with it.
                self.net.close_lingering(token);
                self.roles.remove(&token);
            }
            Output::AbortClient(token) => {
                self.net.reset(token);
                self.roles.remove(&token);
            }
            Output::PauseClient(token) => self.net.pause_reads(token),
            Output::ResumeClient(token) => self.net.resume_reads(token),
            Output::Connect(upstream, address) => {
                let token = self.net.connect(address);
                self.roles.insert(token, Role::Upstream(upstream));
                self.upstream_tokens.insert(upstream, token);
            }
            Output::ToUpstream(upstream, bytes) => {
                if let Some(&token) = self.upstream_tokens.get(&upstream) {
                    self.net.send(token, &bytes);
                }
            }
            Output::CloseUpstream(upstream) => {
                if let Some(token) = self.upstream_tokens.remove(&upstream) {
                    self.net.close(token);
                    self.roles.remove(&token);
                }
            }
        }
    }

    /// Writes queued bytes, and reports the backlog of each client to the core: the bytes for it that the
    /// operating system has not accepted.
    fn flush(&mut self) {
        for token in self.net.flush() {
            if !matches!(self.roles.get(&token), Some(Role::Client)) {
                continue;
            }
            if let Some(core) = &mut self.program.core {
                core.set_client_backlog(token, self.net.unsent_bytes(token));
            }
        }
    }
}
