//! A group of VMs whose allocator announces standings, on simulated time with lost messages,
//! cuts and restarts drawn by seed. The sizes are those of a data centre (35 and 218 VMs) and
//! of whole fleets (195 and 2,838 VMs) as one group.
//!
//! Guards against VMs that together use more than a workspace's rate because they compute
//! different owners, and against rates that stay unused after the faults have ended.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bluebellferry_shares::ownership;
use bluebellferry_types::limit;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const WORKSPACES: usize = 140;
const STEP: Duration = Duration::from_millis(200);
/// The time without a heartbeat after which a VM counts as unresponsive.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The delay before a larger share takes effect.
const GROWTH_DELAY: Duration = Duration::from_secs(1);
/// The time between two lists.
const LIST_INTERVAL: Duration = Duration::from_millis(600);
/// The VMs that may act as allocator, the first by rank first.
const CANDIDATES: usize = 3;
/// The faults begin and end at these times, and change at this interval.
const FAULTS_FROM: Duration = Duration::from_secs(4);
const FAULTS_UNTIL: Duration = Duration::from_secs(48);
const FAULT_INTERVAL: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(60);
/// The time after a change of faults within which a VM that was cut off before it received a
/// list may still use its older one: it notices after the timeout, and the allocator's next
/// list excludes it by then.
const SETTLING_TIME: Duration = Duration::from_millis(2_400);
/// The window over which a workspace's rate holds, and the overrun that is allowed there: a
/// fraction of the rate and a number of operations. A VM that is cut off as it receives a list
/// falls back after two timeouts, its own and that of the allocator beside it.
const RATE_WINDOW: Duration = Duration::from_secs(5);
const ALLOWED_OVERRUN: f64 = 0.1;
const ALLOWED_OPERATIONS: f64 = 20.0;

/// A list of standings, with the fraction of each workspace's rate that each member computes.
struct List {
    number: u64,
    standings: Vec<ownership::MemberStanding>,
    /// By workspace.
    owners: Vec<ownership::RateOwners>,
}

/// A fraction that shrinks at once and grows after a delay, as `bucket::ShareBucket` resizes.
#[derive(Default, Clone)]
struct UsedFraction {
    current: f64,
    pending: Vec<(Duration, f64)>,
}

impl UsedFraction {
    fn resize(&mut self, fraction: f64, now: Duration) {
        self.current = self.current.min(fraction);
        for (_, pending) in &mut self.pending {
            *pending = pending.min(fraction);
        }
        if self.current < fraction {
            self.pending.push((now + GROWTH_DELAY, fraction));
        }
    }

    /// Shrinks to a fraction and drops growth that has not taken effect.
    fn shrink(&mut self, fraction: f64) {
        self.current = self.current.min(fraction);
        self.pending.clear();
    }

    fn advance(&mut self, now: Duration) {
        while let Some((_, fraction)) = self.pending.first().filter(|(at, _)| *at <= now) {
            self.current = *fraction;
            self.pending.remove(0);
        }
    }
}

#[derive(Clone)]
struct Vm {
    list: Option<Rc<List>>,
    is_in_minority: bool,
    /// When it sent the latest heartbeat that an allocator with a majority has answered.
    answered: Option<Duration>,
    used: Vec<UsedFraction>,
    /// The side of a cut that it is on.
    side: u8,
    is_down: bool,
}

/// What a candidate has heard of another VM.
#[derive(Default, Clone, Copy)]
struct Heard {
    at: Option<Duration>,
    acknowledged: u64,
}

struct Fleet {
    random: StdRng,
    names: Vec<String>,
    workspaces: Vec<limit::LimitKey>,
    counts: Vec<usize>,
    vms: Vec<Vm>,
    heard: Vec<Vec<Heard>>,
    allocator_since: Vec<Option<Duration>>,
    loss: f64,
    /// The total of the used fractions by step and workspace.
    totals: Vec<Vec<f64>>,
    faults_changed: Duration,
    /// The largest total at a step that no change of faults precedes by less than
    /// [`SETTLING_TIME`].
    largest_settled: f64,
}

/// Returns a workspace's rate in operations per second. Most are small, and a few have three
/// owners.
fn rate_of(workspace: usize) -> f64 {
    if workspace.is_multiple_of(10) {
        20.0
    } else {
        5.0
    }
}

fn fresh_vm() -> Vm {
    Vm {
        list: None,
        is_in_minority: false,
        answered: None,
        used: vec![UsedFraction::default(); WORKSPACES],
        side: 0,
        is_down: false,
    }
}

