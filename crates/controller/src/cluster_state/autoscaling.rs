use super::task_removal::TaskRemoval;
use super::{ClusterState, Machine, worker_lease_expiry_ms};
use hookway_constants as constants;
use hookway_policy::{MachineOffer, MachineView, Resources, plan_scaling};
use hookway_wire::{ListedMachine, MachineState, MachineType, ScaleOutRequest};
use std::collections::{HashMap, HashSet};

/// Why a machine is given back that does not report any more.
pub(super) const SILENT: &str = "silent";

/// Something to ask of the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum ScalingAction {
    /// Rent; the answer goes to [`ClusterState::scale_out_finished`].
    ScaleOut(ScaleOutRequest),
    /// Delete; once the cloud has confirmed, [`ClusterState::scale_in_finished`].
    ScaleIn(Vec<String>),
}

/// A rental under way.
#[derive(Debug, Clone)]
pub(super) struct PendingScaleOut {
    request_id: String,
    machine_type: usize,
    zone: usize,
    spot: bool,
    count: u32,
}

impl ClusterState {
    fn offers(&self, now: u64) -> Vec<MachineOffer> {
        let mut offers = Vec::new();
        for (f, machine_type) in self.machine_types.iter().enumerate() {
            for zone in &machine_type.zones {
                let Some(zone) = self.config.platform.zone(zone) else {
                    continue;
                };
                for spot in [false, true] {
                    let price = if spot {
                        machine_type.spot_price
                    } else {
                        Some(machine_type.price_per_hour)
                    };
                    let sold_out = self
                        .unavailable_capacity
                        .get(&(f, zone, spot))
                        .is_some_and(|until| now < *until);
                    // One request at a time for each: what it brings counts as coming, and asking for
                    // more before its answer only makes a queue.
                    let asked = self
                        .pending_scale_outs
                        .iter()
                        .any(|r| (r.machine_type, r.zone, r.spot) == (f, zone, spot));
                    if let Some(price) = price.filter(|_| !sold_out && !asked) {
                        offers.push(MachineOffer { machine_type: f, zone, spot, price });
                    }
                }
            }
        }
        offers
    }

    /// One fleet round: rents what wanted work has no room on, returns what is idle, faulty, never
    /// came up or fell silent.
    pub fn autoscaling_round(&mut self, now: u64) -> Vec<ScalingAction> {
        if self.machine_types.is_empty() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let mut scene = self.scheduling_snapshot(now);
        // Jobs whose whereabouts are not settled yet still want the room they had.
        for r in &self.pending_scale_outs {
            let total = Resources::of_machine_type(&self.machine_types[r.machine_type]);
            for _ in 0..r.count {
                scene.cluster.machines.push(MachineView {
                    machine_type: r.machine_type,
                    zone: r.zone,
                    spot: r.spot,
                    total,
                    free: total,
                    price: 0.0,
                    images: vec![],
                    schedulable: false,
                    booting: true,
                    reserved_for: None,
                    excluded_by: vec![],
                    placed_tasks: vec![],
                });
            }
        }
        let cut = self.partitioned_zones(now);
        let mut offers = self.offers(now);
        offers.retain(|o| !cut.contains(&self.config.platform.zones[o.zone]));
        let plan = plan_scaling(&scene.cluster, &offers);
        let room = self
            .config
            .operator
            .max_machines
            .saturating_sub(scene.cluster.machines.len().max(self.machines.len()));
        let mut left = u32::try_from(room).unwrap_or(u32::MAX);
        for rent in plan.scale_out {
            let count = rent.count.min(constants::MAX_SCALE_OUT_MACHINES).min(left);
            // No more requests than the cloud takes within about a second: one that waits in a queue is
            // out of date when its turn comes.
            if count == 0
                || self.pending_scale_outs.len() >= self.config.platform.cloud.rps.max(2.0) as usize
            {
                continue;
            }
            left -= count;
            let offer = &offers[rent.offer];
            self.next_request += 1;
            // Never used again, by no node: the term leads the name.
            let request_id = format!("h-{}-{}", self.term, self.next_request);
            let request = ScaleOutRequest {
                request_id: request_id.clone(),
                machine_type: self.machine_types[offer.machine_type].name.clone(),
                zone: self.config.platform.zones[offer.zone].clone(),
                spot: offer.spot,
                count,
            };
            tracing::info!(
                "rental {request_id}: {count} x {} in {}{}",
                request.machine_type,
                request.zone,
                if offer.spot { ", spot" } else { "" }
            );
            self.pending_scale_outs.push(PendingScaleOut {
                request_id,
                machine_type: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
                count,
            });
            actions.push(ScalingAction::ScaleOut(request));
        }
        let needed: HashSet<&str> = scene
            .machine_names
            .iter()
            .zip(&plan.needed)
            .filter(|(_, needed)| **needed)
            .map(|(name, _)| name.as_str())
            .collect();
        let mut machines_to_delete = self.machines_to_scale_in(now, &needed, &cut);
        machines_to_delete.truncate(constants::MAX_SCALE_IN_MACHINES);
        if !machines_to_delete.is_empty() {
            for name in &machines_to_delete {
                self.scaling_in.insert(name.clone());
            }
            actions.push(ScalingAction::ScaleIn(machines_to_delete));
        }
        actions
    }

