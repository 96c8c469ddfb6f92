//! Jobs whose status users have asked for in vain.

use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::JobId;
use std::collections::HashMap;

/// When users asked for the status of a job without an answer.
#[derive(Debug, Clone, Copy)]
struct UnansweredSpan {
    first_asked_at: MonotonicTime,
    last_asked_at: MonotonicTime,
}

/// The jobs for which this controller has not given users a status, up to
/// [`constants::MAX_UNANSWERED_JOBS`] of them.
///
/// A job that gets no answer for long counts as forgotten, which is worse for its user than a state
/// that lags. So after [`constants::UNANSWERED_STATUS_TIMEOUT`] a job that may be running is
/// presumed to run: a task of it was started, and nothing shows that it has ended.
#[derive(Debug, Default)]
pub struct UnansweredJobs {
    jobs: HashMap<JobId, UnansweredSpan>,
}

impl UnansweredJobs {
    /// Whether a job that may be running is presumed to run at `now`, since requests for its status
    /// were not answered for too long.
    pub fn is_presumed_running(&self, job: &JobId, now: MonotonicTime) -> bool {
        self.jobs.get(job).is_some_and(|span| {
            span.is_current(now)
                && now >= span.first_asked_at + constants::UNANSWERED_STATUS_TIMEOUT
        })
    }

    /// Records a request at `now` for the status of a job that was not answered, for any reason.
    pub fn record_unanswered(&mut self, job: &JobId, now: MonotonicTime) {
        if self.jobs.len() >= constants::MAX_UNANSWERED_JOBS && !self.jobs.contains_key(job) {
            self.jobs.retain(|_, span| span.is_current(now));
            if self.jobs.len() >= constants::MAX_UNANSWERED_JOBS {
                return;
            }
        }
        let asked_now = UnansweredSpan { first_asked_at: now, last_asked_at: now };
        let span = self.jobs.entry(job.clone()).or_insert(asked_now);
        if !span.is_current(now) {
            *span = asked_now;
        }
        span.last_asked_at = now;
    }

    /// Records that a request for the status of a job was answered with a proven state.
    pub fn mark_answered(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }
}

impl UnansweredSpan {
    /// Whether the users who asked may still wait for the answer at this controller.
    fn is_current(&self, now: MonotonicTime) -> bool {
        now <= self.last_asked_at + constants::UNANSWERED_STATUS_MAX_GAP
    }
}

#[cfg(test)]
mod tests;
