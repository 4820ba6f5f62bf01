//! Places that a key's path names in a configuration.

use super::*;
use crate::config::file::{parse, ConfigFormat};

const TEXT: &str =
    "[fleet]\nnumber = 0\n\n[[plans]]\nname = \"basic\"\n\n[[plans]]\nburst_units = 1\n";

/// The path, indexes and line of each place, and whether an item is there.
fn located(path: &str) -> Vec<(String, Vec<usize>, Option<usize>, bool)> {
    let root = parse(ConfigFormat::Toml, TEXT).expect("valid TOML");
    let locations = locate(&root, path).into_iter();
    locations
        .map(|found| (found.path, found.indexes, found.line, found.item.is_some()))
        .collect()
}

#[test]
fn an_entry_of_a_table_has_one_place() {
    assert_eq!(
        located("fleet.number"),
        [("fleet.number".to_owned(), vec![], Some(2), true)]
    );
}

#[test]
fn what_is_missing_has_the_line_of_the_closest_table_that_exists() {
    assert_eq!(
        located("fleet.zone"),
        [("fleet.zone".to_owned(), vec![], Some(1), false)]
    );
    assert_eq!(
        located("admin.listen"),
        [("admin.listen".to_owned(), vec![], None, false)]
    );
}

#[test]
fn a_key_of_a_list_has_a_place_in_each_item() {
    let expected = [
        ("plans[0].name".to_owned(), vec![0], Some(5), true),
        ("plans[1].name".to_owned(), vec![1], Some(7), false),
    ];
    assert_eq!(located("plans[].name"), expected);
    assert_eq!(
        located("classes[].name"),
        [],
        "a list that is missing has no items"
    );
}
