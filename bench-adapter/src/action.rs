//! Encoding of the dispatcher's actions as wire records. All integers are little-endian.

use crate::codes::action;
use linnetcart::{Action, Time};

/// Size of the instance number, the first field of every action record.
const INSTANCE_BYTES: u32 = 4;

/// The code of an action record, and its encoded fields after the instance number.
struct EncodedAction {
    code: u8,
    fields: Vec<u8>,
}

impl EncodedAction {
    fn new(code: u8, fields: &[&[u8]]) -> EncodedAction {
        EncodedAction { code, fields: fields.concat() }
    }
}

/// Appends the record of an action of an instance to `out`: code, length, instance number and fields.
/// `clock` is the clock time of the batch, in nanoseconds.
pub(crate) fn encode_action(out: &mut Vec<u8>, instance: u32, clock: Time, action: &Action) {
    let encoded = encode_fields(clock, action);
    let length = encoded.fields.len() as u32 + INSTANCE_BYTES;
    out.push(encoded.code);
    out.extend(length.to_le_bytes());
    out.extend(instance.to_le_bytes());
    out.extend(encoded.fields);
}

fn encode_fields(clock: Time, action: &Action) -> EncodedAction {
    match action {
        Action::Send { message, endpoint, until } => EncodedAction::new(
            action::SEND,
            &[&message.to_le_bytes(), &until.to_le_bytes(), &endpoint.to_le_bytes()],
        ),
        Action::Cancel { message, attempt } => {
            EncodedAction::new(action::CANCEL, &[&message.to_le_bytes(), &attempt.to_le_bytes()])
        }
        Action::Reject { message, retry_after } => {
            EncodedAction::new(action::REJECT, &[&message.to_le_bytes(), &retry_after.to_le_bytes()])
        }
        Action::Fail { message } => EncodedAction::new(action::FAIL, &[&message.to_le_bytes()]),
        Action::HealthCheck { endpoint } => {
            EncodedAction::new(action::HEALTH_CHECK, &[&endpoint.to_le_bytes()])
        }
        Action::Gossip { to, body } => {
            let to = to.unwrap_or(action::ALL_INSTANCES);
            let length = body.len() as u16;
            EncodedAction::new(action::GOSSIP, &[&to.to_le_bytes(), &length.to_le_bytes(), body])
        }
        Action::CloseIdle { endpoint } => EncodedAction::new(action::CLOSE_IDLE, &[&endpoint.to_le_bytes()]),
        Action::WatchEndpoints => EncodedAction::new(action::WATCH_ENDPOINTS, &[&[action::WATCH_ON]]),
        Action::WakeUp { at } => {
            let delay = at.saturating_sub(clock);
            EncodedAction::new(action::SET_TIMER, &[&delay.to_le_bytes(), &at.to_le_bytes()])
        }
        Action::LimitChanged(change) => encode_remark(&change.to_string()),
    }
}

/// Encodes a line of text for the bench's report, truncated at a character boundary to 65 535 bytes, the most
/// that its 16-bit length field can express.
fn encode_remark(text: &str) -> EncodedAction {
    let mut end = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    let length = end as u16;
    EncodedAction::new(action::REMARK, &[&length.to_le_bytes(), &text.as_bytes()[..end]])
}

#[cfg(test)]
mod tests;
