//! Tests of locating the items that the path of a key names.

use super::*;
use crate::config::file::{parse, ConfigFormat};

const TEXT: &str =
    "[fleet]\nnumber = 0\n\n[[plans]]\nname = \"basic\"\n\n[[plans]]\nburst_units = 1\n";

/// Returns the path, indexes and line of each location of a path in [`TEXT`], and whether it has an
/// item.
fn locate_in_text(path: &str) -> Vec<(String, Vec<usize>, Option<usize>, bool)> {
    let root = parse(ConfigFormat::Toml, TEXT).expect("valid TOML");
    let locations = locate(&root, path).into_iter();
    locations
        .map(|found| (found.path, found.indexes, found.line, found.item.is_some()))
        .collect()
}

#[test]
fn table_entry_has_one_location() {
    assert_eq!(
        locate_in_text("fleet.number"),
        [("fleet.number".to_owned(), vec![], Some(2), true)]
    );
}

#[test]
fn missing_item_has_line_of_closest_existing_table() {
    assert_eq!(
        locate_in_text("fleet.zone"),
        [("fleet.zone".to_owned(), vec![], Some(1), false)]
    );
    assert_eq!(
        locate_in_text("admin.listen"),
        [("admin.listen".to_owned(), vec![], None, false)]
    );
}

#[test]
fn list_key_has_location_in_each_item() {
    let expected = [
        ("plans[0].name".to_owned(), vec![0], Some(5), true),
        ("plans[1].name".to_owned(), vec![1], Some(7), false),
    ];
    assert_eq!(locate_in_text("plans[].name"), expected);
    assert_eq!(
        locate_in_text("classes[].name"),
        [],
        "a missing list has no items"
    );
}
