//! A gang waits for more of its team's limit than a service of the team leaves, and an array of the team fits.

use super::{Deployment, OESTE, WAIT_LIMIT, recorte_lote, relleno_nocturno, sirve_miniatura, thumbs};
use crate::Verdict;
use crate::fleet::Capacity;
use crate::record::Record;
use serde_json::{Value, json};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LIMIT_CPUS: f64 = 10.0;
const SERVICE: &str = "req-000001";
const GUEST: &str = "req-000002";
const GANG: &str = "req-000003";
const ARRAY: &str = "req-000004";
/// What a task of the array takes.
const ARRAY_CPUS: f64 = 1.0;
const ARRAY_RAM_GB: f64 = 2.3;

/// A gang that its team's limit allows, but not beside the service.
fn gang() -> Value {
    json!({"NameId": GANG, "Lane": "rebuild-grilla", "Owner": "equipo-portadas", "Shape": "group", "Rank": "high",
        "Pieces": 4, "Vcpus": 2.0, "Gpus": 0.0, "RamGb": 2.3, "Bundle": "img-grilla", "ImageGb": 0.2,
        "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": false, "GuessS": 35.0,
        "SnapshotEveryS": 45.0, "SnapshotS": 3.0, "DueS": null})
}

pub fn run(trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    let capacity = vec![Capacity { flavor: "chico", yard: OESTE, count: 6, up: 6 }];
    let mut deployment = Deployment::start(thumbs(LIMIT_CPUS), capacity, record, folder)?;
    if !deployment.user.wait_until_up(Duration::from_secs(10)) {
        return Ok(Verdict::CouldNotRun("the controllers are not up".into()));
    }
    // The service fills one machine; the guest team's tasks leave a CPU on each of the others.
    let service_runs = deployment.submit(&sirve_miniatura(SERVICE, 4), Duration::MAX, 0)
        && deployment.wait_until_running(SERVICE, 4);
    let guest_runs = service_runs
        && deployment.submit(&relleno_nocturno(GUEST, 5, 3.0), Duration::from_secs(600), 0)
        && deployment.wait_until_running(GUEST, 5);
    if !guest_runs {
        return Ok(Verdict::CouldNotRun("the service or the guest team's job does not run".into()));
    }
    if trouble && !deployment.submit(&gang(), Duration::from_secs(35), 0) {
        return Ok(Verdict::CouldNotRun("the gang was not accepted".into()));
    }
    if !deployment.submit(&recorte_lote(ARRAY, 2, ARRAY_CPUS), Duration::from_secs(10), 0) {
        return Ok(Verdict::CouldNotRun("the array was not accepted".into()));
    }
    // Since when the array waits although machines have room and its team is under its limit.
    let mut waits_since: Option<Instant> = None;
    let mut polled_at = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(100));
        if !deployment.controllers.all_run() {
            return Ok(Verdict::Broken("a controller has ended".into()));
        }
        if polled_at.elapsed() >= Duration::from_secs(5) {
            polled_at = Instant::now();
            if deployment.user.poll(ARRAY).as_deref() == Some("done") {
                return Ok(Verdict::Held("the array is done".into()));
            }
        }
        let used = deployment.fleet.used_vcpus(&[SERVICE, GANG, ARRAY]);
        let room = deployment.fleet.machines_with_room(&["chico"], ARRAY_CPUS, ARRAY_RAM_GB);
        let is_left = deployment.fleet.starts(ARRAY).is_empty() && !room.is_empty() && used + ARRAY_CPUS <= LIMIT_CPUS;
        if !is_left {
            waits_since = None;
            continue;
        }
        let since = *waits_since.get_or_insert_with(|| {
            record.line(format!("{ARRAY} waits, room on {room:?}, its team uses {used} of {LIMIT_CPUS} CPUs"));
            Instant::now()
        });
        if since.elapsed() >= WAIT_LIMIT {
            return Ok(Verdict::Broken(format!(
                "{ARRAY} has waited for {} s, while {room:?} (machine, free CPUs) fit and have room and its team uses \
                 {used} of {LIMIT_CPUS} CPUs",
                since.elapsed().as_secs()
            )));
        }
    }
}
