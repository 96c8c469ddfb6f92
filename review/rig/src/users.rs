//! A user: submits jobs, asks about them and cancels them, and records the answers.

use crate::record::Record;
use hookway_clients::HttpClient;
use hyper::Method;
use std::time::Duration;

pub struct User {
    pub record: Record,
    pub apis: Vec<String>,
}

/// An answer to a user: the status, and the body if it is JSON.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: serde_json::Value,
}

impl Answer {
    pub fn state(&self) -> &str {
        self.body["Status"].as_str().unwrap_or_default()
    }
}

/// The submission of an array whose tasks take `vcpus` CPUs each.
pub fn array(id: &str, pieces: u32, vcpus: f64, guess_s: f64) -> String {
    format!(
        "{{\"NameId\":\"{id}\",\"Lane\":\"potrivire-zilnica\",\"Owner\":\"echipa-registru\",\
         \"Shape\":\"array\",\"Rank\":\"normal\",\"Pieces\":{pieces},\"Vcpus\":{vcpus:.1},\
         \"Gpus\":0.0,\"RamGb\":1.8,\"Bundle\":\"img-01\",\"ImageGb\":0.2,\"Flavors\":null,\
         \"Yard\":null,\"Together\":false,\"Spread\":false,\"Loaners\":true,\"GuessS\":{guess_s:.1},\
         \"SnapshotEveryS\":0.0,\"SnapshotS\":0.0,\"DueS\":null}}"
    )
}

impl User {
    async fn ask(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: Option<String>,
        wait: Duration,
    ) -> Option<Answer> {
        let client = HttpClient::new(&self.apis[node]);
        let body = body.map(String::into_bytes);
        let response = client.exchange(method, path, body, wait).await.ok()?;
        Some(Answer {
            status: response.status.as_u16(),
            body: serde_json::from_slice(&response.body).unwrap_or_default(),
        })
    }

    fn note(&self, what: &str, node: usize, answer: &Option<Answer>) {
        let text = match answer {
            Some(answer) => format!("{} {}", answer.status, answer.body),
            None => "no answer".into(),
        };
        self.record.line(&format!("user: {what} at worker-{node}: {text}"));
    }

    /// Submits a job, and repeats that at the next node for up to 60 s. Returns whether it was accepted.
    pub async fn submit(&self, body: &str) -> bool {
        let id = serde_json::from_str::<serde_json::Value>(body).expect("a job")["NameId"].clone();
        for turn in 0..30 {
            let node = turn % self.apis.len();
            let wait = Duration::from_secs(5);
            let answer =
                self.ask(node, Method::POST, "/api/jobs", Some(body.to_owned()), wait).await;
            self.note(&format!("submit {id}"), node, &answer);
            if answer.is_some_and(|answer| answer.status == 201 || answer.status == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        false
    }

    pub async fn submit_once(&self, node: usize, body: &str) -> Option<Answer> {
        let wait = Duration::from_secs(5);
        let answer = self.ask(node, Method::POST, "/api/jobs", Some(body.to_owned()), wait).await;
        self.note("submit", node, &answer);
        answer
    }

    pub async fn status(&self, node: usize, id: &str) -> Option<Answer> {
        let path = format!("/api/jobs/{id}");
        let answer = self.ask(node, Method::GET, &path, None, Duration::from_secs(2)).await;
        self.note(&format!("status of {id}"), node, &answer);
        answer
    }

    pub async fn cancel(&self, node: usize, id: &str) -> Option<Answer> {
        let path = format!("/api/jobs/{id}/withdraw");
        let wait = Duration::from_secs(5);
        let answer = self.ask(node, Method::POST, &path, Some("{}".into()), wait).await;
        self.note(&format!("cancel {id}"), node, &answer);
        answer
    }
}
