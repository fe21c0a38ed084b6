//! What a run has shown.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// A read or a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A read.
    Read,
    /// A write.
    Write,
}

/// What one session saw.
#[derive(Debug)]
pub struct SessionOutcome {
    /// The workspace's index.
    pub workspace: usize,
    /// Rows whose writes were acknowledged.
    pub acknowledged: Vec<u64>,
    /// Reads that did not find the session's own last write.
    pub stale_reads: u64,
    reads: Histogram<u64>,
    writes: Histogram<u64>,
    write_times: Vec<Duration>,
    refusals: BTreeMap<String, u64>,
    unreachable: u64,
}

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies are kept in microseconds with three significant digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

impl SessionOutcome {
    /// Creates an empty outcome.
    pub fn new(workspace: usize) -> Self {
        Self {
            workspace,
            acknowledged: Vec::new(),
            stale_reads: 0,
            reads: new_histogram(),
            writes: new_histogram(),
            write_times: Vec::new(),
            refusals: BTreeMap::new(),
            unreachable: 0,
        }
    }

    /// Records an answered request; `since` is the time since the start.
    pub fn record_success(&mut self, kind: RequestKind, latency: Duration, since: Duration) {
        let micros = (latency.as_micros() as u64).max(1);
        match kind {
            RequestKind::Read => self.reads.saturating_record(micros),
            RequestKind::Write => {
                self.writes.saturating_record(micros);
                self.write_times.push(since);
            }
        }
    }

    /// Records a refused request by its reason and whether it ran.
    pub fn record_failure(&mut self, _kind: RequestKind, error: &tokio_postgres::Error) {
        let detail = error
            .as_db_error()
            .and_then(tokio_postgres::error::DbError::detail);
        let reason = detail.and_then(|detail| {
            let mut words = detail.split(' ');
            let reason = words.next()?.strip_prefix("reason=")?;
            let execution = words.next()?.strip_prefix("execution=")?;
            Some(format!("{reason}/{execution}"))
        });
        let other = || match error.code() {
            Some(code) => format!("sqlstate {}", code.code()),
            None => "connection lost".to_owned(),
        };
        *self
            .refusals
            .entry(reason.unwrap_or_else(other))
            .or_default() += 1;
    }

    /// Records a request that no proxy could be reached for.
    pub fn record_unreachable(&mut self, _kind: RequestKind) {
        self.unreachable += 1;
    }
}

/// One workspace's part of the result.
#[derive(Debug, Clone, Serialize)]
pub struct WorkspaceResult {
    /// The workspace.
    pub workspace: String,
    /// Answered requests.
    pub answered: u64,
    /// Refusals by reason and whether the request ran.
    pub refusals: BTreeMap<String, u64>,
    /// Requests that were refused for the rate although the workspace as a
    /// whole sent less than its rate.
    pub wrongful_refusals: u64,
    /// Requests for which no proxy could be reached.
    pub unreachable: u64,
    /// The 50th percentile of reads, in microseconds.
    pub read_p50_us: u64,
    /// The 99th percentile of reads, in microseconds.
    pub read_p99_us: u64,
    /// The 50th percentile of writes, in microseconds.
    pub write_p50_us: u64,
    /// The 99th percentile of writes, in microseconds.
    pub write_p99_us: u64,
    /// The longest time without an acknowledged write, in milliseconds.
    pub longest_write_gap_ms: u64,
}

/// The result of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// How long the load lasted, in seconds.
    pub seconds: f64,
    /// The share of reads served by replicas.
    pub replica_read_share: f64,
    /// The longest time without an acknowledged write over all workspaces
    /// together, in milliseconds.
    pub write_gap_ms: u64,
    /// Acknowledged writes.
    pub acknowledged: u64,
    /// Acknowledged writes that are missing.
    pub lost: u64,
    /// Reads that did not find the session's own last write.
    pub stale_reads: u64,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceResult>,
    /// Acknowledged writes in each tenth of a second.
    #[serde(skip)]
    pub writes_per_tenth: Vec<u32>,
}

/// Returns the longest time between two neighbouring instants.
fn longest_gap(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

/// Reduces the sessions' outcomes to the workspaces' results.
pub fn workspace_results(
    sessions: &[SessionOutcome],
    names: &[(String, f64, f64)],
) -> Vec<WorkspaceResult> {
    let mut results = Vec::new();
    for (index, (name, rate, sent_per_second)) in names.iter().enumerate() {
        let (mut reads, mut writes) = (new_histogram(), new_histogram());
        let mut times = Vec::new();
        let mut refusals: BTreeMap<String, u64> = BTreeMap::new();
        let mut unreachable = 0;
        for session in sessions.iter().filter(|session| session.workspace == index) {
            reads += &session.reads;
            writes += &session.writes;
            times.extend_from_slice(&session.write_times);
            unreachable += session.unreachable;
            for (reason, count) in &session.refusals {
                *refusals.entry(reason.clone()).or_default() += count;
            }
        }
        let over = refusals.get("rate_exceeded/not_run").copied().unwrap_or(0);
        results.push(WorkspaceResult {
            workspace: name.clone(),
            answered: reads.len() + writes.len(),
            wrongful_refusals: if sent_per_second <= rate { over } else { 0 },
            refusals,
            unreachable,
            read_p50_us: reads.value_at_quantile(0.5),
            read_p99_us: reads.value_at_quantile(0.99),
            write_p50_us: writes.value_at_quantile(0.5),
            write_p99_us: writes.value_at_quantile(0.99),
            longest_write_gap_ms: longest_gap(&mut times).as_millis() as u64,
        });
    }
    results
}

/// Returns the longest gap between acknowledged writes of all sessions.
pub fn overall_write_gap(sessions: &[SessionOutcome]) -> Duration {
    let mut times: Vec<Duration> = sessions
        .iter()
        .flat_map(|session| session.write_times.iter().copied())
        .collect();
    longest_gap(&mut times)
}

/// Counts acknowledged writes in each tenth of a second.
pub fn writes_per_tenth(sessions: &[SessionOutcome], duration: Duration) -> Vec<u32> {
    let mut counts = vec![0; (duration.as_millis() / 100) as usize + 1];
    for time in sessions.iter().flat_map(|session| &session.write_times) {
        if let Some(count) = counts.get_mut((time.as_millis() / 100) as usize) {
            *count += 1;
        }
    }
    counts
}
