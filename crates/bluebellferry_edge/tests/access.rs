//! Tests who may go on, wait or begin after the configuration has changed, without I/O: each cell of
//! the table in docs/design/access.md.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::homes;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic::access;
use bluebellferry_edge::traffic::dispatch;
use bluebellferry_edge::traffic::metrics;
use bluebellferry_edge::traffic::placement;
use bluebellferry_keys::digest;
use bluebellferry_platform::configuration;
use bluebellferry_pool::pool;
use bluebellferry_runtime::clock;
use bluebellferry_session::connection_state;
use bluebellferry_types::name;
use bluebellferry_types::refusal;

#[path = "fixtures/access_cases.rs"]
mod access_cases;
#[path = "fixtures/settings.rs"]
mod fixtures;

use access_cases::AccessVersion;
use access_cases::NextFate;
use access_cases::RunningFate;

fn decode(
    number: u64,
    version: AccessVersion,
) -> bluebellferry_catalog::configuration::Configuration {
    let value = access_cases::configuration(number, version, "other-key");
    configuration::decode(&value).expect("the configuration is valid")
}

fn identity() -> Arc<access::CallerIdentity> {
    Arc::new(access::CallerIdentity {
        route: access_cases::ROUTE.to_owned(),
        key: digest::KeyDigest::compute(access_cases::KEY),
    })
}

/// Returns what an operation was granted that began under the first version of a case.
fn first_grant(case: &access_cases::AccessCase) -> access::AccessGrant {
    let grant = access::AccessGrant::for_new_operation(&decode(1, case.first), &identity());
    grant.unwrap_or_else(|refusal| panic!("{}: {refusal:?}", case.name))
}

fn last_configuration(
    case: &access_cases::AccessCase,
) -> bluebellferry_catalog::configuration::Configuration {
    let last = case.later.last().expect("a case has a later version");
    decode(1 + case.later.len() as u64, *last)
}

fn running_fate(result: &Result<(), refusal::RequestRefusal>) -> Option<RunningFate> {
    use refusal::RefusalReason as Reason;
    let Err(refusal) = result else {
        return Some(RunningFate::GoesOn);
    };
    match refusal.reason {
        Reason::KeyRefused => Some(RunningFate::Denied),
        Reason::TransactionAborted => Some(RunningFate::NothingKept),
        _ => None,
    }
}

/// Guards against a transaction that outlives its key: another answer about the route hid that the
/// key was withdrawn or names another workspace.
#[test]
fn a_running_transaction_goes_on_only_for_the_workspace_that_its_key_names() {
    for case in &access_cases::CASES {
        let grant = first_grant(case);
        let result = grant.claim.confirm(&last_configuration(case));
        assert_eq!(running_fate(&result), Some(case.running), "{}", case.name);
        let is_not_run = |refusal: refusal::RequestRefusal| {
            refusal.execution == refusal::RequestExecution::NotRun
        };
        assert!(result.err().is_none_or(is_not_run), "{}", case.name);
    }
}

#[test]
fn the_next_operation_is_granted_what_the_newest_version_says() {
    use refusal::RefusalReason as Reason;
    for case in &access_cases::CASES {
        let configuration = last_configuration(case);
        let granted = access::AccessGrant::for_new_operation(&configuration, &identity());
        let granted = granted.map(|grant| {
            let service = grant.policy.service.as_str().to_owned();
            (grant.claim.workspace.as_str().to_owned(), service)
        });
        let expected = match case.next {
            NextFate::RunsFor(workspace) => Ok((workspace, access_cases::SERVICE)),
            NextFate::Elsewhere(workspace) => Ok((workspace, access_cases::OTHER_SERVICE)),
            NextFate::Denied => Err(Reason::KeyRefused),
            NextFate::UnknownRoute => Err(Reason::UnknownRoute),
        };
        let granted = granted.as_ref().map(|(w, s)| (w.as_str(), s.as_str()));
        let granted = granted.map_err(|refusal| refusal.reason);
        assert_eq!(granted, expected, "{}", case.name);
    }
}

#[test]
fn a_transaction_keeps_the_policy_and_homes_with_which_it_began() {
    let grant = first_grant(&access_cases::CASES[0]);
    let first = access_cases::CASES[0].first;
    let mut changed = access_cases::configuration(2, first, "other-key");
    for route in changed["Routes"].as_array_mut().into_iter().flatten() {
        route["TimeoutMs"] = serde_json::json!(7);
        route["Priority"] = serde_json::json!(3);
        route["HomeRegions"] = serde_json::json!(["elsewhere"]);
    }
    let changed = configuration::decode(&changed).expect("the configuration is valid");
    assert!(grant.claim.confirm(&changed).is_ok());
    assert_eq!(grant.homes, homes::HomeRegions::Anywhere);
    let next = access::AccessGrant::for_new_operation(&changed, &identity());
    let next = next.expect("the caller is known");
    assert_eq!(next.policy.statement_timeout, Duration::from_millis(7));
    assert_ne!(
        grant.policy.statement_timeout,
        next.policy.statement_timeout
    );
}

