//! Checks that required keys and lists are present.

use super::problem::Problem;
use super::Validator;
use crate::config::file::ConfigValue;
use crate::config::schema::keys::{keys_of, REQUIRED_LISTS};
use crate::config::schema::locate::Location;

impl Validator<'_> {
    /// Reports the missing keys and the missing or empty lists that this format requires.
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
            // `check_list` has already reported an item that is not a list.
            Some(_) => return,
        };
        self.report(location.line, &location.path, problem);
    }
}
