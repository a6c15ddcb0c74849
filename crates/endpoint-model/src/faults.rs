//! Faults of single endpoints.

use linnetcart_conformance::Time;

/// A fault by which messages of one class fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassFault {
    /// The class.
    pub class: u8,
    /// The fraction of its messages that fails.
    pub probability: f64,
    /// Whether failing messages are left unanswered instead of being answered with an error.
    pub unanswered: bool,
}

/// The faults of an endpoint. The default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointFault {
    /// The fraction of calls that fails quickly.
    pub error_probability: f64,
    /// The endpoint accepts calls and answers none.
    pub silent: bool,
    /// The endpoint refuses connections and breaks existing ones.
    pub down: bool,
    /// The endpoint answers nothing, not even connection attempts.
    pub vanished: bool,
    /// Factor of the service times; values below 1 count as 1.
    pub slowdown: f64,
    /// The fraction of calls that is executed but not answered.
    pub lost_answer_probability: f64,
    /// Messages of one class fail.
    pub class_fault: Option<ClassFault>,
    /// Delay until a connection is accepted.
    pub accept_delay: Time,
    /// Connections that are idle for longer are dropped silently.
    pub idle_timeout: Option<Time>,
    /// The endpoint is paused until this time.
    pub paused_until: Time,
}
