//! A task ends once with `error`, on the only machine that fits it.

use super::{Deployment, ESTE, OESTE, WAIT_LIMIT, rebuild_grilla, sirve_miniatura, thumbs};
use crate::Verdict;
use crate::fleet::Capacity;
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "req-000001";
const JOB: &str = "req-000002";
const RUN: Duration = Duration::from_secs(10);

pub fn run(trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    let capacity = vec![
        Capacity { flavor: "grande", yard: ESTE, count: 1, up: 1 },
        Capacity { flavor: "chico", yard: OESTE, count: 3, up: 3 },
    ];
    let mut deployment = Deployment::start(thumbs(0.0), capacity, record, folder)?;
    if !deployment.user.wait_until_up(Duration::from_secs(10)) {
        return Ok(Verdict::CouldNotRun("the controllers are not up".into()));
    }
    if !deployment.submit(&sirve_miniatura(SERVICE, 3), Duration::MAX, 0)
        || !deployment.wait_until_running(SERVICE, 3)
    {
        return Ok(Verdict::CouldNotRun("the service does not run".into()));
    }
    if !deployment.submit(&rebuild_grilla(JOB), RUN, u32::from(trouble)) {
        return Ok(Verdict::CouldNotRun("the job was not accepted".into()));
    }
    let expected = if trouble { 2 } else { 1 };
    // Since when the job waits although the machine that fits has room.
    let mut waits_since: Option<Instant> = None;
    let mut polled_at = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(100));
        if !deployment.controllers.all_run() {
            return Ok(Verdict::Broken("a controller has ended".into()));
        }
        if polled_at.elapsed() >= Duration::from_secs(5) {
            polled_at = Instant::now();
            if deployment.user.poll(JOB).as_deref() == Some("done") {
                return Ok(Verdict::Held("the job is done".into()));
            }
        }
        let starts = deployment.fleet.starts(JOB).len();
        let room = deployment.fleet.machines_with_room(&["grande"], 30.0, 51.0);
        if starts >= expected || room.is_empty() {
            waits_since = None;
            continue;
        }
        let since = *waits_since.get_or_insert_with(|| {
            record.line(format!("{JOB} waits, room on {room:?}"));
            Instant::now()
        });
        if since.elapsed() >= WAIT_LIMIT {
            return Ok(Verdict::Broken(format!(
                "{JOB} has waited for {} s after {starts} starts, while {room:?} (machine, free CPUs) fits and has room",
                since.elapsed().as_secs()
            )));
        }
    }
}
