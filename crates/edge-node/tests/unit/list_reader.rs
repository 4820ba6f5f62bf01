//! Tests of the incremental reader of a watch.

use super::*;
use crate::endpoint_list::EndpointEntries;

const ENTRY: &str = r#"{"host":"s-1 {\"}","dial":"127.0.0.1:1","site":"a","health":"draining"}"#;

fn entry() -> EndpointEntry {
    serde_json::from_str(ENTRY).expect("an entry")
}

fn list(hosts: &[&str]) -> String {
    format!(r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#, hosts.join(","))
}

fn snapshot(readable: Vec<EndpointEntry>, has_malformed: bool) -> WatchMessage {
    let entries = EndpointEntries {
        readable,
        has_malformed,
    };
    WatchMessage::List(EndpointList {
        sequence: 7,
        is_snapshot: true,
        entries,
    })
}

#[test]
fn a_list_may_be_written_on_one_line_or_many_and_arrive_in_any_pieces() {
    let plain = list(&[ENTRY, ENTRY]);
    let value: serde_json::Value = serde_json::from_str(&plain).expect("it is JSON");
    let indented = serde_json::to_string_pretty(&value).expect("it is written");
    for text in [plain, indented] {
        let text = format!("{text}\n\r\n\n");
        for size in [1, 2, 3, 7, 64, text.len()] {
            let mut reader = ListReader::default();
            let all: Vec<_> = text
                .as_bytes()
                .chunks(size)
                .flat_map(|part| reader.read(part))
                .collect();
            let heartbeats = [
                WatchMessage::Heartbeat,
                WatchMessage::Heartbeat,
                WatchMessage::Heartbeat,
            ];
            assert_eq!(all[0], snapshot(vec![entry(), entry()], false), "by {size}");
            assert_eq!(all[1..], heartbeats, "by {size}");
            assert!(!reader.has_partial_message());
        }
    }
}

#[test]
fn entries_that_can_be_read_count() {
    let no_health = ENTRY.replace("draining", "odd");
    let malformed_rest = r#"{"host":"s-1 {\"}","dial":"nowhere","site":4,"block":-1,"share":"x","born_ms":[],"health":"draining"}"#;
    let ready = ENTRY
        .replace("draining", "ready")
        .replace("127.0.0.1:1", "nowhere");
    let read = |text: &str| ListReader::default().read(text.as_bytes());
    let draining = EndpointEntry {
        address: None,
        zone: String::new(),
        ..entry()
    };
    assert_eq!(
        read(&list(&[&no_health, ENTRY])),
        [snapshot(vec![entry()], true)]
    );
    assert_eq!(
        read(&list(&[malformed_rest])),
        [snapshot(vec![draining], false)]
    );
    assert_eq!(
        read(&list(&[&ready])),
        [WatchMessage::Malformed(vec![])],
        "no entry can be read: that is not an empty list"
    );
    assert_eq!(read(&list(&[])), [snapshot(vec![], false)]);
}

#[test]
fn entries_are_read_out_of_a_malformed_list() {
    let text = list(&[ENTRY, ENTRY]);
    let mut cut = ListReader::default();
    assert_eq!(cut.read(&text.as_bytes()[..text.len() - 10]), []);
    assert!(cut.has_partial_message());
    assert_eq!(cut.discard_partial(), vec![entry()]);
    assert!(!cut.has_partial_message());
    // Noise on a line of its own, then a good list.
    let after = format!("\u{1}noise]]}}\"\n{text}\n");
    let read = ListReader::default().read(after.as_bytes());
    assert_eq!(
        read,
        [
            WatchMessage::Malformed(vec![]),
            snapshot(vec![entry(), entry()], false),
            WatchMessage::Heartbeat
        ]
    );
    let garbled = text.replace("\"seq\":7", "\"seq\":7%");
    assert_eq!(
        ListReader::default().read(garbled.as_bytes()),
        [WatchMessage::Malformed(vec![entry(), entry()])]
    );
}

#[test]
fn a_list_without_end_is_discarded_and_takes_bounded_memory() {
    let mut reader = ListReader::default();
    let endless = format!(
        "{{\"seq\":1,\"hosts\":[{}",
        format!("{ENTRY},").repeat(1000)
    );
    let mut malformed = 0;
    for _ in 0..MAX_LIST_BYTES / endless.len() + 2 {
        malformed += reader.read(endless.as_bytes()).len();
        assert!(reader.buffer.len() <= MAX_LIST_BYTES);
    }
    assert!(malformed >= 1);
}
