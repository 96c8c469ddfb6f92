//! A stand-in of the state service, as the protocol page describes it: keys, transactions, leases and watches. Each
//! controller has an address of its own, so that the stand-in knows who asks.

use crate::http::{Reply, Req, serve};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What happens to a request besides its processing.
#[derive(Default, Clone, Copy)]
pub struct Plan {
    /// The request arrives this much later.
    pub before: Duration,
    /// The answer is sent this much later.
    pub after: Duration,
    /// The answer is lost.
    pub lose_answer: bool,
    /// 503: the request is not carried out.
    pub refuse: bool,
    /// The connection is reset instead: before the request is carried out (on arrival), or before the answer.
    pub reset: bool,
}

/// Called with the index of the caller and the request, when the request arrives.
pub type Arrival = Box<dyn Fn(usize, &Req) -> Plan + Send + Sync>;
/// Called after the request was carried out, with status and answer. Its plan's `after` and `lose_answer` count too.
pub type Done = Box<dyn Fn(usize, &Req, u16, &Value) -> Plan + Send + Sync>;

struct Pair {
    value: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct Inner {
    keys: BTreeMap<String, Pair>,
    epoch: u64,
    events: Vec<(u64, String, Value)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store(Arc<Shared>);

struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    arrival: Arrival,
    done: Done,
}

impl Inner {
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = json!({"Delete": key, "Stamp": self.epoch});
            self.events.push((self.epoch, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, p)| p.permit == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.epoch += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
        existed
    }
}

impl Store {
    pub fn new(arrival: Arrival, done: Done) -> Self {
        let store = Self(Arc::new(Shared {
            inner: Mutex::default(),
            changed: Condvar::new(),
            arrival,
            done,
        }));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let now = Instant::now();
                let mut inner = expiring.lock();
                let over: Vec<u64> = inner
                    .leases
                    .iter()
                    .filter(|(_, l)| now >= l.expires_at)
                    .map(|(id, _)| *id)
                    .collect();
                let any = !over.is_empty();
                for id in over {
                    inner.end_lease(id);
                }
                drop(inner);
                if any {
                    expiring.0.changed.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Opens an address for the controller with this index.
    pub fn open(&self, caller: usize) -> String {
        let store = self.clone();
        serve("127.0.0.1:0", move |req| store.handle(caller, req)).to_string()
    }

    /// Returns the value and the lease of a key.
    pub fn get(&self, key: &str) -> Option<(Value, Option<u64>)> {
        self.lock().keys.get(key).map(|p| (p.value.clone(), p.permit))
    }

    fn handle(&self, caller: usize, req: &Req) -> Reply {
        let plan = (self.0.arrival)(caller, req);
        std::thread::sleep(plan.before);
        if plan.reset {
            return Reply::Close;
        }
        if plan.refuse {
            return Reply::Json(503, json!({"error": "trouble"}));
        }
        let (status, value) = self.carry_out(req);
        let then = (self.0.done)(caller, req, status, &value);
        std::thread::sleep(plan.after + then.after);
        if then.reset {
            return Reply::Close;
        }
        if plan.lose_answer || then.lose_answer {
            return Reply::Silent;
        }
        Reply::Json(status, value)
    }

    fn carry_out(&self, req: &Req) -> (u16, Value) {
        let parts: Vec<&str> = req.path.trim_start_matches('/').splitn(2, '/').collect();
        match (req.method.as_str(), parts[0], parts.get(1).copied()) {
            ("GET", "keys", Some(key)) => {
                let inner = self.lock();
                match inner.keys.get(key) {
                    Some(p) => (
                        200,
                        json!({"Key": key, "V": p.value, "Stamp": p.stamp, "Permit": p.permit}),
                    ),
                    None => (404, json!({"Epoch": inner.epoch})),
                }
            }
            ("GET", "keys", None) => self.list(req),
            ("POST", "commit", None) => {
                let answer = self.commit(&req.json());
                self.0.changed.notify_all();
                answer
            }
            ("POST", "grants", None) => {
                let Some(ttl) = req.json()["TtlMs"].as_u64() else { return (400, json!({})) };
                let ttl = Duration::from_millis(ttl);
                let mut inner = self.lock();
                inner.last_lease += 1;
                let id = inner.last_lease;
                inner.leases.insert(id, Lease { ttl, expires_at: Instant::now() + ttl });
                (200, json!({"Permit": id}))
            }
            ("POST", "grants", Some(rest)) => {
                let id = rest.split('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut inner = self.lock();
                match inner.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.expires_at = Instant::now() + lease.ttl;
                        (200, json!({"Permit": id}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", "grants", Some(id)) => {
                let existed = self.lock().end_lease(id.parse().unwrap_or(0));
                self.0.changed.notify_all();
                (if existed { 200 } else { 404 }, json!({}))
            }
            ("GET", "watch", None) => self.watch(req),
            _ => (400, json!({"error": "malformed"})),
        }
    }

    /// A page of keys. As on the protocol page, the pairs of a page don't name leases.
    fn list(&self, req: &Req) -> (u16, Value) {
        let prefix = req.q("Prefix").unwrap_or_default();
        let after = req.q("After").unwrap_or_default();
        let most = req.q("Most").and_then(|m| m.parse().ok()).unwrap_or(1000usize).min(1000);
        let inner = self.lock();
        let mut found = inner
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
            .map(|(k, p)| json!({"Key": k, "V": p.value, "Stamp": p.stamp}));
        let pairs: Vec<Value> = found.by_ref().take(most).collect();
        let has_next = found.next().is_some();
        (200, json!({"Pairs": pairs, "HasNext": has_next, "Epoch": inner.epoch}))
    }

    fn commit(&self, txn: &Value) -> (u16, Value) {
        let mut inner = self.lock();
        let empty = Vec::new();
        let guards = txn["Guards"].as_array().unwrap_or(&empty);
        let failed: Vec<String> = guards
            .iter()
            .filter(|g| {
                let key = g["Key"].as_str().unwrap_or_default();
                inner.keys.get(key).map_or(0, |p| p.stamp) != g["Stamp"].as_u64().unwrap_or(0)
            })
            .map(|g| g["Key"].as_str().unwrap_or_default().to_owned())
            .collect();
        let apply = txn["Apply"].as_array().unwrap_or(&empty);
        let no_lease = apply.iter().any(|op| {
            op["Permit"].as_u64().is_some_and(|id| !inner.leases.contains_key(&id))
        });
        if no_lease {
            return (400, json!({"error": "no such lease"}));
        }
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "Epoch": inner.epoch}));
        }
        if apply.is_empty() {
            return (200, json!({"Epoch": inner.epoch}));
        }
        inner.epoch += 1;
        let stamp = inner.epoch;
        for op in apply {
            if let Some(key) = op["Put"].as_str() {
                let pair = Pair { value: op["V"].clone(), stamp, permit: op["Permit"].as_u64() };
                inner.keys.insert(key.to_owned(), pair);
                let event = json!({"Put": key, "V": op["V"], "Stamp": stamp});
                inner.events.push((stamp, key.to_owned(), event));
            } else if let Some(key) = op["Delete"].as_str() {
                inner.delete(key);
            }
        }
        (200, json!({"Epoch": stamp}))
    }

    fn watch(&self, req: &Req) -> (u16, Value) {
        let prefix = req.q("Prefix").unwrap_or_default();
        let after: u64 = req.q("After").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait: u64 = req.q("WaitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.lock();
        loop {
            let events: Vec<Value> = inner
                .events
                .iter()
                .filter(|(epoch, key, _)| *epoch > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return (200, json!({"Epoch": inner.epoch, "Events": events}));
            }
            inner = self
                .0
                .changed
                .wait_timeout(inner, end - now)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
    }
}
