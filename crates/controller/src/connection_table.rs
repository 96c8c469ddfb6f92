//! The door: the connections that this node has accepted, as many as its sockets allow.
//!
//! Each machine keeps one connection to the leader, users keep theirs, and a cut leaves behind
//! connections whose other side is gone. When the table is full, the connection that has been quiet
//! longest is closed: a worker or user opens a new one when it needs one. What is left over of the
//! sockets stays for the state service, the cloud, the other controllers and the workers that are
//! sent to.

use hookway_constants as constants;
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A connection that may be closed.
struct OpenConnection {
    last_ms: Arc<AtomicU64>,
    ctrl: ConnCtrl,
}

struct Connections {
    start: Instant,
    max_connections: usize,
    /// Connections that hold a socket, those included that are being closed.
    held_sockets: AtomicUsize,
    next_id: AtomicU64,
    open: Mutex<HashMap<u64, OpenConnection>>,
}

impl Connections {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Closes those that have been quiet longest, a few at a time, so that looking at all of them pays.
    fn close_quiet(&self, now_ms: u64) {
        let Ok(mut open) = self.open.lock() else { return };
        let mut quiet: Vec<(u64, u64)> = open
            .iter()
            .map(|(id, o)| (o.last_ms.load(Ordering::Relaxed), *id))
            .filter(|(last, _)| last + constants::CONNECTION_BUSY_MS <= now_ms)
            .collect();
        quiet.sort_unstable();
        for (_, id) in quiet
            .into_iter()
            .take(self.max_connections.div_ceil(constants::CONNECTION_CLOSE_DIVISOR))
        {
            if let Some(o) = open.remove(&id) {
                o.ctrl.abort();
            }
        }
    }
}

/// One connection's traffic; it leaves the table when the connection's stream is dropped.
struct ConnectionActivity {
    id: u64,
    table: Arc<Connections>,
    last_ms: Arc<AtomicU64>,
}

impl ConnObserver for ConnectionActivity {
    fn on_read(&self, _: usize) {
        self.last_ms.store(self.table.now_ms(), Ordering::Relaxed);
    }

    fn on_write(&self, _: usize) {
        self.last_ms.store(self.table.now_ms(), Ordering::Relaxed);
    }
}

impl Drop for ConnectionActivity {
    fn drop(&mut self) {
        self.table.held_sockets.fetch_sub(1, Ordering::Relaxed);
        if let Ok(mut open) = self.table.open.lock() {
            open.remove(&self.id);
        }
    }
}

/// Lets connections in and closes quiet ones.
#[derive(Clone)]
pub struct ConnectionTable {
    table: Arc<Connections>,
    config: FuseConfig,
}

impl ConnectionTable {
    /// A door for `most` connections. One that is quiet for `idle` is closed in any case.
    pub fn new(most: usize, idle: Duration) -> Self {
        let table = Connections {
            start: Instant::now(),
            max_connections: most.max(1),
            held_sockets: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            open: Mutex::default(),
        };
        let config = FuseConfig::default()
            .with_http1_header_timeout(idle)
            .with_connection_idle_timeout(idle);
        Self { table: Arc::new(table), config }
    }

    /// For a node with so many sockets, whose workers report every `report_s`: a part stays for what
    /// the node opens itself, and no connection is closed that a worker still reports over.
    pub fn for_machine(max_sockets: usize, report_s: f64) -> Self {
        let most = (max_sockets as f64 * constants::INBOUND_SOCKET_SHARE) as usize;
        let idle = (report_s * constants::CONNECTION_IDLE_HEARTBEATS)
            .max(constants::CONNECTION_IDLE_MIN_S);
        Self::new(most, Duration::from_secs_f64(idle))
    }

    /// Connections that hold a socket.
    pub fn open_connections(&self) -> usize {
        self.table.held_sockets.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl FusePolicy for ConnectionTable {
    /// A full table delays a new connection and never refuses it.
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        while self.open_connections() >= self.table.max_connections {
            self.table.close_quiet(self.table.now_ms());
            tokio::time::sleep(Duration::from_millis(constants::CONNECTION_TABLE_RETRY_MS)).await;
        }
        FuseAction::Accept(self.config)
    }

    fn observe(&self, _: &FuseInfo, ctrl: &ConnCtrl) -> Option<ArcConnObserver> {
        let id = self.table.next_id.fetch_add(1, Ordering::Relaxed);
        let last_ms = Arc::new(AtomicU64::new(self.table.now_ms()));
        self.table.held_sockets.fetch_add(1, Ordering::Relaxed);
        if let Ok(mut open) = self.table.open.lock() {
            open.insert(id, OpenConnection { last_ms: last_ms.clone(), ctrl: ctrl.clone() });
        }
        Some(Arc::new(ConnectionActivity { id, table: self.table.clone(), last_ms }))
    }
}

#[cfg(test)]
mod tests;
