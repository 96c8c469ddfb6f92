//! Checks of the values in the platform's settings file, which the parser has checked for types
//! only.

use super::{PlatformSettings, SettingError, Settings};
use hookway_constants as constants;
use std::net::SocketAddr;

/// Checks the settings in a fixed order and returns an error for the first invalid one.
pub(super) fn check(settings: &Settings) -> Result<(), SettingError> {
    if settings.controller_name.is_empty() {
        return Err(SettingError::Empty("label"));
    }
    check_addresses(settings)?;
    let platform = &settings.platform;
    if platform.zones.is_empty() {
        return Err(SettingError::NoZone("settings.zones"));
    }
    check_positive(platform)?;
    check_not_negative(platform)?;
    check_minimums(platform)?;
    check_teams(platform)
}

fn check_addresses(settings: &Settings) -> Result<(), SettingError> {
    let addresses = [
        ("api_addr", &settings.api_addr),
        ("peer_bind", &settings.peer_bind),
        ("outside.cloud", &settings.endpoints.cloud),
        ("outside.state", &settings.endpoints.store),
    ];
    let peers = settings.peers.iter().map(|peer| ("siblings.address", &peer.address));
    for (name, value) in addresses.into_iter().chain(peers) {
        if value.parse::<SocketAddr>().is_err() {
            return Err(SettingError::Address { name, value: value.clone() });
        }
    }
    Ok(())
}

fn check_positive(platform: &PlatformSettings) -> Result<(), SettingError> {
    let required = [
        ("settings.workers.report_s", platform.workers.heartbeat_interval_s),
        ("settings.workers.lease_s", platform.workers.lease_s),
        ("settings.workers.gang_wait_s", platform.workers.gang_wait_s),
        ("settings.workers.gang_peer_s", platform.workers.gang_peer_s),
        ("settings.workers.cancel_s", platform.workers.cancel_s),
        ("settings.state.rps", platform.store.rps),
        ("settings.state.write_rps", platform.store.write_rps),
        ("settings.state.value_kb", platform.store.value_kb),
        ("settings.cloud.rps", platform.cloud.rps),
        ("settings.machine_limits.core_share", platform.machine_limits.core_share),
    ];
    let next = platform.store.next.clone().unwrap_or_default();
    let optional = [
        ("settings.state.next.rps", next.rps),
        ("settings.state.next.write_rps", next.write_rps),
        ("settings.state.next.value_kb", next.value_kb),
    ];
    let optional = optional.into_iter().filter_map(|(name, value)| Some((name, value?)));
    for (name, value) in required.into_iter().chain(optional) {
        if !(value.is_finite() && value > 0.0) {
            return Err(SettingError::NotPositive { name, value });
        }
    }
    Ok(())
}

fn check_not_negative(platform: &PlatformSettings) -> Result<(), SettingError> {
    let amounts = [
        ("settings.clock_off_ms", platform.max_clock_error_ms),
        ("settings.cloud.list_lag_s", platform.cloud.list_lag_s),
    ];
    for (name, value) in amounts {
        if !is_non_negative(value) {
            return Err(SettingError::Negative { name, value });
        }
    }
    Ok(())
}

fn check_minimums(platform: &PlatformSettings) -> Result<(), SettingError> {
    let next_operations = platform.store.next.as_ref().and_then(|next| next.txn_ops);
    let minimums = [
        ("settings.machine_limits.max_sockets", Some(platform.machine_limits.max_sockets), 1),
        ("settings.state.txn_ops", Some(platform.store.txn_ops), constants::ELECTION_OPERATIONS),
        ("settings.state.next.txn_ops", next_operations, constants::ELECTION_OPERATIONS),
    ];
    for (name, value, min) in minimums {
        if value.is_some_and(|value| value < min) {
            return Err(SettingError::BelowMinimum { name, min });
        }
    }
    Ok(())
}

fn check_teams(platform: &PlatformSettings) -> Result<(), SettingError> {
    for team in &platform.teams {
        let amounts = [team.guaranteed_cpus, team.max_cpus, team.guaranteed_gpus, team.max_gpus];
        if !amounts.into_iter().all(is_non_negative) {
            return Err(SettingError::NegativeTeamAmount(team.name.clone()));
        }
    }
    Ok(())
}

/// Whether a value is finite and at least 0.
fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
