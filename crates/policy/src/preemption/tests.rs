use super::*;
use crate::test_support::{cluster, job, machine};
use crate::{JobView, MachineView, PlacedTaskView, Quota, Resources};
use hookway_wire::Priority;

fn full(job: usize, elapsed: f64) -> MachineView {
    let mut h = machine(0);
    h.free = Resources::default();
    h.placed_tasks = (0..4)
        .map(|n| PlacedTaskView {
            id: n,
            job,
            request: Resources { cpus: 1.0, gpus: 0.0, memory_gb: 4.0 },
            elapsed,
            terminating: false,
        })
        .collect();
    h
}

#[test]
fn higher_priority_preempts_cheapest_lower_priority_tasks() {
    let gang = JobView { gang: true, priority: Priority::High, ..job(3.0, 1) };
    let mut w = cluster(vec![gang, job(1.0, 8)], vec![full(1, 30.0), full(1, 3.0)]);
    w.now = 10.0;
    let found = preempt(&w);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].machines, [1]);
    assert_eq!(found[0].victims.len(), 3);
    w.jobs[0].priority = Priority::Normal;
    assert_eq!(preempt(&w), [], "equal rank is left alone");
}

#[test]
fn no_further_preemption_while_machines_are_draining() {
    let gang = JobView { gang: true, priority: Priority::High, ..job(3.0, 1) };
    let mut w = cluster(vec![gang, job(1.0, 8)], vec![full(1, 30.0), full(1, 3.0)]);
    w.now = 10.0;
    assert_eq!(preempt(&w).len(), 1);
    w.machines[1].reserved_for = Some(0);
    assert_eq!(preempt(&w), []);
}

#[test]
fn guaranteed_quota_preempts_borrowing_tasks() {
    let mine = JobView { team: 1, ..job(1.0, 1) };
    let mut w = cluster(vec![mine, job(1.0, 8)], vec![full(1, 3.0)]);
    w.now = 10.0;
    w.teams[0].used = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 0.0 };
    w.teams
        .push(crate::TeamView { guarantee: Quota { cpus: 2.0, gpus: 0.0 }, ..Default::default() });
    assert_eq!(preempt(&w).len(), 1);
    w.teams[0].guarantee = Quota { cpus: 4.0, gpus: 0.0 };
    assert_eq!(preempt(&w), [], "work within its own guarantee stays");
}

#[test]
fn deadline_array_preempts_backfill_after_its_minimum_runtime() {
    let backfill =
        JobView { checkpoints: true, checkpoint_time: 3.0, priority: Priority::Low, ..job(1.0, 8) };
    let urgent = JobView { deadline: Some(20.0), estimated_task_time: 10.0, ..job(1.0, 3) };
    let victims = |w: &ClusterSnapshot| preempt(w).iter().map(|e| e.victims.len()).sum::<usize>();
    let mut w = cluster(vec![urgent, backfill], vec![full(1, 30.0)]);
    assert_eq!(victims(&w), 2, "3 tasks of 10 s in 20 s: two at a time");
    w.machines[0].placed_tasks[0].terminating = true;
    assert_eq!(victims(&w), 1, "what is being stopped already counts");
    w.jobs[0].placed = 2;
    assert_eq!(victims(&w), 0, "it has what it needs");
    w.jobs[0].placed = 0;
    w.machines = vec![full(1, 5.0)];
    assert_eq!(victims(&w), 0, "stopped over and over it would get nowhere");
    w.machines = vec![full(1, 30.0)];
    w.jobs[1].deadline = Some(500.0);
    assert_eq!(victims(&w), 0, "somebody waits for it");
    w.jobs[1].deadline = None;
    w.jobs[1].priority = Priority::Normal;
    assert_eq!(victims(&w), 0, "equal rank is left alone");
}
