use super::*;
use crate::test_support::{cluster, job, machine};
use hookway_wire::Priority;

fn daemon(replicas: u32) -> JobView {
    JobView { is_daemon: true, priority: Priority::Production, ..job(1.0, replicas) }
}

/// Returns a daemon with all replicas placed, `per_zone[i]` of them in zone `i`.
fn placed_daemon(per_zone: [u32; 3]) -> JobView {
    let replicas = per_zone.iter().sum();
    JobView {
        placed: replicas,
        startable: 0,
        placed_per_zone: per_zone.to_vec(),
        ..daemon(replicas)
    }
}

/// Returns a daemon with a single replica, which waits for resources and must run in zone 0.
fn waiting_daemon() -> JobView {
    JobView { zone: Some(0), ..daemon(1) }
}

/// Returns a machine with a one-CPU task for each entry of `jobs`.
fn machine_with(zone: usize, jobs: &[usize]) -> MachineView {
    let mut machine = machine(zone);
    let request = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    for (id, job) in jobs.iter().enumerate() {
        machine.free.subtract(&request);
        let id = id as u64;
        machine.placed_tasks.push(PlacedTaskView {
            id,
            job: *job,
            request,
            running_time: 30.0,
            terminating: false,
        });
    }
    machine
}

fn plan(jobs: Vec<JobView>, machines: Vec<MachineView>) -> Vec<Relocation> {
    let mut snapshot = cluster(jobs, machines);
    snapshot.now = 10.0;
    relocate(&snapshot, &[], RelocationLimits { max_moves: 8, ..RelocationLimits::default() })
}

#[test]
fn replica_moves_to_machine_with_free_resources() {
    let jobs = vec![waiting_daemon(), placed_daemon([4, 0, 0])];
    let machines = vec![machine_with(0, &[1, 1, 1, 1]), machine(1)];
    let relocations = plan(jobs, machines);
    let replica = PlacedTaskRef { machine: 0, task: 0 };
    let replica_move = ReplicaMove { job: 1, replica, target: 1, victims: vec![] };
    let expected =
        Relocation { job: 0, task_machines: vec![0], victims: vec![], moves: vec![replica_move] };
    assert_eq!(relocations, [expected]);
}

#[test]
fn lower_priority_is_preempted_rather_than_replicas_moved() {
    let jobs = vec![waiting_daemon(), placed_daemon([3, 0, 0]), job(1.0, 1)];
    let machines = vec![machine_with(0, &[1, 1, 1, 2]), machine(1)];
    assert_eq!(plan(jobs, machines), []);
}

#[test]
fn target_is_cleared_of_lower_priority_only_without_free_resources_elsewhere() {
    let jobs = vec![waiting_daemon(), placed_daemon([4, 0, 0]), job(1.0, 8)];
    let full = machine_with(1, &[2, 2, 2, 2]);
    let relocations = plan(jobs.clone(), vec![machine_with(0, &[1, 1, 1, 1]), full.clone()]);
    assert_eq!(relocations[0].moves[0].victims.len(), 1);
    let relocations = plan(jobs, vec![machine_with(0, &[1, 1, 1, 1]), full, machine(2)]);
    assert_eq!((relocations[0].moves[0].target, relocations[0].moves[0].victims.len()), (2, 0));
}

#[test]
fn unusable_machine_is_not_a_target() {
    let unusable = |change: fn(&mut MachineView)| {
        let mut target = machine(1);
        change(&mut target);
        let jobs = vec![waiting_daemon(), placed_daemon([4, 0, 0])];
        plan(jobs, vec![machine_with(0, &[1, 1, 1, 1]), target])
    };
    assert_eq!(unusable(|target| target.schedulable = false), [], "silent, draining or in backoff");
    assert_eq!(unusable(|target| target.booting = true), []);
    assert_eq!(unusable(|target| target.reserved_for = Some(0)), [], "reserved for another job");
    assert_eq!(unusable(|target| target.excluded_jobs = vec![1]), [], "the daemon failed there");
    assert_eq!(unusable(|_| ()).len(), 1);
}

