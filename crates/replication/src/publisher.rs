//! The leader's side of replication: writes changes of the cluster state to the log, and responds to followers.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::log::ReplicationLog;
use crate::message::{FollowRequest, FollowResponse, FollowResponseBody, FollowerProgress};
use crate::position::Position;
use crate::snapshot::{Snapshot, SnapshotChunk, SnapshotError};
use crate::state::{PlacedTask, ReplicatedJob, ReplicatedMachine, ReplicatedState, Stage};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::collections::BTreeMap;

/// The current state of an attempt on a machine, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedTask<'a> {
    /// Id of the task in the form `req-000412/3`.
    pub task: &'a str,
    /// Number of the attempt; no two leaders use the same number.
    pub attempt: u64,
    /// How far the attempt has progressed.
    pub stage: Stage,
}

/// The current state of a machine, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedMachine<'a> {
    /// Unique name of the machine.
    pub name: &'a str,
    /// Address (`host:port`) of the machine's worker.
    pub address: &'a str,
    /// Incarnation of the machine's worker.
    pub incarnation: u64,
}

/// Publishes changes of the leader's cluster state to its followers.
///
/// The leader may publish a machine or job as often as it likes: only differences from the last published state
/// become entries. Publishing everything periodically bounds the time for which a change can be missed.
#[derive(Debug)]
pub struct Publisher {
    /// The published state, which a follower that has applied the whole log has as well.
    state: ReplicatedState,
    log: ReplicationLog,
    /// The snapshot that is sent to followers; `None` before the first one is needed.
    snapshot: Option<Snapshot>,
    /// Which digest is sent next and when, by the name of the follower.
    digest_schedules: BTreeMap<String, DigestSchedule>,
}

/// Which digest is sent next to one follower, and when.
#[derive(Debug, Default)]
struct DigestSchedule {
    /// Index of the range whose digest is sent next.
    next_range: u32,
    /// Time of the last digest; [`MonotonicTime::ZERO`] before the first one.
    last_sent_at: MonotonicTime,
}

impl Publisher {
    /// Creates a publisher with an empty state and log, for the leader of `term`.
    pub fn new(term: u64) -> Self {
        Self {
            state: ReplicatedState::default(),
            log: ReplicationLog::new(term, constants::MAX_REPLICATION_LOG_ENTRIES),
            snapshot: None,
            digest_schedules: BTreeMap::new(),
        }
    }

    /// Returns the position of the last published entry.
    pub fn end(&self) -> Position {
        self.log.end()
    }

