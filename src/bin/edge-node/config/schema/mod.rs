//! Every key of a configuration: how people and the platform name it, its unit, its range and what it is without.
//! The reading of people's files, `check`, `keys` and what SIGHUP says all go by this one table.

use super::file::{Fault, Form, Item, Kind};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a key takes.
#[derive(Clone, Copy, Debug)]
enum Takes {
    Text,
    Texts,
    Address,
    Addresses,
    Flag,
    /// A whole number within these.
    Count(u64, u64),
    /// A number within these.
    Figure(f64, f64),
    /// Milliseconds within these, parts of one allowed; the platform counts whole microseconds.
    Millis(f64, f64),
    /// One of these words, as people and as the platform write them.
    Choice(&'static [(&'static str, &'static str)]),
}

/// What people's files get who leave a key out.
#[derive(Clone, Copy, Debug)]
enum Default {
    Required,
    Count(u64),
    Figure(f64),
    Millis(f64),
    Flag(bool),
    /// A choice, in people's word.
    Word(&'static str),
    /// Nothing, which means this.
    Nothing(&'static str),
}

/// Whether the platform's form has a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Platform {
    Needs,
    May,
    Lacks,
}

/// What becomes of a change when the configuration is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// It is applied in service.
    Applied,
    /// It waits for the next start.
    Restart,
    /// It differs with each start, and nobody needs to know.
    Passed,
}

/// A key. Its names are whole paths; `[]` stands for each item of a list.
struct Key {
    people: &'static str,
    platform: &'static str,
    takes: Takes,
    default: Default,
    presence: Platform,
    change: Change,
    /// One sentence for the page.
    means: &'static str,
}

impl Key {
    fn path(&self, form: Form) -> &'static str {
        match form {
            Form::People => self.people,
            Form::Platform => self.platform,
        }
    }

    fn is_in(&self, form: Form) -> bool {
        form == Form::People || self.presence != Lacks
    }

    fn is_needed(&self, form: Form) -> bool {
        match form {
            Form::People => matches!(self.default, Default::Required),
            Form::Platform => self.presence == Platform::Needs,
        }
    }
}

const fn key(
    people: &'static str, platform: &'static str, takes: Takes, default: Default, presence: Platform,
    means: &'static str,
) -> Key {
    Key { people, platform, takes, default, presence, change: Change::Restart, means }
}

const fn changing(key: Key, change: Change) -> Key {
    Key { change, ..key }
}

/// No span is longer than an hour, as no client's wait is.
const HOUR: f64 = 3_600_000.0;
/// Far above any figure that makes sense; keeps sums finite.
const MUCH: f64 = 1e9;
const REPEATS: Takes = Takes::Choice(&[
    ("safe", "read_like"),
    ("idempotency_key", "idempotency_key"),
    ("never", "non_idempotent"),
]);
const SCOPES: Takes = Takes::Choice(&[("all", "all"), ("zone", "zone"), ("cell", "cell")]);
const CHANGES: Takes = Takes::Choice(&[("pushed", "automatic"), ("followed", "subscribe")]);
const LEVELS: Takes = Takes::Choice(&[
    ("off", "off"),
    ("error", "error"),
    ("warn", "warn"),
    ("info", "info"),
    ("debug", "debug"),
]);
const FORMATS: Takes = Takes::Choice(&[("text", "text"), ("json", "json")]);

use Platform::{Lacks, May, Needs};
use Takes::{Address, Addresses, Count, Figure, Flag, Millis, Text, Texts};

