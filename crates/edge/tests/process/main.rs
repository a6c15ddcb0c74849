//! Tests of the real program on the platform's protocol: started, killed, restarted, stopped and
//! reconfigured.
//!
//! [`courier`] runs the program in a directory of its own. [`stubs`] are discovery and endpoints that respond
//! by themselves. [`peer`] are connections that do only what the test has them do.
//!
//! Many tests force an order of events that a race would bring about rarely. No test depends on how fast a
//! process is: a peer acts when the test says so, and input that one iteration of the event loop must read
//! together is sent while the process is stopped. A response that a peer has sent may still be unread by the
//! courier; a test that needs it read calls [`courier::CourierProcess::settle`] first.

mod courier;
mod peer;
mod stubs;

mod configuration;
mod connections;
mod faults;
mod lifecycle;
mod message_log;
mod requests;
mod restart;
