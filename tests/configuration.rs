//! Configurations: what is read, what is refused and how that is told, and what a change does in service.

mod support;

use std::process::Stdio;
use support::*;

const EXAMPLE: &str = "edge-node.example.toml";

fn example() -> String {
    std::fs::read_to_string(EXAMPLE).expect("the example")
}

/// What `check` says of a configuration, line by line, without the file's name; whether it found nothing wrong.
fn checked(name: &str, config: &str) -> (bool, Vec<String>) {
    let path = written(name, config);
    let output = program(&["check"]).arg(&path).stdin(Stdio::null()).output().expect("it runs");
    let _ = std::fs::remove_file(&path);
    let said = String::from_utf8([output.stdout, output.stderr].concat()).expect("it is text");
    let file = format!("{}:", path.display());
    let lines = said.lines().filter_map(|line| line.strip_prefix(&file));
    (output.status.success(), lines.map(|line| line.trim_start().to_owned()).collect())
}

/// The number of the first line with these words.
fn line_of(text: &str, words: &str) -> usize {
    1 + text.lines().position(|line| line.contains(words)).expect("it is there")
}

#[test]
fn the_example_is_sound() {
    let (sound, said) = checked("example.toml", &example());
    assert!(sound && said == ["nothing is wrong"], "{said:?}");
    // The same by its content alone, whatever the file is called.
    assert!(checked("example.conf", &example()).0);
}

/// Each change of the example makes one fault: where, and what is said of it.
#[test]
fn each_fault_is_told_with_its_line_and_key() {
    let cases = [
        ("name = \"edge-0\"", "name = 3", "name: has to be a text"),
        ("name = \"edge-0\"", "name = \"\"", "name: has to be a text that is not empty"),
        ("127.0.0.1:8443", "127.0.0.1", "listen: has to be an address"),
        ("127.0.0.1:8500", "localhost:8500", "discovery: has to be an address"),
        (
            "file_descriptors = 1024",
            "file_descriptors = 63",
            "limits.file_descriptors: is 63, and has to be from 64",
        ),
        (
            "file_descriptors = 1024",
            "file_descriptors = 1e3",
            "limits.file_descriptors: has to be a whole number",
        ),
        (
            "memory_mib = 192",
            "memory_mb = 192",
            "limits.memory_mb: no such key; the nearest known name is limits.memory_mib",
        ),
        ("memory_mib = 192", "memory_mib = -1", "limits.memory_mib: is -1"),
        ("number = 0", "number = 3", "fleet.number: there are only the numbers below 3"),
        (
            "zone = \"block-a\"",
            "zone = \"block-d\"",
            "fleet.zone: has to be one of block-a, block-b, block-c",
        ),
        ("zones = [", "zones = [1, ", "fleet.zones: has to be a list of texts"),
        ("\"127.0.0.3:7946\"", "\"x\"", "peers.addresses: has to be a list of addresses"),
        (
            "\"127.0.0.2:7946\", \"127.0.0.3:7946\"]",
            "\"127.0.0.2:7946\"]",
            "peers.addresses: has 2 addresses for 3 edge nodes",
        ),
        ("messages_per_s = 40", "messages_per_s = nan", "peers.messages_per_s: is NaN"),
        ("messages_per_s = 40", "messages_per_s = 1979-05-27", "peers.messages_per_s: has to be a number"),
        (
            "messages_per_s = 40",
            "messages = 40",
            "peers.messages: no such key; the nearest known name is peers.messages_per_s",
        ),
        ("max_attempts = 5", "max_attempts = 0", "requests.max_attempts: is 0, and has to be from 1 to 100"),
        (
            "cold_start_capacity = 0.27",
            "cold_start_capacity = 27",
            "servers.cold_start_capacity: is 27, and has to be from 0 to 1",
        ),
        (
            "overload_window_ms = 3_000",
            "overload_window_ms = 3_600_001",
            "servers.overload_window_ms: is 3600001",
        ),
        (
            "latency_target_ms = 1_000",
            "latency_target_ms = true",
            "classes[0].latency_target_ms: has to be a number",
        ),
        (
            "repeat = \"never\"",
            "repeat = \"once\"",
            "classes[1].repeat: has to be one of safe, idempotency_key, never",
        ),
        ("\"post-payment\"", "\"balance-read\"", "classes[1].name: \"balance-read\" stands twice"),
        ("\"premier\"", "\"basic\"", "plans[1].name: \"basic\" stands twice"),
        (
            "units_per_s = 50",
            "units_per_second = 50\nunits_per_s = 50",
            "plans[1].units_per_second: no such key; the nearest known name is plans[].units_per_s",
        ),
        (
            "[limits]",
            "log.level = \"loud\"\n[limits]",
            "log.level: has to be one of off, error, warn, info, debug",
        ),
        ("[requests]", "[reqests]", "reqests: no such key; the nearest known name is requests"),
        ("[limits]", "qqq = 1\n[limits]", "qqq: no such key"),
    ];
    for (number, (from, to, fault)) in cases.into_iter().enumerate() {
        let config = example().replacen(from, to, 1);
        assert_ne!(config, example(), "{from}");
        let (sound, said) = checked(&format!("fault-{number}.toml"), &config);
        let before = example().split(from).next().map_or(0, |before| before.matches('\n').count());
        let told = format!("{}: {fault}", before + 1);
        let told = said.iter().any(|line| line.starts_with(&told));
        assert!(!sound && told && said.len() == 1, "{to}: {said:?}");
    }
}

