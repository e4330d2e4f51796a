//! Decision logs: JSON lines on standard output, through a bounded queue that never blocks callers.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use log::kv::{Key, Value, VisitSource};
use serde_json::Map;

/// Limit for lines that wait to be written. If the reader of the output stalls for longer, lines are
/// dropped so that requests are not delayed.
const MAX_QUEUED_LINES: usize = 8192;
const OWN_LOG_TARGET: &str = "ebonydock";

/// A logger that writes on a thread of its own.
pub struct DecisionLog {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
    level: log::LevelFilter,
}

struct FieldCollector<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let number = value.to_u64().map(serde_json::Value::from);
        let number = number.or_else(|| value.to_f64().map(serde_json::Value::from));
        let value = number.or_else(|| value.to_bool().map(Into::into));
        let value = value.unwrap_or_else(|| text.into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl log::Log for DecisionLog {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        let is_own = metadata.target().starts_with(OWN_LOG_TARGET);
        metadata.level() <= if is_own { self.level } else { log::LevelFilter::Warn }
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut fields = Map::new();
        fields.insert("ts_ms".into(), crate::clock::unix_millis().into());
        fields.insert("level".into(), record.level().as_str().into());
        fields.insert("event".into(), record.args().to_string().into());
        // This never fails, because the collector accepts every pair.
        let _ = record.key_values().visit(&mut FieldCollector(&mut fields));
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.insert("lines_dropped_before".into(), dropped.into());
        }
        let mut line = serde_json::Value::Object(fields).to_string().into_bytes();
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Installs the decision log as the logger of the process.
///
/// # Errors
///
/// Returns a message if a logger is already installed or the writer thread cannot be started.
pub fn open_decision_log(level: log::LevelFilter) -> Result<(), String> {
    let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    writer.spawn(move || write_lines(&receiver)).map_err(|error| error.to_string())?;
    let log = DecisionLog { lines, dropped: AtomicU64::new(0), level };
    log::set_boxed_logger(Box::new(log)).map_err(|error| error.to_string())?;
    log::set_max_level(level.max(log::LevelFilter::Warn));
    Ok(())
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        // A closed output must not affect requests.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
