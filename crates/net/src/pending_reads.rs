//! The sockets to read from, in the order in which they became ready.
//!
//! This module never reads.

use crate::Token;
use std::collections::BTreeSet;

/// A set of sockets that keeps the order of insertion.
#[derive(Debug, Default)]
pub(crate) struct PendingReads {
    /// Every member in the order of insertion. A removed socket stays here until the next [`PendingReads::take`].
    order: Vec<Token>,
    members: BTreeSet<Token>,
}

impl PendingReads {
    /// Adds a socket behind the others, unless it is a member already.
    pub(crate) fn insert(&mut self, token: Token) {
        if self.members.insert(token) {
            self.order.push(token);
        }
    }

    /// Removes a socket that is closed. Tokens are not used again.
    pub(crate) fn remove(&mut self, token: Token) {
        self.members.remove(&token);
    }

    /// Iterates over the members, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Token> + '_ {
        self.members.iter().copied()
    }

    /// Takes all members in the order of insertion.
    pub(crate) fn take(&mut self) -> Vec<Token> {
        let mut order = std::mem::take(&mut self.order);
        order.retain(|token| self.members.remove(token));
        order
    }
}