    /// How long a machine of this type may be idle. As in ski rental, keeping it costs as much as
    /// returning it once it has been idle for as long as a new one takes to boot and to fetch an
    /// image, which is time paid for without work.
    fn idle_timeout_ms(&self, machine_type: &MachineType) -> u64 {
        let sizes: Vec<f64> = self.jobs.values().map(|j| j.spec.image_gb).collect();
        let mean =
            if sizes.is_empty() { 0.0 } else { sizes.iter().sum::<f64>() / sizes.len() as f64 };
        let fetch = machine_type.fetch_s(mean);
        let factor = constants::IDLE_RETURN_FACTOR;
        let again = ((machine_type.boot_s + fetch) * factor * 1000.0) as u64;
        self.config.operator.idle_return_ms.unwrap_or(again)
    }

    /// Notes how many machines each class needs at this moment.
    fn record_demand(&mut self, now: u64) {
        for (name, class) in &mut self.classes {
            let tasks: u32 = self
                .jobs
                .values()
                .filter(|j| j.is_active() && !j.is_crash_looping() && j.spec.class == *name)
                .map(super::Job::unfinished)
                .sum();
            let per_machine = self
                .machine_types
                .iter()
                .map(|f| Resources::of_machine_type(f).capacity_for(&class.request))
                .max()
                .unwrap_or(0)
                .max(1);
            class.machines_needed.push_back((now, tasks.div_ceil(per_machine) as usize));
            let window = constants::DEMAND_WINDOW_MS;
            while class.machines_needed.front().is_some_and(|(t, _)| now > t + window) {
                class.machines_needed.pop_front();
            }
        }
    }

    /// Machines that stay although idle: for each class that must start sooner than a new machine
    /// boots and fetches its image, as many as it needed at a time of late; those that hold most of
    /// the class's images, then the cheapest.
    fn spare_machines(&self, now: u64) -> HashSet<String> {
        let mut spares = HashSet::new();
        for objective in self.config.platform.objectives.iter().filter(|o| o.kind == "wait") {
            let (Some(class), Some(within)) = (&objective.class, objective.within_s) else {
                continue;
            };
            let Some(seen) = self.classes.get(class) else { continue };
            let mut free: Vec<(usize, f64, &String)> = Vec::new();
            let mut busy_machines = 0;
            for (name, machine) in &self.machines {
                let Some(machine_type) =
                    self.machine_types.iter().find(|f| f.name == machine.machine_type)
                else {
                    continue;
                };
                let quick = machine_type.boot_s + machine_type.fetch_s(seen.image_gb) < within;
                let busy = machine.placed_tasks.iter().any(|h| {
                    h.job.and_then(|k| self.jobs.get(&k)).is_some_and(|j| j.spec.class == *class)
                });
                busy_machines += usize::from(busy);
                if quick
                    || busy
                    || !machine.has_reported
                    || machine.cordon_reason.is_some()
                    || machine.interruption_at.is_some()
                    || (machine.spot && !seen.spot)
                    || !Resources::of_machine_type(machine_type).fits(&seen.request)
                    || now
                        >= machine.last_response_at + worker_lease_expiry_ms(&self.config.platform)
                {
                    continue;
                }
                let images = machine.images.iter().filter(|(i, _)| seen.images.contains(i)).count();
                free.push((images, machine_type.price(machine.spot), name));
            }
            // As many as the class needed at a time of late, and one in any case.
            let peak = seen.machines_needed.iter().map(|(_, n)| *n).max().unwrap_or(0);
            let keep = peak.saturating_sub(busy_machines).max(1);
            free.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
            spares.extend(free.into_iter().take(keep).map(|(_, _, name)| name.clone()));
        }
        spares
    }

