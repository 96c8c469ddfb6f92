//! Users: what they submit, ask and cancel at any controller, and what they are told.

use super::{Message, NODES, REPLICAS_AT, Version, World, mistaken};
use hookway_controller::ledger::{Cancellation, Lookup};
use hookway_controller::records::{JobRecord, LEAD_NOW, final_key, job_key};
use hookway_wire::{Change, Guard, JobId, JobSpec, JobState, Transaction};
use rand::RngExt;

/// Replicas of a daemon, at most, and daemons: together they find room in the smaller zone, however the others
/// are bound to it.
const MOST_REPLICAS: u64 = 2;
const MOST_DAEMONS: usize = 4;

/// What a user hears of a job.
#[derive(Debug, PartialEq, Eq)]
enum Heard {
    State(JobState),
    Absent,
}

impl World {
    pub(super) fn submit(&mut self) {
        let most = if self.scenario.is_some() { 14 } else { 40 };
        if self.jobs.len() >= most || !self.chance(30) {
            return;
        }
        let n = self.jobs.len();
        let gang = self.rng.random_range(0..3) < if self.standby_day { 2 } else { 1 };
        let team = if self.rng.random_range(0..4) == 0 { "tight" } else { "team" };
        let tasks = match team {
            // All tasks of a gang must find room in its team's limit.
            _ if gang && self.standby_day => self.span(2, if team == "tight" { 5 } else { 7 }),
            _ if gang || self.long(&n.to_string()) => self.span(1, 4),
            // Where arrays fill all machines, gangs have no room to be completed in.
            _ if self.standby_day => self.span(1, 8),
            "tight" => self.span(1, 16),
            _ => self.span(1, 80),
        };
        // Nothing of the new version is asked before all controllers are of it.
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
        let at =
            (0..NODES.len()).find(|n| self.store_answers(*n) && self.controllers[*n].up(self.now));
        if at.is_none() {
            return;
        }
        let record = JobRecord { spec: spec.clone(), at_ms: 1_000_000 + self.now, marked: true };
        let value = serde_json::to_value(record).expect("a record");
        let key = job_key(&spec.id);
        self.store.put(&key, value);
        // The answer may get lost; then its user submits it again, which finds it.
        self.told.entry(spec.id.clone()).or_default().accepted = true;
        self.jobs.push(spec);
    }

    /// Users ask at all nodes, and cancel.
    pub(super) fn ask_around(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        if self.now >= REPLICAS_AT && self.now.is_multiple_of(5_000) {
            let ends = |j: &&JobSpec| mistaken(j.id.as_str()) || j.is_daemon();
            let wrong = self.jobs.iter().filter(ends);
            let ids: Vec<JobId> = wrong.map(|j| j.id.clone()).collect();
            for id in ids {
                (0..NODES.len()).for_each(|n| self.cancel_at(n, &id));
            }
        }
        if self.scenario.is_some() {
            self.cancel_in_scenario();
        }
        let n = self.rng.random_range(0..self.jobs.len());
        let id = self.jobs[n].id.clone();
        for n in 0..NODES.len() {
            self.ask_at(n, &id);
        }
        // More of them while a controller is refused or cut off, and most while nobody leads.
        let odd = self.controllers.iter().any(|c| self.now < c.no_store_until);
        let rate = match (&self.lead, odd) {
            _ if self.scenario.is_some() => 0,
            (None, _) => 250,
            (_, true) => 25,
            _ => 5,
        };
        if self.chance(rate) {
            let n = self.rng.random_range(0..NODES.len());
            self.cancel_at(n, &id);
        }
    }

    /// Asks a controller for a job's state, and checks that the answer is no older than one given.
    fn ask_at(&mut self, n: usize, id: &JobId) {
        let Some(heard) = self.state_at(n, id) else { return };
        self.counts.asked += 1;
        let told = self.told.entry(id.clone()).or_default();
        assert!(!told.accepted || heard != Heard::Absent, "{id} was accepted, and is unknown");
        let cancelled = heard == Heard::State(JobState::Cancelled);
        let done = heard == Heard::State(JobState::Done);
        assert!(told.cancelled_at.is_none() || cancelled, "{id} was withdrawn, and is {heard:?}");
        assert!(!told.done || done, "{id} was done, and is {heard:?}");
        if cancelled {
            told.cancelled_at.get_or_insert(self.now);
        }
        told.done |= done;
    }