#[test]
fn a_workspace_called_public_is_not_the_one_of_callers_without_a_key() {
    let first = AccessVersion {
        route: access_cases::RouteForm::Public,
        owner: Some(access_cases::VISITORS),
    };
    let mut value = access_cases::configuration(1, first, "other-key");
    value["Tenants"][1]["Name"] = serde_json::json!(access_cases::PUBLIC);
    let configuration = configuration::decode(&value).expect("the configuration is valid");
    let grant = access::AccessGrant::for_new_operation(&configuration, &identity());
    let grant = grant.expect("the caller is known");
    assert!(grant.claim.is_by_key);
    let withdrawn = AccessVersion {
        owner: None,
        ..first
    };
    let confirmed = grant.claim.confirm(&decode(2, withdrawn));
    assert_eq!(running_fate(&confirmed), Some(RunningFate::NothingKept));
}

/// How long a statement may wait for a database.
const WAIT: Duration = Duration::from_millis(600);

/// Returns the state of a VM without network that has the first version of a case.
fn shared_with_first(case: &access_cases::AccessCase) -> Arc<shared::EdgeShared> {
    let data_centre = name::DataCentreName::try_from("amman-a").expect("a valid name");
    let address = ([127, 0, 0, 1], 1).into();
    let settings = fixtures::settings("vm-0", data_centre, address);
    let (shared, _evidence) = shared::EdgeShared::new(settings, 1);
    publish(&shared, 1, case.first);
    shared
}

fn publish(shared: &shared::EdgeShared, number: u64, version: AccessVersion) {
    let snapshot = shared::EdgeSnapshot {
        configuration: Arc::new(decode(number, version)),
        ..shared::EdgeSnapshot::default()
    };
    shared.replace_snapshot(snapshot, true);
}

fn publish_later(shared: &shared::EdgeShared, case: &access_cases::AccessCase) {
    for (index, version) in case.later.iter().enumerate() {
        publish(shared, 2 + index as u64, *version);
    }
}

/// Guards against waits for a token or for a cold database that go on although the key has gone.
#[tokio::test]
async fn any_wait_ends_at_once_when_the_key_goes() {
    for case in &access_cases::CASES {
        let shared = shared_with_first(case);
        let claim = first_grant(case).claim;
        let waiting = claim.confirm_during(&shared, std::future::pending::<()>());
        let waiting = tokio::time::timeout(WAIT / 20, waiting);
        let (result, ()) = tokio::join!(waiting, async { publish_later(&shared, case) });
        let fate = result.map_or(Some(RunningFate::GoesOn), |result| running_fate(&result));
        assert_eq!(fate, Some(case.running), "{}", case.name);
    }
}

/// Waits for a database of a service that has none, while the later versions of a case come. Returns
/// the refusal, and when it came.
async fn wait_during(case: &access_cases::AccessCase) -> (refusal::RequestRefusal, Duration) {
    let shared = shared_with_first(case);
    let metrics = metrics::TrafficMetrics::new(&prometheus::Registry::new());
    let metrics = metrics.expect("the metric names are unique");
    let dispatcher = Rc::new(dispatch::Dispatcher::new(Arc::clone(&shared), metrics));
    let grant = first_grant(case);
    let started: Instant = clock::now();
    let mut request = dispatch::PlacementRequest {
        service: grant.policy.service.clone(),
        claim: grant.claim.clone(),
        pool_request: pool::ConnectionRequest {
            workspace: grant.claim.workspace.clone(),
            priority: 0,
            slo_deadline: started + WAIT,
        },
        requirement: placement::PlacementRequirement {
            replica_min_position: None,
        },
        homes: grant.homes.clone(),
        excluded: Vec::new(),
        deadline: started + WAIT,
        served_elsewhere_deadline: started + WAIT,
        needs: connection_state::SessionNeeds::default(),
    };
    let waiting = tokio::task::spawn_local(async move {
        let result = dispatcher.acquire(&mut request).await;
        let refusal = result.expect_err("there is no database");
        (refusal, clock::now().saturating_duration_since(started))
    });
    tokio::time::sleep(WAIT / 6).await;
    publish_later(&shared, case);
    waiting.await.expect("the task ends")
}

/// Guards against statements that run for a workspace whose key went while they waited, and against
/// refusals that come only when the statement's time is up.
#[tokio::test]
async fn a_waiting_statement_is_refused_at_once_when_its_key_goes() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let waits = access_cases::CASES.iter().map(|case| async move {
                let (refusal, after) = wait_during(case).await;
                let is_in_time = after < WAIT;
                let fate = match running_fate(&Err(refusal.clone())) {
                    Some(fate) if is_in_time => fate,
                    // The statement waited on, for a database that never came.
                    None if refusal.reason == refusal::RefusalReason::NoPrimary => {
                        RunningFate::GoesOn
                    }
                    _ => panic!("{}: {refusal:?} after {after:?}", case.name),
                };
                assert_eq!(fate, case.running, "{}", case.name);
            });
            futures_util::future::join_all(waits).await;
        })
        .await;
}
