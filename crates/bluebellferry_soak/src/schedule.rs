//! Schedules of faults that are drawn from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::fault;
use crate::fault::FaultKind;
use crate::fault::LinkFault;
use crate::fault::LinkName;
use crate::fault::ScheduledFault;
use crate::relay::DirectionState;

/// The time without faults at the start, in milliseconds, in which VMs measure the normal
/// latencies of databases.
const INITIAL_QUIET_MS: u64 = 1_500;
/// How long callers continue after the last fault of a short run, in milliseconds.
const SHORT_RUN_RECOVERY_MS: u64 = 5_000;
/// How long callers continue after the last fault of a long run, in milliseconds.
/// Longer than the recovery time that the platform allows, so that callers must be
/// served again within the run.
const LONG_RUN_RECOVERY_MS: u64 = 16_000;
/// The minimum length of a long run, in milliseconds.
const LONG_RUN_MS: u64 = 30_000;
/// The intervals between faults, in milliseconds. Replacing a leader takes about two
/// seconds, so some replacements finish within an interval and others overlap the next
/// fault.
const FAULT_INTERVALS_MS: std::ops::Range<u64> = 200..2_600;
/// The probability that the next fault begins at the same time.
const SIMULTANEOUS_PROBABILITY: f64 = 0.25;
/// The minimum time between a database's registration as draining and its end, in
/// milliseconds.
const MIN_DRAIN_MS: u64 = 4_000;
/// The minimum outage of a database, in milliseconds; long enough to replace most
/// leaders.
const MIN_OUTAGE_MS: u64 = 2_000;
/// The probability that a schedule has an evacuation.
const EVACUATION_PROBABILITY: f64 = 0.5;
/// The durations of evacuations, in milliseconds: some end before VMs must have heeded them.
const EVACUATIONS_MS: std::ops::Range<u64> = 500..15_000;
/// Separates the random numbers of evacuations from those of other faults.
const EVACUATION_SEED: u64 = 0x0e7a_c0a7;
/// The probability that a fault comes with a suspended VM and a lagging replica.
const SUSPENSION_PROBABILITY: f64 = 0.06;
/// The lag of that replica, in milliseconds; more than the maximum staleness of routes.
const SUSPENSION_LAG_MS: std::ops::Range<u64> = 1_600..2_600;
/// The probability that a fault of a database explicitly targets the leader.
const LEADER_PROBABILITY: f64 = 0.4;
/// The durations of short faults, in milliseconds.
const SHORT_FAULTS_MS: std::ops::Range<u64> = 200..2_000;
/// The durations of long faults, in milliseconds. Suspending a VM for six seconds
/// outlasts every lease and timeout.
const LONG_FAULTS_MS: std::ops::Range<u64> = 2_000..6_000;
/// The probability of a long fault.
const LONG_FAULT_PROBABILITY: f64 = 0.35;
/// The intervals between silences of open connections, in milliseconds.
const SILENCE_INTERVALS_MS: std::ops::Range<u64> = 3_000..12_000;
/// The probability that a silence affects all connections to the store, and that a key is
/// withdrawn after it.
const SILENT_CHANGE_PROBABILITY: f64 = 0.5;
/// The time from such a silence to the change, in milliseconds.
const SILENT_CHANGE_DELAYS_MS: std::ops::Range<u64> = 0..2_500;
/// Added to the seed for the silences, which are drawn separately so that the other faults of a
/// seed do not depend on them.
const SILENCE_SEED_OFFSET: u64 = 1 << 32;
/// The intervals between refusals of setup steps, in milliseconds.
const SETUP_REFUSAL_INTERVALS_MS: std::ops::Range<u64> = 500..8_000;
/// Separates the random numbers of refusals of setup steps from those of other faults.
const SETUP_REFUSAL_SEED: u64 = 0x5e7_0ff5;
/// The intervals between changes of the roaming key and its route, in milliseconds.
const ACCESS_CHANGE_INTERVALS_MS: std::ops::Range<u64> = 300..3_000;
/// The durations of such changes, in milliseconds: some are in force for longer than VMs may
/// take to apply them.
const ACCESS_CHANGES_MS: std::ops::Range<u64> = 300..7_000;
/// The number of versions that follow one another in such a change.
const VERSIONS_PER_ACCESS_CHANGE: std::ops::Range<usize> = 1..4;
/// Separates the random numbers of these changes from those of other faults.
const ACCESS_CHANGE_SEED: u64 = 0xacce_55ed;
/// The reduced rate limits, in operations per second.
const RATE_LIMITS: std::ops::Range<u32> = 60..150;

