//! A task fails once on the only machine that has room for it; the machine and the job are sound.

use crate::Outcome;
use crate::controllers::{Controllers, Deployment, TIMING, ZONES};
use crate::machines::Fleet;
use crate::record::Record;
use crate::users::{User, array};
use hookway_testkit::StoreServer;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long a job may wait while a machine that fits has room.
const BOUND: Duration = Duration::from_secs(90);
/// Time for a report and an answer beyond that.
const MARGIN: Duration = Duration::from_secs(3);

fn service(id: &str, vcpus: f64) -> String {
    array(id, 1, vcpus, 0.0)
        .replace("\"Shape\":\"array\"", "\"Shape\":\"daemon\"")
        .replace("\"Rank\":\"normal\"", "\"Rank\":\"production\"")
        .replace("\"Lane\":\"potrivire-zilnica\"", "\"Lane\":\"cautare-live\"")
}

async fn runs(fleet: &Fleet, piece: &str, wait: Duration) -> Option<usize> {
    let until = Instant::now() + wait;
    loop {
        if let Some(machine) = fleet.machine_of(piece) {
            return Some(machine);
        }
        if Instant::now() >= until {
            return None;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

pub async fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    let failed = |text: &str| Outcome::CouldNotRun(text.to_owned());
    let store = StoreServer::default();
    store.expire_leases_by_clock();
    let store_address = store.start().await.expect("a free port");
    let fleet = Fleet::new(TIMING, record);
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
    fleet.add_machines(&ZONES, &apis).await;
    controllers.start_all();
    let user = User { record: record.clone(), apis };
    if controllers.leader(Duration::from_secs(10)).await.is_none() {
        return failed("no leader");
    }
    // Two services fill two machines of 4 CPUs, and a third one takes 1 CPU of the last.
    for (id, vcpus) in [("req-000001", 4.0), ("req-000002", 4.0), ("req-000003", 1.0)] {
        fleet.add_job(id, 3_600.0);
        if !user.submit(&service(id, vcpus)).await {
            return failed("a service was not accepted");
        }
        if runs(&fleet, &format!("{id}/0"), Duration::from_secs(6)).await.is_none() {
            return failed("a service does not run");
        }
    }
    fleet.add_job("req-000004", 5.0);
    if trouble {
        fleet.lock().fail_once.push("req-000004/0".into());
    }
    if !user.submit(&array("req-000004", 1, 2.0, 5.0)).await {
        return failed("the job was not accepted");
    }
    let Some(machine) = runs(&fleet, "req-000004/0", Duration::from_secs(10)).await else {
        return failed("the job did not start");
    };
    while fleet.machine_of("req-000004/0").is_some() {
        sleep(Duration::from_millis(20)).await;
    }
    let free_from = Instant::now();
    record.line(&format!("the task left its machine; {}", fleet.describe()));
    let mut asked = Instant::now();
    loop {
        if asked.elapsed() >= Duration::from_secs(5) {
            asked = Instant::now();
            let answer = user.status(0, "req-000004").await;
            if answer.is_some_and(|answer| answer.state() == "done") {
                return Outcome::Held;
            }
        }
        if fleet.machine_of("req-000004/0").is_some() {
            record.line("the task runs again");
            return Outcome::Held;
        }
        if free_from.elapsed() >= BOUND + MARGIN {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    record.line(&format!("after {} s: {}", free_from.elapsed().as_secs(), fleet.describe()));
    // Another job of the same size finds the room at once.
    fleet.add_job("req-000005", 5.0);
    user.submit(&array("req-000005", 1, 2.0, 5.0)).await;
    match runs(&fleet, "req-000005/0", Duration::from_secs(8)).await {
        Some(other) if other == machine => Outcome::Broken(format!(
            "left waiting: req-000004 has waited for {} s with room for it on a machine that starts another job of its size at once",
            free_from.elapsed().as_secs()
        )),
        _ => failed("the machine does not take another job either"),
    }
}
