//! Every key of the platform's settings file and of the operators' INI file: what it sets, whether it must be there
//! and what holds without it.

use hookway_controller::{OperatorSettings, Settings};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Nothing but what must be there.
const LEAST: &str = r#"
label = "worker-0"
api_addr = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
zones = ["a", "b"]
[settings.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 44.0
[settings.state]
rps = 200.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 16
[settings.cloud]
rps = 4.0
list_lag_s = 5.0
"#;

/// Every key that there is.
const ALL: &str = r#"
label = "worker-0"
domain = "a"
api_addr = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
[[siblings]]
label = "worker-1"
domain = "b"
address = "127.0.0.1:9081"
[[siblings]]
label = "worker-2"
address = "127.0.0.1:9082"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
clock_off_ms = 3.0
zones = ["a", "b"]
[[settings.teams]]
name = "vision"
cpus = 11.0
cpus_max = 12.0
gpus = 13.0
gpus_max = 14.0
[[settings.teams]]
name = "free"
[[settings.objectives]]
kind = "finished"
class = "cleanup"
within_s = 150.0
[[settings.objectives]]
kind = "later"
[settings.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 44.0
[settings.state]
rps = 200.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 16
[settings.state.next]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 4.0
list_lag_s = 5.0
[settings.machine_limits]
max_sockets = 500
core_share = 0.5
"#;

#[test]
fn each_platform_settings_key_sets_its_value() {
    let found = Settings::parse(ALL).unwrap();
    assert_eq!((found.controller_name.as_str(), found.zone.as_str()), ("worker-0", "a"));
    assert_eq!(found.api_addr, "127.0.0.1:8080");
    assert_eq!(found.peer_bind, "127.0.0.1:8081");
    let siblings: Vec<[&str; 3]> =
        found.peers.iter().map(|s| [&*s.name, &*s.zone, &*s.address]).collect();
    assert_eq!(siblings, [["worker-1", "b", "127.0.0.1:9081"], ["worker-2", "", "127.0.0.1:9082"]]);
    assert_eq!(found.endpoints.cloud, "127.0.0.1:1");
    assert_eq!(found.endpoints.state, "127.0.0.1:2");
    let params = found.platform;
    assert_eq!(params.clock_off_ms, 3.0);
    assert_eq!(params.zones, ["a", "b"]);
    let teams: Vec<(&str, [f64; 4])> = params
        .teams
        .iter()
        .map(|t| (t.name.as_str(), [t.cpus, t.cpus_max, t.gpus, t.gpus_max]))
        .collect();
    assert_eq!(teams, [("vision", [11.0, 12.0, 13.0, 14.0]), ("free", [0.0; 4])]);
    let objectives: Vec<(&str, Option<&str>, Option<f64>)> = params
        .objectives
        .iter()
        .map(|o| (o.kind.as_str(), o.class.as_deref(), o.within_s))
        .collect();
    assert_eq!(objectives, [("finished", Some("cleanup"), Some(150.0)), ("later", None, None)]);
    let w = params.workers;
    let workers = [w.heartbeat_interval_s, w.lease_s, w.gang_wait_s, w.gang_peer_s, w.cancel_s];
    assert_eq!(workers, [2.0, 14.0, 35.0, 4.0, 44.0]);
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (4.0, 5.0));
    let limits = params.machine_limits;
    assert_eq!((limits.max_sockets, limits.core_share), (500, 0.5));
}

#[test]
fn each_next_limit_key_lowers_current_limit() {
    let state = |text: &str| Settings::parse(text).unwrap().platform.state;
    let now = state(LEAST);
    assert_eq!((now.rps, now.write_rps, now.value_kb, now.txn_ops), (200.0, 25.0, 8.0, 16));
    assert_eq!(now.next, None);
    let both = state(ALL);
    assert_eq!((both.rps, both.write_rps, both.value_kb, both.txn_ops), (100.0, 20.0, 4.0, 12));
    assert_eq!(both.largest_value_kb, 8.0);
    let next = both.next.unwrap();
    let next = (next.rps, next.write_rps, next.value_kb, next.txn_ops);
    assert_eq!(next, (Some(100.0), Some(20.0), Some(4.0), Some(12)));
    let none = state(&format!("{LEAST}[settings.state.next]\n"));
    assert_eq!((none.rps, none.write_rps, none.value_kb, none.txn_ops), (200.0, 25.0, 8.0, 16));
}

#[test]
fn missing_optional_platform_settings_keys_have_defaults() {
    let found = Settings::parse(LEAST).unwrap();
    assert_eq!(found.zone, "");
    assert!(found.peers.is_empty());
    let params = found.platform;
    assert_eq!(params.clock_off_ms, 0.0);
    assert!(params.teams.is_empty());
    assert!(params.objectives.is_empty());
    let limits = params.machine_limits;
    assert_eq!((limits.max_sockets, limits.core_share), (1_000, 1.0));
    let sockets = format!("{LEAST}[settings.machine_limits]\nmax_sockets = 7\n");
    let limits = Settings::parse(&sockets).unwrap().platform.machine_limits;
    assert_eq!((limits.max_sockets, limits.core_share), (7, 1.0));
}

#[test]
fn missing_required_platform_settings_key_is_rejected_by_name() {
    let lines: Vec<&str> = LEAST.lines().collect();
    for (place, line) in lines.iter().enumerate() {
        let Some((key, _)) = line.split_once(" = ") else { continue };
        let rest = [&lines[..place], &lines[place + 1..]].concat().join("\n");
        let why = Settings::parse(&rest).unwrap_err().to_string();
        assert!(why.contains(&format!("missing field `{key}`")), "without {key}: {why}");
    }
    for (table, key) in [
        ("[[siblings]]\nlabel = 'worker-1'\n", "address"),
        ("[[siblings]]\naddress = '127.0.0.1:1'\n", "label"),
        ("[[settings.teams]]\ncpus = 1.0\n", "name"),
        ("[[settings.objectives]]\nclass = 'cleanup'\n", "kind"),
    ] {
        let why = Settings::parse(&format!("{LEAST}{table}")).unwrap_err().to_string();
        assert!(why.contains(&format!("missing field `{key}`")), "without {key}: {why}");
    }
}

#[test]
fn each_operator_settings_key_sets_its_value_only_in_its_section() {
    let parse =
        |section: &str, line: &str| OperatorSettings::parse(&format!("[{section}]\n{line}\n"));
    let set = |section, line| parse(section, line).unwrap();
    let networks = |n: &hookway_controller::networks::Networks| {
        (n.allow_socket("10.1.2.3:9"), n.allow_socket("10.2.2.3:9"))
    };
    assert_eq!(set("fleet", "idle_return_s = 30.5").idle_timeout, Some(ms(30_500)));
    assert_eq!(set("fleet", "most_machines = 12").max_machines, 12);
    assert_eq!(set("scheduling", "block_lease_s = 20").shard_lease, ms(20_000));
    assert!(set("replication", "standby = on").replication.standby);
    assert!(!set("replication", "standby = off").replication.standby);
    assert_eq!(set("replication", "leader_lease_s = 4.3").replication.leader_lease, ms(4_300));
    let found = set("replication", "controller_networks = 10.1.0.0/16").replication;
    assert_eq!(networks(&found.controller_networks), (true, false));
    assert_eq!(networks(&found.worker_networks), (true, true));
    let found = set("replication", "worker_networks = 10.1.0.0/16").replication;
    assert_eq!(networks(&found.worker_networks), (true, false));
    assert_eq!(networks(&found.controller_networks), (true, true));
    let keys = [
        ("fleet", "idle_return_s = 30"),
        ("fleet", "most_machines = 12"),
        ("scheduling", "block_lease_s = 20"),
        ("replication", "standby = on"),
        ("replication", "leader_lease_s = 4.3"),
        ("replication", "controller_networks = 10.1.0.0/16"),
        ("replication", "worker_networks = 10.1.0.0/16"),
    ];
    for (own, line) in keys {
        for section in ["fleet", "scheduling", "replication", "other"] {
            let found = parse(section, line);
            assert_eq!(found.is_ok(), section == own, "[{section}] {line}: {found:?}");
        }
        assert!(OperatorSettings::parse(line).is_err(), "{line} outside of a section");
    }
}

#[test]
fn empty_operator_settings_keep_defaults() {
    let found = OperatorSettings::parse("").unwrap();
    assert_eq!(found, OperatorSettings::default());
    assert_eq!(found.idle_timeout, None);
    assert_eq!(found.max_machines, usize::MAX);
    assert_eq!(found.shard_lease, ms(30_000));
    assert!(found.replication.standby);
    assert_eq!(found.replication.leader_lease, ms(5_000));
    assert!(found.replication.controller_networks.allow_socket("10.1.2.3:9"));
    assert!(found.replication.worker_networks.allow_socket("10.1.2.3:9"));
}

#[test]
fn operator_settings_accept_values_from_minimum_to_maximum() {
    for (section, key, least, most, below, above) in [
        ("fleet", "idle_return_s", "1", "86400", "0.9", "86401"),
        ("scheduling", "block_lease_s", "1", "86400", "0.9", "86401"),
        ("replication", "leader_lease_s", "3", "60", "2.9", "60.1"),
    ] {
        let parse = |value| OperatorSettings::parse(&format!("[{section}]\n{key} = {value}\n"));
        assert!(parse(least).is_ok() && parse(most).is_ok(), "{key}");
        assert!(parse(below).is_err() && parse(above).is_err(), "{key}");
    }
}
