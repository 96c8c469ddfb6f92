use super::*;
use hookway_testkit::PLATFORM_SETTINGS;
use std::time::Duration;

#[test]
fn unknown_settings_are_ignored_and_invalid_ones_are_named() {
    assert!(Settings::parse(PLATFORM_SETTINGS).is_ok());
    let invalid_settings = PLATFORM_SETTINGS.replace("lease_s = 14.0", "");
    assert!(Settings::parse(&invalid_settings).unwrap_err().to_string().contains("lease_s"));
    let invalid_settings = PLATFORM_SETTINGS.replace("lease_s = 14.0", "lease_s = 'soon'");
    assert!(Settings::parse(&invalid_settings).unwrap_err().to_string().contains("lease_s"));
    let invalid_settings = PLATFORM_SETTINGS.replace("lease_s = 14.0", "lease_s = -1.0");
    assert!(Settings::parse(&invalid_settings).unwrap_err().to_string().contains("lease_s"));
    let invalid_settings =
        format!("{PLATFORM_SETTINGS}[settings.machine_limits]\nmax_sockets = 0\n");
    assert!(Settings::parse(&invalid_settings).unwrap_err().to_string().contains("max_sockets"));
    let invalid_settings =
        format!("{PLATFORM_SETTINGS}[settings.machine_limits]\ncore_share = -0.1\n");
    assert!(Settings::parse(&invalid_settings).unwrap_err().to_string().contains("core_share"));
    let invalid_settings = PLATFORM_SETTINGS.replace("list_lag_s = 4.0", "list_lag_s = nan");
    assert!(Settings::parse(&invalid_settings).unwrap_err().to_string().contains("list_lag_s"));
    let invalid_settings =
        PLATFORM_SETTINGS.replace("state = \"127.0.0.1:1\"", "state = \"nowhere\"");
    assert!(Settings::parse(&invalid_settings).unwrap_err().to_string().contains("outside.state"));
}

#[test]
fn unknown_operator_setting_is_rejected() {
    let parsed = OperatorSettings::parse("[fleet]\nidle_return_s = 30\n").unwrap();
    assert_eq!(parsed.idle_timeout, Some(Duration::from_millis(30_000)));
    assert!(
        OperatorSettings::parse("[fleet]\nidle = 30\n").unwrap_err().to_string().contains("idle")
    );
    assert!(OperatorSettings::parse("[fleet]\nidle_return_s = soon\n").is_err());
}

#[test]
fn write_limits_are_minimum_of_present_and_next_limits() {
    let present = Settings::parse(PLATFORM_SETTINGS).unwrap().platform.store;
    assert_eq!((present.write_rps, present.value_kb, present.txn_ops), (25.0, 8.0, 8));
    let next = "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 16\nnew = 1\n";
    let stricter = Settings::parse(&format!("{PLATFORM_SETTINGS}{next}")).unwrap().platform.store;
    assert_eq!((stricter.write_rps, stricter.value_kb, stricter.txn_ops), (18.0, 2.0, 8));
    assert_eq!(stricter.rps, present.rps, "a limit that next lacks keeps its present value");
    assert_eq!((present.max_accepted_value_kb, stricter.max_accepted_value_kb), (8.0, 8.0));
}

#[test]
fn invalid_next_limit_is_rejected_by_name() {
    for invalid in [
        "write_rps = 0.0",
        "write_rps = 'few'",
        "value_kb = -2.0",
        "value_kb = nan",
        "rps = inf",
        "txn_ops = 2",
        "txn_ops = 2.5",
    ] {
        let invalid_settings = format!("{PLATFORM_SETTINGS}[settings.state.next]\n{invalid}\n");
        let error = Settings::parse(&invalid_settings).unwrap_err().to_string();
        let name = invalid.split(' ').next().unwrap();
        assert!(error.contains(name), "{invalid}: {error}");
    }
    assert!(Settings::parse(&PLATFORM_SETTINGS.replace("txn_ops = 8", "txn_ops = 2")).is_err());
}

#[test]
fn replication_settings_are_parsed_and_invalid_ones_are_named() {
    let parse = |text: &str| OperatorSettings::parse(&format!("[replication]\n{text}\n"));
    let defaults = OperatorSettings::default().replication;
    let parsed = parse("standby = off\nleader_lease_s = 4.4").unwrap().replication;
    assert_eq!(
        (parsed.keeps_standby_copy, parsed.leader_lease_length),
        (false, Duration::from_millis(4_400))
    );
    assert_eq!(parsed.worker_networks, defaults.worker_networks);
    let parsed = parse("worker_networks = 10.1.0.0/16\ncontroller_networks = 10.0.0.0/24").unwrap();
    assert!(parsed.replication.worker_networks.allows_socket_address("10.1.2.3:9000"));
    assert!(!parsed.replication.controller_networks.allows_socket_address("10.1.2.3:9000"));
    for invalid in [
        "standby = perhaps",
        "leader_lease_s = 2.9",
        "leader_lease_s = 61",
        "leader_lease_s = nan",
        "leader_lease_s = soon",
        "worker_networks = 10.1.0.0/40",
        "controller_networks = here",
        "follow = on",
    ] {
        let name = invalid.split(' ').next().unwrap();
        let error = parse(invalid).unwrap_err().to_string();
        assert!(error.contains(&format!("[replication] {name}")), "{invalid}: {error}");
    }
}
