//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;

use crate::time;

/// A file to which all threads write.
pub struct Record(Mutex<File>);

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record(Mutex::new(File::create(path)?)))
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let at = time::unix_ms();
        let mut file = self.0.lock().expect("the record");
        writeln!(file, "{at} {text}").expect("the record can be written");
    }

    /// Adds the lines that another process wrote.
    pub fn add_file(&self, path: &Path) {
        let mut file = self.0.lock().expect("the record");
        if let Ok(text) = std::fs::read_to_string(path) {
            file.write_all(text.as_bytes())
                .expect("the record can be written");
        }
    }
}