#[test]
fn what_is_missing_is_told() {
    for (line, fault) in [
        ("name = \"edge-0\"", "name: is missing"),
        ("gateways = 3", "fleet.gateways: is missing"),
        ("cold_start_ms = 16_000", "servers.cold_start_ms: is missing"),
        ("value = 3", "classes[0].value: is missing"),
        ("burst_units = 10", "plans[0].burst_units: is missing"),
    ] {
        let (sound, said) = checked("missing.toml", &example().replacen(line, "", 1));
        assert!(!sound && said.len() == 1 && said[0].ends_with(fault), "{line}: {said:?}");
    }
    let keyed = example().replacen("repeat = \"never\"", "repeat = \"idempotency_key\"", 1);
    let (_, said) = checked("keyed.toml", &keyed);
    assert!(said.len() == 1 && said[0].contains("classes[1].idempotency_scope: is missing"), "{said:?}");
    let (_, said) = checked("none.toml", "");
    for key in
        ["name", "listen", "discovery", "fleet.gateways", "servers.overload_factor", "classes", "plans"]
    {
        assert!(said.contains(&format!("{key}: is missing")), "{key}: {said:?}");
    }
    let before = example().split("[[plans]]").next().expect("the part before").to_owned();
    let (_, said) = checked("list.toml", &format!("{before}[plans]\nname = \"p\"\n"));
    assert!(said.iter().any(|line| line.contains("plans: has to be a list of tables")), "{said:?}");
}

#[test]
fn all_faults_are_told_in_one_go_and_serve_says_them_in_one_line() {
    let config = example()
        .replacen("127.0.0.1:8443", "nowhere", 1)
        .replacen("max_attempts = 5", "max_attempts = \"5\"", 1)
        .replacen("units_per_s = 2.5", "units_per_s = -2.5", 1);
    let (sound, said) = checked("several.toml", &config);
    assert!(!sound && said.len() == 3, "{said:?}");
    let path = written("serve-several.toml", &config);
    let output = program(&[]).env("LB_CONFIG", &path).output().expect("it runs");
    let _ = std::fs::remove_file(&path);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!((output.status.code(), error.lines().count()), (Some(1), 1), "{error}");
    assert!(error.contains("listen") && error.contains("2 more"), "{error}");
}

/// Text that is no TOML or JSON at all.
#[test]
fn slips_of_grammar_are_told_with_their_line() {
    let config = example().replacen("gateways = 3", "gateways = = 3", 1);
    let (sound, said) = checked("grammar.toml", &config);
    assert!(!sound && said[0].starts_with(&format!("{}: ", line_of(&config, "= = 3"))), "{said:?}");
    let twice = example().replacen("number = 0", "number = 0\nnumber = 1", 1);
    let (sound, said) = checked("twice.toml", &twice);
    assert!(!sound && said[0].starts_with(&format!("{}: ", line_of(&twice, "number = 1"))), "{said:?}");
    let (sound, said) = checked("grammar.json", "{\n\"name\": \"n0\",\n\"listen\": }");
    assert!(!sound && said.len() == 1 && said[0].starts_with("3: "), "{said:?}");
    let (open, close) = ("[".repeat(20_000), "]".repeat(20_000));
    for (name, deep) in [
        ("deep.toml", format!("name = {open}{close}")),
        ("open.json", open.clone()),
        ("deep.json", format!("{open}{close}")),
        ("deeper.json", PLATFORM.replacen("\"n3\"", &format!("{open}{close}"), 1)),
    ] {
        let (sound, said) = checked(name, &deep);
        assert!(!sound && said.len() == 1, "{name}: {said:?}");
    }
}

