//! linnetcart decides for a courier of messages to outside destinations.
//!
//! One [`Courier`] stands for one sender. It is handed rounds of events with a clock time and answers
//! with actions; it does no input or output of its own and reads no clock.
//!
//! ```
//! use linnetcart::{Action, Class, Courier, Endpoint, Event, Kind, Listing, Repeat, Settings, Taken};
//!
//! let settings = Settings {
//!     couriers: 1,
//!     slots: 4,
//!     max_held: 20,
//!     max_attempts: 5,
//!     classes: vec![Class {
//!         aim: 1_000_000_000,
//!         deadline: 5_000_000_000,
//!         worth: 1.0,
//!         late_worth: 0.5,
//!         repeat: Repeat::Safe,
//!         ordered: false,
//!     }],
//!     kinds: vec![Kind { routes_apart: false, per_call: 1 }],
//!     ..Settings::default()
//! };
//! let mut courier = Courier::new(settings, 7);
//! let list = Event::List {
//!     whole: true,
//!     entries: vec![Endpoint { id: 70, destination: 3, kind: 0, zone: 0, rate: 0.0, listing: Listing::Ready }],
//! };
//! let message =
//!     Event::Taken(Taken { id: 1, destination: 3, class: 0, time_left: 5_000_000_000, key: 0, tenant: 0 });
//! let actions = courier.round(1_000, vec![list, message]);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { message: 1, endpoint: 70, .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choice;
mod interface;
mod state;

pub use choice::Courier;
pub use interface::*;
