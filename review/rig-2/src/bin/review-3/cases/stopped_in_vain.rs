//! An urgent gang waits for a machine that never comes, and a small job of its team is stopped for it again and again.

use super::{Deployment, ESTE, OESTE, WAIT_LIMIT, rebuild_grilla, recorte_lote, thumbs};
use crate::Verdict;
use crate::fleet::Capacity;
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LIMIT_CPUS: f64 = 30.0;
const ARRAY: &str = "req-000001";
const GANG: &str = "req-000002";
const ARRAY_PIECES: u32 = 4;
const ARRAY_CPUS: f64 = 2.0;
const ARRAY_RUN: Duration = Duration::from_secs(35);

pub fn run(trouble: bool, record: &Arc<Record>, folder: &Path) -> io::Result<Verdict> {
    let grandes = usize::from(!trouble);
    let capacity = vec![
        Capacity { flavor: "chico", yard: OESTE, count: 3, up: 3, spot: false },
        Capacity { flavor: "grande", yard: ESTE, count: grandes, up: grandes, spot: false },
    ];
    let mut deployment = Deployment::start(thumbs(LIMIT_CPUS), capacity, record, folder)?;
    if !deployment.user.wait_until_up(Duration::from_secs(10)) {
        return Ok(Verdict::CouldNotRun("the controllers are not up".into()));
    }
    let mut array = recorte_lote(ARRAY, ARRAY_PIECES, ARRAY_CPUS);
    array["Flavors"] = serde_json::json!(["chico"]);
    if !deployment.submit(&array, ARRAY_RUN, 0) || !deployment.wait_until_running(ARRAY, ARRAY_PIECES as usize) {
        return Ok(Verdict::CouldNotRun("the array does not run".into()));
    }
    if !deployment.submit(&rebuild_grilla(GANG), Duration::from_secs(10), 0) {
        return Ok(Verdict::CouldNotRun("the gang was not accepted".into()));
    }
    let began_at = Instant::now();
    let mut polled_at = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(500));
        if !deployment.controllers.all_run() {
            return Ok(Verdict::Broken("a controller has ended".into()));
        }
        if polled_at.elapsed() >= Duration::from_secs(5) {
            polled_at = Instant::now();
            deployment.user.poll(GANG);
            if deployment.user.poll(ARRAY).as_deref() == Some("done") {
                return Ok(Verdict::Held(format!("{ARRAY} is done")));
            }
        }
        if began_at.elapsed() >= WAIT_LIMIT {
            let starts = deployment.fleet.starts(ARRAY).len();
            return Ok(Verdict::Broken(format!(
                "{ARRAY}, {ARRAY_PIECES} tasks of {} s, is not done after {} s and {starts} starts of its tasks; \
                 {GANG}, for which they were stopped, was started {} times",
                ARRAY_RUN.as_secs(),
                began_at.elapsed().as_secs(),
                deployment.fleet.starts(GANG).len()
            )));
        }
    }
}
