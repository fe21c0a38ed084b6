//! Results of a run: per session, per workspace and overall.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A read.
    Read,
    /// A write.
    Write,
}

/// The results of one session.
#[derive(Debug)]
pub struct SessionOutcome {
    /// The index of the workspace in the scenario.
    pub workspace: usize,
    /// The ids of rows whose writes were acknowledged.
    pub acknowledged: Vec<u64>,
    /// The number of reads that did not find the session's own last write.
    pub stale_reads: u64,
    /// The number of reads whose result belongs to another prepared statement.
    pub foreign_results: u64,
    reads: Histogram<u64>,
    writes: Histogram<u64>,
    write_times: Vec<Duration>,
    failures: BTreeMap<String, u64>,
    unreachable: u64,
}

/// The highest latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Creates a histogram of latencies in microseconds with three significant digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the histogram's bounds are valid")
}

impl SessionOutcome {
    /// Creates empty results for a session of the workspace with the given index.
    pub fn new(workspace: usize) -> Self {
        Self {
            workspace,
            acknowledged: Vec::new(),
            stale_reads: 0,
            foreign_results: 0,
            reads: new_histogram(),
            writes: new_histogram(),
            write_times: Vec::new(),
            failures: BTreeMap::new(),
            unreachable: 0,
        }
    }

    /// Records an answered request, answered `elapsed` after the start of the load.
    pub fn record_success(&mut self, kind: RequestKind, latency: Duration, elapsed: Duration) {
        let latency_us = (latency.as_micros() as u64).max(1);
        match kind {
            RequestKind::Read => self.reads.saturating_record(latency_us),
            RequestKind::Write => {
                self.writes.saturating_record(latency_us);
                self.write_times.push(elapsed);
            }
        }
    }

    /// Records a failed request under the reason and execution state of the
    /// error's detail, or else under its SQLSTATE or as a lost connection.
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
        let fallback_reason = || match error.code() {
            Some(code) => format!("sqlstate {}", code.code()),
            None => "connection lost".to_owned(),
        };
        *self
            .failures
            .entry(reason.unwrap_or_else(fallback_reason))
            .or_default() += 1;
    }

    /// Records a request that was not sent, because no proxy could be reached.
    pub fn record_unreachable(&mut self, _kind: RequestKind) {
        self.unreachable += 1;
    }
}

/// The results of one workspace.
#[derive(Debug, Clone, Serialize)]
pub struct WorkspaceResult {
    /// The name of the workspace.
    pub workspace: String,
    /// The number of answered requests.
    pub answered: u64,
    /// The number of failed requests by reason and execution state, by
    /// SQLSTATE, or as lost connections.
    pub refusals: BTreeMap<String, u64>,
    /// The number of requests that were refused as over the rate limit although
    /// the workspace's planned load does not exceed its rate.
    pub wrongful_refusals: u64,
    /// The number of requests for which no proxy could be reached.
    pub unreachable: u64,
    /// The median latency of reads in microseconds.
    pub read_p50_us: u64,
    /// The 99th percentile of the latency of reads in microseconds.
    pub read_p99_us: u64,
    /// The median latency of writes in microseconds.
    pub write_p50_us: u64,
    /// The 99th percentile of the latency of writes in microseconds.
    pub write_p99_us: u64,
    /// The longest time between two successive acknowledged writes, in milliseconds.
    pub longest_write_gap_ms: u64,
}

/// The result of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// The name of the scenario.
    pub scenario: String,
    /// The seed of the run.
    pub seed: u64,
    /// The planned duration of the load in seconds.
    pub seconds: f64,
    /// The share of reads that replicas served, from 0 to 1, among these and the
    /// reads that fell back to the primary.
    pub replica_read_share: f64,
    /// The longest time between two successive acknowledged writes of any
    /// workspaces, in milliseconds.
    pub write_gap_ms: u64,
    /// The number of acknowledged writes.
    pub acknowledged: u64,
    /// The number of acknowledged writes whose rows are missing after the run.
    pub lost: u64,
    /// The number of reads that did not find the session's own last write.
    pub stale_reads: u64,
    /// The number of reads whose result belongs to another prepared statement.
    pub foreign_results: u64,
    /// The results of each workspace.
    pub workspaces: Vec<WorkspaceResult>,
    /// The number of acknowledged writes in each tenth of a second.
    #[serde(skip)]
    pub writes_per_tenth: Vec<u32>,
}

/// Sorts times and returns the longest interval between two successive ones.
fn longest_gap(write_times: &mut [Duration]) -> Duration {
    write_times.sort_unstable();
    let gaps = write_times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

/// Aggregates the results of sessions by workspace.
///
/// `workspaces` holds each workspace's name, its rate limit and its planned load,
/// both in requests per second.
pub fn summarize_workspaces(
    sessions: &[SessionOutcome],
    workspaces: &[(String, f64, f64)],
) -> Vec<WorkspaceResult> {
    let mut results = Vec::new();
    for (index, (name, rate_per_second, requests_per_second)) in workspaces.iter().enumerate() {
        let (mut reads, mut writes) = (new_histogram(), new_histogram());
        let mut write_times = Vec::new();
        let mut refusals: BTreeMap<String, u64> = BTreeMap::new();
        let mut unreachable = 0;
        for session in sessions.iter().filter(|session| session.workspace == index) {
            reads += &session.reads;
            writes += &session.writes;
            write_times.extend_from_slice(&session.write_times);
            unreachable += session.unreachable;
            for (reason, count) in &session.failures {
                *refusals.entry(reason.clone()).or_default() += count;
            }
        }
        let rate_refusals = refusals.get("rate_exceeded/not_run").copied().unwrap_or(0);
        results.push(WorkspaceResult {
            workspace: name.clone(),
            answered: reads.len() + writes.len(),
            wrongful_refusals: if requests_per_second <= rate_per_second {
                rate_refusals
            } else {
                0
            },
            refusals,
            unreachable,
            read_p50_us: reads.value_at_quantile(0.5),
            read_p99_us: reads.value_at_quantile(0.99),
            write_p50_us: writes.value_at_quantile(0.5),
            write_p99_us: writes.value_at_quantile(0.99),
            longest_write_gap_ms: longest_gap(&mut write_times).as_millis() as u64,
        });
    }
    results
}

/// Returns the longest time between two successive acknowledged writes of any sessions.
pub fn longest_write_gap(sessions: &[SessionOutcome]) -> Duration {
    let mut write_times: Vec<Duration> = sessions
        .iter()
        .flat_map(|session| session.write_times.iter().copied())
        .collect();
    longest_gap(&mut write_times)
}

/// Counts the acknowledged writes in each tenth of a second of the load.
pub fn count_writes_per_tenth(sessions: &[SessionOutcome], duration: Duration) -> Vec<u32> {
    let mut counts = vec![0; (duration.as_millis() / 100) as usize + 1];
    for time in sessions.iter().flat_map(|session| &session.write_times) {
        if let Some(count) = counts.get_mut((time.as_millis() / 100) as usize) {
            *count += 1;
        }
    }
    counts
}
