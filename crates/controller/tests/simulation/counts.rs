//! Counters of the events of a simulated day.

/// Counters of the events that a day must contain, so that its checks test something.
#[derive(Debug, Default)]
pub struct EventCounts {
    pub starts: usize,
    /// Tasks that ended with an error.
    pub task_errors: usize,
    pub probe_responses: usize,
    /// Worker leases that a shard lessee extended.
    pub lessee_extensions: usize,
    /// Stop commands that shard lessees sent for tasks of finished jobs.
    pub stopped_by_lessees: usize,
    pub terms: usize,
    /// Cancellations that a controller wrote while nobody led.
    pub cancelled_without_leader: usize,
    /// Cancellations confirmed to users.
    pub cancelled: usize,
    pub status_queries: usize,
    /// Extensions of a leadership lease that had expired by the leader's own estimate.
    pub resumed_terms: usize,
    /// Starts of tasks of the team with the small quota.
    pub quota_bound_starts: usize,
    /// Starts of tasks of jobs with zone constraints.
    pub zone_bound_starts: usize,
    pub replica_starts: usize,
    /// Replicas that were found running at the check of replicas.
    pub running_replicas: usize,
    /// Registry records written by the new version, which divides them to fit the later value limit.
    pub divided_registry_records: usize,
    /// Terms that started from a usable standby copy.
    pub warm_starts: usize,
    /// Starts of gang tasks in an attempt of an earlier term: the new leader completes the gang.
    pub gang_completion_starts: usize,
    /// Responses that a follower could not apply to its copy.
    pub rejected_follow_responses: usize,
    pub one_way_partitions: usize,
    /// Interruptions of the network between the machines of a zone and all controllers, at a start command.
    pub network_interruptions: usize,
    /// Messages that were held back during such an interruption and delivered after it.
    pub held_messages: usize,
    pub lost_election_responses: usize,
    /// Answers to reads of the leader key that show another record than the list before it.
    pub leader_changes_between_reads: usize,
    /// Terms that began although the response to their election was lost.
    pub terms_found_by_read: usize,
    /// Leases of terms of earlier processes that were revoked.
    pub revoked_terms: usize,
    /// Terms in which the store refuses all writes of the leader.
    pub terms_with_refused_writes: usize,
    /// Terms whose leader did not know whether the start watermarks of all earlier terms are complete.
    pub terms_without_complete_watermarks: usize,
}

impl EventCounts {
    /// Returns the sum of each counter.
    pub fn plus(self, other: &Self) -> Self {
        Self {
            starts: self.starts + other.starts,
            task_errors: self.task_errors + other.task_errors,
            probe_responses: self.probe_responses + other.probe_responses,
            lessee_extensions: self.lessee_extensions + other.lessee_extensions,
            stopped_by_lessees: self.stopped_by_lessees + other.stopped_by_lessees,
            terms: self.terms + other.terms,
            cancelled_without_leader: self.cancelled_without_leader
                + other.cancelled_without_leader,
            cancelled: self.cancelled + other.cancelled,
            status_queries: self.status_queries + other.status_queries,
            resumed_terms: self.resumed_terms + other.resumed_terms,
            quota_bound_starts: self.quota_bound_starts + other.quota_bound_starts,
            zone_bound_starts: self.zone_bound_starts + other.zone_bound_starts,
            replica_starts: self.replica_starts + other.replica_starts,
            running_replicas: self.running_replicas + other.running_replicas,
            divided_registry_records: self.divided_registry_records
                + other.divided_registry_records,
            warm_starts: self.warm_starts + other.warm_starts,
            gang_completion_starts: self.gang_completion_starts + other.gang_completion_starts,
            rejected_follow_responses: self.rejected_follow_responses
                + other.rejected_follow_responses,
            one_way_partitions: self.one_way_partitions + other.one_way_partitions,
            network_interruptions: self.network_interruptions + other.network_interruptions,
            held_messages: self.held_messages + other.held_messages,
            lost_election_responses: self.lost_election_responses + other.lost_election_responses,
            leader_changes_between_reads: self.leader_changes_between_reads
                + other.leader_changes_between_reads,
            terms_found_by_read: self.terms_found_by_read + other.terms_found_by_read,
            revoked_terms: self.revoked_terms + other.revoked_terms,
            terms_with_refused_writes: self.terms_with_refused_writes
                + other.terms_with_refused_writes,
            terms_without_complete_watermarks: self.terms_without_complete_watermarks
                + other.terms_without_complete_watermarks,
        }
    }
}
