//! The cases, and the deployments that they share: those of our pages, with fewer machines.

mod held_machine;
mod stopped_in_vain;
mod swarm;
mod taking_turns;

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
const VEST: &str = "bucuresti-vest";
const CLUJ: &str = "cluj-nord";
const IASI: &str = "iasi-est";

pub fn run(case: &str, trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    match case {
        "swarm" => swarm::run(trouble, record, folder),
        "stopped-in-vain" => stopped_in_vain::run(trouble, record, folder),
        "taking-turns" => taking_turns::run(trouble, record, folder),
        "held-machine" => held_machine::run(trouble, record, folder),
        _ => Ok(Verdict::CouldNotRun(format!("no case {case}"))),
    }
}

/// A site of our pages.
struct Site {
    domains: [&'static str; 3],
    flavors: Vec<Flavor>,
    timing: Timing,
    limits: Limits,
    platform: String,
}

/// The thumbnail farm, `kit/sites/miradorcito-thumbs.toml`. The guest team is that of `kit/more/LATER.md`.
fn thumbs(cpus_max: f64) -> Site {
    let flavors = vec![
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
    ];
    let platform = format!(
        r#"[settings]
initial_size = 3
zones = ["{ESTE}", "{OESTE}"]
clock_off_ms = 1000.0
{}{}{}{}{}[settings.workers]
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
"#,
        team("equipo-portadas", 0.0, cpus_max),
        team("huesped-subtitulos", 0.0, 0.0),
        objective("wait", "rebuild-grilla", 30.0),
        objective("finished", "rebuild-grilla", 90.0),
        "[[settings.objectives]]\nkind = \"deadline\"\nclass = \"recorte-lote\"\nshare = 0.9\ntimes = 1.0\n",
    );
    let timing = Timing {
        report: Duration::from_secs(3),
        lease: Duration::from_secs(42),
        gang_wait: Duration::from_secs(40),
        list_lag: Duration::from_secs(5),
    };
    let limits = Limits { txn_ops: 24, value_bytes: 8 * 1024, write_rps: None };
    Site { domains: [OESTE, ESTE, OESTE], flavors, timing, limits, platform }
}

/// The address grid, `kit/sites/adresa-comuna.toml`, with a guarantee for its team (0: none). The guest team, without a
/// guarantee, is that of `kit/more/LATER.md`.
fn grid(guarantee_cpus: f64) -> Site {
    grid_with_guest_limit(guarantee_cpus, 0.0)
}

/// The same with a limit for the guest team (0: none).
fn grid_with_guest_limit(guarantee_cpus: f64, guest_cpus_max: f64) -> Site {
    let flavors = vec![
        Flavor {
            label: "mic",
            vcpus: 4.0,
            ram_gb: 8.0,
            local_gb: 60.0,
            fetch_gb_per_s: 0.8,
            hourly: 0.26,
            market_price: 0.1,
            ready_s: 25.0,
            yards: vec![VEST, CLUJ, IASI],
        },
        Flavor {
            label: "mare",
            vcpus: 64.0,
            ram_gb: 256.0,
            local_gb: 35.0,
            fetch_gb_per_s: 0.2,
            hourly: 4.86,
            market_price: 1.72,
            ready_s: 20.0,
            yards: vec![VEST, CLUJ, IASI],
        },
    ];
    let platform = format!(
        r#"[settings]
initial_size = 3
zones = ["{VEST}", "{CLUJ}", "{IASI}"]
clock_off_ms = 25.0
{}{}{}{}{}{}[settings.workers]
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
[settings.machine_limits]
core_share = 0.08
memory_mb = 56.0
max_sockets = 900
"#,
        team("echipa-registru", guarantee_cpus, 0.0),
        team("oaspete-cadastru", 0.0, guest_cpus_max),
        objective("wait", "reindex-national", 25.0),
        objective("finished", "reindex-national", 90.0),
        "[[settings.objectives]]\nkind = \"deadline\"\nclass = \"potrivire-zilnica\"\nshare = 0.85\ntimes = 1.0\n",
        objective("finished", "curatare-noapte", 150.0),
    );
    let timing = Timing {
        report: Duration::from_secs(2),
        lease: Duration::from_secs(14),
        gang_wait: Duration::from_secs(35),
        list_lag: Duration::from_secs(4),
    };
    let limits = Limits { txn_ops: 8, value_bytes: 8 * 1024, write_rps: None };
    Site { domains: [VEST, CLUJ, IASI], flavors, timing, limits, platform }
}

fn team(name: &str, cpus: f64, cpus_max: f64) -> String {
    format!(
        "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\ngpus = 0.0\ngpus_max = 0.0\n"
    )
}

fn objective(kind: &str, class: &str, within_s: f64) -> String {
    format!(
        "[[settings.objectives]]\nkind = \"{kind}\"\nclass = \"{class}\"\nwithin_s = {within_s:.1}\nshare = 0.8\n"
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
    fn start(site: Site, capacity: Vec<Capacity>, record: &Arc<Record>, folder: &Path) -> io::Result<Self> {
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 1 + id / 62_500 % 250, 1 + id / 250 % 250, 1 + id % 250);
        let (store, state) = Store::start(&ip, site.limits)?;
        let (nodes, held) = nodes(&ip, &site.domains)?;
        let named = |node: &Node| (node.label.clone(), node.api.clone());
        let names = nodes.iter().map(named).collect();
        let fleet = Fleet::start(&ip, names, site.flavors, capacity, site.timing, record.clone())?;
        let cloud = fleet.start_cloud()?;
        drop(held);
        let controllers = Controllers::start(&nodes, &cloud, &state, &site.platform, folder)?;
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
        make_known(&self.fleet, job, run, errors);
        matches!(self.user.submit(job), Some(200 | 201))
    }
}

/// Makes a job known to the workers.
fn make_known(fleet: &Fleet, job: &Value, run: Duration, errors: u32) {
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
    fleet.add_job(job["NameId"].as_str().unwrap_or_default(), facts);
}

/// A job of the class `rebuild-grilla`: a gang of one task that fills a `grande`.
fn rebuild_grilla(id: &str) -> Value {
    json!({"NameId": id, "Lane": "rebuild-grilla", "Owner": "equipo-portadas", "Shape": "group", "Rank": "high",
        "Pieces": 1, "Vcpus": 30.0, "Gpus": 0.0, "RamGb": 51.0, "Bundle": "img-grilla", "ImageGb": 1.8,
        "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": false, "GuessS": 35.0,
        "SnapshotEveryS": 45.0, "SnapshotS": 3.0, "DueS": null})
}

/// A job of the class `recorte-lote`: an array.
fn recorte_lote(id: &str, pieces: u32, vcpus: f64) -> Value {
    json!({"NameId": id, "Lane": "recorte-lote", "Owner": "equipo-portadas", "Shape": "array", "Rank": "normal",
        "Pieces": pieces, "Vcpus": vcpus, "Gpus": 0.0, "RamGb": 2.3, "Bundle": "img-recorte", "ImageGb": 0.2,
        "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": true, "GuessS": 10.0,
        "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "DueS": 60.0})
}

/// A job of the address grid. What is not given is left to the default of the class.
struct GridJob {
    id: &'static str,
    lane: &'static str,
    owner: &'static str,
    shape: &'static str,
    rank: &'static str,
    pieces: u32,
    vcpus: f64,
    bundle: &'static str,
    image_gb: f64,
    flavors: Option<&'static str>,
    together: bool,
    saves: bool,
    guess_s: f64,
}

impl GridJob {
    fn body(&self) -> Value {
        json!({"NameId": self.id, "Lane": self.lane, "Owner": self.owner, "Shape": self.shape, "Rank": self.rank,
            "Pieces": self.pieces, "Vcpus": self.vcpus, "Gpus": 0.0, "RamGb": 1.8, "Bundle": self.bundle,
            "ImageGb": self.image_gb, "Flavors": self.flavors.map(|flavor| vec![flavor]), "Yard": null,
            "Together": self.together, "Spread": false, "Loaners": true, "GuessS": self.guess_s,
            "SnapshotEveryS": if self.saves { 20.0 } else { 0.0 }, "SnapshotS": if self.saves { 6.0 } else { 0.0 },
            "DueS": null})
    }
}

/// Watches a job until it is done, or has waited for `WAIT_LIMIT` without a start while `room` finds machines that fit
/// and have room. `also` are other jobs whose states are asked for, for the record.
fn watch_waiting_job(
    deployment: &mut Deployment,
    job: &str,
    also: &[&str],
    room: impl Fn(&Fleet) -> Vec<(String, f64)>,
    record: &Record,
) -> Verdict {
    let mut waits_since: Option<Instant> = None;
    let mut polled_at = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(100));
        if !deployment.controllers.all_run() {
            return Verdict::Broken("a controller has ended".into());
        }
        if polled_at.elapsed() >= Duration::from_secs(5) {
            polled_at = Instant::now();
            also.iter().for_each(|other| drop(deployment.user.poll(other)));
            if deployment.user.poll(job).as_deref() == Some("done") {
                return Verdict::Held(format!("{job} is done"));
            }
        }
        let machines = room(&deployment.fleet);
        if !deployment.fleet.starts(job).is_empty() || machines.is_empty() {
            waits_since = None;
            continue;
        }
        let since = *waits_since.get_or_insert_with(|| {
            record.line(format!("{job} waits, room on {machines:?}"));
            Instant::now()
        });
        if since.elapsed() >= WAIT_LIMIT {
            return Verdict::Broken(format!(
                "{job} has waited for {} s, while {machines:?} (machine, free CPUs) fit and have room",
                since.elapsed().as_secs()
            ));
        }
    }
}
