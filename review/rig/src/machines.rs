//! Machines with their workers, as the protocol page describes them, and the cloud that lists them.

use crate::controllers::{NAMES, Timing};
use crate::record::Record;
use hookway_clients::{HttpClient, HttpResponse};
use hookway_wire::{
    Command, DirectCommands, ExitCause, Heartbeat, HeartbeatRedirect, HeartbeatResponse,
    ListedMachine, MachineList, MachineNames, MachineState, MachineType, MachineTypes, TaskState,
    TaskStatus,
};
use hyper::Method;
use rand::RngExt;
use salvo::conn::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const FLAVOR: &str = "mic";
const FETCH: Duration = Duration::from_millis(300);
const ANSWER_WAIT: Duration = Duration::from_secs(4);
const RETRY: Duration = Duration::from_secs(1);
/// Time after its start at which a task fails, if it does.
const FAILS_AFTER: Duration = Duration::from_secs(1);
const PROMPT: Duration = Duration::from_millis(500);

/// The network between a machine and all controllers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Link {
    Up,
    /// Interrupted: what was sent is held back, connection attempts hang.
    Cut,
}

pub struct Task {
    pub status: TaskStatus,
    since: Instant,
    /// Whether the task is on the machine: it has its image and has not exited.
    on: bool,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub link: Link,
    /// If set, the network is interrupted as soon as a direct start command was sent.
    pub cut_at_direct_start: bool,
    /// A direct start that the interruption holds back.
    pub held: Option<DirectCommands>,
    /// The address of the node that the present report goes to, and when it was sent.
    pub reporting: Option<(usize, Instant)>,
    /// When the last connection of a controller was attempted.
    pub last_attempt: Option<Instant>,
    /// The node that the next report goes to, and the order in which the worker tries the nodes.
    pub target: usize,
    pub step: usize,
    /// When the last report was sent.
    pub sent_at: Option<Instant>,
    /// If set, when the next report is due, within the bounds of the page.
    pub due: Option<Instant>,
    /// When a report was last answered with 200.
    pub answered_at: Option<Instant>,
    pub deleted: bool,
    /// The machine has stopped for good.
    pub dead: bool,
    tenure: u64,
    tick: u64,
    baton: u64,
    lease_began: Instant,
    pub tasks: Vec<Task>,
}

#[derive(Clone)]
pub struct JobInfo {
    pub run: Duration,
}

pub struct World {
    pub machines: Vec<Machine>,
    pub jobs: HashMap<String, JobInfo>,
    pub violations: Vec<String>,
    pub record: Record,
    pub timing: Timing,
    /// Share of the direct commands that are held up for 2 to 16 s, unanswered.
    pub late_commands: f64,
    /// Share of the reports of which a copy arrives again, from 2 s to well over a lease later.
    pub late_reports: f64,
    /// Tasks that exit with `error` a second after their next start, once.
    pub fail_once: Vec<String>,
}

#[derive(Clone)]
pub struct Fleet(pub Arc<Mutex<World>>);

pub async fn serve(router: Router) -> String {
    let acceptor = TcpListener::new("127.0.0.1:0").try_bind().await.expect("a free port");
    let address = acceptor.local_addr().expect("an address").to_string();
    tokio::spawn(async move { Server::new(acceptor).serve(router).await });
    address
}

impl Fleet {
    pub fn new(timing: Timing, record: &Record) -> Self {
        let world = World {
            machines: Vec::new(),
            jobs: HashMap::new(),
            violations: Vec::new(),
            record: record.clone(),
            timing,
            late_commands: 0.0,
            late_reports: 0.0,
            fail_once: Vec::new(),
        };
        let fleet = Self(Arc::new(Mutex::new(world)));
        tokio::spawn(fleet.clone().advance());
        fleet
    }

    /// Ends all machines.
    pub fn stop(&self) {
        self.lock().machines.iter_mut().for_each(|machine| machine.deleted = true);
    }

