use super::*;

#[test]
fn addresses_are_allowed_by_network_and_all_of_them_without_one() {
    let networks = Networks::parse("10.0.0.0/24, fd00::/8,10.0.1.0/24").unwrap();
    assert!(networks.allow_socket("10.0.0.255:9000") && networks.allow_socket("10.0.1.7:1"));
    assert!(networks.allow_socket("[fd00::5]:9000"));
    assert!(!networks.allow_socket("10.0.2.1:9000") && !networks.allow_socket("[::1]:9000"));
    assert!(!networks.allow_socket("10.0.0.1"), "no port");
    assert!(!networks.allow_socket("worker-0:9000"), "a name is no address");
    assert!(Networks::default().allow_socket("worker-0:9000"));
}

#[test]
fn what_is_no_network_is_named() {
    for wrong in ["10.0.0.0/33", "10.0.0.0/24,", "nowhere", "10.0.0/24", "fd00::/129"] {
        let part = wrong.split(',').next_back().unwrap();
        assert!(Networks::parse(wrong).unwrap_err().contains(part), "{wrong}");
    }
}
