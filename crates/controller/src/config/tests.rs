use super::*;
use hookway_testkit::SETTINGS;

#[test]
fn unknown_settings_are_ignored_and_wrong_ones_named() {
    assert!(Settings::parse(SETTINGS).is_ok());
    let broken = SETTINGS.replace("lease_s = 14.0", "");
    assert!(Settings::parse(&broken).unwrap_err().contains("lease_s"));
    let broken = SETTINGS.replace("lease_s = 14.0", "lease_s = 'soon'");
    assert!(Settings::parse(&broken).unwrap_err().contains("lease_s"));
    let broken = SETTINGS.replace("lease_s = 14.0", "lease_s = -1.0");
    assert!(Settings::parse(&broken).unwrap_err().contains("lease_s"));
    let broken = format!("{SETTINGS}[settings.machine_limits]\nmax_sockets = 0\n");
    assert!(Settings::parse(&broken).unwrap_err().contains("max_sockets"));
    let broken = format!("{SETTINGS}[settings.machine_limits]\ncore_share = -0.1\n");
    assert!(Settings::parse(&broken).unwrap_err().contains("core_share"));
    let broken = SETTINGS.replace("list_lag_s = 4.0", "list_lag_s = nan");
    assert!(Settings::parse(&broken).unwrap_err().contains("list_lag_s"));
    let broken = SETTINGS.replace("state = \"127.0.0.1:1\"", "state = \"nowhere\"");
    assert!(Settings::parse(&broken).unwrap_err().contains("outside.state"));
}

#[test]
fn operator_settings_refuse_unknown_keys() {
    let found = OperatorSettings::parse("[fleet]\nidle_return_s = 30\n").unwrap();
    assert_eq!(found.idle_return_ms, Some(30_000));
    assert!(OperatorSettings::parse("[fleet]\nidle = 30\n").unwrap_err().contains("idle"));
    assert!(OperatorSettings::parse("[fleet]\nidle_return_s = soon\n").is_err());
}
