//! Sets of IP networks, by which operators restrict the addresses of controllers and workers.

use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

/// The error of a list of networks that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{network:?} is no network such as 10.0.0.0/24")]
pub struct NetworksError {
    /// The first part of the list that is not a network.
    pub network: String,
}

/// A set of IP networks. The empty set allows every address.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Networks(Vec<IpNet>);

impl Networks {
    /// Parses a list of networks separated by commas, such as `10.0.0.0/24, 10.1.0.0/16`.
    pub fn parse(list: &str) -> Result<Self, NetworksError> {
        let parse = |part: &str| {
            let network = part.trim();
            network.parse().map_err(|_| NetworksError { network: network.to_owned() })
        };
        let networks: Vec<IpNet> = list.split(',').map(parse).collect::<Result<_, _>>()?;
        Ok(Self(IpNet::aggregate(&networks)))
    }

    /// Whether an IP address is in one of the networks, or the set is empty.
    pub fn allows(&self, address: IpAddr) -> bool {
        self.0.is_empty() || self.0.iter().any(|network| network.contains(&address))
    }

    /// Whether the IP address in a socket address, such as `10.0.0.1:9000`, is allowed. Only the
    /// empty set allows text that is not a socket address, such as a host name.
    pub fn allows_socket_address(&self, address: &str) -> bool {
        self.0.is_empty()
            || address.parse::<SocketAddr>().is_ok_and(|address| self.allows(address.ip()))
    }
}

#[cfg(test)]
mod tests;
