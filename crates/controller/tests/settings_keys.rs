//! Every key of the platform's settings file (TOML) and of the operators' settings file (INI): what it sets, whether
//! it is required, and its default.

use hookway_controller::{OperatorSettings, Settings};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Platform settings with the required keys only.
const REQUIRED_KEYS: &str = r#"
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

/// Platform settings with every key.
const ALL_KEYS: &str = r#"
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
    let parsed = Settings::parse(ALL_KEYS).unwrap();
    assert_eq!((parsed.controller_name.as_str(), parsed.zone.as_str()), ("worker-0", "a"));
    assert_eq!(parsed.api_addr, "127.0.0.1:8080");
    assert_eq!(parsed.peer_bind, "127.0.0.1:8081");
    let peers: Vec<[&str; 3]> =
        parsed.peers.iter().map(|peer| [&*peer.name, &*peer.zone, &*peer.address]).collect();
    assert_eq!(peers, [["worker-1", "b", "127.0.0.1:9081"], ["worker-2", "", "127.0.0.1:9082"]]);
    assert_eq!(parsed.endpoints.cloud, "127.0.0.1:1");
    assert_eq!(parsed.endpoints.store, "127.0.0.1:2");
    let params = parsed.platform;
    assert_eq!(params.max_clock_error_ms, 3.0);
    assert_eq!(params.zones, ["a", "b"]);
    let teams: Vec<(&str, [f64; 4])> = params
        .teams
        .iter()
        .map(|team| {
            (
                team.name.as_str(),
                [team.guaranteed_cpus, team.max_cpus, team.guaranteed_gpus, team.max_gpus],
            )
        })
        .collect();
    assert_eq!(teams, [("vision", [11.0, 12.0, 13.0, 14.0]), ("free", [0.0; 4])]);
    let objectives: Vec<(&str, Option<&str>, Option<f64>)> = params
        .objectives
        .iter()
        .map(|objective| (objective.kind.as_str(), objective.class.as_deref(), objective.within_s))
        .collect();
    assert_eq!(objectives, [("finished", Some("cleanup"), Some(150.0)), ("later", None, None)]);
    let workers = params.workers;
    let spans = [
        workers.heartbeat_interval_s,
        workers.lease_s,
        workers.gang_wait_s,
        workers.gang_peer_s,
        workers.cancel_s,
    ];
    assert_eq!(spans, [2.0, 14.0, 35.0, 4.0, 44.0]);
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (4.0, 5.0));
    let limits = params.machine_limits;
    assert_eq!((limits.max_sockets, limits.core_share), (500, 0.5));
}

#[test]
fn each_next_limit_key_lowers_current_limit() {
    let store = |text: &str| Settings::parse(text).unwrap().platform.store;
    let present = store(REQUIRED_KEYS);
    assert_eq!(
        (present.rps, present.write_rps, present.value_kb, present.txn_ops),
        (200.0, 25.0, 8.0, 16)
    );
    assert_eq!(present.next, None);
    let stricter = store(ALL_KEYS);
    assert_eq!(
        (stricter.rps, stricter.write_rps, stricter.value_kb, stricter.txn_ops),
        (100.0, 20.0, 4.0, 12)
    );
    assert_eq!(stricter.max_accepted_value_kb, 8.0);
    let next = stricter.next.unwrap();
    let next = (next.rps, next.write_rps, next.value_kb, next.txn_ops);
    assert_eq!(next, (Some(100.0), Some(20.0), Some(4.0), Some(12)));
    let empty_next = store(&format!("{REQUIRED_KEYS}[settings.state.next]\n"));
    assert_eq!(
        (empty_next.rps, empty_next.write_rps, empty_next.value_kb, empty_next.txn_ops),
        (200.0, 25.0, 8.0, 16)
    );
}

#[test]
fn missing_optional_platform_settings_keys_have_defaults() {
    let parsed = Settings::parse(REQUIRED_KEYS).unwrap();
    assert_eq!(parsed.zone, "");
    assert!(parsed.peers.is_empty());
    let params = parsed.platform;
    assert_eq!(params.max_clock_error_ms, 0.0);
    assert!(params.teams.is_empty());
    assert!(params.objectives.is_empty());
    let limits = params.machine_limits;
    assert_eq!((limits.max_sockets, limits.core_share), (1_000, 1.0));
    let sockets = format!("{REQUIRED_KEYS}[settings.machine_limits]\nmax_sockets = 7\n");
    let limits = Settings::parse(&sockets).unwrap().platform.machine_limits;
    assert_eq!((limits.max_sockets, limits.core_share), (7, 1.0));
}

