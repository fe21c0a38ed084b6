//! JSON-lines logs, written directly to standard error or through a bounded queue to standard
//! output.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Collects the key-value pairs of a log record as JSON fields.
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

/// Starts logging to standard error, with one JSON object per line for each record.
///
/// Further calls in the same process have no effect.
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
        log::debug!("logging is already started");
    }
}

/// The maximum number of log lines in the queue; at 300 bytes a line the queue takes 150 KB.
const MAX_QUEUED_LINES: usize = 512;
/// The delay after the first queued line, in which more lines are collected for the same write.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// The maximum time that a graceful shutdown waits until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// An item of the log queue.
enum QueueItem {
    Line(String),
    /// A request to signal when all lines queued before it are written.
    Flush(mpsc::SyncSender<()>),
}

/// The sending half of the log queue.
static LOG_QUEUE: OnceLock<mpsc::SyncSender<QueueItem>> = OnceLock::new();
/// The number of log lines that were dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output through a bounded queue. Lines that don't fit into the queue
/// are dropped, and their number is logged.
///
/// Further calls in the same process have no effect.
pub fn start_bounded_logging(process: &'static str, level: log::LevelFilter) {
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
    if LOG_QUEUE.set(sender).is_err() {
        return;
    }
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(process, &receiver)) {
        eprintln!("the log writer thread cannot be started: {error}");
    }
    let queue_line = move |record: &log::Record<'_>| {
        let line = render_record(process, &record.args().to_string(), record).to_string();
        let queued = LOG_QUEUE
            .get()
            .map(|queue| queue.try_send(QueueItem::Line(line)));
        if !matches!(queued, Some(Ok(()))) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    };
    let started = fern::Dispatch::new()
        .level(level)
        .level_for("hyper_util", log::LevelFilter::Warn)
        .chain(fern::Output::call(queue_line))
        .apply();
    if started.is_err() {
        log::debug!("logging is already started");
    }
}

/// Waits until all queued lines are written, for at most 200 ms.
pub fn flush_bounded_logging() {
    let (done_sender, done_receiver) = mpsc::sync_channel(1);
    let queued = LOG_QUEUE
        .get()
        .map(|queue| queue.try_send(QueueItem::Flush(done_sender)));
    if matches!(queued, Some(Ok(()))) && done_receiver.recv_timeout(FLUSH_TIMEOUT).is_err() {
        eprintln!("timed out while the last log lines were written");
    }
}

/// Returns how many log lines were dropped since the process started.
pub fn dropped_line_count() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes queued lines to standard output until the queue is closed.
fn write_lines(process: &str, receiver: &mpsc::Receiver<QueueItem>) {
    let mut reported_dropped = 0;
    while let Ok(first) = receiver.recv() {
        if matches!(first, QueueItem::Line(_)) {
            std::thread::sleep(BATCH_DELAY);
        }
        let mut text = String::new();
        let mut flush_requests = Vec::new();
        for item in std::iter::once(first).chain(receiver.try_iter()) {
            match item {
                QueueItem::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                QueueItem::Flush(done_sender) => flush_requests.push(done_sender),
            }
        }
        let dropped = DROPPED_LINES.load(Ordering::Relaxed);
        if dropped > reported_dropped {
            let line = serde_json::json!({
                "level": "warn", "process": process, "message": "log lines were dropped",
                "dropped": dropped - reported_dropped, "dropped_in_all": dropped,
            });
            text.push_str(&line.to_string());
            text.push('\n');
            reported_dropped = dropped;
        }
        let mut output = std::io::stdout().lock();
        if output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        for done_sender in flush_requests {
            done_sender.send(()).ok();
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
