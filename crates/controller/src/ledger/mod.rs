//! The leader's picture of jobs, machines and what is where, and every decision that follows from it.
//!
//! No I/O and no clock: the caller says what happened and when (milliseconds on its steady clock),
//! and carries out what comes back.

mod blame;
mod checkin;
mod commit;
mod fleet;
mod marks;
mod model;
mod progress;
mod roster;
mod schedule;

pub use commit::{Commit, CommitResult, Learned};
pub use fleet::FleetAction;
pub use model::{Aims, Ended, Expected, Held, Job, JobContext, Kill, Machine, Phase, Recent, Slot};
pub use progress::Progress;

use crate::blocks::Blocks;
use crate::config::{OperatorSettings, Params};
use crate::holders::{BlockLease, Holders, Renewal};
use crate::records::{
    ClassRecord, FinalRecord, ImagesRecord, JobRecord, MinimumRecord, ProgressRecord, RosterRecord,
    SharedMarksRecord,
};
use commit::Writer;
use hookway_constants as constants;
use hookway_wire::{Guard, JobId, JobSpec, JobState, JobStatus, KeyValue, MachineType};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// What does not change while a node leads.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This node's name.
    pub label: String,
    /// This node's zone.
    pub domain: String,
    /// The other controllers, with their zones.
    pub siblings: Vec<(String, String)>,
    /// The platform's settings.
    pub params: Params,
    /// The operators' settings.
    pub operator: OperatorSettings,
}

/// What a new leader read from the state service.
#[derive(Debug, Clone, Default)]
pub struct Loaded {
    /// `j/`.
    pub jobs: Vec<KeyValue>,
    /// `p/`.
    pub progress: Vec<KeyValue>,
    /// `m/`.
    pub minimums: Vec<KeyValue>,
    /// `r/`.
    pub roster: Vec<KeyValue>,
    /// `i/`.
    pub images: Vec<KeyValue>,
    /// `c/classes`.
    pub classes: Option<KeyValue>,
    /// The leader before kept marks of how far tasks of jobs may have been started.
    pub marked: bool,
}

/// Two readings of the same moment: the steady clock and the time of day, both in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Steady clock.
    pub now: u64,
    /// Time of day.
    pub wall: u64,
}

/// What the leader knows of a job that a user asks about.
#[derive(Debug, Clone, PartialEq)]
pub enum Lookup {
    /// Its state.
    Known(JobStatus),
    /// Its end is being written down: the state service must be asked.
    Deciding,
    /// Not in this picture: over, not yet seen, or never accepted.
    NotHere,
}

/// What became of a request to withdraw.
#[derive(Debug, Clone, PartialEq)]
pub enum Withdrawal {
    /// It is over already.
    Over(JobStatus),
    /// The decision is being written down; it comes with [`Ledger::take_decided`].
    Pending,
    /// Its tasks may not be gone in time yet, so its user can't be told; nothing of it is started any more.
    Unproven,
    /// Not in this picture.
    NotHere,
}

/// How things stand, in one line of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Machines, booting ones included.
    pub machines: usize,
    /// Machines that are up.
    pub up: usize,
    /// Tasks that hold a place.
    pub tasks: usize,
    /// CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs that tasks hold.
    pub placed: f64,
    /// CPUs that startable tasks are waiting for.
    pub waiting: f64,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} jobs, {} machines ({} up), ", self.jobs, self.machines, self.up)?;
        write!(f, "{} tasks placed; CPUs: {:.0} up, ", self.tasks, self.cpus)?;
        write!(f, "{:.0} placed, {:.0} waited for", self.placed, self.waiting)
    }
}

