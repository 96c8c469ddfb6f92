//! The start watermark of a job: how far its tasks may have been started, as the state service says.
//!
//! A task is started only after the state service holds a watermark above its index. So the next
//! leader knows which tasks no earlier leader has started, and need not wait for machines that have
//! not sent a heartbeat yet before it starts those.

/// The start watermark of one job. All positions are task indexes.
#[derive(Debug)]
pub(super) struct StartWatermark {
    /// The job was accepted by a version that keeps start watermarks.
    accepted_with_watermark: bool,
    /// Tasks below it may be started: the state service says so.
    stored: u32,
    /// What the state service is to say.
    target: u32,
    /// Whether a record with `stored` is durable; `false` only for jobs of leaders without watermarks.
    record_current: bool,
    /// Tasks from it on were not started by any earlier leader.
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
            stored: 0,
            target: 0,
            record_current: true,
            never_started_from: 0,
            shared_record: None,
        }
    }

    /// Whether a task may be started: the state service says so.
    pub fn allows_start(&self, index: u32) -> bool {
        index < self.stored
    }

    /// Whether the state service says, or is to say, that a task may be started.
    pub fn covers(&self, index: u32) -> bool {
        index < self.highest()
    }

    /// What the state service is to say next.
    pub fn highest(&self) -> u32 {
        self.stored.max(self.target)
    }

    /// Tasks below `target` are to be startable.
    pub fn raise_target(&mut self, target: u32) {
        self.target = target;
    }

    /// Whether tasks wait for a record to be written.
    pub fn needs_record(&self) -> bool {
        self.target > self.stored || !self.record_current
    }

    /// Whether the state service says what this leader knows.
    pub fn is_record_current(&self) -> bool {
        self.record_current
    }

    /// Whether some task may be started.
    pub fn allows_any_start(&self) -> bool {
        self.stored > 0
    }

    /// A record with this watermark is durable.
    pub fn record_durable(&mut self, watermark: u32) {
        self.load(watermark);
        self.record_current = true;
    }

    /// A record of an earlier leader has this watermark.
    pub fn load(&mut self, watermark: u32) {
        self.stored = self.stored.max(watermark);
    }

    /// All of the job's `tasks` may have been started.
    pub fn assume_all_started(&mut self, tasks: u32) {
        self.stored = tasks;
    }

    /// All records of earlier leaders are loaded. Where they can't be relied on (`complete` is false
    /// or the job was accepted without a watermark), every one of the `tasks` may have been started,
    /// and the next leader must know it too.
    pub fn finish_loading(&mut self, tasks: u32, complete: bool) {
        if !self.accepted_with_watermark || !complete {
            self.stored = tasks;
            self.record_current = false;
        }
        self.never_started_from = self.stored;
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
