//! Numeric codes of the wire format. The first word of a comment, in code font, is the name that the bench's
//! description of the format uses. Events and actions are numbered independently, so the same number may
//! stand for one of each.

/// Codes of the records in a batch.
pub(crate) mod event {
    /// `attach`: an instance starts.
    pub(crate) const INSTANCE_STARTED: u8 = 10;
    /// `registry`: an update of an instance's endpoint list.
    pub(crate) const ENDPOINT_LIST: u8 = 20;
    /// `knock`: a message was submitted.
    pub(crate) const MESSAGE_ACCEPTED: u8 = 30;
    /// `flowing`: the answer to an attempt of a streamed class has begun.
    pub(crate) const STREAM_STARTED: u8 = 40;
    /// `done`: an attempt finished.
    pub(crate) const ATTEMPT_FINISHED: u8 = 50;
    /// `lapsed`: the client cancelled a message.
    pub(crate) const CLIENT_CANCELLED: u8 = 60;
    /// `due`: a timer expired.
    pub(crate) const TIMER_EXPIRED: u8 = 70;
    /// `checked`: a health check finished.
    pub(crate) const HEALTH_CHECKED: u8 = 80;
    /// `message`: gossip from another instance.
    pub(crate) const GOSSIP: u8 = 90;
    /// `halt`: an instance is halted without notice, and its state is dropped.
    pub(crate) const INSTANCE_HALTED: u8 = 100;
    /// `register`: a numbered list of endpoints that later events of any instance refer to.
    pub(crate) const NUMBERED_LIST: u8 = 110;
}

/// Codes of the records in a reply.
pub(crate) mod action {
    /// `remark`: a line of text for the bench's report.
    pub(crate) const REMARK: u8 = 10;
    /// `track`: watch the endpoint list.
    pub(crate) const WATCH_ENDPOINTS: u8 = 20;
    /// `undo_send`: cancel an attempt.
    pub(crate) const CANCEL: u8 = 40;
    /// `set_alarm`: set a timer.
    pub(crate) const SET_TIMER: u8 = 50;
    /// `check`: send a health check.
    pub(crate) const HEALTH_CHECK: u8 = 60;
    /// `bounce`: reject a message.
    pub(crate) const REJECT: u8 = 70;
    /// `call_out`: start an attempt.
    pub(crate) const SEND: u8 = 90;
    /// `drop_conns`: close idle connections.
    pub(crate) const CLOSE_IDLE: u8 = 100;
    /// `abort`: fail a message.
    pub(crate) const FAIL: u8 = 110;
    /// `publish`: send gossip.
    pub(crate) const GOSSIP: u8 = 120;

    /// Value of the field in `track` that starts the watch.
    pub(crate) const WATCH_ON: u8 = 1;
    /// Recipient in `publish` that stands for all other instances.
    pub(crate) const ALL_INSTANCES: u32 = u32::MAX;
}

/// Kinds of an [`event::ENDPOINT_LIST`] record.
pub(crate) mod list_event {
    /// `delta`: the changed entries only.
    pub(crate) const CHANGES: u8 = 0;
    /// `full`: the complete list.
    pub(crate) const COMPLETE: u8 = 1;
    /// `cached`: the complete list that the instance had last.
    pub(crate) const CACHED: u8 = 2;
    /// `failed`: the endpoint list cannot be read; the instance keeps the list that it had last.
    pub(crate) const FAILED: u8 = 3;
}

/// Codes for the status of an endpoint in a numbered list, which the wire format calls its phase.
pub(crate) mod phase {
    pub(crate) const READY: u8 = 1;
    pub(crate) const REMOVED: u8 = 2;
    pub(crate) const DRAINING: u8 = 3;
}

/// Codes for the outcome of an attempt or a health check. The record of an attempt also has a note, a 32-bit
/// number whose meaning depends on the outcome.
pub(crate) mod outcome {
    pub(crate) const SERVED: u8 = 0;
    pub(crate) const ERROR: u8 = 1;
    /// The note is the Retry-After in milliseconds, 0 for none.
    pub(crate) const REJECTED: u8 = 2;
    pub(crate) const TIMED_OUT: u8 = 3;
    pub(crate) const NO_CONNECTION: u8 = 4;
    pub(crate) const RESET: u8 = 5;
    pub(crate) const CANCELLED: u8 = 6;
    /// The note is the reason: [`NOTE_NO_CAPACITY`], or any other value for an unspecified reason.
    pub(crate) const NOT_SENT: u8 = 7;

    /// Note of an attempt that was not sent because the instance had no capacity left.
    pub(crate) const NOTE_NO_CAPACITY: u32 = 1;
    /// Note of an outcome without further information.
    pub(crate) const NO_NOTE: u32 = 0;
}
