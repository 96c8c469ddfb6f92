use super::*;

#[test]
fn address_is_allowed_if_in_a_network_or_none_is_set() {
    let networks = Networks::parse("10.0.0.0/24, fd00::/8,10.0.1.0/24").unwrap();
    assert!(
        networks.allows_socket_address("10.0.0.255:9000")
            && networks.allows_socket_address("10.0.1.7:1")
    );
    assert!(networks.allows_socket_address("[fd00::5]:9000"));
    assert!(
        !networks.allows_socket_address("10.0.2.1:9000")
            && !networks.allows_socket_address("[::1]:9000")
    );
    assert!(!networks.allows_socket_address("10.0.0.1"), "an address without port is refused");
    assert!(
        !networks.allows_socket_address("worker-0:9000"),
        "a host name is refused if networks are set"
    );
    assert!(Networks::default().allows_socket_address("worker-0:9000"));
}

#[test]
fn invalid_network_is_rejected_by_name() {
    for invalid in ["10.0.0.0/33", "10.0.0.0/24,", "nowhere", "10.0.0/24", "fd00::/129"] {
        let invalid_part = invalid.split(',').next_back().unwrap();
        assert!(
            Networks::parse(invalid).unwrap_err().to_string().contains(invalid_part),
            "{invalid}"
        );
    }
}