/// All keys, in the order of the page.
#[rustfmt::skip]
const KEYS: &[Key] = &[
    key("name", "name", Text, Default::Required, Needs, "Name of this edge node, as its log shows it."),
    key("listen", "listen", Address, Default::Required, Needs, "Where clients connect."),
    changing(key("discovery", "discovery", Address, Default::Required, Needs, "Where the agent of discovery listens."), Change::Applied),
    changing(key("seed", "seed", Text, Default::Nothing("random"), May, "Hex digits from which all chance is drawn."), Change::Passed),
    key("limits.file_descriptors", "limits.sockets", Count(64, 1 << 20), Default::Count(1024), May, "File descriptors that the process may hold."),
    key("limits.memory_mib", "limits.memory_mb", Count(16, 1 << 20), Default::Count(32), May, "Memory that it may use, in MiB; an eighth is for large bodies."),
    changing(key("log.level", "log.level", LEVELS, Default::Word("info"), Lacks, "Least severity that is logged."), Change::Applied),
    key("log.format", "log.format", FORMATS, Default::Word("text"), Lacks, "Lines for people, or a JSON object in each line."),
    key("admin.listen", "admin.listen", Address, Default::Nothing("no admin listener"), Lacks, "Where operators and their monitoring connect: metrics, health, state."),
    key("fleet.gateways", "settings.balancers", Count(1, 100_000), Default::Required, Needs, "Edge nodes in the fleet."),
    key("fleet.number", "settings.me", Count(0, 99_999), Default::Required, Needs, "This one's number, from 0."),
    key("fleet.zones", "settings.zones", Texts, Default::Nothing("no zones"), May, "Names of all zones."),
    key("fleet.zone", "settings.zone", Text, Default::Nothing("no zone"), May, "This edge node's zone, one of `fleet.zones`."),
    key("fleet.round_ms", "settings.periodUs", Millis(0.001, 1000.0), Default::Millis(2.0), Needs, "Shortest span between two rounds of decisions, in ms."),
    key("fleet.list_changes", "settings.discovery", CHANGES, Default::Word("pushed"), Needs, "How list changes reach the decisions; the edge node keeps a watch in any case."),
    key("peers.listen", "peer_listen", Address, Default::Nothing("no datagrams"), May, "Where datagrams of other edge nodes arrive."),
    key("peers.addresses", "peers", Addresses, Default::Nothing("none"), May, "One address for each edge node in the order of their numbers, its own among them."),
    key("peers.broadcast", "peers_all", Address, Default::Nothing("one datagram each"), May, "One address that reaches all of them."),
    key("peers.enabled", "settings.ceilings.mayTell", Flag, Default::Flag(true), Needs, "Whether edge nodes may tell each other what they use."),
    key("peers.messages_per_s", "settings.extra.peerInPerS", Figure(0.0, MUCH), Default::Figure(0.0), May, "Datagrams a second that an edge node takes in; 0 for no known limit."),
    key("requests.max_attempts", "settings.ceilings.sendCap", Count(1, 100), Default::Count(3), Needs, "Attempts for one request."),
    key("requests.cancel", "settings.ceilings.cancel", Flag, Default::Flag(true), Needs, "Whether attempts may be cancelled."),
    key("requests.max_units", "settings.extra.maxUnits", Figure(0.0, MUCH), Default::Figure(0.0), May, "Units of the largest request; 0 for no limit."),
    key("requests.retry_after", "settings.ceilings.retryAfter", Flag, Default::Flag(true), May, "Whether refused clients are told when to come back."),
    key("requests.max_retry_after_ms", "settings.ceilings.maxRetryAfterUs", Millis(0.0, HOUR), Default::Nothing("no limit"), May, "The longest that they may be told, in ms."),
    key("servers.idle_timeout_ms", "settings.ceilings.connIdleUs", Millis(1.0, HOUR), Default::Millis(15_000.0), May, "After so long a server closes an idle connection, in ms."),
    key("servers.connect_timeout_ms", "settings.ceilings.connectTimeoutUs", Millis(1.0, HOUR), Default::Millis(250.0), May, "A connection that is not up by then never comes up, in ms."),
    key("servers.drain_grace_ms", "settings.rules.drainGraceUs", Millis(10.0, HOUR), Default::Millis(500.0), May, "So long after a server was told to drain, in ms, new requests may still reach it."),
    key("servers.cold_start_capacity", "settings.rules.coldFrom", Figure(0.0, 1.0), Default::Required, Needs, "Share of its capacity with which a server starts."),
    key("servers.cold_start_ms", "settings.rules.coldUs", Millis(0.0, HOUR), Default::Required, Needs, "After so long it is warm, in ms."),
    key("servers.overload_factor", "settings.rules.fallMultiple", Figure(0.0, MUCH), Default::Required, Needs, "Work above this multiple of its present capacity makes a cold server fall ..."),
    key("servers.overload_window_ms", "settings.rules.overloadForUs", Millis(0.0, HOUR), Default::Required, Needs, "... over this span, in ms."),
    key("servers.cross_zone_cost", "settings.deductions.crossZone", Figure(0.0, MUCH), Default::Figure(0.0), May, "Price of an attempt that crosses zones, in the unit of `classes[].value`."),
    key("classes[].name", "settings.classes[].name", Text, Default::Required, Needs, "Name of the class of requests: `X-Class`, and the path's first part."),
    key("classes[].latency_target_ms", "settings.classes[].aimUs", Millis(0.001, HOUR), Default::Required, Needs, "An answer within this earns the full value, in ms."),
    key("classes[].deadline_ms", "settings.classes[].deadlineUs", Millis(0.001, HOUR), Default::Required, May, "The longest that its clients wait, in ms."),
    key("classes[].late_value", "settings.classes[].lateValue", Figure(0.0, 1.0), Default::Figure(0.0), May, "Share of the value that a later answer earns."),
    key("classes[].value", "settings.classes[].worth", Figure(0.0, MUCH), Default::Required, Needs, "What an answer is worth, against other classes."),
    key("classes[].repeat", "settings.classes[].repeat", REPEATS, Default::Required, Needs, "Whether it may run twice: always, under its idempotency key, or never."),
    key("classes[].idempotency_scope", "settings.classes[].group", SCOPES, Default::Nothing("none"), May, "Which servers know a key again; needed with `idempotency_key`."),
    key("classes[].idempotency_window_ms", "settings.classes[].windowUs", Millis(0.0, HOUR), Default::Millis(0.0), May, "For so long, in ms."),
    key("plans[].name", "settings.packages[].name", Text, Default::Required, Needs, "Name of the plan: `X-Tier`."),
    key("plans[].units_per_s", "settings.packages[].rate", Figure(0.0, MUCH), Default::Required, Needs, "Quota of each customer over all edge nodes, in units a second; 0 for no limit by rate."),
    key("plans[].burst_units", "settings.packages[].storeSize", Figure(0.0, MUCH), Default::Required, Needs, "Units that may be used at once."),
    key("plans[].concurrency", "settings.packages[].atOnce", Count(0, 1 << 20), Default::Count(0), May, "Attempts that may be out at once; 0 for no limit."),
    key("plans[].value_factor", "settings.packages[].price", Figure(0.0, MUCH), Default::Figure(1.0), Needs, "What a class's value counts for its customers."),
    key("plans[].over_quota_value", "settings.packages[].overWorth", Figure(0.0, MUCH), Default::Figure(0.0), May, "Share of the value that is earned beyond the quota."),
    key("plans[].over_quota_cost", "settings.packages[].overrunCost", Figure(0.0, MUCH), Default::Figure(0.0), May, "Share of the value that a request beyond the quota costs."),
    key("plans[].ceiling_units_per_s", "settings.packages[].capRate", Figure(0.0, MUCH), Default::Figure(0.0), May, "Hard ceiling of each customer, in units a second; 0 for none."),
    key("plans[].ceiling_burst_units", "settings.packages[].neverOverDepth", Figure(0.0, MUCH), Default::Figure(0.0), May, "Most units at once under the ceiling."),
];