/// Returns how long callers continue after the last fault, in milliseconds.
pub const fn recovery_ms(length_ms: u64) -> u64 {
    if length_ms < LONG_RUN_MS {
        SHORT_RUN_RECOVERY_MS
    } else {
        LONG_RUN_RECOVERY_MS
    }
}

/// The size of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteSize {
    /// The number of VMs at the start.
    pub vms: u8,
    /// The number of slots for VMs that replace others.
    pub spares: u8,
    /// The number of databases.
    pub databases: u8,
}

/// The faults of a run, and the run's size and length.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultSchedule {
    /// The seed from which the schedule was drawn; callers draw from it as well.
    pub seed: u64,
    /// Why the schedule once failed; only in schedules that are kept as regression
    /// tests.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub cause: String,
    /// The size of the site.
    pub size: SiteSize,
    /// How long callers run, in milliseconds.
    pub length_ms: u64,
    /// The faults in order of their start.
    pub faults: Vec<ScheduledFault>,
}

impl FaultSchedule {
    /// Draws a schedule. The same arguments give the same schedule.
    pub fn draw(seed: u64, size: SiteSize, length_ms: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let fault_end_ms = length_ms.saturating_sub(recovery_ms(length_ms));
        let mut faults = Vec::new();
        let mut replacements = 0;
        let mut at_ms = INITIAL_QUIET_MS;
        while at_ms < fault_end_ms {
            if random.random_bool(SUSPENSION_PROBABILITY) {
                faults.extend(draw_suspension(&mut random, size, at_ms, fault_end_ms));
            }
            let kind = draw_kind(&mut random, size, &mut replacements);
            let lasts_ms = if random.random_bool(LONG_FAULT_PROBABILITY) {
                random.random_range(LONG_FAULTS_MS)
            } else {
                random.random_range(SHORT_FAULTS_MS)
            };
            let lasts_ms = match kind {
                _ if kind.is_instantaneous() => 0,
                FaultKind::Leave(_) => lasts_ms.max(MIN_DRAIN_MS),
                FaultKind::Silence(_) | FaultKind::Crash(_) | FaultKind::Rebirth(_) => {
                    lasts_ms.max(MIN_OUTAGE_MS)
                }
                _ => lasts_ms,
            };
            let lasts_ms = lasts_ms.min(fault_end_ms - at_ms);
            faults.push(ScheduledFault {
                at_ms,
                lasts_ms,
                kind,
            });
            if !random.random_bool(SIMULTANEOUS_PROBABILITY) {
                at_ms += random.random_range(FAULT_INTERVALS_MS);
            }
        }
        faults.extend(draw_silences(seed, size, fault_end_ms));
        faults.extend(draw_evacuations(seed, size, fault_end_ms));
        faults.extend(draw_setup_refusals(seed, fault_end_ms));
        faults.extend(draw_access_changes(seed, fault_end_ms));
        faults.sort_by_key(|fault| fault.at_ms);
        Self {
            seed,
            cause: String::new(),
            size,
            length_ms,
            faults,
        }
    }
}

/// Draws a replica whose lag exceeds the maximum staleness of routes, and a VM that is
/// suspended meanwhile for longer than that lag. After SIGCONT, the VM reads outdated
/// replication positions from its sockets.
fn draw_suspension(
    random: &mut StdRng,
    size: SiteSize,
    at_ms: u64,
    fault_end_ms: u64,
) -> [ScheduledFault; 2] {
    let lag_ms = random.random_range(SUSPENSION_LAG_MS);
    let suspension_ms = lag_ms + random.random_range(SHORT_FAULTS_MS);
    let fault = |at_ms: u64, lasts_ms: u64, kind| ScheduledFault {
        at_ms: at_ms.min(fault_end_ms),
        lasts_ms: lasts_ms.min(fault_end_ms.saturating_sub(at_ms)),
        kind,
    };
    let vm = random.random_range(0..size.vms);
    let replica = random.random_range(0..size.databases);
    let lag = FaultKind::Lag(replica, lag_ms);
    let suspension = FaultKind::Freeze(vec![vm]);
    [
        fault(at_ms, suspension_ms + 2 * lag_ms, lag),
        fault(at_ms + lag_ms, suspension_ms, suspension),
    ]
}

