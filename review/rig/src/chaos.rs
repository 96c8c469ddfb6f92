//! Random faults, to look for broken rules. Not a case.

use crate::Outcome;
use crate::controllers::{Controllers, Deployment, TIMING, ZONES};
use crate::machines::{Fleet, Link};
use crate::proxy::{Mode, Proxy};
use crate::record::Record;
use crate::users::{Answer, User, array};
use hookway_testkit::StoreServer;
use rand::RngExt;
use std::cell::RefCell;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

#[derive(Default, Clone)]
struct Known {
    accepted: bool,
    done: bool,
    cancelled_at: Option<Instant>,
    cancel_asked: bool,
    last_ok: Option<Instant>,
}

fn ms(from: u64, to: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(from..to))
}

pub async fn run(folder: &Path, record: &Record, length_s: u64) -> Outcome {
    let store = StoreServer::default();
    store.expire_leases_by_clock();
    let store_address = store.start().await.expect("a free port");
    let mut proxies = Vec::new();
    for _ in 0..3 {
        proxies.push(Proxy::start(&store_address).await);
    }
    let fleet = Fleet::new(TIMING, record);
    let cloud = fleet.start_cloud().await;
    let stores: Vec<String> = proxies.iter().map(|proxy| proxy.address.clone()).collect();
    let deployment = Deployment {
        store: &store_address,
        stores: Some([stores[0].clone(), stores[1].clone(), stores[2].clone()]),
        cloud: &cloud,
        timing: TIMING,
        teams: "[[settings.teams]]\nname = \"oaspete-cadastru\"\ncpus_max = 4.0\n",
    };
    let mut controllers = Controllers::prepare(folder, &deployment, record);
    let peers = controllers.proxy_peers().await;
    let apis: Vec<String> = controllers.all.iter().map(|node| node.api.clone()).collect();
    fleet
        .add_machines(
            &[
                ZONES[0], ZONES[1], ZONES[2], ZONES[0], ZONES[1], ZONES[2], ZONES[0], ZONES[1],
                ZONES[2],
            ],
            &apis,
        )
        .await;
    {
        let mut world = fleet.lock();
        world.late_commands = 0.15;
        world.late_reports = 0.1;
    }
    controllers.start_all();
    let user = Rc::new(User { record: record.clone(), apis: apis.clone() });
    let known: Rc<RefCell<HashMap<String, Known>>> = Rc::default();
    let broken: Rc<RefCell<Vec<String>>> = Rc::default();
    let local = tokio::task::LocalSet::new();
    let until = Instant::now() + Duration::from_secs(length_s);
    local
        .run_until(async {
            // Users.
            {
                let (user, known, broken, fleet, record) =
                    (user.clone(), known.clone(), broken.clone(), fleet.clone(), record.clone());
                tokio::task::spawn_local(async move {
                    let mut number = 0;
                    while Instant::now() < until {
                        number += 1;
                        let id = format!("req-{number:06}");
                        tokio::task::spawn_local(one_user(
                            id,
                            number,
                            user.clone(),
                            known.clone(),
                            broken.clone(),
                            fleet.clone(),
                            record.clone(),
                        ));
                        sleep(ms(800, 5_000)).await;
                    }
                });
            }
            // Cancelled tasks must be gone.
            {
                let (known, broken, fleet) = (known.clone(), broken.clone(), fleet.clone());
                tokio::task::spawn_local(async move {
                    loop {
                        sleep(Duration::from_millis(200)).await;
                        let limit = Duration::from_secs_f64(TIMING.cancel_s);
                        for (id, job) in known.borrow().iter() {
                            if job.cancelled_at.is_some_and(|at| at.elapsed() > limit) {
                                for piece in 0..6 {
                                    if fleet.machine_of(&format!("{id}/{piece}")).is_some() {
                                        broken.borrow_mut().push(format!("ran_cancelled {id}"));
                                    }
                                }
                            }
                        }
                    }
                });
            }
            while Instant::now() < until {
                sleep(ms(500, 9_000)).await;
                let node = rand::rng().random_range(0..3);
                let machine = rand::rng().random_range(0..9);
                match rand::rng().random_range(0..14) {
                    8 | 9 => {
                        // One controller loses the others, and perhaps the store.
                        let modes = [Mode::Hold, Mode::HoldAnswers, Mode::LoseAnswers];
                        let mode = modes[rand::rng().random_range(0..3)];
                        let with_store = rand::rng().random_bool(0.6);
                        let node = match controllers.leader(Duration::from_secs(2)).await {
                            Some(leader) if rand::rng().random_bool(0.7) => leader,
                            _ => node,
                        };
                        record.line(&format!(
                            "peers of worker-{node}: {mode:?}, store too: {with_store}"
                        ));
                        for other in 0..3 {
                            peers[node][other].set(mode);
                            peers[other][node].set(mode);
                        }
                        if with_store {
                            proxies[node].set(mode);
                        }
                        sleep(ms(1_000, 20_000)).await;
                        for other in 0..3 {
                            peers[node][other].set(Mode::Pass);
                            peers[other][node].set(Mode::Pass);
                        }
                        proxies[node].set(Mode::Pass);
                        record.line("peers: Pass");
                    }
                    0 => {
                        controllers.all[node].kill();
                        sleep(ms(100, 6_000)).await;
                        controllers.all[node].start();
                    }
                    1 => {
                        controllers.all[node].signal("STOP");
                        sleep(ms(500, 12_000)).await;
                        controllers.all[node].signal("CONT");
                    }
                    2 => {
                        record.line("store: outage");
                        store.begin_outage();
                        sleep(ms(1_000, 15_000)).await;
                        store.end_outage();
                        record.line("store: back");
                    }
                    3 | 4 => {
                        let modes =
                            [Mode::Hold, Mode::HoldAnswers, Mode::LoseAnswers, Mode::Refuse];
                        let mode = modes[rand::rng().random_range(0..4)];
                        record.line(&format!("store for worker-{node}: {mode:?}"));
                        proxies[node].set(mode);
                        sleep(ms(500, 12_000)).await;
                        proxies[node].set(Mode::Pass);
                        record.line(&format!("store for worker-{node}: Pass"));
                    }
                    5 => {
                        for _ in 0..2 {
                            for n in 0..3 {
                                controllers.all[n].kill();
                            }
                            sleep(ms(100, 3_000)).await;
                            controllers.start_all();
                            sleep(ms(500, 9_000)).await;
                        }
                    }
                    6 => {
                        if let Some(leader) = controllers.leader(Duration::from_secs(2)).await {
                            controllers.all[leader].kill();
                            sleep(ms(50, 800)).await;
                            controllers.all[leader].start();
                        }
                    }
                    7 => {
                        if let Some(leader) = controllers.leader(Duration::from_secs(2)).await {
                            let mode = [Mode::Hold, Mode::Refuse][rand::rng().random_range(0..2)];
                            record.line(&format!("store for leader worker-{leader}: {mode:?}"));
                            proxies[leader].set(mode);
                            sleep(ms(4_000, 15_000)).await;
                            proxies[leader].set(Mode::Pass);
                        }
                    }
                    _ => {
                        if fleet.lock().machines[machine].link == Link::Up {
                            fleet.cut(machine);
                            let fleet = fleet.clone();
                            tokio::task::spawn_local(async move {
                                sleep(ms(200, 20_000)).await;
                                fleet.restore(machine);
                            });
                        }
                    }
                }
                for controller in &mut controllers.all {
                    if controller.has_ended() {
                        broken.borrow_mut().push(format!("{} ended by itself", controller.name));
                    }
                }
                let violations = fleet.lock().violations.clone();
                broken.borrow_mut().extend(violations);
                if !broken.borrow().is_empty() {
                    break;
                }
            }
            record.line("no more trouble");
            controllers.start_missing();
            sleep(Duration::from_secs(90)).await;
            for (id, job) in known.borrow().iter() {
                if job.accepted && !job.done && job.cancelled_at.is_none() && !job.cancel_asked {
                    let answer = user.status(0, id).await;
                    if !answer.is_some_and(|a| a.state() == "done" || a.state() == "running") {
                        broken.borrow_mut().push(format!("{id} is left over"));
                    }
                }
            }
        })
        .await;
    let broken = broken.borrow().clone();
    match broken.first() {
        Some(text) => Outcome::Broken(text.clone()),
        None => Outcome::Held,
    }
}

