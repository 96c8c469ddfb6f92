//! A worker without a process, which a test controls step by step.

use hookway_wire::{
    Command, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};

/// A worker that executes commands as the protocol requires. After their start, its tasks change their state only when
/// the test sets it.
#[derive(Debug, Clone)]
pub struct ScriptedWorker {
    /// The last heartbeat, updated with all changes since; it has the tasks on the machine.
    state: Heartbeat,
    /// Highest fencing token received so far; commands with a lower one are refused.
    pub fencing_token: u64,
    /// Task ids and attempts that were started in all incarnations, oldest first.
    pub started_attempts: Vec<(String, u64)>,
    /// State that a task has right after its start.
    pub state_after_start: TaskState,
}

impl ScriptedWorker {
    /// Creates a worker of an on-demand machine, in its first incarnation.
    pub fn new(machine: &str, machine_type: &str, zone: &str) -> Self {
        let state = Heartbeat {
            machine: machine.into(),
            address: "127.0.0.1:9000".into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            interruption_notice_s: None,
            tasks: vec![],
        };
        Self {
            state,
            fencing_token: 0,
            started_attempts: vec![],
            state_after_start: TaskState::Running,
        }
    }

    /// Returns the name of the machine, as heartbeats give it.
    pub fn machine_name(&self) -> &str {
        &self.state.machine
    }

    /// Sets the address (`host:port`) that heartbeats give.
    pub fn set_address(&mut self, address: &str) {
        address.clone_into(&mut self.state.address);
    }

    /// Returns the name of the machine's zone.
    pub fn zone(&self) -> &str {
        &self.state.zone
    }

    /// Returns the number of the current incarnation, from 1.
    pub fn incarnation(&self) -> u64 {
        self.state.incarnation
    }

    /// Returns the next heartbeat, with a sequence number that is higher by one.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.state.sequence += 1;
        self.state.fencing_token = self.fencing_token;
        self.state.clone()
    }

    /// Adds an interruption notice to all further heartbeats: the cloud reclaims the machine in `seconds`.
    pub fn set_interruption_notice(&mut self, seconds: f64) {
        self.state.interruption_notice_s = Some(seconds);
    }

    /// Executes the commands in a response to a heartbeat. Returns `false` if the response was discarded because it has
    /// no fencing token or a lower one.
    pub fn execute_response(&mut self, response: &HeartbeatResponse) -> bool {
        if !response.extends_lease() || response.fencing_token < self.fencing_token {
            return false;
        }
        self.fencing_token = response.fencing_token;
        for command in &response.commands {
            match command {
                Command::Run { task, attempt } => {
                    if self.position_of(task, *attempt).is_none() {
                        self.started_attempts.push((task.clone(), *attempt));
                        self.state.tasks.push(TaskStatus {
                            task: task.clone(),
                            attempt: *attempt,
                            state: self.state_after_start,
                            cause: None,
                            checkpointed: None,
                        });
                    }
                }
                Command::Kill { task, attempt, .. } => {
                    if let Some(index) = self.position_of(task, *attempt)
                        && self.state.tasks[index].state != TaskState::Ended
                    {
                        self.end_task_at(index, ExitCause::Stopped);
                    }
                }
                Command::Reap { task, attempt } => {
                    self.state.tasks.retain(|status| {
                        status.task != *task
                            || status.attempt != *attempt
                            || status.state != TaskState::Ended
                    });
                }
            }
        }
        true
    }

    /// Executes direct commands. Returns the heartbeat after them; `None` if they were refused because of their
    /// incarnation or a lower fencing token.
    pub fn execute_direct_commands(&mut self, commands: &DirectCommands) -> Option<Heartbeat> {
        if commands.incarnation != self.state.incarnation
            || commands.fencing_token < self.fencing_token
        {
            return None;
        }
        self.execute_response(&HeartbeatResponse {
            fencing_token: commands.fencing_token,
            commands: commands.commands.clone(),
        });
        Some(self.heartbeat())
    }

    fn position_of(&self, task: &str, attempt: u64) -> Option<usize> {
        self.state.tasks.iter().position(|status| status.task == task && status.attempt == attempt)
    }

    fn end_task_at(&mut self, index: usize, cause: ExitCause) {
        self.state.tasks[index].state = TaskState::Ended;
        self.state.tasks[index].cause = Some(cause);
    }

    /// Returns the status of all tasks on the machine, including ended tasks that are not reaped yet.
    pub fn tasks(&self) -> &[TaskStatus] {
        &self.state.tasks
    }

    /// Returns the state of an attempt; `None` if it is not on the machine or has ended.
    pub fn task_state(&self, task: &str, attempt: u64) -> Option<TaskState> {
        let found = &self.state.tasks[self.position_of(task, attempt)?];
        (found.state != TaskState::Ended).then_some(found.state)
    }

    /// Whether any attempt of a task is running on the machine.
    pub fn is_running(&self, task: &str) -> bool {
        self.state
            .tasks
            .iter()
            .any(|status| status.task == task && status.state == TaskState::Running)
    }

    /// Sets the state of a task's unfinished attempts.
    pub fn set_task_state(&mut self, task: &str, state: TaskState) {
        let is_unfinished =
            |status: &&mut TaskStatus| status.task == task && status.state != TaskState::Ended;
        for task in self.state.tasks.iter_mut().filter(is_unfinished) {
            task.state = state;
        }
    }

    /// Sets the state of all unfinished tasks on the machine.
    pub fn set_all_task_states(&mut self, state: TaskState) {
        for task in self.state.tasks.iter_mut().filter(|status| status.state != TaskState::Ended) {
            task.state = state;
        }
    }

    /// Ends a task for this cause. Returns `false` if there is no unfinished attempt of it on the machine.
    pub fn end_task(&mut self, task: &str, cause: ExitCause) -> bool {
        let found = self
            .state
            .tasks
            .iter()
            .position(|status| status.task == task && status.state != TaskState::Ended);
        if let Some(index) = found {
            self.end_task_at(index, cause);
        }
        found.is_some()
    }

    /// Returns the ids of the unfinished tasks on the machine.
    pub fn unfinished_tasks(&self) -> Vec<String> {
        self.state
            .tasks
            .iter()
            .filter(|status| status.state != TaskState::Ended)
            .map(|status| status.task.clone())
            .collect()
    }

    /// Begins the worker's process anew on the same machine: its tasks, its incarnation, the sequence number of its
    /// messages and its fencing token are lost. The record of started attempts stays.
    pub fn begin_anew(&mut self) {
        self.state.tasks.clear();
        self.state.incarnation = 1;
        self.state.sequence = 0;
        self.fencing_token = 0;
    }

    /// Expires the worker's lease: removes all tasks and begins the next incarnation.
    pub fn expire_lease(&mut self) {
        self.state.tasks.clear();
        self.state.incarnation += 1;
    }
}
