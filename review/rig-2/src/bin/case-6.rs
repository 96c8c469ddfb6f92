//! Case 6: services of a team come several times as often, a gang no longer fits beside them, and an array waits behind it.

use review_rig_2::ctl::{Controllers, NAMES, Settings, free_addresses};
use review_rig_2::fleet::{Flavor, Fleet, FleetConfig};
use review_rig_2::record::Record;
use review_rig_2::store::{Plan, Store};
use review_rig_2::{finish, has_trouble, status, submit};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const SERVICES: [&str; 2] = ["req-000601", "req-000602"];
const GANG: &str = "req-000603";
/// When the gang comes, after the first service.
const GANG_AFTER: Duration = Duration::from_secs(8);
const ARRAY: &str = "req-000604";
/// When the array comes, after the first service.
const ARRAY_AFTER: Duration = Duration::from_secs(14);
/// CPUs that the team may use.
const LIMIT: f64 = 6.0;
const MACHINE_CPUS: f64 = 4.0;
/// Usual time between two services.
const USUAL_INTERVAL: Duration = Duration::from_secs(24);
/// How much more often they come in the burst.
const BURST_FACTOR: u32 = 4;
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

/// What the check needs of one moment.
struct Sample {
    /// CPUs of the team's tasks on machines.
    team_cpus: f64,
    /// CPUs that are free on the machine with most room.
    room: f64,
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
        capacity: 2,
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
        teams: format!(
            "[[settings.teams]]\nname = \"echipa-registru\"\n[[settings.teams]]\nname = \"oaspete-cadastru\"\ncpus_max = {LIMIT:.1}\n"
        ),
        report_s: 2.0,
        lease_s: 14.0,
        cancel_s: 44.0,
        state: "rps = 200.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 8".into(),
    });
    (0..3).for_each(|i| controllers.start(i));
    (0..3).for_each(|i| drop(fleet.start_machine("mic", zones[i], false, Duration::ZERO, Some(i))));
    std::thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let interval = if trouble { USUAL_INTERVAL / BURST_FACTOR } else { USUAL_INTERVAL };
    let mut arrivals: Vec<(Duration, &str)> = (0..).zip(SERVICES).map(|(n, id)| (interval * n, id)).collect();
    arrivals.push((GANG_AFTER, GANG));
    arrivals.push((ARRAY_AFTER, ARRAY));
    arrivals.sort();
    for (after, id) in arrivals {
        std::thread::sleep((began + after).saturating_duration_since(Instant::now()));
        let (spec, run_s) = match id {
            GANG => (job(id, "recensamant-mare", "group", "normal", 2, 2.0, 6.0), 6),
            ARRAY => (job(id, "roi-verificari", "array", "normal", 1, 1.0, 5.0), 5),
            _ => (job(id, "umplere-inactiv", "daemon", "production", 1, 2.0, 0.0), 1000),
        };
        fleet.add_job(&spec, Duration::from_secs(run_s));
        if submit(&api, &spec, &record).is_none() {
            return finish(&record, false);
        }
    }
    record.line("no more jobs come: the burst is over");
    let over = Instant::now();
    let sample = || {
        let state = fleet.lock();
        let used = |machine: &review_rig_2::fleet::Machine| -> f64 {
            let tasks = machine.tasks.iter().filter(|t| t.status != "ended");
            tasks.map(|t| state.jobs[t.piece.split('/').next().unwrap_or_default()].spec["Vcpus"].as_f64().unwrap_or(0.0)).sum()
        };
        let up = || state.machines.iter().filter(|m| m.up && !m.gone);
        Sample {
            team_cpus: up().map(used).sum(),
            room: up().map(|m| MACHINE_CPUS - used(m)).fold(0.0, f64::max),
        }
    };
    let jobs = [GANG, ARRAY];
    let started = |id: &str| {
        let state = fleet.lock();
        let done = state.done.keys().any(|piece| piece.starts_with(id));
        done || state.machines.iter().flat_map(|m| &m.tasks).any(|t| t.piece.starts_with(id) && t.on_machine())
    };
    // Whether the array has waited since `over`, with room on a machine that fits and the team under its limit.
    let mut waits = true;
    let (mut samples, mut fits_limit) = (0u32, 0u32);
    let mut done = 0;
    let mut polled = Instant::now();
    while over.elapsed() < WAITING_LIMIT && done < jobs.len() {
        std::thread::sleep(Duration::from_millis(20));
        let Sample { team_cpus, room } = sample();
        samples += 1;
        fits_limit += u32::from(team_cpus + 1.0 <= LIMIT);
        waits &= !started(ARRAY) && room >= 1.0 && team_cpus < LIMIT;
        if polled.elapsed() > Duration::from_secs(5) {
            polled = Instant::now();
            done = 0;
            for id in jobs {
                let answer = status(&api[0], id);
                record.line(format!("user: {id} -> {answer:?}; team uses {team_cpus} of {LIMIT} CPUs, most room {room}"));
                done += usize::from(answer.is_some_and(|(c, a)| c == 200 && a["Status"] == "done"));
            }
        }
    }
    record.line(format!("{fits_limit} of {samples} times a task of the array fitted into the team's limit"));
    if waits {
        record.broken(format!(
            "{ARRAY} has waited for {WAITING_LIMIT:?} since the burst; a machine that fits always had room, and its team \
             was always under its limit (in {} of 100 samples a task of it fitted into the limit)",
            fits_limit * 100 / samples.max(1)
        ));
    }
    let starts = fleet.lock().starts;
    record.line(format!("{starts} task starts, {done} of {} jobs done", jobs.len()));
    finish(&record, done == jobs.len())
}
