//! Locates the items of a configuration that the path of a key names.

use crate::config::file::{ConfigItem, ConfigValue};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PathSegment<'a> {
    /// The name of the entry, without `[]`.
    pub(super) name: &'a str,
    /// Whether the entry is a list, and the path continues in each of its items.
    pub(super) is_list: bool,
}

/// Splits a path such as `classes[].name` into its segments.
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

/// Returns the path of the entry `name` of the table at the path `parent`, which is empty for the
/// root.
pub(super) fn join_path(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        name.to_owned()
    } else {
        format!("{parent}.{name}")
    }
}

/// A location in a configuration where an item is or could be.
pub(super) struct Location<'a> {
    /// Path of the location, with indexes in place of `[]`.
    pub(super) path: String,
    /// The indexes in `path`, from the outermost list.
    pub(super) indexes: Vec<usize>,
    /// Line number of the item or, if it is missing, of the closest table around it that exists;
    /// `None` if that table is the root.
    pub(super) line: Option<usize>,
    /// The item; `None` if it is missing.
    pub(super) item: Option<&'a ConfigItem>,
}

/// Returns every location that a path names, including those of missing items. A missing list has
/// no items, so a path through it has no locations.
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

fn entry_location<'a>(table: Location<'a>, name: &str) -> Location<'a> {
    let item = table.item.and_then(|item| item.get(name));
    Location {
        path: join_path(&table.path, name),
        indexes: table.indexes,
        line: item.map(|item| item.line).or(table.line),
        item,
    }
}

/// Returns the locations of all items of a list; empty if there is no list at the location.
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
