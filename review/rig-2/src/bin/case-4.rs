//! Case 4: a controller loses the state service as it is elected, and has it back shortly before its lease is over.

use review_rig_2::ctl::{Controllers, NAMES, Settings, free_addresses};
use review_rig_2::fleet::{Flavor, Fleet, FleetConfig};
use review_rig_2::record::Record;
use review_rig_2::store::{Plan, Store};
use review_rig_2::{array, finish, has_trouble, status, submit};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// "Most responses take under 10 ms, and now and then a few hundred."
const SLOW_ANSWER: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Seen {
    /// The last lease granted to each controller: id, time, length.
    grants: [Option<(u64, Instant, Duration)>; 3],
    /// The controller whose election was the first one.
    first: Option<usize>,
    /// The lease of the leader that is elected next, and that leader.
    second: Option<(usize, u64)>,
    slowed: bool,
    /// The first leader is cut off from the state service: its connections are reset.
    cut: bool,
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let trouble = has_trouble();
    let record = Record::create("review/4/record.txt");
    record.line(format!("trouble: {trouble}"));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let (at_arrival, at_end, log) = (seen.clone(), seen.clone(), record.clone());
    let end_log = record.clone();
    let store = Store::new(
        Box::new(move |caller, req| {
            let mut seen = at_arrival.lock().unwrap();
            let mut plan = Plan::default();
            let reads_leader = req.method == "GET" && req.path == "/keys" && req.q("Prefix") == Some("lead/");
            if seen.first == Some(caller) && seen.cut {
                plan.reset = true;
                return plan;
            }
            if seen.first == Some(caller) && reads_leader && !seen.slowed {
                seen.slowed = true;
                plan.after = SLOW_ANSWER;
                log.line(format!("store: {} reads lead/, its answer takes {SLOW_ANSWER:?}", NAMES[caller]));
            }
            if req.path == "/keys/lead/now" {
                log.line(format!("store: {} reads lead/now", NAMES[caller]));
            }
            plan
        }),
        Box::new(move |caller, req, code, answer| {
            let mut seen = at_end.lock().unwrap();
            let mut plan = Plan::default();
            if req.path == "/grants" {
                let ttl = Duration::from_millis(req.json()["TtlMs"].as_u64().unwrap_or(0));
                seen.grants[caller] = answer["Permit"].as_u64().map(|id| (id, Instant::now(), ttl));
                end_log.line(format!("store: {} gets lease {}", NAMES[caller], answer["Permit"]));
            } else if req.path.starts_with("/grants/") {
                end_log.line(format!("store: {} {} {} -> {code}", NAMES[caller], req.method, req.path));
            } else if req.path == "/commit" && code == 200 {
                let body = req.json();
                let election = body["Apply"].as_array().into_iter().flatten().find(|op| op["Put"] == "lead/now").cloned();
                if let Some(election) = election {
                    end_log.line(format!("store: {} is elected: {}", NAMES[caller], election));
                    if seen.first.is_none() {
                        seen.first = Some(caller);
                        if trouble {
                            plan.reset = true;
                            seen.cut = true;
                            end_log.line(format!("cut: {} loses the state service, its connections are reset", NAMES[caller]));
                        }
                    } else if seen.second.is_none() {
                        seen.second = Some((caller, election["Permit"].as_u64().unwrap_or(0)));
                    }
                }
            }
            plan
        }),
    );
    let zones = ["bucuresti-vest", "cluj-nord", "iasi-est"];
    let addresses = free_addresses(6);
    let (api, peers) = (addresses[..3].to_vec(), addresses[3..].to_vec());
    let config = FleetConfig {
        flavors: vec![Flavor { label: "mic", cpus: 4.0, ram_gb: 8.0, fetch_gb_per_s: 0.8, ready_s: 2.0, hourly: 0.26 }],
        zones: zones.to_vec(),
        capacity: 4,
        report: Duration::from_secs(2),
        lease: Duration::from_secs(14),
        gang_wait: Duration::from_secs(35),
        boot: Duration::from_millis(1500),
        nodes: (0..3).map(|i| (NAMES[i].to_owned(), api[i].clone())).collect(),
    };
    let answers = record.clone();
    let fleet = Fleet::new(
        config,
        record.clone(),
        Box::new(move |machine, node, code, answer| {
            let orders = answer["Orders"].as_array().map_or(0, Vec::len);
            answers.line(format!("{machine}: report to {} -> {code} token {} orders {orders}", NAMES[node], answer["Baton"]));
        }),
    );
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
    let wait = |what: &str, limit: f64, test: &dyn Fn() -> bool| {
        let end = record.now() + limit;
        while !test() {
            if record.now() > end {
                record.line(format!("no {what} in time"));
                return false;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        true
    };
    if !wait("election", 10.0, &|| seen.lock().unwrap().first.is_some()) {
        return finish(&record, false);
    }
    let first = seen.lock().unwrap().first.unwrap();
    let (_, granted_at, ttl) = seen.lock().unwrap().grants[first].unwrap();
    if trouble {
        let until = granted_at + ttl - Duration::from_millis(300);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        seen.lock().unwrap().cut = false;
        record.line(format!("cut: {} has the state service back", NAMES[first]));
        if !wait("second election", 10.0, &|| seen.lock().unwrap().second.is_some()) {
            return finish(&record, false);
        }
    } else {
        std::thread::sleep(Duration::from_secs(5));
    }
    for i in 0..3 {
        fleet.start_machine("mic", zones[i], false, Duration::ZERO, Some(i));
    }
    std::thread::sleep(Duration::from_secs(4));
    // Users submit jobs and ask for them; more machines boot as the controllers rent them.
    let jobs: Vec<String> = (0..3).map(|n| format!("req-{:06}", 401 + n)).collect();
    for id in &jobs {
        let job = array(id, 6, 1.0, 8.0);
        fleet.add_job(&job, Duration::from_secs(8));
        if submit(&api, &job, &record).is_none() {
            return finish(&record, false);
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    let end = record.now() + 45.0;
    let mut done = 0;
    while record.now() < end && record.breaches().is_empty() {
        std::thread::sleep(Duration::from_secs(3));
        done = 0;
        for id in &jobs {
            for (n, node) in api.iter().enumerate() {
                let answer = status(node, id);
                record.line(format!("user: {id} at node {n} -> {answer:?}"));
                done += usize::from(answer.is_some_and(|(c, a)| c == 200 && a["Status"] == "done"));
            }
        }
        if done == 9 {
            break;
        }
    }
    for i in 0..3 {
        record.line(format!("log of {}:\n{}", NAMES[i], controllers.log(i)));
    }
    finish(&record, trouble || done == 9)
}
