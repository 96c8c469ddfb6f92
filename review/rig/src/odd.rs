//! Jobs with odd amounts, to look for crashes. Not a case.

use crate::Outcome;
use crate::controllers::{Controllers, Deployment, TIMING, ZONES};
use crate::machines::Fleet;
use crate::record::Record;
use crate::users::{User, array};
use hookway_testkit::StoreServer;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

pub async fn run(folder: &Path, record: &Record) -> Outcome {
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
        teams: "[[settings.teams]]\nname = \"oaspete-cadastru\"\ncpus_max = 4.0\ncpus = 2.0\n",
    };
    let mut controllers = Controllers::prepare(folder, &deployment, record);
    let apis: Vec<String> = controllers.all.iter().map(|node| node.api.clone()).collect();
    fleet.add_machines(&[ZONES[0], ZONES[1], ZONES[2]], &apis).await;
    controllers.start_all();
    let user = User { record: record.clone(), apis };
    controllers.leader(Duration::from_secs(10)).await;
    sleep(Duration::from_secs(2)).await;
    let amounts = ["0.0", "1e-300", "1e-9", "5e-324", "1e300", "1.7e308", "-0.0", "1e19", "1e16"];
    let fields =
        ["Vcpus", "Gpus", "RamGb", "ImageGb", "GuessS", "SnapshotEveryS", "SnapshotS", "DueS"];
    let mut number = 0;
    for shape in ["array", "group", "daemon"] {
        for field in fields {
            for amount in amounts {
                for pieces in [1u32, 3, 100_000] {
                    if pieces == 100_000 && !matches!(amount, "1e-9" | "0.0" | "1e300") {
                        continue;
                    }
                    number += 1;
                    let id = format!("req-{number:06}");
                    fleet.add_job(&id, 1.0);
                    let mut job: serde_json::Value =
                        serde_json::from_str(&array(&id, pieces, 1.0, 1.0)).expect("a job");
                    job["Shape"] = shape.into();
                    let text = job.to_string();
                    let marker = format!("\"{field}\":");
                    let at = text.find(&marker).expect("a field") + marker.len();
                    let end = at + text[at..].find([',', '}']).expect("an end");
                    let body = format!("{}{}{}", &text[..at], amount, &text[end..]);
                    let answer = user.submit_once(number % 3, &body).await;
                    if answer.is_none_or(|a| a.status >= 500) {
                        record.line(&format!("no answer to {shape} {field}={amount} {pieces}"));
                    }
                    for controller in &mut controllers.all {
                        if controller.has_ended() {
                            return Outcome::Broken(format!(
                                "{} ended after {shape} {field}={amount} {pieces}",
                                controller.name
                            ));
                        }
                    }
                    if number % 5 == 0 {
                        let cancelled = format!("req-{:06}", number - 2);
                        user.cancel(0, &cancelled).await;
                    }
                }
            }
        }
    }
    for _ in 0..20 {
        sleep(Duration::from_secs(1)).await;
        for controller in &mut controllers.all {
            if controller.has_ended() {
                return Outcome::Broken(format!("{} ended", controller.name));
            }
        }
    }
    user.status(0, "req-000001").await;
    user.status(1, "req-000001").await;
    Outcome::Held
}

/// Many of the largest arrays, to see what the controllers hold in memory. Not a case.
pub async fn memory(folder: &Path, record: &Record) -> Outcome {
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
    fleet.add_machines(&[ZONES[0], ZONES[1], ZONES[2]], &apis).await;
    controllers.start_all();
    let user = User { record: record.clone(), apis };
    let leader = controllers.leader(Duration::from_secs(10)).await.unwrap_or(0);
    for number in 1..=20 {
        let id = format!("req-{number:06}");
        fleet.add_job(&id, 30.0);
        user.submit_once(0, &array(&id, 100_000, 1.0, 30.0)).await;
        sleep(Duration::from_millis(500)).await;
        let status = controllers.all[leader].memory();
        record.line(&format!("{number} arrays of 100,000: leader {status}"));
    }
    Outcome::Held
}
