//! The start watermark of a job: how far its tasks may have been started.
//!
//! A task is started only after the state service holds a watermark above its index. So the next
//! leader knows which tasks no earlier leader has started, and need not wait for machines that have
//! not sent a heartbeat yet before it starts those.
//!
//! What is assumed and what is durable are kept apart. Where the records of earlier leaders can't be
//! relied on, all tasks are assumed to have been started; that forbids starts, and allows none until
//! a record that says the same is durable.

/// The start watermark of one job. All positions are task indexes.
#[derive(Debug)]
pub(super) struct StartWatermark {
    /// The job was accepted by a version that keeps start watermarks.
    accepted_with_watermark: bool,
    /// Tasks below it may be started: a record in the state service says so.
    durable: u32,
    /// What the record is to say.
    target: u32,
    /// Tasks from it on were not started by any earlier leader. Above `durable` it is an assumption.
    never_started_from: u32,
    /// The record shared with other small jobs that says that this job may have been started.
    shared_record: Option<u64>,
}

impl StartWatermark {
    /// The watermark of a job none of which may have been started. `accepted_with_watermark` says that the
    /// version that accepted the job keeps watermarks.
    pub fn new(accepted_with_watermark: bool) -> Self {
        Self {
            accepted_with_watermark,
            durable: 0,
            target: 0,
            never_started_from: 0,
            shared_record: None,
        }
    }

    /// Whether a task may be started: a durable record says so. An assumption does not allow it, since
    /// the next leader would not know of it.
    pub fn allows_start(&self, index: u32) -> bool {
        index < self.durable
    }

    /// Whether the state service says, or is to say, that a task may be started.
    pub fn covers(&self, index: u32) -> bool {
        index < self.highest()
    }

    /// What the state service is to say next.
    pub fn highest(&self) -> u32 {
        self.durable.max(self.target)
    }

    /// Tasks below `target` are to be startable.
    pub fn raise_target(&mut self, target: u32) {
        self.target = target;
    }

    /// Whether a record with a higher watermark is to be written.
    pub fn needs_record(&self) -> bool {
        self.target > self.durable
    }

    /// Whether tasks count as started that no durable record names.
    pub fn is_assumed(&self) -> bool {
        self.never_started_from > self.durable
    }

    /// A record with this watermark is durable, of this leader or an earlier one.
    pub fn record_durable(&mut self, watermark: u32) {
        self.durable = self.durable.max(watermark);
    }

    /// All of the job's `tasks` may have been started, although no record says so. One is to be
    /// written, so that the next leader knows it too.
    pub fn assume_all_started(&mut self, tasks: u32) {
        self.never_started_from = tasks;
        self.target = tasks;
    }

    /// All records of earlier leaders are loaded. Where they can't be relied on (`complete` is false
    /// or the job was accepted without a watermark), every one of the `tasks` may have been started.
    pub fn finish_loading(&mut self, tasks: u32, complete: bool) {
        if !self.accepted_with_watermark || !complete {
            self.assume_all_started(tasks);
        }
        self.never_started_from = self.never_started_from.max(self.durable);
    }

    /// Tasks from this index on were not started by any earlier leader.
    pub fn never_started_from(&self) -> u32 {
        self.never_started_from
    }

    /// The number of the record that the job shares with other small jobs.
    pub fn shared_record(&self) -> Option<u64> {
        self.shared_record
    }

    /// The job is named in this shared record.
    pub fn set_shared_record(&mut self, number: u64) {
        self.shared_record = Some(number);
    }
}

#[cfg(test)]
mod tests;
