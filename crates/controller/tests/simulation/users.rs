//! Users: submissions, status queries and cancellations at any controller, and the responses.

use super::{CONTROLLERS, Message, REPLICAS_AT, Simulation, Version, always_fails, ms};
use hookway_controller::cluster_state::{CancelOutcome, JobLookup};
use hookway_controller::records::{JobRecord, LEADER_KEY, final_state_key, job_key};
use hookway_wire::{JobId, JobSpec, JobState, Operation, Precondition, Transaction};
use rand::RngExt;

/// Most replicas of a daemon, and most daemons: together they fit the smaller zone, whatever constraints
/// others have.
const MOST_REPLICAS: u64 = 2;
const MOST_DAEMONS: usize = 4;

/// A job's state as a user sees it.
#[derive(Debug, PartialEq, Eq)]
enum ObservedState {
    State(JobState),
    Absent,
}

impl Simulation {
    #[expect(clippy::too_many_lines, reason = "the steps of one simulated event, in order")]
    pub(super) fn submit(&mut self) {
        let most = if self.scenario.is_some() { 14 } else { 40 };
        if self.jobs.len() >= most || !self.chance(30) {
            return;
        }
        let n = self.jobs.len();
        let gang = self.rng.random_range(0..3) < if self.standby_scenario { 2 } else { 1 };
        let team = if self.rng.random_range(0..4) == 0 { "tight" } else { "team" };
        let tasks = match team {
            // All tasks of a gang must fit its team's quota.
            _ if gang && self.standby_scenario => {
                self.number(2, if team == "tight" { 5 } else { 7 })
            }
            _ if gang || self.long(&n.to_string()) => self.number(1, 4),
            // Where arrays fill all machines, no resources are left to complete gangs.
            _ if self.standby_scenario => self.number(1, 8),
            "tight" => self.number(1, 16),
            _ => self.number(1, 80),
        };
        // Features of the new version are used only after all controllers are upgraded.
        let new = self.controllers.iter().all(|c| c.version == Version::New);
        let daemons = self.jobs.iter().filter(|j| j.is_daemon()).count();
        let fits = new && !gang && team == "team" && daemons < MOST_DAEMONS;
        let daemon = fits && self.rng.random_range(0..2) == 0;
        let (kind, priority) = match (gang, daemon) {
            (true, _) => ("group", "normal"),
            (_, true) => ("daemon", "production"),
            _ => ("array", "normal"),
        };
        let tasks = if daemon { tasks.min(MOST_REPLICAS) } else { tasks };
        let (one_zone, spread) = match self.rng.random_range(0..5) {
            0 => (true, false),
            1 => (false, true),
            _ => (false, false),
        };
        let text = format!(
            r#"{{"NameId":"req-{n:06}","Lane":"train","Owner":"{team}","Shape":"{kind}",
            "Rank":"{priority}","Pieces":{tasks},"Vcpus":1.0,"Gpus":0,"RamGb":1,"Bundle":"img",
            "ImageGb":1,"Together":{one_zone},"Spread":{spread},"Loaners":true,"GuessS":10,
            "SnapshotEveryS":0,"SnapshotS":0,"DueS":60}}"#
        );
        let spec = JobSpec::parse(text.as_bytes()).expect("a sound job");
        let at = (0..CONTROLLERS.len())
            .find(|n| self.store_answers(*n) && self.controllers[*n].up(self.now));
        if at.is_none() {
            return;
        }
        let record = JobRecord {
            spec: spec.clone(),
            accepted_at_ms: self.moment().wall.as_unix_millis(),
            has_start_watermark: true,
        };
        let value = serde_json::to_value(record).expect("a record");
        let key = job_key(&spec.id);
        self.store.put(&key, value);
        // The response may be lost; the user then submits again and finds the job.
        self.reported.entry(spec.id.clone()).or_default().accepted = true;
        self.jobs.push(spec);
    }

    /// Users query all controllers, and cancel.
    pub(super) fn query_and_cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        if self.now >= REPLICAS_AT && self.every(ms(5_000)) {
            let ends = |j: &&JobSpec| always_fails(j.id.as_str()) || j.is_daemon();
            let wrong = self.jobs.iter().filter(ends);
            let ids: Vec<JobId> = wrong.map(|j| j.id.clone()).collect();
            for id in ids {
                (0..CONTROLLERS.len()).for_each(|n| self.cancel_at(n, &id));
            }
        }
        if self.scenario.is_some() {
            self.cancel_in_scenario();
        }
        let n = self.rng.random_range(0..self.jobs.len());
        let id = self.jobs[n].id.clone();
        for n in 0..CONTROLLERS.len() {
            self.query_at(n, &id);
        }
        // More cancellations while a controller is refused or partitioned, most while nobody leads.
        let odd = self.controllers.iter().any(|c| self.now < c.store_unreachable_until);
        let rate = match (&self.lead, odd) {
            _ if self.scenario.is_some() => 0,
            (None, _) => 250,
            (_, true) => 25,
            _ => 5,
        };
        if self.chance(rate) {
            let n = self.rng.random_range(0..CONTROLLERS.len());
            self.cancel_at(n, &id);
        }
    }

    /// Queries a job's state at a controller, and checks that the response is no older than an earlier one.
    fn query_at(&mut self, n: usize, id: &JobId) {
        let Some(observed) = self.state_at(n, id) else { return };
        self.counts.status_queries += 1;
        let reported = self.reported.entry(id.clone()).or_default();
        assert!(
            !reported.accepted || observed != ObservedState::Absent,
            "{id} was accepted, and is unknown"
        );
        let cancelled = observed == ObservedState::State(JobState::Cancelled);
        let done = observed == ObservedState::State(JobState::Done);
        assert!(
            reported.cancelled_at.is_none() || cancelled,
            "{id} was withdrawn, and is {observed:?}"
        );
        assert!(!reported.done || done, "{id} was done, and is {observed:?}");
        if cancelled {
            reported.cancelled_at.get_or_insert(self.now);
        }
        reported.done |= done;
    }

    /// The decision of the API service.
    fn state_at(&mut self, n: usize, id: &JobId) -> Option<ObservedState> {
        if !self.controllers[n].up(self.now) {
            return None;
        }
        if self.controllers[n].over.contains(id) {
            return self.stored(id);
        }
        let leader = self.entitled_for(n);
        if let Some(l) = leader {
            let cluster = &self.controllers[l].leader.as_ref()?.cluster;
            match cluster.status(id) {
                JobLookup::Known(status) => return Some(ObservedState::State(status.state)),
                JobLookup::CommitInFlight | JobLookup::UnknownJob
                    if l != n && self.store_answers(l) =>
                {
                    return self.stored(id);
                }
                JobLookup::CommitInFlight | JobLookup::UnknownJob => {}
            }
        }
        if self.store_answers(n) { self.stored(id) } else { None }
    }

    /// The controller that may act as leader and that `n` can reach; possibly itself.
    fn entitled_for(&self, n: usize) -> Option<usize> {
        let leads = |c: usize| self.controllers[c].entitled(self.now);
        if leads(n) {
            return Some(n);
        }
        let seen = self.controllers[n].seen?;
        let there =
            leads(seen) && self.peers_linked(n, seen) && self.controllers[seen].up(self.now);
        there.then_some(seen)
    }

    fn stored(&self, id: &JobId) -> Option<ObservedState> {
        if self.store.get(&job_key(id)).is_some() {
            return Some(ObservedState::State(JobState::Queued));
        }
        let Some(kv) = self.store.get(&final_state_key(id)) else {
            return Some(ObservedState::Absent);
        };
        serde_json::from_value(kv.value["state"].clone()).ok().map(ObservedState::State)
    }

    /// A user cancels a job at a controller.
    pub(super) fn cancel_at(&mut self, n: usize, id: &JobId) {
        if !self.controllers[n].up(self.now) || self.controllers[n].over.contains(id) {
            return;
        }
        if let Some(l) = self.entitled_for(n) {
            let Some(leader) = &mut self.controllers[l].leader else { return };
            if leader.cluster.cancel(id) == CancelOutcome::Pending {
                leader.asked.insert(id.clone());
            }
            return;
        }
        // The precondition: nobody leads.
        if !self.store_answers(n) || self.store.get(&job_key(id)).is_none() {
            return;
        }
        let record = serde_json::json!({ "state": "withdrawn", "done": 0, "owner": "team" });
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: LEADER_KEY.into(), mod_revision: 0 },
                Precondition { key: final_state_key(id), mod_revision: 0 },
            ],
            operations: vec![
                Operation::put(final_state_key(id), record),
                Operation::delete(job_key(id)),
            ],
        };
        if self.chance(100) {
            // Its response is lost, and it may be applied late.
            let at = self.now + self.span(10, 12_000);
            return self.at(at, Message::DelayedTransaction(transaction));
        }
        if self.store.commit(&transaction).is_ok() {
            self.counts.cancelled_without_leader += 1;
            self.report_cancelled(n, id);
        }
    }

    /// A controller has confirmed a cancellation to a user; it tells the others.
    pub(super) fn report_cancelled(&mut self, n: usize, id: &JobId) {
        self.counts.cancelled += 1;
        let now = self.now;
        self.reported.entry(id.clone()).or_default().cancelled_at.get_or_insert(now);
        self.controllers[n].over.insert(id.clone());
        for other in (0..CONTROLLERS.len()).filter(|o| *o != n) {
            self.send(|| Message::JobFinished(other, n, id.clone()));
        }
    }

    /// A job that is durably done has all of its tasks done.
    pub(super) fn check_final_states(&mut self) {
        for spec in &self.jobs {
            let id = &spec.id;
            let Some(kv) = self.store.get(&final_state_key(id)) else { continue };
            if kv.value["state"].as_str() == Some("done") {
                assert!(!spec.is_daemon(), "{id} is a daemon, and is called done");
                let all = (0..spec.tasks).all(|i| self.done.contains(&format!("{id}/{i}")));
                assert!(all, "{id} is called done before all of its tasks are");
            }
        }
    }
}
