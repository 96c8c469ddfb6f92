//! Status requests for jobs.

use super::job_reader::StoredJob;
use super::{ApiService, Origin};
use crate::actor::ControllerRequest;
use crate::cluster_state::JobLookup;
use crate::peers::PeerRequest;
use crate::request_outcome::RequestOutcome;
use hookway_constants as constants;
use hookway_wire::JobId;

impl ApiService {
    /// Returns the state of a job. A state that can still change comes from the leader, or from a
    /// read of the store that began after this request; a final state may come from the cache.
    pub async fn status(&self, job: &JobId, origin: Origin) -> RequestOutcome {
        if let Some(status) = self.config.final_states.get(job) {
            return RequestOutcome::Known(status);
        }
        let term = self.own_term();
        let look_up = |reply| ControllerRequest::Status { job: job.clone(), reply };
        let lookup = self.config.controller.request(look_up).await;
        let is_leader = lookup.is_some();
        if let Some(JobLookup::Known(status)) = lookup {
            return self.known_job_outcome(status.into());
        }
        if !is_leader && origin == Origin::User {
            let request = PeerRequest::Status(job.to_string());
            if let Some(outcome) = self.ask_leader(&request, constants::PEER_TIMEOUT).await {
                return outcome;
            }
        }
        match self.job_reader.read(&self.config.stores.queries, job).await {
            Ok(StoredJob::Final(status)) => self.known_job_outcome(status),
            Ok(StoredJob::Active { key, value }) => {
                let status = self.queued_status(job, &value);
                if is_leader {
                    self.add_job_from_record(term, key, value).await;
                }
                RequestOutcome::Known(status)
            }
            Ok(StoredJob::Absent) => RequestOutcome::NotFound,
            Err(error) => {
                let request = PeerRequest::Status(job.to_string());
                self.ask_other_controllers(request, &error, origin).await
            }
        }
    }
}
