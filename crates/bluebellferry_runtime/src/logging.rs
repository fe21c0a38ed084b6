//! JSON-lines logs on standard error.

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
