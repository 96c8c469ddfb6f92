//! A controller that leads, against a state service in memory and scripted workers, with a clock that the
//! test moves.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_controller::cluster_state::{
    ClusterState, CommitResult, ControllerConfig, JobLookup, LoadedState, Timestamp,
};
use hookway_controller::records::{JobRecord, LEADER_KEY, final_state_key, job_key};
use hookway_controller::settings::{OperatorSettings, Settings};
use hookway_testkit::{MemoryStore, SETTINGS, ScriptedWorker, machine_types};
use hookway_wire::{Command, JobId, JobSpec, JobState, ListedMachine, MachineState, Precondition};

pub fn job(id: &str, kind: &str, tasks: u32) -> JobSpec {
    let text = format!(
        r#"{{"NameId":"{id}","Lane":"train","Owner":"team","Shape":"{kind}","Rank":"normal",
        "Pieces":{tasks},"Vcpus":3.0,"Gpus":0,"RamGb":1,"Bundle":"img","ImageGb":1,
        "Together":false,"Spread":false,"Loaners":true,"GuessS":10,"SnapshotEveryS":0,
        "SnapshotS":0}}"#
    );
    JobSpec::parse(text.as_bytes()).expect("a sound job")
}

/// A controller that leads, its store, its clock.
pub struct Play {
    pub cluster: ClusterState,
    pub store: MemoryStore,
    pub now: u64,
}

pub fn config() -> ControllerConfig {
    // So many writes a second that the budget never holds a test up.
    let settings = SETTINGS.replace("write_rps = 25.0", "write_rps = 1000.0");
    ControllerConfig {
        controller_name: "worker-0".into(),
        zone: "a".into(),
        peers: vec![],
        platform: Settings::parse(&settings).expect("sound settings").platform,
        operator: OperatorSettings::default(),
    }
}

impl Play {
    pub fn start() -> Self {
        Self::lead(MemoryStore::default(), 1, 0)
    }

    /// A node wins the leadership for a term and reads everything.
    pub fn lead(store: MemoryStore, term: u64, now: u64) -> Self {
        Self::lead_with(config(), store, term, now)
    }

    /// The same, with other settings.
    pub fn lead_with(
        config: ControllerConfig,
        mut store: MemoryStore,
        term: u64,
        now: u64,
    ) -> Self {
        let stamp = store.put(LEADER_KEY, serde_json::json!({ "term": term }));
        let loaded = LoadedState {
            jobs: store.list("j/"),
            progress: store.list("p/"),
            scheduling: store.list("m/"),
            registry: store.list("r/"),
            images: store.list("i/"),
            classes: store.get("c/lanes"),
            has_start_watermarks: true,
        };
        let guard = Precondition { key: LEADER_KEY.into(), mod_revision: stamp };
        let at = Timestamp { monotonic: now, wall: 1_000_000 + now };
        let cluster = ClusterState::new(config, term, guard, machine_types(), loaded, at);
        Self { cluster, store, now }
    }

    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        let record =
            JobRecord { spec, accepted_at_ms: 1_000_000 + self.now, has_start_watermark: true };
        let value = serde_json::to_value(record).expect("a record");
        self.store.put(&job_key(&id), value.clone());
        let at = Timestamp { monotonic: self.now, wall: 1_000_000 + self.now };
        self.cluster.add_job(&job_key(&id), value, at, false);
        id
    }

    /// Carries out everything that the ledger wants written.
    pub fn flush(&mut self) {
        while let Some(commit) = self.cluster.next_commit(self.now) {
            let result = match self.store.commit(&commit.transaction) {
                Ok(revision) => CommitResult::Applied(revision),
                Err(_) => {
                    let keys = commit.keys();
                    CommitResult::Indeterminate(
                        keys.into_iter().map(|k| (k.clone(), self.store.get(&k))).collect(),
                    )
                }
            };
            self.cluster.committed(commit, result, self.now);
        }
    }

    /// One report of a worker, answered; the commands.
    pub fn beat(&mut self, worker: &mut ScriptedWorker) -> Vec<Command> {
        let report = worker.report();
        let answer = self.cluster.handle_heartbeat(&report, self.now);
        let commands = answer.as_ref().map(|a| a.commands.clone()).unwrap_or_default();
        if let Some(answer) = answer {
            worker.take(&answer);
        }
        self.flush();
        commands
    }

    /// Time passes, with a scheduling round.
    pub fn wait(&mut self, ms: u64) {
        self.now += ms;
        self.cluster.scheduling_round(self.now);
        self.flush();
    }

    /// Reports and rounds until things settle.
    pub fn settle(&mut self, workers: &mut [&mut ScriptedWorker]) {
        for _ in 0..4 {
            for worker in workers.iter_mut() {
                self.beat(worker);
            }
            self.wait(500);
        }
    }

    /// Whether the roster in the store names the machine.
    pub fn rostered(&self, machine: &str) -> bool {
        self.store.list("r/").iter().any(|kv| kv.value["hosts"].get(machine).is_some())
    }

    pub fn state(&self, id: &JobId) -> JobState {
        match self.cluster.status(id) {
            JobLookup::Known(status) => status.state,
            other => panic!("{id}: {other:?}"),
        }
    }

    pub fn stored_final(&self, id: &JobId) -> Option<String> {
        let kv = self.store.get(&final_state_key(id))?;
        kv.value.get("state").and_then(|s| s.as_str()).map(str::to_owned)
    }
}

pub fn small(name: &str, zone: &str) -> ScriptedWorker {
    ScriptedWorker::new(name, "small", zone)
}

/// An entry of the cloud's list.
pub fn listed(name: &str, status: MachineState, age_s: f64) -> ListedMachine {
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
