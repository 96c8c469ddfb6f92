use super::{ClusterState, Job, Machine, PlacedTask, StopOrder, TaskPhase, TaskPlacement};
use crate::settings::Team;
use hookway_constants as constants;
use hookway_policy::{
    ClusterSnapshot, JobView, MachineView, PlacedTaskView, Quota, Resources, TeamView, Victim,
    min_tasks, place, preempt,
};
use hookway_wire::TaskState;
use std::collections::{HashMap, HashSet};

/// What is left of a job's turn after a round.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnplacedDemand {
    key: u64,
    tasks: u32,
    leftover: bool,
}

/// A world for the policy, with what its indexes stand for.
pub(super) struct SchedulingSnapshot {
    pub cluster: ClusterSnapshot,
    pub job_keys: Vec<u64>,
    pub machine_names: Vec<String>,
}

impl ClusterState {
    /// What is free on a machine, and whether something unknown is on it.
    pub(super) fn free_resources(&self, machine: &Machine, total: Resources) -> (Resources, bool) {
        let mut free = total;
        let mut strangers = false;
        for held in &machine.placed_tasks {
            match held.job.and_then(|k| self.jobs.get(&k)) {
                Some(job) => free.subtract(&job.request),
                None => strangers = true,
            }
        }
        (free, strangers)
    }

    /// The world as the policy sees it.
    pub(super) fn scheduling_snapshot(&self, now: u64) -> SchedulingSnapshot {
        let teams = self.team_views();
        let mut index: HashMap<u64, usize> = HashMap::new();
        let mut keys = Vec::new();
        let mut jobs = Vec::new();
        for (key, job) in &self.jobs {
            if job.final_record.is_some() && job.placed == 0 {
                continue;
            }
            let startable = self.startable_now(job, now);
            index.insert(*key, jobs.len());
            keys.push(*key);
            jobs.push(self.job_view(job, startable));
        }
        let mut names = Vec::new();
        let mut machines = Vec::new();
        for (name, machine) in &self.machines {
            if let Some(view) = self.machine_view(name, machine, &index, now) {
                names.push(name.clone());
                machines.push(view);
            }
        }
        let cheapest_cpu = self
            .machine_types
            .iter()
            .flat_map(|f| {
                [Some(f.price_per_hour), f.spot_price].map(|p| p.map(|p| p / f.cpus.max(0.1)))
            })
            .flatten()
            .fold(f64::INFINITY, f64::min);
        let world = ClusterSnapshot {
            now: now as f64 / 1000.0,
            cheapest_cpu_price: if cheapest_cpu.is_finite() { cheapest_cpu } else { 0.0 },
            gang_requests: self.classes.values().filter(|l| l.gangs).map(|l| l.request).collect(),
            jobs,
            machines,
            teams,
            machine_types: self.machine_types.clone(),
        };
        SchedulingSnapshot { cluster: world, job_keys: keys, machine_names: names }
    }

    /// The teams with what their tasks hold.
    fn team_views(&self) -> Vec<TeamView> {
        let mut teams: Vec<TeamView> = self
            .config
            .platform
            .teams
            .iter()
            .map(|t| TeamView {
                used: Resources::default(),
                guarantee: Quota { cpus: t.cpus, gpus: t.gpus },
                limit: Quota { cpus: t.cpus_max, gpus: t.gpus_max },
            })
            .collect();
        for job in self.jobs.values() {
            if let Some(team) = teams.get_mut(job.team) {
                team.used.add(&job.request.times(job.placed));
            }
        }
        teams
    }

    /// Tasks that may be started now.
    fn startable_now(&self, job: &Job, now: u64) -> u32 {
        let team = self.config.platform.teams.get(job.team);
        let limited = team.is_some_and(Team::limited);
        // Until everything an earlier leader started is accounted for, a task of an older job may be
        // on a machine that has not reported; so may unknown parts of a team's limit.
        let unsettled = !self.reconciled(now);
        let unsure = limited && (unsettled || self.unknown_tasks > 0);
        if unsure || now < job.backoff_until {
            return 0;
        }
        let all = self.startable(job);
        if !(unsettled && job.inherited) {
            return all;
        }
        // What the store says was never started can't be on any of them. But where a job's tasks must be
        // together, or may not all be, those that may be there decide where others may start.
        if job.spec.is_gang() || job.bound_to_zones() {
            return if job.never_started_from == 0 { all } else { 0 };
        }
        all.min(job.unplaced.range(job.never_started_from..).count() as u32)
    }

