//! The mapping between the core's connection ids and the event loop's tokens.

use crate::core::ConnectionId;
use linnetcart_net::Token;
use std::collections::BTreeMap;

/// The connections to endpoints and to discovery, by the core's ids and by the event loop's tokens.
#[derive(Debug, Default)]
pub struct UpstreamTokens {
    tokens: BTreeMap<ConnectionId, Token>,
    ids: BTreeMap<Token, ConnectionId>,
}

impl UpstreamTokens {
    /// Adds a connection.
    pub fn insert(&mut self, id: ConnectionId, token: Token) {
        self.tokens.insert(id, token);
        self.ids.insert(token, id);
    }

    /// Returns the id of a connection, or `None` if the token is not that of an upstream connection.
    pub fn id(&self, token: Token) -> Option<ConnectionId> {
        self.ids.get(&token).copied()
    }

    /// Returns the token of a connection, or `None` if the connection is not open.
    pub fn token(&self, id: ConnectionId) -> Option<Token> {
        self.tokens.get(&id).copied()
    }

    /// Removes a connection by its id and returns its token.
    pub fn remove_id(&mut self, id: ConnectionId) -> Option<Token> {
        let token = self.tokens.remove(&id)?;
        self.ids.remove(&token);
        Some(token)
    }

    /// Removes a connection by its token; does nothing if the token is not that of an upstream connection.
    pub fn remove_token(&mut self, token: Token) {
        if let Some(id) = self.ids.remove(&token) {
            self.tokens.remove(&id);
        }
    }
}