/// Lists of which a configuration needs one item at the least, as people and the platform name them.
const LISTS: [(&str, &str); 2] = [("classes", "settings.classes"), ("plans", "settings.packages")];

/// An unknown name is taken for a slip of one this much like it.
const ALIKE: f64 = 0.75;

/// All that is wrong with a configuration whose text could be read.
pub fn faults(form: Form, root: &Item) -> Vec<Fault> {
    let mut reader = Reader { form, root, faults: Vec::new() };
    reader.walk(root, "", "");
    if matches!(root.kind, Kind::Table(_)) {
        reader.missing();
        reader.relations();
    }
    reader.faults.sort_by_key(|fault| fault.line);
    reader.faults
}

struct Reader<'a> {
    form: Form,
    root: &'a Item,
    faults: Vec<Fault>,
}

/// A place where a key stands or should stand.
struct Place<'a> {
    path: String,
    /// Its places in lists.
    indexes: Vec<usize>,
    /// The closest table round it that is there.
    line: Option<usize>,
    item: Option<&'a Item>,
}

impl<'a> Reader<'a> {
    fn fault(&mut self, line: Option<usize>, path: &str, what: impl Into<String>) {
        self.faults.push(Fault { line, path: path.to_owned(), what: what.into() });
    }

    /// Looks at all that is written. `pattern` is the path as keys spell it, `path` the one with the places in lists.
    fn walk(&mut self, table: &'a Item, pattern: &str, path: &str) {
        let Kind::Table(entries) = &table.kind else {
            return self.fault(Some(table.line), path, "has to be a table");
        };
        let mut seen = Vec::new();
        for (name, item) in entries {
            let join = |path: &str| if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let (pattern, path) = (join(pattern), join(path));
            let (within, each) = (format!("{pattern}."), format!("{pattern}[]"));
            let form = self.form;
            let keys =
                || KEYS.iter().filter(move |key| key.is_in(form)).map(move |key| (key, key.path(form)));
            if seen.contains(&name) {
                self.fault(Some(item.line), &path, "stands twice");
            } else if let Some((key, _)) = keys().find(|(_, name)| *name == pattern) {
                if let Err(what) = self.takes(key, item) {
                    self.fault(Some(item.line), &path, what);
                }
            } else if keys().any(|(_, name)| name.starts_with(&within)) {
                self.walk(item, &pattern, &path);
            } else if keys().any(|(_, name)| name.starts_with(&each)) {
                match &item.kind {
                    Kind::List(items) => {
                        for (number, item) in items.iter().enumerate() {
                            self.walk(item, &each, &format!("{path}[{number}]"));
                        }
                    }
                    _ => self.fault(Some(item.line), &path, "has to be a list of tables"),
                }
            } else if form == Form::People {
                let near = nearest(&pattern).map(|near| format!("; the nearest known name is {near}"));
                self.fault(
                    Some(item.line),
                    &path,
                    format!("no such key{near}", near = near.unwrap_or_default()),
                );
            }
            seen.push(name);
        }
    }