    fn startable(&self, job: &Job) -> u32 {
        if !job.is_active() {
            return 0;
        }
        if job.spec.is_gang() {
            // Tasks of an earlier attempt stay where they are until they exit.
            let whole = job.placed == 0 && job.unplaced.len() as u32 == job.spec.tasks;
            let completes = job.completing && !job.broken;
            return if whole || completes { job.unplaced.len() as u32 } else { 0 };
        }
        let free = job.unplaced.len() as u32;
        if job.is_crash_looping() { free.min(1).saturating_sub(job.placed) } else { free }
    }

    fn job_view(&self, job: &Job, startable: u32) -> JobView {
        let machine_types = self
            .machine_types
            .iter()
            .map(|f| {
                let named =
                    job.spec.machine_types.as_ref().is_none_or(|list| list.contains(&f.name));
                named && Resources::of_machine_type(f).fits(&job.request)
            })
            .collect();
        let zone =
            job.spec.zone.as_ref().map(|y| self.config.platform.zone(y).unwrap_or(usize::MAX));
        JobView {
            team: job.team,
            priority: job.spec.priority,
            gang: job.spec.is_gang(),
            daemon: job.spec.is_daemon(),
            tasks: job.spec.tasks,
            request: job.request,
            machine_types,
            zone,
            one_zone: job.spec.one_zone,
            max_tasks_per_zone: job.spec.max_tasks_per_zone(),
            spot: job.spec.spot,
            image: job.image,
            image_gb: job.spec.image_gb,
            checkpoints: job.spec.checkpoints(),
            checkpoint_time: if job.spec.checkpoints() { job.spec.checkpoint_s } else { 0.0 },
            submitted: job.submitted,
            deadline: job.deadline,
            start_by: job.start_by.clone(),
            estimated_task_time: job.spec.estimate_s,
            completed: job.completed,
            mean_task_time: job.mean_run_time_ms().map(|ms| ms / 1000.0),
            unfinished: job.unfinished(),
            placed: job.placed,
            startable,
            crash_looping: job.is_crash_looping(),
            placed_per_zone: job.placed_per_zone.clone(),
            waiting_since: job.waiting_since as f64 / 1000.0,
        }
    }

    fn machine_view(
        &self,
        name: &str,
        machine: &Machine,
        index: &HashMap<u64, usize>,
        now: u64,
    ) -> Option<MachineView> {
        let machine_type =
            self.machine_types.iter().position(|f| f.name == machine.machine_type)?;
        let zone = self.config.platform.zone(&machine.zone)?;
        let total = Resources::of_machine_type(&self.machine_types[machine_type]);
        let (free, strangers) = self.free_resources(machine, total);
        let quiet = (self.config.platform.workers.heartbeat_interval_s * 2000.0) as u64;
        let taken =
            machine.cordon_reason.is_some() || machine.interruption_at.is_some() || strangers;
        let silent = now >= machine.last_response_at + quiet;
        let open = machine.has_reported
            && !taken
            && !silent
            && now >= machine.backoff_until
            && self.blocks.holds(name, &self.config.controller_name, now);
        let held = machine
            .placed_tasks
            .iter()
            .enumerate()
            .filter_map(|(i, h)| {
                let key = h.job?;
                let job = self.jobs.get(&key)?;
                let elapsed = h.running_since.map_or(0.0, |s| now.saturating_sub(s) as f64 / 1e3);
                Some(PlacedTaskView {
                    id: i as u64,
                    job: *index.get(&key)?,
                    request: job.request,
                    elapsed,
                    terminating: h.orphaned || h.stop.is_some() || !job.is_active(),
                })
            })
            .collect();
        Some(MachineView {
            machine_type,
            zone,
            spot: machine.spot,
            total,
            free,
            price: self.machine_types[machine_type].price(machine.spot),
            images: machine.images.iter().map(|(i, _)| *i).collect(),
            schedulable: open,
            booting: !machine.has_reported && !taken,
            excluded_by: machine
                .failed_jobs
                .iter()
                .filter(|k| {
                    self.jobs.get(k).is_some_and(|j| j.excludes_machine(name, self.machines.len()))
                })
                .filter_map(|k| index.get(k).copied())
                .collect(),
            reserved_for: machine
                .reserved_for_gang
                .map(|(k, _)| index.get(&k).copied().unwrap_or(usize::MAX)),
            placed_tasks: held,
        })
    }

