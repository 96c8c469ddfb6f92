//! The leader's side: from its picture to the log, and from the log to answers.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::image::{Image, ImageError};
use crate::log::ReplicationLog;
use crate::message::{FollowAnswer, FollowBody, FollowRequest, Held};
use crate::position::Position;
use crate::state::{JobHints, PlacedTask, ReplicatedState, Stage};
use hookway_constants as constants;
use std::collections::BTreeMap;

/// A task as the leader has it at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskView<'a> {
    /// The task.
    pub task: &'a str,
    /// The attempt.
    pub attempt: u64,
    /// How far it has come.
    pub stage: Stage,
}

/// A machine as the leader has it at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where its worker listens.
    pub address: &'a str,
    /// Its worker's session.
    pub session: u64,
}

/// Publishes the changes of a leader's picture. The leader shows machines and jobs as often as it likes; what differs
/// from the last time becomes entries. A leader that now and then shows everything can forget no change for long,
/// wherever it was made.
#[derive(Debug)]
pub struct Publisher {
    /// What followers have once they have applied the whole log.
    state: ReplicatedState,
    log: ReplicationLog,
    /// An image that followers fetch at this moment.
    image: Option<Image>,
    /// By follower: the range that it compares next, and when it compared the last one, ms.
    digests: BTreeMap<String, (u32, u64)>,
}

impl Publisher {
    /// For the leader of a term.
    pub fn new(term: u64) -> Self {
        Self {
            state: ReplicatedState::default(),
            log: ReplicationLog::new(term, constants::REPLICATION_LOG_ENTRIES),
            image: None,
            digests: BTreeMap::new(),
        }
    }

    /// Where the log ends.
    pub fn end(&self) -> Position {
        self.log.end()
    }

