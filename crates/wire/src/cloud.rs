//! Messages of the cloud's API: machine types, scale-out and delete requests, and the machine list.

use serde::{Deserialize, Serialize};

/// The terms under which a machine is rented.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PurchaseOption {
    /// At a fixed price, until it is deleted.
    OnDemand,
    /// At the current spot price, until the cloud reclaims it.
    Spot,
}

impl PurchaseOption {
    /// Returns the option that the `spot` field of a message stands for.
    pub fn from_spot(spot: bool) -> Self {
        if spot { Self::Spot } else { Self::OnDemand }
    }
}

/// A machine type that the cloud offers, with its capacity and prices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineType {
    /// Unique name of the machine type, for example `g8`.
    #[serde(rename = "Label")]
    pub name: String,
    /// Number of virtual CPUs.
    #[serde(rename = "Vcpus")]
    pub cpus: f64,
    /// Number of GPUs; 0 for a machine type without GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// Size of the local image cache, in GB.
    #[serde(default)]
    #[serde(rename = "LocalGb")]
    pub cache_gb: f64,
    /// Image fetch rate in GB/s; 0 if fetching takes no time.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour, in the cloud's currency.
    #[serde(rename = "Hourly")]
    pub price_per_hour: f64,
    /// Current price of a spot machine per hour; if `None`, the on-demand price applies.
    #[serde(default)]
    #[serde(rename = "MarketPrice")]
    pub spot_price: Option<f64>,
    /// Nominal boot time, in seconds.
    #[serde(rename = "ReadyS")]
    pub boot_s: f64,
    /// Names of the zones that offer this machine type.
    #[serde(rename = "Yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the nominal time to fetch an image of `image_gb` GB, in seconds.
    pub fn image_fetch_s(&self, image_gb: f64) -> f64 {
        if self.fetch_gb_per_s > 0.0 { image_gb / self.fetch_gb_per_s } else { 0.0 }
    }

    /// Returns the current price of a machine per hour, in the cloud's currency.
    pub fn price(&self, option: PurchaseOption) -> f64 {
        match option {
            PurchaseOption::OnDemand => self.price_per_hour,
            PurchaseOption::Spot => self.spot_price.unwrap_or(self.price_per_hour),
        }
    }
}

/// The response to a request for the machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineTypes {
    /// All machine types with their current prices.
    #[serde(rename = "Flavors")]
    pub machine_types: Vec<MachineType>,
}

/// A scale-out request: creates machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ScaleOutRequest {
    /// Idempotency key: unique for each request, and equal in each retry of it.
    #[serde(rename = "Hire")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "Flavor")]
    pub machine_type: String,
    /// Name of the zone in which the machines are created.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// `true` for spot machines, `false` for on-demand machines.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Number of machines requested.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Machine names: the response to a scale-out request, and the body of a delete request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineNames {
    /// Names of the created machines, or of those to delete.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// The lifecycle state of a machine according to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine was created, but is not yet known to be running.
    Booting,
    /// The machine is running.
    Running,
    /// The machine stopped without a delete request.
    Failed,
    /// Any state that this version of hookway does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListedMachine {
    /// Unique name of the machine.
    #[serde(rename = "NameId")]
    pub name: String,
    /// Address (`host:port`) of the machine's worker; `None` while the cloud does not know it.
    #[serde(default)]
    #[serde(rename = "Addr")]
    pub address: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "Flavor")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// `true` for spot machines, `false` for on-demand machines.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Lifecycle state of the machine, which may be older than the response.
    #[serde(rename = "Status")]
    pub state: MachineState,
    /// Time since the scale-out request, in seconds.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineList {
    /// The machines of this page, sorted by name.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there is a next page.
    #[serde(default)]
    pub has_next: bool,
}

#[cfg(test)]
mod tests;