    /// Returns the published state, which a follower that has applied the whole log has as well.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    fn append(&mut self, entry: Entry) {
        // Every entry is derived from a difference to this state, so it can always be applied.
        if self.state.apply(entry.clone()).is_ok() {
            self.log.append(entry);
        }
    }

    /// Publishes a machine and the complete set of its tasks.
    pub fn publish_machine<'a>(
        &mut self,
        machine: PublishedMachine<'_>,
        tasks: impl Iterator<Item = PublishedTask<'a>> + Clone,
    ) {
        self.publish_worker(machine);
        self.publish_tasks(machine.name, tasks);
    }

    fn publish_worker(&mut self, machine: PublishedMachine<'_>) {
        let published = self.state.machines.get(machine.name);
        let is_published = published.is_some_and(|published| {
            published.address == machine.address && published.incarnation == machine.incarnation
        });
        if !is_published {
            self.append(Entry::Machine {
                name: machine.name.to_owned(),
                address: machine.address.to_owned(),
                incarnation: machine.incarnation,
            });
        }
    }

    fn publish_tasks<'a>(
        &mut self,
        machine: &str,
        tasks: impl Iterator<Item = PublishedTask<'a>> + Clone,
    ) {
        let Some(published) = self.state.machines.get(machine) else { return };
        let is_published =
            |task: PublishedTask<'_>| published.stage(task.task, task.attempt) == Some(task.stage);
        // Most machines have not changed, so this check avoids building entries for them.
        let has_same_count = tasks.clone().count() == published.tasks().len();
        if has_same_count && tasks.clone().all(is_published) {
            return;
        }
        for entry in task_entries(machine, published, tasks) {
            self.append(entry);
        }
    }

    /// Publishes the removal of a machine and its tasks. Does nothing if the machine was never published.
    pub fn remove_machine(&mut self, name: &str) {
        if self.state.machines.contains_key(name) {
            self.append(Entry::MachineRemoved { name: name.to_owned() });
        }
    }

    /// Removes all published machines for which `exists` is false.
    pub fn retain_machines(&mut self, exists: impl Fn(&str) -> bool) {
        let removed: Vec<String> =
            self.state.machines.keys().filter(|name| !exists(name)).cloned().collect();
        removed.iter().for_each(|name| self.remove_machine(name));
    }

    /// Publishes the part of a job's state that the leader keeps in memory only.
    pub fn publish_job(&mut self, id: &str, job: ReplicatedJob) {
        if self.state.jobs.get(id) != Some(&job) {
            self.append(Entry::Job { id: id.to_owned(), job });
        }
    }

    /// Removes all published jobs for which `exists` is false. `existing_jobs` is the number of jobs for which `exists`
    /// is true; all of them must have been published. If no more than these are published, no job is checked.
    pub fn retain_jobs(&mut self, existing_jobs: usize, exists: impl Fn(&str) -> bool) {
        if self.state.jobs.len() == existing_jobs {
            return;
        }
        let removed: Vec<String> =
            self.state.jobs.keys().filter(|id| !exists(id)).cloned().collect();
        for id in removed {
            self.append(Entry::JobRemoved { id });
        }
    }

    /// Returns the response to a follower's request at `now`: entries if the log still has all missing ones, otherwise
    /// a snapshot chunk.
    ///
    /// # Errors
    ///
    /// A [`SnapshotError`] if the state is too large for a snapshot or cannot be encoded.
    pub fn respond(
        &mut self,
        request: &FollowRequest,
        now: MonotonicTime,
    ) -> Result<FollowResponse, SnapshotError> {
        let body = match self.missing_entries(request, now) {
            Some(entries) => entries,
            None => FollowResponseBody::SnapshotChunk(self.snapshot_chunk(request.progress, now)?),
        };
        Ok(FollowResponse { end: self.log.end(), body })
    }

    /// Returns the entries that a follower lacks; `None` if it needs a snapshot.
    fn missing_entries(
        &mut self,
        request: &FollowRequest,
        now: MonotonicTime,
    ) -> Option<FollowResponseBody> {
        match request.progress {
            FollowerProgress::Through(after) => self.entries_after(&request.follower, after, now),
            FollowerProgress::Empty | FollowerProgress::ReceivingSnapshot { .. } => None,
        }
    }

    /// Returns the entries after a position, as many as fit into one message; `None` if the log no longer has them.
    fn entries_after(
        &mut self,
        follower: &str,
        after: Position,
        now: MonotonicTime,
    ) -> Option<FollowResponseBody> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.log.after(after)? {
            bytes += max_encoded_bytes(entry);
            if bytes > constants::MAX_REPLICATION_CHUNK_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        // The digest is of the state at the end of the log, so only a follower that reaches the end can compare it.
        let is_complete = after.index + entries.len() as u64 == self.log.end().index;
        let digest = if is_complete { self.next_digest(follower, now) } else { None };
        Some(FollowResponseBody::Entries { after, entries, digest })
    }

    /// Returns the digest of the next range, unless one was sent to the follower within the digest interval.
    fn next_digest(&mut self, follower: &str, now: MonotonicTime) -> Option<RangeDigest> {
        let schedule = self.digest_schedules.entry(follower.to_owned()).or_default();
        if now < schedule.last_sent_at + constants::REPLICATION_DIGEST_INTERVAL {
            return None;
        }
        let digest = RangeDigest::of(&self.state, schedule.next_range);
        schedule.last_sent_at = now;
        schedule.next_range = (schedule.next_range + 1) % constants::REPLICATION_DIGEST_RANGES;
        digest
    }

    /// Returns the snapshot chunk that a follower needs next.
    fn snapshot_chunk(
        &mut self,
        progress: FollowerProgress,
        now: MonotonicTime,
    ) -> Result<SnapshotChunk, SnapshotError> {
        let next_chunk = match progress {
            FollowerProgress::ReceivingSnapshot { position, next_chunk } => {
                self.chunk_of_current_snapshot(position, next_chunk)
            }
            FollowerProgress::Empty | FollowerProgress::Through(_) => None,
        };
        match next_chunk {
            Some(chunk) => Ok(chunk),
            None => self.first_chunk(now),
        }
    }

    /// Returns a chunk of the current snapshot; `None` if the snapshot is of another position, the log no longer has
    /// the entries after the snapshot, or the index is beyond the last chunk.
    fn chunk_of_current_snapshot(&self, position: Position, index: u32) -> Option<SnapshotChunk> {
        let snapshot = self.snapshot.as_ref().filter(|snapshot| snapshot.position == position)?;
        if self.log.covers(position) { snapshot.chunk(index) } else { None }
    }

    /// Returns the first chunk of the current snapshot, or of a new one if the current snapshot has reached the
    /// end of its lifetime or the log no longer has the entries after it.
    fn first_chunk(&mut self, now: MonotonicTime) -> Result<SnapshotChunk, SnapshotError> {
        let log = &self.log;
        let is_reusable = |snapshot: &Snapshot| {
            now < snapshot.taken_at + constants::REPLICATION_SNAPSHOT_LIFETIME
                && log.covers(snapshot.position)
        };
        let snapshot = match self.snapshot.take().filter(is_reusable) {
            Some(snapshot) => snapshot,
            None => Snapshot::new(&self.state, self.log.end(), now)?,
        };
        // An encoded state is never empty, so there is a first chunk.
        self.snapshot.insert(snapshot).chunk(0).ok_or(SnapshotError::ChunkLength(0))
    }
}

