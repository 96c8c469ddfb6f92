use super::{Held, Job, Kill, Ledger, Machine, Phase, Slot};
use crate::config::Team;
use hookway_constants as constants;
use hookway_policy::{
    ClusterSnapshot, JobView, MachineView, PlacedTaskView, Resources, TeamView, min_tasks, place,
    preempt,
};
use hookway_wire::TaskState;
use std::collections::{HashMap, HashSet};

/// What is left of a job's turn after a round.
#[derive(Debug, Clone, Copy)]
pub(super) struct Left {
    key: u64,
    tasks: u32,
    leftover: bool,
}

/// A world for the policy, with what its indexes stand for.
pub(super) struct Scene {
    pub world: ClusterSnapshot,
    pub jobs: Vec<u64>,
    pub machines: Vec<String>,
}

impl Ledger {
    /// What is free on a machine, and whether something unknown is on it.
    pub(super) fn free_room(&self, machine: &Machine, total: Resources) -> (Resources, bool) {
        let mut free = total;
        let mut strangers = false;
        for held in &machine.held {
            match held.job.and_then(|k| self.jobs.get(&k)) {
                Some(job) => free.subtract(&job.need),
                None => strangers = true,
            }
        }
        (free, strangers)
    }

    /// The world as the policy sees it.
    pub(super) fn scene(&self, now: u64) -> Scene {
        let teams = self.teams();
        let mut index: HashMap<u64, usize> = HashMap::new();
        let mut keys = Vec::new();
        let mut jobs = Vec::new();
        for (key, job) in &self.jobs {
            if job.over.is_some() && job.held == 0 {
                continue;
            }
            let startable = self.startable_now(job, now);
            index.insert(*key, jobs.len());
            keys.push(*key);
            jobs.push(self.view(job, startable));
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
            gang_requests: self.classes.values().filter(|l| l.gangs).map(|l| l.need).collect(),
            jobs,
            machines,
            teams,
            machine_types: self.machine_types.clone(),
        };
        Scene { world, jobs: keys, machines: names }
    }

    /// The teams with what their tasks hold.
    fn teams(&self) -> Vec<TeamView> {
        let mut teams: Vec<TeamView> = self
            .setup
            .params
            .teams
            .iter()
            .map(|t| TeamView {
                used: Resources::default(),
                guarantee: (t.cpus, t.gpus),
                limit: (t.cpus_max, t.gpus_max),
            })
            .collect();
        for job in self.jobs.values() {
            if let Some(team) = teams.get_mut(job.team) {
                team.used.add(&job.need.times(job.held));
            }
        }
        teams
    }

    /// Tasks that may be started now.
    fn startable_now(&self, job: &Job, now: u64) -> u32 {
        let team = self.setup.params.teams.get(job.team);
        let limited = team.is_some_and(Team::limited);
        // Until everything an earlier leader started is accounted for, a task of an older job may be
        // on a machine that has not reported; so may unknown parts of a team's limit.
        let unsettled = !self.settled(now);
        let unsure = limited && (unsettled || self.strangers > 0);
        if unsure || now < job.pause_until {
            return 0;
        }
        let all = self.startable(job);
        if !(unsettled && job.inherited) {
            return all;
        }
        // What the store says was never started can't be on any of them. But where a job's tasks must be
        // together, or may not all be, those that may be there decide where others may start.
        if job.spec.is_gang() || job.bound_to_zones() {
            return if job.sure_from == 0 { all } else { 0 };
        }
        all.min(job.free.range(job.sure_from..).count() as u32)
    }

    fn startable(&self, job: &Job) -> u32 {
        if !job.live() {
            return 0;
        }
        if job.spec.is_gang() {
            // Tasks of an earlier attempt stay where they are until they exit.
            let whole = job.held == 0 && job.free.len() as u32 == job.spec.tasks;
            let completes = job.completing && !job.broken;
            return if whole || completes { job.free.len() as u32 } else { 0 };
        }
        let free = job.free.len() as u32;
        if job.doubtful() { free.min(1).saturating_sub(job.held) } else { free }
    }

