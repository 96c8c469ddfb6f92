//! The machine registry: the machines that may have tasks, in records that many machines share.

use super::image_ids::NamedImage;
use crate::records::{
    ImageRecord, MachineRegistryEntry, MachineRegistryRecord, fits_value_limit, registry_key,
};
use hookway_constants as constants;
use hookway_time::WallTime;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The records of the registry and the machines in each. Many machines share a record, so that
/// hundreds of them can get their first tasks within seconds at a few writes per second.
#[derive(Debug)]
pub(super) struct MachineRegistry {
    /// Maximum number of machines in a record.
    max_entries: usize,
    /// Machines by record number, with the time of their registration.
    records: BTreeMap<u64, BTreeMap<String, WallTime>>,
    /// Number of the record that each machine is in.
    record_of: HashMap<String, u64>,
    /// Records whose stored version may lack a machine. No task starts on such a machine before its
    /// record is durable.
    urgent: BTreeSet<u64>,
    /// Records whose stored version has outdated hints, names machines that have left the record,
    /// or lacks machines that the stored version of another record still names.
    stale: BTreeSet<u64>,
    /// Records that are unreadable. They stay as they are until the leases of the workers on their
    /// machines have certainly expired: the next leader must be able to tell that it does not know
    /// all machines.
    unreadable: BTreeSet<u64>,
    /// Machines that move to another record, with the number of the record whose stored version
    /// still names them.
    moving: HashMap<String, u64>,
}

impl MachineRegistry {
    /// Creates an empty registry for values of at most `value_kb` KiB.
    pub fn new(value_kb: f64) -> Self {
        let max_entries = value_kb.max(0.0) * 1024.0 / constants::REGISTRY_ENTRY_BYTES as f64;
        Self {
            max_entries: (max_entries as usize).max(1),
            records: BTreeMap::new(),
            record_of: HashMap::new(),
            urgent: BTreeSet::new(),
            stale: BTreeSet::new(),
            unreadable: BTreeSet::new(),
            moving: HashMap::new(),
        }
    }

    /// Marks a record as unreadable.
    pub fn mark_unreadable(&mut self, number: u64) {
        self.unreadable.insert(number);
    }

    /// Treats unreadable records as empty, after the leases of the workers on their machines have
    /// expired.
    pub fn treat_unreadable_as_empty(&mut self) {
        for number in std::mem::take(&mut self.unreadable) {
            self.records.entry(number).or_default();
            self.stale.insert(number);
        }
    }

    /// Adds a machine from a record that an earlier leader wrote.
    pub fn add_loaded(&mut self, number: u64, machine: &str, registered_at: WallTime) {
        let members = self.records.entry(number).or_default();
        if self.record_of.contains_key(machine) {
            // The earlier leader was moving the machine between records when its term ended. One
            // entry suffices.
            self.stale.insert(number);
            return;
        }
        members.insert(machine.to_owned(), registered_at);
        self.record_of.insert(machine.to_owned(), number);
    }

    /// Adds a machine, unless the registry has it already.
    pub fn register(&mut self, machine: &str, registered_at: WallTime) {
        if self.record_of.contains_key(machine) {
            return;
        }
        let number = self.add_to_open_record(machine, registered_at);
        self.urgent.insert(number);
    }

    /// Adds a machine to a record that is not full, or to a new one. Returns the record's number.
    fn add_to_open_record(&mut self, machine: &str, registered_at: WallTime) -> u64 {
        let open = self.records.iter().find(|(_, members)| members.len() < self.max_entries);
        let number = open.map_or_else(
            || {
                let last = self.records.last_key_value().map(|(last, _)| *last);
                last.max(self.unreadable.last().copied()).map_or(0, |last| last + 1)
            },
            |(number, _)| *number,
        );
        self.records.entry(number).or_default().insert(machine.to_owned(), registered_at);
        self.record_of.insert(machine.to_owned(), number);
        number
    }

    /// Divides a record that exceeds the value limit, because it was written under a larger one.
    /// The surplus machines move to other records, and the record is written again only once those
    /// are durable.
    pub fn split(&mut self, number: u64) {
        let Some(members) = self.records.get(&number) else { return };
        let staying = members.iter().filter(|(machine, _)| !self.moving.contains_key(*machine));
        let surplus: Vec<(String, WallTime)> = staying
            .skip(self.max_entries)
            .map(|(machine, registered_at)| (machine.clone(), *registered_at))
            .collect();
        for (machine, registered_at) in surplus {
            let target = self.add_to_open_record(&machine, registered_at);
            self.stale.insert(target);
            self.moving.insert(machine, number);
        }
    }

