//! Case 7: the leader's process ends while a job runs, and a user asks the other nodes for the job's state.

use review_rig_2::ctl::{Controllers, NAMES, Settings, free_addresses};
use review_rig_2::fleet::{Flavor, Fleet, FleetConfig};
use review_rig_2::record::Record;
use review_rig_2::store::{Plan, Store};
use review_rig_2::{array, finish, has_trouble, status, submit};
use std::time::{Duration, Instant};

/// "The state may lag by up to 3 s."
const LAG: Duration = Duration::from_secs(3);
const JOB: &str = "req-000412";
const PIECES: u32 = 4;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let trouble = has_trouble();
    let record = Record::create("review/7/record.txt");
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
            cpus: 4.0,
            ram_gb: 8.0,
            fetch_gb_per_s: 0.8,
            ready_s: 25.0,
            hourly: 0.26,
        }],
        zones: zones.to_vec(),
        capacity: 1,
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
        teams: "[[settings.teams]]\nname = \"echipa-registru\"\n".into(),
        report_s: 2.0,
        lease_s: 14.0,
        cancel_s: 44.0,
        state: "rps = 200.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 8".into(),
    });
    (0..3).for_each(|i| controllers.start(i));
    (0..3).for_each(|i| drop(fleet.start_machine("mic", zones[i], false, Duration::ZERO, Some(i))));
    std::thread::sleep(Duration::from_secs(5));
    // The tasks run for longer than this test lasts.
    let job = array(JOB, PIECES, 2.0, 90.0);
    fleet.add_job(&job, Duration::from_secs(100));
    if submit(&api, &job, &record).is_none() {
        return finish(&record, false);
    }
    let running = || {
        let state = fleet.lock();
        let tasks = state.machines.iter().flat_map(|m| &m.tasks);
        tasks.filter(|t| t.status == "running").count() == PIECES as usize
    };
    let limit = Instant::now() + Duration::from_secs(30);
    while !running() {
        if Instant::now() > limit {
            return finish(&record, false);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.line("all tasks run");
    std::thread::sleep(LAG + Duration::from_secs(5));
    let Some(leader) = store
        .get("lead/now")
        .and_then(|(v, _)| NAMES.iter().position(|n| v["label"] == *n))
    else {
        return finish(&record, false);
    };
    let ask = |n: usize| {
        let answer = status(&api[n], JOB);
        let still = running();
        record.line(format!("user: {JOB} at {} -> {answer:?}; all {PIECES} tasks run: {still}", NAMES[n]));
        let Some((200, body)) = answer else { return };
        if still && body["Status"] != "running" {
            record.broken(format!(
                "{} answers {:?} (running: {}), but all {PIECES} tasks of {JOB} run, for longer than {LAG:?}",
                NAMES[n], body["Status"], body["running"]
            ));
        }
    };
    (0..3).for_each(ask);
    if trouble {
        controllers.kill(leader);
        record.line(format!("{}, the leader, is killed", NAMES[leader]));
    }
    // Users poll roughly every 5 s; three of them ask at the other nodes in turn.
    for i in 0..12 {
        std::thread::sleep(Duration::from_millis(1000));
        (0..3).filter(|n| *n != leader).for_each(ask);
        // Back about 8 s after its end.
        if trouble && i == 7 {
            controllers.start(leader);
            record.line(format!("{} is back", NAMES[leader]));
        }
    }
    finish(&record, running())
}
