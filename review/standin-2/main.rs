//! Stand-ins for the users' platform, and the scenarios of the cases in `review/`.
//!
//! Usage: `standin SCENARIO FOLDER`. The store, the workers, the clients and the operator run in this process; the routers are
//! separate processes, started with the command of the deploy file from the repository root. `TROUBLE=0` leaves the disruption
//! out. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod client;
mod json;
mod member;
mod scenarios;
mod store;
mod worker;

use std::{
    fs::File,
    io::Write,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// What the case has seen, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn create(folder: &PathBuf) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Writes a line with the time since the start of the case.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

/// The outcome of a scenario.
pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

/// Waits until a condition holds; returns whether it did within the time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(scenario), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin SCENARIO FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    record.line(format!("scenario {scenario}, trouble {has_trouble}"));
    let outcome = scenarios::run(&scenario, &record, has_trouble);
    let (status, text) = match outcome {
        Outcome::Held => (0, "held".to_string()),
        Outcome::Broken(text) => (1, format!("BROKEN: {text}")),
        Outcome::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.line(&text);
    println!("{scenario}: {text}");
    std::process::exit(status);
}
