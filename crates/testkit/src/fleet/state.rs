//! Machines of a fleet, progress of their tasks, and the checks of every start.

use super::{HistoryEvent, TaskEvent, job_of_task};
use crate::ScriptedWorker;
use hookway_wire::{ExitCause, JobSpec, TaskState, TaskStatus};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time that a worker takes to fetch an image.
const IMAGE_FETCH_TIME: Duration = Duration::from_millis(200);
/// Machine type of all machines.
pub(super) const MACHINE_TYPE: &str = "small";

/// A machine with its worker and the times of its tasks.
pub(super) struct FleetMachine {
    pub(super) worker: ScriptedWorker,
    pub(super) address: String,
    /// Send time of the last heartbeat whose response the worker accepted; its lease starts then.
    pub(super) lease_started_at: Instant,
    /// Whether the machine neither sends heartbeats nor accepts commands.
    pub(super) partitioned: bool,
    pub(super) created_at: Instant,
    /// When the cloud deleted the machine; `None` if it exists.
    pub(super) deleted_at: Option<Instant>,
    /// Time of each task's last change of state, by task id.
    task_changed_at: HashMap<String, Instant>,
}

impl FleetMachine {
    pub(super) fn is_deleted(&self) -> bool {
        self.deleted_at.is_some()
    }
}

/// The state that the heartbeat loops and HTTP handlers of a fleet share.
#[derive(Default)]
pub(super) struct FleetState {
    pub(super) machines: Vec<FleetMachine>,
    pub(super) jobs: Vec<JobSpec>,
    pub(super) history: Vec<HistoryEvent>,
    pub(super) violations: Vec<String>,
    pub(super) run_time: Duration,
}

impl FleetState {
    /// Adds the machine with this index, whose worker listens at `address`.
    pub(super) fn add_machine(&mut self, index: usize, zone: &str, address: String) {
        let mut worker = ScriptedWorker::new(&format!("m-{index}"), MACHINE_TYPE, zone);
        worker.state_after_start = TaskState::FetchingImage;
        worker.set_address(&address);
        self.machines.push(FleetMachine {
            worker,
            address,
            lease_started_at: Instant::now(),
            partitioned: false,
            created_at: Instant::now(),
            deleted_at: None,
            task_changed_at: HashMap::new(),
        });
    }

    fn record(&mut self, index: usize, task: &str, attempt: u64, event: TaskEvent) {
        let machine = self.machines[index].worker.machine_name().to_owned();
        let (task, at) = (task.to_owned(), Instant::now());
        self.history.push(HistoryEvent { at, machine, task, attempt, event });
    }

    /// If the lease of a worker has expired, removes all its tasks and begins its next incarnation.
    pub(super) fn expire_lease(&mut self, index: usize, now: Instant, lease: Duration) {
        if now < self.machines[index].lease_started_at + lease {
            return;
        }
        self.lose_tasks(index);
        let machine = &mut self.machines[index];
        machine.worker.expire_lease();
        machine.lease_started_at = now;
        machine.task_changed_at.clear();
    }

    /// Records all unfinished tasks of a machine as lost.
    pub(super) fn lose_tasks(&mut self, index: usize) {
        for task in self.unfinished_tasks(index) {
            self.record(index, &task.task, task.attempt, TaskEvent::Lost);
        }
    }

    fn unfinished_tasks(&self, index: usize) -> Vec<TaskStatus> {
        let tasks = self.machines[index].worker.tasks().iter();
        tasks.filter(|task| task.state != TaskState::Ended).cloned().collect()
    }

    /// Records the starts of a worker after its first `starts_before` ones. Checks that no task is on two machines, and
    /// that no attempt starts twice on the same machine.
    pub(super) fn check_starts(&mut self, index: usize, starts_before: usize) {
        let started: Vec<(String, u64)> =
            self.machines[index].worker.started_attempts[starts_before..].to_vec();
        for (task, attempt) in started {
            self.record(index, &task, attempt, TaskEvent::Start);
            self.machines[index].task_changed_at.insert(task.clone(), Instant::now());
            let earlier = &self.machines[index].worker.started_attempts[..starts_before];
            if earlier.contains(&(task.clone(), attempt)) {
                self.violations.push(format!("{task} attempt {attempt} twice on m-{index}"));
            }
            let has_task = |machine: &FleetMachine| {
                !machine.is_deleted() && machine.worker.unfinished_tasks().contains(&task)
            };
            let others = self.machines.iter().enumerate();
            let duplicates: Vec<String> = others
                .filter(|(other, machine)| *other != index && has_task(machine))
                .map(|(other, _)| format!("{task} on m-{index} and on m-{other}"))
                .collect();
            self.violations.extend(duplicates);
        }
    }

    /// Advances the tasks of a machine. Returns whether any of them has changed its state.
    pub(super) fn advance_tasks(&mut self, index: usize, now: Instant) -> bool {
        let mut changed = false;
        for task in self.unfinished_tasks(index) {
            let changed_at = self.machines[index].task_changed_at.get(&task.task);
            let changed_at = changed_at.copied().unwrap_or(now);
            let next = match task.state {
                TaskState::FetchingImage if now >= changed_at + IMAGE_FETCH_TIME => {
                    Some(TaskState::WaitingForGang)
                }
                TaskState::WaitingForGang if self.gang_is_complete(&task) => {
                    Some(TaskState::Running)
                }
                _ => None,
            };
            if let Some(next) = next {
                changed = true;
                self.machines[index].worker.set_task_state(&task.task, next);
                self.machines[index].task_changed_at.insert(task.task.clone(), now);
            } else if task.state == TaskState::Running && now >= changed_at + self.run_time {
                changed = true;
                self.machines[index].worker.end_task(&task.task, ExitCause::Done);
                self.record(index, &task.task, task.attempt, TaskEvent::End(ExitCause::Done));
            }
        }
        changed
    }

    /// Whether all tasks of this attempt of the gang have fetched their images. Always true for a task of no gang.
    fn gang_is_complete(&self, task: &TaskStatus) -> bool {
        let job = job_of_task(&task.task);
        let Some(spec) = self.jobs.iter().find(|spec| spec.id.as_str() == job && spec.is_gang())
        else {
            return true;
        };
        (0..spec.tasks).all(|task_index| {
            let member = format!("{job}/{task_index}");
            let is_member =
                |found: &&TaskStatus| found.task == member && found.attempt == task.attempt;
            let has_image = |found: &TaskStatus| found.state != TaskState::FetchingImage;
            self.machines.iter().any(|machine| {
                let found = machine.worker.tasks().iter().find(is_member);
                !machine.is_deleted() && found.is_some_and(has_image)
            })
        })
    }
}