    /// Starts one machine in each of `zones`, whose workers report to the nodes at `apis`.
    pub async fn add_machines(&self, zones: &[&str], apis: &[String]) {
        for zone in zones {
            let index = self.lock().machines.len();
            let handler = Orders { fleet: self.clone(), machine: index };
            let address = serve(Router::with_path("orders").post(handler)).await;
            self.lock().machines.push(Machine {
                name: format!("m-{:06}", index + 1),
                zone: (*zone).to_owned(),
                address,
                link: Link::Up,
                cut_at_direct_start: false,
                held: None,
                reporting: None,
                last_attempt: None,
                target: 0,
                step: 0,
                sent_at: None,
                due: None,
                answered_at: None,
                deleted: false,
                dead: false,
                tenure: 1,
                tick: 0,
                baton: 0,
                lease_began: Instant::now(),
                tasks: Vec::new(),
            });
            tokio::spawn(self.clone().report(index, apis.to_vec()));
        }
    }

    /// Starts the cloud, which lists and deletes these machines and has no others to rent.
    pub async fn start_cloud(&self) -> String {
        let call = |call| CloudCall { fleet: self.clone(), call };
        let rentals = Router::with_path("rentals")
            .get(call(Call::List))
            .post(call(Call::Rent))
            .push(Router::with_path("delete").post(call(Call::Delete)));
        serve(Router::new().push(Router::with_path("flavors").get(call(Call::Types))).push(rentals))
            .await
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add_job(&self, id: &str, run_s: f64) {
        let run = Duration::from_secs_f64(run_s);
        self.lock().jobs.insert(id.to_owned(), JobInfo { run });
    }

    /// The machine that a task is on, if any.
    pub fn machine_of(&self, piece: &str) -> Option<usize> {
        let world = self.lock();
        world.machines.iter().position(|m| m.tasks.iter().any(|t| t.on && t.status.task == piece))
    }

    /// A machine stops with all that is on it. It is listed until it is deleted.
    pub fn die(&self, index: usize) {
        let mut world = self.lock();
        let machine = &mut world.machines[index];
        machine.dead = true;
        machine.link = Link::Cut;
        machine.tasks.clear();
        let name = machine.name.clone();
        world.record.line(&format!("{name} stops with all that is on it"));
    }

    pub fn is_deleted(&self, index: usize) -> bool {
        self.lock().machines[index].deleted
    }

    /// The machines and the tasks on them.
    pub fn describe(&self) -> String {
        let world = self.lock();
        let machines = world.machines.iter().map(|machine| {
            let tasks = machine.tasks.iter().filter(|task| task.status.state != TaskState::Ended);
            let names: Vec<&str> = tasks.map(|task| task.status.task.as_str()).collect();
            format!("{} has {names:?}", machine.name)
        });
        machines.collect::<Vec<_>>().join("; ")
    }

    pub fn has_any(&self, piece: &str) -> bool {
        let world = self.lock();
        world.machines.iter().any(|m| {
            m.tasks.iter().any(|t| t.status.task == piece && t.status.state != TaskState::Ended)
        })
    }

    /// Interrupts the network between a machine and all controllers.
    pub fn cut(&self, index: usize) {
        let mut world = self.lock();
        let name = world.machines[index].name.clone();
        world.machines[index].link = Link::Cut;
        world.record.line(&format!("{name}: network interrupted"));
    }

    /// Ends the interruption: what was held back is delivered in order.
    pub fn restore(&self, index: usize) {
        let mut world = self.lock();
        let name = world.machines[index].name.clone();
        world.record.line(&format!("{name}: network restored"));
        world.machines[index].link = Link::Up;
        if let Some(commands) = world.machines[index].held.take() {
            let carried_out = world.direct(index, &commands);
            let said = if carried_out { "carried out" } else { "refused (409)" };
            world.record.line(&format!("{name}: the held start command arrives, {said}"));
        }
    }

    async fn report(self, index: usize, apis: Vec<String>) {
        // The order in which a worker tries the nodes is its own.
        let step = 1 + index / 2 % 2;
        let mut target = index % apis.len();
        let mut client = HttpClient::new(&apis[target]);
        let mut due = Instant::now();
        let mut last_sent = Instant::now();
        let mut last_key = String::new();
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let now = Instant::now();
            let (body, key) = {
                let mut world = self.lock();
                world.expire(index, now);
                let machine = &mut world.machines[index];
                if machine.deleted || machine.dead {
                    return;
                }
                (machine.target, machine.step) = (target, step);
                due = machine.due.take().unwrap_or(due);
                let key = machine.change_key();
                let prompt = key != last_key && now >= last_sent + PROMPT;
                if now < due && !prompt {
                    continue;
                }
                let heartbeat = machine.heartbeat();
                machine.reporting = Some((target, now));
                machine.sent_at = Some(now);
                (serde_json::to_vec(&heartbeat).expect("a report"), key)
            };
            (last_key, last_sent) = (key, now);
            if rand::rng().random_bool(self.lock().late_reports) {
                let wait = Duration::from_millis(rand::rng().random_range(2_000..40_000));
                let (apis, copy) = (apis.clone(), body.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    for api in &apis {
                        let client = HttpClient::new(api);
                        let copy = Some(copy.clone());
                        let _ = client.exchange(Method::POST, "/checkin", copy, ANSWER_WAIT).await;
                    }
                });
            }
            let answer =
                tokio::time::timeout(ANSWER_WAIT, self.exchange(index, &client, body)).await;
            self.lock().machines[index].reporting = None;
            let report_s = self.lock().timing.report_s;
            let spread = rand::rng().random_range(0.75..1.25);
            due = Instant::now() + RETRY;
            match answer {
                Ok(Some(HttpResponse { status: hyper::StatusCode::OK, body })) => {
                    self.apply(index, &body, now);
                    due = now + Duration::from_secs_f64(report_s * spread);
                }
                Ok(Some(HttpResponse { status: hyper::StatusCode::MISDIRECTED_REQUEST, body })) => {
                    let named = serde_json::from_slice::<HeartbeatRedirect>(&body)
                        .ok()
                        .and_then(|redirect| redirect.leader)
                        .and_then(|leader| NAMES.iter().position(|name| *name == leader))
                        .filter(|node| *node != target);
                    if named.is_some() {
                        due = Instant::now();
                    }
                    target = named.unwrap_or((target + step) % apis.len());
                    client = HttpClient::new(&apis[target]);
                }
                _ => {
                    target = (target + step) % apis.len();
                    client = HttpClient::new(&apis[target]);
                }
            }
        }
    }

    /// Sends a report. While the network is interrupted, the connection attempt hangs, or the answer is held back.
    async fn exchange(
        &self,
        index: usize,
        client: &HttpClient,
        body: Vec<u8>,
    ) -> Option<HttpResponse> {
        self.wait_for_link(index).await;
        let answer = client.exchange(Method::POST, "/checkin", Some(body), ANSWER_WAIT).await.ok();
        self.wait_for_link(index).await;
        answer
    }

    async fn wait_for_link(&self, index: usize) {
        while self.lock().machines[index].link == Link::Cut {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn apply(&self, index: usize, body: &[u8], sent_at: Instant) {
        let Ok(answer) = serde_json::from_slice::<HeartbeatResponse>(body) else { return };
        let mut world = self.lock();
        let machine = &mut world.machines[index];
        if answer.fencing_token < machine.baton {
            return;
        }
        machine.baton = answer.fencing_token;
        machine.answered_at = Some(Instant::now());
        machine.lease_began = sent_at;
        let (name, count) = (machine.name.clone(), answer.commands.len());
        world.execute(index, &answer.commands);
        if count > 0 {
            world.record.line(&format!("{name}: answer with {count} commands"));
        }
    }

    async fn advance(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let now = Instant::now();
            let mut world = self.lock();
            for index in 0..world.machines.len() {
                world.expire(index, now);
                world.advance(index, now);
            }
        }
    }
}

