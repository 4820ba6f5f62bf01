//! Validates a configuration whose text could be parsed, and reports every problem.

mod problem;
mod relations;
mod required;
mod value;

use super::keys::keys_of;
use super::locate::{join_path, locate, Location};
use super::suggest::nearest_path;
use crate::config::error::Diagnostic;
use crate::config::file::{ConfigFormat, ConfigItem, ConfigValue};
use problem::Problem;
use std::collections::HashSet;
use value::check_value;

/// Returns every problem of a configuration, ordered by line; problems without a line come first.
pub(in crate::config) fn validate(format: ConfigFormat, root: &ConfigItem) -> Vec<Diagnostic> {
    let mut validator = Validator {
        format,
        root,
        diagnostics: Vec::new(),
    };
    validator.check_table(root, &ItemPath::default());
    if matches!(root.value, ConfigValue::Table(_)) {
        validator.check_required();
        validator.check_relations();
    }
    validator
        .diagnostics
        .sort_by_key(|diagnostic| diagnostic.line);
    validator.diagnostics
}

/// A configuration under validation, with the diagnostics so far.
struct Validator<'a> {
    format: ConfigFormat,
    root: &'a ConfigItem,
    diagnostics: Vec<Diagnostic>,
}

/// The path of an item in two notations, both empty for the root.
#[derive(Default)]
struct ItemPath {
    /// With `[]` for each list, as in the paths of keys: `classes[].name`.
    pattern: String,
    /// With an index for each list, as in diagnostics: `classes[1].name`.
    indexed: String,
}

impl ItemPath {
    /// Returns the path of an entry of the table at this path.
    fn entry(&self, name: &str) -> ItemPath {
        ItemPath {
            pattern: join_path(&self.pattern, name),
            indexed: join_path(&self.indexed, name),
        }
    }

    /// Returns the path of an element of the list at this path.
    fn element(&self, index: usize) -> ItemPath {
        ItemPath {
            pattern: format!("{}[]", self.pattern),
            indexed: format!("{}[{index}]", self.indexed),
        }
    }
}

impl<'a> Validator<'a> {
    fn report(&mut self, line: Option<usize>, path: &str, problem: Problem) {
        self.diagnostics.push(Diagnostic {
            line,
            path: path.to_owned(),
            message: problem.to_string(),
        });
    }

    /// Checks every entry of a table.
    fn check_table(&mut self, table: &ConfigItem, path: &ItemPath) {
        let ConfigValue::Table(entries) = &table.value else {
            return self.report(Some(table.line), &path.indexed, Problem::NotTable);
        };
        let mut names = HashSet::new();
        for (name, item) in entries {
            let path = path.entry(name);
            if names.insert(name) {
                self.check_entry(item, &path);
            } else {
                self.report(Some(item.line), &path.indexed, Problem::Duplicate);
            }
        }
    }

    fn check_entry(&mut self, item: &ConfigItem, path: &ItemPath) {
        let format = self.format;
        let table_prefix = format!("{}.", path.pattern);
        let list_prefix = format!("{}[]", path.pattern);
        let is_key_prefix =
            |prefix: &str| keys_of(format).any(|key| key.path(format).starts_with(prefix));
        if let Some(key) = keys_of(format).find(|key| key.path(format) == path.pattern) {
            if let Err(problem) = check_value(format, key, item) {
                self.report(Some(item.line), &path.indexed, problem);
            }
        } else if is_key_prefix(&table_prefix) {
            self.check_table(item, path);
        } else if is_key_prefix(&list_prefix) {
            self.check_list(item, path);
        } else if format == ConfigFormat::Toml {
            // The platform's JSON may have unknown keys: the platform may add keys that this
            // version does not know yet.
            let nearest = nearest_path(&path.pattern);
            self.report(
                Some(item.line),
                &path.indexed,
                Problem::UnknownKey { nearest },
            );
        }
    }

    /// Checks every table of a list.
    fn check_list(&mut self, list: &ConfigItem, path: &ItemPath) {
        let ConfigValue::List(items) = &list.value else {
            return self.report(Some(list.line), &path.indexed, Problem::NotTableList);
        };
        for (index, item) in items.iter().enumerate() {
            self.check_table(item, &path.element(index));
        }
    }

    /// Returns every location in the configuration that the path of a key or list names.
    fn locate(&self, path: &str) -> Vec<Location<'a>> {
        locate(self.root, path)
    }
}
