use super::*;
use crate::JobView;
use crate::place::tests::{job, machine, world};
use hookway_wire::Priority;

fn full(job: usize, elapsed: f64) -> MachineView {
    let mut h = machine(0);
    h.free = Room::default();
    h.held = (0..4)
        .map(|n| HeldView {
            tag: n,
            job,
            need: Room { cpus: 1.0, gpus: 0.0, ram: 4.0 },
            elapsed,
            leaving: false,
        })
        .collect();
    h
}

#[test]
fn higher_priority_preempts_cheapest_lower_priority_tasks() {
    let gang = JobView { gang: true, priority: Priority::High, ..job(3.0, 1) };
    let mut w = world(vec![gang, job(1.0, 8)], vec![full(1, 30.0), full(1, 3.0)]);
    w.now = 10.0;
    let found = evict(&w);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].machines, [1]);
    assert_eq!(found[0].victims.len(), 3);
    w.jobs[0].priority = Priority::Normal;
    assert_eq!(evict(&w), [], "equal rank is left alone");
}

#[test]
fn no_further_preemption_while_machines_are_draining() {
    let gang = JobView { gang: true, priority: Priority::High, ..job(3.0, 1) };
    let mut w = world(vec![gang, job(1.0, 8)], vec![full(1, 30.0), full(1, 3.0)]);
    w.now = 10.0;
    assert_eq!(evict(&w).len(), 1);
    w.machines[1].kept_for = Some(0);
    assert_eq!(evict(&w), []);
}

#[test]
fn guaranteed_quota_preempts_borrowing_tasks() {
    let mine = JobView { team: 1, ..job(1.0, 1) };
    let mut w = world(vec![mine, job(1.0, 8)], vec![full(1, 3.0)]);
    w.now = 10.0;
    w.teams[0].used = Room { cpus: 4.0, gpus: 0.0, ram: 0.0 };
    w.teams.push(crate::TeamView { guaranteed: (2.0, 0.0), ..Default::default() });
    assert_eq!(evict(&w).len(), 1);
    w.teams[0].guaranteed = (4.0, 0.0);
    assert_eq!(evict(&w), [], "work within its own guarantee stays");
}

#[test]
fn deadline_array_preempts_backfill_after_its_minimum_runtime() {
    let backfill = JobView { saves: true, save_time: 3.0, priority: Priority::Low, ..job(1.0, 8) };
    let urgent = JobView { due: Some(20.0), estimate: 10.0, ..job(1.0, 3) };
    let victims = |w: &World| evict(w).iter().map(|e| e.victims.len()).sum::<usize>();
    let mut w = world(vec![urgent, backfill], vec![full(1, 30.0)]);
    assert_eq!(victims(&w), 2, "3 tasks of 10 s in 20 s: two at a time");
    w.machines[0].held[0].leaving = true;
    assert_eq!(victims(&w), 1, "what is being stopped already counts");
    w.jobs[0].running = 2;
    assert_eq!(victims(&w), 0, "it has what it needs");
    w.jobs[0].running = 0;
    w.machines = vec![full(1, 5.0)];
    assert_eq!(victims(&w), 0, "stopped over and over it would get nowhere");
    w.machines = vec![full(1, 30.0)];
    w.jobs[1].due = Some(500.0);
    assert_eq!(victims(&w), 0, "somebody waits for it");
    w.jobs[1].due = None;
    w.jobs[1].priority = Priority::Normal;
    assert_eq!(victims(&w), 0, "equal rank is left alone");
}
