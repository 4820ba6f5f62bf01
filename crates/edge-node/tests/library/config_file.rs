//! Format detection of configuration files, and parsing into items with line numbers.

use edge_node::config::file::{parse, ConfigFormat, ConfigValue};
use std::path::Path;

#[test]
fn format_is_detected_by_extension_or_first_character() {
    let detect = |path: &str, text: &str| ConfigFormat::detect(Path::new(path), text);
    assert_eq!(detect("node.toml", "{}"), ConfigFormat::Toml);
    assert_eq!(detect("node.json", "a = 1"), ConfigFormat::PlatformJson);
    assert_eq!(detect("node.conf", "\n  {}"), ConfigFormat::PlatformJson);
    assert_eq!(detect("node", "a = 1"), ConfigFormat::Toml);
    assert_eq!(detect("node", ""), ConfigFormat::Toml);
}

#[test]
fn toml_and_json_are_parsed_to_equal_items_with_lines() {
    let toml =
        parse(ConfigFormat::Toml, "a = 1\nb = [1.5,\n true]\nc = \"x\"").expect("valid TOML");
    let json = parse(
        ConfigFormat::PlatformJson,
        "{\"a\": 1,\n\"b\": [1.5,\n true],\n\"c\": \"x\"}",
    );
    let json = json.expect("valid JSON");
    assert_eq!(toml, json);
    let lines: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|name| toml.get(name).map(|item| item.line))
        .collect();
    assert_eq!(lines, [Some(1), Some(2), Some(4)]);
}

#[test]
fn json_parser_keeps_duplicate_names_and_null() {
    let root = parse(ConfigFormat::PlatformJson, "{\"a\": 1, \"a\": null}").expect("valid JSON");
    let ConfigValue::Table(entries) = &root.value else {
        panic!("root must be a table: {root:?}")
    };
    assert_eq!(entries.len(), 2);
    assert_eq!(entries[1].1.value, ConfigValue::Null);
}

#[test]
fn toml_numbers_keep_their_type_and_dates_are_unsupported() {
    let root = parse(
        ConfigFormat::Toml,
        "a = 1_000\nb = 0x10\nc = 1e3\nd = 1979-05-27",
    )
    .expect("valid TOML");
    let value = |name: &str| root.get(name).map(|item| &item.value);
    assert_eq!(value("a"), Some(&ConfigValue::Integer(1_000)));
    assert_eq!(value("b"), Some(&ConfigValue::Integer(16)));
    assert_eq!(value("c"), Some(&ConfigValue::Float(1_000.0)));
    assert_eq!(value("d"), Some(&ConfigValue::Unsupported));
}