    /// Least pause between two rounds, ms: what a round costs, as its share of the core allows it.
    pub fn round_interval_ms(&self) -> u64 {
        let machines = self.machines.len() as f64;
        let waiting =
            self.jobs.values().filter(|j| j.is_active() && !j.unplaced.is_empty()).count() as f64;
        let cost_ms = machines
            * (constants::ROUND_COST_PER_MACHINE_US + waiting * constants::ROUND_COST_PER_PAIR_US)
            / 1000.0;
        let share = self.config.platform.machine_limits.core_share * constants::ROUND_CORE_SHARE;
        ((cost_ms / share.max(0.001)) as u64)
            .clamp(constants::HEARTBEAT_ROUND_INTERVAL_MS, constants::MAX_ROUND_INTERVAL_MS)
    }

    /// Fills the free room of a machine that has just reported with what found none in the last
    /// round, in its order. Leftovers whose image is there go before other leftovers.
    pub(super) fn fill_machine(&mut self, name: &str, now: u64) {
        if self.unplaced_demand.is_empty() || self.reserved_machines.contains(name) {
            return;
        }
        let Some(machine) = self.machines.get(name) else { return };
        let taken = machine.cordon_reason.is_some()
            || machine.interruption_at.is_some()
            || machine.reserved_for_gang.is_some();
        if taken
            || !machine.registered
            || now < machine.backoff_until
            || !self.blocks.holds(name, &self.config.controller_name, now)
        {
            return;
        }
        let Some(machine_type) =
            self.machine_types.iter().position(|f| f.name == machine.machine_type)
        else {
            return;
        };
        let Some(zone) = self.config.platform.zone(&machine.zone) else { return };
        let spot = machine.spot;
        let (mut free, strangers) = self
            .free_resources(machine, Resources::of_machine_type(&self.machine_types[machine_type]));
        if strangers {
            return;
        }
        let images: Vec<u32> = machine.images.iter().map(|(i, _)| *i).collect();
        let mut left = std::mem::take(&mut self.unplaced_demand);
        for with_image in [true, false] {
            for turn in &mut left {
                let Some(job) = self.jobs.get(&turn.key) else { continue };
                if job.excludes_machine(name, self.machines.len()) {
                    continue;
                }
                let skipped = with_image && turn.leftover && !images.contains(&job.image);
                if turn.tasks == 0 || skipped || !free.fits(&job.request) {
                    continue;
                }
                let startable = self.startable_now(job, now);
                if startable == 0 {
                    continue;
                }
                let view = self.job_view(job, startable);
                if !view.allows(machine_type, zone, spot) || !view.may_use_zone(zone) {
                    continue;
                }
                let here = view.placed_per_zone.get(zone).copied().unwrap_or(0);
                let mut tasks =
                    turn.tasks.min(view.startable).min(free.capacity_for(&view.request));
                tasks = tasks.min(view.max_tasks_per_zone.saturating_sub(here));
                let limit = self.config.platform.teams.get(view.team);
                if limit.is_some_and(Team::limited)
                    && let Some(mut team) = self.team_views().into_iter().nth(view.team)
                {
                    for reserved in self.quota_reservations.iter().filter(|r| r.team == view.team) {
                        team.used.add(&reserved.resources);
                    }
                    tasks = tasks.min(team.remaining_tasks(&view.request));
                }
                if tasks == 0 {
                    continue;
                }
                turn.tasks -= tasks;
                free.subtract(&view.request.times(tasks));
                self.place_tasks(turn.key, &vec![name.to_owned(); tasks as usize], now);
            }
        }
        left.retain(|turn| turn.tasks > 0);
        self.unplaced_demand = left;
    }

