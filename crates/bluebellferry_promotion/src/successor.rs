//! The choice of the database that succeeds a lost or draining leader.
//!
//! With one synchronous replica, an acknowledged commit is in the log of the leader and
//! in that of at least one replica, but it is not known of which one. A fenced database may
//! therefore be promoted only if one of these holds:
//!
//! - The leader has stepped down, and the database has its whole log.
//! - All VMs have reported which commits they acknowledged to callers, and the database has them.
//! - Every database that may have received a commit is accounted for: it is fenced and has no more
//!   than the successor, or it is gone and the successor has every commit that it can have had.
//!
//! While none holds, the service waits: a commit that was acknowledged must not be lost.

use bluebellferry_types::name;
use bluebellferry_types::position;

/// What is known of one database of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseEvidence {
    /// The database.
    pub id: name::DatabaseName,
    /// Whether it is the leader to be replaced.
    pub is_leader: bool,
    /// Whether it is draining or no longer registered.
    pub is_draining: bool,
    /// The end of its log that it reported after it was fenced or, for a leader, after it
    /// stepped down; `None` until then.
    pub fenced_position: Option<position::LogPosition>,
    /// The term in which it reported to lead, and the end of its log then.
    pub reported_leadership: Option<(u64, position::LogPosition)>,
    /// A position that its log reached before. A database that restarted empty under the
    /// same identity may no longer reach it.
    pub earlier_position: Option<position::LogPosition>,
}

/// The decision about the successor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuccessorChoice {
    /// Promote this database: it has every acknowledged commit.
    Promote {
        /// The database.
        id: name::DatabaseName,
        /// The end of its log.
        position: position::LogPosition,
    },
    /// Adopt this database: it leads already. Another VM had it promoted, but did not
    /// publish it as the leader.
    Adopt {
        /// The database.
        id: name::DatabaseName,
        /// The end of its log.
        position: position::LogPosition,
    },
    /// Wait: with what is known so far, an acknowledged commit might be lost.
    Wait,
}

/// What is known of the reign of the leader that is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplacedReign<'a> {
    /// The term in which the leader leads.
    pub term: u64,
    /// A position that the log of the successor must reach: the logs of databases that are gone
    /// may have reached it.
    pub required_end: Option<position::LogPosition>,
    /// Whether databases that are gone may have had commits beyond `required_end`.
    pub has_unknown_logs: bool,
    /// The end of the last commit that any VM acknowledged to a caller; `None` unless all VMs have
    /// reported theirs and acknowledge no further ones.
    pub acknowledged_end: Option<position::LogPosition>,
    /// The database that an earlier order may still promote: no other one may be promoted.
    pub ordered: Option<&'a name::DatabaseName>,
    /// Whether lost logs are waited for no longer, so that commits may have to be given up.
    pub has_given_up: bool,
    /// Whether the leader may lead again although it departs: replicas that lack its log receive it
    /// from no other.
    pub may_departing_leader_lead: bool,
}

impl ReplacedReign<'_> {
    /// Returns the reign in a term of which nothing else is known.
    pub const fn of_term(term: u64) -> Self {
        Self {
            term,
            required_end: None,
            has_unknown_logs: false,
            acknowledged_end: None,
            ordered: None,
            has_given_up: false,
            may_departing_leader_lead: false,
        }
    }

    fn may_promote(&self, id: &name::DatabaseName) -> bool {
        self.ordered.is_none_or(|ordered| ordered == id)
    }
}

/// Why no database may be promoted yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// An earlier order may still promote a database, which cannot be promoted now.
    OrderOutstanding,
    /// A database that may have received commits is not fenced yet.
    NotFenced,
    /// The logs of the fenced databases lack commits that a lost log had.
    MissingCommits,
    /// A database that is gone may have had commits that nobody else has.
    UnknownLogs,
}

impl WaitReason {
    /// Returns the stable text for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OrderOutstanding => "an earlier order may still take effect",
            Self::NotFenced => "a database is not fenced",
            Self::MissingCommits => "the fenced logs lack commits",
            Self::UnknownLogs => "a log is gone whose end is not known",
        }
    }
}

/// The order that fences a database before a successor is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOrder {
    /// Stop leading.
    StepDown,
    /// Stop receiving the leader's log.
    StopReceiving,
}

/// The status that a fenced database reports when it is probed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceReport {
    /// The end of its log.
    pub received: position::LogPosition,
    /// The term that it is fenced for; 0 if it is not fenced.
    pub fenced_term: u64,
    /// Whether it leads.
    pub is_primary: bool,
}