    fn view(&self, job: &Job, startable: u32) -> JobView {
        let machine_types = self
            .machine_types
            .iter()
            .map(|f| {
                let named =
                    job.spec.machine_types.as_ref().is_none_or(|list| list.contains(&f.name));
                named && Resources::of_machine_type(f).fits(&job.need)
            })
            .collect();
        let zone = job.spec.zone.as_ref().map(|y| self.setup.params.zone(y).unwrap_or(usize::MAX));
        JobView {
            team: job.team,
            priority: job.spec.priority,
            gang: job.spec.is_gang(),
            daemon: job.spec.is_daemon(),
            tasks: job.spec.tasks,
            request: job.need,
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
            deadline: job.due,
            start_by: job.start_by.clone(),
            estimated_task_time: job.spec.estimate_s,
            completed: job.done,
            mean_task_time: job.mean_ms().map(|ms| ms / 1000.0),
            unfinished: job.unfinished(),
            placed: job.held,
            startable,
            crash_looping: job.doubtful(),
            placed_per_zone: job.per_zone.clone(),
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
        let zone = self.setup.params.zone(&machine.zone)?;
        let total = Resources::of_machine_type(&self.machine_types[machine_type]);
        let (free, strangers) = self.free_room(machine, total);
        let quiet = (self.setup.params.workers.report_s * 2000.0) as u64;
        let taken = machine.closing.is_some() || machine.notice.is_some() || strangers;
        let silent = now >= machine.last_answer + quiet;
        let open = machine.heard
            && !taken
            && !silent
            && now >= machine.pause_until
            && self.blocks.holds(name, &self.setup.label, now);
        let held = machine
            .held
            .iter()
            .enumerate()
            .filter_map(|(i, h)| {
                let key = h.job?;
                let job = self.jobs.get(&key)?;
                let elapsed = h.running_since.map_or(0.0, |s| now.saturating_sub(s) as f64 / 1e3);
                Some(PlacedTaskView {
                    id: i as u64,
                    job: *index.get(&key)?,
                    request: job.need,
                    elapsed,
                    terminating: h.stray || h.kill.is_some() || !job.live(),
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
            booting: !machine.heard && !taken,
            excluded_by: machine
                .failed
                .iter()
                .filter(|k| self.jobs.get(k).is_some_and(|j| j.shuns(name, self.machines.len())))
                .filter_map(|k| index.get(k).copied())
                .collect(),
            reserved_for: machine.kept.map(|(k, _)| index.get(&k).copied().unwrap_or(usize::MAX)),
            placed_tasks: held,
        })
    }

    /// Least pause between two rounds, ms: what a round costs, as its share of the core allows it.
    pub fn round_pause(&self) -> u64 {
        let machines = self.machines.len() as f64;
        let waiting = self.jobs.values().filter(|j| j.live() && !j.free.is_empty()).count() as f64;
        let cost_ms = machines
            * (constants::ROUND_COST_PER_MACHINE_US + waiting * constants::ROUND_COST_PER_PAIR_US)
            / 1000.0;
        let share = self.setup.params.machine_limits.core_share * constants::ROUND_CORE_SHARE;
        ((cost_ms / share.max(0.001)) as u64)
            .clamp(constants::HEARTBEAT_ROUND_INTERVAL_MS, constants::MAX_ROUND_INTERVAL_MS)
    }

    /// Fills the free room of a machine that has just reported with what found none in the last
    /// round, in its order. Leftovers whose image is there go before other leftovers.
    pub(super) fn fill(&mut self, name: &str, now: u64) {
        if self.left.is_empty() || self.kept_back.contains(name) {
            return;
        }
        let Some(machine) = self.machines.get(name) else { return };
        let taken = machine.closing.is_some() || machine.notice.is_some() || machine.kept.is_some();
        if taken
            || !machine.rostered
            || now < machine.pause_until
            || !self.blocks.holds(name, &self.setup.label, now)
        {
            return;
        }
        let Some(machine_type) =
            self.machine_types.iter().position(|f| f.name == machine.machine_type)
        else {
            return;
        };
        let Some(zone) = self.setup.params.zone(&machine.zone) else { return };
        let spot = machine.spot;
        let (mut free, strangers) =
            self.free_room(machine, Resources::of_machine_type(&self.machine_types[machine_type]));
        if strangers {
            return;
        }
        let images: Vec<u32> = machine.images.iter().map(|(i, _)| *i).collect();
        let mut left = std::mem::take(&mut self.left);
        for with_image in [true, false] {
            for turn in &mut left {
                let Some(job) = self.jobs.get(&turn.key) else { continue };
                if job.shuns(name, self.machines.len()) {
                    continue;
                }
                let skipped = with_image && turn.leftover && !images.contains(&job.image);
                if turn.tasks == 0 || skipped || !free.fits(&job.need) {
                    continue;
                }
                let startable = self.startable_now(job, now);
                if startable == 0 {
                    continue;
                }
                let view = self.view(job, startable);
                if !view.allows(machine_type, zone, spot) || !view.may_use_zone(zone) {
                    continue;
                }
                let here = view.placed_per_zone.get(zone).copied().unwrap_or(0);
                let mut tasks =
                    turn.tasks.min(view.startable).min(free.capacity_for(&view.request));
                tasks = tasks.min(view.max_tasks_per_zone.saturating_sub(here));
                let limit = self.setup.params.teams.get(view.team);
                if limit.is_some_and(Team::limited)
                    && let Some(mut team) = self.teams().into_iter().nth(view.team)
                {
                    for (_, room) in self.reserved.iter().filter(|(t, _)| *t == view.team) {
                        team.used.add(room);
                    }
                    tasks = tasks.min(team.remaining_tasks(&view.request));
                }
                if tasks == 0 {
                    continue;
                }
                turn.tasks -= tasks;
                free.subtract(&view.request.times(tasks));
                self.plan(turn.key, &vec![name.to_owned(); tasks as usize], now);
            }
        }
        left.retain(|turn| turn.tasks > 0);
        self.left = left;
    }

    /// One scheduling round: stops what must stop, renews the blocks, places tasks, makes room.
    pub fn round(&mut self, now: u64) {
        self.last_round = now;
        self.pass_time(now);
        self.tell_settled(now);
        self.renew_blocks(now);
        self.mend_gangs(now);
        self.clear_noticed(now);
        self.give_up_stuck(now);
        self.forgive_steady_daemons(now);
        if self.jobs.is_empty() || self.machine_types.is_empty() {
            return;
        }
        let mut scene = self.scene(now);
        let minimums: Vec<(u64, u32)> = scene
            .jobs
            .iter()
            .zip(&scene.world.jobs)
            .filter(|(_, v)| v.deadline.is_some() && v.mean_task_time.is_some())
            .map(|(k, v)| (*k, min_tasks(v, scene.world.now)))
            .collect();
        for (key, least) in minimums {
            self.keep_minimum(key, least);
        }
        self.left.clear();
        self.kept_back.clear();
        if scene.world.jobs.iter().all(|j| j.startable == 0) {
            return;
        }
        let placed = place(&mut scene.world);
        let left = |t: &hookway_policy::QueueEntry| Left {
            key: scene.jobs[t.job],
            tasks: t.tasks,
            leftover: t.leftover,
        };
        self.left = placed.unplaced.iter().map(left).collect();
        self.reserved = placed.quota_reservations;
        for (name, view) in scene.machines.iter().zip(&scene.world.machines) {
            if view.reserved_for.is_some() {
                self.kept_back.insert(name.clone());
            }
        }
        for placement in placed.placements {
            let key = scene.jobs[placement.job];
            let machines: Vec<String> =
                placement.machines.iter().map(|h| scene.machines[*h].clone()).collect();
            self.plan(key, &machines, now);
        }
        for eviction in preempt(&scene.world) {
            let key = scene.jobs[eviction.job];
            for machine in &eviction.machines {
                if let Some(machine) = self.machines.get_mut(&scene.machines[*machine]) {
                    machine.kept = Some((key, now + constants::STOP_TIMEOUT_MS));
                }
            }
            for (machine, tag) in eviction.victims {
                self.stop_for(&scene.machines[machine], tag as usize, key, now);
            }
        }
    }

    fn renew_blocks(&mut self, now: u64) {
        let until = now + self.setup.operator.block_lease_ms;
        let label = self.setup.label.clone();
        for name in self.machines.keys() {
            self.blocks.lease(name, &label, now, until);
        }
    }

    /// A gang that lost a task goes. One of which only part was found after a change of leader goes as well, unless
    /// that part still waits for the rest: then the rest is started.
    fn mend_gangs(&mut self, now: u64) {
        let settled = self.settled(now);
        let completable = if settled { self.completable_gangs() } else { HashSet::new() };
        for (key, job) in &mut self.jobs {
            let partial = job.spec.is_gang()
                && job.live()
                && job.held > 0
                && job.slots.contains(&Slot::Free)
                && (settled || !job.inherited);
            job.completing = partial
                && completable.contains(key)
                && now < *job.resume_until.get_or_insert(now + constants::GANG_RESUME_LIMIT_MS);
            if partial && !job.completing {
                self.stops_due |= !job.broken;
                job.broken = true;
            }
        }
    }

    /// Machines that the cloud takes back: work that can save is stopped in time, and work that has
    /// made no progress yet goes elsewhere. The rest runs on, for it may finish first.
    fn clear_noticed(&mut self, now: u64) {
        let names: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, h)| h.notice.is_some() || h.closing.is_some())
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            let Some(machine) = self.machines.get(&name) else { continue };
            let mut stops = Vec::new();
            for (i, held) in machine.held.iter().enumerate() {
                let Some(job) = held.job.and_then(|k| self.jobs.get(&k)) else { continue };
                let idle = matches!(
                    held.phase,
                    Phase::Planned
                        | Phase::On(TaskState::FetchingImage | TaskState::WaitingForGang)
                );
                // What can't be done before the machine goes starts anew elsewhere the sooner.
                let ran = held.running_since.map_or(0, |s| now.saturating_sub(s)) as f64;
                let goes = machine.notice.map(|at| at.saturating_sub(now) as f64);
                let hopeless = !job.spec.is_gang()
                    && job.solid_mean().zip(goes).is_some_and(|(mean, goes)| mean - ran > goes);
                // A replica never finishes first.
                let moves = idle || job.spec.checkpoints() || job.spec.is_daemon() || hopeless;
                if held.kill.is_none() && moves {
                    stops.push(i);
                }
            }
            for i in stops {
                self.stop(&name, i, now);
            }
        }
    }