/// The platform's form, which people rarely write and now and then have to look into.
const PLATFORM: &str = r#"{
  "name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "odd": [{}],
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
  "peers": ["127.0.0.1:2", "127.0.0.1:3"], "peer_listen": null,
  "settings": {
    "balancers": 2, "me": 0, "zone": "a", "zones": ["a"], "periodUs": 2000, "discovery": "automatic",
    "ceilings": {"cancel": true, "mayTell": true, "sendCap": 4, "unheardOf": 1},
    "classes": [
      {"name": "read", "aimUs": 400000, "deadlineUs": 30000000, "worth": 3.0, "repeat": "read_like"},
      {"name": "pay", "aimUs": 400000, "deadlineUs": 30000000, "worth": 3.0, "repeat": "non_idempotent"}],
    "packages": [
      {"name": "p", "rate": 1.0, "storeSize": 1.0, "price": 1.0}],
    "rules": {"coldFrom": 0.2, "coldUs": 1000000, "fallMultiple": 3.0, "overloadForUs": 1000000}}}"#;

#[test]
fn faults_of_the_platform_s_form_are_told_by_its_own_names() {
    assert!(checked("sound.json", PLATFORM).0, "what is unknown there is passed over");
    assert!(checked("sound.conf", PLATFORM).0, "it is known by its content");
    let cases = [
        ("127.0.0.1:0", "nowhere", "2: listen: has to be an address"),
        ("\"sockets\": 1024", "\"sockets\": 63", "3: limits.sockets: is 63, and has to be 64 or more"),
        ("127.0.0.1:3", "x", "4: peers: has to be a list of addresses"),
        ("\"me\": 0", "\"me\": 2", "6: settings.me: there are only the numbers below 2"),
        ("\"periodUs\": 2000", "\"periodUs\": 2.5", "6: settings.periodUs: has to be a whole number"),
        ("\"zone\": \"a\"", "\"zone\": \"b\"", "6: settings.zone: has to be one of a"),
        ("\"automatic\"", "\"never\"", "6: settings.discovery: has to be one of automatic, subscribe"),
        ("\"cancel\": true", "\"cancel\": 1", "7: settings.ceilings.cancel: has to be true or false"),
        (
            "\"worth\": 3.0, \"repeat\": \"non",
            "\"repeat\": \"non",
            "10: settings.classes[1].worth: is missing",
        ),
        ("\"non_idempotent\"", "\"idempotency_key\"", "10: settings.classes[1].group: is missing"),
        ("\"rate\": 1.0", "\"rate\": -1.0", "12: settings.packages[0].rate: is -1, and has to be 0 or more"),
        (
            "\"name\": \"p\", ",
            "\"name\": \"p\", \"name\": \"q\", ",
            "12: settings.packages[0].name: stands twice",
        ),
    ];
    for (number, (from, to, fault)) in cases.into_iter().enumerate() {
        let config = PLATFORM.replacen(from, to, 1);
        assert_ne!(config, PLATFORM, "{from}");
        let (sound, said) = checked(&format!("platform-{number}.json"), &config);
        assert!(!sound && said.len() == 1 && said[0].starts_with(fault), "{to}: {said:?}");
    }
    let several = PLATFORM.replace("\"sendCap\": 4, ", "").replace("\"name\": \"n3\"", "\"name\": []");
    assert_eq!(checked("platform-several.json", &several).1.len(), 2);
}

/// The example, over loopback ports that the machine chooses.
fn served(discovery: &Discovery) -> String {
    example()
        .replace("127.0.0.1:8443", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &discovery.address.to_string())
        .replacen("listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.1:0\"", 1)
}

/// A request of the example's classes and plans.
fn loan(id: &str, class: &str, units: &str, deadline: &str) -> String {
    let (method, more) =
        if class == "post-payment" { ("POST", "Content-Length: 4\r\n") } else { ("GET", "") };
    let body = if more.is_empty() { "" } else { "time" };
    format!(
        "{method} /{class}/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: premier\r\nX-Deadline: {deadline}\r\n\
         X-Call-Terms: units={units},spread=1,first=0\r\n{more}\r\n{body}"
    )
}

