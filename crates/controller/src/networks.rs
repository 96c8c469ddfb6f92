//! Networks that operators name, and whether an address is in one of them.

use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

/// IP networks; without any, every address is allowed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Networks(Vec<IpNet>);

impl Networks {
    /// From a list such as `10.0.0.0/24, 10.1.0.0/16`. The error names the part that is no network.
    pub fn parse(list: &str) -> Result<Self, String> {
        let parse = |part: &str| {
            let part = part.trim();
            part.parse::<IpNet>().map_err(|_| format!("{part:?} is no network such as 10.0.0.0/24"))
        };
        let networks: Vec<IpNet> = list.split(',').map(parse).collect::<Result<_, _>>()?;
        Ok(Self(IpNet::aggregate(&networks)))
    }

    /// Whether an address is in one of them.
    pub fn allow(&self, address: IpAddr) -> bool {
        self.0.is_empty() || self.0.iter().any(|network| network.contains(&address))
    }

    /// Whether an address with a port is in one of them. What is no such address is in none.
    pub fn allow_socket(&self, address: &str) -> bool {
        self.0.is_empty()
            || address.parse::<SocketAddr>().is_ok_and(|address| self.allow(address.ip()))
    }
}

#[cfg(test)]
mod tests;