#[test]
fn moving_replica_respects_constraints_of_its_daemon() {
    let with = |other: JobView| {
        plan(vec![waiting_daemon(), other], vec![machine_with(0, &[1, 1, 1, 1]), machine(1)])
    };
    let whole = placed_daemon([4, 0, 0]);
    assert_eq!(with(JobView { zone: Some(0), ..whole.clone() }), [], "its only zone");
    assert_eq!(
        with(JobView { needs_one_zone: true, ..whole.clone() }),
        [],
        "all replicas together"
    );
    assert_eq!(with(JobView { machine_types: vec![false], ..whole.clone() }), [], "machine types");
    assert_eq!(with(JobView { placed: 3, startable: 1, ..whole.clone() }), [], "one is missing");
    let spread = JobView { max_tasks_per_zone: 2, placed_per_zone: vec![4, 2, 0], ..whole.clone() };
    assert_eq!(with(spread), [], "the other zone has its maximum already");
    assert_eq!(with(whole).len(), 1);
}

#[test]
fn replica_of_higher_priority_does_not_move() {
    let waiting = JobView { priority: Priority::High, ..waiting_daemon() };
    let machines = || vec![machine_with(0, &[1, 1, 1, 1]), machine(1)];
    assert_eq!(plan(vec![waiting.clone(), placed_daemon([4, 0, 0])], machines()), []);
    let high = JobView { priority: Priority::High, ..placed_daemon([4, 0, 0]) };
    assert_eq!(plan(vec![waiting, high], machines()).len(), 1, "equal priority moves");
}

#[test]
fn gang_relocation_frees_resources_for_all_tasks_or_none() {
    let gang = JobView { is_gang: true, is_daemon: false, zone: Some(0), ..daemon(3) };
    let jobs = |gang: &JobView| vec![gang.clone(), placed_daemon([4, 0, 0])];
    let full = || machine_with(0, &[1, 1, 1, 1]);
    let relocations = plan(jobs(&gang), vec![full(), machine(1)]);
    assert_eq!(relocations[0].task_machines, [0, 0, 0]);
    assert_eq!(relocations[0].moves.len(), 3);
    let small_target = machine_with(1, &[1, 1]);
    let whole = placed_daemon([4, 2, 0]);
    assert_eq!(
        plan(vec![gang, whole], vec![full(), small_target]),
        [],
        "the target can take only two of three replicas"
    );
}

#[test]
fn no_relocation_for_busy_or_recent_jobs_or_beyond_move_limit() {
    let jobs = vec![waiting_daemon(), placed_daemon([4, 0, 0])];
    let mut snapshot = cluster(jobs, vec![machine_with(0, &[1, 1, 1, 1]), machine(1)]);
    snapshot.now = 10.0;
    for busy in [0, 1] {
        let limits = RelocationLimits { busy_jobs: [busy].into(), max_moves: 8 };
        assert_eq!(relocate(&snapshot, &[], limits), []);
    }
    assert_eq!(relocate(&snapshot, &[], RelocationLimits::default()), [], "no move is allowed");
    let preemption = Preemption { job: 0, machines: vec![], victims: vec![] };
    let limits = RelocationLimits { max_moves: 8, ..RelocationLimits::default() };
    assert_eq!(
        relocate(&snapshot, &[preemption], limits.clone()),
        [],
        "a preemption for the job is in progress"
    );
    snapshot.now = 1.0;
    assert_eq!(relocate(&snapshot, &[], limits), [], "before RELOCATION_WAIT nothing moves");
}

#[test]
fn no_relocation_for_job_beyond_limit_of_its_team() {
    let jobs = vec![waiting_daemon(), JobView { team: 1, ..placed_daemon([4, 0, 0]) }];
    let mut snapshot = cluster(jobs, vec![machine_with(0, &[1, 1, 1, 1]), machine(1)]);
    snapshot.now = 10.0;
    snapshot.teams.push(crate::TeamView::default());
    snapshot.teams[0].limit.cpus = 0.5;
    let limits = RelocationLimits { max_moves: 8, ..RelocationLimits::default() };
    assert_eq!(relocate(&snapshot, &[], limits), []);
}