/// Returns whether a database that reported `fenced_position` after it was fenced is still
/// fenced. A restart makes a database receive again, and may lose its log.
///
/// `must_not_receive` tells whether the database was given the order
/// [`FenceOrder::StopReceiving`], which is not needed once the leader has stepped down.
pub fn is_still_fenced(
    fenced_position: position::LogPosition,
    must_not_receive: bool,
    report: &FenceReport,
) -> bool {
    // A database that leads receives from no other.
    if report.is_primary {
        return true;
    }
    if must_not_receive {
        report.fenced_term != 0 && report.received == fenced_position
    } else {
        report.received >= fenced_position
    }
}

/// Returns the order that fences a database. The old leader may have restarted under
/// another identity: then it reports to lead in the term that is being replaced or an
/// earlier one. It must step down: ordered only to stop receiving, it would go on leading.
pub fn fence_order(database: &DatabaseEvidence, leader_term: u64) -> FenceOrder {
    let has_outdated_leadership = database
        .reported_leadership
        .is_some_and(|(term, _)| term <= leader_term);
    if database.is_leader || has_outdated_leadership {
        FenceOrder::StepDown
    } else {
        FenceOrder::StopReceiving
    }
}

/// Chooses the successor of the leader of a reign. A database that leads in an earlier term has
/// itself been replaced, and is not adopted.
pub fn choose_successor(
    databases: &[DatabaseEvidence],
    reign: &ReplacedReign<'_>,
) -> SuccessorChoice {
    if let Some(choice) = find_newer_leader(databases, reign) {
        return choice;
    }
    let leader_end = find_leader_end(databases, reign);
    let leader = databases.iter().find(|database| database.is_leader);
    let leader = leader.filter(|leader| {
        let may_lead = !leader.is_draining || reign.may_departing_leader_lead;
        may_lead && reign.may_promote(&leader.id)
    });
    if let Some((position, best)) = find_candidate(databases, reign) {
        let has_reached_leader = leader_end.is_some_and(|end| position >= end);
        let has_all_acknowledged = reign.acknowledged_end.is_some_and(|end| position >= end);
        let is_sufficient = has_reached_leader
            || has_all_acknowledged
            || find_obstacle(databases, reign, position).is_none();
        // Where commits have to be given up, the longest log keeps most of them.
        let is_longest = leader.is_none() || Some(position) >= leader_end;
        if is_sufficient && (is_longest || !reign.has_given_up) {
            return choose_promotion(best, position);
        }
    }
    // The old leader has every commit that it acknowledged.
    match (leader, leader_end) {
        (Some(leader), Some(end)) => choose_promotion(leader, end),
        _ => SuccessorChoice::Wait,
    }
}

/// Returns why the choice is [`SuccessorChoice::Wait`].
pub fn wait_reason(databases: &[DatabaseEvidence], reign: &ReplacedReign<'_>) -> WaitReason {
    match find_candidate(databases, reign) {
        Some((position, _)) => {
            find_obstacle(databases, reign, position).unwrap_or(WaitReason::NotFenced)
        }
        None if reign.ordered.is_some() => WaitReason::OrderOutstanding,
        None => WaitReason::NotFenced,
    }
}

/// Returns the end of the log of the leader that has stepped down, if the log is complete.
fn find_leader_end(
    databases: &[DatabaseEvidence],
    reign: &ReplacedReign<'_>,
) -> Option<position::LogPosition> {
    // A term has one leader only, so a database that led in the replaced term is the old
    // leader, even under another identity.
    let led_replaced_term = |database: &&DatabaseEvidence| {
        let has_led = database
            .reported_leadership
            .is_some_and(|(term, _)| term == reign.term);
        database.is_leader || has_led
    };
    let mut old_leaders = databases
        .iter()
        .filter(led_replaced_term)
        .filter(has_complete_log);
    let end = old_leaders.find_map(|database| database.fenced_position);
    // An empty log may be all that a restart has left.
    let is_credible = |end: &position::LogPosition| end.offset > 0 || !reign.has_unknown_logs;
    end.filter(|end| Some(*end) >= reign.required_end && is_credible(end))
}

/// Returns the fenced replica with the longest log that may be promoted.
fn find_candidate<'a>(
    databases: &'a [DatabaseEvidence],
    reign: &ReplacedReign<'_>,
) -> Option<(position::LogPosition, &'a DatabaseEvidence)> {
    let candidates = replicas_of(databases).filter(|database| reign.may_promote(&database.id));
    candidates
        .filter_map(|database| Some((database.fenced_position?, database)))
        .max_by_key(|(position, database)| (*position, !database.is_draining, &database.id))
}

