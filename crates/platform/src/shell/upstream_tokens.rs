//! The mapping between the core's connection ids and the event loop's tokens.

use crate::core::ConnectionId;
use linnetcart_net::Token;
use std::collections::BTreeMap;

/// Connections to endpoints and discovery under the core's ids and the event loop's tokens.
#[derive(Debug, Default)]
pub struct UpstreamTokens {
    tokens: BTreeMap<ConnectionId, Token>,
    ids: BTreeMap<Token, ConnectionId>,
}

impl UpstreamTokens {
    pub fn insert(&mut self, id: ConnectionId, token: Token) {
        self.tokens.insert(id, token);
        self.ids.insert(token, id);
    }

    pub fn id(&self, token: Token) -> Option<ConnectionId> {
        self.ids.get(&token).copied()
    }

    pub fn token(&self, id: ConnectionId) -> Option<Token> {
        self.tokens.get(&id).copied()
    }

    pub fn remove_id(&mut self, id: ConnectionId) -> Option<Token> {
        let token = self.tokens.remove(&id)?;
        self.ids.remove(&token);
        Some(token)
    }

    pub fn remove_token(&mut self, token: Token) {
        if let Some(id) = self.ids.remove(&token) {
            self.tokens.remove(&id);
        }
    }
}
