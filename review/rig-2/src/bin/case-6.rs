//! Case 6: a machine dies that has the image of a gang; the gang waits for a preemption that nobody begins.

use review_rig_2::ctl::{Controllers, NAMES, Settings, free_addresses};
use review_rig_2::fleet::{Flavor, Fleet, FleetConfig};
use review_rig_2::record::Record;
use review_rig_2::store::{Plan, Store};
use review_rig_2::{finish, has_trouble, status, submit};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const SERVICES: [&str; 2] = ["req-000601", "req-000602"];
const LONG: &str = "req-000603";
const SHORT: &str = "req-000604";
const GANG: &str = "req-000605";
const LARGE_CPUS: f64 = 64.0;
const GANG_CPUS: f64 = 2.0;
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
    let small = |zone| fleet.start_machine("mic", zone, false, Duration::ZERO, None);
    let (_busy, empty, dying) = (small(zones[0]), small(zones[1]), small(zones[2]));
    let large = fleet.start_machine("mare", zones[1], false, Duration::ZERO, None);
    std::thread::sleep(Duration::from_secs(3));
    let has = |id: &str, status: &str| {
        let state = fleet.lock();
        let mut tasks = state.machines.iter().flat_map(|m| &m.tasks);
        tasks.any(|t| t.piece.starts_with(id) && t.status == status)
    };
    let wait_for = |test: &dyn Fn() -> bool| {
        let limit = Instant::now() + Duration::from_secs(10);
        while !test() && Instant::now() < limit {
            std::thread::sleep(Duration::from_millis(20));
        }
        test()
    };
    let send = |spec: &Value, run_s: u64| {
        fleet.add_job(spec, Duration::from_secs(run_s));
        submit(&api, spec, &record).is_some()
    };
    let mut beside = job(SERVICES[0], "cautare-live", "daemon", "production", 1, 2.0, 0.0);
    beside["Yard"] = json!(zones[0]);
    let mut on_large = job(SERVICES[1], "cod-postal-api", "daemon", "production", 1, LARGE_CPUS - GANG_CPUS, 0.0);
    on_large["Flavors"] = json!(["mare"]);
    let mut long = job(LONG, "curatare-noapte", "array", "low", 1, 0.5, 200.0);
    long["Yard"] = json!(zones[0]);
    long["Bundle"] = json!("img-02");
    long["ImageGb"] = json!(1.0);
    long["SnapshotEveryS"] = json!(20.0);
    long["SnapshotS"] = json!(0.1);
    let mut short = job(SHORT, "curatare-noapte", "array", "low", 1, 0.5, 2.0);
    short["Yard"] = json!(zones[2]);
    short["Bundle"] = json!("img-02");
    short["ImageGb"] = json!(1.0);
    let sent = send(&beside, 1000) && send(&on_large, 1000) && send(&long, 250) && send(&short, 2);
    let ready = || SERVICES.iter().all(|id| has(id, "running")) && has(LONG, "running") && fleet.lock().done.len() == 1;
    if !sent || !wait_for(&ready) {
        return finish(&record, false);
    }
    // The short job is over for its user as well, so nothing is lost with its machine.
    let is_done = || status(&api[0], SHORT).is_some_and(|(c, a)| c == 200 && a["Status"] == "done");
    if !wait_for(&is_done) {
        return finish(&record, false);
    }
    if trouble {
        fleet.die(&dying);
    }
    std::thread::sleep(Duration::from_secs(6));
    let mut gang = job(GANG, "reindex-national", "group", "high", 1, GANG_CPUS, 5.0);
    gang["Bundle"] = json!("img-02");
    gang["ImageGb"] = json!(1.0);
    if !send(&gang, 5) {
        return finish(&record, false);
    }
    let over = Instant::now();
    // Room on the empty machine and on the large one.
    let room = || {
        let state = fleet.lock();
        let used = |m: &review_rig_2::fleet::Machine| -> f64 {
            let tasks = m.tasks.iter().filter(|t| t.status != "ended");
            tasks.map(|t| state.jobs[t.piece.split('/').next().unwrap_or_default()].spec["Vcpus"].as_f64().unwrap_or(0.0)).sum()
        };
        let left = |name: &str, cpus: f64| {
            let machine = state.machines.iter().find(|m| m.name == name && m.up && !m.gone);
            machine.map_or(0.0, |m| cpus - used(m))
        };
        (left(&empty, 4.0), left(&large, LARGE_CPUS))
    };
    let mut waits = true;
    let mut polled = Instant::now();
    let mut done = false;
    while over.elapsed() < WAITING_LIMIT + Duration::from_secs(1) && !done {
        std::thread::sleep(Duration::from_millis(20));
        let (on_empty, on_large) = room();
        waits &= on_empty.max(on_large) >= GANG_CPUS && !["pulling", "waiting", "running"].iter().any(|s| has(GANG, s));
        if polled.elapsed() > Duration::from_secs(5) {
            polled = Instant::now();
            let answer = status(&api[0], GANG);
            record.line(format!("user: {GANG} -> {answer:?}; free CPUs: {on_empty} on {empty}, {on_large} on {large}"));
            done = answer.is_some_and(|(c, a)| c == 200 && a["Status"] == "done");
        }
    }
    if waits && !done {
        record.broken(format!(
            "{GANG} (one task of {GANG_CPUS} CPUs) has waited for {WAITING_LIMIT:?}; {empty} or {large}, which fit, had room \
             for it all the time, and its team has no limit"
        ));
    }
    let starts = fleet.lock().starts;
    record.line(format!("{starts} task starts"));
    finish(&record, done)
}
