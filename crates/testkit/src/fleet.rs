//! A cloud and the machines that it rented out, over HTTP on loopback and by the clock: workers report, keep their
//! leases and run tasks; gangs wait for their tasks. Every start is checked against what runs elsewhere.

use crate::serve::serve;
use crate::{ScriptedWorker, machine_types};
use hookway_clients::HttpClient;
use hookway_wire::{
    DirectCommands, ExitCause, HeartbeatRedirect, HeartbeatResponse, JobSpec, ListedMachine,
    MachineList, MachineNames, MachineState, MachineTypes, TaskState, TaskStatus,
};
use hyper::{Method, StatusCode as Status};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A worker gives up on a report after this long (protocol).
const REPORT_PATIENCE: Duration = Duration::from_secs(4);
/// Pause between two looks at whether a report is due.
const STEP: Duration = Duration::from_millis(50);
/// A task has its image after this long.
const FETCH: Duration = Duration::from_millis(200);

/// What happened to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEvent {
    /// A worker took it.
    Start,
    /// It ended, for this reason.
    End(ExitCause),
    /// Its worker's lease ran out, or its machine is gone.
    Lost,
}

/// One line of the history.
#[derive(Debug, Clone)]
pub struct HistoryEvent {
    /// When it happened.
    pub at: Instant,
    /// The machine.
    pub machine: String,
    /// The task.
    pub task: String,
    /// Its attempt.
    pub attempt: u64,
    /// What happened.
    pub event: TaskEvent,
}

struct Member {
    worker: ScriptedWorker,
    address: String,
    /// When the report was sent whose answer came last.
    lease_from: Instant,
    /// It neither reports nor takes commands.
    mute: bool,
    gone: bool,
    since: HashMap<String, Instant>,
}

#[derive(Default)]
struct State {
    members: Vec<Member>,
    jobs: Vec<JobSpec>,
    history: Vec<HistoryEvent>,
    broken: Vec<String>,
    run_time: Duration,
}

/// The fleet.
#[derive(Clone, Default)]
pub struct Fleet(Arc<Mutex<State>>);

impl Fleet {
    /// Starts so many machines in two zones by turns, which report to these controllers (name and address) and
    /// whose tasks run for `run_time`.
    pub async fn start(
        machines: usize,
        controllers: &[(String, String)],
        (report_every, lease): (Duration, Duration),
        run_time: Duration,
    ) -> std::io::Result<Self> {
        let fleet = Self::default();
        fleet.lock().run_time = run_time;
        for n in 0..machines {
            let router = Router::with_path("orders").post(Orders(fleet.clone(), n));
            let address = serve(router).await?;
            let zone = ["a", "b"][n % 2];
            let mut worker = ScriptedWorker::new(&format!("m-{n}"), "small", zone);
            worker.first_state = TaskState::FetchingImage;
            worker.set_address(&address);
            fleet.lock().members.push(Member {
                worker,
                address,
                lease_from: Instant::now(),
                mute: false,
                gone: false,
                since: HashMap::new(),
            });
            tokio::spawn(fleet.clone().report_for_ever(
                n,
                controllers.to_vec(),
                report_every,
                lease,
            ));
        }
        Ok(fleet)
    }

