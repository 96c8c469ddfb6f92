//! A stand-in of the state service.

use crate::http::{Reply, Request, json, serve};
use serde_json::{Value, json as j};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of changes that a watch can still return.
const KEPT_CHANGES: usize = 10_000;

struct Entry {
    value: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Grant {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct Contents {
    keys: BTreeMap<String, Entry>,
    epoch: u64,
    /// Revision, key and event of the last changes.
    events: Vec<(u64, String, Value)>,
    grants: HashMap<u64, Grant>,
    last_permit: u64,
}

pub struct Limits {
    pub txn_ops: usize,
    pub value_bytes: usize,
    /// Puts and deletes a second; bursts of one second's worth are allowed. `None`: the case stays far below.
    pub write_rps: Option<f64>,
}

/// What is left of the limit on puts and deletes.
struct Budget {
    writes: f64,
    updated_at: Instant,
}

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    limits: Limits,
    budget: Mutex<Budget>,
}

impl Contents {
    fn put(&mut self, key: &str, value: Value, permit: Option<u64>) {
        let stamp = self.epoch;
        self.events.push((stamp, key.to_owned(), j!({"Put": key, "V": value, "Stamp": stamp})));
        self.keys.insert(key.to_owned(), Entry { value, stamp, permit });
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let stamp = self.epoch;
            self.events.push((stamp, key.to_owned(), j!({"Delete": key, "Stamp": stamp})));
        }
    }

    fn end_grant(&mut self, permit: u64) -> bool {
        if self.grants.remove(&permit).is_none() {
            return false;
        }
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, entry)| entry.permit == Some(permit)).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        keys.iter().for_each(|key| self.delete(key));
        true
    }
}

