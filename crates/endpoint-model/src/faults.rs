//! Faults of single endpoints.

use linnetcart_conformance::Time;

/// One class of message fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassFault {
    /// The class.
    pub class: u8,
    /// Share of its messages that fail.
    pub probability: f64,
    /// They are left unanswered instead of being answered with an error.
    pub unanswered: bool,
}

/// The faults of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointFault {
    /// Share of calls that fail quickly.
    pub error_probability: f64,
    /// Takes calls and answers none.
    pub silent: bool,
    /// Accepts no connections and breaks those it has.
    pub down: bool,
    /// Answers nothing at all, not even connections.
    pub vanished: bool,
    /// Service times grow by this factor; less than 1 counts as 1.
    pub slowdown: f64,
    /// Share of calls that are carried out and not answered.
    pub lost_answer_probability: f64,
    /// One class of message fails.
    pub class_fault: Option<ClassFault>,
    /// A connection takes this long to be accepted.
    pub accept_delay: Time,
    /// Connections idle for longer are dropped without a word.
    pub idle_timeout: Option<Time>,
    /// Everything stands still until then.
    pub paused_until: Time,
}