fn limit_key(workspace: &str) -> limit::LimitKey {
    let workspace = name::WorkspaceName::try_from(workspace).expect("a valid name");
    limit::LimitKey::Workspace(workspace)
}

impl Fleet {
    fn new(size: usize, seed: u64, loss: f64) -> Self {
        let workspace = |index: usize| limit_key(&format!("w{index}"));
        Self {
            random: StdRng::seed_from_u64(seed),
            names: (0..size).map(|index| format!("edge-{index}")).collect(),
            workspaces: (0..WORKSPACES).map(workspace).collect(),
            counts: (0..WORKSPACES)
                .map(|index| ownership::owner_count(rate_of(index)))
                .collect(),
            vms: vec![fresh_vm(); size],
            heard: vec![vec![Heard::default(); size]; CANDIDATES],
            allocator_since: vec![None; CANDIDATES],
            loss,
            totals: Vec::new(),
            faults_changed: Duration::ZERO,
            largest_settled: 0.0,
        }
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let (one, other) = (&self.vms[from], &self.vms[to]);
        let is_connected = one.side == other.side && !one.is_down && !other.is_down;
        is_connected && !self.random.random_bool(self.loss)
    }

    fn is_live(&self, candidate: usize, vm: usize, now: Duration) -> bool {
        let heard = self.heard[candidate][vm].at;
        candidate == vm || heard.is_some_and(|at| now - at < HEARTBEAT_TIMEOUT)
    }

    fn has_majority(&self, candidate: usize, now: Duration) -> bool {
        let live = (0..self.vms.len()).filter(|vm| self.is_live(candidate, *vm, now));
        live.count() * 2 > self.vms.len()
    }

    fn is_allocator(&self, candidate: usize, now: Duration) -> bool {
        !self.vms[candidate].is_down
            && (0..candidate).all(|other| !self.is_live(candidate, other, now))
    }

    fn exchange_heartbeats(&mut self, now: Duration) {
        for candidate in 0..CANDIDATES {
            let is_allocator = self.is_allocator(candidate, now);
            let has_majority = self.has_majority(candidate, now);
            for vm in 0..self.vms.len() {
                if vm == candidate || !self.is_delivered(vm, candidate) {
                    continue;
                }
                let number = self.vms[vm].list.as_ref().map_or(0, |list| list.number);
                self.heard[candidate][vm] = Heard {
                    at: Some(now),
                    acknowledged: number,
                };
                if !self.is_delivered(candidate, vm) {
                    continue;
                }
                if is_allocator && has_majority {
                    self.vms[vm].answered = Some(now);
                }
                let own_number = self.vms[candidate]
                    .list
                    .as_ref()
                    .map_or(0, |list| list.number);
                if let Some(list) = self.vms[vm]
                    .list
                    .clone()
                    .filter(|list| list.number > own_number)
                {
                    self.apply_list(candidate, list, now);
                }
                let list = self.vms[candidate].list.clone();
                if let Some(list) = list.filter(|list| list.number > number) {
                    self.apply_list(vm, list, now);
                }
            }
            if is_allocator && has_majority {
                self.vms[candidate].answered = Some(now);
            }
        }
    }

    fn apply_list(&mut self, vm: usize, list: Rc<List>, now: Duration) {
        self.vms[vm].list = Some(list);
        self.resize(vm, now);
    }

    fn resize(&mut self, vm: usize, now: Duration) {
        let state = &mut self.vms[vm];
        let Some(list) = &state.list else { return };
        let equal = ownership::equal_fraction(list.standings.len());
        for (workspace, used) in state.used.iter_mut().enumerate() {
            let fraction = list.owners[workspace].fraction_of(vm);
            if state.is_in_minority {
                used.shrink(fraction.min(equal));
            } else {
                used.resize(fraction, now);
            }
        }
    }

    fn update_minorities(&mut self, now: Duration) {
        for vm in 0..self.vms.len() {
            let answered = self.vms[vm].answered;
            let is_in_minority = answered.is_none_or(|at| now - at >= HEARTBEAT_TIMEOUT);
            if is_in_minority != self.vms[vm].is_in_minority {
                self.vms[vm].is_in_minority = is_in_minority;
                self.resize(vm, now);
            }
        }
    }

