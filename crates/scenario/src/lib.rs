//! Scripted days without their wires.
//!
//! A [`day`] is a script; a [`fleet`] is drawn from it and a seed; the [`stage`] plays everything of it that is
//! no courier: clients, destinations, whoever tells the list, and the troubles. It holds no socket and no
//! clock, so the same text stands around real couriers on sockets and around emulated ones in virtual time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod day;
pub mod fleet;
pub mod stage;
