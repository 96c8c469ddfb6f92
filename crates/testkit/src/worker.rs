use hookway_wire::{
    Command, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};

/// A worker that carries out commands as the protocol says, and whose tasks change state when the
/// test says so. It counts what must never happen.
#[derive(Debug, Clone)]
pub struct ScriptedWorker {
    report: Heartbeat,
    /// Highest token seen.
    pub token: u64,
    /// Starts that were carried out, as task and attempt.
    pub started: Vec<(String, u64)>,
    /// What a task's state is right after its start.
    pub first_state: TaskState,
}

impl ScriptedWorker {
    /// A new worker.
    pub fn new(machine: &str, machine_type: &str, zone: &str) -> Self {
        let report = Heartbeat {
            machine: machine.into(),
            addr: "127.0.0.1:9000".into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            interruption_notice_s: None,
            tasks: vec![],
        };
        Self { report, token: 0, started: vec![], first_state: TaskState::Running }
    }

    /// Its machine.
    pub fn name(&self) -> &str {
        &self.report.machine
    }

    /// Where it says that it listens.
    pub fn set_address(&mut self, address: &str) {
        address.clone_into(&mut self.report.addr);
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.report.zone
    }

    /// Its session.
    pub fn session(&self) -> u64 {
        self.report.incarnation
    }

    /// Its next report.
    pub fn report(&mut self) -> Heartbeat {
        self.report.sequence += 1;
        self.report.fencing_token = self.token;
        self.report.clone()
    }

    /// The cloud announces that it takes the machine.
    pub fn notice(&mut self, seconds: f64) {
        self.report.interruption_notice_s = Some(seconds);
    }

    /// Takes an answer; `false` if it had to be dropped for its token.
    pub fn take(&mut self, answer: &HeartbeatResponse) -> bool {
        if answer.fencing_token < self.token {
            return false;
        }
        self.token = answer.fencing_token;
        for order in &answer.commands {
            match order {
                Command::Run { task, attempt } => {
                    if self.find(task, *attempt).is_none() {
                        self.started.push((task.clone(), *attempt));
                        self.report.tasks.push(TaskStatus {
                            task: task.clone(),
                            attempt: *attempt,
                            state: self.first_state,
                            cause: None,
                            checkpointed: None,
                        });
                    }
                }
                Command::Kill { task, attempt, .. } => {
                    if let Some(i) = self.find(task, *attempt)
                        && self.report.tasks[i].state != TaskState::Ended
                    {
                        self.end_at(i, ExitCause::Stopped);
                    }
                }
                Command::Reap { task, attempt } => {
                    self.report.tasks.retain(|p| {
                        !(p.task == *task && p.attempt == *attempt && p.state == TaskState::Ended)
                    });
                }
            }
        }
        true
    }

    /// Commands come straight to it. The report after them, or `None` if it refuses them.
    pub fn commands(&mut self, commands: &DirectCommands) -> Option<Heartbeat> {
        if commands.incarnation != self.report.incarnation || commands.fencing_token < self.token {
            return None;
        }
        self.take(&HeartbeatResponse {
            fencing_token: commands.fencing_token,
            commands: commands.commands.clone(),
        });
        Some(self.report())
    }

    fn find(&self, task: &str, attempt: u64) -> Option<usize> {
        self.report.tasks.iter().position(|p| p.task == task && p.attempt == attempt)
    }

    fn end_at(&mut self, i: usize, cause: ExitCause) {
        self.report.tasks[i].state = TaskState::Ended;
        self.report.tasks[i].cause = Some(cause);
    }

    /// What it would report of its tasks.
    pub fn tasks(&self) -> &[TaskStatus] {
        &self.report.tasks
    }

    /// The state of an attempt that is on the machine and has not ended.
    pub fn state_of(&self, task: &str, attempt: u64) -> Option<TaskState> {
        let found = &self.report.tasks[self.find(task, attempt)?];
        (found.state != TaskState::Ended).then_some(found.state)
    }

    /// Whether some attempt of a task runs.
    pub fn runs(&self, task: &str) -> bool {
        self.report.tasks.iter().any(|t| t.task == task && t.state == TaskState::Running)
    }

    /// A task that has not ended is in this state.
    pub fn set_task_state(&mut self, task: &str, state: TaskState) {
        let live = |t: &&mut TaskStatus| t.task == task && t.state != TaskState::Ended;
        for task in self.report.tasks.iter_mut().filter(live) {
            task.state = state;
        }
    }

    /// All tasks that have not ended are in this state.
    pub fn set_state(&mut self, state: TaskState) {
        for task in self.report.tasks.iter_mut().filter(|t| t.state != TaskState::Ended) {
            task.state = state;
        }
    }

    /// A task ends; `false` if it is not there.
    pub fn end(&mut self, task: &str, cause: ExitCause) -> bool {
        let found =
            self.report.tasks.iter().position(|p| p.task == task && p.state != TaskState::Ended);
        if let Some(i) = found {
            self.end_at(i, cause);
        }
        found.is_some()
    }

    /// The tasks that are on the machine and have not ended.
    pub fn live(&self) -> Vec<String> {
        self.report
            .tasks
            .iter()
            .filter(|p| p.state != TaskState::Ended)
            .map(|p| p.task.clone())
            .collect()
    }

    /// Its lease runs out: it kills and forgets everything.
    pub fn expire(&mut self) {
        self.report.tasks.clear();
        self.report.incarnation += 1;
    }
}
