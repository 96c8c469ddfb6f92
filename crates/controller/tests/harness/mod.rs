//! A leading controller with a state service in memory, scripted workers and a clock that the test moves.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_controller::config::{OperatorSettings, Settings};
use hookway_controller::ledger::{
    Commit, CommitResult, FleetAction, Ledger, Loaded, Lookup, Moment, Setup,
};
use hookway_controller::records::{JobRecord, LEAD_NOW, final_key, job_key};
use hookway_testkit::{MemoryStore, SETTINGS, ScriptedWorker, machine_types};
use hookway_wire::{Command, Guard, JobId, JobSpec, JobState, ListedMachine, MachineState};

pub fn job(id: &str, kind: &str, tasks: u32) -> JobSpec {
    let text = format!(
        r#"{{"NameId":"{id}","Lane":"train","Owner":"team","Shape":"{kind}","Rank":"normal",
        "Pieces":{tasks},"Vcpus":3.0,"Gpus":0,"RamGb":1,"Bundle":"img","ImageGb":1,
        "Together":false,"Spread":false,"Loaners":true,"GuessS":10,"SnapshotEveryS":0,
        "SnapshotS":0}}"#
    );
    JobSpec::parse(text.as_bytes()).expect("a sound job")
}

/// A controller that leads, its state service and its clock.
pub struct LeaderHarness {
    pub ledger: Ledger,
    pub store: MemoryStore,
    pub now: u64,
}

pub fn test_config() -> Setup {
    // A write rate that never delays a test.
    let settings = SETTINGS.replace("write_rps = 25.0", "write_rps = 1000.0");
    Setup {
        label: "worker-0".into(),
        domain: "a".into(),
        siblings: vec![],
        params: Settings::parse(&settings).expect("sound settings").settings,
        operator: OperatorSettings::default(),
    }
}

impl LeaderHarness {
    pub fn start() -> Self {
        Self::lead(MemoryStore::default(), 1, 0)
    }

    /// A controller wins the leadership for a term and reads every record.
    pub fn lead(store: MemoryStore, term: u64, now: u64) -> Self {
        Self::lead_with(test_config(), store, term, now)
    }

    /// The same, with other settings.
    pub fn lead_with(setup: Setup, mut store: MemoryStore, term: u64, now: u64) -> Self {
        let stamp = store.put(LEAD_NOW, serde_json::json!({ "term": term }));
        let loaded = Loaded {
            jobs: store.list("j/"),
            progress: store.list("p/"),
            minimums: store.list("m/"),
            roster: store.list("r/"),
            images: store.list("i/"),
            classes: store.get("c/lanes"),
            marked: true,
        };
        let guard = Guard { key: LEAD_NOW.into(), stamp };
        let at = Moment { now, wall: 1_000_000 + now };
        let ledger = Ledger::new(setup, term, guard, machine_types(), loaded, at);
        Self { ledger, store, now }
    }

    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        let record = JobRecord { spec, at_ms: 1_000_000 + self.now, marked: true };
        let value = serde_json::to_value(record).expect("a record");
        self.store.put(&job_key(&id), value.clone());
        let at = Moment { now: self.now, wall: 1_000_000 + self.now };
        self.ledger.job_seen(&job_key(&id), value, at, false);
        id
    }

    /// Commits everything that is queued.
    pub fn commit_pending(&mut self) {
        while let Some(commit) = self.ledger.next_commit(self.now) {
            let result = match self.store.commit(&commit.transaction) {
                Ok(revision) => CommitResult::Applied(revision),
                Err(_) => self.read_after_lost_response(&commit),
            };
            self.ledger.committed(commit, result, self.now);
        }
    }

    /// What the leader reads of a commit's keys when it has no response to it.
    pub fn read_after_lost_response(&self, commit: &Commit) -> CommitResult {
        let keys = commit.keys().into_iter();
        CommitResult::Unsure(keys.map(|k| (k.clone(), self.store.get(&k))).collect())
    }

    /// One autoscaling round; the machines to be deleted, without the requests for new ones.
    pub fn requested_deletions(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for action in self.ledger.fleet_round(self.now) {
            if let FleetAction::Delete(deleted) = action {
                names.extend(deleted);
            }
        }
        names
    }

    /// One heartbeat of a worker and its response; the commands in it.
    pub fn heartbeat(&mut self, worker: &mut ScriptedWorker) -> Vec<Command> {
        let report = worker.report();
        let answer = self.ledger.check_in(&report, self.now);
        let commands = answer.as_ref().map(|a| a.commands.clone()).unwrap_or_default();
        if let Some(answer) = answer {
            worker.take(&answer);
        }
        self.commit_pending();
        commands
    }

    /// Advances the clock, then runs a scheduling round.
    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.ledger.round(self.now);
        self.commit_pending();
    }

    /// Four heartbeats of each worker, each followed by a scheduling round.
    pub fn run_rounds(&mut self, workers: &mut [&mut ScriptedWorker]) {
        for _ in 0..4 {
            for worker in workers.iter_mut() {
                self.heartbeat(worker);
            }
            self.advance(500);
        }
    }

    /// The same for a list of workers.
    pub fn run_rounds_all(&mut self, workers: &mut [ScriptedWorker]) {
        self.run_rounds(&mut workers.iter_mut().collect::<Vec<_>>());
    }

    /// Whether the machine registry in the store names the machine.
    pub fn is_registered(&self, machine: &str) -> bool {
        self.store.list("r/").iter().any(|kv| kv.v["hosts"].get(machine).is_some())
    }

    pub fn job_state(&self, id: &JobId) -> JobState {
        match self.ledger.status(id) {
            Lookup::Known(status) => status.status,
            other => panic!("{id}: {other:?}"),
        }
    }

    pub fn stored_final_state(&self, id: &JobId) -> Option<String> {
        let kv = self.store.get(&final_key(id))?;
        kv.v.get("state").and_then(|s| s.as_str()).map(str::to_owned)
    }
}

pub fn small_worker(name: &str, zone: &str) -> ScriptedWorker {
    ScriptedWorker::new(name, "small", zone)
}

/// An entry of the cloud's list.
pub fn listed_machine(name: &str, status: MachineState, age_s: f64) -> ListedMachine {
    ListedMachine {
        id: name.into(),
        addr: None,
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        status,
        age_s,
    }
}

/// A leader and a worker that runs the only task of a job.
pub fn one_running_task() -> (LeaderHarness, ScriptedWorker, JobId) {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let id = harness.submit(job("req-000001", "array", 1));
    harness.run_rounds(&mut [&mut worker]);
    (harness, worker, id)
}
