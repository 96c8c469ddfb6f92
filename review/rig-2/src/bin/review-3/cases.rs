//! The cases, and the deployment that they share: that of the thumbnail farm, with fewer machines.

mod error_once;
mod full_limit;

use crate::Verdict;
use crate::cluster::{Controllers, Node, User, nodes};
use crate::fleet::{Capacity, Flavor, Fleet, JobFacts, Timing};
use crate::record::Record;
use crate::store::{Limits, Store};
use serde_json::{Value, json};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time in which a job must start once nothing keeps it: "no job is left waiting for 90 s".
const WAIT_LIMIT: Duration = Duration::from_secs(90);

const OESTE: &str = "oeste-montevideo";
const ESTE: &str = "este-canelones";

pub fn run(case: &str, trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    match case {
        "error-once" => error_once::run(trouble, record, folder),
        "full-limit" => full_limit::run(trouble, record, folder),
        _ => Ok(Verdict::CouldNotRun(format!("no case {case}"))),
    }
}

/// The machine types of the thumbnail farm, as in `kit/sites/miradorcito-thumbs.toml`.
fn flavors() -> Vec<Flavor> {
    vec![
        Flavor {
            label: "chico",
            vcpus: 4.0,
            ram_gb: 16.0,
            local_gb: 35.0,
            fetch_gb_per_s: 0.1,
            hourly: 0.23,
            market_price: 0.05,
            ready_s: 20.0,
            yards: vec![OESTE],
        },
        Flavor {
            label: "grande",
            vcpus: 32.0,
            ram_gb: 64.0,
            local_gb: 30.0,
            fetch_gb_per_s: 0.12,
            hourly: 1.58,
            market_price: 0.36,
            ready_s: 35.0,
            yards: vec![ESTE],
        },
    ]
}

/// The settings table of the thumbnail farm; `cpus_max` is the limit of its team, 0 for none. The guest team is that of
/// `kit/more/LATER.md`.
fn platform(cpus_max: f64) -> String {
    format!(
        r#"[settings]
initial_size = 3
zones = ["{ESTE}", "{OESTE}"]
clock_off_ms = 1000.0
[[settings.teams]]
name = "equipo-portadas"
cpus = 0.0
cpus_max = {cpus_max:.1}
gpus = 0.0
gpus_max = 0.0
[[settings.teams]]
name = "huesped-subtitulos"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[settings.objectives]]
kind = "wait"
class = "rebuild-grilla"
within_s = 30.0
share = 0.8
[[settings.objectives]]
kind = "finished"
class = "rebuild-grilla"
within_s = 90.0
share = 0.8
[[settings.objectives]]
kind = "deadline"
class = "recorte-lote"
share = 0.9
times = 1.0
[settings.workers]
report_s = 3.0
lease_s = 42.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 72.0
[settings.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 24
[settings.cloud]
rps = 10.0
list_lag_s = 5.0
[settings.machine_limits]
core_share = 0.12
memory_mb = 200.0
max_sockets = 4000
"#
    )
}

/// A running deployment.
struct Deployment {
    fleet: Arc<Fleet>,
    user: User,
    controllers: Controllers,
    _store: Arc<Store>,
}

