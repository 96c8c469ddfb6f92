//! Stand-ins of the cloud and of the workers on its machines, as the protocol page describes them. Every start is
//! compared with the tasks on all other machines.

use crate::http::{Reply, Req, call, serve};
use crate::record::Record;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A machine type of the cloud.
#[derive(Clone)]
pub struct Flavor {
    pub label: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub fetch_gb_per_s: f64,
    pub ready_s: f64,
    pub hourly: f64,
}

#[derive(Clone)]
pub struct FleetConfig {
    pub flavors: Vec<Flavor>,
    pub zones: Vec<&'static str>,
    /// Most machines of each type and zone that can be rented, beyond those that run at the start.
    pub capacity: usize,
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    /// Seconds from the request until a rented machine is up.
    pub boot: Duration,
    /// Names and addresses of the controllers.
    pub nodes: Vec<(String, String)>,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub piece: String,
    pub attempt: u64,
    pub status: &'static str,
    pub cause: Option<&'static str>,
    pub saved: bool,
    since: Instant,
    /// End of a task that saves.
    saved_at: Option<Instant>,
}

impl Task {
    fn job(&self) -> &str {
        self.piece.split('/').next().unwrap_or_default()
    }

    /// On its machine: from when it has its image until it exits.
    pub fn on_machine(&self) -> bool {
        matches!(self.status, "waiting" | "running" | "saving")
    }
}

pub struct Machine {
    pub name: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub address: String,
    created_at: Instant,
    pub up: bool,
    pub gone: bool,
    /// When the machine died: it stays listed as running for roughly 30 s, then as failed until it is deleted.
    pub died_at: Option<Instant>,
    /// Cut off: nothing is sent or received.
    pub cut: bool,
    /// The machine hangs: it carries nothing out.
    pub hung: bool,
    pub tenure: u64,
    tick: u64,
    pub baton: u64,
    pub tasks: Vec<Task>,
    answered_sent_at: Instant,
    report_due: Instant,
    last_report_at: Instant,
    changed: bool,
    baton_change_at: Option<Instant>,
    pub node: usize,
    /// Whether it moves on to other nodes after a failed report; otherwise it retries the same one.
    pub follows_redirects: bool,
}

/// What a job's tasks do, from the job's description.
#[derive(Clone, Debug)]
pub struct JobInfo {
    pub spec: Value,
    pub run: Duration,
}

pub struct State {
    pub machines: Vec<Machine>,
    pub jobs: HashMap<String, JobInfo>,
    hires: HashMap<String, Vec<String>>,
    next_machine: usize,
    /// Tasks that completed: started again, they exit with `done` as soon as they have their image.
    pub done: HashMap<String, Instant>,
    pub starts: usize,
    /// Tasks whose next attempt fails with `error` soon after its start.
    pub fails: Vec<String>,
}

/// Called for each answered report: machine, index of the node, status and answer.
pub type Answered = Box<dyn Fn(&str, usize, u16, &Value) + Send + Sync>;

#[derive(Clone)]
pub struct Fleet(Arc<Shared>);

struct Shared {
    config: FleetConfig,
    state: Mutex<State>,
    record: Record,
    answered: Answered,
}

