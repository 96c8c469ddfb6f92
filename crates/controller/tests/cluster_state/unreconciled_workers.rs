//! Workers that have not shown a new leader's fencing token: they may still execute commands of an earlier leader, so
//! the new leader does not know their tasks, and what it proves from their leases must hold whatever it responds.

use crate::harness::{
    LeaderHarness, job, listed_machine, ms, small_worker, test_config, timestamp,
};
use hookway_clients::Delivery;
use hookway_controller::cluster_state::{ControllerConfig, longest_worker_lease};
use hookway_controller::settings::PeerController;
use hookway_controller::shard_lease::ShardLessee;
use hookway_testkit::{MemoryStore, ScriptedWorker};
use hookway_time::{MonotonicTime, duration_from_seconds};
use hookway_wire::{DirectCommands, ExitCause, HeartbeatResponse, JobId, JobSpec, MachineState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Term of the new leader: above the fencing tokens of the first term.
const NEXT_TERM: u64 = 5_000;
/// Time within which every job starts beside machines with free resources (target of the users).
const WAITING_LIMIT: Duration = Duration::from_secs(90);
/// Time between two steps of a test.
const STEP: Duration = Duration::from_millis(500);

/// A worker whose lease expires as the protocol says: this long after it sent the last heartbeat whose response it
/// accepted.
struct LeasedWorker {
    worker: ScriptedWorker,
    lease: Duration,
    lease_started_at: MonotonicTime,
}

impl LeasedWorker {
    fn new(worker: ScriptedWorker, config: &ControllerConfig, now: MonotonicTime) -> Self {
        let lease = duration_from_seconds(config.platform.workers.lease_s);
        Self { worker, lease, lease_started_at: now }
    }

    /// Receives the response to a heartbeat that was sent at `sent_at`.
    fn receive(&mut self, response: Option<&HeartbeatResponse>, sent_at: MonotonicTime) {
        if response.is_some_and(|response| self.worker.execute_response(response)) {
            self.lease_started_at = sent_at;
        }
    }

    /// Discards the tasks if the lease has expired, and begins the next incarnation.
    fn expire_lease(&mut self, now: MonotonicTime) {
        if now > self.lease_started_at + self.lease {
            self.worker.expire_lease();
            self.lease_started_at = now;
        }
    }
}

/// A failover at which a machine can't be reached, and a start command for it is on its way.
struct Failover {
    config: ControllerConfig,
    next: LeaderHarness,
    unreachable: LeasedWorker,
    delayed_start: DirectCommands,
}

impl Failover {
    /// The first leader starts a task of `spec` directly on `m-1`. The command is delayed, and the machine and the
    /// leader are lost; a new leader is elected 5 s later.
    fn with_delayed_start(config: ControllerConfig, spec: JobSpec) -> Self {
        Self::with_changed_store(config, spec, |_| ())
    }

    /// [`Self::with_delayed_start`], with a change of the stored records before the new leader reads them.
    fn with_changed_store(
        config: ControllerConfig,
        spec: JobSpec,
        change_store: impl Fn(&mut MemoryStore),
    ) -> Self {
        let store = MemoryStore::default();
        let mut first = LeaderHarness::with_config(config.clone(), store, 1, MonotonicTime::ZERO);
        let mut worker = small_worker("m-1", "a");
        first.heartbeat(&mut worker);
        first.advance(1_000);
        first.heartbeat(&mut worker);
        let unreachable = LeasedWorker::new(worker, &config, first.now);
        first.submit(spec);
        first.advance(1_000);
        first.commit_pending();
        let mut starts = first.cluster.take_direct_starts(first.now);
        assert_eq!(starts.len(), 1, "the start is dispatched directly: {starts:?}");
        let delayed_start = starts.remove(0).commands;
        let elected_at = first.now + ms(5_000);
        let mut store = first.store.clone();
        change_store(&mut store);
        let next = LeaderHarness::with_config(config.clone(), store, NEXT_TERM, elected_at);
        Self { config, next, unreachable, delayed_start }
    }

    /// The network of the machine is restored for a moment, just before the lease of its worker expires. A heartbeat
    /// that the worker has sent before reaches the new leader, the delayed start reaches the worker, and then the
    /// response does.
    fn restore_network_for_a_moment(&mut self) {
        let lease_ends_at = self.unreachable.lease_started_at + self.unreachable.lease;
        assert!(self.next.now < lease_ends_at, "the worker's lease has not expired");
        let heartbeat = self.unreachable.worker.heartbeat();
        let sent_at = self.next.now;
        let response = self.next.cluster.handle_heartbeat(&heartbeat, sent_at);
        let executed = self.unreachable.worker.execute_direct_commands(&self.delayed_start);
        assert!(executed.is_some(), "the worker has not seen the new leader's token");
        self.unreachable.receive(response.as_ref(), sent_at);
        self.next.commit_pending();
    }

    /// Advances to 1 s before the expiry of the unreachable worker's lease, while the `reachable` workers send
    /// heartbeats.
    fn advance_to_end_of_lease(&mut self, reachable: &mut [ScriptedWorker]) {
        let until = self.unreachable.lease_started_at + (self.unreachable.lease - ms(1_000));
        while self.next.now < until {
            self.step(reachable);
        }
    }

    /// Runs one step: heartbeats of the `reachable` workers, a scheduling round, direct starts on these workers, and
    /// the expiry of the unreachable worker's lease.
    fn step(&mut self, reachable: &mut [ScriptedWorker]) {
        for worker in reachable.iter_mut() {
            self.next.heartbeat(worker);
        }
        self.next.advance(STEP.as_millis() as u64);
        self.unreachable.expire_lease(self.next.now);
    }

    /// [`Self::step`], with direct starts. The machine `m-1` can be reached in this step or not; if not, the leader gets no
    /// outcome of a direct start but its own time limit.
    fn step_with_direct_starts(&mut self, reachable: &mut [ScriptedWorker], is_reachable: bool) {
        self.step(reachable);
        let now = self.next.now;
        if is_reachable {
            let heartbeat = self.unreachable.worker.heartbeat();
            let response = self.next.cluster.handle_heartbeat(&heartbeat, now);
            self.unreachable.receive(response.as_ref(), now);
            self.next.probe(&mut self.unreachable.worker);
        }
        for start in self.next.cluster.take_direct_starts(now) {
            let unreachable = is_reachable.then_some(&mut self.unreachable.worker);
            let worker = reachable
                .iter_mut()
                .chain(unreachable)
                .find(|worker| worker.machine_name() == start.machine);
            let answer = worker.map(|worker| worker.execute_direct_commands(&start.commands));
            let delivery = match answer {
                Some(Some(heartbeat)) => Delivery::Executed(heartbeat),
                Some(None) => Delivery::Refused,
                None => Delivery::Indeterminate,
            };
            let fencing_token = start.commands.fencing_token;
            self.next.cluster.apply_direct_dispatch_outcome(
                &start.machine,
                fencing_token,
                delivery,
                now,
            );
        }
        self.next.commit_pending();
    }

    /// The time by which the leases of all workers that no later leader has answered have expired.
    fn earlier_leases_expire_at(&self, elected_at: MonotonicTime) -> MonotonicTime {
        elected_at + longest_worker_lease(&self.config.platform)
    }
}

/// The configuration of [`test_config`] with these lengths of a worker's lease and of the cancellation limit, in seconds.
fn config_with_limits(lease_s: f64, cancel_s: f64) -> ControllerConfig {
    let mut config = test_config();
    config.platform.workers.lease_s = lease_s;
    config.platform.workers.cancel_s = cancel_s;
    config
}

/// Fails if the only task of `spec` runs on `m-1` and `m-2` at the same time, or never starts on `m-2`.
fn assert_runs_on_one_machine(mut failover: Failover) {
    let elected_at = failover.next.now;
    let mut reachable = [small_worker("m-2", "b")];
    failover.advance_to_end_of_lease(&mut reachable);
    failover.restore_network_for_a_moment();
    let task = "req-000001/0";
    let end = failover.earlier_leases_expire_at(elected_at) + 2 * failover.unreachable.lease;
    while failover.next.now < end {
        failover.step(&mut reachable);
        assert!(
            !(reachable[0].is_running(task) && failover.unreachable.worker.is_running(task)),
            "{task} runs on both machines {:?} after the election",
            failover.next.now - elected_at
        );
    }
    assert!(reachable[0].is_running(task), "the task starts once the lease has expired");
}

/// Guards against a task on two machines (review case 1): the new leader's response to a heartbeat with the old token
/// extended the lease of a worker that had just executed a delayed start, and the leader counted all leases from its
/// election.
#[test]
fn delayed_start_before_response_of_new_leader_runs_on_one_machine() {
    for kind in ["array", "group", "daemon"] {
        println!("{kind}");
        let spec = job("req-000001", kind, 1);
        assert_runs_on_one_machine(Failover::with_delayed_start(test_config(), spec));
    }
}

/// Guards against the same failure where the new leader can't read which machines are registered, and knows the machine
/// from its heartbeat or from the cloud's list of machines.
#[test]
fn delayed_start_on_machine_of_unreadable_record_runs_on_one_machine() {
    let make_registry_unreadable = |store: &mut MemoryStore| {
        for kv in store.list("r/") {
            store.put(&kv.key, "not a registry record".into());
        }
    };
    for is_listed in [false, true] {
        println!("listed: {is_listed}");
        let spec = job("req-000001", "array", 1);
        let mut failover =
            Failover::with_changed_store(test_config(), spec, make_registry_unreadable);
        if is_listed {
            let listed = listed_machine("m-1", MachineState::Running, 60.0);
            let now = failover.next.now;
            failover.next.cluster.machines_listed(&[listed], now, now);
        }
        assert_runs_on_one_machine(failover);
    }
}

/// Guards against a team above its limit by the same failure: the task on the unreachable machine was not counted.
#[test]
fn delayed_start_before_response_of_new_leader_counts_against_quota() {
    let limited = |id: &str| JobSpec { team: "tight".into(), ..job(id, "array", 1) };
    let mut failover = Failover::with_delayed_start(test_config(), limited("req-000001"));
    failover.next.submit(limited("req-000002"));
    let end = failover.next.now + 3 * failover.unreachable.lease;
    let mut reachable = [small_worker("m-2", "b"), small_worker("m-3", "b")];
    failover.advance_to_end_of_lease(&mut reachable);
    failover.restore_network_for_a_moment();
    while failover.next.now < end {
        failover.step(&mut reachable);
        let workers = [&failover.unreachable.worker, &reachable[0], &reachable[1]];
        let running: Vec<String> = workers.iter().flat_map(|w| w.unfinished_tasks()).collect();
        assert!(running.len() <= 1, "the limit of the team allows one task: {running:?}");
    }
}

/// Guards against shard leases by the same failure: a lessee could extend the lease of a worker with a task that the
/// leader does not know, beyond the limit of a cancellation.
#[test]
fn no_shard_lease_is_granted_while_worker_may_have_executed_delayed_start() {
    let spec = job("req-000001", "array", 1);
    let mut failover = Failover::with_delayed_start(test_config(), spec);
    let elected_at = failover.next.now;
    let mut reachable = [];
    failover.advance_to_end_of_lease(&mut reachable);
    failover.restore_network_for_a_moment();
    while failover.unreachable.worker.is_running("req-000001/0") {
        let length = failover.next.cluster.shard_lease_length(failover.next.now);
        assert!(length.is_zero(), "granted for {length:?}");
        failover.step(&mut reachable);
    }
    failover.next.now = failover.earlier_leases_expire_at(elected_at);
    failover.next.advance(1_000);
    let length = failover.next.cluster.shard_lease_length(failover.next.now);
    assert!(!length.is_zero(), "shard leases are granted again");
}

/// Guards against a task that outlives its cancellation: the response of a new leader, which could not name the task of
/// a delayed start and so could not stop it, extended the worker's lease up to two leases after the cancellation.
#[test]
fn delayed_start_of_cancelled_job_ends_within_limit() {
    // As on the thumbnail farm: two leases are longer than the limit.
    let (lease_s, cancel_s) = (42.0, 72.0);
    let config = config_with_limits(lease_s, cancel_s);
    let mut failover = Failover::with_delayed_start(config, job("req-000001", "array", 1));
    let id = JobId::parse("req-000001").expect("an id");
    failover.next.cluster.update_clocks(timestamp(failover.next.now));
    failover.next.cluster.cancel(&id);
    failover.next.commit_pending();
    assert_eq!(failover.next.stored_final_state(&id).as_deref(), Some("withdrawn"));
    let limit = failover.next.now + duration_from_seconds(cancel_s);
    let mut reachable = [];
    failover.advance_to_end_of_lease(&mut reachable);
    failover.restore_network_for_a_moment();
    while failover.next.now < limit {
        failover.step(&mut reachable);
    }
    assert!(!failover.unreachable.worker.is_running("req-000001/0"), "the limit is over");
}

/// Guards against a reconciliation that begins again, and then holds up the work of all machines: the leases that end
/// it had expired, but later extensions by shard lessees, or by this controller as a lessee, were counted as extensions
/// of these leases.
#[test]
fn reconciliation_that_has_ended_does_not_begin_again() {
    let mut config = test_config();
    let peer = PeerController {
        name: "worker-1".into(),
        zone: "b".into(),
        address: "127.0.0.1:9081".into(),
    };
    config.peers = vec![peer];
    let mut failover = Failover::with_delayed_start(config, job("req-000001", "array", 1));
    let elected_at = failover.next.now;
    let mut lessee = ShardLessee::new("worker-1", 1, ms(1_000));
    let mut reachable = [small_worker("m-2", "b")];
    failover.advance_to_end_of_lease(&mut reachable);
    failover.restore_network_for_a_moment();
    let end = failover.earlier_leases_expire_at(elected_at) + failover.unreachable.lease;
    let mut has_ended = false;
    while failover.next.now < end {
        failover.step(&mut reachable);
        let now = failover.next.now;
        let lease = failover.next.cluster.renew_shard_lease(&lessee.renewal(now), now);
        lessee.apply_renewal_response(lease.expect("a known controller"), now, now);
        if has_ended {
            failover.next.cluster.record_worker_lease_extension("m-2", now);
        }
        let is_reconciled = failover.next.cluster.is_reconciled(now);
        let elapsed = now - elected_at;
        assert!(is_reconciled || !has_ended, "not reconciled any more after {elapsed:?}");
        has_ended = is_reconciled;
    }
    assert!(has_ended, "the leases of earlier terms have expired");
}

/// Guards against work that waits for one machine which comes and goes: its heartbeats with the old token arrive, and
/// no response and no probe reaches it, in whatever incarnation.
#[test]
fn machine_that_comes_and_goes_does_not_hold_up_others_after_failover() {
    let spec = job("req-000001", "array", 2);
    let mut failover = Failover::with_delayed_start(test_config(), spec);
    let elected_at = failover.next.now;
    failover.next.submit(job("req-000002", "array", 1));
    let mut reachable =
        [small_worker("m-2", "b"), small_worker("m-3", "b"), small_worker("m-4", "b")];
    let older_start_by = failover.earlier_leases_expire_at(elected_at) + 2 * STEP;
    let new_start_by = elected_at + 3 * STEP;
    while failover.next.now < elected_at + ms(90_000) {
        let heartbeat = failover.unreachable.worker.heartbeat();
        failover.next.cluster.handle_heartbeat(&heartbeat, failover.next.now);
        failover.step(&mut reachable);
        let now = failover.next.now;
        let is_running = |task: &str| reachable.iter().any(|worker| worker.is_running(task));
        let new_task = "req-000002/0";
        assert!(now < new_start_by || is_running(new_task), "{new_task} waits at {now:?}");
        for older_task in ["req-000001/0", "req-000001/1"] {
            assert!(
                now < older_start_by || is_running(older_task),
                "{older_task} waits at {now:?}"
            );
        }
    }
}

/// Guards against a failover that became slower: a worker that answers the probe is reconciled with its first
/// heartbeat, and its lease is extended with the next one.
#[test]
fn failover_without_faults_reconciles_each_worker_with_its_first_heartbeat() {
    let mut first = LeaderHarness::start();
    let mut workers = [small_worker("m-1", "a"), small_worker("m-2", "b")];
    first.submit(job("req-000001", "array", 3));
    first.run_four_rounds_of_all(&mut workers);
    let running: Vec<String> = workers.iter().flat_map(|w| w.unfinished_tasks()).collect();
    assert_eq!(running.len(), 2, "the third task is queued");
    workers[0].end_task(&running[0], ExitCause::Done);
    let elected_at = first.now + ms(6_000);
    let mut next = LeaderHarness::with_term(first.store.clone(), NEXT_TERM, elected_at);
    for worker in &mut workers {
        next.heartbeat(worker);
    }
    assert!(next.cluster.is_reconciled(elected_at), "reconciled without any delay");
    next.advance(500);
    for worker in &mut workers {
        let heartbeat = worker.heartbeat();
        let response = next.cluster.handle_heartbeat(&heartbeat, next.now).expect("a response");
        assert!(worker.execute_response(&response), "the lease is extended");
    }
    next.commit_pending();
    for worker in &mut workers {
        next.heartbeat(worker);
    }
    assert_eq!(workers[0].unfinished_tasks().len(), 1, "the queued task has started");
}

/// Guards against jobs that wait for a machine which comes and goes for minutes after a failover: it is reachable for
/// one heartbeat in every `period_steps` steps, so that it is reconciled, gets new tasks, and is lost again.
#[test]
fn jobs_start_in_time_while_machine_comes_and_goes_for_minutes() {
    for period_steps in [3, 8, 17, 25, 40] {
        println!("reachable in every {period_steps}th step");
        let spec = job("req-000001", "array", 2);
        let mut failover = Failover::with_delayed_start(test_config(), spec);
        let elected_at = failover.next.now;
        let mut reachable = [small_worker("m-2", "b"), small_worker("m-3", "b")];
        let mut started_at: BTreeMap<String, MonotonicTime> = BTreeMap::new();
        let mut submitted_at = BTreeMap::from([
            ("req-000001/0".to_owned(), elected_at),
            ("req-000001/1".to_owned(), elected_at),
        ]);
        for step in 0..600 {
            if step % 20 == 0 {
                let id = format!("req-{:06}", 100 + step);
                failover.next.submit(job(&id, "array", 1));
                submitted_at.insert(format!("{id}/0"), failover.next.now);
            }
            let is_reachable = step % period_steps == 0;
            failover.step_with_direct_starts(&mut reachable, is_reachable);
            let now = failover.next.now;
            let workers = reachable.iter_mut().chain([&mut failover.unreachable.worker]);
            for worker in workers {
                for task in worker.unfinished_tasks() {
                    let start = *started_at.entry(task.clone()).or_insert(now);
                    if now >= start + ms(5_000) {
                        worker.end_task(&task, ExitCause::Done);
                    }
                }
            }
            for (task, submitted) in &submitted_at {
                let is_late = now >= *submitted + WAITING_LIMIT;
                assert!(!is_late || started_at.contains_key(task), "{task} waits at {now:?}");
            }
        }
    }
}
