//! Machines are held for an urgent gang that could have made room for itself, but does not, and a small job waits.

use super::{CLUJ, Deployment, GridJob, grid, watch_waiting_job};
use crate::Verdict;
use crate::fleet::Capacity;
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const BACKFILL: &str = "req-000001";
const SHORT: &str = "req-000002";
const GANG: &str = "req-000003";
const SMALL: &str = "req-000004";
const SMALL_CPUS: f64 = 1.0;
const RAM_GB: f64 = 1.8;

fn job(id: &'static str, lane: &'static str, rank: &'static str, vcpus: f64, guess_s: f64) -> GridJob {
    GridJob {
        id,
        lane,
        owner: "echipa-registru",
        shape: "array",
        rank,
        pieces: 1,
        vcpus,
        bundle: "img-registru",
        image_gb: 0.8,
        flavors: None,
        together: false,
        saves: false,
        guess_s,
    }
}

pub fn run(trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    let capacity = vec![Capacity { flavor: "mic", yard: CLUJ, count: 2, up: 2, spot: false }];
    let mut deployment = Deployment::start(grid(0.0), capacity, record, folder)?;
    if !deployment.user.wait_until_up(Duration::from_secs(10)) {
        return Ok(Verdict::CouldNotRun("the controllers are not up".into()));
    }
    // Backfill on one machine, for longer than the test.
    let backfill = GridJob { owner: "oaspete-cadastru", ..job(BACKFILL, "umplere-inactiv", "normal", 4.0, 250.0) };
    let backfill_runs = deployment.submit(&backfill.body(), Duration::from_secs(250), 0)
        && deployment.wait_until_running(BACKFILL, 1);
    // The other machine is busy for some seconds with a job that is as urgent as the gang.
    let short = GridJob { shape: "group", ..job(SHORT, "reindex-national", "high", 4.0, 8.0) };
    let short_runs = backfill_runs
        && (!trouble
            || deployment.submit(&short.body(), Duration::from_secs(8), 0)
                && deployment.wait_until_running(SHORT, 1));
    if !short_runs {
        return Ok(Verdict::CouldNotRun("the jobs before the gang do not run".into()));
    }
    let gang = GridJob { shape: "group", pieces: 2, ..job(GANG, "reindex-national", "high", 4.0, 10.0) };
    let small = job(SMALL, "potrivire-zilnica", "normal", SMALL_CPUS, 10.0);
    if !deployment.submit(&gang.body(), Duration::from_secs(10), 0)
        || !deployment.submit(&small.body(), Duration::from_secs(10), 0)
    {
        return Ok(Verdict::CouldNotRun("the gang or the small job was not accepted".into()));
    }
    let room = |fleet: &crate::fleet::Fleet| fleet.machines_with_room(&["mic"], SMALL_CPUS, RAM_GB);
    Ok(watch_waiting_job(&mut deployment, SMALL, &[GANG], room, record))
}
