//! Tests of the real program with the platform's protocol: it is started, killed, restarted, stopped and
//! reconfigured.
//!
//! [`courier`] runs the program in a temporary directory. [`stubs`] has discovery and endpoints that respond
//! on their own. [`peer`] has connections on which nothing happens unless the test calls for it, and [`scene`] a
//! courier with such an endpoint; [`watched_scene`] one whose discovery the test controls, too. [`crowd`] has hundreds of clients at once.
//!
//! Many tests force an order of events that a race would produce only rarely. No test depends on how fast a
//! process is: peers act only when the test calls them, and input that one iteration of the event loop must
//! read together is sent while the process is stopped (SIGSTOP). A response that a peer has sent may still be
//! unread by the courier; a test that needs it to be read calls
//! [`courier::CourierProcess::wait_until_input_processed`] first.

mod courier;
mod crowd;
mod peer;
mod scene;
mod stubs;
mod watched_scene;

mod configuration;
mod connections;
mod contested_ids;
mod crowded_clients;
mod extreme_values;
mod faults;
mod invalid_clients;
mod lifecycle;
mod memory_limit;
mod message_end;
mod message_log;
mod repeated_discovery_responses;
mod repeated_responses;
mod reported_timeline;
mod requests;
mod restart;
mod slow_discovery;
mod stalled_log;
mod successor_at_address;
mod waiting_attempts;