    /// Tasks that run many times longer than others of their job are on a faulty machine, most
    /// likely: it takes nothing new, and they run elsewhere.
    fn give_up_stuck(&mut self, now: u64) {
        let mut stuck = Vec::new();
        for (name, machine) in &self.machines {
            for (i, held) in machine.held.iter().enumerate() {
                let (Some(since), None) = (held.running_since, held.kill) else { continue };
                let job = held.job.and_then(|k| self.jobs.get(&k));
                let one_by_one = |j: &&Job| !j.spec.is_gang() && !j.spec.is_daemon();
                let Some(job) = job.filter(one_by_one) else { continue };
                // Once only: a task that is long wherever it runs must come to its end.
                if job.given_up.contains(&held.index) {
                    continue;
                }
                let ran = now.saturating_sub(since) as f64;
                if job.solid_mean().is_some_and(|m| ran > m * constants::STUCK_TASK_RATIO) {
                    stuck.push((name.clone(), i));
                }
            }
        }
        for (name, i) in stuck {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            tracing::info!("machine {name}: {} is stuck there", machine.held[i].task);
            if machine.closing.is_none() {
                machine.closing = Some("slow");
            }
            let (key, index) = (machine.held[i].job, machine.held[i].index);
            if let Some(job) = key.and_then(|k| self.jobs.get_mut(&k)) {
                job.given_up.insert(index);
                job.note(format!(
                    "task {index} ran far longer than others on {name}, tried elsewhere"
                ));
            }
            self.stop(&name, i, now);
        }
    }

