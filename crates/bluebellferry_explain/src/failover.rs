//! Explanation of failovers.

use std::time::Duration;

use crate::phrase;

/// A failover as one VM observed it.
#[derive(Debug, Clone, Copy)]
pub struct FailoverSummary<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The name of the new primary.
    pub primary: &'a str,
    /// How long the service had no primary.
    pub outage: Duration,
}

/// Explains a failover.
pub fn explain_failover(summary: FailoverSummary<'_>) -> String {
    let FailoverSummary {
        service,
        primary,
        outage,
    } = summary;
    let outage = phrase::format_duration(outage);
    format!(
        "The main database of {service} stopped answering, and {primary} took its place. \
         Changes had to wait for {outage}. Every change that had been confirmed before was kept, \
         because a change is confirmed only when most databases hold it. \
         Changes that were under way at that moment were answered with \
         \"may have taken effect\" where that could not be known."
    )
}
