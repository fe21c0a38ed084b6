//! Databases that are slow, fail in part, go down and up, or have just started.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_routing::assessment;
use bluebellferry_types::name;

/// The interval at which a coordinator updates its verdicts.
const ROUND: Duration = Duration::from_millis(200);
/// The statements that a data centre sends one database in a round.
const STATEMENTS: u32 = 2;
const USUAL: Duration = Duration::from_millis(20);

struct Service {
    assessor: assessment::DatabaseAssessor,
    now: Instant,
}

/// What a database does in a round: the latency of its answers, and how many statements fail.
#[derive(Clone, Copy)]
struct Behaviour {
    latency: Duration,
    failed: u32,
}

const HEALTHY: Behaviour = Behaviour {
    latency: USUAL,
    failed: 0,
};

fn service_name() -> name::ServiceName {
    name::ServiceName::try_from("rental").expect("a valid name")
}

fn database(index: usize) -> name::DatabaseName {
    name::DatabaseName::try_from(format!("i-{index}")).expect("a valid name")
}

impl Service {
    /// Returns a service whose three databases have been healthy for some seconds.
    fn new() -> Self {
        let mut service = Self {
            assessor: assessment::DatabaseAssessor::default(),
            now: Instant::now(),
        };
        for _ in 0..20 {
            assert_eq!(service.round([HEALTHY; 3]), [Verdict::NONE; 3]);
        }
        service
    }

    fn round(&mut self, behaviours: [Behaviour; 3]) -> [Verdict; 3] {
        self.now += ROUND;
        for (index, behaviour) in behaviours.iter().enumerate() {
            let mut observation = assessment::DatabaseObservation::default();
            for number in 0..STATEMENTS {
                if number < behaviour.failed {
                    observation.add_failure();
                } else {
                    observation.add_answer(behaviour.latency);
                }
            }
            let (service, database) = (service_name(), database(index));
            self.assessor
                .add(&service, &database, observation, self.now);
        }
        self.verdicts()
    }

    fn verdicts(&mut self) -> [Verdict; 3] {
        let mut verdicts = [Verdict::NONE; 3];
        for verdict in self.assessor.update(self.now) {
            let index = (0..3).find(|index| database(*index) == verdict.database);
            verdicts[index.expect("a known database")] = Verdict {
                penalty: verdict.penalty,
                share: verdict.share,
            };
        }
        verdicts
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Verdict {
    penalty: Duration,
    share: f64,
}

impl Verdict {
    const NONE: Self = Self {
        penalty: Duration::ZERO,
        share: 1.0,
    };
}

#[test]
fn a_database_that_turns_slow_is_noticed_within_a_second_and_used_again_once_it_is_fast() {
    let mut service = Service::new();
    let slow = Behaviour {
        latency: USUAL * 8,
        failed: 0,
    };
    let mut noticed_after = None;
    for round in 1..=10 {
        let [verdict, others @ ..] = service.round([slow, HEALTHY, HEALTHY]);
        assert_eq!(others, [Verdict::NONE; 2]);
        if verdict.penalty >= USUAL && noticed_after.is_none() {
            noticed_after = Some(ROUND * round);
        }
    }
    let noticed_after = noticed_after.expect("the slow database is noticed");
    assert!(noticed_after <= Duration::from_secs(1), "{noticed_after:?}");
    for _ in 0..14 {
        service.round([HEALTHY; 3]);
    }
    assert_eq!(service.round([HEALTHY; 3]), [Verdict::NONE; 3]);
}

#[test]
fn a_database_that_is_avoided_is_tried_again() {
    let mut service = Service::new();
    let slow = Behaviour {
        latency: USUAL * 8,
        failed: 0,
    };
    for _ in 0..10 {
        service.round([slow, HEALTHY, HEALTHY]);
    }
    assert!(service.verdicts()[0].penalty > USUAL);
    // Nobody sends it statements any more.
    service.now += Duration::from_secs(3);
    service.verdicts();
    for _ in 0..40 {
        service.now += ROUND;
        service.verdicts();
    }
    assert_eq!(service.verdicts()[0], Verdict::NONE);
}

#[test]
fn a_database_that_fails_part_of_its_statements_is_avoided_and_returns_at_a_pace() {
    let mut service = Service::new();
    let failing = Behaviour {
        latency: USUAL,
        failed: 1,
    };
    for _ in 0..5 {
        service.round([failing, HEALTHY, HEALTHY]);
    }
    let [verdict, others @ ..] = service.round([failing, HEALTHY, HEALTHY]);
    assert!(verdict.penalty >= USUAL * 5, "{verdict:?}");
    assert_eq!(others, [Verdict::NONE; 2]);
    // It answers again: its share of reads grows from little to all.
    let mut shares = Vec::new();
    for _ in 0..60 {
        shares.push(service.round([HEALTHY; 3])[0].share);
    }
    assert!(shares.iter().any(|share| *share < 0.2), "{shares:?}");
    assert_eq!(shares.last(), Some(&1.0));
}

/// Returns the share of a database in each round after its start.
fn shares_after_start(rounds: usize, behaviour: impl Fn(usize) -> Behaviour) -> Vec<f64> {
    let mut service = Service::new();
    let (name, started) = (service_name(), database(0));
    service.assessor.start(&name, &started, service.now);
    let share = |round: usize| service.round([behaviour(round), HEALTHY, HEALTHY])[0].share;
    (0..rounds).map(share).collect()
}

#[test]
fn a_started_database_that_answers_as_fast_as_its_peers_carries_its_part_within_seconds() {
    let shares = shares_after_start(40, |_| HEALTHY);
    assert!(shares[0] <= 0.1, "{shares:?}");
    assert!(shares.windows(2).all(|pair| pair[0] <= pair[1]));
    let full_after = shares.iter().position(|share| *share >= 1.0);
    let full_after = ROUND * full_after.expect("it gets its whole part") as u32;
    assert!(full_after <= Duration::from_secs(4), "{full_after:?}");
}

#[test]
fn a_cold_database_is_spared_until_its_answers_are_fast() {
    // Four times as slow for 10 s after its start.
    let cold_rounds = 50;
    let shares = shares_after_start(100, |round| Behaviour {
        latency: if round < cold_rounds {
            USUAL * 4
        } else {
            USUAL
        },
        failed: 0,
    });
    let while_cold = &shares[5..cold_rounds];
    let highest = while_cold.iter().copied().fold(0.0, f64::max);
    assert!(highest <= 0.2, "{highest}");
    assert_eq!(shares.last(), Some(&1.0));
}

#[test]
fn a_started_database_that_nobody_uses_is_not_left_idle() {
    let mut service = Service::new();
    let (name, started) = (service_name(), database(0));
    service.assessor.start(&name, &started, service.now);
    for _ in 0..60 {
        service.now += ROUND;
        service.verdicts();
    }
    assert_eq!(service.verdicts()[0], Verdict::NONE);
}

#[test]
fn databases_that_start_all_at_once_share_their_load_evenly() {
    let mut service = Service::new();
    for index in 0..3 {
        let (name, started) = (service_name(), database(index));
        service.assessor.start(&name, &started, service.now);
    }
    for _ in 0..40 {
        let [first, second, third] = service.round([HEALTHY; 3]);
        assert!(first == second && second == third);
    }
    assert_eq!(service.verdicts(), [Verdict::NONE; 3]);
}