    fn plan(&mut self, key: u64, machines: &[String], now: u64) {
        let unsettled = !self.settled(now);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let gang = job.spec.is_gang();
        let from = if unsettled && job.inherited { job.sure_from } else { 0 };
        for name in machines {
            let Some(index) = job.free.range(from..).next().copied() else { break };
            job.free.remove(&index);
            if index >= job.opened.max(job.opening) {
                job.opening = job.open_to(index);
                self.writer.opens.insert(key);
            }
            let Some(machine) = self.machines.get_mut(name) else {
                job.free.insert(index);
                continue;
            };
            // An attempt number is never used twice: the term leads it, and no two leaders share
            // a term.
            let attempt = match job.attempt.filter(|_| gang) {
                Some(attempt) => attempt,
                None => {
                    self.next_try += 1;
                    (self.term << 28) + self.next_try
                }
            };
            if gang {
                job.attempt = Some(attempt);
            }
            job.slots[index as usize] = Slot::Held;
            job.held += 1;
            if let Some(zone) = self.setup.params.zone(&machine.zone) {
                job.per_zone[zone] += 1;
            }
            self.planned_on.insert(name.clone());
            self.unpublished.insert(name.clone());
            machine.idle_since = None;
            machine.kept = machine.kept.filter(|(k, _)| *k != key);
            machine.held.push(Held {
                job: Some(key),
                task: format!("{}/{index}", job.id),
                index,
                attempt,
                phase: Phase::Planned,
                stray: false,
                kill: None,
                pushed: false,
                running_since: None,
                since: now,
                found: false,
            });
        }
    }