    /// What followers have once they have applied the whole log.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    fn publish(&mut self, entry: Entry) {
        // Every entry is made from a difference to this very state, so it applies.
        if self.state.apply(entry.clone()).is_ok() {
            self.log.append(entry);
        }
    }

    /// Shows a machine with everything on it.
    pub fn show_machine<'a>(
        &mut self,
        view: MachineView<'_>,
        tasks: impl Iterator<Item = TaskView<'a>> + Clone,
    ) {
        let known = self.state.machines.get(view.name);
        let described =
            known.is_some_and(|m| m.address == view.address && m.session == view.session);
        if !described {
            self.publish(Entry::Machine {
                name: view.name.to_owned(),
                address: view.address.to_owned(),
                session: view.session,
            });
        }
        let Some(known) = self.state.machines.get(view.name) else { return };
        let unchanged = |t: TaskView<'_>| known.stage(t.task, t.attempt) == Some(t.stage);
        let shown = tasks.clone().count();
        if shown == known.tasks().len() && tasks.clone().all(unchanged) {
            return;
        }
        for entry in changes(view.name, known.tasks(), tasks) {
            self.publish(entry);
        }
    }

    /// The leader does not have a machine any more, or never had it.
    pub fn drop_machine(&mut self, name: &str) {
        if self.state.machines.contains_key(name) {
            self.publish(Entry::MachineGone { name: name.to_owned() });
        }
    }

    /// Drops all machines that the leader does not have any more.
    pub fn retain_machines(&mut self, exists: impl Fn(&str) -> bool) {
        let gone: Vec<String> =
            self.state.machines.keys().filter(|name| !exists(name)).cloned().collect();
        gone.iter().for_each(|name| self.drop_machine(name));
    }

    /// Shows what is known of a job beside its records.
    pub fn show_job(&mut self, id: &str, hints: JobHints) {
        if self.state.jobs.get(id) != Some(&hints) {
            self.publish(Entry::Job { id: id.to_owned(), hints });
        }
    }

    /// Drops jobs that the leader does not have any more. `shown` is how many it has.
    pub fn retain_jobs(&mut self, shown: usize, exists: impl Fn(&str) -> bool) {
        if self.state.jobs.len() == shown {
            return;
        }
        let gone: Vec<String> = self.state.jobs.keys().filter(|id| !exists(id)).cloned().collect();
        for id in gone {
            self.publish(Entry::JobGone { id });
        }
    }

    /// Answers a follower at `now`, ms. An error means that the state is too large for an image.
    pub fn answer(
        &mut self,
        request: &FollowRequest,
        now: u64,
    ) -> Result<FollowAnswer, ImageError> {
        let end = self.log.end();
        if let Held::Through(after) = request.held
            && let Some(body) = self.entries(&request.follower, after, now)
        {
            return Ok(FollowAnswer { end, body });
        }
        let wanted = match request.held {
            Held::Pieces(position, next) => Some((position, next)),
            Held::Nothing | Held::Through(_) => None,
        };
        let body = FollowBody::Piece(self.piece(wanted, now)?);
        Ok(FollowAnswer { end, body })
    }

    /// What follows a position, as much as one message holds.
    fn entries(&mut self, follower: &str, after: Position, now: u64) -> Option<FollowBody> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.log.after(after)? {
            bytes += size(entry);
            if bytes > constants::REPLICATION_PIECE_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        // A digest is of the whole log's state: only who has all of it can compare.
        let whole = after.index + entries.len() as u64 == self.log.end().index;
        let digest = if whole { self.next_digest(follower, now) } else { None };
        Some(FollowBody::Entries { after, entries, digest })
    }

    /// The digest of the next range, if one is due for this follower.
    fn next_digest(&mut self, follower: &str, now: u64) -> Option<RangeDigest> {
        let (range, at) = self.digests.entry(follower.to_owned()).or_default();
        if now < *at + constants::REPLICATION_DIGEST_INTERVAL_MS {
            return None;
        }
        let digest = RangeDigest::of(&self.state, *range);
        *at = now;
        *range = (*range + 1) % constants::REPLICATION_DIGEST_RANGES;
        digest
    }

    /// The piece that a follower is at, of the image that it fetches; else the first one of an image that the log
    /// goes on from.
    fn piece(
        &mut self,
        wanted: Option<(Position, u32)>,
        now: u64,
    ) -> Result<crate::ImagePiece, ImageError> {
        if let Some((position, number)) = wanted
            && let Some(image) = self.image.as_ref().filter(|i| i.position == position)
            && self.log.reaches(position)
            && let Some(piece) = image.piece(number)
        {
            return Ok(piece);
        }
        let log = &self.log;
        let young = |i: &Image| {
            now < i.made_at + constants::REPLICATION_IMAGE_LIFETIME_MS && log.reaches(i.position)
        };
        let image = match self.image.take().filter(young) {
            Some(image) => image,
            None => Image::new(&self.state, self.log.end(), now)?,
        };
        let first = image.piece(0);
        self.image = Some(image);
        first.ok_or(ImageError::PieceLength(0))
    }
}

/// Entries that turn what is known to be on a machine into what the leader shows.
fn changes<'a>(
    machine: &str,
    known: &[PlacedTask],
    shown: impl Iterator<Item = TaskView<'a>> + Clone,
) -> Vec<Entry> {
    let is_shown =
        |k: &PlacedTask| shown.clone().any(|t| t.attempt == k.attempt && t.task == k.task);
    let gone = known.iter().filter(|k| !is_shown(k)).map(|k| Entry::TaskGone {
        machine: machine.to_owned(),
        task: k.task.clone(),
        attempt: k.attempt,
    });
    let is_known = |t: &TaskView<'_>| {
        known.iter().any(|k| k.attempt == t.attempt && k.task == t.task && k.stage == t.stage)
    };
    let new = shown.clone().filter(|t| !is_known(t)).map(|t| Entry::Task {
        machine: machine.to_owned(),
        task: PlacedTask { task: t.task.to_owned(), attempt: t.attempt, stage: t.stage },
    });
    gone.chain(new).collect()
}

/// What an entry takes in a message, bytes, or a little more.
fn size(entry: &Entry) -> usize {
    const NUMBERS: usize = 32;
    NUMBERS
        + match entry {
            Entry::Machine { name, address, .. } => name.len() + address.len(),
            Entry::MachineGone { name } => name.len(),
            Entry::Task { machine, task } => machine.len() + task.task.len(),
            Entry::TaskGone { machine, task, .. } => machine.len() + task.len(),
            Entry::Job { id, hints } => {
                NUMBERS + id.len() + hints.failed_on.iter().map(|m| m.len() + 1).sum::<usize>()
            }
            Entry::JobGone { id } => id.len(),
        }
}