/// The leader's ledger.
#[derive(Debug)]
pub struct Ledger {
    setup: Setup,
    term: u64,
    next_try: u64,
    next_request: u64,
    next_job: u64,
    machine_types: Vec<MachineType>,
    images: HashMap<String, u32>,
    image_names: Vec<String>,
    jobs: BTreeMap<u64, Job>,
    by_id: HashMap<JobId, u64>,
    /// Jobs that ended in this term: a late event must not bring them back.
    ended: Recent<JobId>,
    machines: BTreeMap<String, Machine>,
    /// Machines that this leader knows to be gone: late reports must not bring them back.
    gone_machines: Recent<String>,
    blocks: Blocks,
    /// Machines of the roster that have not reported to this leader yet.
    unheard: BTreeSet<String>,
    /// When those may have been answered last by an earlier leader.
    unheard_since: u64,
    /// Which controllers may answer workers while the leader can't.
    holders: Holders,
    /// When this leader could last not answer workers; silence before that is not the workers'.
    resumed_at: u64,
    writer: Writer,
    decided: Vec<(JobId, FinalRecord)>,
    sold_out: HashMap<(usize, usize, bool), u64>,
    renting: Vec<fleet::Renting>,
    deleting: HashSet<String>,
    last_round: u64,
    /// Turns that found no room in the last round, in order: what reports fill free room with.
    left: Vec<schedule::Left>,
    /// What the last round set aside of teams' limits for gangs that wait.
    reserved: Vec<(usize, hookway_policy::Room)>,
    /// Machines that the last round kept for gangs that wait.
    kept_back: HashSet<String>,
    /// Tasks on machines that belong to no job in this ledger.
    strangers: usize,
    /// Machines with starts that no worker was told of yet.
    planned_on: BTreeSet<String>,
    /// Messages with starts that are under way straight to workers.
    directs: usize,
    /// Workers that are being asked what is on their machines.
    greetings: usize,
    /// Withdrawn jobs whose tasks may not be gone in time yet.
    unproven: BTreeSet<u64>,
    /// Some task may have to be stopped that its worker was not told about.
    stops_due: bool,
    /// When this leader won, ms.
    won_at: u64,
    /// Both clocks, as last told.
    told: Moment,
    /// What was seen of each class.
    classes: HashMap<String, ClassHistory>,
}

/// What was seen of a class.
#[derive(Debug, Clone)]
struct ClassHistory {
    /// The largest task.
    need: hookway_policy::Room,
    /// The largest image, GB.
    image_gb: f64,
    /// Its images.
    images: HashSet<u32>,
    /// Machines that it needed at a time, with the time.
    needed: VecDeque<(u64, usize)>,
    /// Whether its jobs may use spot machines.
    spot: bool,
    /// Its jobs are gangs.
    gangs: bool,
}

impl ClassHistory {
    /// A class as the store knows it.
    fn known(record: &ClassRecord) -> Self {
        Self {
            need: record.need,
            image_gb: record.image_gb,
            images: HashSet::new(),
            needed: VecDeque::new(),
            spot: record.spot,
            gangs: record.gangs,
        }
    }

    /// What the store should know of it.
    fn record(&self) -> ClassRecord {
        let (need, image_gb) = (self.need, self.image_gb);
        ClassRecord { need, image_gb, spot: self.spot, gangs: self.gangs }
    }
}

impl Ledger {
    /// The ledger of a new leader. `at` must be read after the leadership was won.
    pub fn new(
        setup: Setup,
        term: u64,
        lead: Guard,
        machine_types: Vec<MachineType>,
        loaded: Loaded,
        at: Moment,
    ) -> Self {
        let writer = Writer::new(&setup.params, lead, at.now);
        let holders = Holders::new(
            &setup.domain,
            &setup.siblings,
            &setup.params.zones,
            block_lease_ms(&setup),
            at.now,
        );
        let mut ledger = Self {
            setup,
            term,
            next_try: 0,
            next_request: 0,
            next_job: 0,
            machine_types,
            images: HashMap::new(),
            image_names: Vec::new(),
            jobs: BTreeMap::new(),
            by_id: HashMap::new(),
            ended: Recent::new(constants::RECENT_KEPT),
            machines: BTreeMap::new(),
            gone_machines: Recent::new(constants::RECENT_KEPT),
            blocks: Blocks::default(),
            unheard: BTreeSet::new(),
            unheard_since: at.now,
            holders,
            resumed_at: at.now,
            writer,
            decided: Vec::new(),
            sold_out: HashMap::new(),
            renting: Vec::new(),
            deleting: HashSet::new(),
            last_round: 0,
            left: Vec::new(),
            reserved: Vec::new(),
            kept_back: HashSet::new(),
            strangers: 0,
            planned_on: BTreeSet::new(),
            directs: 0,
            greetings: 0,
            unproven: BTreeSet::new(),
            stops_due: false,
            won_at: at.now,
            told: at,
            classes: HashMap::new(),
        };
        ledger.load(loaded, at);
        ledger
    }

