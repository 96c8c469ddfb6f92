//! Builders of jobs, machines and scheduling snapshots for the tests of this crate.

use crate::*;
use hookway_wire::{MachineType, Priority};

/// Returns an array of the first team that has not run: 1 GB of memory per task, estimate 10 s, any zone, spot
/// allowed.
pub(crate) fn job(cpus: f64, tasks: u32) -> JobView {
    JobView {
        team: 0,
        priority: Priority::Normal,
        is_gang: false,
        is_daemon: false,
        tasks,
        request: Resources { cpus, gpus: 0.0, memory_gb: 1.0 },
        machine_types: vec![true],
        zone: None,
        needs_one_zone: false,
        max_tasks_per_zone: tasks,
        allows_spot: true,
        image: 1,
        image_gb: 1.0,
        writes_checkpoints: false,
        checkpoint_time: 0.0,
        submitted: 0.0,
        deadline: None,
        start_objectives: vec![],
        estimated_task_time: 10.0,
        completed: 0,
        mean_task_time: None,
        unfinished: tasks,
        placed: 0,
        startable: tasks,
        crash_looping: false,
        placed_per_zone: vec![0; 3],
        waiting_since: 0.0,
    }
}

/// Returns an empty on-demand machine with 4 CPUs and 16 GB of memory, without cached images.
pub(crate) fn machine(zone: usize) -> MachineView {
    let capacity = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 16.0 };
    MachineView {
        machine_type: 0,
        zone,
        is_spot: false,
        capacity,
        free: capacity,
        price: 1.0,
        images: vec![],
        schedulable: true,
        booting: false,
        reserved_for: None,
        excluded_jobs: vec![],
        placed_tasks: vec![],
    }
}

/// Returns a snapshot at time 0 with one team without quotas and one machine type.
pub(crate) fn cluster(jobs: Vec<JobView>, machines: Vec<MachineView>) -> SchedulingSnapshot {
    SchedulingSnapshot {
        now: 0.0,
        cheapest_cpu_price: 0.25,
        gang_requests: vec![],
        jobs,
        machines,
        teams: vec![TeamView::default()],
        machine_types: vec![MachineType {
            name: "small".into(),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 16.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 0.1,
            price_per_hour: 1.0,
            spot_price: Some(0.3),
            boot_s: 20.0,
            zones: vec!["a".into(), "b".into(), "c".into()],
        }],
    }
}
