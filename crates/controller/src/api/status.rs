//! Status requests for jobs.

use super::job_reader::StoredJob;
use super::{ApiService, LeaderAnswer, Origin};
use crate::actor::ControllerRequest;
use crate::cluster_state::JobLookup;
use crate::peer_job_status::PeerJobStatus;
use crate::peers::PeerRequest;
use crate::proven_status::{JobDetails, JobEvidence, NoTaskRuns, ProvenStatus};
use crate::request_outcome::RequestOutcome;
use hookway_clients::StoreError;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::JobId;
use tokio::time::sleep;

/// The reason given to the user if a job has not ended and its tasks may be running.
const MAY_BE_RUNNING: &str = "not known yet whether tasks of the job run";

/// What the store proves about a job.
enum StoredEvidence {
    /// The job has ended in this state.
    Ended(PeerJobStatus),
    /// The job was accepted and has not ended.
    Unfinished(JobEvidence),
    /// The job was never accepted.
    Absent,
}

impl ApiService {
    /// Answers the status request of a user. A job that may be running and has got no answer for
    /// long is presumed to run.
    pub async fn user_status(&self, job: &JobId) -> RequestOutcome {
        let outcome = self.status(job, Origin::User).await;
        if matches!(outcome, RequestOutcome::Unavailable(_))
            && let Ok(mut jobs) = self.unanswered_jobs.lock()
        {
            jobs.record_unanswered(job, self.now());
        }
        outcome
    }

    /// Returns the state of a job as far as it is proven. A state that can still change comes from
    /// the leader, or from a read of the store that began after this request; a final state may
    /// come from the cache.
    pub async fn status(&self, job: &JobId, origin: Origin) -> RequestOutcome {
        if let Some(status) = self.config.final_states.get(job) {
            return RequestOutcome::Known(status);
        }
        let term = self.own_term();
        match self.look_up(job).await {
            Some(JobLookup::Known(evidence)) => self.evidence_outcome(evidence, origin),
            Some(JobLookup::FinalStateIndeterminate { unless_ended }) => {
                self.status_unless_ended(job, unless_ended, origin).await
            }
            Some(JobLookup::UnknownJob) => self.status_of_unknown_job(job, term, origin).await,
            None => self.status_without_leading(job, origin).await,
        }
    }

    /// Looks a job up in the cluster state of this controller; `None` if it does not lead or must
    /// not decide. The actor probes the workers that may run tasks of the job unheard, so a job that
    /// may be running is looked up again once they have had time to answer.
    async fn look_up(&self, job: &JobId) -> Option<JobLookup> {
        let lookup = self.look_up_once(job).await?;
        if !matches!(lookup, JobLookup::Known(JobEvidence::MayBeRunning(_))) {
            return Some(lookup);
        }
        sleep(constants::STATUS_PROBE_WAIT).await;
        self.look_up_once(job).await
    }

    async fn look_up_once(&self, job: &JobId) -> Option<JobLookup> {
        let look_up = |reply| ControllerRequest::Status { job: job.clone(), reply };
        self.config.controller.request(look_up).await
    }

    /// Returns the state of a job that this leader is ending. The store tells whether it has ended.
    async fn status_unless_ended(
        &self,
        job: &JobId,
        unless_ended: JobEvidence,
        origin: Origin,
    ) -> RequestOutcome {
        match self.job_reader.read(&self.config.stores.queries, job).await {
            Ok(StoredJob::Final(status)) => self.known_job_outcome(status),
            Ok(StoredJob::Active { .. }) => self.evidence_outcome(unless_ended, origin),
            Ok(StoredJob::Absent) => RequestOutcome::NotFound,
            Err(error) => self.status_from_other_controllers(job, &error, origin).await,
        }
    }

    /// Returns the state of a job that this leader does not know. If the store has its record, the
    /// job was accepted a moment ago and is added to the cluster state.
    async fn status_of_unknown_job(
        &self,
        job: &JobId,
        term: Option<u64>,
        origin: Origin,
    ) -> RequestOutcome {
        match self.job_reader.read(&self.config.stores.queries, job).await {
            Ok(StoredJob::Final(status)) => return self.known_job_outcome(status),
            Ok(StoredJob::Absent) => return RequestOutcome::NotFound,
            Ok(StoredJob::Active { key, value }) => {
                self.add_job_from_record(term, key, value).await;
            }
            Err(error) => return self.status_from_other_controllers(job, &error, origin).await,
        }
        if let Some(JobLookup::Known(evidence)) = self.look_up(job).await {
            return self.evidence_outcome(evidence, origin);
        }
        self.status_from_store(job, origin).await
    }

