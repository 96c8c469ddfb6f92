//! The record of a run: what was sent, answered and run, with the time since the start.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Shared>);

struct Shared {
    started_at: Instant,
    file: Mutex<std::fs::File>,
    broken: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Mutex::new(std::fs::File::create(path).expect("the record can be written"));
        Self(Arc::new(Shared { started_at: Instant::now(), file, broken: Mutex::default() }))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now();
        let mut file = self.0.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }

    /// Records that a rule was broken.
    pub fn broken(&self, text: impl AsRef<str>) {
        self.line(format!("RULE BROKEN: {}", text.as_ref()));
        self.0.broken.lock().unwrap_or_else(|e| e.into_inner()).push(text.as_ref().to_owned());
    }

    pub fn breaches(&self) -> Vec<String> {
        self.0.broken.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}
