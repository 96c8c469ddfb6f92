use super::*;
use salvo::fuse::TransProto;

fn fuse_info() -> FuseInfo {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    FuseInfo {
        trans_proto: TransProto::Tcp,
        remote_addr: address.into(),
        local_addr: address.into(),
    }
}

/// While connections whose other end is partitioned fill the table, the controller must neither run
/// out of sockets nor refuse users.
#[tokio::test]
async fn full_connection_table_closes_only_longest_idle_connection() {
    let connections = ConnectionTable::new(4, Duration::from_secs(20));
    let mut open_connections = Vec::new();
    for n in 0..4u64 {
        let control = ConnCtrl::new();
        let observer = connections.observe(&fuse_info(), &control);
        open_connections.push((control, observer));
        // The first connection has been idle longest; the last one is busy.
        let open = connections.table.open.lock().unwrap();
        open[&n].last_traffic.set(MonotonicTime::from_millis(n * 10_000));
    }
    let almost_busy = constants::CONNECTION_BUSY_TIME - Duration::from_millis(1);
    connections.table.close_idle(MonotonicTime::from_millis(30_000) + almost_busy);
    let closed: Vec<bool> =
        open_connections.iter().map(|(control, _)| control.is_aborted()).collect();
    assert_eq!(closed, [true, false, false, false]);
    assert_eq!(
        connections.open_connections(),
        4,
        "an aborted connection counts until its stream is dropped"
    );
    open_connections.remove(0);
    assert_eq!(connections.open_connections(), 3);
    assert!(matches!(connections.decide(&fuse_info()).await, FuseAction::Accept(_)));
    connections.table.close_idle(MonotonicTime::from_millis(10_000) + almost_busy);
    assert!(
        open_connections.iter().all(|(control, _)| !control.is_aborted()),
        "busy connections stay open"
    );
}

#[test]
fn idle_timeout_exceeds_longest_heartbeat_interval() {
    let connections = ConnectionTable::for_machine(1_000, 8.0);
    let idle_timeout = connections.config.connection_idle_timeout.unwrap();
    assert!(idle_timeout.as_secs_f64() > 8.0 * constants::MAX_HEARTBEAT_INTERVAL_FACTOR);
    assert!(connections.table.max_connections < 1_000);
}
