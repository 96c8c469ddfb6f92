use super::*;

const LEASE: u64 = 30_000;
const WORKER: u64 = 22_000;

fn holders(won_at: u64) -> Holders {
    let siblings = [("one".to_owned(), "b".to_owned()), ("two".to_owned(), "c".to_owned())];
    let zones = ["a", "b", "c", "d"].map(str::to_owned);
    Holders::new("a", &siblings, &zones, LEASE, won_at)
}

fn report(zone: &str, token: u64) -> CheckIn {
    CheckIn {
        machine: "m-1".into(),
        addr: "127.0.0.1:1".into(),
        machine_type: "small".into(),
        zone: zone.into(),
        spot: false,
        session: 1,
        tick: 1,
        token,
        notice_s: None,
        tasks: vec![hookway_wire::TaskReport {
            task: "req-000001/0".into(),
            attempt: 1,
            status: TaskState::Running,
            cause: None,
            saved: None,
        }],
    }
}

/// A renewal and its answer, without delay.
fn exchange(holders: &mut Holders, holding: &mut Holding, now: u64) {
    let lease = holders.renew(5, &holding.renewal(now), LEASE, now).unwrap();
    holding.leased(lease, now, now);
}

#[test]
fn connected_shard_lessee_delays_lease_expiry_by_at_most_one_renewal() {
    let (mut holders, mut holding) = (holders(0), Holding::new("one", 1, 8_000));
    for now in (0..60_000).step_by(1_000) {
        exchange(&mut holders, &mut holding, now);
    }
    assert!(holders.lease_over("b", 59_000 - WORKER - 1_000, WORKER, 59_000));
    assert!(!holders.lease_over("b", 59_000 - WORKER + 1, WORKER, 59_000));
    assert_eq!(holding.keep(&report("b", 5), 59_500, |_| false), None, "the leader is there");
}

#[test]
fn partitioned_shard_lessee_extends_leases_and_leader_accounts_for_it() {
    let (mut holders, mut holding) = (holders(0), Holding::new("one", 1, 8_000));
    for now in [0, 1_000, 2_000] {
        exchange(&mut holders, &mut holding, now);
    }
    assert_eq!(
        holding.keep(&report("b", 7), 5_000, |_| false),
        None,
        "a change of leader may be under way"
    );
    assert_eq!(holding.keep(&report("b", 7), 11_000, |_| false).map(|k| k.answer.token), Some(7));
    assert_eq!(holding.keep(&report("c", 7), 11_000, |_| false), None, "not of its block");
    let later = 5 + constants::TOKENS_PER_TERM;
    assert_eq!(
        holding.keep(&report("b", later), 11_000, |_| false),
        None,
        "a later leader commands it"
    );
    assert!(holding.keep(&report("b", 7), 31_900, |_| false).is_some());
    assert_eq!(holding.keep(&report("b", 7), 32_000, |_| false), None, "its lease is over");
    // The leader heard the worker last at 1 s, and the holder at 2 s.
    assert!(!holders.lease_over("b", 1_000, WORKER, 32_000 + WORKER));
    assert!(holders.lease_over("b", 1_000, WORKER, 32_100 + WORKER));
    // Back in touch it says when it answered last.
    exchange(&mut holders, &mut holding, 40_000);
    exchange(&mut holders, &mut holding, 41_000);
    assert!(!holders.lease_over("b", 1_000, WORKER, 31_900 + WORKER - 1));
}