async fn one_user(
    id: String,
    number: u32,
    user: Rc<User>,
    known: Rc<RefCell<HashMap<String, Known>>>,
    broken: Rc<RefCell<Vec<String>>>,
    fleet: Fleet,
    record: Record,
) {
    let pieces = 1 + number % 5;
    let run_s = if number % 9 == 0 { 40.0 } else { 1.0 + f64::from(number % 5) * 2.0 };
    fleet.add_job(&id, run_s);
    let mut body = array(&id, pieces, if number % 3 == 0 { 2.0 } else { 1.0 }, run_s);
    if number % 4 == 0 {
        body = body.replace("echipa-registru", "oaspete-cadastru");
    }
    let mut accepted = false;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(60) {
        let node = rand::rng().random_range(0..3);
        let answer = user.submit_once(node, &body).await;
        if check(&id, &answer, &known, &broken, &record) {
            accepted = true;
            break;
        }
        sleep(Duration::from_secs(1)).await;
    }
    if !accepted {
        return;
    }
    known.borrow_mut().entry(id.clone()).or_default().accepted = true;
    let cancels = number % 4 == 1 || number % 8 == 4;
    let cancel_at = Instant::now() + ms(0, 15_000);
    let mut looks = 0;
    loop {
        let state = known.borrow().get(&id).cloned().unwrap_or_default();
        let over = state.done || state.cancelled_at.is_some();
        if over {
            looks += 1;
            if looks > 12 {
                return;
            }
        }
        let node = rand::rng().random_range(0..3);
        if cancels && !over && Instant::now() >= cancel_at {
            known.borrow_mut().entry(id.clone()).or_default().cancel_asked = true;
            let answer = user.cancel(node, &id).await;
            check(&id, &answer, &known, &broken, &record);
        } else if looks == 5 {
            let answer = user.submit_once(node, &body).await;
            check(&id, &answer, &known, &broken, &record);
        } else {
            let answer = user.status(node, &id).await;
            check(&id, &answer, &known, &broken, &record);
        }
        sleep(if over { ms(1, 600) } else { ms(50, 2_000) }).await;
    }
}