    /// Starts the cloud that lists these machines; its address. It has no others.
    pub async fn start_cloud(&self) -> std::io::Result<String> {
        let at = |what| Cloud(self.clone(), what);
        let rentals = Router::with_path("rentals")
            .get(at(CloudCall::List))
            .post(at(CloudCall::Rent))
            .push(Router::with_path("delete").post(at(CloudCall::Delete)));
        serve(
            Router::new()
                .push(Router::with_path("flavors").get(at(CloudCall::Types)))
                .push(rentals),
        )
        .await
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A job that may be submitted.
    pub fn expect(&self, spec: JobSpec) {
        self.lock().jobs.push(spec);
    }

    /// Machines that neither report nor take commands for now, or do again.
    pub fn mute(&self, machines: std::ops::Range<usize>, mute: bool) {
        for n in machines {
            self.lock().members[n].mute = mute;
        }
    }

    /// Everything that happened so far.
    pub fn history(&self) -> Vec<HistoryEvent> {
        self.lock().history.clone()
    }

    /// Attempts of a job's tasks that were started, in order.
    pub fn started(&self, job: &str) -> Vec<(String, u64)> {
        let of_job = |e: &&HistoryEvent| {
            e.event == TaskEvent::Start && e.task.split('/').next() == Some(job)
        };
        self.lock().history.iter().filter(of_job).map(|e| (e.task.clone(), e.attempt)).collect()
    }

    /// Rules that were broken.
    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    async fn report_for_ever(
        self,
        n: usize,
        controllers: Vec<(String, String)>,
        every: Duration,
        lease: Duration,
    ) {
        let clients: Vec<HttpClient> =
            controllers.iter().map(|(_, a)| HttpClient::new(a)).collect();
        let mut node = n % controllers.len();
        let mut next = Instant::now();
        loop {
            tokio::time::sleep(STEP).await;
            let Some((body, sent)) = self.next_report(n, next, lease) else { continue };
            let answer =
                clients[node].exchange(Method::POST, "/checkin", Some(body), REPORT_PATIENCE).await;
            next = Instant::now() + Duration::from_secs(1);
            match answer {
                Ok((Status::OK, body)) if !self.lock().members[n].mute => {
                    let changed = serde_json::from_slice::<HeartbeatResponse>(&body)
                        .is_ok_and(|answer| self.take_answer(n, &answer, sent));
                    next =
                        sent + if changed { every.min(Duration::from_millis(500)) } else { every };
                }
                Ok((Status::MISDIRECTED_REQUEST, body)) => {
                    let named = serde_json::from_slice::<HeartbeatRedirect>(&body).ok();
                    let named = named.and_then(|e| e.leader);
                    let named =
                        controllers.iter().position(|(name, _)| Some(name) == named.as_ref());
                    match named.filter(|other| *other != node) {
                        Some(other) => (node, next) = (other, Instant::now()),
                        None => node = (node + 1) % controllers.len(),
                    }
                }
                _ => node = (node + 1) % controllers.len(),
            }
        }
    }

    /// The report of a machine, if one is due; its tasks have gone on meanwhile.
    fn next_report(&self, n: usize, next: Instant, lease: Duration) -> Option<(Vec<u8>, Instant)> {
        let mut state = self.lock();
        let now = Instant::now();
        if state.members[n].gone {
            return None;
        }
        state.expire(n, now, lease);
        let changed = state.run_tasks(n, now);
        let member = &mut state.members[n];
        if member.mute || now < next && !changed {
            return None;
        }
        let report = member.worker.report();
        serde_json::to_vec(&report).ok().map(|body| (body, now))
    }

    /// Takes an answer to a report that was sent at `sent`; whether anything changed.
    fn take_answer(&self, n: usize, answer: &HeartbeatResponse, sent: Instant) -> bool {
        let mut state = self.lock();
        let before = state.members[n].worker.started.len();
        let higher = answer.fencing_token > state.members[n].worker.token;
        if state.members[n].worker.take(answer) {
            state.members[n].lease_from = sent;
        }
        state.check_starts(n, before);
        higher || !answer.commands.is_empty()
    }
}

impl State {
    fn note(&mut self, n: usize, task: &str, attempt: u64, event: TaskEvent) {
        let machine = self.members[n].worker.name().to_owned();
        let (task, at) = (task.to_owned(), Instant::now());
        self.history.push(HistoryEvent { at, machine, task, attempt, event });
    }

    /// A worker whose lease ran out forgets everything.
    fn expire(&mut self, n: usize, now: Instant, lease: Duration) {
        if now < self.members[n].lease_from + lease {
            return;
        }
        self.lose_tasks(n);
        let member = &mut self.members[n];
        member.worker.expire();
        member.lease_from = now;
        member.since.clear();
    }

    fn lose_tasks(&mut self, n: usize) {
        for task in self.live(n) {
            self.note(n, &task.task, task.attempt, TaskEvent::Lost);
        }
    }

    fn live(&self, n: usize) -> Vec<TaskStatus> {
        let tasks = self.members[n].worker.tasks().iter();
        tasks.filter(|t| t.state != TaskState::Ended).cloned().collect()
    }

