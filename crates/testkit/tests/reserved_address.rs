//! A process can listen on a reserved address, also again after a restart, and no other socket gets its port.

use hookway_testkit::ReservedAddress;
use std::collections::BTreeSet;
use std::net::TcpListener;

#[tokio::test]
async fn reserved_address_can_be_listened_on_repeatedly_and_is_assigned_to_no_other_socket() {
    let reserved = ReservedAddress::reserve().expect("a free port");
    let address = reserved.address();
    for _ in 0..2 {
        let listener = TcpListener::bind(address).expect("the port is free to listen on");
        assert_eq!(listener.local_addr().expect("bound"), address);
    }
    let others: Vec<TcpListener> =
        (0..500).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    let ports: BTreeSet<u16> =
        others.iter().map(|other| other.local_addr().expect("bound").port()).collect();
    assert!(
        !ports.contains(&address.port()),
        "the system gave the reserved port of {address} to another socket"
    );
}