/// A cancellation is a fact: a holder that has heard of it stops the tasks, whatever became of the leader;
/// and the answer says until when it may go out.
#[test]
fn shard_lessee_stops_tasks_of_finished_jobs_and_starts_none() {
    let (mut holders, mut holding) = (holders(0), Holding::new("one", 1, 8_000));
    exchange(&mut holders, &mut holding, 1_000);
    exchange(&mut holders, &mut holding, 2_000);
    let mut report = report("b", 7);
    let mut other = report.tasks[0].clone();
    other.task = "req-000002/4".into();
    let ended = TaskReport { status: TaskState::Ended, attempt: 9, ..report.tasks[0].clone() };
    report.tasks.extend([other, ended]);
    let over = |id: &JobId| id.as_str() == "req-000001";
    let kept = holding.keep(&report, 15_000, over).unwrap();
    let stop = Command::Kill { task: "req-000001/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!((kept.answer.token, kept.answer.commands), (7, vec![stop]));
    assert_eq!(kept.until, 2_000 + LEASE - drift(LEASE));
}

#[test]
fn new_leader_counts_earlier_shard_leases_until_lessees_drop_them() {
    let mut holders = holders(100_000);
    assert!(!holders.lease_over("b", 100_000, WORKER, 100_000 + LEASE + WORKER));
    assert!(holders.lease_over("b", 100_000, WORKER, 100_100 + LEASE + WORKER));
    assert!(holders.lease_over("a", 100_000, WORKER, 100_000 + WORKER), "its own zone");
    assert!(!holders.lease_over("", 100_000, WORKER, 100_000 + WORKER), "the zone is not known");
    assert!(!holders.lease_over("d", 100_000, WORKER, 100_000 + WORKER), "no controller in it");
    let mut holding = Holding::new("one", 1, 8_000);
    holding.lead(1, vec!["b".into()], LEASE, 90_000);
    assert!(holding.keep(&report("b", 1), 99_000, |_| false).is_some());
    exchange(&mut holders, &mut holding, 101_000);
    assert_eq!(holding.keep(&report("b", 1), 115_000, |_| false), None, "dropped with the news");
    exchange(&mut holders, &mut holding, 102_000);
    for now in (103_000..125_000).step_by(1_000) {
        exchange(&mut holders, &mut holding, now);
    }
    assert!(holders.lease_over("b", 100_000, WORKER, 124_500));
}

#[test]
fn delayed_renewals_and_those_of_dead_processes_prove_no_expiry() {
    let (mut holders, mut holding) = (holders(0), Holding::new("one", 1, 8_000));
    let first = holding.renewal(500);
    for now in [1_000, 2_000, 3_000] {
        exchange(&mut holders, &mut holding, now);
    }
    let late = holding.renewal(3_500);
    assert!(holding.keep(&report("b", 5), 20_000, |_| false).is_some());
    // Copies from before, long after: neither ends the lease nor vouches for the time since.
    for copy in [&first, &late] {
        holders.renew(5, copy, LEASE, 30_000);
        assert!(!holders.lease_over("b", 1_000, WORKER, 1_000 + WORKER + 5_000));
    }
    // So does a copy of a process that is gone, once a new one has echoed a stamp.
    let gone = holding.renewal(21_000);
    // A new process: the earlier one may have answered until this one began.
    let mut next = Holding::new("one", 2, 8_000);
    let hello = holders.renew(5, &next.renewal(1_000), LEASE, 36_000).unwrap();
    assert_eq!(hello.lease_ms, 0, "no lease before it has echoed a stamp");
    next.leased(hello, 1_000, 1_000);
    holders.renew(5, &next.renewal(2_000), LEASE, 37_000);
    assert!(!holders.lease_over("b", 1_000, WORKER, 37_000 + WORKER - 5_000));
    let lease = holders.renew(5, &next.renewal(2_500), LEASE, 38_000).unwrap();
    next.leased(lease, 2_500, 2_500);
    holders.renew(5, &gone, LEASE, 39_000);
    assert!(next.keep(&report("b", 5), 30_000, |_| false).is_some());
    assert!(!holders.lease_over("b", 1_000, WORKER, 38_000 + LEASE), "it still holds its block");
}

#[test]
fn controller_without_leader_contact_redirects_no_worker_to_it() {
    let mut holders = holders(0);
    let mut other = Holding::new("three", 9, 4_000);
    assert!(other.leader_in_touch(3_999), "a process that has just begun knows no better");
    assert!(!other.leader_in_touch(4_000));
    // It holds no block, as another controller of its zone does; the leader's answer is word of it all the same.
    exchange(&mut holders, &mut Holding::new("one", 1, 4_000), 9_000);
    other.leased(BlockLease { term: 5, stamp: 1, zones: vec![], lease_ms: 0 }, 10_000, 10_000);
    assert!(other.leader_in_touch(13_999));
    assert!(!other.leader_in_touch(14_000));
    assert_eq!(other.keep(&report("b", 5), 14_000, |_| false), None, "it may not answer itself");
}
