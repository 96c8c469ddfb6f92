//! A job within its team's guarantee and a more urgent one of a team without a guarantee stop each other.

use super::{CLUJ, Deployment, GridJob, WAIT_LIMIT, grid};
use crate::Verdict;
use crate::fleet::Capacity;
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GUARANTEE_CPUS: f64 = 4.0;
const HOME: &str = "req-000001";
const GUEST: &str = "req-000002";
const RUN: Duration = Duration::from_secs(20);

/// A job of one task that fills a machine and can't save its progress.
fn job(id: &'static str, lane: &'static str, owner: &'static str, rank: &'static str) -> GridJob {
    GridJob {
        id,
        lane,
        owner,
        shape: "array",
        rank,
        pieces: 1,
        vcpus: 4.0,
        bundle: "img-registru",
        image_gb: 0.4,
        flavors: None,
        together: false,
        saves: false,
        guess_s: RUN.as_secs_f64(),
    }
}

pub fn run(trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    let capacity = vec![Capacity { flavor: "mic", yard: CLUJ, count: 1, up: 1, spot: false }];
    let mut deployment = Deployment::start(grid(GUARANTEE_CPUS), capacity, record, folder)?;
    if !deployment.user.wait_until_up(Duration::from_secs(10)) {
        return Ok(Verdict::CouldNotRun("the controllers are not up".into()));
    }
    let home = job(HOME, "potrivire-zilnica", "echipa-registru", "normal");
    if !deployment.submit(&home.body(), RUN, 0) || !deployment.wait_until_running(HOME, 1) {
        return Ok(Verdict::CouldNotRun("the job of the team with the guarantee does not run".into()));
    }
    let guest = job(GUEST, "roi-verificari", "oaspete-cadastru", "high");
    if trouble && !deployment.submit(&guest.body(), RUN, 0) {
        return Ok(Verdict::CouldNotRun("the job of the guest team was not accepted".into()));
    }
    let began_at = Instant::now();
    loop {
        thread::sleep(Duration::from_secs(5));
        if !deployment.controllers.all_run() {
            return Ok(Verdict::Broken("a controller has ended".into()));
        }
        let guest_state = trouble.then(|| deployment.user.poll(GUEST)).flatten();
        if deployment.user.poll(HOME).as_deref() == Some("done") {
            return Ok(Verdict::Held(format!("{HOME} is done")));
        }
        let (home, guest) = (deployment.fleet.starts(HOME).len(), deployment.fleet.starts(GUEST).len());
        record.line(format!("{HOME} was started {home} times, {GUEST} {guest} times"));
        if began_at.elapsed() >= WAIT_LIMIT {
            return Ok(Verdict::Broken(format!(
                "{HOME}, which runs for {} s and is within its team's guarantee, is not done after {} s and {home} \
                 starts; {GUEST} is {guest_state:?} after {guest} starts",
                RUN.as_secs(),
                began_at.elapsed().as_secs()
            )));
        }
    }
}