#[test]
fn people_s_figures_reach_the_edge_node_in_its_own_units() {
    let servers = Servers::new();
    let discovery = Discovery::start(&[host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")]);
    let node = Node::of_people("figures", &served(&discovery));
    let status = |words: String| node.client().ask(&words).status();
    for (id, class) in [("a", "balance-read"), ("b", "post-payment")] {
        assert_eq!(status(loan(id, class, "8", "4000m")), 200);
        let left = servers.next().message.header("x-deadline").trim_end_matches('m').parse::<u64>();
        assert!((1..=4000).contains(&left.expect("a number")), "a deadline in the right unit");
    }
    assert_eq!(status(loan("c", "balance-read", "9", "4000m")), 400, "max_units is 8");
    assert_eq!(status(loan("d", "balance-read", "8", "4001m")), 400, "the longest deadline is 4 s");
    assert_eq!(status(loan("e", "post-payment", "8", "4000m").replace("POST", "GET")), 400, "it is unsafe");
    servers.got_no_more();
}

#[test]
fn the_environment_overrules_the_file() {
    let discovery = Discovery::start(&[]);
    let path = written(
        "overruled.toml",
        &example().replacen("listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.1:0\"", 1),
    );
    let mut child = program(&["serve", "--config"])
        .arg(&path)
        .env("LB_NAME", "other")
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.address.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let (asked, _watch) = discovery.watch();
    assert!(asked.contains("watch=1"));
    child.kill().expect("it runs");
    let output = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(&path);
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(
        said.lines().next().is_some_and(|line| line.contains("other: listening on 127.0.0.1:")),
        "{said}"
    );
    let bad = program(&["serve", "--config", EXAMPLE]).env("LB_DISCOVERY", "x").output().expect("it runs");
    let said = String::from_utf8_lossy(&bad.stderr);
    assert!(
        bad.status.code() == Some(1) && said.contains("LB_DISCOVERY") && said.lines().count() == 1,
        "{said}"
    );
}

/// A new configuration is applied whole or not at all; what has to wait for a restart is named.
#[test]
fn sighup_applies_what_it_can_and_names_what_waits() {
    let (old, new) = (Discovery::start(&[]), Discovery::start(&[]));
    let mut node = Node::of_people("hangup", &served(&old));
    old.watch();
    let to_new = |text: String| text.replace(&old.address.to_string(), &new.address.to_string());
    // A fault elsewhere in it keeps discovery where it is, too.
    node.reload(|text| to_new(text).replacen("max_attempts = 5", "max_attempts = 0", 1));
    node.says("the old configuration stays");
    node.reload(|text| {
        text.replacen("max_attempts = 0", "max_attempts = 4", 1).replacen(
            "units_per_s = 2.5",
            "units_per_s = 3.5",
            1,
        )
    });
    let said = node.says("reloaded");
    let waits = format!(
        "discovery at {}; waiting for a restart: plans[].units_per_s, requests.max_attempts",
        new.address
    );
    assert!(said.ends_with(&waits), "{said}");
    new.watch();
    // As it was at the start: nothing waits any more.
    node.reload(|text| {
        text.replacen("max_attempts = 4", "max_attempts = 5", 1).replacen(
            "units_per_s = 3.5",
            "units_per_s = 2.5",
            1,
        )
    });
    let said = node.says("reloaded");
    assert!(said.ends_with(&format!("discovery at {}", new.address)), "{said}");
    assert!(node.runs());
}

#[test]
fn the_page_tells_every_key_as_the_program_has_it() {
    let page = std::fs::read_to_string("docs/CONFIGURATION.md").expect("the page");
    let keys = program(&["keys"]).output().expect("it runs");
    let keys = String::from_utf8(keys.stdout).expect("it is text");
    assert!(keys.lines().count() > 40);
    for row in keys.lines() {
        assert!(page.lines().any(|line| line == row), "docs/CONFIGURATION.md lacks: {row}");
    }
    let (rows, keys) = (page.lines().filter(|line| line.starts_with("| `")), keys.lines().count() - 2);
    assert_eq!(rows.count(), keys, "docs/CONFIGURATION.md has a key that the program lacks");
}
