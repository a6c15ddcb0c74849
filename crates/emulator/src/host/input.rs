//! The inputs of a host, and how its program processes them.

use super::{Host, IterationResult};
use crate::disk::Disk;
use crate::model::LoopCosts;
use bytes::Bytes;
use linnetcart_edge::control::{ConnectionHeader, Request};
use linnetcart_edge::core::{ClientId, ConnectFailure, UpstreamId};

const STATUS_OK: u16 = 200;

/// An input that reached a host.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    ClientConnected(ClientId),
    /// Bytes arrived from a client.
    ClientReceived(ClientId, Bytes),
    /// A client disconnected.
    ClientDisconnected(ClientId),
    /// The socket's send buffer is full: this many bytes for a client wait outside it.
    ClientBacklog(ClientId, usize),
    /// A connection to an endpoint was established.
    UpstreamConnected(UpstreamId),
    /// A connection to an endpoint could not be established.
    UpstreamConnectFailed(UpstreamId),
    /// A connection to an endpoint ended.
    UpstreamDisconnected {
        /// The courier's id of the connection.
        upstream: UpstreamId,
        /// Number of bytes for the endpoint that the socket's send buffer had accepted.
        bytes_written: u64,
    },
    /// Bytes arrived from an endpoint.
    UpstreamReceived(UpstreamId, Bytes),
    /// A document was put to the control interface.
    ControlPut {
        /// The path that the document is put to: `/settings` or `/list`.
        path: &'static str,
        /// The text of the document, JSON.
        body: String,
    },
}

impl Host {
    /// Passes an input to the core, or to the program if it is a control document. A program without settings
    /// rejects its clients.
    pub(super) fn process_input(
        &mut self,
        input: Input,
        costs: &LoopCosts,
        disk: &mut Disk,
        result: &mut IterationResult,
    ) {
        if let Input::ControlPut { path, body } = input {
            let reply = self.process_control_put(path, body, disk);
            result.control_replies.push(reply);
            result.duration += costs.snapshot_write;
            return;
        }
        let Some(core) = &mut self.program.core else {
            if let Input::ClientConnected(client) = input {
                result.rejected_clients.push(client);
            }
            return;
        };
        match input {
            Input::ClientConnected(client) => core.client_connected(client),
            Input::ClientReceived(client, bytes) => core.client_received(client, &bytes),
            Input::ClientDisconnected(client) => core.client_disconnected(client),
            Input::ClientBacklog(client, bytes) => core.set_client_backlog(client, bytes),
            Input::UpstreamConnected(upstream) => core.upstream_connected(upstream),
            Input::UpstreamConnectFailed(upstream) => {
                core.upstream_connect_failed(upstream, ConnectFailure::Remote)
            }
            Input::UpstreamDisconnected { upstream, bytes_written } => {
                core.upstream_disconnected(upstream, bytes_written);
            }
            Input::UpstreamReceived(upstream, bytes) => core.upstream_received(upstream, &bytes),
            // Handled above, because it is for the program and not for the core.
            Input::ControlPut { .. } => {}
        }
    }

    /// Puts a document to the control interface. The error is the HTTP status and the text of a reply whose
    /// status is not 200.
    fn process_control_put(
        &mut self,
        path: &'static str,
        body: String,
        disk: &mut Disk,
    ) -> Result<(), String> {
        let request = Request {
            method: "PUT".into(),
            path: path.into(),
            body: body.into(),
            connection: ConnectionHeader::Close,
        };
        // Only the snapshot that this document causes may be undone by a crash, not the earlier ones.
        disk.sync();
        let reply = self.program.handle(&request, &mut |snapshot| {
            disk.save(snapshot);
            Ok(())
        });
        if reply.status == STATUS_OK {
            return Ok(());
        }
        Err(format!("{} {}", reply.status, reply.body.trim()))
    }
}
