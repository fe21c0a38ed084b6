//! Explanation of the request counters.

use std::collections::BTreeMap;

use crate::refusal;

/// Request counters of one VM, or their sums over several VMs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficCounters {
    /// The number of requests that replicas served.
    pub replica_requests: f64,
    /// The number of reads that replicas may serve but that fell back to the
    /// primary.
    pub replica_fallbacks: f64,
    /// The number of requests that ran, by workspace.
    pub requests: BTreeMap<String, f64>,
    /// The number of refusals, by workspace and reason code.
    pub refusals: BTreeMap<(String, String), f64>,
}

impl TrafficCounters {
    /// Adds the counters of a `/metrics` page; ignores lines that cannot be parsed.
    pub fn add_metrics(&mut self, page: &str) {
        for line in page.lines().filter(|line| !line.starts_with('#')) {
            let Some((series, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Ok(value) = value.parse::<f64>() else {
                continue;
            };
            self.add_series(series, value);
        }
    }

    fn add_series(&mut self, series: &str, value: f64) {
        let name = series.split('{').next().unwrap_or("");
        match name {
            "bluebellferry_requests_total" => {
                if label_value(series, "route") == Some("replica") {
                    self.replica_requests += value;
                }
                let workspace = label_value(series, "workspace").unwrap_or("unknown");
                *self.requests.entry(workspace.to_owned()).or_default() += value;
            }
            "bluebellferry_replica_fallbacks_total" => self.replica_fallbacks += value,
            "bluebellferry_refusals_total" => {
                let workspace = label_value(series, "workspace")
                    .unwrap_or("unknown")
                    .to_owned();
                let reason = label_value(series, "reason")
                    .unwrap_or("unknown")
                    .to_owned();
                *self.refusals.entry((workspace, reason)).or_default() += value;
            }
            _ => {}
        }
    }

    /// Returns the workspace with the highest share of refused requests, and that
    /// share between 0 and 1.
    fn most_refused_workspace(&self) -> Option<(&str, f64)> {
        let refusal_count = |workspace: &str| -> f64 {
            let refusals = self
                .refusals
                .iter()
                .filter(|((name, _), _)| name == workspace);
            refusals.map(|(_, count)| count).sum()
        };
        let refused_share = |(workspace, ran): (&'_ String, &f64)| {
            let refused = refusal_count(workspace);
            refused / (ran + refused).max(1.0)
        };
        let shares = self
            .requests
            .iter()
            .map(|entry| (entry.0.as_str(), refused_share(entry)));
        shares.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the value of a label in a series such as `name{label="value"}`.
fn label_value<'a>(series: &'a str, name: &str) -> Option<&'a str> {
    let start = series.find(&format!("{name}=\""))? + name.len() + 2;
    series[start..].split('"').next()
}

/// Explains the counters, which cover the time since the VMs started.
pub fn explain_traffic(counters: &TrafficCounters) -> String {
    let total: f64 = counters.requests.values().sum();
    let mut lines = vec![format!("Since the start, {total:.0} requests were served.")];
    let stale_tolerant_reads = counters.replica_requests + counters.replica_fallbacks;
    if stale_tolerant_reads > 0.0 {
        let share = counters.replica_requests / stale_tolerant_reads * 100.0;
        lines.push(format!(
            "Of the reads that accept slightly older data, {share:.1} in 100 were served by copies, which spares the main databases."
        ));
    }
    match counters.most_refused_workspace() {
        Some((workspace, share)) if share > 0.0 => lines.push(format!(
            "The worst served was {workspace}: {:.1} in 100 of its requests were refused.",
            share * 100.0
        )),
        _ => lines.push("No request of any workspace was refused.".to_owned()),
    }
    for ((workspace, reason), count) in &counters.refusals {
        let sentence = refusal::explain_reason(reason).unwrap_or_else(|| reason.clone());
        lines.push(format!("  {workspace}, {count:.0} times: {sentence}"));
    }
    lines.join("\n")
}
