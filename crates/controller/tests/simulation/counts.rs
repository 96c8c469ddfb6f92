//! How often each event of interest occurred.

/// Counters of events that a day must contain to test anything.
#[derive(Debug, Default)]
pub struct EventCounts {
    pub starts: usize,
    pub errors: usize,
    pub probe_responses: usize,
    pub lessee_extensions: usize,
    pub stopped_by_lessees: usize,
    pub terms: usize,
    pub cancelled_without_leader: usize,
    pub cancelled: usize,
    pub status_queries: usize,
    pub resumed_terms: usize,
    pub quota_bound_starts: usize,
    pub zone_bound_starts: usize,
    pub replica_starts: usize,
    pub replicas_in_place: usize,
    pub divided_registry_records: usize,
    pub warm_starts: usize,
    pub completed_gangs: usize,
    pub refused_responses: usize,
    pub one_way_partitions: usize,
    pub lost_election_responses: usize,
    pub refused_terms: usize,
    /// Terms of leaders that did not know the watermarks before them to be complete.
    pub assumed_terms: usize,
}

impl EventCounts {
    /// The sums of both.
    pub fn and(self, other: &Self) -> Self {
        Self {
            starts: self.starts + other.starts,
            errors: self.errors + other.errors,
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
            replicas_in_place: self.replicas_in_place + other.replicas_in_place,
            divided_registry_records: self.divided_registry_records
                + other.divided_registry_records,
            warm_starts: self.warm_starts + other.warm_starts,
            completed_gangs: self.completed_gangs + other.completed_gangs,
            refused_responses: self.refused_responses + other.refused_responses,
            one_way_partitions: self.one_way_partitions + other.one_way_partitions,
            lost_election_responses: self.lost_election_responses + other.lost_election_responses,
            refused_terms: self.refused_terms + other.refused_terms,
            assumed_terms: self.assumed_terms + other.assumed_terms,
        }
    }
}
