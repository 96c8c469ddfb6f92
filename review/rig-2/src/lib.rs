//! Stand-ins for the cases of the second independent review.

pub mod ctl;
pub mod fleet;
pub mod http;
pub mod record;
pub mod store;

use http::call;
use serde_json::{Value, json};
use std::time::Duration;

/// Whether the run has the disruption (`TROUBLE=0`: without).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// An array job of the class `potrivire-zilnica`.
pub fn array(id: &str, pieces: u32, cpus: f64, guess_s: f64) -> Value {
    json!({"NameId": id, "Lane": "potrivire-zilnica", "Owner": "echipa-registru", "Shape": "array",
        "Rank": "normal", "Pieces": pieces, "Vcpus": cpus, "Gpus": 0.0, "RamGb": 1.0, "Bundle": "img-01",
        "ImageGb": 0.2, "Flavors": null, "Yard": null, "Together": false, "Spread": false, "Loaners": true,
        "GuessS": guess_s, "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "DueS": null})
}

/// Submits a job at the nodes in turn, as a user behind the load balancer does, for up to 60 s. Returns the node that
/// accepted it.
pub fn submit(nodes: &[String], job: &Value, record: &record::Record) -> Option<usize> {
    let start = record.now();
    for n in (0..nodes.len()).cycle() {
        if record.now() > start + 60.0 {
            break;
        }
        let answer = call(&nodes[n], "POST", "/api/jobs", Some(job), Duration::from_secs(5));
        record.line(format!("user: submit {} at node {n} -> {answer:?}", job["NameId"]));
        match answer {
            Some((200 | 201, _)) => return Some(n),
            Some((400 | 422, _)) => return None,
            _ => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    None
}

pub fn status(node: &str, id: &str) -> Option<(u16, Value)> {
    call(node, "GET", &format!("/api/jobs/{id}"), None, Duration::from_secs(2))
}

pub fn withdraw(node: &str, id: &str) -> Option<(u16, Value)> {
    call(node, "POST", &format!("/api/jobs/{id}/withdraw"), None, Duration::from_secs(5))
}

/// Ends a run: 1 if a rule was broken, 0 if all held, 2 if the case could not run.
pub fn finish(record: &record::Record, ran: bool) -> i32 {
    let broken = record.breaches();
    if !broken.is_empty() {
        println!("RULE BROKEN, {} times; first: {}", broken.len(), broken[0]);
        return 1;
    }
    if !ran {
        println!("the case could not run");
        return 2;
    }
    println!("the rule held");
    0
}
