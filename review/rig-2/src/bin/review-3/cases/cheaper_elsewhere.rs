//! An urgent job waits for room on a machine that has its image, while other machines have room.

use super::{CLUJ, Deployment, GridJob, IASI, grid, watch_waiting_job};
use crate::Verdict;
use crate::fleet::Capacity;
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SMALL: &str = "req-000001";
const ARRAY: &str = "req-000002";
const BACKFILL: &str = "req-000003";
const URGENT: &str = "req-000004";
const VCPUS: f64 = 3.0;
const RAM_GB: f64 = 1.8;

/// Backfill of the guest team on a small machine.
fn backfill() -> GridJob {
    GridJob {
        id: BACKFILL,
        lane: "umplere-inactiv",
        owner: "oaspete-cadastru",
        shape: "array",
        rank: "low",
        pieces: 1,
        vcpus: 4.0,
        bundle: "img-registru",
        image_gb: 4.0,
        flavors: Some("mic"),
        together: false,
        saves: true,
        guess_s: 250.0,
    }
}

/// A task that takes a CPU of a machine of this type.
fn one_cpu(id: &'static str, lane: &'static str, flavor: &'static str) -> GridJob {
    GridJob {
        id,
        lane,
        owner: "oaspete-cadastru",
        shape: "array",
        rank: "normal",
        pieces: 1,
        vcpus: 1.0,
        bundle: "img-recensamant",
        image_gb: 0.4,
        flavors: Some(flavor),
        together: false,
        saves: false,
        guess_s: 250.0,
    }
}

/// A gang of one task, with the image of the backfill.
fn urgent() -> GridJob {
    GridJob {
        id: URGENT,
        lane: "reindex-national",
        owner: "echipa-registru",
        shape: "group",
        rank: "high",
        pieces: 1,
        vcpus: VCPUS,
        bundle: "img-registru",
        image_gb: 4.0,
        flavors: None,
        together: true,
        saves: true,
        guess_s: 10.0,
    }
}

pub fn run(trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    let capacity = vec![
        Capacity { flavor: "mic", yard: CLUJ, count: 2, up: 2 },
        Capacity { flavor: "mare", yard: IASI, count: 1, up: 1 },
    ];
    let mut deployment = Deployment::start(grid(0.0), capacity, record, folder)?;
    if !deployment.user.wait_until_up(Duration::from_secs(10)) {
        return Ok(Verdict::CouldNotRun("the controllers are not up".into()));
    }
    let long = Duration::from_secs(250);
    // A small task on the large machine and on one of the small ones, so that both are kept.
    let small_run = [one_cpu(ARRAY, "recensamant-mare", "mare"), one_cpu(SMALL, "roi-verificari", "mic")]
        .iter()
        .all(|job| deployment.submit(&job.body(), long, 0) && deployment.wait_until_running(job.id, 1));
    let backfill_runs = small_run
        && (!trouble
            || deployment.submit(&backfill().body(), long, 0) && deployment.wait_until_running(BACKFILL, 1));
    if !backfill_runs {
        return Ok(Verdict::CouldNotRun("the jobs before the urgent one do not run".into()));
    }
    thread::sleep(Duration::from_secs(1));
    if !deployment.submit(&urgent().body(), Duration::from_secs(10), 0) {
        return Ok(Verdict::CouldNotRun("the urgent job was not accepted".into()));
    }
    let room = |fleet: &crate::fleet::Fleet| fleet.machines_with_room(&["mic", "mare"], VCPUS, RAM_GB);
    Ok(watch_waiting_job(&mut deployment, URGENT, &[], room, record))
}