    /// Whether a key takes this.
    fn takes(&self, key: &Key, item: &Item) -> Result<(), String> {
        let people = self.form == Form::People;
        match (key.takes, &item.kind) {
            (_, Kind::Null) if !people && !key.is_needed(self.form) => Ok(()),
            (Text, Kind::Text(text)) if !people || !text.is_empty() => Ok(()),
            (Text, _) => Err("has to be a text that is not empty".to_owned()),
            (Flag, Kind::Flag(_)) => Ok(()),
            (Flag, _) => Err("has to be true or false".to_owned()),
            (Address, Kind::Text(text)) if is_address(text) => Ok(()),
            (Address, _) => Err("has to be an address with a port, as \"127.0.0.1:8443\"".to_owned()),
            (Texts, Kind::List(items)) if items.iter().all(|item| matches!(item.kind, Kind::Text(_))) => {
                Ok(())
            }
            (Texts, _) => Err("has to be a list of texts".to_owned()),
            (Addresses, Kind::List(items))
                if items.iter().all(|item| matches!(&item.kind, Kind::Text(text) if is_address(text))) =>
            {
                Ok(())
            }
            (Addresses, _) => Err("has to be a list of addresses with ports".to_owned()),
            (Takes::Choice(words), kind) => {
                let word = |(word, wire): &(&'static str, &'static str)| if people { *word } else { *wire };
                let known = words.iter().map(word).collect::<Vec<_>>();
                match kind {
                    Kind::Text(text) if known.contains(&text.as_str()) => Ok(()),
                    _ => Err(format!("has to be one of {}", known.join(", "))),
                }
            }
            (Count(..), Kind::Integer(number)) if !people => {
                // Descriptors have a least number, whoever names it; the rest is bounded by its type.
                let least = if key.people == "limits.file_descriptors" { least(key) } else { 0 };
                within(*number as f64, least as f64, u64::MAX as f64)
            }
            (Millis(..), Kind::Integer(number)) if !people => within(*number as f64, 0.0, u64::MAX as f64),
            (Count(..) | Millis(..), _) if !people => Err("has to be a whole number".to_owned()),
            (Count(least, most), Kind::Integer(number)) => within(*number as f64, least as f64, most as f64),
            (Count(..), _) => Err("has to be a whole number".to_owned()),
            (Figure(least, most) | Millis(least, most), kind) => match number(kind) {
                Some(number) if people => within(number, least, most),
                Some(number) => within(number, 0.0, f64::MAX),
                None => Err("has to be a number".to_owned()),
            },
        }
    }

