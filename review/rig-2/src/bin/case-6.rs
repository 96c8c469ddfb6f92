//! Case 6: a machine dies, a gang waits for a machine in use, and an array waits beside idle machines.

use review_rig_2::ctl::{Controllers, NAMES, Settings, free_addresses};
use review_rig_2::fleet::{Flavor, Fleet, FleetConfig};
use review_rig_2::record::Record;
use review_rig_2::store::{Plan, Store};
use review_rig_2::{finish, has_trouble, status, submit};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const LONG: &str = "req-000601";
const GANG: &str = "req-000602";
const ARRAY: &str = "req-000603";
const MACHINE_CPUS: f64 = 4.0;
/// "Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and its team is
/// under its limit."
const WAITING_LIMIT: Duration = Duration::from_secs(90);

fn main() {
    std::process::exit(run());
}

fn job(id: &str, class: &str, shape: &str, rank: &str, pieces: u32, cpus: f64, guess_s: f64) -> Value {
    json!({"NameId": id, "Lane": class, "Owner": "oaspete-cadastru", "Shape": shape, "Rank": rank, "Pieces": pieces,
        "Vcpus": cpus, "Gpus": 0.0, "RamGb": 1.0, "Bundle": "img-01", "ImageGb": 0.2, "Flavors": null, "Yard": null,
        "Together": false, "Spread": false, "Loaners": true, "GuessS": guess_s, "SnapshotEveryS": 0.0,
        "SnapshotS": 0.0, "DueS": null})
}

fn run() -> i32 {
    let trouble = has_trouble();
    let record = Record::create("review/6/record.txt");
    record.line(format!("trouble: {trouble}"));
    let store = Store::new(
        Box::new(|_, _| Plan::default()),
        Box::new(|_, _, _, _| Plan::default()),
    );
    let zones = ["bucuresti-vest", "cluj-nord", "iasi-est"];
    let addresses = free_addresses(6);
    let (api, peers) = (addresses[..3].to_vec(), addresses[3..].to_vec());
    let config = FleetConfig {
        flavors: vec![Flavor {
            label: "mic",
            cpus: MACHINE_CPUS,
            ram_gb: 8.0,
            fetch_gb_per_s: 0.8,
            ready_s: 25.0,
            hourly: 0.26,
        }],
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
    for i in 0..4 {
        fleet.start_machine("mic", zones[i % 3], false, Duration::ZERO, Some(i % 3));
    }
    std::thread::sleep(Duration::from_secs(3));
    let send = |spec: Value, run_s: u64| {
        fleet.add_job(&spec, Duration::from_secs(run_s));
        submit(&api, &spec, &record).is_some()
    };
    let started = |id: &str| {
        let state = fleet.lock();
        let done = state.done.keys().any(|piece| piece.starts_with(id));
        done || state.machines.iter().flat_map(|m| &m.tasks).any(|t| t.piece.starts_with(id) && t.on_machine())
    };
    if !send(job(LONG, "umplere-inactiv", "array", "normal", 1, 4.0, 200.0), 200) {
        return finish(&record, false);
    }
    let limit = Instant::now() + Duration::from_secs(10);
    while !started(LONG) {
        if Instant::now() > limit {
            return finish(&record, false);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if trouble {
        let idle = fleet.lock().machines.iter().find(|m| m.tasks.is_empty()).map(|m| m.name.clone());
        fleet.die(&idle.unwrap_or_default());
    }
    let over = Instant::now();
    std::thread::sleep(Duration::from_secs(6));
    if !send(job(GANG, "recensamant-mare", "group", "normal", 3, 4.0, 10.0), 10) {
        return finish(&record, false);
    }
    std::thread::sleep(Duration::from_secs(7));
    if !send(job(ARRAY, "roi-verificari", "array", "low", 2, 1.0, 5.0), 5) {
        return finish(&record, false);
    }
    record.line(format!("the machine died {:.1} s ago", over.elapsed().as_secs_f64()));
    let since = Instant::now();
    // Machines that are up, and those of them without a task.
    let machines = || {
        let state = fleet.lock();
        let up = || state.machines.iter().filter(|m| m.up && !m.gone);
        (up().count(), up().filter(|m| m.tasks.iter().all(|t| t.status == "ended")).count())
    };
    let mut waits = true;
    let mut least_idle = usize::MAX;
    let mut polled = Instant::now();
    let mut done = 0;
    while since.elapsed() < WAITING_LIMIT && done < 2 {
        std::thread::sleep(Duration::from_millis(20));
        let (up, idle) = machines();
        least_idle = least_idle.min(idle);
        waits &= !started(ARRAY) && idle > 0;
        if polled.elapsed() > Duration::from_secs(5) {
            polled = Instant::now();
            done = 0;
            for id in [LONG, GANG, ARRAY] {
                let answer = status(&api[0], id);
                record.line(format!("user: {id} -> {answer:?}; {idle} of {up} machines without a task"));
                done += usize::from(answer.is_some_and(|(c, a)| c == 200 && a["Status"] == "done"));
            }
        }
    }
    if waits {
        record.broken(format!(
            "{ARRAY} (1 CPU a task) has waited for {WAITING_LIMIT:?}; at least {least_idle} machines of {MACHINE_CPUS} CPUs \
             had no task all the time, and its team has no limit"
        ));
    }
    let starts = fleet.lock().starts;
    record.line(format!("{starts} task starts"));
    finish(&record, done == 2)
}