#[test]
fn missing_required_platform_settings_key_is_rejected_by_name() {
    let lines: Vec<&str> = REQUIRED_KEYS.lines().collect();
    for (index, line) in lines.iter().enumerate() {
        let Some((key, _)) = line.split_once(" = ") else { continue };
        let rest = [&lines[..index], &lines[index + 1..]].concat().join("\n");
        let error = Settings::parse(&rest).unwrap_err().to_string();
        assert!(error.contains(&format!("missing field `{key}`")), "without {key}: {error}");
    }
    for (table, key) in [
        ("[[siblings]]\nlabel = 'worker-1'\n", "address"),
        ("[[siblings]]\naddress = '127.0.0.1:1'\n", "label"),
        ("[[settings.teams]]\ncpus = 1.0\n", "name"),
        ("[[settings.objectives]]\nclass = 'cleanup'\n", "kind"),
    ] {
        let error = Settings::parse(&format!("{REQUIRED_KEYS}{table}")).unwrap_err().to_string();
        assert!(error.contains(&format!("missing field `{key}`")), "without {key}: {error}");
    }
}

#[test]
fn each_operator_settings_key_sets_its_value_only_in_its_section() {
    let parse =
        |section: &str, line: &str| OperatorSettings::parse(&format!("[{section}]\n{line}\n"));
    let set = |section, line| parse(section, line).unwrap();
    let allowed = |networks: &hookway_controller::networks::Networks| {
        (networks.allows_socket_address("10.1.2.3:9"), networks.allows_socket_address("10.2.2.3:9"))
    };
    assert_eq!(set("fleet", "idle_return_s = 30.5").idle_timeout, Some(ms(30_500)));
    assert_eq!(set("fleet", "most_machines = 12").max_machines, 12);
    assert_eq!(set("scheduling", "block_lease_s = 20").shard_lease_length, ms(20_000));
    assert!(set("replication", "standby = on").replication.keeps_standby_copy);
    assert!(!set("replication", "standby = off").replication.keeps_standby_copy);
    assert_eq!(
        set("replication", "leader_lease_s = 4.3").replication.leader_lease_length,
        ms(4_300)
    );
    let parsed = set("replication", "controller_networks = 10.1.0.0/16").replication;
    assert_eq!(allowed(&parsed.controller_networks), (true, false));
    assert_eq!(allowed(&parsed.worker_networks), (true, true));
    let parsed = set("replication", "worker_networks = 10.1.0.0/16").replication;
    assert_eq!(allowed(&parsed.worker_networks), (true, false));
    assert_eq!(allowed(&parsed.controller_networks), (true, true));
    let keys = [
        ("fleet", "idle_return_s = 30"),
        ("fleet", "most_machines = 12"),
        ("scheduling", "block_lease_s = 20"),
        ("replication", "standby = on"),
        ("replication", "leader_lease_s = 4.3"),
        ("replication", "controller_networks = 10.1.0.0/16"),
        ("replication", "worker_networks = 10.1.0.0/16"),
    ];
    for (own_section, line) in keys {
        for section in ["fleet", "scheduling", "replication", "other"] {
            let parsed = parse(section, line);
            assert_eq!(parsed.is_ok(), section == own_section, "[{section}] {line}: {parsed:?}");
        }
        assert!(OperatorSettings::parse(line).is_err(), "{line} outside of a section");
    }
}

#[test]
fn empty_operator_settings_keep_defaults() {
    let parsed = OperatorSettings::parse("").unwrap();
    assert_eq!(parsed, OperatorSettings::default());
    assert_eq!(parsed.idle_timeout, None);
    assert_eq!(parsed.max_machines, usize::MAX);
    assert_eq!(parsed.shard_lease_length, ms(30_000));
    assert!(parsed.replication.keeps_standby_copy);
    assert_eq!(parsed.replication.leader_lease_length, ms(5_000));
    assert!(parsed.replication.controller_networks.allows_socket_address("10.1.2.3:9"));
    assert!(parsed.replication.worker_networks.allows_socket_address("10.1.2.3:9"));
}

#[test]
fn operator_settings_accept_values_from_minimum_to_maximum() {
    for (section, key, min, max, below, above) in [
        ("fleet", "idle_return_s", "1", "86400", "0.9", "86401"),
        ("scheduling", "block_lease_s", "1", "86400", "0.9", "86401"),
        ("replication", "leader_lease_s", "3", "60", "2.9", "60.1"),
    ] {
        let parse = |value| OperatorSettings::parse(&format!("[{section}]\n{key} = {value}\n"));
        assert!(parse(min).is_ok() && parse(max).is_ok(), "{key}");
        assert!(parse(below).is_err() && parse(above).is_err(), "{key}");
    }
}
