//! Tests with databases that restart while a leader is being replaced. A restart ends a fence: a
//! replica receives the log of the old leader again, and a leader that stepped down leads again.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::lease;
use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

/// Longer than any lease lasts that was confirmed before.
const LEASES_EXPIRED: Duration = lease::LEASE_DURATION.saturating_add(lease::PROBE_LEASE_DURATION);
/// How long a crashed database is down.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// How long VMs take to learn of a registration.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_000);
/// How long a promotion may take.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(12);

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

async fn connect(deployment: &deployment::StandinDeployment) -> caller::StandinCaller {
    let caller = deployment.open_caller(0, "counter", KEY).await;
    caller.expect("the caller connects")
}

/// Sends an order to a database, as a VM does that replaces the leader.
async fn send_order(deployment: &deployment::StandinDeployment, database: u8, order: &str) {
    let connection = deployment.open_database(database).await;
    let mut connection = connection.expect("the database accepts the connection");
    let answer = connection.run_with_id("-", order).await;
    answer.expect("the database carries out the order");
}

async fn restart_with_log(deployment: &deployment::StandinDeployment, database: usize) {
    deployment.group.crash(database);
    tokio::time::sleep(DOWN_TIME).await;
    deployment.group.restart_with_log(database, None);
}

/// Cuts a deployment's only VM off from the store, and replaces the leader `i-a` by `i-c` as
/// another VM would, up to the point at which the platform has accepted the promotion. Then the
/// other replica restarts with its log, and so receives the log of `i-a` again.
async fn restart_replica_during_promotion(deployment: &deployment::StandinDeployment) {
    deployment.store.set_unresponsive(true);
    for replica in [1, 2] {
        send_order(deployment, replica, "PAUSE 2").await;
    }
    tokio::time::sleep(LEASES_EXPIRED).await;
    restart_with_log(deployment, 1).await;
}

/// Guards against lost writes: a VM that was cut off sent writes to the replaced leader, which
/// acknowledged them since a fenced replica had restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_vm_acknowledges_no_write_while_a_fenced_replica_restarts() {
    let deployment = start(1).await;
    deployment::run_successfully(&mut connect(&deployment).await, "WRITE boots first").await;
    restart_replica_during_promotion(&deployment).await;
    let mut acknowledged = vec!["first".to_owned()];
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        let data = format!("w{}", acknowledged.len());
        let mut caller = connect(&deployment).await;
        let answer = deployment::run(&mut caller, &format!("WRITE boots {data}")).await;
        if answer.refusal.is_none() {
            acknowledged.push(data);
        }
    }
    deployment.group.promote_at_once("i-c");
    let kept = deployment.group.logged_values("boots");
    assert!(
        acknowledged.iter().all(|data| kept.contains(data)),
        "acknowledged {acknowledged:?}, kept {kept:?}"
    );
}

/// Guards against lost commits: the same for a transaction that began before the VM was cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_vm_acknowledges_no_commit_while_a_fenced_replica_restarts() {
    let deployment = start(1).await;
    let mut caller = connect(&deployment).await;
    deployment::run_successfully(&mut caller, "WRITE boots first").await;
    deployment::run_successfully(&mut caller, "BEGIN").await;
    deployment::run_successfully(&mut caller, "WRITE boots second").await;
    restart_replica_during_promotion(&deployment).await;
    let answer = deployment::run(&mut caller, "COMMIT").await;
    deployment.group.promote_at_once("i-c");
    let kept = deployment.group.logged_values("boots");
    let is_kept = kept.contains(&"second".to_owned());
    assert!(answer.refusal.is_some() || is_kept, "{answer:?}, {kept:?}");
}

/// Guards against stale reads: the restarted replica, which was no longer fenced, confirmed the
/// replaced leader to a VM that was cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_replica_does_not_confirm_a_leader_that_is_being_replaced() {
    let deployment = start(1).await;
    deployment::run_successfully(&mut connect(&deployment).await, "WRITE boots first").await;
    restart_replica_during_promotion(&deployment).await;
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        let mut caller = connect(&deployment).await;
        let answer = deployment::run(&mut caller, "READ boots").await;
        assert!(answer.refusal.is_some(), "{answer:?}");
    }
}