/// Draws silences of open connections. Watches that wait in the store then get no answer.
fn draw_silences(seed: u64, size: SiteSize, fault_end_ms: u64) -> Vec<ScheduledFault> {
    let mut random = StdRng::seed_from_u64(seed.wrapping_add(SILENCE_SEED_OFFSET));
    let mut faults = Vec::new();
    let mut add_fault = |at_ms: u64, kind| {
        faults.push(ScheduledFault {
            at_ms: at_ms.min(fault_end_ms),
            lasts_ms: 0,
            kind,
        });
    };
    let mut at_ms = INITIAL_QUIET_MS + random.random_range(SILENCE_INTERVALS_MS);
    while at_ms < fault_end_ms {
        if random.random_bool(SILENT_CHANGE_PROBABILITY) {
            let links = (0..size.vms).map(LinkName::Store).collect();
            let delay_ms = random.random_range(SILENT_CHANGE_DELAYS_MS);
            add_fault(at_ms, FaultKind::Link(links, LinkFault::Silence));
            add_fault(at_ms + delay_ms, FaultKind::WithdrawKey);
        } else {
            let links = draw_links(&mut random, size);
            add_fault(at_ms, FaultKind::Link(links, LinkFault::Silence));
        }
        at_ms += random.random_range(SILENCE_INTERVALS_MS);
    }
    faults
}

/// Draws evacuations from random numbers of their own, so that a seed draws the same other faults
/// as before there were evacuations.
fn draw_evacuations(seed: u64, size: SiteSize, fault_end_ms: u64) -> Vec<ScheduledFault> {
    let mut random = StdRng::seed_from_u64(seed ^ EVACUATION_SEED);
    if !random.random_bool(EVACUATION_PROBABILITY) || fault_end_ms <= INITIAL_QUIET_MS {
        return Vec::new();
    }
    let at_ms = random.random_range(INITIAL_QUIET_MS..fault_end_ms);
    let lasts_ms = random
        .random_range(EVACUATIONS_MS)
        .min(fault_end_ms - at_ms);
    vec![ScheduledFault {
        at_ms,
        lasts_ms,
        kind: FaultKind::Evacuate(draw_database(&mut random, size)),
    }]
}

/// Draws refusals of setup steps from random numbers of their own, one after another.
fn draw_setup_refusals(seed: u64, fault_end_ms: u64) -> Vec<ScheduledFault> {
    let mut random = StdRng::seed_from_u64(seed ^ SETUP_REFUSAL_SEED);
    let mut faults = Vec::new();
    let mut at_ms = INITIAL_QUIET_MS + random.random_range(SETUP_REFUSAL_INTERVALS_MS);
    while at_ms < fault_end_ms {
        let lasts_ms = random.random_range(SHORT_FAULTS_MS);
        let lasts_ms = lasts_ms.min(fault_end_ms - at_ms);
        faults.push(ScheduledFault {
            at_ms,
            lasts_ms,
            kind: FaultKind::RefuseSetup(draw_setup_refusal(&mut random)),
        });
        at_ms += lasts_ms + random.random_range(SETUP_REFUSAL_INTERVALS_MS);
    }
    faults
}

/// Draws changes of the roaming key and its route from random numbers of their own, one after
/// another, each of one version or of several.
fn draw_access_changes(seed: u64, fault_end_ms: u64) -> Vec<ScheduledFault> {
    let mut random = StdRng::seed_from_u64(seed ^ ACCESS_CHANGE_SEED);
    let mut faults = Vec::new();
    let mut at_ms = INITIAL_QUIET_MS + random.random_range(ACCESS_CHANGE_INTERVALS_MS);
    while at_ms < fault_end_ms {
        let lasts_ms = random.random_range(ACCESS_CHANGES_MS);
        let lasts_ms = lasts_ms.min(fault_end_ms - at_ms);
        let count = random.random_range(VERSIONS_PER_ACCESS_CHANGE);
        let states = (0..count).map(|_| draw_access_state(&mut random));
        faults.push(ScheduledFault {
            at_ms,
            lasts_ms,
            kind: FaultKind::ChangeAccess(states.collect()),
        });
        at_ms += lasts_ms + random.random_range(ACCESS_CHANGE_INTERVALS_MS);
    }
    faults
}

fn draw_access_state(random: &mut StdRng) -> fault::AccessState {
    use fault::KeyOwner;
    use fault::RouteState;
    let owners = [KeyOwner::Nobody, KeyOwner::Visitors, KeyOwner::Clubs];
    let routes = [
        RouteState::Absent,
        RouteState::Private,
        RouteState::Public,
        RouteState::Elsewhere,
    ];
    fault::AccessState {
        owner: owners[random.random_range(0..owners.len())],
        route: routes[random.random_range(0..routes.len())],
    }
}

