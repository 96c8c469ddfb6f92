//! Stand-ins of the machines with their workers, and of the cloud that lists, rents and deletes them.

use crate::http::{Reply, Request, json, request, serve};
use crate::record::Record;
use serde_json::{Value, json as j};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a worker gives a report up.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a worker tries the next node.
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// Minimum time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the machines that are up at the start, as the machine list gives it, s.
const INITIAL_AGE_S: f64 = 600.0;

/// A machine type that the cloud offers.
#[derive(Clone)]
pub struct Flavor {
    pub label: &'static str,
    pub vcpus: f64,
    pub ram_gb: f64,
    pub local_gb: f64,
    pub fetch_gb_per_s: f64,
    pub hourly: f64,
    pub market_price: f64,
    pub ready_s: f64,
    pub yards: Vec<&'static str>,
}

/// The number of machines of a type and kind that the cloud has in a zone.
pub struct Capacity {
    pub flavor: &'static str,
    pub yard: &'static str,
    pub count: usize,
    /// How many of them are up at the start.
    pub up: usize,
    pub spot: bool,
}

/// The timing of the workers, as in the settings.
#[derive(Clone, Copy)]
pub struct Timing {
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    pub list_lag: Duration,
}

/// What a worker knows of a submitted job, and how its tasks behave.
#[derive(Clone)]
pub struct JobFacts {
    pub is_gang: bool,
    pub is_daemon: bool,
    pub pieces: u32,
    pub vcpus: f64,
    pub ram_gb: f64,
    pub bundle: String,
    pub image_gb: f64,
    pub snapshot_every_s: f64,
    pub snapshot_s: f64,
    pub run: Duration,
    /// How many attempts of its tasks end with `error` a second after their start.
    pub errors_left: u32,
}

#[derive(Clone, PartialEq)]
enum Phase {
    Pulling(Instant),
    Waiting(Instant),
    Running(Instant),
    Saving(Instant),
    Ended { cause: &'static str, saved: bool },
}

#[derive(Clone)]
struct Task {
    job: String,
    index: u32,
    attempt: u64,
    phase: Phase,
    fails: bool,
}

impl Task {
    fn piece(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Ended { .. })
    }

    fn end(&mut self, cause: &'static str, saved: bool) {
        self.phase = Phase::Ended { cause, saved };
    }
}

struct Machine {
    name: String,
    address: String,
    flavor: Flavor,
    yard: &'static str,
    created_at: Instant,
    initial_age_s: f64,
    up_at: Instant,
    deleted_at: Option<Instant>,
    spot: bool,
    tenure: u64,
    tick: u64,
    baton: u64,
    lease_from: Instant,
    tasks: Vec<Task>,
    images: Vec<String>,
    changed: bool,
}

impl Machine {
    fn report(&mut self) -> Value {
        self.tick += 1;
        let pieces: Vec<Value> = self
            .tasks
            .iter()
            .map(|task| {
                let status = match task.phase {
                    Phase::Pulling(_) => "pulling",
                    Phase::Waiting(_) => "waiting",
                    Phase::Running(_) => "running",
                    Phase::Saving(_) => "saving",
                    Phase::Ended { .. } => "ended",
                };
                let mut piece = j!({"Piece": task.piece(), "Try": task.attempt, "Status": status});
                if let Phase::Ended { cause, saved } = task.phase {
                    piece["Cause"] = cause.into();
                    if saved {
                        piece["Saved"] = true.into();
                    }
                }
                piece
            })
            .collect();
        j!({"Host": self.name, "Addr": self.address, "Flavor": self.flavor.label, "Yard": self.yard,
            "Loaners": self.spot, "Tenure": self.tenure, "Tick": self.tick, "Baton": self.baton,
            "EvictionS": null, "Pieces": pieces})
    }

    fn free(&self, jobs: &HashMap<String, JobFacts>) -> (f64, f64) {
        let live = self.tasks.iter().filter(|task| task.is_live()).filter_map(|task| jobs.get(&task.job));
        live.fold((self.flavor.vcpus, self.flavor.ram_gb), |(vcpus, ram), job| (vcpus - job.vcpus, ram - job.ram_gb))
    }
}

/// The start of a task: when its worker took the command, and where.
#[derive(Clone)]
pub struct Start {
    pub at: Instant,
    pub machine: String,
    pub job: String,
    pub index: u32,
}

#[derive(Default)]
struct State {
    machines: Vec<Machine>,
    jobs: HashMap<String, JobFacts>,
    starts: Vec<Start>,
    hires: HashMap<String, Vec<String>>,
}

