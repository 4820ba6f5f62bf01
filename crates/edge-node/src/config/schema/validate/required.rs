//! Finds required keys and lists that are missing.

use super::problem::Problem;
use super::Validator;
use crate::config::file::ConfigValue;
use crate::config::schema::keys::{keys_of, REQUIRED_LISTS};
use crate::config::schema::locate::Location;

impl Validator<'_> {
    /// Reports what a configuration of this format can't leave out.
    pub(super) fn check_required(&mut self) {
        let format = self.format;
        for key in keys_of(format).filter(|key| key.is_required(format)) {
            for location in self.locate(key.path(format)) {
                if location.item.is_none() {
                    self.report(location.line, &location.path, Problem::Missing);
                }
            }
        }
        for list in REQUIRED_LISTS {
            for location in self.locate(list.path(format)) {
                self.check_required_list(&location);
            }
        }
    }

    fn check_required_list(&mut self, location: &Location<'_>) {
        let problem = match location.item.map(|item| &item.value) {
            None => Problem::Missing,
            Some(ConfigValue::List(items)) if items.is_empty() => Problem::EmptyList,
            // What is no list was reported where its type was checked.
            Some(_) => return,
        };
        self.report(location.line, &location.path, problem);
    }
}
