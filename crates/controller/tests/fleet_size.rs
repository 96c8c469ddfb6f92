//! A fleet of 4,500 machines, each with a task, before and after a failover: it must not exceed any fixed limit
//! of the software. Limits and placements are asserted; time and memory are only printed, and shown with
//! `--nocapture` (use `--release` for meaningful times).
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod harness;

use harness::{LeaderHarness, job, ms, test_config};
use hookway_controller::cluster_state::ControllerConfig;
use hookway_testkit::ScriptedWorker;
use hookway_wire::{ExitCause, Operation, Transaction};
use std::collections::BTreeSet;
use std::time::Instant;

/// Number of machines in the fleet.
const MACHINES: usize = 4_500;
/// Number of tasks in each array; a machine has capacity for one of them.
const ARRAY_TASKS: u32 = 500;
/// Number of arrays; together their tasks exceed the capacity of the fleet by a ninth.
const ARRAYS: u32 = 10;

/// Returns the store's maximum number of operations in a transaction, and of KiB in a value.
fn store_limits(config: &ControllerConfig) -> (usize, f64) {
    (config.platform.store.txn_ops, config.platform.store.value_kb)
}

/// Returns the resident memory of this process in KiB, or 0 where the system does not report it.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").trim().parse().unwrap_or(0)
}

/// A leader, the workers of its fleet, and the number of transactions committed so far.
struct Fleet {
    harness: LeaderHarness,
    workers: Vec<ScriptedWorker>,
    transactions: usize,
}

impl Fleet {
    fn new() -> Self {
        let workers = (0..MACHINES)
            .map(|n| ScriptedWorker::new(&format!("m-{n:06}"), "small", ["a", "b"][n % 2]))
            .collect();
        Self { harness: LeaderHarness::start(), workers, transactions: 0 }
    }

    /// Checks that a transaction is within the limits of the store, and counts it.
    fn check_transaction(&mut self, transaction: &Transaction) {
        let (max_operations, max_value_kb) = store_limits(&test_config());
        assert!(
            transaction.operations.len() <= max_operations,
            "{} operations, limit {max_operations}",
            transaction.operations.len()
        );
        for operation in &transaction.operations {
            if let Operation::Put { key, value, .. } = operation {
                let kb = value.to_string().len() as f64 / 1024.0;
                assert!(kb <= max_value_kb, "{key}: {kb} KiB, limit {max_value_kb}");
            }
        }
        let text = serde_json::to_string(transaction).expect("a transaction");
        assert!(text.len() <= hookway_constants::MAX_REQUEST_BODY_BYTES, "{} bytes", text.len());
        self.transactions += 1;
    }

    /// Commits everything that is queued.
    fn flush(&mut self) {
        while let Some(commit) = self.harness.cluster.next_commit(self.harness.now) {
            self.check_transaction(&commit.transaction);
            let revision = self.harness.store.commit(&commit.transaction).expect("one writer");
            let result = hookway_controller::cluster_state::CommitResult::Applied(revision);
            self.harness.cluster.apply_commit_outcome(commit, result, self.harness.now);
        }
    }

    /// Runs one heartbeat of each worker and then a scheduling round, and commits everything that is queued.
    fn heartbeat_all(&mut self) {
        for n in 0..self.workers.len() {
            let heartbeat = self.workers[n].heartbeat();
            let response = self.harness.cluster.handle_heartbeat(&heartbeat, self.harness.now);
            if let Some(response) = response {
                self.workers[n].execute_response(&response);
            }
            if n % 100 == 0 {
                self.harness.now += ms(40);
                self.flush();
            }
        }
        self.flush();
        self.harness.now += ms(500);
        self.harness.cluster.scheduling_round(self.harness.now);
        self.flush();
    }

    /// Delivers all state probes that are due, and the workers' answers.
    fn answer_probes(&mut self) {
        loop {
            let probes = self.harness.cluster.take_state_probes(self.harness.now);
            if probes.is_empty() {
                return;
            }
            for probe in probes {
                let worker = self.workers.iter_mut().find(|w| w.machine_name() == probe.machine);
                let worker = worker.expect("the worker of a registered machine");
                self.harness.answer_probe(worker);
            }
        }
    }

    /// Returns the number of unfinished tasks on all workers.
    fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.unfinished_tasks().len()).sum()
    }

    /// Checks that no task runs on two machines.
    fn check_no_task_runs_twice(&self) {
        let mut running = BTreeSet::new();
        for task in self.workers.iter().flat_map(ScriptedWorker::unfinished_tasks) {
            assert!(running.insert(task.clone()), "{task} runs on two machines");
        }
    }
}

#[test]
fn fleet_of_4500_machines_is_filled_and_failed_over() {
    let before_kb = resident_kb();
    let mut fleet = Fleet::new();
    for n in 0..ARRAYS {
        fleet.harness.submit(job(&format!("req-{n:06}"), "array", ARRAY_TASKS));
    }
    let started_at = Instant::now();
    for _ in 0..4 {
        fleet.heartbeat_all();
    }
    println!("filled in {:?}, {} transactions", started_at.elapsed(), fleet.transactions);
    assert_eq!(fleet.running(), MACHINES, "every machine has a task");
    fleet.check_no_task_runs_twice();
    let started_at = Instant::now();
    fleet.heartbeat_all();
    println!("one heartbeat: {:?}", started_at.elapsed() / MACHINES as u32);
    println!("memory: {} KiB", resident_kb().saturating_sub(before_kb));

    // Tasks end during a failover; the new leader reads all machines from the store.
    for n in (0..MACHINES).step_by(10) {
        let task = fleet.workers[n].unfinished_tasks().remove(0);
        fleet.workers[n].end_task(&task, ExitCause::Done);
    }
    let now = fleet.harness.now + ms(6_000);
    let store = std::mem::take(&mut fleet.harness.store);
    let started_at = Instant::now();
    fleet.harness = LeaderHarness::with_term(store, 1 + hookway_constants::TOKENS_PER_TERM, now);
    println!("loaded in {:?}", started_at.elapsed());
    assert_eq!(fleet.harness.cluster.machine_count(), MACHINES);
    assert!(!fleet.harness.cluster.is_reconciled(now), "no machine has sent a heartbeat yet");
    let started_at = Instant::now();
    fleet.heartbeat_all();
    assert!(
        !fleet.harness.cluster.is_reconciled(fleet.harness.now),
        "heartbeats with the old fencing token reconcile no machine"
    );
    fleet.answer_probes();
    fleet.heartbeat_all();
    println!("every machine reconciled in {:?}", started_at.elapsed());
    assert!(fleet.harness.cluster.is_reconciled(fleet.harness.now), "every machine is reconciled");
    for _ in 0..3 {
        fleet.heartbeat_all();
    }
    fleet.check_no_task_runs_twice();
    assert_eq!(fleet.running(), MACHINES, "queued tasks start on the machines whose task ended");
    let starts: usize = fleet.workers.iter().map(|worker| worker.started_attempts.len()).sum();
    assert_eq!(starts, MACHINES + MACHINES / 10, "each task was started once");
}
