//! Tests of reading files that are being written, and of others.

use std::cell::Cell;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use rstest::rstest;
use woadstage_config::fault::Faults;
use woadstage_config::read::Reader;
use woadstage_startup::failure::Failure;
use woadstage_startup::retry::Waiting;
use woadstage_startup::settings_file::read;
use woadstage_types::code::Code;

/// Settings with two tables, all fields of which are required.
fn parse(text: &str) -> Result<(String, u32), Faults> {
    let mut reader = Reader::parse(text)?;
    let mut node = reader.take_table("node");
    let mut listen = reader.take_table("listen");
    let settings = (node.take("host"), listen.take("port"));
    let mut faults = reader.finish();
    for table in [node, listen] {
        faults.0.append(&mut table.finish().0);
    }
    faults.into_result(settings)
}

/// A file that is removed in the end.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: Option<&[u8]>) -> File {
        let name = format!("woadstage-settings-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        if let Some(text) = text {
            std::fs::write(&path, text).expect("the file should be written");
        }
        File(path)
    }

    fn set_age(&self, age: Duration) {
        let file = std::fs::File::options().write(true).open(&self.0);
        let changed = file.and_then(|file| file.set_modified(SystemTime::now() - age));
        changed.expect("the time of the change should be set");
    }
}

impl Drop for File {
    fn drop(&mut self) {
        // It may not exist.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Reads a file, which is completed when a wait is reported. Returns the result and whether it waited.
async fn read_while_written(file: &File) -> (Result<(String, u32), Failure>, bool) {
    let waited = Cell::new(false);
    let report = |_: &Waiting| {
        waited.set(true);
        let complete = "[node]\nhost = \"a\"\n[listen]\nport = 8000\n";
        std::fs::write(&file.0, complete).expect("the file should be written");
    };
    let read = read(&file.0, parse, report).await;
    (read.map(|read| read.settings), waited.get())
}

macro_rules! files {
    ($($name:ident: $text:expr, waits $waits:literal, $result:expr;)*) => {
        #[rstest]
        $(#[case::$name(stringify!($name), $text, $waits, $result)])*
        #[tokio::test]
        async fn a_file_that_may_be_incomplete_is_read_again(
            #[case] name: &str,
            #[case] text: Option<&[u8]>,
            #[case] waits: bool,
            #[case] expected: Result<u32, Code>,
        ) {
            let file = File::new(name, text);
            let (result, waited) = read_while_written(&file).await;
            let result = result.map(|(_, port)| port).map_err(|failure| failure.code);
            assert_eq!((result, waited), (expected, waits));
        }
    };
}

files! {
    complete: Some(&b"[node]\nhost = \"a\"\n[listen]\nport = 80\n"[..]), waits false, Ok(80);
    missing: None, waits true, Ok(8_000);
    empty: Some(&b""[..]), waits true, Ok(8_000);
    no_table_yet: Some(&b"[node]\nhost = \"a\"\n"[..]), waits true, Ok(8_000);
    no_field_yet: Some(&b"[node]\nhost = \"a\"\n[listen]\n"[..]), waits true, Ok(8_000);
    cut_name: Some(&b"[node]\nhost = \"a\"\n[listen]\npo"[..]), waits true, Ok(8_000);
    cut_number: Some(&b"[node]\nhost = \"a\"\n[listen]\nport = 80"[..]), waits true, Ok(8_000);
    cut_wrong_number: Some(&b"[node]\nhost = \"a\"\n[listen]\nport = -"[..]), waits true, Ok(8_000);
    cut_character: Some(&b"[node]\nhost = \"\xc3"[..]), waits true, Ok(8_000);
    no_text: Some(&b"[node]\nhost = \"\xff\"\n"[..]), waits false, Err(Code::SettingsSyntax);
    open_array: Some(&b"[node]\nhost = [\n"[..]), waits true, Ok(8_000);
    wrong_value: Some(&b"[node]\nhost = 7\n[listen]\nport = 80\n"[..]), waits false, Err(Code::SettingsValue);
    wrong_value_before_a_cut: Some(&b"[node]\nhost = 7\n[listen]\npo"[..]), waits false, Err(Code::SettingsSyntax);
    unknown_field: Some(&b"[node]\nhost = \"a\"\nspeed = 1\n"[..]), waits false, Err(Code::SettingsValue);
    no_toml: Some(&b"[node]\nhost is a\n[listen]\nport = 80\n"[..]), waits false, Err(Code::SettingsSyntax);
}

// Guards against a person who waits for the error of a file that nobody is writing.
#[rstest]
#[case::missing_field("old-field", "[node]\nhost = \"a\"\n")]
#[case::no_last_line_end("old-end", "[node]\nhost = \"a")]
#[tokio::test]
async fn an_old_faulty_file_is_an_error_at_once(#[case] name: &str, #[case] text: &str) {
    let file = File::new(name, Some(text.as_bytes()));
    file.set_age(Duration::from_secs(60));
    let (result, waited) = read_while_written(&file).await;
    assert!(result.is_err() && !waited);
}

#[tokio::test]
async fn a_file_that_stays_missing_is_an_error() {
    let file = File::new("none", None);
    let read = read(&file.0, parse, |_: &Waiting| {}).await;
    let failure = read.expect_err("there is no file");
    assert_eq!(failure.code, Code::SettingsMissing);
}
