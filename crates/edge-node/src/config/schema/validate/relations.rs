//! Checks the constraints that involve more than one key.

use super::problem::Problem;
use super::Validator;
use crate::config::file::{ConfigFormat, ConfigItem, ConfigValue};
use crate::config::schema::keys::{all_keys, CLASS_LIST, REQUIRED_LISTS};
use crate::config::schema::locate::Location;
use crate::config::schema::spec::ListPaths;
use std::collections::HashSet;

/// Name, in both formats, of the class key that says whether a request may be repeated.
const REPEAT_KEY: &str = "repeat";
/// Value of [`REPEAT_KEY`], in both formats, for requests with an idempotency key.
const REPEAT_WITH_IDEMPOTENCY_KEY: &str = "idempotency_key";

impl<'a> Validator<'a> {
    /// Reports every violation of a constraint that involves more than one key. Unique names and
    /// the number of peer addresses are required in operators' TOML only.
    pub(super) fn check_relations(&mut self) {
        self.check_gateway_number();
        self.check_zone();
        self.check_idempotency_scopes();
        if self.format == ConfigFormat::Toml {
            for list in REQUIRED_LISTS {
                self.check_unique_names(list);
            }
            self.check_peer_addresses();
        }
    }

    /// Checks that the number of this edge node is less than the number of edge nodes.
    fn check_gateway_number(&mut self) {
        let Some(gateways) = self.gateway_count() else {
            return;
        };
        let Some(location) = self.locate_key("fleet.number") else {
            return;
        };
        let number = location.item.and_then(ConfigItem::as_integer);
        if number.is_some_and(|number| number >= gateways) {
            self.report(
                location.line,
                &location.path,
                Problem::GatewayNumberOutOfRange { gateways },
            );
        }
    }

    /// Checks that the list of zones contains the zone of this edge node, unless the list is empty
    /// or missing. If there is a list, a missing zone is reported, too.
    fn check_zone(&mut self) {
        let zones = self
            .locate_key("fleet.zones")
            .and_then(|location| location.item);
        let zones = zones.map(ConfigItem::strings).unwrap_or_default();
        let Some(location) = self.locate_key("fleet.zone") else {
            return;
        };
        let zone = location.item.and_then(ConfigItem::as_str);
        if !zones.is_empty() && !zone.is_some_and(|zone| zones.contains(&zone)) {
            let choices = zones.into_iter().map(str::to_owned).collect();
            self.report(location.line, &location.path, Problem::NotOneOf { choices });
        }
    }

    /// Checks that each keyed class has a deduplication scope.
    fn check_idempotency_scopes(&mut self) {
        let scope_key = match self.format {
            ConfigFormat::Toml => "idempotency_scope",
            ConfigFormat::PlatformJson => "group",
        };
        for (index, class) in self.list_items(CLASS_LIST).into_iter().enumerate() {
            let is_keyed = class.get(REPEAT_KEY).and_then(ConfigItem::as_str)
                == Some(REPEAT_WITH_IDEMPOTENCY_KEY);
            let has_scope = class
                .get(scope_key)
                .is_some_and(|item| !matches!(item.value, ConfigValue::Null));
            if is_keyed && !has_scope {
                let path = format!("{}[{index}].{scope_key}", CLASS_LIST.path(self.format));
                self.report(Some(class.line), &path, Problem::MissingScope);
            }
        }
    }

    /// Checks that the names of a list's items are unique.
    fn check_unique_names(&mut self, list: ListPaths) {
        let mut names = HashSet::new();
        for (index, item) in self.list_items(list).into_iter().enumerate() {
            let Some(name_item) = item.get("name") else {
                continue;
            };
            let Some(name) = name_item.as_str() else {
                continue;
            };
            if !names.insert(name) {
                let path = format!("{}[{index}].name", list.path(self.format));
                self.report(
                    Some(name_item.line),
                    &path,
                    Problem::DuplicateName {
                        name: name.to_owned(),
                    },
                );
            }
        }
    }

    /// Checks that `peers.addresses` has one address for each edge node if `peers.listen` is set.
    fn check_peer_addresses(&mut self) {
        let listens = self
            .locate_key("peers.listen")
            .is_some_and(|location| location.item.is_some());
        if !listens {
            return;
        }
        let Some(gateways) = self.gateway_count() else {
            return;
        };
        let Some(location) = self.locate_key("peers.addresses") else {
            return;
        };
        let addresses = location.item.map_or(0, |item| item.strings().len());
        if addresses as i128 != gateways {
            self.report(
                location.line,
                &location.path,
                Problem::WrongAddressCount {
                    addresses,
                    gateways,
                },
            );
        }
    }

    /// Returns the number of edge nodes; `None` if it is missing or not an integer.
    fn gateway_count(&self) -> Option<i128> {
        self.locate_key("fleet.gateways")?.item?.as_integer()
    }

    /// Returns the location of the key that has this path in operators' TOML. The key must not be
    /// within a list.
    fn locate_key(&self, toml_path: &str) -> Option<Location<'a>> {
        let key = all_keys().find(|key| key.toml_path == toml_path)?;
        self.locate(key.path(self.format)).into_iter().next()
    }

    /// Returns the items of the list at these paths; empty if there is no list.
    fn list_items(&self, list: ListPaths) -> Vec<&'a ConfigItem> {
        let location = self.locate(list.path(self.format)).into_iter().next();
        match location
            .and_then(|location| location.item)
            .map(|item| &item.value)
        {
            Some(ConfigValue::List(items)) => items.iter().collect(),
            _ => Vec::new(),
        }
    }
}
