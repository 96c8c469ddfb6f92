//! The asking side: collects the status requests of users into questions to the leader.

use crate::peer_job_status::PeerJobStatus;
use crate::records::{
    StatusAnswerRecord, StatusQuestionRecord, status_answer_key, status_question_key,
};
use hookway_clients::{CommitOutcome, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::{JobId, Operation, Transaction, WatchEvent};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// A user's status request that waits for an answer of the leader.
#[derive(Debug)]
struct Query {
    job: JobId,
    reply: oneshot::Sender<PeerJobStatus>,
}

/// Why a question has no answer.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    /// A request to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The leader did not answer in time.
    #[error("no answer of the leader in the store")]
    Timeout,
}

/// The handle through which status requests reach the [`StatusRelayActor`].
#[derive(Debug, Clone)]
pub struct StatusRelay {
    queries: mpsc::Sender<Query>,
}

impl StatusRelay {
    /// Creates the handle and the actor of the controller `controller_name`.
    pub fn new(controller_name: &str, store: StoreClient) -> (Self, StatusRelayActor) {
        let (sender, queries) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let controller_name = controller_name.to_owned();
        let next_question_at = Instant::now();
        (
            Self { queries: sender },
            StatusRelayActor { controller_name, store, queries, next_question_at },
        )
    }

    /// Asks the leader for the status of a job through the store. Returns `None` if it does not
    /// answer in time, or can't tell either.
    pub async fn ask(&self, job: &JobId) -> Option<PeerJobStatus> {
        let (reply, answer) = oneshot::channel();
        self.queries.try_send(Query { job: job.clone(), reply }).ok()?;
        answer.await.ok()
    }
}

/// Asks the leader for the statuses of jobs through the store, one question at a time.
#[derive(Debug)]
pub struct StatusRelayActor {
    controller_name: String,
    store: StoreClient,
    queries: mpsc::Receiver<Query>,
    next_question_at: Instant,
}

impl StatusRelayActor {
    /// Runs until all handles are gone.
    pub async fn run(mut self) {
        while let Some(first) = self.queries.recv().await {
            sleep_until(self.next_question_at).await;
            let queries = self.collect(first);
            if queries.is_empty() {
                continue;
            }
            self.next_question_at = Instant::now() + constants::STATUS_RELAY_INTERVAL;
            match self.exchange(&queries).await {
                Ok(answer) => reply_to(queries, answer),
                Err(error) => {
                    tracing::debug!(%error, "asking the leader through the store failed");
                    self.next_question_at = Instant::now() + constants::STATUS_RELAY_BACKOFF;
                }
            }
        }
    }

    /// Returns the queries of the next question: those that still wait, up to the maximum.
    fn collect(&mut self, first: Query) -> Vec<Query> {
        let mut queries = vec![first];
        queries.retain(is_waiting);
        while queries.len() < constants::STATUS_RELAY_MAX_JOBS
            && let Ok(query) = self.queries.try_recv()
        {
            queries.extend(Some(query).filter(is_waiting));
        }
        queries
    }

    /// Writes a question and waits for its answer.
    async fn exchange(&self, queries: &[Query]) -> Result<StatusAnswerRecord, RelayError> {
        let jobs = queries.iter().map(|query| query.job.clone()).collect();
        let question = StatusQuestionRecord { question: rand::random(), jobs };
        let deadline = Instant::now() + constants::STATUS_RELAY_TIMEOUT;
        let mut revision = self.write(&question).await?;
        loop {
            let wait = deadline.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return Err(RelayError::Timeout);
            }
            let key = status_answer_key(&self.controller_name);
            let response = self.store.watch(&key, revision, wait).await?;
            revision = revision.max(response.revision);
            let mut answers =
                response.events.into_iter().filter_map(|event| answer_in(event, &key));
            if let Some(answer) = answers.find(|answer| answer.question == question.question) {
                return Ok(answer);
            }
        }
    }

    /// Writes a question. Returns the revision of the store at which it was written.
    async fn write(&self, question: &StatusQuestionRecord) -> Result<u64, RelayError> {
        let value = serde_json::to_value(question)
            .map_err(|error| StoreError::Rejected(error.to_string()))?;
        let put = Operation::put(status_question_key(&self.controller_name), value);
        let transaction = Transaction { preconditions: vec![], operations: vec![put] };
        match self.store.commit(&transaction).await? {
            CommitOutcome::Applied(revision) => Ok(revision),
            CommitOutcome::PreconditionFailed(_) => Err(RelayError::Timeout),
        }
    }
}

/// Whether somebody still waits for the answer to a query.
fn is_waiting(query: &Query) -> bool {
    !query.reply.is_closed()
}

/// Returns the answer that an event writes to `key`, if it does.
fn answer_in(event: WatchEvent, key: &str) -> Option<StatusAnswerRecord> {
    match event {
        WatchEvent::Put { key: written, value, .. } if written == key => {
            serde_json::from_value(value).ok()
        }
        WatchEvent::Put { .. } | WatchEvent::Delete { .. } => None,
    }
}

/// Replies to the queries that the answer names. The others get no reply.
fn reply_to(queries: Vec<Query>, answer: StatusAnswerRecord) {
    for query in queries {
        if let Some(status) = answer.statuses.iter().find(|status| status.id == query.job) {
            let _ = query.reply.send(status.clone().into());
        }
    }
}
