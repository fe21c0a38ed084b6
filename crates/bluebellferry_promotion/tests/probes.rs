//! Tests of what probes of a leader and its replicas prove about the leader.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::probe;
use bluebellferry_types::name;
use probe::ProbeResult;

const INTERVAL: Duration = Duration::from_millis(300);

fn id(text: &str) -> name::DatabaseName {
    name::DatabaseName::try_from(text).expect("a valid name")
}

fn report(connection: u64, is_primary: bool, fenced_term: u64) -> ProbeResult {
    ProbeResult::Reported(probe::ProbeReport {
        connection,
        is_primary,
        term: 1,
        fenced_term,
    })
}

const fn leads(connection: u64) -> ProbeResult {
    ProbeResult::Reported(probe::ProbeReport {
        connection,
        is_primary: true,
        term: 1,
        fenced_term: 0,
    })
}

/// Plays rounds of probes at [`INTERVAL`].
struct Prober {
    series: probe::ProbeSeries,
    now: Instant,
}

impl Prober {
    fn new() -> Self {
        Self {
            series: probe::ProbeSeries::default(),
            now: Instant::now(),
        }
    }

    fn probe(&mut self, is_leased: bool, leader: ProbeResult, replicas: [ProbeResult; 2]) -> bool {
        self.now += INTERVAL;
        let [first, second] = replicas;
        self.series.record(&probe::ProbeRound {
            started_at: self.now,
            is_leased,
            leader,
            replicas: [(id("i-b"), first), (id("i-c"), second)].into(),
            includes_all_replicas: true,
        })
    }
}

/// Guards against reads at a replaced leader: a replica that restarted while another one was being
/// promoted is no longer fenced, but confirms nothing.
#[test]
fn restarted_replica_confirms_no_leader() {
    let mut prober = Prober::new();
    assert!(prober.probe(true, leads(1), [report(2, false, 0), report(3, false, 0)]));
    assert!(!prober.probe(true, leads(1), [report(2, false, 2), report(3, false, 2)]));
    assert!(!prober.probe(false, leads(1), [ProbeResult::Lost, report(3, false, 2)]));
    for _ in 0..20 {
        assert!(!prober.probe(false, leads(1), [report(4, false, 0), report(3, false, 2)]));
    }
}

/// Guards against reads at a replaced leader: a leader that stepped down and restarted leads again,
/// and its replicas were never fenced.
#[test]
fn restarted_leader_is_not_confirmed_by_its_replicas() {
    let replicas = [report(2, false, 0), report(3, false, 0)];
    let mut prober = Prober::new();
    assert!(prober.probe(true, leads(1), replicas));
    assert!(!prober.probe(false, report(1, false, 0), replicas));
    assert!(!prober.probe(false, ProbeResult::Lost, replicas));
    assert!(!prober.probe(false, leads(4), replicas));
}

#[test]
fn replica_without_a_restart_since_the_lease_confirms_the_leader() {
    let mut prober = Prober::new();
    assert!(prober.probe(true, leads(1), [report(2, false, 0), ProbeResult::Lost]));
    assert_eq!(prober.series.continuous_replica(), Some(&id("i-b")));
    assert!(prober.probe(false, leads(1), [report(2, false, 0), ProbeResult::Lost]));
    // A busy database does not count, but has not restarted.
    assert!(!prober.probe(false, leads(1), [ProbeResult::Busy, ProbeResult::Lost]));
    assert!(!prober.probe(
        false,
        ProbeResult::Busy,
        [report(2, false, 0), ProbeResult::Lost]
    ));
    assert!(prober.probe(false, leads(1), [report(2, false, 0), ProbeResult::Lost]));
}

#[test]
fn unleased_leader_is_confirmed_once_no_promotion_can_be_under_way() {
    let replicas = [report(2, false, 0), report(3, false, 0)];
    let mut prober = Prober::new();
    let mut waited = Duration::ZERO;
    while !prober.probe(false, leads(1), replicas) {
        waited += INTERVAL;
        assert!(waited < probe::PROMOTION_TIME_LIMIT + INTERVAL);
    }
    assert!(waited >= probe::PROMOTION_TIME_LIMIT);
    // The replica that was not probed may be the one that is being promoted.
    let mut prober = Prober::new();
    for _ in 0..20 {
        assert!(!prober.probe(false, leads(1), [replicas[0], ProbeResult::Lost]));
    }
}
