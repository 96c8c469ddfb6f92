//! Blocks of machines that the leader leases to controllers.
//!
//! A machine is in one controller's block until the block's lease runs out, and only the holder of
//! the block places tasks on it. In this version the leader draws one block with all machines and
//! holds it itself; a holder that is gone loses its block when the lease ends.

use std::collections::HashMap;

/// The lease of one machine's place in a block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardLease {
    /// The controller.
    pub holder: String,
    /// When the lease ends, ms.
    pub until_ms: u64,
}

/// Which controller holds which machine.
#[derive(Debug, Default)]
pub struct Blocks {
    leases: HashMap<String, ShardLease>,
}

impl Blocks {
    /// Leases a machine to `holder` until `until_ms`, unless another holder's lease still runs.
    pub fn lease(&mut self, machine: &str, holder: &str, now_ms: u64, until_ms: u64) -> bool {
        match self.leases.get_mut(machine) {
            Some(l) if l.holder != holder && l.until_ms > now_ms => false,
            Some(l) if l.holder == holder => {
                l.until_ms = l.until_ms.max(until_ms);
                true
            }
            _ => {
                let lease = ShardLease { holder: holder.to_owned(), until_ms };
                self.leases.insert(machine.to_owned(), lease);
                true
            }
        }
    }

    /// Whether `holder` holds the machine now.
    pub fn holds(&self, machine: &str, holder: &str, now_ms: u64) -> bool {
        self.leases.get(machine).is_some_and(|l| l.holder == holder && l.until_ms > now_ms)
    }

    /// Forgets a machine that is gone.
    pub fn forget(&mut self, machine: &str) {
        self.leases.remove(machine);
    }

    /// The part of a minimum that falls to a block: its share of all machines, rounded up.
    pub fn share(minimum: u32, block: usize, all: usize) -> u32 {
        if all == 0 {
            return 0;
        }
        (f64::from(minimum) * block as f64 / all as f64).ceil() as u32
    }
}

#[cfg(test)]
mod tests;
