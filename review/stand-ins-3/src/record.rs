//! What was sent, answered and run, as lines of `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn open(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("open record.txt");
        Self {
            file: Mutex::new(file),
            started_at: Instant::now(),
        }
    }

    /// Adds a line with the time since the start, and prints it.
    pub fn add(&self, text: &str) {
        print!("{}", self.note(Instant::now(), text));
    }

    /// Adds a line with the time from the start to `at`, and returns it.
    pub fn note(&self, at: Instant, text: &str) -> String {
        let seconds = at.saturating_duration_since(self.started_at).as_secs_f64();
        let line = format!("{seconds:8.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        line
    }
}