fn draw_setup_refusal(random: &mut StdRng) -> fault::SetupRefusal {
    use fault::SetupError;
    use fault::SetupVerb;
    let verb = match random.random_range(0..3) {
        0 => SetupVerb::Reset,
        1 => SetupVerb::Set,
        _ => SetupVerb::Prepare,
    };
    let error = match random.random_range(0..3) {
        0 => SetupError::Busy,
        1 => SetupError::Failed,
        _ => SetupError::Timeout,
    };
    fault::SetupRefusal {
        verb,
        error,
        // A step that was refused as busy did not run.
        takes_effect: random.random_bool(0.5) && error != SetupError::Busy,
        fails_transaction: random.random_bool(0.5),
    }
}

fn draw_kind(random: &mut StdRng, size: SiteSize, replacements: &mut u8) -> FaultKind {
    let vm = random.random_range(0..size.vms);
    let database = draw_database(random, size);
    let vms = draw_vms(random, size);
    // Suspensions, link faults and database faults have many variants, so they are drawn
    // more often.
    match random.random_range(0..34) {
        0 | 1 => FaultKind::Stop(vms),
        2 => FaultKind::Reload(vm),
        3..=6 => FaultKind::Freeze(vms),
        7 | 8 => FaultKind::Kill(vms),
        9 if *replacements < size.spares => {
            *replacements += 1;
            FaultKind::Replace(vm)
        }
        9..=14 => draw_link(random, size),
        15 => FaultKind::Rate(random.random_range(RATE_LIMITS)),
        16 => FaultKind::WithdrawKey,
        17 | 18 => FaultKind::Leave(database),
        19 => FaultKind::StoreDown,
        20 => FaultKind::StoreSlow(random.random_range(50..2_000)),
        21 if random.random_bool(0.5) => FaultKind::StoreLosesAnswers,
        21 => FaultKind::StoreWritesLate,
        22 => FaultKind::StoreForgets,
        23 => FaultKind::StoreTurnsAway(vms),
        24..=26 => FaultKind::Lag(database, random.random_range(100..5_000)),
        27 => FaultKind::Deafen(database),
        28 | 29 => FaultKind::Silence(database),
        30 => FaultKind::Crash(database),
        31 => FaultKind::Rebirth(database),
        _ => FaultKind::LoseAnswer,
    }
}

fn draw_database(random: &mut StdRng, size: SiteSize) -> u8 {
    if random.random_bool(LEADER_PROBABILITY) {
        fault::CURRENT_LEADER
    } else {
        random.random_range(0..size.databases)
    }
}

/// Draws a single VM with a probability of 0.7, otherwise any number of VMs.
fn draw_vms(random: &mut StdRng, size: SiteSize) -> Vec<u8> {
    let vms: Vec<u8> = (0..size.vms).collect();
    let count = if random.random_bool(0.7) {
        1
    } else {
        random.random_range(1..=vms.len())
    };
    let mut chosen: Vec<u8> = vms.choose_multiple(random, count).copied().collect();
    chosen.sort_unstable();
    chosen
}

fn draw_links(random: &mut StdRng, size: SiteSize) -> Vec<LinkName> {
    let vm = random.random_range(0..size.vms);
    let database = draw_database(random, size);
    let others = (0..size.vms).filter(|other| *other != vm);
    let peers = |vm: u8, other: u8| LinkName::Peers(vm, other);
    match random.random_range(0..7) {
        0 => vec![LinkName::Callers(vm)],
        1 => vec![LinkName::Store(vm)],
        2 => vec![LinkName::Duty(vm)],
        3 => vec![LinkName::Database(vm, database)],
        4 => (0..size.vms)
            .map(|vm| LinkName::Database(vm, database))
            .collect(),
        // Isolates a VM from the other VMs, and in the last case from the store and the
        // promotion API as well.
        5 => others.map(|other| peers(vm, other)).collect(),
        _ => {
            let mut links: Vec<LinkName> = others.map(|other| peers(vm, other)).collect();
            links.push(LinkName::Store(vm));
            links.push(LinkName::Duty(vm));
            links
        }
    }
}

fn draw_link(random: &mut StdRng, size: SiteSize) -> FaultKind {
    let links = draw_links(random, size);
    let delay = DirectionState::Delayed(random.random_range(5..800));
    let fault = match random.random_range(0..7) {
        0 => LinkFault::Reset,
        1 => LinkFault::Ways(delay, delay),
        2 => LinkFault::Ways(DirectionState::Open, delay),
        3 => LinkFault::Ways(DirectionState::Cut, DirectionState::Open),
        4 => LinkFault::Ways(DirectionState::Open, DirectionState::Cut),
        5 => LinkFault::Ways(DirectionState::Cut, DirectionState::Cut),
        _ => LinkFault::Ways(DirectionState::Silenced, DirectionState::Silenced),
    };
    FaultKind::Link(links, fault)
}
