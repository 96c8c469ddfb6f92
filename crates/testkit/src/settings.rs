//! Settings and machine types of a small deployment.

use hookway_wire::MachineType;

/// Platform settings (TOML) of a small deployment. They contain an unknown field, `something_new`, which controllers
/// must ignore. No process listens at the addresses.
pub const PLATFORM_SETTINGS: &str = r#"
label = "worker-0"
domain = "a"
api_addr = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
something_new = 3
[[siblings]]
label = "worker-1"
domain = "b"
address = "127.0.0.1:9081"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[settings]
zones = ["a", "b"]
[[settings.teams]]
name = "team"
[[settings.teams]]
name = "tight"
cpus_max = 4.0
[[settings.teams]]
name = "vision"
cpus_max = 100.0
[[settings.objectives]]
kind = "finished"
class = "cleanup"
within_s = 150.0
share = 0.8
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
txn_ops = 8
[settings.cloud]
rps = 4.0
list_lag_s = 4.0
"#;

/// Returns the machine types of the deployment of [`PLATFORM_SETTINGS`]: a single small one.
pub fn machine_types() -> Vec<MachineType> {
    vec![MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price_per_hour: 1.0,
        spot_price: Some(0.3),
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }]
}
