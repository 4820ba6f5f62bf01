//! Checks what several keys have to satisfy together.

use super::problem::Problem;
use super::Validator;
use crate::config::file::{ConfigFormat, ConfigItem, ConfigValue};
use crate::config::schema::keys::{all_keys, CLASS_LIST, REQUIRED_LISTS};
use crate::config::schema::locate::Location;
use crate::config::schema::spec::ListPaths;
use std::collections::HashSet;

/// The key of a class that says whether its requests may be repeated; both formats name it so.
const REPEAT_KEY: &str = "repeat";
/// Its value for requests with an idempotency key, in both formats.
const REPEAT_WITH_IDEMPOTENCY_KEY: &str = "idempotency_key";

impl<'a> Validator<'a> {
    /// Reports keys that contradict each other. Operators' files are held to more than the
    /// platform's.
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

    /// An edge node's number is below the count of edge nodes.
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

    /// The edge node's zone is one of the zones, where there are any.
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

    /// A class with idempotency keys has a scope in which they are known.
    fn check_idempotency_scopes(&mut self) {
        let scope = match self.format {
            ConfigFormat::Toml => "idempotency_scope",
            ConfigFormat::PlatformJson => "group",
        };
        for (index, class) in self.list_items(CLASS_LIST).into_iter().enumerate() {
            let has_keys = class.get(REPEAT_KEY).and_then(ConfigItem::as_str)
                == Some(REPEAT_WITH_IDEMPOTENCY_KEY);
            let has_scope = class
                .get(scope)
                .is_some_and(|item| !matches!(item.value, ConfigValue::Null));
            if has_keys && !has_scope {
                let path = format!("{}[{index}].{scope}", CLASS_LIST.path(self.format));
                self.report(Some(class.line), &path, Problem::MissingScope);
            }
        }
    }

    /// The names in a list differ.
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

    /// Where datagrams arrive, there is one address for each edge node.
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

    /// How many edge nodes there are, if that is a whole number.
    fn gateway_count(&self) -> Option<i128> {
        self.locate_key("fleet.gateways")?.item?.as_integer()
    }

    /// The place of a key outside lists, by its path in operators' files.
    fn locate_key(&self, toml_path: &str) -> Option<Location<'a>> {
        let key = all_keys().find(|key| key.toml_path == toml_path)?;
        self.locate(key.path(self.format)).into_iter().next()
    }

    /// The items of a list; none where it is missing.
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
