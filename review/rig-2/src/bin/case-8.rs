//! Case 8: the only task of a job fails once, and only one machine fits it.

use review_rig_2::ctl::{Controllers, NAMES, Settings, free_addresses};
use review_rig_2::fleet::{Flavor, Fleet, FleetConfig};
use review_rig_2::record::Record;
use review_rig_2::store::{Plan, Store};
use review_rig_2::{finish, has_trouble, status, submit};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const SERVICES: [&str; 2] = ["req-000799", "req-000800"];
const JOB: &str = "req-000801";
const LARGE_CPUS: f64 = 64.0;
const JOB_CPUS: f64 = 60.0;
/// "Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and its team is
/// under its limit."
const WAITING_LIMIT: Duration = Duration::from_secs(90);

fn main() {
    std::process::exit(run());
}

fn job(id: &str, class: &str, shape: &str, rank: &str, pieces: u32, cpus: f64, guess_s: f64) -> Value {
    json!({"NameId": id, "Lane": class, "Owner": "echipa-registru", "Shape": shape, "Rank": rank, "Pieces": pieces,
        "Vcpus": cpus, "Gpus": 0.0, "RamGb": 1.0, "Bundle": "img-01", "ImageGb": 0.2, "Flavors": null, "Yard": null,
        "Together": false, "Spread": false, "Loaners": true, "GuessS": guess_s, "SnapshotEveryS": 0.0,
        "SnapshotS": 0.0, "DueS": null})
}

fn run() -> i32 {
    let trouble = has_trouble();
    let record = Record::create("review/8/record.txt");
    record.line(format!("trouble: {trouble}"));
    let store = Store::new(
        Box::new(|_, _| Plan::default()),
        Box::new(|_, _, _, _| Plan::default()),
    );
    let zones = ["bucuresti-vest", "cluj-nord", "iasi-est"];
    let addresses = free_addresses(6);
    let (api, peers) = (addresses[..3].to_vec(), addresses[3..].to_vec());
    let config = FleetConfig {
        flavors: vec![
            Flavor { label: "mic", cpus: 4.0, ram_gb: 8.0, fetch_gb_per_s: 0.8, ready_s: 25.0, hourly: 0.26 },
            Flavor { label: "mare", cpus: LARGE_CPUS, ram_gb: 256.0, fetch_gb_per_s: 0.2, ready_s: 20.0, hourly: 4.86 },
        ],
        zones: zones.to_vec(),
        capacity: 0,
        report: Duration::from_secs(2),
        lease: Duration::from_secs(14),
        gang_wait: Duration::from_secs(35),
        boot: Duration::from_secs(25),
        nodes: (0..3).map(|i| (NAMES[i].to_owned(), api[i].clone())).collect(),
    };
    let fleet = Fleet::new(config, record.clone(), Box::new(|_, _, _, _| {}));
    let cloud = fleet.open_cloud();
    let mut controllers = Controllers::prepare(&Settings {
        zones,
        api: api.clone(),
        peers,
        peer_address: None,
        stores: (0..3).map(|i| store.open(i)).collect(),
        cloud,
        teams: "[[settings.teams]]\nname = \"echipa-registru\"\n[[settings.teams]]\nname = \"oaspete-cadastru\"\n".into(),
        report_s: 2.0,
        lease_s: 14.0,
        cancel_s: 44.0,
        state: "rps = 200.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 8".into(),
    });
    (0..3).for_each(|i| controllers.start(i));
    // The cloud is at its limit: it rents no more machines.
    for zone in zones {
        fleet.start_machine("mic", zone, false, Duration::ZERO, None);
    }
    let large = fleet.start_machine("mare", zones[0], false, Duration::ZERO, None);
    std::thread::sleep(Duration::from_secs(3));
    let started = |id: &str| {
        let state = fleet.lock();
        state.machines.iter().flat_map(|m| &m.tasks).any(|t| t.piece.starts_with(id) && t.status == "running")
    };
    let wait_for = |test: &dyn Fn() -> bool| {
        let limit = Instant::now() + Duration::from_secs(10);
        while !test() && Instant::now() < limit {
            std::thread::sleep(Duration::from_millis(20));
        }
        test()
    };
    // One service fills the small machines; another one runs on the large one and leaves room for the job.
    let mut small = job(SERVICES[0], "cod-postal-api", "daemon", "production", 3, 4.0, 0.0);
    small["Flavors"] = json!(["mic"]);
    let mut on_large = job(SERVICES[1], "cautare-live", "daemon", "production", 1, 1.0, 0.0);
    on_large["Flavors"] = json!(["mare"]);
    for (service, id) in [small, on_large].iter().zip(SERVICES) {
        fleet.add_job(service, Duration::from_secs(1000));
        if submit(&api, service, &record).is_none() || !wait_for(&|| started(id)) {
            return finish(&record, false);
        }
    }
    let spec = job(JOB, "reindex-national", "group", "high", 1, JOB_CPUS, 10.0);
    fleet.add_job(&spec, Duration::from_secs(10));
    if trouble {
        fleet.lock().fails.push(format!("{JOB}/0"));
    }
    if submit(&api, &spec, &record).is_none() {
        return finish(&record, false);
    }
    let has_begun = || if trouble { fleet.lock().fails.is_empty() } else { started(JOB) };
    if !wait_for(&has_begun) {
        return finish(&record, false);
    }
    let over = Instant::now();
    // Room on the large machine.
    let room = || {
        let state = fleet.lock();
        let machine = state.machines.iter().find(|m| m.name == large && m.up && !m.gone);
        let used = |m: &review_rig_2::fleet::Machine| -> f64 {
            let tasks = m.tasks.iter().filter(|t| t.status != "ended");
            tasks.map(|t| state.jobs[t.piece.split('/').next().unwrap_or_default()].spec["Vcpus"].as_f64().unwrap_or(0.0)).sum()
        };
        machine.map_or(0.0, |m| LARGE_CPUS - used(m))
    };
    let mut waits = true;
    let mut polled = Instant::now();
    let mut done = false;
    std::thread::sleep(Duration::from_millis(200));
    while over.elapsed() < WAITING_LIMIT + Duration::from_secs(1) && !done {
        std::thread::sleep(Duration::from_millis(20));
        waits &= room() >= JOB_CPUS;
        if polled.elapsed() > Duration::from_secs(5) {
            polled = Instant::now();
            let answer = status(&api[0], JOB);
            record.line(format!("user: {JOB} -> {answer:?}; {large} has {} CPUs free", room()));
            done = answer.is_some_and(|(c, a)| c == 200 && a["Status"] == "done");
        }
    }
    if waits && !done {
        record.broken(format!(
            "{JOB} has waited for {WAITING_LIMIT:?} since its task failed once; {large}, which fits, had {JOB_CPUS} CPUs free \
             all the time, and its team has no limit"
        ));
    }
    let starts = fleet.lock().starts;
    record.line(format!("{starts} task starts"));
    finish(&record, done)
}