    /// One scheduling round: stops what must stop, renews the blocks, places tasks, makes room.
    pub fn scheduling_round(&mut self, now: u64) {
        self.last_round = now;
        self.expire_leases(now);
        self.log_reconciliation(now);
        self.admit_machines(now);
        self.repair_gangs(now);
        self.drain_machines(now);
        self.restart_stuck_tasks(now);
        self.reset_steady_daemons(now);
        if self.jobs.is_empty() || self.machine_types.is_empty() {
            return;
        }
        let mut scene = self.scheduling_snapshot(now);
        let minimums: Vec<(u64, u32)> = scene
            .job_keys
            .iter()
            .zip(&scene.cluster.jobs)
            .filter(|(_, v)| v.deadline.is_some() && v.mean_task_time.is_some())
            .map(|(k, v)| (*k, min_tasks(v, scene.cluster.now)))
            .collect();
        for (key, least) in minimums {
            self.set_min_tasks(key, least);
        }
        self.unplaced_demand.clear();
        self.reserved_machines.clear();
        if scene.cluster.jobs.iter().all(|j| j.startable == 0) {
            return;
        }
        let placed = place(&mut scene.cluster);
        let left = |t: &hookway_policy::QueueEntry| UnplacedDemand {
            key: scene.job_keys[t.job],
            tasks: t.tasks,
            leftover: t.leftover,
        };
        self.unplaced_demand = placed.unplaced.iter().map(left).collect();
        self.quota_reservations = placed.quota_reservations;
        for (name, view) in scene.machine_names.iter().zip(&scene.cluster.machines) {
            if view.reserved_for.is_some() {
                self.reserved_machines.insert(name.clone());
            }
        }
        for placement in placed.placements {
            let key = scene.job_keys[placement.job];
            let machines: Vec<String> =
                placement.machines.iter().map(|h| scene.machine_names[*h].clone()).collect();
            self.place_tasks(key, &machines, now);
        }
        for eviction in preempt(&scene.cluster) {
            let key = scene.job_keys[eviction.job];
            for machine in &eviction.machines {
                if let Some(machine) = self.machines.get_mut(&scene.machine_names[*machine]) {
                    machine.reserved_for_gang = Some((key, now + constants::STOP_TIMEOUT_MS));
                }
            }
            for Victim { machine, task } in eviction.victims {
                self.preempt_for(&scene.machine_names[machine], task as usize, key, now);
            }
        }
    }

    fn admit_machines(&mut self, now: u64) {
        let until = now + self.config.operator.shard_lease_ms;
        let label = self.config.controller_name.clone();
        for name in self.machines.keys() {
            self.blocks.lease(name, &label, now, until);
        }
    }

    /// A gang that lost a task goes. One of which only part was found after a change of leader goes as well, unless
    /// that part still waits for the rest: then the rest is started.
    fn repair_gangs(&mut self, now: u64) {
        let settled = self.reconciled(now);
        let completable = if settled { self.completable_gangs() } else { HashSet::new() };
        for (key, job) in &mut self.jobs {
            let partial = job.spec.is_gang()
                && job.is_active()
                && job.placed > 0
                && job.placements.contains(&TaskPlacement::Unplaced)
                && (settled || !job.inherited);
            job.completing = partial
                && completable.contains(key)
                && now < *job.resume_deadline.get_or_insert(now + constants::GANG_RESUME_LIMIT_MS);
            if partial && !job.completing {
                self.stops_due |= !job.broken;
                job.broken = true;
            }
        }
    }