    /// Marks a record with these machines as durable: a machine that moved to it leaves its earlier
    /// record.
    pub fn mark_durable<'a>(&mut self, number: u64, machines: impl Iterator<Item = &'a str>) {
        for machine in machines {
            let is_in_record = self.record_of.get(machine) == Some(&number);
            if is_in_record && let Some(source) = self.moving.remove(machine) {
                self.remove_from(source, machine);
            }
        }
    }

    /// Removes a machine from a record, which must then be written again.
    fn remove_from(&mut self, number: u64, machine: &str) {
        if let Some(members) = self.records.get_mut(&number) {
            members.remove(machine);
        }
        self.stale.insert(number);
    }

    /// Removes a machine that no longer exists. Its entry may stay in the store for a while, which
    /// does no harm.
    pub fn remove(&mut self, machine: &str) {
        let numbers = [self.record_of.remove(machine), self.moving.remove(machine)];
        for number in numbers.into_iter().flatten() {
            self.remove_from(number, machine);
        }
    }

    /// Marks the record of a machine as stale, because the hints about the machine have changed.
    pub fn mark_stale(&mut self, machine: &str) {
        if let Some(number) = self.record_of.get(machine) {
            self.stale.insert(*number);
        }
    }

    /// Removes and returns the next record that must be written before tasks start on machines in
    /// it.
    pub fn pop_urgent(&mut self) -> Option<u64> {
        let number = self.urgent.pop_first()?;
        self.stale.remove(&number);
        Some(number)
    }

    /// Removes and returns the next record that is merely outdated.
    pub fn pop_stale(&mut self) -> Option<u64> {
        self.stale.pop_first()
    }

    /// Queues a record again whose write may not have been applied.
    pub fn requeue(&mut self, number: u64) {
        self.urgent.insert(number);
    }

    /// Returns the machines of a record, with the times of their registration.
    pub fn members(&self, number: u64) -> impl Iterator<Item = (&String, WallTime)> {
        self.records.get(&number).into_iter().flatten().map(|(machine, at)| (machine, *at))
    }

    /// Returns the key of a record.
    pub fn key(number: u64) -> String {
        registry_key(&format!("{}{number}", constants::REGISTRY_RECORD_PREFIX))
    }

    /// Parses the number of a record from its key without the prefix `r/`; `None` for an entry of
    /// the older format, in which each machine had a key of its own.
    pub fn record_number(name: &str) -> Option<u64> {
        name.strip_prefix(constants::REGISTRY_RECORD_PREFIX)?.parse().ok()
    }

    /// Returns the value of a record; `None` if its machines alone exceed the value limit. `images`
    /// returns the images cached on a machine; if the value with them exceeds the limit, all are
    /// left out.
    pub fn record_value<'a>(
        &self,
        number: u64,
        value_kb: f64,
        images: impl Fn(&str) -> Vec<NamedImage<'a>>,
    ) -> Option<serde_json::Value> {
        let mut record = MachineRegistryRecord::default();
        let mut numbers: HashMap<&str, usize> = HashMap::new();
        for (machine, registered_at) in self.members(number) {
            let cached = images(machine);
            let newest = cached.len().saturating_sub(constants::REGISTRY_ENTRY_IMAGES);
            let mut entry = MachineRegistryEntry {
                registered_at_ms: registered_at.as_unix_millis(),
                images: Vec::new(),
            };
            for NamedImage { name, size_gb } in &cached[newest..] {
                let next = numbers.len();
                let n = *numbers.entry(name).or_insert(next);
                if n == next {
                    let name = (*name).to_owned();
                    record.images.push(ImageRecord { name, size_gb: *size_gb });
                }
                entry.images.push(n);
            }
            record.machines.insert(machine.clone(), entry);
        }
        let value = serde_json::to_value(&record).ok()?;
        if fits_value_limit(&value, value_kb) {
            return Some(value);
        }
        record.images.clear();
        for entry in record.machines.values_mut() {
            entry.images.clear();
        }
        serde_json::to_value(&record).ok().filter(|value| fits_value_limit(value, value_kb))
    }
}

#[cfg(test)]
mod tests;