/// Guards against refusals while the store is away: a VM without any other confirmation relies on
/// a leader whose replicas follow it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_vm_uses_a_leader_whose_replicas_follow_it() {
    let deployment = start(1).await;
    deployment::run_successfully(&mut connect(&deployment).await, "WRITE boots first").await;
    deployment.store.set_unresponsive(true);
    let until = Instant::now() + Duration::from_secs(4);
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < until {
        let mut caller = connect(&deployment).await;
        for text in ["READ boots", "WRITE boots more"] {
            let answer = deployment::run(&mut caller, text).await;
            if answer.refusal.is_none() {
                served += 1;
            } else {
                refused += 1;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served > 50 && refused * 20 <= served, "{served} {refused}");
}

/// Starts two VMs, of which the second is suspended, so that the first one waits for its lease
/// before it promotes a successor.
async fn start_with_suspended_vm() -> deployment::StandinDeployment {
    let deployment = start(2).await;
    deployment::run_successfully(&mut connect(&deployment).await, "WRITE boots first").await;
    let process = rustix::process::Pid::from_child(&deployment.vms[1]);
    let suspended = rustix::process::kill_process(process, rustix::process::Signal::STOP);
    suspended.expect("the process runs");
    deployment
}

async fn wait_for_order(deployment: &deployment::StandinDeployment, database: usize, order: &str) {
    let deadline = Instant::now() + PROMOTION_TIMEOUT;
    let has_received = || {
        let lines = deployment.group.received_lines_by_member();
        let mut lines = lines.iter().rev();
        lines.any(|(member, line)| *member == database && line.contains(order))
    };
    while !has_received() {
        assert!(Instant::now() < deadline, "no {order} at {database}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Writes directly at the old leader, like a VM that is cut off, whose lease is still valid.
async fn write_at_old_leader(deployment: &deployment::StandinDeployment, text: &str) {
    let connection = deployment.open_database(0).await;
    let mut connection = connection.expect("the old leader accepts the connection");
    let answer = deployment::run(&mut connection, text).await;
    assert_eq!(answer.refusal, None, "{text}");
}

async fn wait_for_promotion(deployment: &deployment::StandinDeployment) {
    let deadline = Instant::now() + PROMOTION_TIMEOUT;
    let has_successor = || {
        let reports = deployment.group.reports();
        reports
            .iter()
            .any(|report| report.is_primary && report.term > 1)
    };
    while !has_successor() {
        assert!(Instant::now() < deadline, "no database was promoted");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against lost writes: a fenced replica restarted, received a write, and was down when it
/// was to be probed again before the promotion, which passed it over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_successor_is_promoted_while_a_fenced_replica_is_down() {
    let deployment = start_with_suspended_vm().await;
    deployment.group.set_unresponsive(0, true);
    // A write that gets no answer makes the VM suspect the leader.
    let mut caller = connect(&deployment).await;
    tokio::spawn(async move { caller.run("WRITE boots refused").await });
    for replica in [1, 2] {
        wait_for_order(&deployment, replica, "PAUSE").await;
    }
    restart_with_log(&deployment, 1).await;
    deployment.group.set_unresponsive(0, false);
    write_at_old_leader(&deployment, "WRITE boots second").await;
    deployment.group.crash(1);
    tokio::time::sleep(LEASES_EXPIRED).await;
    deployment.group.restart_with_log(1, None);
    wait_for_promotion(&deployment).await;
    let kept = deployment.group.logged_values("boots");
    assert!(kept.contains(&"second".to_owned()), "{kept:?}");
}

/// Guards against lost writes: a draining leader that had stepped down restarted, led again and
/// acknowledged a write that its successor lacked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_that_leads_again_after_it_stepped_down_is_noticed() {
    let deployment = start_with_suspended_vm().await;
    // The other replica is chosen, since it is the only one that answers.
    deployment.group.set_unresponsive(1, true);
    let entry = deployment.store.object_value("servers", "i-a");
    let mut entry = entry.expect("it is registered");
    entry["State"] = "draining".into();
    deployment.store.put("servers", "i-a", entry);
    wait_for_order(&deployment, 0, "STEPDOWN").await;
    tokio::time::sleep(DOWN_TIME).await;
    deployment.group.lead_in_old_term(0, 1);
    deployment.group.set_replication_blocked(2, true);
    deployment.group.set_unresponsive(1, false);
    write_at_old_leader(&deployment, "WRITE boots second").await;
    wait_for_promotion(&deployment).await;
    let kept = deployment.group.logged_values("boots");
    assert!(kept.contains(&"second".to_owned()), "{kept:?}");
}

/// Guards against a service without a leader for good: a leader that had restarted under another
/// identity stepped down and was gone when it was to be probed again before the promotion.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_is_promoted_although_the_leader_that_stepped_down_is_gone() {
    let deployment = start_with_suspended_vm().await;
    let entry = deployment.store.object_value("servers", "i-a");
    let mut entry = entry.expect("it is registered");
    entry["DbRole"] = "replica".into();
    deployment.store.put("servers", "i-a2", entry);
    tokio::time::sleep(REGISTRATION_TIME).await;
    deployment.group.restart_with_log_and_role(0, "i-a2");
    // A write that is refused makes the VM suspect the leader.
    let mut caller = connect(&deployment).await;
    tokio::spawn(async move { caller.run("WRITE boots refused").await });
    wait_for_order(&deployment, 0, "STEPDOWN").await;
    for replica in [1, 2] {
        wait_for_order(&deployment, replica, "PAUSE").await;
    }
    tokio::time::sleep(DOWN_TIME).await;
    deployment.group.crash(0);
    wait_for_promotion(&deployment).await;
    let kept = deployment.group.logged_values("boots");
    assert_eq!(kept[0], "first");
}
