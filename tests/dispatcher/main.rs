//! Tests of the dispatcher through its interface, one file per concern.

mod admission;
mod dispatch;
mod endpoint_list;
mod health;
mod hedging;
mod invariants;
mod local_faults;
mod messages;
mod policy_size;
mod rate;
mod route_sharing;
mod send_check;
mod support;
mod world;