impl Machine {
    /// What a report says, without its numbers: a worker reports promptly when it changes.
    fn change_key(&self) -> String {
        let tasks: Vec<String> = self
            .tasks
            .iter()
            .map(|t| format!("{} {} {:?}", t.status.task, t.status.attempt, t.status.state))
            .collect();
        format!("{} {}", self.tenure, tasks.join(","))
    }

    pub fn answered_within(&self, time: Duration) -> bool {
        self.answered_at.is_some_and(|at| at.elapsed() < time)
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.tick += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: self.address.clone(),
            machine_type: FLAVOR.into(),
            zone: self.zone.clone(),
            spot: false,
            incarnation: self.tenure,
            sequence: self.tick,
            fencing_token: self.baton,
            interruption_notice_s: None,
            tasks: self.tasks.iter().map(|task| task.status.clone()).collect(),
        }
    }
}

impl World {
    /// If the worker's lease has run out, it kills and forgets its tasks and goes on with the next session.
    fn expire(&mut self, index: usize, now: Instant) {
        let lease = Duration::from_secs_f64(self.timing.lease_s);
        let machine = &mut self.machines[index];
        if machine.deleted || now <= machine.lease_began + lease {
            return;
        }
        machine.tenure += 1;
        machine.tick = 0;
        machine.lease_began = now;
        let name = machine.name.clone();
        for task in std::mem::take(&mut machine.tasks) {
            if task.on {
                self.record.line(&format!("{name}: lease over, {} killed", task.status.task));
            }
        }
    }