    /// Zones of which only a few machines are `missing`: gone, most likely. When many of a zone are missing
    /// together a network is cut, and they may be back.
    fn zones_with_few_missing(
        &self,
        counts: impl Fn(&Machine) -> bool,
        missing: impl Fn(&str, &Machine) -> bool,
    ) -> HashSet<&str> {
        let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
        for (name, machine) in self.machines.iter().filter(|(_, h)| counts(h)) {
            let (all, gone) = zones.entry(&machine.zone).or_default();
            *all += 1;
            *gone += usize::from(missing(name, machine));
        }
        let few = |(all, gone): &(usize, usize)| {
            gone < all
                && (*gone == 1 || *gone as f64 <= *all as f64 * constants::LOST_MACHINES_MAX_SHARE)
        };
        zones.iter().filter(|(_, z)| few(z)).map(|(zone, _)| *zone).collect()
    }

    /// Zones that can't be reached at this moment, by the share of their machines that is missing. Nothing
    /// is rented there, and their machines are kept for a while: those that died the list tells.
    fn partitioned_zones(&self, now: u64) -> HashSet<String> {
        let late = self.heartbeat_timeout_ms();
        let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
        for machine in self.machines.values().filter(|h| h.registered && !h.zone.is_empty()) {
            let since =
                if machine.has_reported { machine.last_response_at } else { self.elected_at };
            let quiet = now >= since.max(self.resumed_at) + late;
            let (all, gone) = zones.entry(&machine.zone).or_default();
            *all += 1;
            *gone += usize::from(quiet);
        }
        let cut = |(all, gone): &(usize, usize)| {
            *gone > 1 && *gone as f64 > *all as f64 * constants::PARTITION_SHARE
        };
        zones.iter().filter(|(_, z)| cut(z)).map(|(zone, _)| (*zone).to_owned()).collect()
    }

    /// Machines with work that have missed their reports while most others of their zone have not. A
    /// deletion proves their tasks gone, which the list and their leases do only much later.
    fn silent_machines(&self, now: u64, patience: u64) -> HashSet<String> {
        let live = |h: &Machine| h.has_reported && h.expired_incarnation < h.newest_message.0;
        let quiet = |h: &Machine| now.saturating_sub(h.last_response_at.max(self.resumed_at));
        let silent = |h: &Machine| quiet(h) >= patience;
        // In a cut machines fall silent one by one, each when its next report is due.
        let late = self.heartbeat_timeout_ms();
        let few = self.zones_with_few_missing(live, |_, h| quiet(h) >= late);
        let lost = |(_, h): &(&String, &Machine)| {
            live(h) && silent(h) && !h.placed_tasks.is_empty() && few.contains(h.zone.as_str())
        };
        self.machines.iter().filter(lost).map(|(name, _)| name.clone()).collect()
    }

    /// Machines of the roster that have not reported since the takeover while most others of their zone
    /// have. Before `patience_over` those only that do not answer either.
    fn unreconciled_lost_machines(&self, patience_over: bool) -> HashSet<String> {
        let unheard = |name: &str| self.unreconciled_machines.contains(name);
        let gone =
            |h: &Machine| patience_over || !h.has_reported && h.state_probe.is_unresponsive();
        let few = self.zones_with_few_missing(
            |h| h.has_reported || !h.zone.is_empty(),
            |name, _| unheard(name),
        );
        let lost = |(name, h): &(&String, &Machine)| {
            unheard(name) && gone(h) && few.contains(h.zone.as_str())
        };
        self.machines.iter().filter(lost).map(|(name, _)| name.clone()).collect()
    }

