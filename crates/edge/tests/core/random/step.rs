//! The random steps of the property test, and how they are generated.

use proptest::prelude::*;
use proptest::sample::Index;

/// One input for the core. Small numbers select a client, class or endpoint; an [`Index`] selects a call or
/// connection.
#[derive(Clone, Debug)]
pub enum Step {
    Send(SendStep),
    /// Responds to a call.
    Reply {
        call: Index,
        code: u8,
        retry_after_ms: u16,
    },
    /// Closes a connection after the operating system has accepted none of the written bytes (`read` 0), all
    /// but one (1) or all of them (2).
    Disconnect {
        connection: Index,
        read: u8,
    },
    /// Establishes a requested connection.
    Connect(Index),
    /// Fails a requested connection.
    FailConnect(Index),
    /// Answers the version request on a connection.
    Negotiate(Index),
    /// Sends a response with an unknown correlation id, which violates the protocol.
    Garbage(Index),
    DisconnectClient(u8),
    HalfCloseClient(u8),
    AdvanceMs(u16),
    ChangeList {
        endpoint: u8,
        state: u8,
    },
}

/// A Produce request of a client.
#[derive(Clone, Copy, Debug)]
pub struct SendStep {
    pub client: u8,
    pub class: u8,
    pub destination: u8,
    /// The number of the ordering key, 0 for none. Only the ordered class uses it.
    pub key: u8,
    pub time_left_ms: u16,
    pub record_count: u8,
}

/// Generates a step. The weights favour steps by which calls are sent and answered.
pub fn step() -> impl Strategy<Value = Step> {
    let call = any::<Index>();
    prop_oneof![
        6 => send_step().prop_map(Step::Send),
        8 => (call, 0u8..4, 0u16..900)
            .prop_map(|(call, code, retry_after_ms)| Step::Reply { call, code, retry_after_ms }),
        2 => (any::<Index>(), 0u8..3).prop_map(|(connection, read)| Step::Disconnect { connection, read }),
        8 => any::<Index>().prop_map(Step::Connect),
        1 => any::<Index>().prop_map(Step::FailConnect),
        8 => any::<Index>().prop_map(Step::Negotiate),
        1 => any::<Index>().prop_map(Step::Garbage),
        1 => (0u8..3).prop_map(Step::DisconnectClient),
        1 => (0u8..3).prop_map(Step::HalfCloseClient),
        8 => (1u16..600).prop_map(Step::AdvanceMs),
        1 => (0u8..4, 0u8..3).prop_map(|(endpoint, state)| Step::ChangeList { endpoint, state }),
    ]
}

fn send_step() -> impl Strategy<Value = SendStep> {
    (0u8..3, 0u8..3, 0u8..3, 0u8..3, 50u16..4000, 1u8..4).prop_map(
        |(client, class, destination_index, key, time_left_ms, record_count)| SendStep {
            client,
            class,
            destination: destination_index + 1,
            key,
            time_left_ms,
            record_count,
        },
    )
}
