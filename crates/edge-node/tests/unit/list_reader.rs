//! Tests the incremental parser for the body of a watch.

use super::*;
use crate::endpoint_list::EndpointEntries;

const ENTRY: &str = r#"{"host":"s-1 {\"}","dial":"127.0.0.1:1","site":"a","health":"draining"}"#;

fn entry() -> EndpointEntry {
    serde_json::from_str(ENTRY).expect("valid entry")
}

fn list_text(entries: &[&str]) -> String {
    format!(
        r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#,
        entries.join(",")
    )
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
fn list_is_read_from_one_or_more_lines_and_from_chunks_of_any_size() {
    let compact = list_text(&[ENTRY, ENTRY]);
    let value: serde_json::Value = serde_json::from_str(&compact).expect("valid JSON");
    let indented = serde_json::to_string_pretty(&value).expect("value is serializable");
    for text in [compact, indented] {
        let text = format!("{text}\n\r\n\n");
        for size in [1, 2, 3, 7, 64, text.len()] {
            let mut reader = ListReader::default();
            let messages: Vec<_> = text
                .as_bytes()
                .chunks(size)
                .flat_map(|chunk| reader.read(chunk))
                .collect();
            let heartbeats = [
                WatchMessage::Heartbeat,
                WatchMessage::Heartbeat,
                WatchMessage::Heartbeat,
            ];
            assert_eq!(
                messages[0],
                snapshot(vec![entry(), entry()], false),
                "chunks of {size} bytes"
            );
            assert_eq!(messages[1..], heartbeats, "chunks of {size} bytes");
            assert_eq!(reader.partial_bytes(), 0);
        }
    }
}

#[test]
fn list_keeps_readable_entries_and_reports_others() {
    let unknown_health = ENTRY.replace("draining", "odd");
    let malformed_optional_values = r#"{"host":"s-1 {\"}","dial":"nowhere","site":4,"block":-1,"share":"x","born_ms":[],"health":"draining"}"#;
    let ready_without_address = ENTRY
        .replace("draining", "ready")
        .replace("127.0.0.1:1", "nowhere");
    let read = |text: &str| ListReader::default().read(text.as_bytes());
    let name_and_health = EndpointEntry {
        address: None,
        zone: String::new(),
        ..entry()
    };
    assert_eq!(
        read(&list_text(&[&unknown_health, ENTRY])),
        [snapshot(vec![entry()], true)]
    );
    assert_eq!(
        read(&list_text(&[malformed_optional_values])),
        [snapshot(vec![name_and_health], false)]
    );
    assert_eq!(
        read(&list_text(&[&ready_without_address])),
        [WatchMessage::Malformed(vec![])],
        "a list of which no entry is readable is not an empty list"
    );
    assert_eq!(read(&list_text(&[])), [snapshot(vec![], false)]);
}

#[test]
fn readable_entries_of_malformed_list_are_returned() {
    let text = list_text(&[ENTRY, ENTRY]);
    let mut reader = ListReader::default();
    assert_eq!(reader.read(&text.as_bytes()[..text.len() - 10]), []);
    assert!(reader.partial_bytes() > 0);
    assert_eq!(reader.partial_entries(), vec![entry()]);
    // The rest may still arrive.
    let rest = &text.as_bytes()[text.len() - 10..];
    assert_eq!(reader.read(rest), [snapshot(vec![entry(), entry()], false)]);
    assert_eq!(reader.partial_bytes(), 0);
    // A line of unreadable text, then a valid list.
    let noise_and_list = format!("\u{1}noise]]}}\"\n{text}\n");
    let messages = ListReader::default().read(noise_and_list.as_bytes());
    assert_eq!(
        messages,
        [
            WatchMessage::Malformed(vec![]),
            snapshot(vec![entry(), entry()], false),
            WatchMessage::Heartbeat
        ]
    );
    let invalid_json = text.replace("\"seq\":7", "\"seq\":7%");
    assert_eq!(
        ListReader::default().read(invalid_json.as_bytes()),
        [WatchMessage::Malformed(vec![entry(), entry()])]
    );
}

#[test]
fn endless_list_is_discarded_within_memory_limit() {
    let mut reader = ListReader::default();
    let endless_part = format!(
        "{{\"seq\":1,\"hosts\":[{}",
        format!("{ENTRY},").repeat(1000)
    );
    let mut discarded = 0;
    for _ in 0..MAX_LIST_BYTES / endless_part.len() + 2 {
        discarded += reader.read(endless_part.as_bytes()).len();
        assert!(reader.buffer.len() <= MAX_LIST_BYTES);
    }
    assert!(discarded >= 1);
}