    /// Every place of a key, also those that are empty. A list that is not there has no places.
    fn places(&self, path: &str) -> Vec<Place<'a>> {
        places(self.root, path)
    }

    fn missing(&mut self) {
        let form = self.form;
        for key in KEYS.iter().filter(|key| key.is_in(form) && key.is_needed(form)) {
            for place in self.places(key.path(form)).into_iter().filter(|place| place.item.is_none()) {
                self.fault(place.line, &place.path, "is missing");
            }
        }
        for (people, platform) in LISTS {
            let path = if self.form == Form::People { people } else { platform };
            for place in self.places(path) {
                match place.item.map(|item| &item.kind) {
                    Some(Kind::List(items)) if !items.is_empty() => {}
                    Some(Kind::List(_)) => self.fault(place.line, &place.path, "one is needed at the least"),
                    Some(_) => {} // told of already
                    None => self.fault(place.line, &place.path, "is missing"),
                }
            }
        }
    }

    /// The first place of a key, by people's name for it.
    fn one(&self, people: &str) -> Option<Place<'a>> {
        KEYS.iter()
            .find(|key| key.people == people)
            .and_then(|key| self.places(key.path(self.form)).into_iter().next())
    }

    /// What several keys have to keep together.
    fn relations(&mut self) {
        let whole = |place: Option<Place<'_>>| match place?.item?.kind {
            Kind::Integer(number) => Some(number),
            _ => None,
        };
        let gateways = whole(self.one("fleet.gateways"));
        if let (Some(place), Some(gateways)) = (self.one("fleet.number"), gateways) {
            if place.item.is_some_and(|item| matches!(item.kind, Kind::Integer(number) if number >= gateways))
            {
                self.fault(place.line, &place.path, format!("there are only the numbers below {gateways}"));
            }
        }
        let zones = self.one("fleet.zones").and_then(|place| place.item).map(texts).unwrap_or_default();
        if let Some(place) = self.one("fleet.zone").filter(|_| !zones.is_empty()) {
            let zone = place.item.and_then(text);
            if !zone.is_some_and(|zone| zones.contains(&zone)) {
                self.fault(place.line, &place.path, format!("has to be one of {}", zones.join(", ")));
            }
        }
        for (number, class) in self.items(LISTS[0]).into_iter().enumerate() {
            let (repeat, scope, word) = match self.form {
                Form::People => ("repeat", "idempotency_scope", "idempotency_key"),
                Form::Platform => ("repeat", "group", "idempotency_key"),
            };
            let keyed = class.get(repeat).and_then(text) == Some(word);
            let known = class.get(scope).is_some_and(|item| !matches!(item.kind, Kind::Null));
            if keyed && !known {
                let path = format!("{}[{number}].{scope}", self.list_path(LISTS[0]));
                self.fault(Some(class.line), &path, "is missing, and needed with an idempotency key");
            }
        }
        if self.form == Form::Platform {
            return;
        }
        for list in LISTS {
            let mut names = Vec::new();
            for (number, item) in self.items(list).into_iter().enumerate() {
                let Some(name) = item.get("name") else { continue };
                let Some(text) = text(name) else { continue };
                if names.contains(&text) {
                    let path = format!("{}[{number}].name", list.0);
                    self.fault(Some(name.line), &path, format!("{text:?} stands twice"));
                }
                names.push(text);
            }
        }
        let listens = self.one("peers.listen").is_some_and(|place| place.item.is_some());
        if let (true, Some(place), Some(gateways)) = (listens, self.one("peers.addresses"), gateways) {
            let count = place.item.map_or(0, |item| texts(item).len());
            if count as i128 != gateways {
                let what = format!("has {count} addresses for {gateways} edge nodes");
                self.fault(place.line, &place.path, what);
            }
        }
    }

    fn list_path(&self, (people, platform): (&'static str, &'static str)) -> &'static str {
        if self.form == Form::People {
            people
        } else {
            platform
        }
    }

    fn items(&self, list: (&'static str, &'static str)) -> Vec<&'a Item> {
        let place = self.places(self.list_path(list)).into_iter().next();
        match place.and_then(|place| place.item).map(|item| &item.kind) {
            Some(Kind::List(items)) => items.iter().collect(),
            _ => Vec::new(),
        }
    }
}

