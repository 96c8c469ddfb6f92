//! A team with a limit has a gang that lost its machine and finds no other, and a small job that has room.

use crate::Outcome;
use crate::controllers::{Controllers, Deployment, TIMING, ZONES};
use crate::machines::Fleet;
use crate::record::Record;
use crate::users::{User, array};
use hookway_testkit::StoreServer;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long a job may wait while a machine that fits has room and its team is under its limit.
const BOUND: Duration = Duration::from_secs(90);
/// Run time of the other team's tasks; the longest in the site files is 600 s.
const LONG_S: f64 = 450.0;
/// Time for a report and an answer beyond that.
const MARGIN: Duration = Duration::from_secs(2);

fn of_guest(job: &str) -> String {
    job.replace("echipa-registru", "oaspete-cadastru")
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
        teams: "[[settings.teams]]\nname = \"oaspete-cadastru\"\ncpus = 0.0\ncpus_max = 4.0\n\
                gpus = 0.0\ngpus_max = 0.0\n",
    };
    let mut controllers = Controllers::prepare(folder, &deployment, record);
    let apis: Vec<String> = controllers.all.iter().map(|node| node.api.clone()).collect();
    fleet.add_machines(&[ZONES[0]; 4], &apis).await;
    controllers.start_all();
    let user = User { record: record.clone(), apis };
    if controllers.leader(Duration::from_secs(10)).await.is_none() {
        return failed("no leader");
    }
    // Long tasks of the other team leave 1 of 4 CPUs free on three machines, and the fourth one empty.
    for id in ["req-000001", "req-000002", "req-000003"] {
        fleet.add_job(id, LONG_S);
        if !user.submit(&array(id, 1, 3.0, LONG_S)).await {
            return failed("a long job was not accepted");
        }
        if runs(&fleet, &format!("{id}/0"), Duration::from_secs(6)).await.is_none() {
            return failed("a long job does not run");
        }
    }
    // The gang takes the whole limit and a whole machine.
    fleet.add_job("req-000004", 8.0);
    let gang = of_guest(&array("req-000004", 1, 4.0, 8.0))
        .replace("\"Shape\":\"array\"", "\"Shape\":\"group\"");
    if !user.submit(&gang).await {
        return failed("the gang was not accepted");
    }
    let Some(machine) = runs(&fleet, "req-000004/0", Duration::from_secs(8)).await else {
        return failed("the gang did not start");
    };
    fleet.add_job("req-000005", 5.0);
    if trouble {
        fleet.die(machine);
    }
    if !user.submit(&of_guest(&array("req-000005", 1, 1.0, 5.0))).await {
        return failed("the small job was not accepted");
    }
    let submitted = Instant::now();
    // The trouble is over when the machine is gone for the controllers too; until then the gang may be on it.
    let mut over = None;
    let mut asked = Instant::now();
    loop {
        if fleet.machine_of("req-000005/0").is_some() {
            record.line("the small job runs");
            return Outcome::Held;
        }
        if over.is_none() && (!trouble || fleet.is_deleted(machine)) {
            record.line(&format!("no machine may have the gang any more; {}", fleet.describe()));
            over = Some(Instant::now());
        }
        if asked.elapsed() >= Duration::from_secs(5) {
            asked = Instant::now();
            user.status(0, "req-000004").await;
            user.status(1, "req-000005").await;
        }
        if over.is_some_and(|at| at.elapsed() >= BOUND + MARGIN) {
            break;
        }
        if submitted.elapsed() >= Duration::from_secs(108) {
            return failed("the machine was not given up in time");
        }
        sleep(Duration::from_millis(20)).await;
    }
    Outcome::Broken(format!(
        "left waiting: req-000005 has waited for {} s, its team uses 0 of 4 CPUs, and three machines have a CPU free: {}",
        submitted.elapsed().as_secs(),
        fleet.describe()
    ))
}
