//! A controller loses the store and the other controllers, not its users. Not a case: see the report.

use crate::Outcome;
use crate::controllers::{Controllers, Deployment, TIMING, ZONES};
use crate::machines::Fleet;
use crate::proxy::{Mode, Proxy};
use crate::record::Record;
use crate::users::{User, array};
use hookway_clients::HttpClient;
use hookway_testkit::StoreServer;
use hyper::Method;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The longest time that the site files give for a controller that is cut off (`node_cut`).
const CUT: Duration = Duration::from_secs(65);

pub async fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    let store = StoreServer::default();
    store.expire_leases_by_clock();
    let store_address = store.start().await.expect("a free port");
    let mut stores = Vec::new();
    for _ in 0..3 {
        stores.push(Proxy::start(&store_address).await);
    }
    let fleet = Fleet::new(TIMING, record);
    let cloud = fleet.start_cloud().await;
    let address = |i: usize| stores[i].address.clone();
    let deployment = Deployment {
        store: &store_address,
        stores: Some([address(0), address(1), address(2)]),
        cloud: &cloud,
        timing: TIMING,
        teams: "",
    };
    let mut controllers = Controllers::prepare(folder, &deployment, record);
    let peers = controllers.proxy_peers().await;
    let apis: Vec<String> = controllers.all.iter().map(|node| node.api.clone()).collect();
    fleet.add_machines(&ZONES, &apis).await;
    controllers.start_all();
    let user = User { record: record.clone(), apis: apis.clone() };
    let Some(leader) = controllers.leader(Duration::from_secs(10)).await else {
        return Outcome::CouldNotRun("no leader".into());
    };
    fleet.add_job("req-000001", 600.0);
    if !user.submit(&array("req-000001", 1, 1.0, 600.0)).await {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    sleep(Duration::from_secs(3)).await;
    let set = |mode: Mode| {
        stores[leader].set(mode);
        for other in 0..3 {
            peers[leader][other].set(mode);
            peers[other][leader].set(mode);
        }
    };
    if trouble {
        record.line(&format!("worker-{leader} loses the store and the other controllers"));
        set(Mode::Hold);
    }
    let began = Instant::now();
    let (mut last_answer, mut longest) = (Instant::now(), Duration::ZERO);
    let (mut up, mut polls_elsewhere) = (0, 0);
    while began.elapsed() < CUT + Duration::from_secs(20) {
        if trouble && began.elapsed() > CUT {
            set(Mode::Pass);
        }
        if user.status(leader, "req-000001").await.is_some_and(|a| a.status == 200) {
            last_answer = Instant::now();
        }
        longest = longest.max(last_answer.elapsed());
        if user.status((leader + 1) % 3, "req-000001").await.is_some_and(|a| a.status == 200) {
            polls_elsewhere += 1;
        }
        let client = HttpClient::new(&apis[leader]);
        let probe = client.exchange(Method::GET, "/up", None, Duration::from_secs(1)).await;
        up += u32::from(probe.is_ok_and(|answer| answer.status.as_u16() == 200));
        sleep(Duration::from_secs(4)).await;
    }
    record.line(&format!(
        "no poll at worker-{leader} was answered for {:.0} s; elsewhere {polls_elsewhere} were; /up gave 200 {up} times",
        longest.as_secs_f64()
    ));
    if longest >= Duration::from_secs(90) {
        return Outcome::Broken("forgotten".into());
    }
    Outcome::Held
}