impl Store {
    /// Starts the service on a free port of `ip`. Returns it with its address.
    pub fn start(ip: &str, limits: Limits) -> std::io::Result<(Arc<Self>, String)> {
        let budget = Budget { writes: limits.write_rps.unwrap_or(0.0), updated_at: Instant::now() };
        let store =
            Arc::new(Self { contents: Mutex::default(), changed: Condvar::new(), limits, budget: Mutex::new(budget) });
        let ending = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut contents = ending.contents.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> =
                    contents.grants.iter().filter(|(_, grant)| now >= grant.ends_at).map(|(id, _)| *id).collect();
                for permit in ended {
                    contents.end_grant(permit);
                }
                drop(contents);
                ending.changed.notify_all();
            }
        });
        let serving = store.clone();
        let address = serve(ip, move |request| serving.answer(request))?;
        Ok((store, address))
    }

    fn answer(&self, request: &Request) -> Reply {
        let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["keys"]) => self.list(request),
            ("GET", ["keys", ..]) => self.get(&request.path["/keys/".len()..]),
            ("POST", ["commit"]) => self.commit(&request.body),
            ("POST", ["grants"]) => self.grant(&request.body),
            ("POST", ["grants", id, "extend"]) => self.extend(id),
            ("DELETE", ["grants", id]) => {
                let ended = self.contents.lock().unwrap().end_grant(id.parse().unwrap_or(0));
                self.changed.notify_all();
                json(if ended { 200 } else { 404 }, j!({}))
            }
            ("GET", ["watch"]) => self.watch(request),
            _ => json(400, j!({"error": "no such request"})),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let contents = self.contents.lock().unwrap();
        match contents.keys.get(key) {
            Some(entry) => {
                let mut found = j!({"Key": key, "V": entry.value, "Stamp": entry.stamp});
                if let Some(permit) = entry.permit {
                    found["Permit"] = permit.into();
                }
                json(200, found)
            }
            None => json(404, j!({"Epoch": contents.epoch})),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let (prefix, after) = (request.query("Prefix").unwrap_or(""), request.query("After").unwrap_or(""));
        let most = request.query("Most").and_then(|most| most.parse().ok()).unwrap_or(1_000).clamp(1, 1_000);
        let contents = self.contents.lock().unwrap();
        let mut found = contents.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let pairs: Vec<Value> = found
            .by_ref()
            .take(most)
            .map(|(key, entry)| j!({"Key": key, "V": entry.value, "Stamp": entry.stamp}))
            .collect();
        json(200, j!({"Pairs": pairs, "HasNext": found.next().is_some(), "Epoch": contents.epoch}))
    }

    /// Takes so many puts and deletes from the limit on them. `false`: they are above it.
    fn is_within_write_rate(&self, writes: usize) -> bool {
        let Some(rate) = self.limits.write_rps else { return true };
        let mut budget = self.budget.lock().unwrap();
        let now = Instant::now();
        budget.writes = (budget.writes + (now - budget.updated_at).as_secs_f64() * rate).min(rate);
        budget.updated_at = now;
        let is_within = budget.writes >= writes as f64;
        if is_within {
            budget.writes -= writes as f64;
        }
        is_within
    }

    fn commit(&self, body: &[u8]) -> Reply {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return json(400, j!({"error": "not JSON"}));
        };
        let empty = Vec::new();
        let guards = transaction["Guards"].as_array().unwrap_or(&empty);
        let apply = transaction["Apply"].as_array().unwrap_or(&empty);
        let is_large = |operation: &Value| {
            operation.get("Put").is_some() && operation["V"].to_string().len() > self.limits.value_bytes
        };
        if apply.len() > self.limits.txn_ops
            || guards.len() > 4 * self.limits.txn_ops
            || body.len() > 64 * 1024
            || apply.iter().any(is_large)
        {
            return json(400, j!({"error": "too large"}));
        }
        if !self.is_within_write_rate(apply.len()) {
            return json(429, j!({"error": "too many changes"}));
        }
        let mut contents = self.contents.lock().unwrap();
        let ended = |operation: &Value| {
            operation["Permit"].as_u64().is_some_and(|permit| !contents.grants.contains_key(&permit))
        };
        if apply.iter().any(ended) {
            return json(400, j!({"error": "no such lease"}));
        }
        let stamp = |key: &str| contents.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<&str> = guards
            .iter()
            .filter_map(|guard| Some((guard["Key"].as_str()?, guard["Stamp"].as_u64()?)))
            .filter(|(key, expected)| stamp(key) != *expected)
            .map(|(key, _)| key)
            .collect();
        if !failed.is_empty() {
            return json(409, j!({"failed": failed, "Epoch": contents.epoch}));
        }
        if !apply.is_empty() {
            contents.epoch += 1;
        }
        for operation in apply {
            if let Some(key) = operation["Put"].as_str() {
                contents.put(key, operation["V"].clone(), operation["Permit"].as_u64());
            } else if let Some(key) = operation["Delete"].as_str() {
                contents.delete(key);
            }
        }
        let epoch = contents.epoch;
        drop(contents);
        self.changed.notify_all();
        json(200, j!({"Epoch": epoch}))
    }

    fn grant(&self, body: &[u8]) -> Reply {
        let ttl_ms = serde_json::from_slice::<Value>(body).ok().and_then(|body| body["TtlMs"].as_u64()).unwrap_or(0);
        if !(100..=600_000).contains(&ttl_ms) {
            return json(400, j!({"error": "TtlMs"}));
        }
        let mut contents = self.contents.lock().unwrap();
        contents.last_permit += 1;
        let (permit, ttl) = (contents.last_permit, Duration::from_millis(ttl_ms));
        contents.grants.insert(permit, Grant { ttl, ends_at: Instant::now() + ttl });
        json(200, j!({"Permit": permit}))
    }

    fn extend(&self, id: &str) -> Reply {
        let mut contents = self.contents.lock().unwrap();
        match id.parse().ok().and_then(|id: u64| contents.grants.get_mut(&id)) {
            Some(grant) => {
                grant.ends_at = Instant::now() + grant.ttl;
                json(200, j!({}))
            }
            None => json(404, j!({"error": "no such lease"})),
        }
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("Prefix").unwrap_or("");
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("After"), Duration::from_millis(number("WaitMs").min(60_000)));
        let until = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        let kept = contents.events.len().saturating_sub(KEPT_CHANGES);
        if kept > 0 && contents.events[kept - 1].0 > after {
            return json(410, j!({"error": "too old"}));
        }
        loop {
            let events: Vec<&Value> = contents
                .events
                .iter()
                .filter(|(stamp, key, _)| *stamp > after && key.starts_with(prefix))
                .map(|(_, _, event)| event)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return json(200, j!({"Epoch": contents.epoch, "Events": events}));
            }
            contents = self.changed.wait_timeout(contents, until - now).unwrap().0;
        }
    }
}
