use hookway_wire::{Cause, CheckIn, CheckInAnswer, Command, DirectCommands, TaskReport, TaskState};

/// A worker that carries out commands as the protocol says, and whose tasks change state when the
/// test says so. It counts what must never happen.
#[derive(Debug, Clone)]
pub struct ScriptedWorker {
    report: CheckIn,
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
        let report = CheckIn {
            machine: machine.into(),
            addr: "127.0.0.1:9000".into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot: false,
            session: 1,
            tick: 0,
            token: 0,
            notice_s: None,
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
        self.report.session
    }

    /// Its next report.
    pub fn report(&mut self) -> CheckIn {
        self.report.tick += 1;
        self.report.token = self.token;
        self.report.clone()
    }

    /// The cloud announces that it takes the machine.
    pub fn notice(&mut self, seconds: f64) {
        self.report.notice_s = Some(seconds);
    }

    /// Takes an answer; `false` if it had to be dropped for its token.
    pub fn take(&mut self, answer: &CheckInAnswer) -> bool {
        if answer.token < self.token {
            return false;
        }
        self.token = answer.token;
        for order in &answer.commands {
            match order {
                Command::Run { task, attempt } => {
                    if self.find(task, *attempt).is_none() {
                        self.started.push((task.clone(), *attempt));
                        self.report.tasks.push(TaskReport {
                            task: task.clone(),
                            attempt: *attempt,
                            status: self.first_state,
                            cause: None,
                            saved: None,
                        });
                    }
                }
                Command::Kill { task, attempt, .. } => {
                    if let Some(i) = self.find(task, *attempt)
                        && self.report.tasks[i].status != TaskState::Ended
                    {
                        self.end_at(i, Cause::Stopped);
                    }
                }
                Command::Reap { task, attempt } => {
                    self.report.tasks.retain(|p| {
                        !(p.task == *task && p.attempt == *attempt && p.status == TaskState::Ended)
                    });
                }
            }
        }
        true
    }

    /// Commands come straight to it. The report after them, or `None` if it refuses them.
    pub fn commands(&mut self, commands: &DirectCommands) -> Option<CheckIn> {
        if commands.session != self.report.session || commands.token < self.token {
            return None;
        }
        self.take(&CheckInAnswer { token: commands.token, commands: commands.commands.clone() });
        Some(self.report())
    }

    fn find(&self, task: &str, attempt: u64) -> Option<usize> {
        self.report.tasks.iter().position(|p| p.task == task && p.attempt == attempt)
    }

    fn end_at(&mut self, i: usize, cause: Cause) {
        self.report.tasks[i].status = TaskState::Ended;
        self.report.tasks[i].cause = Some(cause);
    }

    /// What it would report of its tasks.
    pub fn tasks(&self) -> &[TaskReport] {
        &self.report.tasks
    }

    /// The state of an attempt that is on the machine and has not ended.
    pub fn state_of(&self, task: &str, attempt: u64) -> Option<TaskState> {
        let found = &self.report.tasks[self.find(task, attempt)?];
        (found.status != TaskState::Ended).then_some(found.status)
    }

    /// Whether some attempt of a task runs.
    pub fn runs(&self, task: &str) -> bool {
        self.report.tasks.iter().any(|t| t.task == task && t.status == TaskState::Running)
    }

    /// A task that has not ended is in this state.
    pub fn set_task_state(&mut self, task: &str, state: TaskState) {
        let live = |t: &&mut TaskReport| t.task == task && t.status != TaskState::Ended;
        for task in self.report.tasks.iter_mut().filter(live) {
            task.status = state;
        }
    }

    /// All tasks that have not ended are in this state.
    pub fn set_state(&mut self, state: TaskState) {
        for task in self.report.tasks.iter_mut().filter(|t| t.status != TaskState::Ended) {
            task.status = state;
        }
    }

    /// A task ends; `false` if it is not there.
    pub fn end(&mut self, task: &str, cause: Cause) -> bool {
        let found =
            self.report.tasks.iter().position(|p| p.task == task && p.status != TaskState::Ended);
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
            .filter(|p| p.status != TaskState::Ended)
            .map(|p| p.task.clone())
            .collect()
    }

    /// Its lease runs out: it kills and forgets everything.
    pub fn expire(&mut self) {
        self.report.tasks.clear();
        self.report.session += 1;
    }
}