    /// Returns the state of a job according to the leader or, without it, according to the store.
    async fn status_without_leading(&self, job: &JobId, origin: Origin) -> RequestOutcome {
        if origin == Origin::Peer {
            return self.status_from_store(job, origin).await;
        }
        let request = PeerRequest::Status(job.to_string());
        match self.ask_leader(&request, constants::PEER_TIMEOUT).await {
            LeaderAnswer::Outcome(outcome) => outcome,
            LeaderAnswer::Undecided => self.status_from_store(job, origin).await,
            LeaderAnswer::Unreachable => self.status_through_store(job).await,
        }
    }

    /// Returns the state of a job for a user, according to the store or to the leader, which can be
    /// asked through the store only.
    async fn status_through_store(&self, job: &JobId) -> RequestOutcome {
        let evidence = self.stored_evidence(job).await;
        if let Ok(StoredEvidence::Unfinished(JobEvidence::MayBeRunning(_))) = &evidence
            && let Some(status) = self.config.status_relay.ask(job).await
        {
            return self.known_job_outcome(status);
        }
        self.stored_evidence_outcome(job, evidence, Origin::User).await
    }

    /// Returns the state of a job that the store proves.
    async fn status_from_store(&self, job: &JobId, origin: Origin) -> RequestOutcome {
        let evidence = self.stored_evidence(job).await;
        self.stored_evidence_outcome(job, evidence, origin).await
    }

    async fn stored_evidence_outcome(
        &self,
        job: &JobId,
        evidence: Result<StoredEvidence, StoreError>,
        origin: Origin,
    ) -> RequestOutcome {
        match evidence {
            Ok(StoredEvidence::Ended(status)) => self.known_job_outcome(status),
            Ok(StoredEvidence::Unfinished(evidence)) => self.evidence_outcome(evidence, origin),
            Ok(StoredEvidence::Absent) => RequestOutcome::NotFound,
            Err(error) => self.status_from_other_controllers(job, &error, origin).await,
        }
    }

    /// Returns what the records in the store prove about a job. The job's record is read after the
    /// start records: see [`StartRecords`](super::StartRecords).
    async fn stored_evidence(&self, job: &JobId) -> Result<StoredEvidence, StoreError> {
        let store = &self.config.stores.queries;
        let mut start_records = self.start_records.fresh();
        let mut stored = self.job_reader.read(store, job).await?;
        if start_records.is_none() && matches!(stored, StoredJob::Active { .. }) {
            start_records = self.start_records.refresh(store).await;
            stored = self.job_reader.read(store, job).await?;
        }
        let record = match stored {
            StoredJob::Final(status) => return Ok(StoredEvidence::Ended(status)),
            StoredJob::Absent => return Ok(StoredEvidence::Absent),
            StoredJob::Active { value, .. } => value,
        };
        let details = self.details_from_record(job, &record);
        let never_started =
            start_records.is_some_and(|records| records.prove_never_started(job, &record));
        Ok(StoredEvidence::Unfinished(if never_started {
            JobEvidence::Proven(ProvenStatus::queued(details, NoTaskRuns::NeverStarted))
        } else {
            JobEvidence::MayBeRunning(details)
        }))
    }

    /// Returns the outcome of a status request for an accepted job.
    fn evidence_outcome(&self, evidence: JobEvidence, origin: Origin) -> RequestOutcome {
        match evidence {
            JobEvidence::Proven(status) => self.known_job_outcome(status.into()),
            JobEvidence::MayBeRunning(details)
                if origin == Origin::User && self.is_presumed_running(&details.id) =>
            {
                RequestOutcome::Known(details.presumed_running())
            }
            JobEvidence::MayBeRunning(_) => RequestOutcome::unavailable(MAY_BE_RUNNING),
        }
    }

    /// Whether a job is presumed to run, since a user has asked in vain for too long.
    fn is_presumed_running(&self, job: &JobId) -> bool {
        let now = self.now();
        self.unanswered_jobs.lock().is_ok_and(|jobs| jobs.is_presumed_running(job, now))
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.created_at.elapsed()
    }

    /// Passes a status request that failed at the store on to the other controllers.
    async fn status_from_other_controllers(
        &self,
        job: &JobId,
        error: &StoreError,
        origin: Origin,
    ) -> RequestOutcome {
        self.ask_other_controllers(PeerRequest::Status(job.to_string()), error, origin).await
    }

    /// Returns what the record of an unfinished job shows to users.
    pub(super) fn details_from_record(
        &self,
        job: &JobId,
        record: &serde_json::Value,
    ) -> JobDetails {
        JobDetails {
            id: job.clone(),
            done: 0,
            team: super::team_in_record(record),
            leader: self.leader(),
            notes: vec![],
        }
    }
}
