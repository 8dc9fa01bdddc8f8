//! Writes log lines to standard output, one JSON object per line. The volume is bounded and
//! requests never wait for the log: if the reader stalls, lines are dropped.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use spdlog::Level;
use spdlog::Logger;
use spdlog::Record;
use spdlog::sink::GetSinkProp;
use spdlog::sink::Sink;
use spdlog::sink::SinkProp;

use crate::event::Event;

/// How long a process that ends waits for the reader of its log, and how often it looks whether all
/// lines are written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(400);
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Limits of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The maximum number of bytes that wait for the reader.
    pub max_buffered_bytes: usize,
    /// The maximum number of waiting bytes up to which routine lines are accepted. The rest of
    /// the buffer is reserved for lines that explain a failure.
    pub max_routine_bytes: usize,
    /// How long lines are collected before they are written.
    pub flush_interval: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_buffered_bytes: 128 << 10,
            max_routine_bytes: 64 << 10,
            flush_interval: Duration::from_millis(100),
        }
    }
}

/// A sink that holds lines until the writer thread takes them.
struct Buffer {
    prop: SinkProp,
    options: Options,
    lines: Mutex<Vec<u8>>,
    non_empty: Condvar,
    /// Whether the process ends, so that lines are written at once.
    is_urgent: AtomicBool,
    /// Notified when `is_urgent` is set.
    urgent: Condvar,
    /// Whether the thread has taken lines that it is still writing.
    is_writing: AtomicBool,
    dropped_lines: AtomicU64,
}

impl GetSinkProp for Buffer {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for Buffer {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let limit = match record.level() {
            Level::Info => self.options.max_routine_bytes,
            _ => self.options.max_buffered_bytes,
        };
        let logged_at = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let head = format!("{{\"time_ms\":{},", logged_at.as_millis());
        let rest = record.payload().strip_prefix('{').unwrap_or_default();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() + head.len() + rest.len() + 1 > limit {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let was_empty = lines.is_empty();
        lines.extend_from_slice(head.as_bytes());
        lines.extend_from_slice(rest.as_bytes());
        lines.push(b'\n');
        if was_empty {
            self.non_empty.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

impl Buffer {
    /// Waits for lines and writes those that follow soon together with them.
    fn write(&self, to: &mut (impl Write + ?Sized)) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting = self.non_empty.wait_while(lines, |lines| lines.is_empty());
        let lines = waiting.unwrap_or_else(PoisonError::into_inner);
        let is_collecting = |_: &mut Vec<u8>| !self.is_urgent.load(Ordering::Relaxed);
        let interval = self.options.flush_interval;
        let collected = self
            .urgent
            .wait_timeout_while(lines, interval, is_collecting);
        drop(collected);
        self.write_waiting(to);
    }

    /// Has lines written at once from now on.
    fn set_urgent(&self) {
        let _lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        self.is_urgent.store(true, Ordering::Relaxed);
        self.urgent.notify_one();
    }

    fn take(&self) -> Vec<u8> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        self.is_writing.store(true, Ordering::Release);
        std::mem::take(&mut *lines)
    }

    fn write_waiting(&self, to: &mut (impl Write + ?Sized)) {
        let lines = self.take();
        // If the reader is gone, the lines are lost: the error cannot be reported anywhere.
        let _ = to.write_all(&lines).and_then(|()| to.flush());
        self.is_writing.store(false, Ordering::Release);
    }

    /// Whether all lines were written.
    fn is_written(&self) -> bool {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.is_empty() && !self.is_writing.load(Ordering::Acquire)
    }
}

/// The log of one process.
#[derive(Clone)]
pub struct Log {
    logger: Arc<Logger>,
    buffer: Arc<Buffer>,
    output: Arc<Mutex<dyn Write + Send>>,
    has_writer: Arc<AtomicBool>,
    is_finished: Arc<AtomicBool>,
}

impl Log {
    /// Creates a log, and starts the thread that writes it to `to` if the host allows another.
    ///
    /// # Errors
    /// Fails if the logger cannot be created.
    pub fn start(options: Options, to: impl Write + Send + 'static) -> anyhow::Result<Log> {
        let log = Log::new(options, to)?;
        // Lines wait meanwhile, and the thread is asked for again.
        let _ = log.try_start_writer();
        Ok(log)
    }

    /// Creates a log whose lines wait until [`Log::try_start_writer`].
    ///
    /// # Errors
    /// Fails if the logger cannot be created.
    pub fn new(options: Options, to: impl Write + Send + 'static) -> anyhow::Result<Log> {
        let buffer = Arc::new(Buffer {
            prop: SinkProp::default(),
            options,
            lines: Mutex::default(),
            non_empty: Condvar::new(),
            is_urgent: AtomicBool::new(false),
            urgent: Condvar::new(),
            is_writing: AtomicBool::new(false),
            dropped_lines: AtomicU64::new(0),
        });
        let logger = Logger::builder().sink(buffer.clone()).build()?;
        Ok(Log {
            logger: Arc::new(logger),
            buffer,
            output: Arc::new(Mutex::new(to)),
            has_writer: Arc::default(),
            is_finished: Arc::default(),
        })
    }

    /// Starts the thread that writes the log, unless it runs.
    ///
    /// # Errors
    /// Fails if the host allows no further thread.
    pub fn try_start_writer(&self) -> io::Result<()> {
        if self.has_writer.load(Ordering::Relaxed) {
            return Ok(());
        }
        let (buffer, output) = (self.buffer.clone(), self.output.clone());
        let thread = std::thread::Builder::new()
            .name("log".into())
            .stack_size(64 << 10);
        thread.spawn(move || {
            let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
            loop {
                buffer.write(&mut *output);
            }
        })?;
        self.has_writer.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Has panics of the process logged instead of written to standard error.
    pub fn record_panics(&self) {
        let log = self.clone();
        std::panic::set_hook(Box::new(move |panic| {
            let place = panic.location().map(ToString::to_string);
            log.write(&Event::Panicked {
                place: &place.unwrap_or_default(),
            });
        }));
    }

    /// Logs an event.
    pub fn write(&self, event: &Event<'_>) {
        if self.is_finished.load(Ordering::Relaxed) {
            return;
        }
        let Ok(text) = serde_json::to_string(event) else {
            return;
        };
        if event.is_failure() {
            spdlog::warn!(logger: self.logger, "{text}");
        } else {
            spdlog::info!(logger: self.logger, "{text}");
        }
    }

    /// Waits until the lines so far are written, logs the last event and waits until that is written,
    /// unless the reader has had its time. Tasks that go on after the last event log nothing more.
    pub async fn finish(&self, last: &Event<'_>) {
        let deadline = tokio::time::Instant::now() + FINISH_TIMEOUT;
        // Tasks that are ready may have something to log.
        tokio::task::yield_now().await;
        self.buffer.set_urgent();
        self.wait_until_written(deadline).await;
        self.write(last);
        self.is_finished.store(true, Ordering::Relaxed);
        self.wait_until_written(deadline).await;
    }

    /// Waits until all lines are written, or until a time.
    async fn wait_until_written(&self, deadline: tokio::time::Instant) {
        if !self.has_writer.load(Ordering::Relaxed) {
            let mut output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
            self.buffer.write_waiting(&mut *output);
        }
        while !self.buffer.is_written() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped_lines(&self) -> u64 {
        self.buffer.dropped_lines.load(Ordering::Relaxed)
    }
}
