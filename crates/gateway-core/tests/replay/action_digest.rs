//! The hand-written encoding in which the values of actions are hashed.

use fnv::FnvHasher;
use gateway_core::*;
use std::hash::Hasher;
use std::time::Duration;

/// Writes one action of a gateway into a digest: the index of the gateway, the number of the kind
/// of action, then its values in a fixed order. Strings and byte lists are preceded by their
/// length.
pub(crate) fn write_action(digest: &mut FnvHasher, gateway: usize, action: &Action) {
    digest.write(&(gateway as u64).to_le_bytes());
    match action {
        Action::SendAttempt {
            id,
            server,
            timeout,
            write_deadline,
        } => {
            write_kind_and_id(digest, 0, id);
            digest.write(&server.0.to_le_bytes());
            write_optional(digest, *timeout);
            let since_epoch = |time: Timestamp| time.duration_since(Timestamp::EPOCH);
            write_optional(digest, write_deadline.map(since_epoch));
        }
        Action::Reject { id, retry_after } => {
            write_kind_and_id(digest, 1, id);
            write_optional(digest, *retry_after);
        }
        Action::Fail { id } => {
            write_kind_and_id(digest, 2, id);
        }
        Action::CancelAttempt { id, attempt } => {
            write_kind_and_id(digest, 3, id);
            digest.write(&attempt.0.to_le_bytes());
        }
        Action::Broadcast { bytes } => {
            digest.write(&[4]);
            write_bytes(digest, bytes);
        }
        Action::SendToPeer { to, bytes } => {
            digest.write(&[5]);
            digest.write(&to.0.to_le_bytes());
            write_bytes(digest, bytes);
        }
        Action::SetTimer { after, token } => {
            digest.write(&[6]);
            digest.write(&micros(*after).to_le_bytes());
            digest.write(&token.to_le_bytes());
        }
        Action::WatchEndpoints => digest.write(&[7]),
        Action::Warn(warning) => {
            digest.write(&[8]);
            write_numbers(digest, &warning.to_string());
        }
    }
}

fn write_kind_and_id(digest: &mut FnvHasher, kind: u8, id: &RequestId) {
    digest.write(&[kind]);
    write_bytes(digest, id.0.as_bytes());
}

/// Returns a duration in microseconds, the unit that is written.
fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

fn write_bytes(digest: &mut FnvHasher, bytes: &[u8]) {
    digest.write(&(bytes.len() as u64).to_le_bytes());
    digest.write(bytes);
}

fn write_optional(digest: &mut FnvHasher, value: Option<Duration>) {
    digest.write(&[u8::from(value.is_some())]);
    digest.write(&micros(value.unwrap_or_default()).to_le_bytes());
}

/// Writes only the numbers in the text of a warning: the text may be reworded, but the reported
/// values must not change.
fn write_numbers(digest: &mut FnvHasher, text: &str) {
    let numbers = text.split(|character: char| !character.is_ascii_digit() && character != '.');
    for number in
        numbers.filter(|number| number.contains(|character: char| character.is_ascii_digit()))
    {
        write_bytes(digest, number.trim_matches('.').as_bytes());
    }
}
