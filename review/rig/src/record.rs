//! The record of a run: what was sent, answered and run, with the time since its start.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines to `record.txt` and to standard output. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(std::fs::File::create(path)?));
        Ok(Self { started_at: Instant::now(), file })
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }
}