    fn allocate(&mut self, candidate: usize, now: Duration) {
        if !self.is_allocator(candidate, now) {
            self.allocator_since[candidate] = None;
            return;
        }
        let since = *self.allocator_since[candidate].get_or_insert(now);
        if !self.has_majority(candidate, now) {
            return;
        }
        let own = self.vms[candidate].list.clone();
        let own_number = own.as_ref().map_or(0, |list| list.number);
        let heard = &self.heard[candidate];
        let live = (0..self.vms.len()).filter(|vm| self.is_live(candidate, *vm, now));
        let known = live.map(|vm| heard[vm].acknowledged).max().unwrap_or(0);
        if known > own_number {
            // Another VM relays the latest list, without which members that have become
            // unresponsive would be unknown.
            return;
        }
        if own_number > 0 && now - since < HEARTBEAT_TIMEOUT {
            return;
        }
        let number = own_number + 1;
        let standing = |vm: usize| {
            let silent_for = now - heard[vm].at.max(Some(since)).unwrap_or(since);
            let is_unresponsive = vm != candidate && silent_for >= HEARTBEAT_TIMEOUT;
            let observed = ownership::MemberObservation {
                unresponsive_for: is_unresponsive.then_some(silent_for),
                acknowledged: heard[vm].acknowledged,
                previous: own_number,
                members: own.as_ref().map_or(0, |list| list.standings.len() as u32),
            };
            let previous = own.as_ref().map(|list| list.standings[vm]);
            ownership::MemberStanding::next(previous, &observed, number)
        };
        let standings: Vec<_> = (0..self.vms.len()).map(standing).collect();
        let is_unchanged = own.is_some_and(|list| list.standings == standings);
        if is_unchanged {
            return;
        }
        let members: Vec<_> = standings
            .iter()
            .zip(&self.names)
            .map(|(standing, name)| ownership::GroupMember {
                name,
                standing: *standing,
            })
            .collect();
        let owners = self.workspaces.iter().zip(&self.counts);
        let owners = owners
            .map(|(workspace, count)| ownership::RateOwners::choose(workspace, *count, &members));
        let list = List {
            number,
            owners: owners.collect(),
            standings,
        };
        self.apply_list(candidate, Rc::new(list), now);
    }

    fn draw_faults(&mut self, now: Duration) {
        if now < FAULTS_FROM || !now.as_millis().is_multiple_of(FAULT_INTERVAL.as_millis()) {
            return;
        }
        self.faults_changed = now;
        if now >= FAULTS_UNTIL {
            for vm in &mut self.vms {
                (vm.side, vm.is_down) = (0, false);
            }
        } else {
            let share = self.random.random_range(0.0..0.4);
            let kind = self.random.random_range(0..4);
            for vm in 0..self.vms.len() {
                let is_hit = self.random.random_bool(share);
                match kind {
                    0 if is_hit => self.vms[vm].side = self.random.random_range(0..3),
                    1 => self.vms[vm].side = 0,
                    2 if is_hit => {
                        self.vms[vm] = Vm {
                            is_down: true,
                            ..fresh_vm()
                        }
                    }
                    3 => self.vms[vm].is_down = false,
                    _ => {}
                }
            }
            for candidate in 0..CANDIDATES {
                if self.vms[candidate].is_down {
                    self.heard[candidate] = vec![Heard::default(); self.vms.len()];
                    self.allocator_since[candidate] = None;
                }
            }
        }
    }

    fn run(&mut self, end: Duration) {
        let mut now = Duration::ZERO;
        while now < end {
            self.draw_faults(now);
            self.exchange_heartbeats(now);
            self.update_minorities(now);
            if now.as_millis().is_multiple_of(LIST_INTERVAL.as_millis()) {
                for candidate in 0..CANDIDATES {
                    self.allocate(candidate, now);
                }
            }
            let mut totals = vec![0.0; WORKSPACES];
            for vm in &mut self.vms {
                for (used, total) in vm.used.iter_mut().zip(&mut totals) {
                    used.advance(now);
                    *total += used.current;
                }
            }
            if now - self.faults_changed >= SETTLING_TIME {
                let largest = totals.iter().copied().fold(0.0, f64::max);
                self.largest_settled = self.largest_settled.max(largest);
            }
            self.totals.push(totals);
            now += STEP;
        }
    }

    /// Returns by how many operations a workspace's use exceeds its rate and the overrun, in the
    /// worst window.
    fn largest_excess(&self) -> f64 {
        let steps = (RATE_WINDOW.as_millis() / STEP.as_millis()) as usize;
        let excess_of = |workspace: usize| {
            let totals: Vec<f64> = self.totals.iter().map(|step| step[workspace]).collect();
            let average = |window: &[f64]| window.iter().sum::<f64>() / window.len() as f64;
            let largest = totals.windows(steps).map(average).fold(0.0, f64::max);
            (largest - 1.0 - ALLOWED_OVERRUN) * rate_of(workspace) * RATE_WINDOW.as_secs_f64()
        };
        (0..WORKSPACES).map(excess_of).fold(0.0, f64::max)
    }
}