    fn load(&mut self, loaded: Loaded, at: Moment) {
        let own = loaded.minimums.iter().chain(&loaded.roster).chain(&loaded.classes);
        own.for_each(|kv| self.writer.stamp(&kv.key, kv.stamp));
        // Without this a leader that finds no job of a class would return the machines that stand by
        // for it.
        let classes = loaded.classes.map(|kv| serde_json::from_value(kv.v));
        match classes.transpose() {
            Ok(classes) => {
                let classes: BTreeMap<String, ClassRecord> = classes.unwrap_or_default();
                self.classes
                    .extend(classes.into_iter().map(|(name, r)| (name, ClassHistory::known(&r))));
            }
            Err(e) => tracing::error!("{}: can't be read: {e}", crate::records::CLASSES),
        }
        // Of a job whose record can't be read nothing is thrown away: a later version may read it.
        let accepted: HashSet<JobId> =
            loaded.jobs.iter().filter_map(|kv| job_of_key(&kv.key)).collect();
        let orphan = |key: &str| job_of_key(key).is_none_or(|id| !accepted.contains(&id));
        for kv in loaded.jobs {
            self.job_seen(&kv.key, kv.v, at, true);
        }
        for kv in loaded.progress {
            let place = crate::records::progress_place(&kv.key)
                .and_then(|(id, from)| Some((*self.by_id.get(&id)?, from)));
            match (place, serde_json::from_value::<ProgressRecord>(kv.v)) {
                (Some((job, from)), Ok(record)) => {
                    self.learn_progress(job, from, kv.stamp, Some(&record));
                }
                (Some((job, from)), Err(e)) => {
                    // What it says is done runs once more, and the new record replaces just this version.
                    tracing::error!("{}: the progress record can't be read: {e}", kv.key);
                    self.learn_progress(job, from, kv.stamp, None);
                }
                (None, _) if orphan(&kv.key) => self.writer.trash(kv.key),
                (None, _) => {}
            }
        }
        let mut unread_marks = false;
        for kv in loaded.minimums {
            if let Some(number) = crate::records::shared_marks_number(&kv.key) {
                match serde_json::from_value::<SharedMarksRecord>(kv.v) {
                    Ok(record) => self.load_shared_marks(kv.key, number, record),
                    Err(e) => {
                        tracing::error!(
                            "{}: can't be read, all jobs count as started: {e}",
                            kv.key
                        );
                        unread_marks = true;
                        self.writer.marks.loaded(number, BTreeSet::new());
                    }
                }
                continue;
            }
            let known = job_of_key(&kv.key).and_then(|id| self.by_id.get(&id));
            let Some(job) = known.and_then(|k| self.jobs.get_mut(k)) else {
                if orphan(&kv.key) {
                    self.writer.trash(kv.key);
                }
                continue;
            };
            match serde_json::from_value::<MinimumRecord>(kv.v) {
                Ok(record) => {
                    job.written_minimum = Some(record.least);
                    job.timed = record.timed;
                    job.sum_ms = record.sum_ms;
                    job.opened = record.opened.max(job.opened);
                }
                Err(e) => {
                    tracing::error!(
                        "{}: can't be read, all of the job counts as started: {e}",
                        kv.key
                    );
                    job.opened = job.spec.tasks;
                }
            }
        }
        for job in self.jobs.values_mut() {
            // Without marks every task may have been started, and the next leader must know it too.
            if !(job.marked && loaded.marked) || unread_marks && job.small() {
                job.opened = job.spec.tasks;
                job.written_opened = false;
            }
            job.sure_from = job.opened;
        }
        let unwritten = self.jobs.iter().filter(|(_, j)| !j.written_opened);
        self.writer.opens.extend(unwritten.map(|(key, _)| *key));
        for kv in loaded.roster {
            let Some(name) = kv.key.strip_prefix(crate::records::ROSTER) else { continue };
            let Some(number) = roster::Roster::number(name) else {
                let since = kv.v.get("at_ms").and_then(serde_json::Value::as_u64);
                self.inherit_machine(name, since, Vec::new(), at);
                self.writer.old_entry(name, since.unwrap_or(at.wall));
                continue;
            };
            let record: RosterRecord = match serde_json::from_value(kv.v) {
                Ok(record) => record,
                Err(e) => {
                    // Nothing can be said of its machines: what they hold shows in their reports, and
                    // until their leases are over nothing older is started.
                    tracing::error!("{}: the roster record can't be read: {e}", kv.key);
                    self.unheard.insert(kv.key);
                    self.writer.roster.unreadable(number);
                    continue;
                }
            };
            let images = self.images_of(&record.images);
            for (machine, entry) in record.machines {
                let held = entry.images.iter().filter_map(|i| images.get(*i).copied()).collect();
                self.inherit_machine(&machine, Some(entry.at_ms), held, at);
                self.writer.roster.loaded(number, &machine, entry.at_ms);
            }
        }
        for kv in loaded.images {
            let name = kv.key.strip_prefix(crate::records::IMAGES).unwrap_or_default();
            if let Ok(record) = serde_json::from_value::<ImagesRecord>(kv.v) {
                let images = self.images_of(&record.images);
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.images = images;
                }
            }
            self.writer.trash(kv.key);
        }
    }

    /// Small jobs that an earlier leader may have started.
    fn load_shared_marks(&mut self, key: String, number: u64, record: SharedMarksRecord) {
        let mut live = BTreeSet::new();
        for id in record.jobs {
            let job = self.by_id.get(&id).and_then(|key| self.jobs.get_mut(key));
            if let Some(job) = job {
                job.opened = job.spec.tasks;
                job.shared_mark = Some(number);
                live.insert(id);
            }
        }
        if live.is_empty() {
            self.writer.trash(key);
        }
        self.writer.marks.loaded(number, live);
    }

    /// A machine of the roster, known since that time of day.
    fn inherit_machine(
        &mut self,
        name: &str,
        since: Option<u64>,
        images: Vec<(u32, f64)>,
        at: Moment,
    ) {
        let mut machine = Machine::new(at.now);
        machine.rostered = true;
        machine.images = images;
        machine.written_images = machine.image_set();
        // Old enough entries must be in any list from now on, or the machine is gone. Times of day
        // may be off on either side.
        if let Some(since) = since {
            let off = self.setup.params.clock_off_ms * 2.0 + 1000.0;
            let age = at.wall as f64 - since as f64 - off;
            if age > 0.0 {
                machine.first_listed = Some(at.now as i64 - age as i64);
            }
        }
        self.machines.insert(name.to_owned(), machine);
        self.unheard.insert(name.to_owned());
    }

    /// The term, which is the token as well.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Machines that this ledger knows of.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Takes in the machine types.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.machine_types = machine_types;
    }

    /// Whether everything that an earlier leader may have started is accounted for: each machine of
    /// the roster has reported, is gone, or its lease has surely run out.
    pub fn settled(&self, now: u64) -> bool {
        self.unheard.is_empty() || self.unheard_over(now)
    }

    /// Whether the leases of all workers that have not reported to this leader are surely over.
    fn unheard_over(&self, now: u64) -> bool {
        let lease = lease_over_ms(&self.setup.params);
        self.holders.lease_over("", self.unheard_since, lease, now)
    }

    /// Another controller asks for its block.
    pub fn renew_block(&mut self, renewal: &Renewal, now: u64) -> Option<BlockLease> {
        let lease = self.block_lease(now);
        self.holders.renew(self.term, renewal, lease, now)
    }

    /// How long blocks are leased at this moment, ms. Tasks of a withdrawn job must be gone within the
    /// time for a cancellation, also where nobody can stop them and a holder keeps their worker alive. So
    /// while such a task may be anywhere, a lease ends no later than one that was given when its user asked,
    /// before anybody was told: early enough for its worker's lease to follow. While a task of an unknown job
    /// may be anywhere, or of one whose withdrawal another controller decided, no lease is given.
    pub fn block_lease(&self, now: u64) -> u64 {
        if self.strangers > 0 || !self.settled(now) {
            return 0;
        }
        let withdrawn = |j: &&Job| j.ending == Some(JobState::Withdrawn) && j.held > 0;
        let longest = block_lease_ms(&self.setup);
        let left = |job: &Job| {
            let since_asked = job.withdraw_asked_at.map(|at| now.saturating_sub(at));
            since_asked.map_or(0, |ms| longest.saturating_sub(ms))
        };
        let shortest = self.jobs.values().filter(withdrawn).map(left).min();
        shortest.unwrap_or(longest)
    }

    /// Zones whose block this leader holds itself.
    pub fn own_block(&self) -> Vec<String> {
        self.holders.own_block()
    }

    /// This node answered a worker as a holder while its leadership was in doubt.
    pub fn kept_alive(&mut self, name: &str, now: u64) {
        self.unheard_since = self.unheard_since.max(now);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.last_answer = machine.last_answer.max(now);
        }
    }

    /// Takes in an accepted job, from a watch or a reading of the store. `inherited` says that an
    /// earlier leader may have started some of it.
    pub fn job_seen(&mut self, key: &str, value: serde_json::Value, at: Moment, inherited: bool) {
        let Some(id) = key.strip_prefix(crate::records::JOBS).and_then(JobId::parse) else {
            return;
        };
        if self.by_id.contains_key(&id) || self.ended.contains(&id) {
            return;
        }
        let record: JobRecord = match serde_json::from_value(value) {
            Ok(record) => record,
            Err(e) => {
                tracing::error!("job {id}: its record can't be read: {e}");
                return;
            }
        };
        let image = self.image(&record.spec.image);
        let team =
            self.setup.params.teams.iter().position(|t| t.name == record.spec.team).unwrap_or(0);
        self.next_job += 1;
        let key = self.next_job;
        let aims = self.aims_of(&record.spec);
        tracing::info!(
            "job {id}: seen ({:?}, {} tasks, lane {}, {}, {} GB, guess {:.0} s, due {:?})",
            record.spec.kind,
            record.spec.tasks,
            record.spec.class,
            record.spec.image,
            record.spec.image_gb,
            record.spec.estimate_s,
            record.spec.deadline_s
        );
        let need = hookway_policy::Room::of_task(&record.spec);
        let fresh = ClassRecord { need, image_gb: 0.0, spot: true, gangs: record.spec.is_gang() };
        let before = self.classes.get(&record.spec.class).map(ClassHistory::record);
        let class = self
            .classes
            .entry(record.spec.class.clone())
            .or_insert_with(|| ClassHistory::known(&fresh));
        class.need.cpus = class.need.cpus.max(need.cpus);
        class.need.gpus = class.need.gpus.max(need.gpus);
        class.need.ram = class.need.ram.max(need.ram);
        class.image_gb = class.image_gb.max(record.spec.image_gb);
        class.images.insert(image);
        class.spot &= record.spec.spot;
        self.writer.classes |= before != Some(class.record());
        let context = JobContext {
            team,
            image,
            zones: self.setup.params.zones.len(),
            value_kb: self.setup.params.state.value_kb,
            inherited,
        };
        let job = Job::new(record, &aims, &context, at);
        self.by_id.insert(id, key);
        self.jobs.insert(key, job);
    }

    /// A job's own deadline, or what the aims promise its class.
    /// A daemon has none: all of its replicas are wanted all the time, and a late one is wanted no less.
    fn aims_of(&self, spec: &JobSpec) -> Aims {
        if spec.is_daemon() {
            return Aims::default();
        }
        let mut start_s: Vec<f64> = self.aims(spec, "wait").collect();
        start_s.sort_by(f64::total_cmp);
        let finished = self.aims(spec, "finished").next();
        // All tasks of an array have started in time if the last ones end a task time later.
        let started = start_s.first().filter(|_| !spec.is_gang()).map(|s| s + spec.estimate_s);
        let implied = match (finished, started) {
            (Some(f), Some(s)) => Some(f.min(s)),
            (f, s) => f.or(s),
        };
        Aims { deadline_s: spec.deadline_s.or(implied), start_s }
    }

    fn aims<'a>(&'a self, spec: &'a JobSpec, kind: &'a str) -> impl Iterator<Item = f64> + 'a {
        let objectives = self.setup.params.objectives.iter();
        objectives
            .filter(move |o| o.kind == kind && o.class.as_deref() == Some(&spec.class))
            .filter_map(|o| o.within_s)
    }

    /// Images of a record, by their numbers.
    fn images_of(&mut self, named: &[(String, f64)]) -> Vec<(u32, f64)> {
        named.iter().map(|(image, gb)| (self.image(image), *gb)).collect()
    }

    fn image(&mut self, image: &str) -> u32 {
        let next = self.images.len() as u32;
        let found = *self.images.entry(image.to_owned()).or_insert(next);
        if found == next {
            self.image_names.push(image.to_owned());
        }
        found
    }

    /// What the leader can say of a job.
    pub fn status(&self, id: &JobId) -> Lookup {
        let Some(job) = self.by_id.get(id).and_then(|k| self.jobs.get(k)) else {
            return Lookup::NotHere;
        };
        match &job.over {
            Some(record) => Lookup::Known(record.status(id)),
            None if job.deciding => Lookup::Deciding,
            None => Lookup::Known(self.describe(job)),
        }
    }

    fn describe(&self, job: &Job) -> JobStatus {
        JobStatus {
            id: job.id.clone(),
            status: if job.running > 0 { JobState::Running } else { JobState::Queued },
            done: job.done,
            running: job.running,
            team: Some(job.spec.team.clone()),
            commander: Some(self.setup.label.clone()),
            notes: job.notes.iter().cloned().collect(),
        }
    }

    /// A user withdraws a job. Nothing of it is started from here on, even before the decision is
    /// durable.
    pub fn withdraw(&mut self, id: &JobId) -> Withdrawal {
        let now = self.told.now;
        let Some(key) = self.by_id.get(id).copied() else { return Withdrawal::NotHere };
        let Some(job) = self.jobs.get_mut(&key) else { return Withdrawal::NotHere };
        if let Some(record) = &job.over {
            return Withdrawal::Over(record.status(id));
        }
        if job.ending.is_none() {
            tracing::info!("job {id}: its user withdraws it");
            job.ending = Some(JobState::Withdrawn);
            job.withdraw_asked_at = Some(now);
            self.stops_due = true;
            self.unproven.insert(key);
            self.write_proven(self.told.now);
        }
        if self.unproven.contains(&key) { Withdrawal::Unproven } else { Withdrawal::Pending }
    }

    /// Cancellations of which it is sure that all rights which may keep tasks alive end in time are written
    /// down. As a rule that is all of them at once: blocks are leased so that they end in time, and a
    /// worker's lease is shorter than a cancellation may take. Where it is not, the tasks must be gone first.
    fn write_proven(&mut self, now: u64) {
        if self.unproven.is_empty() {
            return;
        }
        let by_themselves = leases_end_in_time(&self.setup.params);
        let settled = self.settled(now);
        for key in std::mem::take(&mut self.unproven) {
            let Some(job) = self.jobs.get(&key) else { continue };
            if by_themselves || settled && job.held == 0 {
                self.writer.finals.push_back(key);
            } else {
                self.unproven.insert(key);
            }
        }
    }

    /// Jobs whose end has become durable since the last call.
    pub fn take_decided(&mut self) -> Vec<(JobId, FinalRecord)> {
        std::mem::take(&mut self.decided)
    }

    /// Tells both clocks anew. The steady one drifts from the time of day, so over a long term the
    /// first reading would not do for times that other nodes read.
    pub fn tell_time(&mut self, at: Moment) {
        self.told = at;
    }

    /// The time of day at `now`, ms.
    fn wall_at(&self, now: u64) -> u64 {
        self.told.wall + now.saturating_sub(self.told.now)
    }

    /// The end of a job is durable.
    fn decide(&mut self, key: u64, record: FinalRecord) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.over.is_some() {
            return;
        }
        tracing::info!("job {}: {:?}", job.id, record.state);
        job.over = Some(record.clone());
        job.ending = Some(record.state);
        job.deciding = false;
        job.free.clear();
        for key in job.progress.stored_keys(&job.id) {
            self.writer.trash(key);
        }
        match job.shared_mark {
            Some(number) if self.writer.marks.remove(number, &job.id) => {
                self.writer.trash(crate::records::shared_marks_key(number));
            }
            Some(_) => {}
            None if job.written_minimum.is_some() || job.opened > 0 => {
                self.writer.trash(crate::records::minimum_key(&job.id));
            }
            None => {}
        }
        self.stops_due = true;
        self.ended.insert(job.id.clone());
        self.decided.push((job.id.clone(), record));
        self.drop_if_gone(key);
    }

    /// Forgets a job that is over and has nothing left on any machine.
    fn drop_if_gone(&mut self, key: u64) {
        let gone = self.jobs.get(&key).is_some_and(|j| j.over.is_some() && j.held == 0);
        if gone && let Some(job) = self.jobs.remove(&key) {
            self.by_id.remove(&job.id);
        }
    }

    /// Whether no worker has reported for several intervals although some should: this node may be
    /// cut off from the workers alone, while another one is not.
    pub fn deserted(&self, now: u64) -> bool {
        let report_ms = self.setup.params.workers.report_s * 1000.0;
        let limit =
            ((report_ms * constants::DESERTED_REPORTS) as u64).max(constants::DESERTED_LEAST_MS);
        let mut expected = 0u32;
        let since = self.won_at.max(self.resumed_at);
        let mut latest = since;
        for (name, machine) in &self.machines {
            // Machines that have reported here, and those of the roster that must be up by now.
            let old = machine
                .first_listed
                .is_some_and(|since| since + (constants::SURELY_UP_MS as i64) < self.won_at as i64);
            if machine.heard && machine.dead_session < machine.newest.0 {
                expected += 1;
                latest = latest.max(machine.last_answer);
            } else if !machine.heard && old && self.unheard.contains(name) {
                expected += 1;
            }
        }
        // Where hundreds report, all of them are silent one_zone within seconds only if this node can't hear
        // them. But workers that look for a new leader come one by one.
        let part = (constants::DESERTED_MACHINES / f64::from(expected.max(1))).min(1.0);
        let soon = ((report_ms * constants::DESERTED_REPORTS * part) as u64)
            .clamp(constants::DESERTED_SOON_MS, limit);
        expected >= 2 && now >= latest + if latest > since { soon } else { limit }
    }

    /// Time after an answer by which a worker surely reports again, ms.
    fn report_due_ms(&self) -> u64 {
        let report_ms = self.setup.params.workers.report_s * 1000.0;
        (report_ms * constants::LONGEST_REPORT) as u64 + constants::REPORT_SOON_MS
    }

    /// Whether some worker has missed its report.
    pub fn some_silent(&self, now: u64) -> bool {
        let late = self.report_due_ms();
        let lease = lease_over_ms(&self.setup.params);
        let silent = |h: &Machine| {
            h.heard && !h.held.is_empty() && (late..lease).contains(&(now - h.last_answer.min(now)))
        };
        self.machines.values().any(silent)
    }

    /// The node could not act as leader for a while (its lease was in doubt) and can again.
    pub fn resumed(&mut self, now: u64) {
        self.resumed_at = now;
    }

    /// How things stand, for the log.
    pub fn summary(&self, now: u64) -> Summary {
        let scene = self.scene(now);
        let up = || scene.world.machines.iter().filter(|h| !h.booting);
        let total: f64 = up().map(|h| h.total.cpus).sum();
        let free: f64 = up().map(|h| h.free.cpus).sum();
        let waiting: f64 =
            scene.world.jobs.iter().map(|j| f64::from(j.startable) * j.need.cpus).sum();
        Summary {
            jobs: self.jobs.len(),
            machines: self.machines.len(),
            up: up().count(),
            tasks: self.machines.values().map(|h| h.held.len()).sum(),
            cpus: total.abs(),
            placed: (total - free).abs(),
            waiting: waiting.abs(),
        }
    }
}

