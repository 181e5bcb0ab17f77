//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("a writable folder");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}