    fn advance(&mut self, index: usize, now: Instant) {
        for t in 0..self.machines[index].tasks.len() {
            let task = &self.machines[index].tasks[t];
            let piece = task.status.task.clone();
            let job = piece.split('/').next().unwrap_or_default();
            let run = self.jobs.get(job).map_or(Duration::from_secs(5), |job| job.run);
            match task.status.state {
                TaskState::FetchingImage if now >= task.since + FETCH => self.begin(index, t, now),
                TaskState::Running
                    if now >= task.since + FAILS_AFTER && self.fail_once.contains(&piece) =>
                {
                    self.fail_once.retain(|other| *other != piece);
                    self.end(index, t, ExitCause::Error);
                }
                TaskState::Running if now >= task.since + run => {
                    self.end(index, t, ExitCause::Done);
                }
                _ => {}
            }
        }
    }

    /// A task has its image and starts. It must not be on another machine.
    fn begin(&mut self, index: usize, t: usize, now: Instant) {
        let piece = self.machines[index].tasks[t].status.task.clone();
        let attempt = self.machines[index].tasks[t].status.attempt;
        let name = self.machines[index].name.clone();
        self.record.line(&format!("{name}: {piece} starts, attempt {attempt}"));
        for (other, machine) in self.machines.iter().enumerate() {
            let is_on = |task: &Task| task.on && task.status.task == piece;
            if other != index && !machine.deleted && machine.tasks.iter().any(is_on) {
                let text = format!("{piece} starts on {name} while it is on {}", machine.name);
                self.record.line(&format!("BROKEN ran_twice: {text}"));
                self.violations.push(text);
            }
        }
        let task = &mut self.machines[index].tasks[t];
        task.status.state = TaskState::Running;
        task.on = true;
        task.since = now;
    }

    fn end(&mut self, index: usize, t: usize, cause: ExitCause) {
        let name = self.machines[index].name.clone();
        let task = &mut self.machines[index].tasks[t];
        task.on = false;
        task.status.state = TaskState::Ended;
        task.status.cause = Some(cause);
        let piece = task.status.task.clone();
        self.record.line(&format!("{name}: {piece} ended, {cause:?}"));
    }

    /// Carries out direct commands if the token and the session match.
    fn direct(&mut self, index: usize, commands: &DirectCommands) -> bool {
        let machine = &mut self.machines[index];
        if commands.incarnation != machine.tenure || commands.fencing_token < machine.baton {
            return false;
        }
        machine.baton = commands.fencing_token;
        self.execute(index, &commands.commands);
        true
    }

    fn execute(&mut self, index: usize, commands: &[Command]) {
        let now = Instant::now();
        for command in commands {
            let machine = &mut self.machines[index];
            let (Command::Run { task, attempt }
            | Command::Kill { task, attempt, .. }
            | Command::Reap { task, attempt }) = command;
            let known = machine
                .tasks
                .iter()
                .position(|t| t.status.task == *task && t.status.attempt == *attempt);
            match (command, known) {
                (Command::Run { .. }, None) => {
                    let is_busy =
                        |t: &Task| t.status.task == *task && t.status.state != TaskState::Ended;
                    let busy = machine.tasks.iter().any(is_busy);
                    let state = if busy { TaskState::Ended } else { TaskState::FetchingImage };
                    machine.tasks.push(Task {
                        status: TaskStatus {
                            task: task.clone(),
                            attempt: *attempt,
                            state,
                            cause: busy.then_some(ExitCause::AttemptConflict),
                            checkpointed: None,
                        },
                        since: now,
                        on: false,
                    });
                }
                (Command::Kill { .. }, Some(t))
                    if machine.tasks[t].status.state != TaskState::Ended =>
                {
                    self.end(index, t, ExitCause::Stopped);
                }
                (Command::Reap { .. }, Some(t))
                    if machine.tasks[t].status.state == TaskState::Ended =>
                {
                    machine.tasks.remove(t);
                }
                _ => {}
            }
        }
    }
}