    /// No task starts while it is on another machine, and no attempt twice on one.
    fn check_starts(&mut self, n: usize, before: usize) {
        let started: Vec<(String, u64)> = self.members[n].worker.started[before..].to_vec();
        for (task, attempt) in started {
            self.note(n, &task, attempt, TaskEvent::Start);
            self.members[n].since.insert(task.clone(), Instant::now());
            let earlier = &self.members[n].worker.started[..before];
            if earlier.contains(&(task.clone(), attempt)) {
                self.broken.push(format!("{task} attempt {attempt} twice on m-{n}"));
            }
            let live = |m: &Member| m.worker.live().contains(&task);
            let others =
                self.members.iter().enumerate().filter(|(o, m)| *o != n && !m.gone && live(m));
            let found: Vec<String> =
                others.map(|(other, _)| format!("{task} on m-{n} and on m-{other}")).collect();
            self.broken.extend(found);
        }
    }

    /// The tasks of a machine go on; whether any changed.
    fn run_tasks(&mut self, n: usize, now: Instant) -> bool {
        let mut changed = false;
        for task in self.live(n) {
            let since = self.members[n].since.get(&task.task).copied().unwrap_or(now);
            let next = match task.state {
                TaskState::FetchingImage if now >= since + FETCH => Some(TaskState::WaitingForGang),
                TaskState::WaitingForGang if self.gang_is_there(&task) => Some(TaskState::Running),
                _ => None,
            };
            if let Some(next) = next {
                changed = true;
                self.members[n].worker.set_task_state(&task.task, next);
                self.members[n].since.insert(task.task.clone(), now);
            } else if task.state == TaskState::Running && now >= since + self.run_time {
                changed = true;
                self.members[n].worker.end(&task.task, ExitCause::Done);
                self.note(n, &task.task, task.attempt, TaskEvent::End(ExitCause::Done));
            }
        }
        changed
    }

    /// Whether all tasks of the attempt have their images, or it is no gang.
    fn gang_is_there(&self, task: &TaskStatus) -> bool {
        let id = task.task.split('/').next().unwrap_or_default();
        let Some(spec) = self.jobs.iter().find(|j| j.id.as_str() == id && j.is_gang()) else {
            return true;
        };
        (0..spec.tasks).all(|index| {
            let name = format!("{id}/{index}");
            let there = |m: &Member| {
                let of_attempt = |t: &&TaskStatus| t.task == name && t.attempt == task.attempt;
                let ready = |t: &TaskStatus| t.state != TaskState::FetchingImage;
                !m.gone && m.worker.tasks().iter().find(of_attempt).is_some_and(ready)
            };
            self.members.iter().any(there)
        })
    }
}

/// Commands that come straight to a worker.
struct Orders(Fleet, usize);

#[async_trait]
impl Handler for Orders {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Ok(commands) = req.parse_json::<DirectCommands>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let mut state = self.0.lock();
        let member = &mut state.members[self.1];
        if member.mute || member.gone {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let before = member.worker.started.len();
        match member.worker.commands(&commands) {
            Some(report) => {
                res.render(Json(report));
                state.check_starts(self.1, before);
            }
            None => {
                res.status_code(StatusCode::CONFLICT);
                res.render(Json(member.worker.report()));
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum CloudCall {
    Types,
    List,
    Rent,
    Delete,
}

struct Cloud(Fleet, CloudCall);

#[async_trait]
impl Handler for Cloud {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.1 {
            CloudCall::Types => res.render(Json(MachineTypes { machine_types: machine_types() })),
            CloudCall::Rent => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render(Json(json!({ "error": "no capacity" })));
            }
            CloudCall::List => {
                let entry = |m: &Member| ListedMachine {
                    id: m.worker.name().to_owned(),
                    addr: Some(m.address.clone()),
                    machine_type: "small".into(),
                    zone: m.worker.zone().to_owned(),
                    spot: false,
                    status: MachineState::Running,
                    age_s: 600.0,
                };
                let state = self.0.lock();
                let machines = state.members.iter().filter(|m| !m.gone).map(entry).collect();
                res.render(Json(MachineList { machines, has_next: false }));
            }
            CloudCall::Delete => {
                let Ok(names) = req.parse_json::<MachineNames>().await else { return };
                let mut state = self.0.lock();
                for n in 0..state.members.len() {
                    if names.machines.iter().any(|name| *name == state.members[n].worker.name()) {
                        state.lose_tasks(n);
                        state.members[n].gone = true;
                    }
                }
                res.render(Json(json!({})));
            }
        }
    }
}