fn check(size: usize, seed: u64, loss: f64, end: Duration) {
    let mut fleet = Fleet::new(size, seed, loss);
    fleet.run(end);
    let settled = fleet.largest_settled;
    assert!(
        loss > 0.0 || settled <= 1.0 + 1e-6,
        "{size} VMs, seed {seed}: {settled}"
    );
    let excess = fleet.largest_excess();
    assert!(
        excess <= ALLOWED_OPERATIONS,
        "{size} VMs, seed {seed}, loss {loss}: {excess} operations"
    );
    if end >= FAULTS_UNTIL {
        let last = fleet.totals.last().expect("a step");
        let unused = last.iter().filter(|total| **total < 0.999).count();
        assert_eq!(
            unused, 0,
            "{size} VMs, seed {seed}, loss {loss}: unused rates"
        );
    }
}

#[test]
fn owners_of_a_data_centre_never_exceed_a_rate_and_use_all_of_it_after_faults() {
    for seed in 0..60 {
        check(35, seed, 0.0, END);
        check(35, seed, 0.05, END);
    }
}

#[test]
fn owners_of_195_vms_never_exceed_a_rate() {
    for seed in 0..6 {
        check(195, seed, 0.0, END);
        check(195, seed, 0.05, END);
    }
}

#[test]
fn owners_of_a_data_centre_of_a_fleet_of_2838_vms_never_exceed_a_rate() {
    check(218, 1, 0.0, END);
    check(218, 2, 0.05, END);
}

#[test]
fn owners_of_2838_vms_in_one_group_never_exceed_a_rate() {
    // One change of faults; this many VMs are played for a shorter time.
    check(2_838, 1, 0.0, Duration::from_secs(8));
}

#[test]
fn owners_do_not_change_when_others_join_or_leave() {
    let workspace = limit_key("w");
    let owner_among = |names: &[&str]| {
        let counted = ownership::MemberStanding::Counted { since: 1 };
        let members: Vec<_> = names
            .iter()
            .map(|name| ownership::GroupMember {
                name,
                standing: counted,
            })
            .collect();
        let owners = ownership::RateOwners::choose(&workspace, 1, &members);
        names[owners.owners[0].member].to_owned()
    };
    let owner = owner_among(&["a", "b", "c", "d", "e"]);
    let remaining: Vec<&str> = ["a", "b", "c", "d", "e"]
        .into_iter()
        .filter(|name| *name == owner || *name > "b")
        .collect();
    assert_eq!(owner_among(&remaining), owner);
}

#[test]
fn an_unresponsive_owner_keeps_its_fraction_until_it_has_fallen_back() {
    let workspaces: Vec<_> = (0..WORKSPACES)
        .map(|index| limit_key(&format!("w{index}")))
        .collect();
    let names: Vec<String> = (0..35).map(|index| format!("edge-{index}")).collect();
    let counted = ownership::MemberStanding::Counted { since: 1 };
    let owners_with = |lost: ownership::MemberStanding| -> BTreeMap<usize, ownership::RateOwners> {
        let members: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(index, name)| ownership::GroupMember {
                name,
                standing: if index == 0 { lost } else { counted },
            })
            .collect();
        let choose = |workspace| ownership::RateOwners::choose(workspace, 1, &members);
        workspaces.iter().map(choose).enumerate().collect()
    };
    let before = owners_with(counted);
    let excluded = |has_fallen_back| ownership::MemberStanding::Excluded {
        since: 1,
        acknowledged: 1,
        until: 1,
        members: 35,
        has_fallen_back,
    };
    let (soon, late) = (owners_with(excluded(false)), owners_with(excluded(true)));
    let owned: Vec<usize> = (0..WORKSPACES)
        .filter(|workspace| before[workspace].fraction_of(0) > 0.99)
        .collect();
    assert!(!owned.is_empty());
    for workspace in 0..WORKSPACES {
        let is_owned = owned.contains(&workspace);
        let expected = if is_owned {
            (1.0, 1.0 / 35.0)
        } else {
            (0.0, 0.0)
        };
        let (soon, late) = (&soon[&workspace], &late[&workspace]);
        assert!((soon.fraction_of(0) - expected.0).abs() < 1e-9);
        assert!((late.fraction_of(0) - expected.1).abs() < 1e-9);
        assert_eq!(soon.owners.len(), 1);
        assert!((soon.owners[0].fraction - (1.0 - expected.0)).abs() < 1e-9);
        assert!((late.owners[0].fraction - (1.0 - expected.1)).abs() < 1e-9);
    }
}
