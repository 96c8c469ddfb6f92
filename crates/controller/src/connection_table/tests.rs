use super::*;
use salvo::fuse::TransProto;

fn info() -> FuseInfo {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    FuseInfo {
        trans_proto: TransProto::Tcp,
        remote_addr: address.into(),
        local_addr: address.into(),
    }
}

/// Guards against a full socket table that ends the process, or shuts users out while connections
/// whose other side a cut took away hold it.
#[tokio::test]
async fn full_connection_table_closes_only_longest_idle_connection() {
    let connections = ConnectionTable::new(4, Duration::from_secs(20));
    let mut held = Vec::new();
    for n in 0..4u64 {
        let ctrl = ConnCtrl::new();
        let observer = connections.observe(&info(), &ctrl);
        held.push((ctrl, observer));
        // The first one has been quiet longest, the last one is busy.
        let open = connections.table.open.lock().unwrap();
        open[&n].last_traffic.set(MonotonicTime::from_millis(n * 10_000));
    }
    let almost_busy = constants::CONNECTION_BUSY - Duration::from_millis(1);
    connections.table.close_idle(MonotonicTime::from_millis(30_000) + almost_busy);
    let closed: Vec<bool> = held.iter().map(|(ctrl, _)| ctrl.is_aborted()).collect();
    assert_eq!(closed, [true, false, false, false]);
    assert_eq!(connections.open_connections(), 4, "its socket is held until its stream is dropped");
    held.remove(0);
    assert_eq!(connections.open_connections(), 3);
    assert!(matches!(connections.decide(&info()).await, FuseAction::Accept(_)));
    connections.table.close_idle(MonotonicTime::from_millis(10_000) + almost_busy);
    assert!(held.iter().all(|(ctrl, _)| !ctrl.is_aborted()), "busy ones stay");
}

#[test]
fn idle_timeout_exceeds_longest_heartbeat_interval() {
    let connections = ConnectionTable::for_machine(1_000, 8.0);
    let idle = connections.config.connection_idle_timeout.unwrap();
    assert!(idle.as_secs_f64() > 8.0 * constants::MAX_HEARTBEAT_INTERVAL_FACTOR);
    assert!(connections.table.max_connections < 1_000);
}