fn places<'a>(root: &'a Item, path: &str) -> Vec<Place<'a>> {
    let start = Place { path: String::new(), indexes: Vec::new(), line: None, item: Some(root) };
    path.split('.').fold(vec![start], |places, name| {
        let each = name.strip_suffix("[]");
        places.into_iter().flat_map(|place| step(place, each.unwrap_or(name), each.is_some())).collect()
    })
}

/// From a table to what it holds under a name; where that is a list, to each of its items.
fn step<'a>(place: Place<'a>, name: &str, each: bool) -> Vec<Place<'a>> {
    let Place { path, indexes, line, item } = place;
    let path = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    let found = item.and_then(|item| item.get(name));
    let line = found.map(|found| found.line).or(line);
    if !each {
        return vec![Place { path, indexes, line, item: found }];
    }
    let Some(Kind::List(items)) = found.map(|found| &found.kind) else { return Vec::new() };
    let one = |(number, item): (usize, &'a Item)| Place {
        path: format!("{path}[{number}]"),
        indexes: indexes.iter().copied().chain([number]).collect(),
        line: Some(item.line),
        item: Some(item),
    };
    items.iter().enumerate().map(one).collect()
}

/// The known path that an unknown one is most like, if it is like any. A table is one, too.
fn nearest(path: &str) -> Option<&'static str> {
    let last = |path: &str| path.rsplit('.').next().unwrap_or_default().replace("[]", "");
    let alike = |known: &str| {
        // The same name in another table is near, too.
        let whole = strsim::jaro_winkler(path, known);
        whole.max(strsim::jaro_winkler(&last(path), &last(known)) - 0.05)
    };
    let known = KEYS.iter().flat_map(|key| {
        let table = key.people.split_once('.').map(|(table, _)| table.trim_end_matches("[]"));
        std::iter::once(key.people).chain(table)
    });
    let near = known.map(|known| (alike(known), known)).filter(|(alike, _)| *alike >= ALIKE);
    near.max_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, name)| name)
}