    /// Stops a task, and its whole gang with it, with time to save.
    fn stop(&mut self, name: &str, at: usize, now: u64) {
        let Some(held) = self.machines.get(name).and_then(|h| h.held.get(at)) else { return };
        let Some(key) = held.job else { return };
        let (task, attempt) = (held.task.clone(), held.attempt);
        let Some(job) = self.jobs.get(&key) else { return };
        let grace_s = if job.spec.checkpoints() { job.spec.checkpoint_s + 1.0 } else { 0.0 };
        self.stops_due = true;
        let kill = Kill { grace_s, since: now };
        let gang = job.spec.is_gang();
        for machine in self.machines.values_mut() {
            for h in &mut machine.held {
                let same = h.job == Some(key) && h.attempt == attempt;
                if same && (gang || h.task == task) && h.kill.is_none() {
                    h.kill = Some(kill);
                }
            }
        }
    }

    fn stop_for(&mut self, name: &str, at: usize, winner: u64, now: u64) {
        let text =
            match (self.jobs.get(&winner), self.machines.get(name).and_then(|h| h.held.get(at))) {
                (Some(job), Some(held)) => format!("task {} makes room for {}", held.index, job.id),
                _ => return,
            };
        let victim = self.machines.get(name).and_then(|h| h.held.get(at)).and_then(|h| h.job);
        if let Some(job) = victim.and_then(|k| self.jobs.get_mut(&k)) {
            tracing::info!("job {}: {text}", job.id);
            job.note(text);
        }
        self.stop(name, at, now);
    }
}