/// `POST /orders` of one machine.
struct Orders {
    fleet: Fleet,
    machine: usize,
}

#[async_trait]
impl Handler for Orders {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Ok(commands) = req.parse_json::<DirectCommands>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let starts = commands.commands.iter().any(|c| matches!(c, Command::Run { .. }));
        let hangs = {
            let mut world = self.fleet.lock();
            let machine = &mut world.machines[self.machine];
            machine.last_attempt = Some(Instant::now());
            let name = machine.name.clone();
            if machine.cut_at_direct_start && starts {
                machine.cut_at_direct_start = false;
                machine.link = Link::Cut;
                machine.held = Some(commands.clone());
                let text = format!(
                    "{name}: network interrupted, a start command on its way is held back: {:?}",
                    commands.commands
                );
                world.record.line(&text);
                true
            } else {
                let cut = machine.link == Link::Cut;
                if cut {
                    world.record.line(&format!("{name}: a controller's connection attempt hangs"));
                }
                cut
            }
        };
        let late = self.fleet.lock().late_commands;
        if !hangs && rand::rng().random_bool(late) {
            let wait = Duration::from_millis(rand::rng().random_range(2_000..16_000));
            let (fleet, machine) = (self.fleet.clone(), self.machine);
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                let mut world = fleet.lock();
                let done = world.direct(machine, &commands);
                let name = world.machines[machine].name.clone();
                let text = format!("{name}: late {:?}, carried out: {done}", commands.commands);
                world.record.line(&text);
            });
            return std::future::pending().await;
        }
        if hangs {
            // Until its sender gives up. A connection attempt that was given up does not complete afterwards.
            return std::future::pending().await;
        }
        let mut world = self.fleet.lock();
        if world.machines[self.machine].deleted {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        if !commands.commands.is_empty() {
            let text = format!(
                "{}: direct commands {:?}",
                world.machines[self.machine].name, commands.commands
            );
            world.record.line(&text);
        }
        if !world.direct(self.machine, &commands) {
            res.status_code(StatusCode::CONFLICT);
        }
        res.render(Json(world.machines[self.machine].heartbeat()));
    }
}

#[derive(Clone, Copy)]
enum Call {
    Types,
    List,
    Rent,
    Delete,
}

struct CloudCall {
    fleet: Fleet,
    call: Call,
}

#[async_trait]
impl Handler for CloudCall {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.call {
            Call::Types => res.render(Json(MachineTypes { machine_types: vec![flavor()] })),
            Call::Rent => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render(Json(serde_json::json!({ "error": "no capacity" })));
            }
            Call::List => {
                let world = self.fleet.lock();
                let listed = world.machines.iter().filter(|machine| !machine.deleted);
                let machines = listed.map(listed_machine).collect();
                res.render(Json(MachineList { machines, has_next: false }));
            }
            Call::Delete => {
                let Ok(names) = req.parse_json::<MachineNames>().await else {
                    res.status_code(StatusCode::BAD_REQUEST);
                    return;
                };
                let mut world = self.fleet.lock();
                world.record.line(&format!("cloud: delete {:?}", names.machines));
                for machine in &mut world.machines {
                    if names.machines.contains(&machine.name) {
                        machine.deleted = true;
                        machine.tasks.clear();
                    }
                }
                res.render(Json(serde_json::json!({})));
            }
        }
    }
}

fn flavor() -> MachineType {
    MachineType {
        name: FLAVOR.into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 8.0,
        cache_gb: 60.0,
        fetch_gb_per_s: 0.8,
        price_per_hour: 0.26,
        spot_price: Some(0.1),
        boot_s: 25.0,
        zones: crate::controllers::ZONES.iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

fn listed_machine(machine: &Machine) -> ListedMachine {
    ListedMachine {
        name: machine.name.clone(),
        address: Some(machine.address.clone()),
        machine_type: FLAVOR.into(),
        zone: machine.zone.clone(),
        spot: false,
        state: MachineState::Running,
        age_s: 600.0,
    }
}
