use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use comfreymast_base::Clock;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record, SetLoggerError};
use serde_json::Map;

/// The most lines that may wait to be written; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// How long lines are collected before they are written together.
const BATCH_MS: u64 = 50;

/// Lines that were dropped because the queue was full.
pub(crate) static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes log records to standard output as lines of JSON, from a separate thread. A full queue
/// drops lines and logs how many; it never blocks the caller.
struct JsonLog {
    clock: Clock,
    lines: async_channel::Sender<String>,
}

/// Sends all log records of the process to standard output as lines of JSON.
///
/// # Errors
///
/// [`SetLoggerError`] when a logger is already installed.
pub fn install_log(level: LevelFilter) -> Result<(), SetLoggerError> {
    let (lines, queued) = async_channel::bounded(MAX_QUEUED_LINES);
    log::set_boxed_logger(Box::new(JsonLog { clock: Clock::system(), lines }))?;
    log::set_max_level(level);
    std::thread::spawn(move || write_lines(&queued));
    Ok(())
}

fn write_lines(queued: &async_channel::Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = queued.recv_blocking() {
        std::thread::sleep(Duration::from_millis(BATCH_MS));
        let mut text = first;
        while let Ok(line) = queued.try_recv() {
            text.push_str(&line);
        }
        let dropped = DROPPED_LINES.load(Ordering::Acquire);
        if dropped > reported {
            text.push_str(&format!(
                "{{\"code\":1902,\"msg\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            ));
            reported = dropped;
        }
        // With standard output closed, the error cannot be reported anywhere.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
    }
}

impl Log for JsonLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "comfreymast" || metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut fields = Fields::default();
        fields.0.insert("ts_ms".into(), self.clock.unix_ms().into());
        fields.0.insert("level".into(), record.level().as_str().into());
        fields.0.insert("msg".into(), record.args().to_string().into());
        // The visitor below never fails.
        let _ = record.key_values().visit(&mut fields);
        let mut line = serde_json::Value::Object(fields.0).to_string();
        line.push('\n');
        if self.lines.try_send(line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::AcqRel);
        }
    }

    fn flush(&self) {}
}

#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
