use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "Label")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "Vcpus")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// Space for images, GB.
    #[serde(default)]
    #[serde(rename = "LocalGb")]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    #[serde(rename = "Hourly")]
    pub price_per_hour: f64,
    /// Current price of a spot machine per hour.
    #[serde(default)]
    #[serde(rename = "MarketPrice")]
    pub spot_price: Option<f64>,
    /// Nominal boot time, s.
    #[serde(rename = "ReadyS")]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "Yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Nominal time to fetch an image of this size, s.
    pub fn fetch_s(&self, image_gb: f64) -> f64 {
        if self.fetch_gb_per_s > 0.0 { image_gb / self.fetch_gb_per_s } else { 0.0 }
    }

    /// Current price per hour of a spot or ordinary machine.
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_price.unwrap_or(self.price_per_hour) } else { self.price_per_hour }
    }
}

/// All machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "Flavors")]
    pub machine_types: Vec<MachineType>,
}

/// A request for more machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ScaleOutRequest {
    /// Its id, never reused: repeating a request is idempotent.
    #[serde(rename = "Hire")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "Flavor")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Machines asked for.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Machines, by name: the response to a scale-out request, the body of a deletion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Not up yet, as far as the list knows.
    Booting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Where its worker listens.
    #[serde(default)]
    pub addr: Option<String>,
    /// Machine type.
    #[serde(rename = "Flavor")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// State.
    pub status: MachineState,
    /// Age since the scale-out request, s.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
}