/// Returns the entries that turn the published tasks of a machine into the current ones, removals first.
fn task_entries<'a>(
    machine: &str,
    published: &ReplicatedMachine,
    current: impl Iterator<Item = PublishedTask<'a>> + Clone,
) -> Vec<Entry> {
    let is_current = |old: &PlacedTask| {
        current.clone().any(|new| new.attempt == old.attempt && new.task == old.task)
    };
    let removed = published.tasks().iter().filter(|old| !is_current(old));
    let removals = removed.map(|old| Entry::TaskRemoved {
        machine: machine.to_owned(),
        task: old.task.clone(),
        attempt: old.attempt,
    });
    let is_published =
        |new: &PublishedTask<'_>| published.stage(new.task, new.attempt) == Some(new.stage);
    let changed = current.clone().filter(|new| !is_published(new));
    let changes = changed.map(|new| Entry::Task {
        machine: machine.to_owned(),
        task: PlacedTask { task: new.task.to_owned(), attempt: new.attempt, stage: new.stage },
    });
    removals.chain(changes).collect()
}

/// Returns an upper estimate of the encoded size of an entry, in bytes.
fn max_encoded_bytes(entry: &Entry) -> usize {
    /// Upper estimate of the encoded size of an entry's variant, lengths and numbers. An entry for a job counts it
    /// twice, because the job's state has more numbers.
    const FIXED_BYTES: usize = 32;
    let variable_bytes = match entry {
        Entry::Machine { name, address, .. } => name.len() + address.len(),
        Entry::MachineRemoved { name } => name.len(),
        Entry::Task { machine, task } => machine.len() + task.task.len(),
        Entry::TaskRemoved { machine, task, .. } => machine.len() + task.len(),
        Entry::Job { id, job } => {
            let machines = job.failed_machines.iter().map(|machine| machine.len() + 1);
            FIXED_BYTES + id.len() + machines.sum::<usize>()
        }
        Entry::JobRemoved { id } => id.len(),
    };
    FIXED_BYTES + variable_bytes
}