    /// As the desk decides it.
    fn state_at(&mut self, n: usize, id: &JobId) -> Option<Heard> {
        if !self.controllers[n].up(self.now) {
            return None;
        }
        if self.controllers[n].over.contains(id) {
            return self.stored(id);
        }
        let leader = self.entitled_for(n);
        if let Some(l) = leader {
            let ledger = &self.controllers[l].leader.as_ref()?.ledger;
            match ledger.status(id) {
                Lookup::Known(status) => return Some(Heard::State(status.status)),
                Lookup::Deciding | Lookup::NotHere if l != n && self.store_answers(l) => {
                    return self.stored(id);
                }
                Lookup::Deciding | Lookup::NotHere => {}
            }
        }
        if self.store_answers(n) { self.stored(id) } else { None }
    }

    /// The controller that is entitled to lead and that `n` can ask; possibly itself.
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

    fn stored(&self, id: &JobId) -> Option<Heard> {
        if self.store.get(&job_key(id)).is_some() {
            return Some(Heard::State(JobState::Queued));
        }
        let Some(kv) = self.store.get(&final_key(id)) else { return Some(Heard::Absent) };
        serde_json::from_value(kv.v["state"].clone()).ok().map(Heard::State)
    }

    /// A user cancels a job at a controller.
    pub(super) fn cancel_at(&mut self, n: usize, id: &JobId) {
        if !self.controllers[n].up(self.now) || self.controllers[n].over.contains(id) {
            return;
        }
        if let Some(l) = self.entitled_for(n) {
            let Some(leader) = &mut self.controllers[l].leader else { return };
            if leader.ledger.cancel(id) == Cancellation::Pending {
                leader.asked.insert(id.clone());
            }
            return;
        }
        // On the condition that nobody leads.
        if !self.store_answers(n) || self.store.get(&job_key(id)).is_none() {
            return;
        }
        let record = serde_json::json!({ "state": "withdrawn", "done": 0, "owner": "team" });
        let transaction = Transaction {
            guards: vec![
                Guard { key: LEAD_NOW.into(), stamp: 0 },
                Guard { key: final_key(id), stamp: 0 },
            ],
            apply: vec![Change::put(final_key(id), record), Change::delete(job_key(id))],
        };
        if self.chance(100) {
            // Its answer is lost, and it may be carried out late.
            let at = self.now + self.span(10, 12_000);
            return self.at(at, Message::Late(transaction));
        }
        if self.store.commit(&transaction).is_ok() {
            self.counts.cancelled_without_leader += 1;
            self.told_cancelled(n, id);
        }
    }

    /// A controller has told a user that a job is cancelled; it tells the others.
    pub(super) fn told_cancelled(&mut self, n: usize, id: &JobId) {
        self.counts.cancelled += 1;
        let now = self.now;
        self.told.entry(id.clone()).or_default().cancelled_at.get_or_insert(now);
        self.controllers[n].over.insert(id.clone());
        for other in (0..NODES.len()).filter(|o| *o != n) {
            self.send(|| Message::Over(other, n, id.clone()));
        }
    }

    /// What is durably done is done.
    pub(super) fn look_at_finals(&mut self) {
        for spec in &self.jobs {
            let id = &spec.id;
            let Some(kv) = self.store.get(&final_key(id)) else { continue };
            if kv.v["state"].as_str() == Some("done") {
                assert!(!spec.is_daemon(), "{id} is a daemon, and is called done");
                let all = (0..spec.tasks).all(|i| self.done.contains(&format!("{id}/{i}")));
                assert!(all, "{id} is called done before all of its tasks are");
            }
        }
    }
}
