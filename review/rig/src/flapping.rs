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
/// Machines that stay reachable; one more loses the network.
const MACHINES: usize = 3;
/// The machine that loses the network.
const AWAY: usize = MACHINES;
/// The longest time that a command is held up, and that a machine's network is away, both from its first loss on.
const MAX_HOLD: Duration = Duration::from_millis(15_500);
const MAX_AWAY: Duration = Duration::from_secs(30);
/// From a report that gets no connection to the next one at the next node.
const NEXT_TRY_S: f64 = 5.02;
/// How long a run without the disruption goes on after the start.
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
    fleet.add_machines(&home, &apis).await;
    fleet.add_machines(&[ZONES[2]], &apis).await;
    controllers.start_all();
    let user = User { record: record.clone(), apis };

    let Some(leader) = controllers.leader(Duration::from_secs(20)).await else {
        return failed("no leader");
    };
    record.line(&format!("worker-{leader} leads"));
    let registered = wait_for(Duration::from_secs(20), || {
        let text = store.with_store(|store| format!("{:?}", store.list("r/")));
        (1..=MACHINES + 1).all(|n| text.contains(&format!("m-{n:06}"))).then_some(())
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
    sleep(Duration::from_millis(1_000)).await;
    // Right after a report, so that the start is sent directly and not with the answer to the next one.
    let answered = wait_for(Duration::from_secs(6), || {
        fleet.lock().machines[AWAY].answered_within(Duration::from_millis(20)).then_some(())
    });
    if answered.await.is_none() {
        return failed("the machine's reports are not answered");
    }
    if trouble {
        fleet.lock().machines[AWAY].cut_at_direct_start = true;
    }
    if !user.submit(&array("req-000002", 1, 4.0, 600.0)).await {
        return failed("the second job was not accepted");
    }
    if !trouble {
        let started = wait_for(Duration::from_secs(10), || fleet.machine_of("req-000002/0"));
        if started.await.is_none() {
            return failed("the second job did not start");
        }
        sleep(WATCH).await;
        return verdict(fleet);
    }
    let cut = wait_for(Duration::from_millis(1_500), || {
        (fleet.lock().machines[AWAY].link == Link::Cut).then_some(())
    });
    if cut.await.is_none() {
        return failed("the start was not sent directly");
    }
    let cut_at = Instant::now();
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
    // When the machine's next report is due is chosen within the quarter that the page leaves open, so that the report
    // which reaches the leader is on its way between two attempts of the leader to ask the machine itself.
    let asked = wait_for(Duration::from_millis(300), || {
        fleet.lock().machines[AWAY].last_attempt.filter(|at| *at > cut_at)
    });
    if let Some(asked_at) = asked.await {
        choose_due(fleet, next, asked_at);
    }
    let left = MAX_HOLD.saturating_sub(cut_at.elapsed());
    let moment = wait_for(left, || {
        let world = fleet.lock();
        let machine = &world.machines[AWAY];
        let since = |at: Instant| at.elapsed().as_millis();
        let reports = machine
            .reporting
            .is_some_and(|(node, at)| node == next && (20..380).contains(&since(at)));
        let between_attempts = machine
            .last_attempt
            .is_none_or(|at| (1_520..1_880).contains(&since(at)) || since(at) > 3_000);
        let may_last = elected_at.elapsed() > Duration::from_secs(2);
        (may_last && reports && between_attempts).then_some(())
    });
    if moment.await.is_none() {
        return failed("no moment at which the network could come back");
    }
    fleet.restore(AWAY);
    sleep(BACK_FOR).await;
    fleet.cut(AWAY);
    while cut_at.elapsed() < MAX_AWAY && fleet.lock().violations.is_empty() {
        sleep(Duration::from_millis(100)).await;
    }
    verdict(fleet)
}

/// Sets when the next report of the machine is due: 0.75 to 1.25 intervals after the last one.
fn choose_due(fleet: &Fleet, leader: usize, asked_at: Instant) {
    let mut world = fleet.lock();
    let machine = &mut world.machines[AWAY];
    let Some(sent_at) = machine.sent_at else { return };
    let tries = (0..3).find(|k| (machine.target + k * machine.step) % 3 == leader).unwrap_or(0);
    let distance = |due: Instant| {
        let at = due.saturating_duration_since(asked_at).as_secs_f64() + tries as f64 * NEXT_TRY_S;
        (at % 2.0 - 1.5).abs()
    };
    let interval = TIMING.report_s;
    let candidates = (0..=100)
        .map(|step| sent_at + Duration::from_secs_f64(interval * (0.75 + 0.005 * f64::from(step))));
    let possible = candidates.filter(|due| *due > Instant::now());
    let best = possible.min_by(|a, b| distance(*a).total_cmp(&distance(*b)));
    machine.due = best;
}

fn verdict(fleet: &Fleet) -> Outcome {
    match fleet.lock().violations.first() {
        Some(text) => Outcome::Broken(format!("ran_twice: {text}")),
        None => Outcome::Held,
    }
}