    /// Machines to delete now.
    fn machines_to_scale_in(
        &mut self,
        now: u64,
        needed: &HashSet<&str>,
        cut: &HashSet<String>,
    ) -> Vec<String> {
        let lease = worker_lease_expiry_ms(&self.config.platform);
        let settled = self.reconciled(now);
        let idle_return: HashMap<String, u64> =
            self.machine_types.iter().map(|f| (f.name.clone(), self.idle_timeout_ms(f))).collect();
        let mut machines_to_delete = Vec::new();
        let waiting =
            self.jobs.values().any(|j| j.inherited && j.is_active() && !j.unplaced.is_empty());
        // Time for a worker to report once, to try each node with one that hangs among them, and to
        // report again with the new token.
        let report_ms = self.config.platform.workers.heartbeat_interval_s * 1000.0;
        let unheard_patience = (report_ms * constants::MAX_HEARTBEAT_INTERVAL_FACTOR) as u64
            + constants::UNRECONCILED_SCALE_IN_MS;
        let patience_over = now >= self.elected_at.max(self.resumed_at) + unheard_patience;
        let unheard_go = !settled
            && waiting
            && now + constants::UNRECONCILED_SCALE_IN_MIN_GAIN_MS < self.unreconciled_since + lease;
        self.record_demand(now);
        let spares = self.spare_machines(now);
        let lost = self.silent_machines(now, unheard_patience);
        let unheard_lost = if unheard_go {
            self.unreconciled_lost_machines(patience_over)
        } else {
            HashSet::new()
        };
        for (name, machine) in &mut self.machines {
            let cut = cut.contains(&machine.zone);
            let needed = cut || needed.contains(name.as_str());
            if !machine.placed_tasks.is_empty() || !machine.ended_tasks.is_empty() {
                machine.idle_since = None;
            } else if machine.has_reported && machine.idle_since.is_none() {
                machine.idle_since = Some(now);
            }
            if self.scaling_in.contains(name) {
                continue;
            }
            let idle = machine.idle_since.map_or(0, |s| now.saturating_sub(s));
            let patience = idle_return.get(&machine.machine_type).copied().unwrap_or(u64::MAX);
            if machine.cordon_reason.is_none()
                && machine.has_reported
                && settled
                && !needed
                && idle >= patience
                && !spares.contains(name)
            {
                machine.cordon_reason = Some("idle");
            }
            // CircuitBreaker while this node could not answer is not the machine's.
            let quiet_since = machine.last_response_at.max(self.resumed_at);
            let wait = if cut {
                constants::PARTITION_SCALE_IN_DELAY_MS
            } else {
                constants::SILENT_SCALE_IN_DELAY_MS
            };
            if (machine.has_reported || machine.registered) && now >= quiet_since + lease + wait {
                machine.cordon_reason = Some(SILENT);
            }
            let ready_ms = self
                .machine_types
                .iter()
                .find(|f| f.name == machine.machine_type)
                .map_or(60_000.0, |f| f.boot_s * 1000.0);
            let patience = (ready_ms * constants::BOOT_TIMEOUT_FACTOR) as u64
                + constants::BOOT_TIMEOUT_MARGIN_MS;
            // One of the roster has been up.
            let never_up = !machine.has_reported
                && !machine.registered
                && now >= machine.created_at + patience
                && now >= self.resumed_at + lease;
            if never_up {
                machine.cordon_reason = Some("never came up");
            }
            // Work of earlier terms waits for machines that have not reported. A deletion proves
            // what is on them gone, sooner than their lease would.
            if unheard_lost.contains(name) {
                machine.cordon_reason = Some("not heard since the takeover");
            }
            // The same for what is on a machine that has fallen silent by itself.
            let lost = lost.contains(name);
            if lost {
                machine.cordon_reason = Some(SILENT);
            }
            let empty = lost || machine.placed_tasks.is_empty() && machine.ended_tasks.is_empty();
            let taken = machine.interruption_at.is_some() && machine.has_reported;
            if taken && empty && machine.cordon_reason.is_none() {
                machine.cordon_reason = Some("the cloud wants it back");
            }
            if machine.cordon_reason.is_some() && empty {
                let why = machine.cordon_reason.unwrap_or_default();
                tracing::info!("machine {name}: returning it ({why})");
                machines_to_delete.push(name.clone());
            }
        }
        machines_to_delete
    }

