//! The inbound connections of a controller, whose number is limited by the sockets of its machine.
//!
//! Each worker keeps a connection to the leader open, users keep theirs open, and a network
//! partition leaves connections whose other end can't be reached any more. When the table is full,
//! the connections that have been idle longest are closed; a worker or user opens a new one when
//! needed. The remaining sockets are for the store, the cloud, the other controllers and direct
//! dispatch to workers.

use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The policy of the HTTP server that admits inbound connections and closes idle ones. Clones share
/// one table.
#[derive(Clone)]
pub struct ConnectionTable {
    table: Arc<Connections>,
    config: FuseConfig,
}

impl ConnectionTable {
    /// Creates a table for at most `max_connections` connections (one, if that is zero). A
    /// connection without traffic for `idle_timeout` is closed even if the table is not full.
    pub fn new(max_connections: usize, idle_timeout: Duration) -> Self {
        let table = Connections {
            created_at: Instant::now(),
            max_connections: max_connections.max(1),
            held_sockets: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            open: Mutex::default(),
        };
        let config = FuseConfig::default()
            .with_http1_header_timeout(idle_timeout)
            .with_connection_idle_timeout(idle_timeout);
        Self { table: Arc::new(table), config }
    }

    /// Creates the table of a controller whose machine has `max_sockets` sockets, a share of which
    /// is reserved for outbound connections. The idle timeout exceeds the longest interval between
    /// two heartbeats of a worker.
    pub fn for_machine(max_sockets: usize, heartbeat_interval_s: f64) -> Self {
        let max_connections = (max_sockets as f64 * constants::INBOUND_SOCKET_SHARE) as usize;
        let idle_timeout_s = (heartbeat_interval_s * constants::CONNECTION_IDLE_HEARTBEATS)
            .max(constants::CONNECTION_IDLE_MIN_S);
        Self::new(max_connections, Duration::from_secs_f64(idle_timeout_s))
    }

    /// Returns the number of connections that hold a socket, including those that are being closed.
    pub fn open_connections(&self) -> usize {
        self.table.held_sockets.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl FusePolicy for ConnectionTable {
    /// Delays a new connection while the table is full, and closes idle connections meanwhile.
    /// Never refuses a connection.
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        while self.open_connections() >= self.table.max_connections {
            self.table.close_idle(self.table.now());
            tokio::time::sleep(constants::CONNECTION_TABLE_RETRY).await;
        }
        FuseAction::Accept(self.config)
    }

    fn observe(&self, _: &FuseInfo, ctrl: &ConnCtrl) -> Option<ArcConnObserver> {
        let id = self.table.next_id.fetch_add(1, Ordering::Relaxed);
        let last_traffic = Arc::new(TrafficTime::new(self.table.now()));
        self.table.held_sockets.fetch_add(1, Ordering::Relaxed);
        if let Ok(mut open) = self.table.open.lock() {
            let connection =
                OpenConnection { last_traffic: last_traffic.clone(), ctrl: ctrl.clone() };
            open.insert(id, connection);
        }
        Some(Arc::new(TrafficObserver { id, table: self.table.clone(), last_traffic }))
    }
}

struct Connections {
    created_at: Instant,
    max_connections: usize,
    /// Connections that hold a socket, including those that are being closed.
    held_sockets: AtomicUsize,
    next_id: AtomicU64,
    open: Mutex<HashMap<u64, OpenConnection>>,
}

/// A connection that has not been closed by [`Connections::close_idle`].
struct OpenConnection {
    last_traffic: Arc<TrafficTime>,
    ctrl: ConnCtrl,
}

/// When a connection last had traffic, as a reading of [`Connections::now`]. It is atomic because
/// every read and write of every connection sets it.
#[derive(Debug)]
struct TrafficTime(AtomicU64);

impl TrafficTime {
    fn new(at: MonotonicTime) -> Self {
        Self(AtomicU64::new(at.as_millis()))
    }

    fn set(&self, at: MonotonicTime) {
        self.0.store(at.as_millis(), Ordering::Relaxed);
    }

    fn get(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.0.load(Ordering::Relaxed))
    }
}

impl Connections {
    /// Returns the time since the table was created.
    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(whole_millis(self.created_at.elapsed()))
    }

    /// Closes the connections that have been idle longest, except those with traffic in the last
    /// `CONNECTION_BUSY_TIME`. Closes several at a time, because each call scans the whole table.
    fn close_idle(&self, now: MonotonicTime) {
        let Ok(mut open) = self.open.lock() else { return };
        let mut idle: Vec<(MonotonicTime, u64)> = open
            .iter()
            .map(|(id, connection)| (connection.last_traffic.get(), *id))
            .filter(|(last_traffic, _)| *last_traffic + constants::CONNECTION_BUSY_TIME <= now)
            .collect();
        idle.sort_unstable();
        let batch = self.max_connections.div_ceil(constants::CONNECTION_CLOSE_DIVISOR);
        for (_, id) in idle.into_iter().take(batch) {
            if let Some(connection) = open.remove(&id) {
                connection.ctrl.abort();
            }
        }
    }
}

/// Observes the traffic of a connection. It is dropped together with the stream of the connection,
/// and then removes the connection from the table.
struct TrafficObserver {
    id: u64,
    table: Arc<Connections>,
    last_traffic: Arc<TrafficTime>,
}

impl TrafficObserver {
    fn record_traffic(&self) {
        self.last_traffic.set(self.table.now());
    }
}

impl ConnObserver for TrafficObserver {
    fn on_read(&self, _: usize) {
        self.record_traffic();
    }

    fn on_write(&self, _: usize) {
        self.record_traffic();
    }
}

impl Drop for TrafficObserver {
    fn drop(&mut self) {
        self.table.held_sockets.fetch_sub(1, Ordering::Relaxed);
        if let Ok(mut open) = self.table.open.lock() {
            open.remove(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
