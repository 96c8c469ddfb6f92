//! The answering side: a leader answers the questions that other controllers leave in the store.

use crate::actor::{ControllerHandle, ControllerRequest};
use crate::cluster_state::JobLookup;
use crate::leadership::{LeaderTerm, LeadershipView};
use crate::proven_status::JobEvidence;
use crate::records::{
    STATUS_QUESTIONS_PREFIX, StatusAnswerRecord, StatusQuestionRecord, fits_value_limit,
    status_answer_key,
};
use hookway_clients::{StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::{JobId, JobStatus, Operation, Transaction, WatchEvent};
use tokio::sync::watch;
use tokio::time::sleep;

/// Answers questions about job statuses while this controller leads.
#[derive(Debug)]
pub struct StatusResponder {
    /// Sends requests to the controller actor, which knows the jobs.
    pub controller: ControllerHandle,
    /// The client for the watch of the questions and for the answers.
    pub store: StoreClient,
    /// The current leader, published by the election actor.
    pub leadership_view: watch::Receiver<LeadershipView>,
    /// Names of the other controllers, whose questions are answered.
    pub peers: Vec<String>,
    /// Maximum size of a value in the store, KiB.
    pub max_value_kb: f64,
}

impl StatusResponder {
    /// Runs until the election actor ends.
    pub async fn run(mut self) {
        while let Some(term) = self.next_own_term().await {
            if let Err(error) = self.answer_in_term(&term).await {
                tracing::debug!(%error, "watching for status questions failed");
                sleep(constants::WATCH_RETRY_DELAY).await;
            }
        }
    }

    /// Waits until this controller leads; `None` if the election actor has ended.
    async fn next_own_term(&mut self) -> Option<LeaderTerm> {
        let view = self.leadership_view.wait_for(|view| view.own_term.is_some()).await.ok()?;
        view.own_term.clone()
    }

    /// Answers questions until the term ends. Returns early if the watch fails.
    async fn answer_in_term(&self, term: &LeaderTerm) -> Result<(), StoreError> {
        let mut revision = self.store.list(STATUS_QUESTIONS_PREFIX).await?.revision;
        while self.leads_in(term) {
            let watch = self.store.watch(STATUS_QUESTIONS_PREFIX, revision, constants::WATCH_WAIT);
            let response = watch.await?;
            revision = revision.max(response.revision);
            for event in response.events {
                if let WatchEvent::Put { key, value, .. } = event
                    && self.leads_in(term)
                {
                    self.answer(term, &key, value).await?;
                }
            }
        }
        Ok(())
    }

    fn leads_in(&self, term: &LeaderTerm) -> bool {
        self.leadership_view.borrow().own_term.as_ref() == Some(term)
    }

    /// Answers the question under `key`, if it is one of another controller.
    async fn answer(
        &self,
        term: &LeaderTerm,
        key: &str,
        value: serde_json::Value,
    ) -> Result<(), StoreError> {
        let asker = key.strip_prefix(STATUS_QUESTIONS_PREFIX).unwrap_or_default();
        if !self.peers.iter().any(|peer| peer == asker) {
            return Ok(());
        }
        let Ok(question) = serde_json::from_value::<StatusQuestionRecord>(value) else {
            tracing::error!(key, "status question can't be read");
            return Ok(());
        };
        let answer = self.answer_record(question).await;
        let Ok(value) = serde_json::to_value(answer) else { return Ok(()) };
        let transaction = Transaction {
            preconditions: vec![term.precondition()],
            operations: vec![Operation::put(status_answer_key(asker), value)],
        };
        self.store.commit(&transaction).await.map(drop)
    }

    /// Returns the answer to a question: the proven statuses of its jobs, as many as fit a value.
    async fn answer_record(&self, question: StatusQuestionRecord) -> StatusAnswerRecord {
        let mut answer = StatusAnswerRecord { question: question.question, statuses: vec![] };
        for job in question.jobs.into_iter().take(constants::STATUS_RELAY_MAX_JOBS) {
            let Some(status) = self.proven_status(job).await else { continue };
            answer.statuses.push(JobStatus { notes: vec![], ..status });
            if !fits_value_limit(&answer, self.max_value_kb) {
                answer.statuses.pop();
                break;
            }
        }
        answer
    }

    /// Returns the status of a job; `None` if this controller can't prove it as the leader.
    async fn proven_status(&self, job: JobId) -> Option<JobStatus> {
        let look_up = |reply| ControllerRequest::Status { job, reply };
        match self.controller.request(look_up).await? {
            JobLookup::Known(JobEvidence::Proven(status)) => Some(status.into_status()),
            JobLookup::Known(JobEvidence::MayBeRunning(_))
            | JobLookup::FinalStateIndeterminate { .. }
            | JobLookup::UnknownJob => None,
        }
    }
}
