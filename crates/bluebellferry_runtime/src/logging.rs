//! JSON-lines logs, on standard error or bounded on standard output.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

struct FieldCollector(serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldCollector {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match (value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging; each record becomes one JSON object on one line.
///
/// A second call in one process changes nothing.
pub fn start_logging(process: &'static str, level: log::LevelFilter) {
    let started = fern::Dispatch::new()
        .level(level)
        .level_for("reqwest", log::LevelFilter::Warn)
        .level_for("hyper_util", log::LevelFilter::Warn)
        .format(move |out, message, record| {
            let line = render_record(process, &message.to_string(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply();
    if started.is_err() {
        log::debug!("logging had already been started");
    }
}

/// The most lines that wait to be written; at 300 bytes a line they take 150 KB.
const MAX_QUEUED_LINES: usize = 512;
/// How long lines are gathered before they are written together.
const GATHER_TIME: Duration = Duration::from_millis(50);
/// How long an orderly stop waits for the last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

enum LogItem {
    Line(String),
    Flush(mpsc::SyncSender<()>),
}

static QUEUE: OnceLock<mpsc::SyncSender<LogItem>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output through a bounded queue: a line that
/// finds it full is dropped and counted, and the count is logged.
///
/// A second call in one process changes nothing.
pub fn start_bounded_logging(process: &'static str, level: log::LevelFilter) {
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
    if QUEUE.set(sender).is_err() {
        return;
    }
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(process, &receiver)) {
        eprintln!("no thread for logs: {error}");
    }
    let queue_line = move |record: &log::Record<'_>| {
        let line = render_record(process, &record.args().to_string(), record).to_string();
        let queued = QUEUE.get().map(|queue| queue.try_send(LogItem::Line(line)));
        if !matches!(queued, Some(Ok(()))) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    };
    let started = fern::Dispatch::new()
        .level(level)
        .level_for("hyper_util", log::LevelFilter::Warn)
        .chain(fern::Output::call(queue_line))
        .apply();
    if started.is_err() {
        log::debug!("logging had already been started");
    }
}

/// Waits briefly until all queued lines are written.
pub fn flush_bounded_logging() {
    let (done, written) = mpsc::sync_channel(1);
    let queued = QUEUE
        .get()
        .map(|queue| queue.try_send(LogItem::Flush(done)));
    if matches!(queued, Some(Ok(()))) && written.recv_timeout(FLUSH_LIMIT).is_err() {
        eprintln!("the last log lines were not written in time");
    }
}

/// Returns how many lines have been dropped since the start.
pub fn dropped_line_count() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn write_lines(process: &str, receiver: &mpsc::Receiver<LogItem>) {
    let mut reported = 0;
    while let Ok(first) = receiver.recv() {
        if matches!(first, LogItem::Line(_)) {
            std::thread::sleep(GATHER_TIME);
        }
        let mut text = String::new();
        let mut flushed = Vec::new();
        for item in std::iter::once(first).chain(receiver.try_iter()) {
            match item {
                LogItem::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                LogItem::Flush(done) => flushed.push(done),
            }
        }
        let dropped = DROPPED.load(Ordering::Relaxed);
        if dropped > reported {
            let line = serde_json::json!({
                "level": "warn", "process": process, "message": "log lines were dropped",
                "dropped": dropped - reported, "dropped_in_all": dropped,
            });
            text.push_str(&line.to_string());
            text.push('\n');
            reported = dropped;
        }
        let mut output = std::io::stdout().lock();
        if output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        for done in flushed {
            done.send(()).ok();
        }
    }
}

fn render_record(process: &str, message: &str, record: &log::Record<'_>) -> serde_json::Value {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut collector = FieldCollector(serde_json::Map::new());
    let visited = record.key_values().visit(&mut collector);
    let mut fields = collector.0;
    if visited.is_err() {
        fields.insert("fields_lost".to_owned(), true.into());
    }
    fields.insert("unix_ms".to_owned(), (time.as_millis() as u64).into());
    fields.insert(
        "level".to_owned(),
        record.level().as_str().to_lowercase().into(),
    );
    fields.insert("process".to_owned(), process.into());
    fields.insert("module".to_owned(), record.target().into());
    fields.insert("message".to_owned(), message.into());
    serde_json::Value::Object(fields)
}