fn least(key: &Key) -> u64 {
    match key.takes {
        Count(least, _) => least,
        _ => 0,
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn text(item: &Item) -> Option<&str> {
    match &item.kind {
        Kind::Text(text) => Some(text),
        _ => None,
    }
}

fn texts(item: &Item) -> Vec<&str> {
    match &item.kind {
        Kind::List(items) => items.iter().filter_map(text).collect(),
        _ => Vec::new(),
    }
}

fn number(kind: &Kind) -> Option<f64> {
    match kind {
        Kind::Integer(number) => Some(*number as f64),
        Kind::Number(number) => Some(*number),
        _ => None,
    }
}

fn within(number: f64, least: f64, most: f64) -> Result<(), String> {
    match (number >= least && number <= most, most >= MUCH) {
        (true, _) => Ok(()),
        (false, true) => Err(format!("is {number}, and has to be {least} or more")),
        (false, false) => Err(format!("is {number}, and has to be from {least} to {most}")),
    }
}

/// A sound configuration of people in the platform's form, with all defaults.
pub fn translated(root: &Item) -> Value {
    let mut whole = Value::Object(Map::new());
    for key in KEYS {
        for place in places(root, key.people) {
            let value = match place.item {
                Some(item) => value(key.takes, item),
                None => default(key),
            };
            if let Some(value) = value {
                set(&mut whole, key.platform, &place.indexes, value);
            }
        }
    }
    whole
}

fn value(takes: Takes, item: &Item) -> Option<Value> {
    Some(match (takes, &item.kind) {
        (Takes::Choice(words), Kind::Text(text)) => {
            words.iter().find(|(people, _)| people == text).map(|(_, wire)| json!(wire))?
        }
        (Millis(..), kind) => json!(micros(number(kind)?)),
        (Figure(..), kind) => json!(number(kind)?),
        (_, Kind::Text(text)) => json!(text),
        (_, Kind::Integer(number)) => json!(u64::try_from(*number).ok()?),
        (_, Kind::Flag(flag)) => json!(flag),
        (_, Kind::List(_)) => json!(texts(item)),
        _ => return None,
    })
}

fn default(key: &Key) -> Option<Value> {
    match (key.default, key.takes) {
        (Default::Count(number), _) => Some(json!(number)),
        (Default::Figure(number), _) => Some(json!(number)),
        (Default::Millis(number), _) => Some(json!(micros(number))),
        (Default::Flag(flag), _) => Some(json!(flag)),
        (Default::Word(word), Takes::Choice(words)) => {
            words.iter().find(|(people, _)| *people == word).map(|(_, wire)| json!(wire))
        }
        _ => None,
    }
}

fn micros(millis: f64) -> u64 {
    (millis * 1000.0).round() as u64
}

/// Puts a value where a path leads, making what is not there yet.
fn set(whole: &mut Value, path: &str, indexes: &[usize], value: Value) {
    let mut indexes = indexes.iter();
    let mut place = whole;
    for name in path.split('.') {
        if !place.is_object() {
            *place = Value::Object(Map::new());
        }
        let Some(entries) = place.as_object_mut() else { return };
        let (name, each) = name.strip_suffix("[]").map_or((name, false), |name| (name, true));
        place = entries.entry(name).or_insert(Value::Null);
        let Some(index) = each.then(|| indexes.next()).flatten() else { continue };
        if !place.is_array() {
            *place = Value::Array(Vec::new());
        }
        let Some(items) = place.as_array_mut() else { return };
        while items.len() <= *index {
            items.push(Value::Null);
        }
        place = &mut items[*index];
    }
    *place = value;
}

/// What each key says in a configuration, to tell what another changes.
pub type Values = BTreeMap<&'static str, Vec<Value>>;

/// The values of a configuration in the platform's form, under the names of the form that it was read from.
pub fn values(form: Form, whole: &Value) -> Values {
    let of = |key: &Key| {
        let found = key.platform.split('.').fold(vec![whole], |places, name| match name.strip_suffix("[]") {
            Some(name) => {
                places.into_iter().flat_map(|place| place[name].as_array().into_iter().flatten()).collect()
            }
            None => places.into_iter().map(|place| &place[name]).collect(),
        });
        found.into_iter().cloned().collect()
    };
    let keys = KEYS.iter().filter(|key| key.is_in(form) && key.change == Change::Restart);
    keys.map(|key| (key.path(form), of(key))).collect()
}

/// The names of the keys of which two configurations say different things.
pub fn changed(one: &Values, other: &Values) -> Vec<&'static str> {
    one.iter().filter(|(name, values)| other.get(*name) != Some(values)).map(|(name, _)| *name).collect()
}

/// All keys as the page has them: a table in Markdown.
pub fn page() -> String {
    let mut page = String::from(
        "| key | what it is | takes | default | at SIGHUP | platform's JSON |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for key in KEYS {
        let takes = match key.takes {
            Text => "text".to_owned(),
            Texts => "texts".to_owned(),
            Address => "address with port".to_owned(),
            Addresses => "addresses with ports".to_owned(),
            Flag => "true, false".to_owned(),
            Count(least, most) => format!("whole number, {least} to {most}"),
            Figure(least, most) => format!("number, {least} to {most}"),
            Millis(least, most) => format!("ms, {least} to {most}"),
            Takes::Choice(words) => {
                words.iter().map(|(word, _)| format!("`{word}`")).collect::<Vec<_>>().join(", ")
            }
        };
        let default = match key.default {
            Default::Required => "needed".to_owned(),
            Default::Count(number) => number.to_string(),
            Default::Figure(number) | Default::Millis(number) => number.to_string(),
            Default::Flag(flag) => flag.to_string(),
            Default::Word(word) => format!("`{word}`"),
            Default::Nothing(means) => means.to_owned(),
        };
        let change = if key.change == Change::Applied { "applied" } else { "at the next start" };
        let Key { people, means, .. } = key;
        let platform = if key.is_in(Form::Platform) { format!("`{}`", key.platform) } else { "-".to_owned() };
        page += &format!("| `{people}` | {means} | {takes} | {default} | {change} | {platform} |\n");
    }
    page
}
