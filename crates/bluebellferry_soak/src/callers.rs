//! Placeholder until callers of all kinds are merged.

use std::net::SocketAddr;
use std::sync::Arc;

use bluebellferry_history::recorder;
use tokio::sync::watch;

/// What callers do.
#[derive(Debug)]
pub struct CallerPlan {
    /// Where they connect.
    pub addresses: Vec<SocketAddr>,
    /// The seed.
    pub seed: u64,
    /// How many there are.
    pub count: usize,
}

/// Runs callers until they are to stop.
pub async fn run_callers(
    _plan: CallerPlan,
    _recorder: Arc<recorder::HistoryRecorder>,
    mut stop: watch::Receiver<bool>,
) {
    stop.wait_for(|is_over| *is_over).await.ok();
}
