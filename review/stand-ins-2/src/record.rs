//! What clients sent and got, and what targets ran.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A request that a target began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub target: String,
    pub at: Instant,
}

/// A client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub path: String,
    pub instance: usize,
    pub sent_at: Instant,
    /// The status, or what happened instead.
    pub outcome: String,
}

/// What clients sent and got, what targets ran, and what happened.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    pub runs: Mutex<Vec<Run>>,
    pub attempts: Mutex<Vec<Attempt>>,
    /// When the work for a request ended, and whether it was done.
    pub ends: Mutex<Vec<(String, Instant, bool)>>,
    notes: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            runs: Mutex::default(),
            attempts: Mutex::default(),
            ends: Mutex::default(),
            notes: Mutex::default(),
        }
    }

    pub fn run(&self, run: Run) {
        self.runs.lock().unwrap().push(run);
    }

    pub fn end(&self, id: &str, done: bool) {
        self.ends
            .lock()
            .unwrap()
            .push((id.to_owned(), Instant::now(), done));
    }

    pub fn attempt(&self, attempt: Attempt) {
        self.attempts.lock().unwrap().push(attempt);
    }

    pub fn note(&self, text: &str) {
        println!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.notes
            .lock()
            .unwrap()
            .push((Instant::now(), text.to_owned()));
    }

    /// Returns the number of attempts, and of runs.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.attempts.lock().unwrap().len(),
            self.runs.lock().unwrap().len(),
        )
    }

    /// Writes all events in the order of their times.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let seconds = |at: Instant| at.duration_since(self.started).as_secs_f64();
        let mut lines: Vec<(f64, String)> = Vec::new();
        for a in self.attempts.lock().unwrap().iter() {
            let text = format!(
                "sent {} {} to instance {}: {}",
                a.id, a.path, a.instance, a.outcome
            );
            lines.push((seconds(a.sent_at), text));
        }
        for r in self.runs.lock().unwrap().iter() {
            lines.push((
                seconds(r.at),
                format!("run {} {} at {}", r.id, r.path, r.target),
            ));
        }
        for (id, at, done) in self.ends.lock().unwrap().iter() {
            let text = if *done {
                "done"
            } else {
                "dropped, as the connection ended"
            };
            lines.push((seconds(*at), format!("work for {id} {text}")));
        }
        for (at, text) in self.notes.lock().unwrap().iter() {
            lines.push((seconds(*at), text.clone()));
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = File::create(path)?;
        for (at, text) in lines {
            writeln!(file, "{at:8.3} s  {text}")?;
        }
        Ok(())
    }
}
