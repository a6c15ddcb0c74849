//! Faults of single endpoints.

use linnetcart_conformance::Time;

/// A fault that makes messages of one class fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassFault {
    /// The class number.
    pub class: u8,
    /// Probability that a call fails for its messages of this class.
    pub probability: f64,
    /// Whether failing messages are left unanswered instead of being answered with an error.
    pub unanswered: bool,
}

/// The faults of an endpoint. The default is an endpoint without faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointFault {
    /// Probability that a call is answered with an error after 2 ms, whatever its service time.
    pub error_probability: f64,
    /// The endpoint accepts calls and answers none.
    pub silent: bool,
    /// The endpoint refuses connections, and resets the connection of every call.
    pub down: bool,
    /// The endpoint answers nothing, not even connection attempts.
    pub vanished: bool,
    /// Factor by which service times are multiplied; values below 1, like the default 0, count as 1.
    pub slowdown: f64,
    /// Probability that a call is executed but not answered.
    pub lost_answer_probability: f64,
    /// Makes messages of one class fail.
    pub class_fault: Option<ClassFault>,
    /// Time from a connection attempt until the endpoint accepts it, in nanoseconds.
    pub accept_delay: Time,
    /// Connections that were idle for longer than this, in nanoseconds, are dropped; `None` for no timeout.
    /// The simulator only stores the timeout; its owner, which has the connections, applies it.
    pub idle_timeout: Option<Time>,
    /// Calls that would finish before this time, in nanoseconds on the clock of the run, finish at this time
    /// instead.
    pub paused_until: Time,
}
