//! How the counters stand.

use std::collections::BTreeMap;

use crate::refusal;

/// Counters of one VM, or of several added up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficCounters {
    /// Requests served by replicas.
    pub replica_requests: f64,
    /// Reads that allow age but were served by the main database.
    pub replica_fallbacks: f64,
    /// All requests that ran, by workspace.
    pub requests: BTreeMap<String, f64>,
    /// Refusals by workspace and reason.
    pub refusals: BTreeMap<(String, String), f64>,
}

impl TrafficCounters {
    /// Adds the counters that a `/metrics` page shows.
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
                if label(series, "route") == Some("replica") {
                    self.replica_requests += value;
                }
                let workspace = label(series, "workspace").unwrap_or("unknown");
                *self.requests.entry(workspace.to_owned()).or_default() += value;
            }
            "bluebellferry_replica_fallbacks_total" => self.replica_fallbacks += value,
            "bluebellferry_refusals_total" => {
                let workspace = label(series, "workspace").unwrap_or("unknown").to_owned();
                let reason = label(series, "reason").unwrap_or("unknown").to_owned();
                *self.refusals.entry((workspace, reason)).or_default() += value;
            }
            _ => {}
        }
    }

    /// Returns the workspace with the highest share of refused requests.
    fn worst_served(&self) -> Option<(&str, f64)> {
        let refused = |workspace: &str| -> f64 {
            let own = self
                .refusals
                .iter()
                .filter(|((name, _), _)| name == workspace);
            own.map(|(_, count)| count).sum()
        };
        let share = |(workspace, ran): (&'_ String, &f64)| {
            let refused = refused(workspace);
            refused / (ran + refused).max(1.0)
        };
        let shares = self
            .requests
            .iter()
            .map(|entry| (entry.0.as_str(), share(entry)));
        shares.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns a label's value in a series such as `name{label="value"}`.
fn label<'a>(series: &'a str, name: &str) -> Option<&'a str> {
    let start = series.find(&format!("{name}=\""))? + name.len() + 2;
    series[start..].split('"').next()
}

/// Explains the counters since the VMs started.
pub fn explain_traffic(counters: &TrafficCounters) -> String {
    let total: f64 = counters.requests.values().sum();
    let mut lines = vec![format!("Since the start, {total:.0} requests were served.")];
    let aged = counters.replica_requests + counters.replica_fallbacks;
    if aged > 0.0 {
        let share = counters.replica_requests / aged * 100.0;
        lines.push(format!(
            "Of the reads that accept slightly older data, {share:.1} in 100 were served by copies, which spares the main databases."
        ));
    }
    match counters.worst_served() {
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