pub struct Fleet {
    ip: String,
    nodes: Vec<(String, String)>,
    flavors: Vec<Flavor>,
    capacity: Vec<Capacity>,
    timing: Timing,
    record: Arc<Record>,
    state: Mutex<State>,
    /// Held while a machine is added, so that each gets a name of its own.
    adding: Mutex<()>,
}

impl Fleet {
    /// Creates the fleet with the machines that are up at the start. `nodes` has name and address of each controller.
    pub fn start(
        ip: &str,
        nodes: Vec<(String, String)>,
        flavors: Vec<Flavor>,
        capacity: Vec<Capacity>,
        timing: Timing,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let fleet = Arc::new(Self {
            ip: ip.to_owned(),
            nodes,
            flavors,
            capacity,
            timing,
            record,
            state: Mutex::default(),
            adding: Mutex::default(),
        });
        for index in 0..fleet.capacity.len() {
            for _ in 0..fleet.capacity[index].up {
                let pool = &fleet.capacity[index];
                fleet.add_machine(pool.flavor, pool.yard, INITIAL_AGE_S, pool.spot)?;
            }
        }
        let ticking = fleet.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.advance();
            }
        });
        Ok(fleet)
    }

    /// Starts the cloud on a free port. Returns its address.
    pub fn start_cloud(self: &Arc<Self>) -> std::io::Result<String> {
        let fleet = self.clone();
        serve(&self.ip, move |request| fleet.answer_cloud(request))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn add_job(&self, id: &str, facts: JobFacts) {
        self.lock().jobs.insert(id.to_owned(), facts);
    }

    /// Returns the starts of a job's tasks so far.
    pub fn starts(&self, job: &str) -> Vec<Start> {
        self.lock().starts.iter().filter(|start| start.job == job).cloned().collect()
    }

    /// Returns how many tasks of a job run at this time.
    pub fn running(&self, job: &str) -> usize {
        let state = self.lock();
        let tasks = state.machines.iter().flat_map(|machine| &machine.tasks);
        tasks.filter(|task| task.job == job && matches!(task.phase, Phase::Running(_))).count()
    }

    /// Returns the machines of these types that are up and have this room, with their free CPUs.
    pub fn machines_with_room(&self, flavors: &[&str], vcpus: f64, ram_gb: f64) -> Vec<(String, f64)> {
        let state = self.lock();
        let now = Instant::now();
        state
            .machines
            .iter()
            .filter(|machine| machine.deleted_at.is_none() && now >= machine.up_at)
            .filter(|machine| flavors.contains(&machine.flavor.label))
            .map(|machine| (machine.name.clone(), machine.free(&state.jobs)))
            .filter(|(_, free)| free.0 >= vcpus && free.1 >= ram_gb)
            .map(|(name, free)| (name, free.0))
            .collect()
    }

    fn add_machine(
        self: &Arc<Self>,
        label: &str,
        yard: &'static str,
        age_s: f64,
        spot: bool,
    ) -> std::io::Result<String> {
        let flavor = self.flavors.iter().find(|flavor| flavor.label == label).expect("a known type").clone();
        let _adding = self.adding.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let index = self.lock().machines.len();
        let fleet = self.clone();
        let address = serve(&self.ip, move |request| fleet.answer_orders(index, request))?;
        let now = Instant::now();
        let name = format!("m-{:06}", index + 1);
        let up_at = if age_s > 0.0 { now } else { now + Duration::from_secs_f64(flavor.ready_s) };
        self.lock().machines.push(Machine {
            name: name.clone(),
            address,
            flavor,
            yard,
            created_at: now,
            initial_age_s: age_s,
            up_at,
            deleted_at: None,
            spot,
            tenure: 1,
            tick: 0,
            baton: 0,
            lease_from: up_at,
            tasks: Vec::new(),
            images: Vec::new(),
            changed: false,
        });
        let fleet = self.clone();
        thread::spawn(move || fleet.send_reports(index));
        Ok(name)
    }

    /// Advances all tasks, and ends the sessions whose leases have run out.
    fn advance(&self) {
        let mut state = self.lock();
        let State { machines, jobs, .. } = &mut *state;
        let now = Instant::now();
        for machine in machines.iter_mut().filter(|machine| machine.deleted_at.is_none()) {
            if now > machine.lease_from + self.timing.lease {
                self.record.line(format!("{} lease over, session {} ends", machine.name, machine.tenure));
                machine.tasks.clear();
                machine.tenure += 1;
                machine.lease_from = now;
                machine.changed = true;
            }
            for task in &mut machine.tasks {
                let Some(job) = jobs.get(&task.job) else { continue };
                let before = task.phase.clone();
                match task.phase {
                    Phase::Pulling(until) if now >= until => {
                        if !machine.images.contains(&job.bundle) {
                            machine.images.push(job.bundle.clone());
                        }
                        task.phase = if job.is_gang { Phase::Waiting(now) } else { Phase::Running(now) };
                    }
                    Phase::Waiting(since) if now >= since + self.timing.gang_wait => task.end("incomplete", false),
                    Phase::Running(since) if task.fails && now >= since + Duration::from_secs(1) => {
                        task.end("error", false);
                    }
                    Phase::Running(since) if !job.is_daemon && now >= since + job.run => task.end("done", false),
                    Phase::Saving(until) if now >= until => task.end("stopped", true),
                    _ => {}
                }
                if before != task.phase {
                    machine.changed = true;
                    self.record.line(format!("{} {} {}", machine.name, task.piece(), phase_name(&task.phase)));
                }
            }
        }
        self.advance_gangs(machines, jobs, now);
    }

    /// Starts gangs whose tasks all wait, and ends those that lost a task or have a task that is done.
    fn advance_gangs(&self, machines: &mut [Machine], jobs: &HashMap<String, JobFacts>, now: Instant) {
        let mut gangs: HashMap<(String, u64), Vec<Phase>> = HashMap::new();
        for task in machines.iter().filter(|machine| machine.deleted_at.is_none()).flat_map(|machine| &machine.tasks) {
            if jobs.get(&task.job).is_some_and(|job| job.is_gang) {
                gangs.entry((task.job.clone(), task.attempt)).or_default().push(task.phase.clone());
            }
        }
        for ((id, attempt), phases) in gangs {
            let pieces = jobs[&id].pieces as usize;
            let all_wait = phases.len() == pieces && phases.iter().all(|phase| matches!(phase, Phase::Waiting(_)));
            let is_done = phases.iter().any(|phase| matches!(phase, Phase::Ended { cause: "done", .. }));
            let runs = phases.iter().any(|phase| matches!(phase, Phase::Running(_)));
            let live = phases.iter().filter(|phase| !matches!(phase, Phase::Ended { .. })).count();
            for machine in machines.iter_mut() {
                for task in machine.tasks.iter_mut().filter(|task| task.job == id && task.attempt == attempt) {
                    let before = task.phase.clone();
                    match task.phase {
                        Phase::Waiting(_) if all_wait => task.phase = Phase::Running(now),
                        Phase::Running(_) if is_done => task.end("done", false),
                        Phase::Running(_) if runs && live < pieces => task.end("peers", false),
                        _ => {}
                    }
                    if before != task.phase {
                        machine.changed = true;
                        self.record.line(format!("{} {} {}", machine.name, task.piece(), phase_name(&task.phase)));
                    }
                }
            }
        }
    }

    /// Carries out commands on a machine.
    fn execute(&self, state: &mut State, index: usize, orders: &[Value]) {
        let State { machines, jobs, starts, .. } = state;
        let now = Instant::now();
        for order in orders {
            let machine = &mut machines[index];
            let Some((id, number)) = order["Piece"].as_str().and_then(|piece| piece.rsplit_once('/')) else { continue };
            let (Ok(number), Some(attempt)) = (number.parse::<u32>(), order["Try"].as_u64()) else { continue };
            let position =
                machine.tasks.iter().position(|t| t.job == id && t.index == number && t.attempt == attempt);
            self.record.line(format!("{} gets {order}", machine.name));
            machine.changed = true;
            match (order["Verb"].as_str(), position) {
                (Some("run"), None) => {
                    let free = machine.free(jobs);
                    let other = machine.tasks.iter().any(|t| t.job == id && t.index == number && t.is_live());
                    let mut task = Task { job: id.to_owned(), index: number, attempt, phase: Phase::Pulling(now), fails: false };
                    match jobs.get_mut(id) {
                        None => task.end("unknown", false),
                        Some(job) if number >= job.pieces => task.end("unknown", false),
                        Some(_) if other => task.end("busy", false),
                        Some(job) if free.0 < job.vcpus || free.1 < job.ram_gb => task.end("no_room", false),
                        Some(job) => {
                            let fetch_s = if machine.images.contains(&job.bundle) {
                                0.0
                            } else {
                                job.image_gb / machine.flavor.fetch_gb_per_s
                            };
                            task.phase = Phase::Pulling(now + Duration::from_secs_f64(fetch_s));
                            task.fails = job.errors_left > 0;
                            job.errors_left = job.errors_left.saturating_sub(1);
                            let machine = machine.name.clone();
                            starts.push(Start { at: now, machine, job: id.to_owned(), index: number });
                        }
                    }
                    machine.tasks.push(task);
                }
                (Some("kill"), Some(position)) => {
                    let task = &mut machine.tasks[position];
                    let grace_s = order["WindDownS"].as_f64().unwrap_or(0.0);
                    let saves = jobs.get(id).filter(|job| job.snapshot_every_s > 0.0 && grace_s >= job.snapshot_s);
                    match (&task.phase, saves) {
                        (Phase::Ended { .. }, _) => {}
                        (Phase::Running(_), Some(job)) => {
                            task.phase = Phase::Saving(now + Duration::from_secs_f64(job.snapshot_s));
                        }
                        (Phase::Saving(_), _) if grace_s > 0.0 => {}
                        _ => task.end("stopped", false),
                    }
                }
                (Some("reap"), Some(position)) if !machine.tasks[position].is_live() => {
                    machine.tasks.remove(position);
                }
                _ => {}
            }
        }
    }

    fn answer_orders(&self, index: usize, request: &Request) -> Reply {
        let mut state = self.lock();
        if state.machines[index].deleted_at.is_some() || Instant::now() < state.machines[index].up_at {
            return Reply::Drop;
        }
        if request.path == "/status" {
            return json(200, state.machines[index].report());
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (Some(baton), Some(tenure)) = (body["Baton"].as_u64(), body["Tenure"].as_u64()) else {
            return json(400, j!({"error": "Baton or Tenure is missing"}));
        };
        let machine = &mut state.machines[index];
        if baton < machine.baton || tenure != machine.tenure {
            return json(409, machine.report());
        }
        machine.changed |= baton > machine.baton;
        machine.baton = baton;
        self.execute(&mut state, index, body["Orders"].as_array().unwrap_or(&Vec::new()));
        json(200, state.machines[index].report())
    }

    /// Sends the reports of one machine until it is deleted.
    fn send_reports(&self, index: usize) {
        let mut node = index % self.nodes.len();
        // Up to a quarter more or less than the nominal interval, different for each machine.
        let factor = 0.8 + 0.4 * ((index * 7 % 10) as f64) / 10.0;
        let mut next_at = Instant::now();
        let mut last_at = Instant::now() - MIN_REPORT_INTERVAL;
        loop {
            thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let (body, tenure) = {
                let mut state = self.lock();
                let machine = &mut state.machines[index];
                if machine.deleted_at.is_some() {
                    return;
                }
                let is_due = now >= next_at || machine.changed && now >= last_at + MIN_REPORT_INTERVAL;
                if now < machine.up_at || !is_due {
                    continue;
                }
                machine.changed = false;
                (machine.report().to_string(), machine.tenure)
            };
            last_at = now;
            let answer = request(&self.nodes[node].1, "POST", "/checkin", &body, REPORT_TIMEOUT);
            next_at = now + self.timing.report.mul_f64(factor);
            let parsed = |text: &str| serde_json::from_str::<Value>(text).unwrap_or_default();
            match answer {
                Some((200, text)) => self.apply_answer(index, tenure, now, &parsed(&text)),
                Some((421, text)) => {
                    let body = parsed(&text);
                    let foreman = body["Foreman"].as_str();
                    match foreman.and_then(|name| self.nodes.iter().position(|other| other.0 == name)) {
                        Some(other) if other != node => (node, next_at) = (other, Instant::now()),
                        _ => (node, next_at) = ((node + 1) % self.nodes.len(), Instant::now() + NEXT_NODE_DELAY),
                    }
                }
                _ => (node, next_at) = ((node + 1) % self.nodes.len(), Instant::now() + NEXT_NODE_DELAY),
            }
        }
    }

    fn apply_answer(&self, index: usize, tenure: u64, sent_at: Instant, answer: &Value) {
        let mut state = self.lock();
        let machine = &mut state.machines[index];
        let baton = answer["Baton"].as_u64().unwrap_or(0);
        if tenure != machine.tenure || baton == 0 || baton < machine.baton {
            return;
        }
        machine.changed |= baton > machine.baton;
        machine.baton = baton;
        machine.lease_from = sent_at;
        self.execute(&mut state, index, answer["Orders"].as_array().unwrap_or(&Vec::new()));
    }

    fn answer_cloud(self: &Arc<Self>, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let flavors: Vec<Value> = self
                    .flavors
                    .iter()
                    .map(|f| {
                        j!({"Label": f.label, "Vcpus": f.vcpus, "Gpus": 0, "RamGb": f.ram_gb, "LocalGb": f.local_gb,
                            "FetchGbPerS": f.fetch_gb_per_s, "Hourly": f.hourly, "MarketPrice": f.market_price,
                            "ReadyS": f.ready_s, "Yards": f.yards})
                    })
                    .collect();
                json(200, j!({"Flavors": flavors}))
            }
            ("GET", "/rentals") => json(200, self.list(request)),
            ("POST", "/rentals") => self.hire(&body),
            ("POST", "/rentals/delete") => {
                let names: Vec<&str> =
                    body["Hosts"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
                self.record.line(format!("cloud deletes {names:?}"));
                let mut state = self.lock();
                for machine in state.machines.iter_mut().filter(|machine| names.contains(&machine.name.as_str())) {
                    machine.deleted_at.get_or_insert(Instant::now());
                    machine.tasks.clear();
                }
                json(200, j!({}))
            }
            _ => json(400, j!({"error": "no such request"})),
        }
    }

    /// Rents machines if the capacity allows it.
    fn hire(self: &Arc<Self>, body: &Value) -> Reply {
        let hire = body["Hire"].as_str().unwrap_or_default();
        if let Some(names) = self.lock().hires.get(hire) {
            return json(200, j!({"Hosts": names}));
        }
        let (flavor, yard) = (body["Flavor"].as_str(), body["Yard"].as_str());
        let is_spot = body["Loaners"].as_bool().unwrap_or(false);
        let is_pool = |c: &&Capacity| Some(c.flavor) == flavor && Some(c.yard) == yard && c.spot == is_spot;
        let Some(pool) = self.capacity.iter().find(is_pool) else {
            return json(503, j!({"error": "no capacity"}));
        };
        let in_use = self
            .lock()
            .machines
            .iter()
            .filter(|m| m.deleted_at.is_none() && m.flavor.label == pool.flavor && m.yard == pool.yard && m.spot == is_spot)
            .count();
        let wanted = body["HowMany"].as_u64().unwrap_or(0) as usize;
        let count = wanted.min(pool.count.saturating_sub(in_use));
        if count == 0 {
            return json(503, j!({"error": "no capacity"}));
        }
        let names: Vec<String> =
            (0..count).filter_map(|_| self.add_machine(pool.flavor, pool.yard, 0.0, is_spot).ok()).collect();
        self.record.line(format!("cloud rents {names:?} for {body}"));
        self.lock().hires.insert(hire.to_owned(), names.clone());
        json(200, j!({"Hosts": names}))
    }

    /// Returns a page of the machine list, as the machines were `list_lag` ago.
    fn list(&self, request: &Request) -> Value {
        let after = request.query("After").unwrap_or("");
        let most = request.query("Most").and_then(|most| most.parse().ok()).unwrap_or(500).clamp(1, 500);
        let now = Instant::now();
        let lag = self.timing.list_lag;
        let state = self.lock();
        let is_listed = |machine: &&Machine| {
            let known = machine.initial_age_s > 0.0 || now >= machine.created_at + lag;
            known && machine.deleted_at.is_none_or(|at| now < at + lag) && machine.name.as_str() > after
        };
        let mut listed = state.machines.iter().filter(is_listed);
        let hosts: Vec<Value> = listed
            .by_ref()
            .take(most)
            .map(|machine| {
                let age_s = machine.initial_age_s + (now - machine.created_at).as_secs_f64();
                let status = if now >= machine.up_at { "running" } else { "booting" };
                j!({"NameId": machine.name, "Addr": machine.address, "Flavor": machine.flavor.label,
                    "Yard": machine.yard, "Loaners": machine.spot, "Status": status, "AgeS": age_s})
            })
            .collect();
        j!({"Hosts": hosts, "HasNext": listed.next().is_some()})
    }
}

fn phase_name(phase: &Phase) -> String {
    match phase {
        Phase::Pulling(_) => "pulling".into(),
        Phase::Waiting(_) => "waiting".into(),
        Phase::Running(_) => "running".into(),
        Phase::Saving(_) => "saving".into(),
        Phase::Ended { cause, .. } => format!("ended, {cause}"),
    }
}
