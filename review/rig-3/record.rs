//! The record of a run.

use std::fs::File;
use std::io::{Result, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The file `record.txt`, with the time since the start on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}
