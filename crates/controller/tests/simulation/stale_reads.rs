//! Reads that are stale or take time, as far as the protocol lets them: machine lists lag, may be older than the one
//! before, and show dead machines as running; the keys of a commit without an answer are read one after the other, while
//! the transaction may still be applied.

use super::Simulation;
use super::controllers::LIST_LAG;
use super::machines::Machine;
use super::messages::Message;
use hookway_constants as constants;
use hookway_controller::cluster_state::{CommitResult, PendingCommit, RereadKey};
use hookway_time::{MonotonicTime, seconds_f64, whole_millis};
use hookway_wire::{ListedMachine, MachineState};
use std::time::Duration;

/// Maximum lag of a machine list, as a multiple of the usual lag (given by the protocol).
const MAX_LAG_FACTOR: u32 = 2;
/// Time for which a machine that has died is still listed as running (given by the protocol).
const DEAD_LISTED_AS_RUNNING_FOR: Duration = Duration::from_secs(30);

/// The stale reads of a day.
#[derive(Debug, Default)]
pub(super) struct StaleReads {
    /// The time that the latest machine list described.
    listed_as_of: MonotonicTime,
}

/// The keys of a transaction without an answer, which a leader reads one after the other.
#[derive(Debug)]
pub(super) struct SlowReread {
    controller: usize,
    term: u64,
    commit: Box<PendingCommit>,
    /// The keys that were read so far, in the order of [`PendingCommit::keys`].
    read: Vec<RereadKey>,
}

impl SlowReread {
    /// Returns the controller that reads the keys.
    pub fn controller(&self) -> usize {
        self.controller
    }
}

impl Simulation {
    /// Creates a day of random faults on which reads are stale and take time.
    pub fn with_stale_reads(seed: u64) -> Self {
        Self { stale_reads: Some(StaleReads::default()), ..Self::new(seed) }
    }

    /// Returns the cloud's machine list: the machines of some time that lies up to twice the usual lag in the past. `None`
    /// if machine lists are not stale on this day.
    pub(super) fn stale_machine_list(&mut self) -> Option<Vec<ListedMachine>> {
        let last_listed_as_of = self.stale_reads.as_ref()?.listed_as_of;
        let lag = self.random_duration(0, whole_millis(LIST_LAG * MAX_LAG_FACTOR));
        let as_of = self.now.saturating_sub(lag);
        let reads = self.stale_reads.as_mut()?;
        reads.listed_as_of = as_of;
        self.counts.lists_older_than_previous += usize::from(as_of < last_listed_as_of);
        let listed: Vec<ListedMachine> =
            self.machines.iter().filter_map(|machine| machine.listed_as_of(as_of)).collect();
        let is_gone = |machine: &&Machine| {
            machine.deleted_at.is_some() && listed.iter().any(|listed| listed.name == machine.name)
        };
        self.counts.listed_after_deletion += self.machines.iter().filter(is_gone).count();
        Some(listed)
    }

    /// Begins to read the keys of a commit whose outcome is unknown.
    pub(super) fn begin_slow_reread(
        &mut self,
        controller: usize,
        term: u64,
        commit: Box<PendingCommit>,
    ) {
        self.read_next_key(SlowReread { controller, term, commit, read: Vec::new() });
    }

    /// Reads the next key of a commit whose outcome is unknown, once the store is reachable. After the last key, the leader
    /// gets all of them.
    pub(super) fn read_next_key(&mut self, mut reread: SlowReread) {
        let (n, term, now) = (reread.controller, reread.term, self.now);
        if self.controllers[n].leader_in_term(term).is_none() {
            return;
        }
        if !self.can_reach_store(n) {
            return self.schedule(now + constants::STORE_RETRY_DELAY, Message::ReadNextKey(reread));
        }
        if let Some(key) = reread.commit.keys().into_iter().nth(reread.read.len()) {
            reread.read.push(RereadKey { stored: self.store.get(&key), key });
            let answer_delay = self.random_duration(100, 900);
            return self.schedule(now + answer_delay, Message::ReadNextKey(reread));
        }
        let is_outdated = |key: &RereadKey| self.store.get(&key.key) != key.stored;
        self.counts.outdated_rereads += usize::from(reread.read.iter().any(is_outdated));
        if let Some(leader) = self.controllers[n].leader_in_term(term) {
            let result = CommitResult::Indeterminate(reread.read);
            leader.cluster.apply_commit_outcome(*reread.commit, result, now);
        }
        self.report_completed_jobs(n, term);
    }

    /// Returns the probability that a transaction gets no answer, per mille.
    pub(super) fn lost_commit_response_rate(&self) -> u32 {
        if self.stale_reads.is_some() { 200 } else { 50 }
    }

    /// Returns the delay after which a transaction without an answer is applied. If the keys are read one after the other,
    /// it is often applied between two of these reads.
    pub(super) fn late_application_delay(&mut self) -> Duration {
        if self.stale_reads.is_some() && self.random_in_range(0, 2) == 0 {
            self.random_duration(1_200, 2_400)
        } else {
            self.random_duration(100, 20_000)
        }
    }
}

impl Machine {
    /// Returns the machine's entry in a machine list that describes the time `as_of`; `None` if it is not listed then.
    fn listed_as_of(&self, as_of: MonotonicTime) -> Option<ListedMachine> {
        let is_deleted = self.deleted_at.is_some_and(|deleted_at| deleted_at <= as_of);
        if as_of < self.created_at || is_deleted {
            return None;
        }
        let is_known_dead =
            self.died_at.is_some_and(|died_at| died_at + DEAD_LISTED_AS_RUNNING_FOR <= as_of);
        let state = if is_known_dead { MachineState::Failed } else { MachineState::Running };
        Some(self.list_entry(state, seconds_f64(as_of - self.created_at)))
    }
}