impl Fleet {
    pub fn new(config: FleetConfig, record: Record, answered: Answered) -> Self {
        let state = State {
            machines: vec![],
            jobs: HashMap::new(),
            hires: HashMap::new(),
            next_machine: 1,
            done: HashMap::new(),
            starts: 0,
            fails: vec![],
        };
        Self(Arc::new(Shared { config, state: Mutex::new(state), record, answered }))
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn add_job(&self, spec: &Value, run: Duration) {
        let id = spec["NameId"].as_str().unwrap_or_default().to_owned();
        self.lock().jobs.insert(id, JobInfo { spec: spec.clone(), run });
    }

    /// Starts a machine that is up after `boot` and first reports to the node with index `node`.
    pub fn start_machine(
        &self,
        flavor: &str,
        zone: &str,
        spot: bool,
        boot: Duration,
        node: Option<usize>,
    ) -> String {
        let mut state = self.lock();
        let number = state.next_machine;
        state.next_machine += 1;
        let name = format!("m-{number:06}");
        let index = state.machines.len();
        let now = Instant::now();
        let node = node.unwrap_or(index % self.0.config.nodes.len());
        let fleet = self.clone();
        let address = serve("127.0.0.1:0", move |req| fleet.orders(index, req)).to_string();
        state.machines.push(Machine {
            name: name.clone(),
            flavor: flavor.to_owned(),
            zone: zone.to_owned(),
            spot,
            address,
            created_at: now,
            up: false,
            gone: false,
            died_at: None,
            cut: false,
            hung: false,
            tenure: 1,
            tick: 0,
            baton: 0,
            tasks: vec![],
            answered_sent_at: now,
            report_due: now,
            last_report_at: now,
            changed: false,
            baton_change_at: None,
            node,
            follows_redirects: true,
        });
        drop(state);
        let fleet = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(boot);
            {
                let mut state = fleet.lock();
                let machine = &mut state.machines[index];
                machine.up = true;
                machine.answered_sent_at = Instant::now();
                fleet.0.record.line(format!(
                    "machine {} is up ({}, {}), first node {}",
                    machine.name,
                    machine.flavor,
                    machine.zone,
                    fleet.0.config.nodes[machine.node].0
                ));
            }
            let ticking = fleet.clone();
            std::thread::spawn(move || ticking.run_tasks(index));
            fleet.report_loop(index);
        });
        name
    }

    /// A machine stops with all that is on it.
    pub fn die(&self, name: &str) {
        let mut state = self.lock();
        for machine in state.machines.iter_mut().filter(|m| m.name == name) {
            machine.gone = true;
            machine.died_at = Some(Instant::now());
            self.0.record.line(format!("{name} dies with {} tasks", machine.tasks.len()));
            machine.tasks.clear();
        }
    }

    /// Opens the cloud's address.
    pub fn open_cloud(&self) -> String {
        let fleet = self.clone();
        serve("127.0.0.1:0", move |req| fleet.cloud(req)).to_string()
    }

    fn cloud(&self, req: &Req) -> Reply {
        let config = &self.0.config;
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/flavors") => {
                let flavors: Vec<Value> = config
                    .flavors
                    .iter()
                    .map(|f| {
                        json!({"Label": f.label, "Vcpus": f.cpus, "Gpus": 0, "RamGb": f.ram_gb, "LocalGb": 60.0,
                            "FetchGbPerS": f.fetch_gb_per_s, "Hourly": f.hourly, "MarketPrice": f.hourly * 0.4,
                            "ReadyS": f.ready_s, "Yards": config.zones})
                    })
                    .collect();
                Reply::Json(200, json!({"Flavors": flavors}))
            }
            ("GET", "/rentals") => {
                let after = req.q("After").unwrap_or_default();
                let state = self.lock();
                let hosts: Vec<Value> = state
                    .machines
                    .iter()
                    .filter(|m| (!m.gone || m.died_at.is_some()) && m.name.as_str() > after)
                    .map(|m| {
                        let status = match m.died_at {
                            Some(at) if at.elapsed() > Duration::from_secs(30) => "failed",
                            _ if m.up => "running",
                            _ => "booting",
                        };
                        json!({"NameId": m.name, "Addr": m.address, "Flavor": m.flavor, "Yard": m.zone,
                            "Loaners": m.spot, "Status": status,
                            "AgeS": m.created_at.elapsed().as_secs_f64()})
                    })
                    .collect();
                Reply::Json(200, json!({"Hosts": hosts, "HasNext": false}))
            }
            ("POST", "/rentals") => self.rent(&req.json()),
            ("POST", "/rentals/delete") => {
                let body = req.json();
                let names: Vec<&str> =
                    body["Hosts"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
                let mut state = self.lock();
                for machine in state.machines.iter_mut().filter(|m| names.contains(&m.name.as_str())) {
                    machine.gone = true;
                    machine.died_at = None;
                    machine.tasks.clear();
                    self.0.record.line(format!("cloud: {} deleted", machine.name));
                }
                Reply::Json(200, json!({}))
            }
            _ => Reply::Json(400, json!({"error": "malformed"})),
        }
    }

    fn rent(&self, body: &Value) -> Reply {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let (hire, flavor, zone) = (text("Hire"), text("Flavor"), text("Yard"));
        if let Some(names) = self.lock().hires.get(&hire) {
            return Reply::Json(200, json!({"Hosts": names}));
        }
        let wanted = body["HowMany"].as_u64().unwrap_or(0) as usize;
        let rented = self
            .lock()
            .machines
            .iter()
            .filter(|m| !m.gone && m.flavor == flavor && m.zone == zone)
            .count();
        let count = wanted.min(self.0.config.capacity.saturating_sub(rented));
        if count == 0 {
            return Reply::Json(503, json!({"error": "no capacity"}));
        }
        let spot = body["Loaners"].as_bool().unwrap_or(false);
        let names: Vec<String> = (0..count)
            .map(|_| self.start_machine(&flavor, &zone, spot, self.0.config.boot, None))
            .collect();
        self.0.record.line(format!("cloud: {hire} rents {names:?}"));
        self.lock().hires.insert(hire, names.clone());
        Reply::Json(200, json!({"Hosts": names}))
    }

    fn report_json(machine: &mut Machine) -> Value {
        machine.tick += 1;
        let pieces: Vec<Value> = machine
            .tasks
            .iter()
            .map(|t| {
                let mut piece = json!({"Piece": t.piece, "Try": t.attempt, "Status": t.status});
                if let Some(cause) = t.cause {
                    piece["Cause"] = json!(cause);
                    if cause == "stopped" {
                        piece["Saved"] = json!(t.saved);
                    }
                }
                piece
            })
            .collect();
        json!({"Host": machine.name, "Addr": machine.address, "Flavor": machine.flavor, "Yard": machine.zone,
            "Loaners": machine.spot, "Tenure": machine.tenure, "Tick": machine.tick, "Baton": machine.baton,
            "EvictionS": null, "Pieces": pieces})
    }

    fn orders(&self, index: usize, req: &Req) -> Reply {
        let body = req.json();
        // A machine that hangs answers once it goes on.
        loop {
            let state = self.lock();
            let machine = &state.machines[index];
            if machine.cut || machine.gone || !machine.up {
                return Reply::Silent;
            }
            if !machine.hung {
                break;
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(20));
        }
        let mut state = self.lock();
        let machine = &mut state.machines[index];
        if req.method == "GET" {
            return Reply::Json(200, Self::report_json(machine));
        }
        let (Some(baton), Some(tenure)) = (body["Baton"].as_u64(), body["Tenure"].as_u64()) else {
            return Reply::Json(400, json!({"error": "malformed"}));
        };
        if baton < machine.baton || tenure != machine.tenure {
            return Reply::Json(409, Self::report_json(machine));
        }
        Self::see_baton(machine, baton, self.0.config.lease);
        self.execute(&mut state, index, &body["Orders"]);
        Reply::Json(200, Self::report_json(&mut state.machines[index]))
    }

    fn see_baton(machine: &mut Machine, baton: u64, lease: Duration) {
        if baton > machine.baton {
            machine.baton = baton;
            let now = Instant::now();
            if machine.baton_change_at.is_none_or(|at| now >= at + lease / 2) {
                machine.baton_change_at = Some(now);
                machine.changed = true;
            }
        }
    }

    /// Whether a machine has the resources for one more task; tasks that wait for their image count.
    fn has_room(&self, state: &State, index: usize, piece: &str) -> bool {
        let machine = &state.machines[index];
        let request = |piece: &str, name: &str| {
            let job = state.jobs.get(piece.split('/').next().unwrap_or_default());
            job.and_then(|job| job.spec[name].as_f64()).unwrap_or(0.0)
        };
        let used = |name: &str| -> f64 {
            machine.tasks.iter().filter(|t| t.status != "ended").map(|t| request(&t.piece, name)).sum()
        };
        let flavor = self.0.config.flavors.iter().find(|f| f.label == machine.flavor);
        flavor.is_some_and(|f| {
            used("Vcpus") + request(piece, "Vcpus") <= f.cpus + 1e-6
                && used("RamGb") + request(piece, "RamGb") <= f.ram_gb + 1e-6
        })
    }

    fn execute(&self, state: &mut State, index: usize, orders: &Value) {
        let now = Instant::now();
        for order in orders.as_array().into_iter().flatten() {
            let piece = order["Piece"].as_str().unwrap_or_default().to_owned();
            let attempt = order["Try"].as_u64().unwrap_or(0);
            let known_job =
                state.jobs.contains_key(piece.split('/').next().unwrap_or_default());
            let has_room = self.has_room(state, index, &piece);
            let machine = &mut state.machines[index];
            let name = machine.name.clone();
            let at = machine.tasks.iter().position(|t| t.piece == piece && t.attempt == attempt);
            match (order["Verb"].as_str(), at) {
                (Some("run"), None) => {
                    let busy = machine.tasks.iter().any(|t| t.piece == piece && t.status != "ended");
                    let (status, cause) = match (known_job, busy, has_room) {
                        (false, ..) => ("ended", Some("unknown")),
                        (_, true, _) => ("ended", Some("busy")),
                        (.., false) => ("ended", Some("no_room")),
                        _ => ("pulling", None),
                    };
                    self.0.record.line(format!("{name}: run {piece} try {attempt} -> {status} {cause:?}"));
                    machine.tasks.push(Task {
                        piece,
                        attempt,
                        status,
                        cause,
                        saved: false,
                        since: now,
                        saved_at: None,
                    });
                    machine.changed = true;
                }
                (Some("kill"), Some(at)) => {
                    let wind_down = order["WindDownS"].as_f64().unwrap_or(0.0);
                    let spec = state.jobs.get(state.machines[index].tasks[at].job()).map(|j| j.spec.clone());
                    let machine = &mut state.machines[index];
                    let task = &mut machine.tasks[at];
                    if task.status == "ended" {
                        continue;
                    }
                    self.0.record.line(format!("{name}: kill {piece} try {attempt} grace {wind_down}"));
                    let save_s = spec.as_ref().map_or(0.0, |s| s["SnapshotS"].as_f64().unwrap_or(0.0));
                    let saves = spec.is_some_and(|s| s["SnapshotEveryS"].as_f64().unwrap_or(0.0) > 0.0);
                    if task.status == "running" && saves && wind_down >= save_s {
                        task.status = "saving";
                        task.saved_at = Some(now + Duration::from_secs_f64(save_s));
                    } else if task.status != "saving" || wind_down == 0.0 {
                        task.status = "ended";
                        task.cause = Some("stopped");
                    }
                    machine.changed = true;
                }
                (Some("reap"), Some(at)) if machine.tasks[at].status == "ended" => {
                    machine.tasks.remove(at);
                    machine.changed = true;
                }
                _ => {}
            }
        }
    }

    /// Moves the tasks of a machine on, and ends its lease when it is over.
    fn run_tasks(&self, index: usize) {
        let config = self.0.config.clone();
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let mut state = self.lock();
            if state.machines[index].gone {
                return;
            }
            let now = Instant::now();
            let machine = &mut state.machines[index];
            if now > machine.answered_sent_at + config.lease {
                self.0.record.line(format!(
                    "{}: its lease is over, {} tasks killed, tenure {}",
                    machine.name,
                    machine.tasks.len(),
                    machine.tenure + 1
                ));
                machine.tasks.clear();
                machine.tenure += 1;
                machine.answered_sent_at = now;
                machine.changed = true;
                continue;
            }
            if machine.hung {
                continue;
            }
            for t in 0..state.machines[index].tasks.len() {
                self.move_on(&mut state, index, t, now);
            }
        }
    }

    fn move_on(&self, state: &mut State, index: usize, t: usize, now: Instant) {
        let task = state.machines[index].tasks[t].clone();
        let Some(job) = state.jobs.get(task.job()).cloned() else { return };
        let is_gang = job.spec["Shape"] == "group";
        let flavor = state.machines[index].flavor.clone();
        let rate = self.0.config.flavors.iter().find(|f| f.label == flavor).map_or(1.0, |f| f.fetch_gb_per_s);
        let fetch = Duration::from_secs_f64(job.spec["ImageGb"].as_f64().unwrap_or(0.0) / rate);
        let name = state.machines[index].name.clone();
        let set = |state: &mut State, status: &'static str, cause: Option<&'static str>| {
            let machine = &mut state.machines[index];
            machine.tasks[t].status = status;
            machine.tasks[t].cause = cause;
            machine.tasks[t].since = now;
            machine.changed = true;
        };
        match task.status {
            "pulling" if now >= task.since + fetch => {
                self.check_start(state, index, &task);
                if state.done.contains_key(&task.piece) {
                    set(state, "ended", Some("done"));
                } else {
                    set(state, if is_gang { "waiting" } else { "running" }, None);
                    state.starts += 1;
                    self.0.record.line(format!("{name}: {} try {} starts", task.piece, task.attempt));
                }
            }
            "waiting" => {
                let pieces = job.spec["Pieces"].as_u64().unwrap_or(0);
                let ready = (0..pieces).all(|i| {
                    let piece = format!("{}/{i}", task.job());
                    state.machines.iter().filter(|m| !m.gone).any(|m| {
                        m.tasks.iter().any(|t| t.piece == piece && t.attempt == task.attempt && t.on_machine())
                    })
                });
                if ready {
                    set(state, "running", None);
                } else if now > task.since + self.0.config.gang_wait {
                    set(state, "ended", Some("incomplete"));
                }
            }
            "running"
                if now >= task.since + Duration::from_millis(300) && state.fails.contains(&task.piece) =>
            {
                state.fails.retain(|piece| *piece != task.piece);
                self.0.record.line(format!("{name}: {} try {} fails with error", task.piece, task.attempt));
                set(state, "ended", Some("error"));
            }
            "running" if job.spec["Shape"] != "daemon" && now >= task.since + job.run => {
                state.done.insert(task.piece.clone(), now);
                self.0.record.line(format!("{name}: {} try {} done", task.piece, task.attempt));
                set(state, "ended", Some("done"));
            }
            "saving" if task.saved_at.is_some_and(|at| now >= at) => {
                state.machines[index].tasks[t].saved = true;
                set(state, "ended", Some("stopped"));
            }
            _ => {}
        }
    }

    /// `ran_twice`: a task starts on one machine while it is on another.
    fn check_start(&self, state: &State, index: usize, task: &Task) {
        for (other, machine) in state.machines.iter().enumerate().filter(|(_, m)| !m.gone) {
            for found in machine.tasks.iter().filter(|f| f.piece == task.piece && f.on_machine()) {
                if other != index || found.attempt != task.attempt {
                    self.0.record.broken(format!(
                        "ran_twice: {} starts on {} (try {}) while it is on {} (try {}, {})",
                        task.piece,
                        state.machines[index].name,
                        task.attempt,
                        machine.name,
                        found.attempt,
                        found.status
                    ));
                }
            }
        }
    }

    fn report_loop(&self, index: usize) {
        let config = self.0.config.clone();
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let (body, address, node, name, sent_at, tenure) = {
                let mut state = self.lock();
                let machine = &mut state.machines[index];
                if machine.gone {
                    return;
                }
                let now = Instant::now();
                let due = now >= machine.report_due
                    || machine.changed && now >= machine.last_report_at + Duration::from_millis(500);
                if machine.cut || machine.hung || !due {
                    continue;
                }
                machine.changed = false;
                machine.last_report_at = now;
                machine.report_due = now + config.report;
                let body = Self::report_json(machine);
                (body, config.nodes[machine.node].1.clone(), machine.node, machine.name.clone(), now, machine.tenure)
            };
            let answer = call(&address, "POST", "/checkin", Some(&body), Duration::from_secs(4));
            if let Some((status, answer)) = &answer {
                (self.0.answered)(&name, node, *status, answer);
            }
            let mut state = self.lock();
            let machine = &mut state.machines[index];
            if machine.cut || machine.hung {
                continue;
            }
            let nodes = config.nodes.len();
            let retry = Instant::now() + Duration::from_secs(1);
            match answer {
                Some((200, answer)) => {
                    let baton = answer["Baton"].as_u64().unwrap_or(0);
                    // Dropped: a lower token or none, or an answer to an earlier session.
                    if baton == 0 || baton < machine.baton || machine.tenure != tenure {
                        continue;
                    }
                    machine.answered_sent_at = sent_at;
                    Self::see_baton(machine, baton, config.lease);
                    self.execute(&mut state, index, &answer["Orders"]);
                }
                Some((421, answer)) => {
                    let foreman = answer["Foreman"].as_str().unwrap_or_default();
                    let named = config.nodes.iter().position(|(n, _)| n == foreman);
                    match named.filter(|n| *n != node) {
                        Some(named) => {
                            machine.node = named;
                            machine.report_due = Instant::now();
                        }
                        None => {
                            machine.node = (node + 1) % nodes;
                            machine.report_due = retry;
                        }
                    }
                }
                _ => {
                    machine.node = (node + 1) % nodes;
                    machine.report_due = retry;
                }
            }
        }
    }
}