/// Checks an answer against what was said before. Returns whether it says that the job is accepted.
fn check(
    id: &str,
    answer: &Option<Answer>,
    known: &Rc<RefCell<HashMap<String, Known>>>,
    broken: &Rc<RefCell<Vec<String>>>,
    record: &Record,
) -> bool {
    let Some(answer) = answer else { return false };
    let mut known = known.borrow_mut();
    let job = known.entry(id.to_owned()).or_default();
    let fail = |text: String| {
        record.line(&format!("BROKEN {text}"));
        broken.borrow_mut().push(text);
    };
    match answer.status {
        200 | 201 => {
            job.last_ok = Some(Instant::now());
            let state = answer.state();
            if job.done && state != "done" {
                fail(format!("went_back: {id} was done, is {state}"));
            }
            if job.cancelled_at.is_some() && state != "withdrawn" {
                fail(format!("went_back: {id} was withdrawn, is {state}"));
            }
            if answer.status == 201 && job.accepted {
                fail(format!("{id} accepted twice"));
            }
            job.done |= state == "done";
            if state == "withdrawn" {
                if !job.cancel_asked {
                    fail(format!("{id} withdrawn, though its user did not ask"));
                }
                job.cancelled_at.get_or_insert(Instant::now());
            }
            true
        }
        404 | 400 | 422 => {
            if job.accepted {
                fail(format!("forgotten: {id} gets {}", answer.status));
            }
            false
        }
        _ => false,
    }
}
