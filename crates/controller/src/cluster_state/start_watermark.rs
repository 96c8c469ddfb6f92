//! The start watermark of a job: an upper bound, exclusive, on the indexes of the tasks that may
//! have been started.
//!
//! A task is started only after the store durably holds a watermark above its index. So the next
//! leader knows which tasks no earlier leader has started. It can start those without waiting for
//! machines that have not sent a heartbeat yet.
//!
//! Assumed and durable watermarks are kept apart. Where the records of earlier leaders are not
//! reliable, all tasks are assumed to have been started. Where the assumption forbids starts,
//! because the tasks don't count as never started, it does so at once. It allows starts only once a
//! record that says the same is durable.

/// The start watermark of one job. All bounds are task indexes.
#[derive(Debug)]
pub(super) struct StartWatermark {
    /// Whether the job was accepted by a version that keeps start watermarks.
    accepted_with_watermark: bool,
    /// Highest watermark of a durable record. Tasks below it may be started.
    durable: u32,
    /// Watermark that the next record is to hold.
    target: u32,
    /// No earlier leader has started a task with this index or a higher one. A value above
    /// `durable` is assumed.
    never_started_from: u32,
    /// Number of the record, shared with other small jobs, that names this job as possibly started
    /// or is to name it; `None` if there is none.
    shared_record_number: Option<u64>,
}

impl StartWatermark {
    /// Creates the watermark 0: no task of the job has been started, unless a record that is loaded
    /// later says otherwise. `accepted_with_watermark`: whether the version that accepted the job
    /// keeps watermarks.
    pub fn new(accepted_with_watermark: bool) -> Self {
        Self {
            accepted_with_watermark,
            durable: 0,
            target: 0,
            never_started_from: 0,
            shared_record_number: None,
        }
    }

    /// Whether a task may be started: a durable record has a watermark above its index. An
    /// assumption does not allow the start, since the next leader would not know of it.
    pub fn allows_start(&self, index: u32) -> bool {
        index < self.durable
    }

    /// Whether the durable watermark, or the one still to be written, is above a task's index.
    pub fn covers(&self, index: u32) -> bool {
        index < self.value_to_record()
    }

    /// Returns the watermark that the next record is to hold; never below the durable one.
    pub fn value_to_record(&self) -> u32 {
        self.durable.max(self.target)
    }

    /// Requests a record with the watermark `target`, so that the tasks below it may be started.
    pub fn set_target(&mut self, target: u32) {
        self.target = target;
    }

    /// Whether a record with a higher watermark has to be written.
    pub fn needs_record(&self) -> bool {
        self.target > self.durable
    }

    /// Whether tasks count as started that no durable record covers.
    pub fn is_assumed(&self) -> bool {
        self.never_started_from > self.durable
    }

    /// Marks a watermark as durable: this leader or an earlier one has stored a record with it.
    pub fn mark_durable(&mut self, watermark: u32) {
        self.durable = self.durable.max(watermark);
    }

    /// Assumes that all of the job's `tasks` may have been started, although no durable record says
    /// so. Requests a record of this, so that the next leader knows it as well.
    pub fn assume_all_started(&mut self, tasks: u32) {
        self.never_started_from = tasks;
        self.target = tasks;
    }

    /// Ends loading, once all records of earlier leaders are loaded. Where these are not reliable
    /// (`complete` is false, or the job was accepted without a watermark), every one of the `tasks`
    /// is assumed to have been started.
    pub fn finish_loading(&mut self, tasks: u32, complete: bool) {
        if !self.accepted_with_watermark || !complete {
            self.assume_all_started(tasks);
        }
        self.never_started_from = self.never_started_from.max(self.durable);
    }

    /// Returns the lowest index from which on no earlier leader has started any task.
    pub fn never_started_from(&self) -> u32 {
        self.never_started_from
    }

    /// Returns the number of the shared record that names the job, or is to name it; `None` if
    /// there is none.
    pub fn shared_record_number(&self) -> Option<u64> {
        self.shared_record_number
    }

    /// Sets the number of the shared record that names the job, or is to name it.
    pub fn set_shared_record_number(&mut self, number: u64) {
        self.shared_record_number = Some(number);
    }
}

#[cfg(test)]
mod tests;
