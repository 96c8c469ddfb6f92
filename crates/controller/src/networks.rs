//! Sets of IP networks that operators allow addresses from.

use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

/// A list of networks could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{network:?} is no network such as 10.0.0.0/24")]
pub struct NetworksError {
    /// The part of the list that is not a network.
    pub network: String,
}

/// A set of IP networks. The empty set allows every address.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Networks(Vec<IpNet>);

impl Networks {
    /// Parses a list such as `10.0.0.0/24, 10.1.0.0/16`.
    pub fn parse(list: &str) -> Result<Self, NetworksError> {
        let parse = |part: &str| {
            let network = part.trim();
            network.parse().map_err(|_| NetworksError { network: network.to_owned() })
        };
        let networks: Vec<IpNet> = list.split(',').map(parse).collect::<Result<_, _>>()?;
        Ok(Self(IpNet::aggregate(&networks)))
    }

    /// Whether an IP address is allowed.
    pub fn allow(&self, address: IpAddr) -> bool {
        self.0.is_empty() || self.0.iter().any(|network| network.contains(&address))
    }

    /// Whether an address with a port, such as `10.0.0.1:9000`, is allowed. Text that is no such
    /// address is allowed by the empty set only.
    pub fn allow_socket(&self, address: &str) -> bool {
        self.0.is_empty()
            || address.parse::<SocketAddr>().is_ok_and(|address| self.allow(address.ip()))
    }
}

#[cfg(test)]
mod tests;