    /// Machines that the cloud takes back: work that can save is stopped in time, and work that has
    /// made no progress yet goes elsewhere. The rest runs on, for it may finish first.
    fn drain_machines(&mut self, now: u64) {
        let names: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, h)| h.interruption_at.is_some() || h.cordon_reason.is_some())
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            let Some(machine) = self.machines.get(&name) else { continue };
            let mut stops = Vec::new();
            for (i, held) in machine.placed_tasks.iter().enumerate() {
                let Some(job) = held.job.and_then(|k| self.jobs.get(&k)) else { continue };
                let idle = matches!(
                    held.phase,
                    TaskPhase::Planned
                        | TaskPhase::Reported(TaskState::FetchingImage | TaskState::WaitingForGang)
                );
                // What can't be done before the machine goes starts anew elsewhere the sooner.
                let ran = held.running_since.map_or(0, |s| now.saturating_sub(s)) as f64;
                let goes = machine.interruption_at.map(|at| at.saturating_sub(now) as f64);
                let hopeless = !job.spec.is_gang()
                    && job
                        .reliable_mean_run_time_ms()
                        .zip(goes)
                        .is_some_and(|(mean, goes)| mean - ran > goes);
                // A replica never finishes first.
                let moves = idle || job.spec.checkpoints() || job.spec.is_daemon() || hopeless;
                if held.stop.is_none() && moves {
                    stops.push(i);
                }
            }
            for i in stops {
                self.stop_task(&name, i, now);
            }
        }
    }

    /// Tasks that run many times longer than others of their job are on a faulty machine, most
    /// likely: it takes nothing new, and they run elsewhere.
    fn restart_stuck_tasks(&mut self, now: u64) {
        let mut stuck = Vec::new();
        for (name, machine) in &self.machines {
            for (i, held) in machine.placed_tasks.iter().enumerate() {
                let (Some(since), None) = (held.running_since, held.stop) else { continue };
                let job = held.job.and_then(|k| self.jobs.get(&k));
                let one_by_one = |j: &&Job| !j.spec.is_gang() && !j.spec.is_daemon();
                let Some(job) = job.filter(one_by_one) else { continue };
                // Once only: a task that is long wherever it runs must come to its end.
                if job.restarted_tasks.contains(&held.index) {
                    continue;
                }
                let ran = now.saturating_sub(since) as f64;
                if job
                    .reliable_mean_run_time_ms()
                    .is_some_and(|m| ran > m * constants::STUCK_TASK_RATIO)
                {
                    stuck.push((name.clone(), i));
                }
            }
        }
        for (name, i) in stuck {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            tracing::info!("machine {name}: {} is stuck there", machine.placed_tasks[i].task);
            if machine.cordon_reason.is_none() {
                machine.cordon_reason = Some("slow");
            }
            let (key, index) = (machine.placed_tasks[i].job, machine.placed_tasks[i].index);
            if let Some(job) = key.and_then(|k| self.jobs.get_mut(&k)) {
                job.restarted_tasks.insert(index);
                job.add_note(format!(
                    "task {index} ran far longer than others on {name}, tried elsewhere"
                ));
            }
            self.stop_task(&name, i, now);
        }
    }

    fn place_tasks(&mut self, key: u64, machines: &[String], now: u64) {
        let unsettled = !self.reconciled(now);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let gang = job.spec.is_gang();
        let from = if unsettled && job.inherited { job.never_started_from } else { 0 };
        for name in machines {
            let Some(index) = job.unplaced.range(from..).next().copied() else { break };
            job.unplaced.remove(&index);
            if index >= job.watermark_stored.max(job.watermark_target) {
                job.watermark_target = job.watermark_for(index);
                self.commit_queue.watermark_raises.insert(key);
            }
            let Some(machine) = self.machines.get_mut(name) else {
                job.unplaced.insert(index);
                continue;
            };
            // An attempt number is never used twice: the term leads it, and no two leaders share
            // a term.
            let attempt = match job.gang_attempt.filter(|_| gang) {
                Some(attempt) => attempt,
                None => {
                    self.next_attempt += 1;
                    (self.term << 28) + self.next_attempt
                }
            };
            if gang {
                job.gang_attempt = Some(attempt);
            }
            job.placements[index as usize] = TaskPlacement::Placed;
            job.placed += 1;
            if let Some(zone) = self.config.platform.zone(&machine.zone) {
                job.placed_per_zone[zone] += 1;
            }
            self.machines_with_planned_starts.insert(name.clone());
            self.unpublished_machines.insert(name.clone());
            machine.idle_since = None;
            machine.reserved_for_gang = machine.reserved_for_gang.filter(|(k, _)| *k != key);
            machine.placed_tasks.push(PlacedTask {
                job: Some(key),
                task: format!("{}/{index}", job.id),
                index,
                attempt,
                phase: TaskPhase::Planned,
                orphaned: false,
                stop: None,
                stop_dispatched: false,
                running_since: None,
                placed_at: now,
                adopted: false,
            });
        }
    }

    /// Stops a task, and its whole gang with it, with time to save.
    fn stop_task(&mut self, name: &str, at: usize, now: u64) {
        let Some(held) = self.machines.get(name).and_then(|h| h.placed_tasks.get(at)) else {
            return;
        };
        let Some(key) = held.job else { return };
        let (task, attempt) = (held.task.clone(), held.attempt);
        let Some(job) = self.jobs.get(&key) else { return };
        let grace_s = if job.spec.checkpoints() { job.spec.checkpoint_s + 1.0 } else { 0.0 };
        self.stops_due = true;
        let kill = StopOrder { grace_s, decided_at: now };
        let gang = job.spec.is_gang();
        for machine in self.machines.values_mut() {
            for h in &mut machine.placed_tasks {
                let same = h.job == Some(key) && h.attempt == attempt;
                if same && (gang || h.task == task) && h.stop.is_none() {
                    h.stop = Some(kill);
                }
            }
        }
    }

    fn preempt_for(&mut self, name: &str, at: usize, winner: u64, now: u64) {
        let text = match (
            self.jobs.get(&winner),
            self.machines.get(name).and_then(|h| h.placed_tasks.get(at)),
        ) {
            (Some(job), Some(held)) => format!("task {} makes room for {}", held.index, job.id),
            _ => return,
        };
        let victim =
            self.machines.get(name).and_then(|h| h.placed_tasks.get(at)).and_then(|h| h.job);
        if let Some(job) = victim.and_then(|k| self.jobs.get_mut(&k)) {
            tracing::info!("job {}: {text}", job.id);
            job.add_note(text);
        }
        self.stop_task(name, at, now);
    }
}