/// Returns why a replica whose log ends at `position` may lack an acknowledged commit, given the
/// logs of the other replicas.
fn find_obstacle(
    databases: &[DatabaseEvidence],
    reign: &ReplacedReign<'_>,
    position: position::LogPosition,
) -> Option<WaitReason> {
    if replicas_of(databases).any(|database| database.fenced_position.is_none()) {
        return Some(WaitReason::NotFenced);
    }
    if reign.has_unknown_logs {
        return Some(WaitReason::UnknownLogs);
    }
    let longest = replicas_of(databases).filter_map(|database| database.fenced_position);
    // A replica that lost its log may have been the only one with the last commits, so the
    // successor's log must reach at least as far as the lost one did.
    let lost_logs = replicas_of(databases).filter(|database| !has_complete_log(database));
    let lost_end = lost_logs.filter_map(|database| database.earlier_position);
    let needed = longest.max().max(lost_end.max()).max(reign.required_end);
    (Some(position) < needed).then_some(WaitReason::MissingCommits)
}

fn replicas_of(databases: &[DatabaseEvidence]) -> impl Iterator<Item = &DatabaseEvidence> {
    databases.iter().filter(|database| !database.is_leader)
}

/// Chooses a successor among `known`, and returns the choice only if it is a draining
/// database. `known` holds the databases that are registered or whose log positions are known.
///
/// A database that is left out of `known` may have commits that the draining one lacks. But
/// once the draining database stops, its own last commits are lost, so it is chosen before.
pub fn choose_draining_successor(
    known: &[DatabaseEvidence],
    reign: &ReplacedReign<'_>,
) -> SuccessorChoice {
    let choice = choose_successor(known, reign);
    let is_draining = |id: &name::DatabaseName| {
        let mut draining = known.iter().filter(|database| database.is_draining);
        draining.any(|database| database.id == *id)
    };
    match &choice {
        SuccessorChoice::Promote { id, .. } if is_draining(id) => choice,
        _ => SuccessorChoice::Wait,
    }
}

/// Returns the evidence for a database that is no longer registered and whose log ended at
/// `end`. It is neither waited for nor preferred to another database, since it counts as fenced
/// with an empty log. But a database whose log ends before `end` may lack acknowledged commits.
pub fn unregistered_database(
    id: &name::DatabaseName,
    end: position::LogPosition,
) -> DatabaseEvidence {
    DatabaseEvidence {
        id: id.clone(),
        is_leader: false,
        is_draining: true,
        fenced_position: Some(position::LogPosition::new(0, 0)),
        reported_leadership: None,
        earlier_position: Some(end),
    }
}

/// Returns whether a choice should be deferred: it names a draining database, while a replica that
/// is neither draining nor fenced may merely have been slower to answer. A fenced replica was taken
/// into account by the choice, and its log gets no longer.
pub fn should_defer(choice: &SuccessorChoice, databases: &[DatabaseEvidence]) -> bool {
    let SuccessorChoice::Promote { id, .. } = choice else {
        return false;
    };
    let is_chosen_draining =
        |database: &DatabaseEvidence| database.id == *id && database.is_draining;
    let may_suit_better = |database: &DatabaseEvidence| {
        !database.is_leader && !database.is_draining && database.fenced_position.is_none()
    };
    databases.iter().any(is_chosen_draining) && databases.iter().any(may_suit_better)
}

/// Returns whether the log that a fenced database reported reaches its earlier position, if
/// one is known.
fn has_complete_log(database: &&DatabaseEvidence) -> bool {
    database
        .earlier_position
        .is_none_or(|earlier| database.fenced_position >= Some(earlier))
}

/// Returns the choice to adopt a database that leads in a later term than the replaced one. The
/// replaced leader itself may do so, if an order that promotes it took effect late.
fn find_newer_leader(
    databases: &[DatabaseEvidence],
    reign: &ReplacedReign<'_>,
) -> Option<SuccessorChoice> {
    // Another database would go on leading until the outstanding order takes effect.
    let is_candidate = |database: &&DatabaseEvidence| match reign.ordered {
        Some(ordered) => *ordered == database.id,
        None => !database.is_leader,
    };
    let leading = databases.iter().filter(is_candidate);
    let leading = leading.filter_map(|database| Some((database.reported_leadership?, database)));
    let ((term, position), database) = leading.max_by_key(|((term, _), _)| *term)?;
    (term > reign.term).then(|| SuccessorChoice::Adopt {
        id: database.id.clone(),
        position,
    })
}

fn choose_promotion(
    database: &DatabaseEvidence,
    position: position::LogPosition,
) -> SuccessorChoice {
    SuccessorChoice::Promote {
        id: database.id.clone(),
        position,
    }
}