impl Deployment {
    /// Starts three controllers and the stand-ins, on an address of this process alone.
    fn start(capacity: Vec<Capacity>, cpus_max: f64, record: &Arc<Record>, folder: &Path) -> io::Result<Self> {
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 1 + id / 62_500 % 250, 1 + id / 250 % 250, 1 + id % 250);
        let (store, state) = Store::start(&ip, Limits { txn_ops: 24, value_bytes: 8 * 1024 })?;
        let nodes = nodes(&ip, &[OESTE, ESTE, OESTE])?;
        let named = |node: &Node| (node.label.clone(), node.api.clone());
        let timing = Timing {
            report: Duration::from_secs(3),
            lease: Duration::from_secs(42),
            gang_wait: Duration::from_secs(40),
            list_lag: Duration::from_secs(5),
        };
        let names = nodes.iter().map(named).collect();
        let fleet = Fleet::start(&ip, names, flavors(), capacity, timing, record.clone())?;
        let cloud = fleet.start_cloud()?;
        let controllers = Controllers::start(&nodes, &cloud, &state, &platform(cpus_max), folder)?;
        let user = User { nodes: nodes.iter().map(|node| node.api.clone()).collect(), record: record.clone() };
        Ok(Self { fleet, user, controllers, _store: store })
    }

    /// Waits until so many tasks of a job run. `false`: they do not within 30 s.
    fn wait_until_running(&self, job: &str, tasks: usize) -> bool {
        let started_at = Instant::now();
        while self.fleet.running(job) < tasks {
            if started_at.elapsed() > Duration::from_secs(30) {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Makes a job known to the workers, and submits it. `false`: it was not accepted.
    fn submit(&self, job: &Value, run: Duration, errors: u32) -> bool {
        let number = |name: &str| job[name].as_f64().unwrap_or(0.0);
        let facts = JobFacts {
            is_gang: job["Shape"] == "group",
            is_daemon: job["Shape"] == "daemon",
            pieces: number("Pieces") as u32,
            vcpus: number("Vcpus"),
            ram_gb: number("RamGb"),
            bundle: job["Bundle"].as_str().unwrap_or_default().to_owned(),
            image_gb: number("ImageGb"),
            snapshot_every_s: number("SnapshotEveryS"),
            snapshot_s: number("SnapshotS"),
            run,
            errors_left: errors,
        };
        self.fleet.add_job(job["NameId"].as_str().unwrap_or_default(), facts);
        matches!(self.user.submit(job), Some(200 | 201))
    }
}

/// A job of the class `rebuild-grilla`: a gang of one task that fills a `grande`.
fn rebuild_grilla(id: &str) -> Value {
    json!({"NameId": id, "Lane": "rebuild-grilla", "Owner": "equipo-portadas", "Shape": "group", "Rank": "high",
        "Pieces": 1, "Vcpus": 30.0, "Gpus": 0.0, "RamGb": 51.0, "Bundle": "img-grilla", "ImageGb": 1.8,
        "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": false, "GuessS": 35.0,
        "SnapshotEveryS": 45.0, "SnapshotS": 3.0, "DueS": null})
}

/// A service of the class `sirve-miniatura`, which runs until its user calls it off.
fn sirve_miniatura(id: &str, pieces: u32) -> Value {
    json!({"NameId": id, "Lane": "sirve-miniatura", "Owner": "equipo-portadas", "Shape": "daemon",
        "Rank": "production", "Pieces": pieces, "Vcpus": 1.0, "Gpus": 0.0, "RamGb": 1.6, "Bundle": "img-sirve",
        "ImageGb": 0.2, "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": false,
        "GuessS": 0.0, "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "DueS": null})
}

/// A job of the class `recorte-lote`: an array.
fn recorte_lote(id: &str, pieces: u32, vcpus: f64) -> Value {
    json!({"NameId": id, "Lane": "recorte-lote", "Owner": "equipo-portadas", "Shape": "array", "Rank": "normal",
        "Pieces": pieces, "Vcpus": vcpus, "Gpus": 0.0, "RamGb": 2.3, "Bundle": "img-recorte", "ImageGb": 0.2,
        "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": true, "GuessS": 10.0,
        "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "DueS": 60.0})
}

/// A job of the guest team: an array that runs for longer than the test.
fn relleno_nocturno(id: &str, pieces: u32, vcpus: f64) -> Value {
    json!({"NameId": id, "Lane": "relleno-nocturno", "Owner": "huesped-subtitulos", "Shape": "array",
        "Rank": "normal", "Pieces": pieces, "Vcpus": vcpus, "Gpus": 0.0, "RamGb": 2.3, "Bundle": "img-relleno",
        "ImageGb": 0.2, "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": true,
        "GuessS": 600.0, "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "DueS": null})
}
