//! Spare machines: idle machines that are kept for job classes whose jobs must start sooner than a
//! new machine would be ready.

use super::class_history::ClassHistory;
use super::{ClusterState, Job, Machine, longest_worker_lease};
use hookway_policy::Resources;
use hookway_time::MonotonicTime;
use hookway_wire::{MachineType, PurchaseOption};
use std::collections::HashSet;

/// A job class with an objective for the start of its jobs.
struct SpareClass<'a> {
    name: &'a str,
    history: &'a ClassHistory,
    /// Time within which jobs of the class should start, s.
    start_within_s: f64,
}

/// A machine that can serve as a spare for a class.
struct Candidate<'a> {
    name: &'a str,
    /// Number of the class's images that the machine has cached.
    cached_images: usize,
    price: f64,
}

impl ClusterState {
    /// Records how many machines each class needs at `now` for all unfinished tasks of its active
    /// jobs that are not crash-looping.
    pub(super) fn record_demand(&mut self, now: MonotonicTime) {
        for (name, class) in &mut self.classes {
            let tasks: u32 = self
                .jobs
                .values()
                .filter(|j| j.is_active() && !j.is_crash_looping() && j.spec.class == *name)
                .map(Job::unfinished)
                .sum();
            let max_tasks =
                |t: &MachineType| Resources::of_machine_type(t).max_tasks(&class.request);
            let tasks_per_machine = self.machine_types.iter().map(max_tasks).max();
            let machines = tasks.div_ceil(tasks_per_machine.unwrap_or(0).max(1));
            class.record_demand(machines as usize, now);
        }
    }

    /// Returns the names of the machines to keep although they may be idle.
    pub(super) fn spare_machines(&self, now: MonotonicTime) -> HashSet<String> {
        let objectives = self.config.platform.objectives.iter();
        objectives
            .filter(|objective| objective.kind == "wait")
            .filter_map(|objective| {
                let name = objective.class.as_deref()?;
                let start_within_s = objective.within_s?;
                Some(SpareClass { name, history: self.classes.get(name)?, start_within_s })
            })
            .flat_map(|class| self.spare_machines_of(&class, now))
            .collect()
    }

    /// Returns the spares of a class: as many as its peak demand within the demand window, less the
    /// machines that have its tasks, but at least one. Machines with more of the class's images
    /// cached are preferred, then cheaper ones.
    fn spare_machines_of(&self, class: &SpareClass<'_>, now: MonotonicTime) -> Vec<String> {
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        let mut busy_machines = 0;
        for (name, machine) in &self.machines {
            let machine_type = self.machine_types.iter().find(|t| t.name == machine.machine_type);
            let Some(machine_type) = machine_type else { continue };
            if self.has_task_of_class(machine, class.name) {
                busy_machines += 1;
            } else if self.is_spare_candidate(machine, machine_type, class, now) {
                let images = &class.history.images;
                let cached = machine.images.iter().filter(|c| images.contains(&c.image));
                let price = machine_type.price(PurchaseOption::from_spot(machine.is_spot));
                candidates.push(Candidate { name, cached_images: cached.count(), price });
            }
        }
        candidates.sort_by(|a, b| {
            b.cached_images.cmp(&a.cached_images).then(a.price.total_cmp(&b.price))
        });
        let kept = class.history.peak_demand().saturating_sub(busy_machines).max(1);
        candidates.into_iter().take(kept).map(|candidate| candidate.name.to_owned()).collect()
    }

    /// Whether a task of the class is placed on the machine.
    fn has_task_of_class(&self, machine: &Machine, class: &str) -> bool {
        machine.placed_tasks.iter().any(|placed| {
            let job = placed.job.and_then(|key| self.jobs.get(&key));
            job.is_some_and(|job| job.spec.class == class)
        })
    }

    /// Whether a machine is up and can take the class's tasks, and a new machine of its type would
    /// be ready too late.
    fn is_spare_candidate(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        class: &SpareClass<'_>,
        now: MonotonicTime,
    ) -> bool {
        let history = class.history;
        let ready_s = machine_type.boot_s + machine_type.image_fetch_s(history.image_gb);
        let lease = longest_worker_lease(&self.config.platform);
        let ready_in_time = ready_s < class.start_within_s;
        !ready_in_time
            && machine.has_reported
            && !machine.is_draining()
            && (!machine.is_spot || history.allows_spot)
            && Resources::of_machine_type(machine_type).can_hold(&history.request)
            && now < machine.last_response_at + lease
    }
}
