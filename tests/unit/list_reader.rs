use super::*;
use crate::endpoint_list::Hosts;

const ENTRY: &str = r#"{"host":"s-1 {\"}","dial":"127.0.0.1:1","site":"a","health":"draining"}"#;

fn host() -> Host {
    serde_json::from_str(ENTRY).expect("an entry")
}

fn list(hosts: &[&str]) -> String {
    format!(r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#, hosts.join(","))
}

fn whole(hosts: Vec<Host>, spoilt: bool) -> Piece {
    Piece::List(List { seq: 7, whole: true, hosts: Hosts { read: hosts, spoilt } })
}

#[test]
fn a_list_may_stand_on_one_line_or_many_and_come_in_any_pieces() {
    let plain = list(&[ENTRY, ENTRY]);
    let value: serde_json::Value = serde_json::from_str(&plain).expect("it is JSON");
    let indented = serde_json::to_string_pretty(&value).expect("it is written");
    for text in [plain, indented] {
        let text = format!("{text}\n\r\n\n");
        for size in [1, 2, 3, 7, 64, text.len()] {
            let mut pieces = Pieces::default();
            let all: Vec<_> = text.as_bytes().chunks(size).flat_map(|part| pieces.feed(part)).collect();
            let life = [Piece::Life, Piece::Life, Piece::Life];
            assert_eq!(all[0], whole(vec![host(), host()], false), "by {size}");
            assert_eq!(all[1..], life, "by {size}");
            assert!(!pieces.is_within());
        }
    }
}

#[test]
fn what_can_be_read_of_a_list_counts() {
    let no_health = ENTRY.replace("draining", "odd");
    let bad_rest = r#"{"host":"s-1 {\"}","dial":"nowhere","site":4,"block":-1,"share":"x","born_ms":[],"health":"draining"}"#;
    let ready = ENTRY.replace("draining", "ready").replace("127.0.0.1:1", "nowhere");
    let read = |text: &str| Pieces::default().feed(text.as_bytes());
    let leaves = Host { dial: None, site: String::new(), ..host() };
    assert_eq!(read(&list(&[&no_health, ENTRY])), [whole(vec![host()], true)]);
    assert_eq!(read(&list(&[bad_rest])), [whole(vec![leaves], false)]);
    assert_eq!(read(&list(&[&ready])), [Piece::Spoilt(vec![])], "nobody can be read: not an empty list");
    assert_eq!(read(&list(&[])), [whole(vec![], false)]);
}

#[test]
fn out_of_a_spoilt_list_entries_are_picked() {
    let text = list(&[ENTRY, ENTRY]);
    let mut cut = Pieces::default();
    assert_eq!(cut.feed(&text.as_bytes()[..text.len() - 10]), []);
    assert!(cut.is_within());
    assert_eq!(cut.give_up(), Piece::Spoilt(vec![host()]));
    assert!(!cut.is_within());
    // Noise on a line of its own, then a good list.
    let after = format!("\u{1}noise]]}}\"\n{text}\n");
    let read = Pieces::default().feed(after.as_bytes());
    assert_eq!(read, [Piece::Spoilt(vec![]), whole(vec![host(), host()], false), Piece::Life]);
    let garbled = text.replace("\"seq\":7", "\"seq\":7%");
    assert_eq!(Pieces::default().feed(garbled.as_bytes()), [Piece::Spoilt(vec![host(), host()])]);
}

#[test]
fn a_list_without_end_is_given_up_and_takes_little_memory() {
    let mut pieces = Pieces::default();
    let endless = format!("{{\"seq\":1,\"hosts\":[{}", format!("{ENTRY},").repeat(1000));
    let mut spoilt = 0;
    for _ in 0..LIST_MOST / endless.len() + 2 {
        spoilt += pieces.feed(endless.as_bytes()).len();
        assert!(pieces.held.len() <= LIST_MOST);
    }
    assert!(spoilt >= 1);
}
