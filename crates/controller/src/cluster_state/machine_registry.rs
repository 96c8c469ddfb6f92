//! The machine registry: which machines may have tasks, in records shared by many machines.

use super::image_numbers::NamedImage;
use crate::records::{
    ImageRecord, MachineRegistryEntry, MachineRegistryRecord, fits_value_limit, registry_key,
};
use hookway_constants as constants;
use hookway_time::WallTime;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Which record each machine is in. Many machines share one, so that hundreds of them may take their
/// first tasks within seconds at a few writes per second.
#[derive(Debug)]
pub(super) struct MachineRegistry {
    /// Maximum number of machines of a record.
    max_entries: usize,
    /// Machines by record, with the time of their registration.
    records: BTreeMap<u64, BTreeMap<String, WallTime>>,
    /// The record of each machine.
    record_of: HashMap<String, u64>,
    /// Records whose stored version lacks a machine: written before a task starts on it.
    urgent: BTreeSet<u64>,
    /// Records whose hints are out of date, or that name machines that are gone.
    stale: BTreeSet<u64>,
    /// Records that can't be read. They stay as they are until the leases of their machines have surely
    /// expired: the next leader must know that it does not know all machines.
    unreadable: BTreeSet<u64>,
    /// Machines that move to another record, with the one whose stored version still names them.
    moving: HashMap<String, u64>,
}

impl MachineRegistry {
    /// An empty registry for values of at most `value_kb` KiB.
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

    /// Takes in that a record can't be read.
    pub fn unreadable(&mut self, number: u64) {
        self.unreadable.insert(number);
    }

    /// The leases of the machines in unreadable records have expired: the records count as empty.
    pub fn forget_unreadable(&mut self) {
        for number in std::mem::take(&mut self.unreadable) {
            self.records.entry(number).or_default();
            self.stale.insert(number);
        }
    }

    /// Takes in a machine of a record that an earlier leader wrote.
    pub fn loaded(&mut self, number: u64, machine: &str, registered_at: WallTime) {
        let members = self.records.entry(number).or_default();
        if self.record_of.contains_key(machine) {
            // That leader was moving it between records when it ended. One of them is enough.
            self.stale.insert(number);
            return;
        }
        members.insert(machine.to_owned(), registered_at);
        self.record_of.insert(machine.to_owned(), number);
    }

    /// Adds a machine, unless it is here already.
    pub fn register(&mut self, machine: &str, registered_at: WallTime) {
        if self.record_of.contains_key(machine) {
            return;
        }
        let number = self.add_to_open_record(machine, registered_at);
        self.urgent.insert(number);
    }

    /// Adds a machine to a record with room, or to a new one.
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

    /// Divides a record that is larger than a value may be, as it was written under a larger limit. Its
    /// surplus machines move to other records, and only once those are durable is it written again.
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

    /// A record with these machines is durable.
    pub fn stored<'a>(&mut self, number: u64, machines: impl Iterator<Item = &'a str>) {
        for machine in machines {
            let here = self.record_of.get(machine) == Some(&number);
            if here && let Some(source) = self.moving.remove(machine) {
                self.remove_from(source, machine);
            }
        }
    }

    /// A record no longer names a machine.
    fn remove_from(&mut self, number: u64, machine: &str) {
        if let Some(members) = self.records.get_mut(&number) {
            members.remove(machine);
        }
        self.stale.insert(number);
    }

    /// Removes a machine that is gone. An entry that stays stored for a while is harmless.
    pub fn remove(&mut self, machine: &str) {
        let numbers = [self.record_of.remove(machine), self.moving.remove(machine)];
        for number in numbers.into_iter().flatten() {
            self.remove_from(number, machine);
        }
    }

    /// Takes in that the hints about a machine have changed.
    pub fn mark_stale(&mut self, machine: &str) {
        if let Some(number) = self.record_of.get(machine) {
            self.stale.insert(*number);
        }
    }

    /// The next record that must be written before machines in it take tasks.
    pub fn next_urgent(&mut self) -> Option<u64> {
        let number = self.urgent.pop_first()?;
        self.stale.remove(&number);
        Some(number)
    }

    /// The next record that is merely out of date.
    pub fn next_stale(&mut self) -> Option<u64> {
        self.stale.pop_first()
    }

    /// A record may not have been written.
    pub fn requeue(&mut self, number: u64) {
        self.urgent.insert(number);
    }

    /// The machines of a record, with the times of their registration.
    pub fn members(&self, number: u64) -> impl Iterator<Item = (&String, WallTime)> {
        self.records.get(&number).into_iter().flatten().map(|(machine, at)| (machine, *at))
    }

    /// A record's key.
    pub fn key(number: u64) -> String {
        registry_key(&format!("{}{number}", constants::REGISTRY_RECORD_PREFIX))
    }

    /// The number of a record, from its key without the prefix `r/`; `None` for an entry of the
    /// format in which each machine had a key of its own.
    pub fn record_number(name: &str) -> Option<u64> {
        name.strip_prefix(constants::REGISTRY_RECORD_PREFIX)?.parse().ok()
    }

    /// The value of a record; `None` if its machines alone are too many for a value. `images` gives the
    /// images cached on a machine; where they have no room they are left out.
    pub fn record<'a>(
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
