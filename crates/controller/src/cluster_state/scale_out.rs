//! Scale out: decides what to request from the cloud, and tracks the requests in flight.

use super::{ClusterState, Machine};
use hookway_constants as constants;
use hookway_policy::{MachineOffer, MachineView, Resources, ScalingPlan};
use hookway_time::MonotonicTime;
use hookway_wire::{MachineType, ScaleOutRequest};
use std::collections::{HashMap, HashSet};

/// Lower bound of the number of scale-out requests that may be in flight, however low the cloud's
/// rate limit is: a request that is answered late must not block all others.
const MIN_PENDING_REQUESTS: f64 = 2.0;

/// Machines of one type, zone and purchase option, which share the cloud's capacity.
///
/// The type has its name here: the cloud's list of types is read again while requests are in
/// flight, and may have another order or lack a type.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CapacityPool {
    /// Name of the machine type.
    machine_type: String,
    /// Index of the zone.
    zone: usize,
    spot: bool,
}

/// A scale-out request that the cloud has not answered.
#[derive(Debug, Clone)]
struct PendingScaleOut {
    request_id: String,
    pool: CapacityPool,
    count: u32,
}

/// The scale-out requests in flight, and the pools that recently had no capacity.
#[derive(Debug, Default)]
pub(super) struct ScaleOutState {
    /// Number of requests made in this term; the last part of the newest request id.
    last_request: u64,
    pending: Vec<PendingScaleOut>,
    /// Pools without capacity, with the time until which nothing is requested from them.
    unavailable_until: HashMap<CapacityPool, MonotonicTime>,
}

impl ScaleOutState {
    /// Whether machines may be requested from a pool: it did not recently lack capacity, and no
    /// request for it is in flight. The machines of a request in flight count as booting, and more
    /// requests before its answer would only queue up.
    fn may_request(&self, pool: &CapacityPool, now: MonotonicTime) -> bool {
        let unavailable = self.unavailable_until.get(pool).is_some_and(|until| now < *until);
        !unavailable && !self.pending.iter().any(|pending| pending.pool == *pool)
    }

    /// Removes and returns the request in flight with this id; `None` if there is none.
    fn remove(&mut self, request_id: &str) -> Option<PendingScaleOut> {
        let position = self.pending.iter().position(|p| p.request_id == request_id)?;
        Some(self.pending.swap_remove(position))
    }
}

impl ClusterState {
    /// Returns the machines that may be requested at `now`, leaving out `partitioned` zones.
    pub(super) fn offers(
        &self,
        partitioned: &HashSet<String>,
        now: MonotonicTime,
    ) -> Vec<MachineOffer> {
        let mut offers = Vec::new();
        for (machine_type, offered) in self.machine_types.iter().enumerate() {
            for name in offered.zones.iter().filter(|name| !partitioned.contains(*name)) {
                let Some(zone) = self.config.platform.zone(name) else { continue };
                let prices = [(false, Some(offered.price_per_hour)), (true, offered.spot_price)];
                for (spot, price) in prices {
                    let pool = CapacityPool { machine_type: offered.name.clone(), zone, spot };
                    if let Some(price) = price
                        && self.scale_outs.may_request(&pool, now)
                    {
                        offers.push(MachineOffer { machine_type, zone, is_spot: spot, price });
                    }
                }
            }
        }
        offers
    }

    /// Returns the policy's views of the machines of requests in flight, which count as booting.
    /// Machines of a type that is not offered any more are left out, since the policy does not know
    /// it.
    pub(super) fn pending_machine_views(&self) -> Vec<MachineView> {
        let mut views = Vec::new();
        for PendingScaleOut { pool, count, .. } in &self.scale_outs.pending {
            let is_of_pool = |offered: &MachineType| offered.name == pool.machine_type;
            let Some(machine_type) = self.machine_types.iter().position(is_of_pool) else {
                continue;
            };
            let capacity = Resources::of_machine_type(&self.machine_types[machine_type]);
            let view = MachineView {
                machine_type,
                zone: pool.zone,
                is_spot: pool.spot,
                capacity,
                free: capacity,
                price: 0.0,
                images: vec![],
                schedulable: false,
                booting: true,
                reserved_for: None,
                excluded_jobs: vec![],
                placed_tasks: vec![],
            };
            views.extend(std::iter::repeat_n(view, *count as usize));
        }
        views
    }

    /// Creates the requests for the machines of a plan, within the operator's limit on the number
    /// of machines. `planned_machines` is the number of machines that the plan has taken into
    /// account, including those of requests in flight.
    pub(super) fn request_scale_out(
        &mut self,
        plan: &ScalingPlan,
        offers: &[MachineOffer],
        planned_machines: usize,
    ) -> Vec<ScaleOutRequest> {
        let machines = planned_machines.max(self.machines.len());
        let allowed = self.config.operator.max_machines.saturating_sub(machines);
        let mut remaining = u32::try_from(allowed).unwrap_or(u32::MAX);
        // No more requests are in flight than the cloud accepts within about a second: a request
        // that waits in a queue is out of date by the time it is sent.
        let max_pending = self.config.platform.cloud.rps.max(MIN_PENDING_REQUESTS) as usize;
        let mut requests = Vec::new();
        for scale_out in &plan.scale_out {
            let count = scale_out.count.min(constants::MAX_SCALE_OUT_MACHINES).min(remaining);
            if count > 0 && self.scale_outs.pending.len() < max_pending {
                remaining -= count;
                requests.push(self.new_request(&offers[scale_out.offer], count));
            }
        }
        requests
    }

    /// Creates a request for `count` machines, which counts as in flight from now on.
    fn new_request(&mut self, offer: &MachineOffer, count: u32) -> ScaleOutRequest {
        self.scale_outs.last_request += 1;
        // The term makes the id unique among all controllers.
        let request_id = format!("h-{}-{}", self.term, self.scale_outs.last_request);
        let machine_type = self.machine_types[offer.machine_type].name.clone();
        let request = ScaleOutRequest {
            request_id: request_id.clone(),
            machine_type: machine_type.clone(),
            zone: self.config.platform.zones[offer.zone].clone(),
            spot: offer.is_spot,
            count,
        };
        tracing::info!(
            request = %request_id, count, machine_type = %request.machine_type,
            zone = %request.zone, spot = request.spot, "scale out requested"
        );
        let pool = CapacityPool { machine_type, zone: offer.zone, spot: offer.is_spot };
        self.scale_outs.pending.push(PendingScaleOut { request_id, pool, count });
        request
    }

    /// Applies the cloud's answer, received at `now`, to a scale-out request. `machines` has the
    /// names of the new machines, and is `None` if the pool had no capacity.
    pub fn scale_out_finished(
        &mut self,
        request: &ScaleOutRequest,
        machines: Option<Vec<String>>,
        now: MonotonicTime,
    ) {
        let Some(pending) = self.scale_outs.remove(&request.request_id) else { return };
        let added = machines.as_ref().map_or(0, Vec::len);
        tracing::info!(
            request = %pending.request_id, added, requested = pending.count, "scale out finished"
        );
        if added < pending.count as usize {
            let until = now + constants::UNAVAILABLE_CAPACITY_BACKOFF;
            self.scale_outs.unavailable_until.insert(pending.pool, until);
        }
        for name in machines.unwrap_or_default() {
            if self.removed_machines.contains(&name) {
                continue;
            }
            let machine = self.machines.entry(name).or_insert_with(|| Machine::new(now));
            if !machine.has_reported {
                machine.machine_type.clone_from(&request.machine_type);
                machine.zone.clone_from(&request.zone);
                machine.is_spot = request.spot;
            }
        }
    }
}