/// The job that a record of the kind `<prefix>/<job>...` is about.
fn job_of_key(key: &str) -> Option<JobId> {
    key.split('/').nth(1).and_then(JobId::parse)
}

/// Length of a block's lease, ms: what the operators say, and so short that it and a worker's lease end
/// within the time for a cancellation.
pub fn block_lease_ms(setup: &Setup) -> u64 {
    let workers = &setup.params.workers;
    let most = (workers.cancel_s - workers.lease_s) * 1000.0 - constants::CANCEL_MARGIN_MS;
    setup.operator.block_lease_ms.min(most.max(0.0) as u64)
}

/// Whether the lease of a worker that nobody answers any more ends within the time for a cancellation.
pub fn leases_end_in_time(params: &Params) -> bool {
    let lease_ms = lease_over_ms(params) as f64 + constants::CANCEL_MARGIN_MS;
    lease_ms <= params.workers.cancel_s * 1000.0
}

/// A worker's lease with drift and margin, ms: this long after the last moment when anyone entitled
/// could have answered it, it has killed its tasks.
pub fn lease_over_ms(params: &Params) -> u64 {
    (params.workers.lease_s * 1000.0 * (1.0 + constants::CLOCK_DRIFT)).ceil() as u64
        + constants::WORKER_LEASE_MARGIN_MS
}