    /// The cloud answered a rental. `None`: no capacity.
    pub fn scale_out_finished(
        &mut self,
        request: &ScaleOutRequest,
        machines: Option<Vec<String>>,
        now: u64,
    ) {
        let Some(i) =
            self.pending_scale_outs.iter().position(|r| r.request_id == request.request_id)
        else {
            return;
        };
        let renting = self.pending_scale_outs.swap_remove(i);
        let got = machines.as_ref().map_or(0, Vec::len);
        tracing::info!("rental {}: {got} of {}", renting.request_id, renting.count);
        if got < renting.count as usize {
            let offer = (renting.machine_type, renting.zone, renting.spot);
            self.unavailable_capacity.insert(offer, now + constants::UNAVAILABLE_CAPACITY_MS);
        }
        for name in machines.unwrap_or_default() {
            if self.removed_machines.contains(&name) {
                continue;
            }
            let machine = self.machines.entry(name).or_insert_with(|| Machine::new(now));
            if !machine.has_reported {
                machine.machine_type.clone_from(&request.machine_type);
                machine.zone.clone_from(&request.zone);
                machine.spot = request.spot;
            }
        }
    }

    /// The cloud confirmed a deletion: the machines and all that was on them are gone.
    pub fn scale_in_finished(&mut self, names: &[String], now: u64) {
        for name in names {
            self.remove_machine(name, now);
        }
    }

    /// A deletion failed or its outcome is unknown: it is asked for again.
    pub fn scale_in_failed(&mut self, names: &[String]) {
        for name in names {
            self.scaling_in.remove(name);
        }
    }

    /// The machine list, asked for at `asked`.
    pub fn machines_listed(&mut self, list: &[ListedMachine], asked: u64, now: u64) {
        for entry in list {
            let name = &entry.id;
            if self.removed_machines.contains(name) {
                continue;
            }
            let age_ms = (entry.age_s.max(0.0) * 1000.0) as u64;
            if !self.machines.contains_key(name) {
                if entry.status == MachineState::Failed {
                    // Nothing runs there, but it stays listed until it is deleted.
                    let mut machine = Machine::new(now);
                    machine.cordon_reason = Some("failed");
                    self.machines.insert(name.clone(), machine);
                    continue;
                }
                tracing::info!("machine {name}: found in the list, {:.0} s old", entry.age_s);
                let mut machine = Machine::new(now);
                machine.created_at = now.saturating_sub(age_ms);
                self.machines.insert(name.clone(), machine);
            }
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if !machine.has_reported {
                machine.machine_type.clone_from(&entry.machine_type);
                machine.zone.clone_from(&entry.zone);
                machine.spot = entry.spot;
                if let Some(addr) = &entry.addr {
                    machine.address.clone_from(addr);
                }
                machine.created_at = machine.created_at.min(now.saturating_sub(age_ms));
            }
            machine.first_listed_at.get_or_insert(now as i64);
            if entry.status == MachineState::Failed && machine.cordon_reason != Some("failed") {
                tracing::info!("machine {name}: failed");
                machine.cordon_reason = Some("failed");
                machine.expired_incarnation = u64::MAX;
                self.remove_all_tasks(name, now, TaskRemoval::Lost);
                self.unreconciled_machines.remove(name);
            }
        }
        // Once listed, a machine stays listed until it is gone; but a list may be older than the
        // one before, by up to twice the lag.
        let lag = (self.config.platform.cloud.list_lag_s * 1000.0 * constants::UNLISTED_LAG_FACTOR)
            as u64;
        let listed: HashSet<&str> = list.iter().map(|e| e.id.as_str()).collect();
        let gone: Vec<String> = self
            .machines
            .iter()
            .filter(|(name, machine)| {
                machine.first_listed_at.is_some_and(|f| asked as i64 > f + lag as i64)
                    && !listed.contains(name.as_str())
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            tracing::info!("machine {name}: not listed any more");
            self.remove_machine(&name, now);
        }
    }
}
