//! A machine loses the network, has it back for a moment, and loses it again, while the leader is replaced.

use crate::Outcome;
use crate::controllers::{Controllers, Deployment, TIMING, ZONES};
use crate::machines::{Fleet, Link};
use crate::record::Record;
use crate::users::{User, array};
use hookway_testkit::StoreServer;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const POLL: Duration = Duration::from_millis(5);
/// The network is back for less time than a worker leaves between two reports.
const BACK_FOR: Duration = Duration::from_millis(100);
/// Machines that stay reachable, and machines that lose the network.
const MACHINES: usize = 6;
/// Time within which the task must have been started elsewhere, if it is at all.
const WATCH: Duration = Duration::from_secs(15);

/// Waits until `check` returns a value, for at most `wait`.
async fn wait_for<T>(wait: Duration, mut check: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + wait;
    loop {
        if let Some(found) = check() {
            return Some(found);
        }
        if Instant::now() >= until {
            return None;
        }
        sleep(POLL).await;
    }
}

/// Runs the scenario, and once or twice more if the network could not come back at the moment that it needs.
pub async fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    let began = Instant::now();
    loop {
        let fleet = Fleet::new(TIMING, record);
        let outcome = run_once(folder, record, trouble, &fleet).await;
        fleet.stop();
        match outcome {
            Outcome::CouldNotRun(text) if began.elapsed() < Duration::from_secs(62) => {
                record.line(&format!("{text}; once more"));
            }
            outcome => return outcome,
        }
    }
}

async fn run_once(folder: &Path, record: &Record, trouble: bool, fleet: &Fleet) -> Outcome {
    let failed = |text: &str| Outcome::CouldNotRun(text.to_owned());
    let store = StoreServer::default();
    store.expire_leases_by_clock();
    let store_address = store.start().await.expect("a free port");
    let cloud = fleet.start_cloud().await;
    let deployment = Deployment {
        store: &store_address,
        stores: None,
        cloud: &cloud,
        timing: TIMING,
        teams: "",
    };
    let mut controllers = Controllers::prepare(folder, &deployment, record);
    let apis: Vec<String> = controllers.all.iter().map(|node| node.api.clone()).collect();
    let home = [ZONES[0]; MACHINES];
    let away = [ZONES[1], ZONES[2], ZONES[1], ZONES[2], ZONES[1], ZONES[2]];
    fleet.add_machines(&home, &apis).await;
    fleet.add_machines(&away, &apis).await;
    controllers.start_all();
    let user = User { record: record.clone(), apis };

    let Some(leader) = controllers.leader(Duration::from_secs(20)).await else {
        return failed("no leader");
    };
    record.line(&format!("worker-{leader} leads"));
    let registered = wait_for(Duration::from_secs(20), || {
        let text = store.with_store(|store| format!("{:?}", store.list("r/")));
        (1..=2 * MACHINES).all(|n| text.contains(&format!("m-{n:06}"))).then_some(())
    });
    if registered.await.is_none() {
        return failed("the machines were not registered");
    }
    // The first job fills the machines of the first zone, and is done long before the tasks of the second may move.
    fleet.add_job("req-000001", 8.0);
    fleet.add_job("req-000002", 600.0);
    let filler = array("req-000001", MACHINES as u32, 4.0, 8.0)
        .replace("\"Yard\":null", &format!("\"Yard\":\"{}\"", ZONES[0]));
    if !user.submit(&filler).await {
        return failed("the first job was not accepted");
    }
    let busy = wait_for(Duration::from_secs(10), || {
        (0..MACHINES).all(|n| fleet.machine_of(&format!("req-000001/{n}")).is_some()).then_some(())
    });
    if busy.await.is_none() {
        return failed("the first job did not start");
    }
    sleep(Duration::from_millis(1_500)).await;
    if trouble {
        let mut world = fleet.lock();
        world.machines[MACHINES..].iter_mut().for_each(|m| m.cut_at_direct_start = true);
    }
    if !user.submit(&array("req-000002", MACHINES as u32, 4.0, 600.0)).await {
        return failed("the second job was not accepted");
    }
    if !trouble {
        let started = wait_for(Duration::from_secs(10), || {
            let on = |n: usize| fleet.machine_of(&format!("req-000002/{n}")).is_some();
            (0..MACHINES).all(on).then_some(())
        });
        if started.await.is_none() {
            return failed("the second job did not start");
        }
        sleep(WATCH).await;
        return verdict(fleet);
    }
    let cut = wait_for(Duration::from_millis(1_500), || {
        let world = fleet.lock();
        let all = world.machines[MACHINES..].iter().all(|m| m.link == Link::Cut);
        all.then_some(())
    });
    if cut.await.is_none() {
        record.line("not all starts were sent directly; the others went with answers to reports");
    }
    sleep(Duration::from_millis(200)).await;
    // The leader ends and is back within a fraction of a second, until another controller leads.
    let mut next = leader;
    for _ in 0..4 {
        controllers.all[next].kill();
        sleep(Duration::from_millis(300)).await;
        controllers.all[next].start();
        let Some(elected) = controllers.leader(Duration::from_secs(12)).await else {
            return failed("no next leader");
        };
        record.line(&format!("worker-{elected} leads"));
        next = elected;
        if next != leader {
            break;
        }
    }
    let elected_at = Instant::now();
    // The network is back while a report to the leader is on its way, and between two attempts of the leader to ask
    // the machine itself.
    let moment = wait_for(Duration::from_secs(13), || {
        let world = fleet.lock();
        if elected_at.elapsed() < Duration::from_secs(2) {
            return None;
        }
        (MACHINES..2 * MACHINES).find(|index| {
            let machine = &world.machines[*index];
            let since = |at: Instant| at.elapsed().as_millis();
            let reports = machine
                .reporting
                .is_some_and(|(node, at)| node == next && (20..380).contains(&since(at)));
            let between_attempts = machine
                .last_attempt
                .is_none_or(|at| (1_520..1_880).contains(&since(at)) || since(at) > 3_000);
            machine.held.is_some() && reports && between_attempts
        })
    });
    let Some(other) = moment.await else {
        return failed("no moment at which the network could come back");
    };
    fleet.restore(other);
    sleep(BACK_FOR).await;
    fleet.cut(other);
    let watched_from = Instant::now();
    while watched_from.elapsed() < WATCH && fleet.lock().violations.is_empty() {
        sleep(Duration::from_millis(100)).await;
    }
    verdict(fleet)
}

fn verdict(fleet: &Fleet) -> Outcome {
    match fleet.lock().violations.first() {
        Some(text) => Outcome::Broken(format!("ran_twice: {text}")),
        None => Outcome::Held,
    }
}
