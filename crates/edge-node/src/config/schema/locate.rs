//! Finds every place in a configuration that a key's path names.

use crate::config::file::{ConfigItem, ConfigValue};

/// One name of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PathSegment<'a> {
    /// The name, without `[]`.
    pub(super) name: &'a str,
    /// Whether the path continues in each item of the list of that name.
    pub(super) is_list: bool,
}

/// Splits a path such as `classes[].name`.
pub(super) fn path_segments(path: &str) -> impl Iterator<Item = PathSegment<'_>> {
    path.split('.')
        .map(|segment| match segment.strip_suffix("[]") {
            Some(name) => PathSegment {
                name,
                is_list: true,
            },
            None => PathSegment {
                name: segment,
                is_list: false,
            },
        })
}

/// The path of an entry in the table at `parent`, which is empty for the root.
pub(super) fn join_path(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        name.to_owned()
    } else {
        format!("{parent}.{name}")
    }
}

/// A place where a key is or should be.
pub(super) struct Location<'a> {
    /// Its path, with indexes in place of `[]`.
    pub(super) path: String,
    /// The indexes in that path.
    pub(super) indexes: Vec<usize>,
    /// The line of the item, or else of the closest table around it that exists.
    pub(super) line: Option<usize>,
    /// The item, unless it is missing.
    pub(super) item: Option<&'a ConfigItem>,
}

/// Every place that a path names, also those where nothing is. A list that is missing has no items,
/// and so no places.
pub(super) fn locate<'a>(root: &'a ConfigItem, path: &str) -> Vec<Location<'a>> {
    let mut locations = vec![Location {
        path: String::new(),
        indexes: Vec::new(),
        line: None,
        item: Some(root),
    }];
    for segment in path_segments(path) {
        let steps = locations.into_iter().flat_map(|location| {
            let entry = entry_location(location, segment.name);
            if segment.is_list {
                item_locations(&entry)
            } else {
                vec![entry]
            }
        });
        locations = steps.collect();
    }
    locations
}

/// The place of an entry of a table.
fn entry_location<'a>(table: Location<'a>, name: &str) -> Location<'a> {
    let item = table.item.and_then(|item| item.get(name));
    Location {
        path: join_path(&table.path, name),
        indexes: table.indexes,
        line: item.map(|item| item.line).or(table.line),
        item,
    }
}

/// The places of all items of a list.
fn item_locations<'a>(list: &Location<'a>) -> Vec<Location<'a>> {
    let Some(ConfigValue::List(items)) = list.item.map(|item| &item.value) else {
        return Vec::new();
    };
    let location = |(index, item): (usize, &'a ConfigItem)| {
        let mut indexes = list.indexes.clone();
        indexes.push(index);
        Location {
            path: format!("{}[{index}]", list.path),
            indexes,
            line: Some(item.line),
            item: Some(item),
        }
    };
    items.iter().enumerate().map(location).collect()
}

#[cfg(test)]
#[path = "../../../tests/unit/config_locate.rs"]
mod tests;
