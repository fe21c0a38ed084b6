//! Tests of the choice of a successor while replicas leave, join or hear nothing, and while
//! promotions take effect late: whatever was acknowledged must be in the log of the final leader.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::database;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;
use tokio::task::JoinSet;

/// The number of callers that write at the same time.
const CALLERS: usize = 4;
/// The pause of a caller between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// How many further writes show that a service works.
const ENOUGH_WRITES: usize = 10;
/// How long VMs take to learn of a registration.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_000);
/// How long a leader is silent.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Maximum time from the fences of all replicas to the order that promotes one of them, if all VMs
/// acknowledge the replacement.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(1_200);
/// Maximum time until an awaited event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(15);
/// An order to promote a database that has no effect.
const REFUSED_PROMOTION: database::PromotionHandling = database::PromotionHandling {
    answer: database::PromotionAnswer::Unavailable,
    delay: None,
};

type SharedDeployment = Arc<deployment::StandinDeployment>;

async fn start(vms: u8) -> SharedDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    Arc::new(deployment::StandinDeployment::start(program, vms).await)
}

/// Waits until a condition holds.
async fn wait_until(event: &str, mut has_happened: impl FnMut() -> bool) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !has_happened() {
        assert!(Instant::now() < deadline, "not in time: {event}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Callers that write without pause, and what was acknowledged to them.
struct ConcurrentWriters {
    deployment: SharedDeployment,
    acknowledged: Arc<Mutex<Vec<String>>>,
    tasks: JoinSet<()>,
}

impl ConcurrentWriters {
    /// Starts callers of a VM.
    fn start(deployment: &SharedDeployment, vm: u8) -> Self {
        let mut writers = Self {
            deployment: Arc::clone(deployment),
            acknowledged: Arc::default(),
            tasks: JoinSet::new(),
        };
        writers.continue_at(vm);
        writers
    }

    /// Ends the present callers and starts others, of another VM.
    fn continue_at(&mut self, vm: u8) {
        self.tasks.abort_all();
        for number in 0..CALLERS {
            let deployment = Arc::clone(&self.deployment);
            let acknowledged = Arc::clone(&self.acknowledged);
            self.tasks
                .spawn(write_repeatedly(deployment, vm, number, acknowledged));
        }
    }

    fn acknowledged(&self) -> Vec<String> {
        let acknowledged = self.acknowledged.lock();
        acknowledged.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until further writes have been acknowledged.
    async fn wait_for_writes(&self) {
        let count = self.acknowledged().len();
        let are_served = || self.acknowledged().len() >= count + ENOUGH_WRITES;
        wait_until("further writes are acknowledged", are_served).await;
    }

    /// Waits until the service works, and asserts that the leader's log has all acknowledged
    /// writes.
    async fn assert_all_kept(mut self) {
        self.wait_for_writes().await;
        self.tasks.shutdown().await;
        let kept = self.deployment.group.logged_values("boots");
        let acknowledged = self.acknowledged();
        let mut lost = acknowledged.iter().filter(|data| !kept.contains(data));
        let first_lost = lost.next();
        assert!(
            first_lost.is_none(),
            "lost {first_lost:?} and {} others of {} acknowledged writes; promotions: {:?}",
            lost.count(),
            acknowledged.len(),
            self.deployment.group.promotions()
        );
    }
}

async fn write_repeatedly(
    deployment: SharedDeployment,
    vm: u8,
    number: usize,
    acknowledged: Arc<Mutex<Vec<String>>>,
) {
    for write in 0_u64.. {
        if let Ok(mut caller) = deployment.open_caller(vm, "counter", KEY).await {
            let data = format!("vm{vm}-{number}-{write}");
            if is_acknowledged(&mut caller, &data).await {
                let mut acknowledged = acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
                acknowledged.push(data);
            }
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

async fn is_acknowledged(caller: &mut caller::StandinCaller, data: &str) -> bool {
    let answer = caller.run(&format!("WRITE boots {data}")).await;
    answer.is_ok_and(|answer| answer.refusal.is_none())
}

/// Reports a database as draining and waits until the VMs know it.
async fn drain(deployment: &SharedDeployment, id: &str) {
    report_draining(deployment, id);
    tokio::time::sleep(REGISTRATION_TIME).await;
}

fn report_draining(deployment: &SharedDeployment, id: &str) {
    let entry = deployment.store.object_value("servers", id);
    let mut entry = entry.expect("it is registered");
    entry["State"] = "draining".into();
    deployment.store.put("servers", id, entry);
}

fn has_been_promoted(deployment: &SharedDeployment, id: &str) -> bool {
    let promotions = deployment.group.promotions();
    promotions.iter().any(|promotion| promotion.database == id)
}

/// Kills a VM.
fn kill_vm(deployment: &SharedDeployment, vm: usize) {
    let process = rustix::process::Pid::from_child(&deployment.vms[vm]);
    let killed = rustix::process::kill_process(process, rustix::process::Signal::KILL);
    killed.expect("the process runs");
}

/// Makes the leader fall silent, and restarts it with its log after [`DOWN_TIME`].
async fn silence_leader_for_a_while(deployment: &SharedDeployment) {
    deployment.group.set_unresponsive(0, true);
    tokio::time::sleep(DOWN_TIME).await;
    deployment.group.restart_with_log(0, None);
}

/// Starts callers that write, cuts a replica off from the log of the leader, and makes the other
/// one leave, which alone has received the last commits.
async fn lose_replica_with_last_commits(deployment: &SharedDeployment) -> ConcurrentWriters {
    let writers = ConcurrentWriters::start(deployment, 0);
    writers.wait_for_writes().await;
    deployment.group.set_replication_blocked(2, true);
    drain(deployment, "i-b").await;
    writers.wait_for_writes().await;
    deployment.remove_database(1, "i-b");
    writers
}

/// Guards against lost commits: only a replica that has left and the silent leader had the last
/// ones, and a replica that had received nothing for a while was promoted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_without_the_last_commits_is_not_promoted_after_the_other_left() {
    let deployment = start(2).await;
    let writers = lose_replica_with_last_commits(&deployment).await;
    silence_leader_for_a_while(&deployment).await;
    deployment.group.set_replication_blocked(2, false);
    writers.assert_all_kept().await;
}

/// Guards against lost commits: the same, and the registration of the leader expires while it is
/// silent, so that the VMs list no other database.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_without_the_last_commits_is_not_promoted_as_the_leader_is_unregistered() {
    let deployment = start(2).await;
    let writers = lose_replica_with_last_commits(&deployment).await;
    deployment.group.set_unresponsive(0, true);
    tokio::time::sleep(DOWN_TIME / 2).await;
    let entry = deployment.store.object_value("servers", "i-a");
    deployment.store.remove("servers", "i-a");
    tokio::time::sleep(DOWN_TIME / 2).await;
    deployment.group.restart_with_log(0, None);
    let entry = entry.expect("it is registered");
    deployment.store.put("servers", "i-a", entry);
    deployment.group.set_replication_blocked(2, false);
    writers.assert_all_kept().await;
}

/// Guards against the loss of all commits: the only database registered beside the silent leader
/// had joined with an empty log and was promoted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_that_joined_empty_is_not_promoted_while_the_leader_is_down() {
    let deployment = start(2).await;
    let writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    report_draining(&deployment, "i-b");
    report_draining(&deployment, "i-c");
    let joined = deployment.add_empty_database("i-d").await;
    tokio::time::sleep(REGISTRATION_TIME).await;
    writers.wait_for_writes().await;
    deployment.remove_database(1, "i-b");
    deployment.remove_database(2, "i-c");
    silence_leader_for_a_while(&deployment).await;
    deployment.group.set_replication_blocked(joined, false);
    writers.assert_all_kept().await;
}

/// Makes the leader fall silent, and lets the first promotion be handled as given. From then on the
/// chosen database receives no log, and further orders to promote it are refused. Returns its index
/// and its identity.
async fn silence_leader_before_a_late_promotion(
    deployment: &SharedDeployment,
    handling: database::PromotionHandling,
) -> (usize, String) {
    let group = &deployment.group;
    group.set_next_promotion_handling(handling);
    group.set_unresponsive(0, true);
    let is_ordered = || !group.promotion_calls().is_empty();
    wait_until("a promotion is ordered", is_ordered).await;
    let chosen = group.promotion_calls().swap_remove(0).database;
    let mut ids = deployment::DATABASE_IDS.iter();
    let index = ids.position(|id| *id == chosen);
    let index = index.expect("a known database is promoted");
    group.set_replication_blocked(index, true);
    group.set_promotion_handling_of(&chosen, REFUSED_PROMOTION);
    (index, chosen)
}

/// Restarts the silent leader as a replica once another database has been promoted, and waits
/// until the late promotion of `chosen` has taken effect.
async fn await_late_promotion(deployment: &SharedDeployment, index: usize, chosen: &str) {
    let group = &deployment.group;
    let has_successor = || !group.promotions().is_empty();
    wait_until("a database is promoted", has_successor).await;
    group.restart_with_log(0, None);
    let has_led = || has_been_promoted(deployment, chosen);
    wait_until("the late promotion takes effect", has_led).await;
    group.set_replication_blocked(index, false);
}

/// Guards against lost commits: the platform had accepted a promotion and was late with it, another
/// database was promoted meanwhile, and the late promotion rolled its commits back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_promotion_rolls_back_no_acknowledged_commit() {
    let deployment = start(2).await;
    let writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let handling = database::PromotionHandling {
        answer: database::PromotionAnswer::Accepted,
        delay: Some(Duration::from_secs(4)),
    };
    let (index, chosen) = silence_leader_before_a_late_promotion(&deployment, handling).await;
    await_late_promotion(&deployment, index, &chosen).await;
    writers.assert_all_kept().await;
}

/// Has a promotion take effect late after the given answer. Meanwhile the chosen database begins to
/// drain, and further orders to promote it are refused, so that another one suits better. Returns
/// the index of the chosen database and its identity.
async fn order_late_promotion(
    deployment: &SharedDeployment,
    answer: database::PromotionAnswer,
    delay: Duration,
) -> (usize, String) {
    // Retries come soon after the first order.
    for id in deployment::DATABASE_IDS {
        let group = &deployment.group;
        group.set_promotion_handling_of(id, REFUSED_PROMOTION);
    }
    let handling = database::PromotionHandling {
        answer,
        delay: Some(delay),
    };
    let (index, chosen) = silence_leader_before_a_late_promotion(deployment, handling).await;
    for id in deployment::DATABASE_IDS.iter().filter(|id| **id != chosen) {
        let default_handling = database::PromotionHandling::default();
        let group = &deployment.group;
        group.set_promotion_handling_of(id, default_handling);
    }
    report_draining(deployment, &chosen);
    (index, chosen)
}

async fn promote_late_after(answer: database::PromotionAnswer) {
    let deployment = start(2).await;
    let writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let delay = Duration::from_secs(3);
    let (index, chosen) = order_late_promotion(&deployment, answer, delay).await;
    await_late_promotion(&deployment, index, &chosen).await;
    writers.assert_all_kept().await;
}

/// Guards against lost commits: a promotion answered with an error took effect after another
/// database had been promoted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promotion_that_failed_and_takes_effect_later_rolls_back_no_acknowledged_commit() {
    promote_late_after(database::PromotionAnswer::Failed).await;
}

/// Guards against lost commits: a promotion without an answer took effect after another database
/// had been promoted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unanswered_promotion_that_takes_effect_later_rolls_back_no_acknowledged_commit() {
    promote_late_after(database::PromotionAnswer::Unanswered).await;
}

/// Guards against lost commits: the VM that had ordered a late promotion was killed, the VM that
/// took over promoted another database, and the late promotion rolled its commits back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_promotion_ordered_by_a_killed_vm_rolls_back_no_acknowledged_commit() {
    let deployment = start(2).await;
    let mut writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let answer = database::PromotionAnswer::Unanswered;
    // The other VM takes over and promotes a database meanwhile.
    let delay = Duration::from_secs(8);
    let (index, chosen) = order_late_promotion(&deployment, answer, delay).await;
    let call = deployment.group.promotion_calls().swap_remove(0);
    let holder = usize::from(call.holder != "vm-0");
    kill_vm(&deployment, holder);
    writers.continue_at(1 - holder as u8);
    await_late_promotion(&deployment, index, &chosen).await;
    writers.assert_all_kept().await;
}

/// Guards against lost commits: the fenced replica with the longest log left, the VM that knew the
/// end of its log was killed, and the VM that took over promoted a replica with a shorter log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_of_a_vanished_log_is_known_after_another_vm_took_over() {
    let deployment = start(2).await;
    let mut writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let group = &deployment.group;
    group.set_replication_blocked(2, true);
    drain(&deployment, "i-b").await;
    writers.wait_for_writes().await;
    group.set_promotion_handling_of("i-b", REFUSED_PROMOTION);
    group.set_unresponsive(0, true);
    let is_ordered = || !group.promotion_calls().is_empty();
    wait_until("a promotion is ordered", is_ordered).await;
    let call = group.promotion_calls().swap_remove(0);
    assert_eq!(call.database, "i-b");
    deployment.remove_database(1, "i-b");
    let holder = usize::from(call.holder != "vm-0");
    kill_vm(&deployment, holder);
    let fencing_orders = || {
        let lines = group.received_lines_by_member();
        let is_fencing = |(member, line): &&(usize, String)| *member == 2 && line.contains("PAUSE");
        lines.iter().filter(is_fencing).count()
    };
    let ordered_before = fencing_orders();
    writers.continue_at(1 - holder as u8);
    let takes_over = || fencing_orders() > ordered_before;
    wait_until("another VM fences the other replica", takes_over).await;
    tokio::time::sleep(DOWN_TIME).await;
    group.restart_with_log(0, None);
    group.set_replication_blocked(2, false);
    writers.assert_all_kept().await;
}

/// Guards against lost commits: a draining replica that alone had the last ones left while its
/// promotion was held back in favour of a replica that had been fenced with a shorter log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_replica_with_the_last_commits_is_promoted_without_delay() {
    let deployment = start(2).await;
    let writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let group = &deployment.group;
    group.set_replication_blocked(2, true);
    drain(&deployment, "i-b").await;
    writers.wait_for_writes().await;
    group.set_unresponsive(0, true);
    let is_fenced = |fenced: usize| {
        let lines = group.received_lines_by_member();
        let is_fencing =
            |(member, line): &(usize, String)| *member == fenced && line.contains("PAUSE");
        lines.iter().any(is_fencing)
    };
    wait_until("both replicas are fenced", || is_fenced(1) && is_fenced(2)).await;
    let fenced_at = Instant::now();
    wait_until("a promotion is ordered", || {
        !group.promotion_calls().is_empty()
    })
    .await;
    let delay = fenced_at.elapsed();
    let call = group.promotion_calls().swap_remove(0);
    assert_eq!(call.database, "i-b");
    assert!(
        delay < MAX_ORDER_DELAY,
        "ordered {delay:?} after the fences"
    );
    group.set_replication_blocked(2, false);
    writers.assert_all_kept().await;
}

/// Guards against lost commits: a replica with the last commits had crashed beside the leader, and
/// an unrelated database that joined in its data centre was taken for its replacement.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashed_replica_is_waited_for_although_another_database_joins() {
    let deployment = start(2).await;
    let writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let group = &deployment.group;
    group.set_replication_blocked(2, true);
    writers.wait_for_writes().await;
    group.crash(1);
    group.set_unresponsive(0, true);
    deployment.store.remove("servers", "i-b");
    tokio::time::sleep(REGISTRATION_TIME).await;
    let joined = deployment.add_empty_database("i-d").await;
    tokio::time::sleep(DOWN_TIME).await;
    group.restart_with_log(0, None);
    group.restart_with_log(1, None);
    group.set_replication_blocked(2, false);
    group.set_replication_blocked(joined, false);
    writers.assert_all_kept().await;
}

/// Guards against lost commits: the holder of the promotion duty restarted after it had sent an
/// order that took effect late, and had the leadership table from another VM, without orders.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_is_known_after_the_holder_of_the_duty_restarted() {
    let deployment = start(2).await;
    let mut writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let handling = database::PromotionHandling {
        answer: database::PromotionAnswer::Accepted,
        delay: Some(Duration::from_secs(7)),
    };
    let (index, chosen) = silence_leader_before_a_late_promotion(&deployment, handling).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let call = deployment.group.promotion_calls().swap_remove(0);
    let holder = usize::from(call.holder != "vm-0");
    let process = rustix::process::Pid::from_child(&deployment.vms[holder]);
    let killed = rustix::process::kill_process(process, rustix::process::Signal::KILL);
    killed.expect("the process runs");
    tokio::time::sleep(Duration::from_millis(100)).await;
    writers.continue_at(1 - holder as u8);
    report_draining(&deployment, &chosen);
    let log = deployment
        .settings_file(holder as u8)
        .with_extension("again.log");
    let mut restarted = std::process::Command::new(env!("CARGO_BIN_EXE_bluebellferry-edge"))
        .env("BLUEBELLFERRY_BOOT", deployment.settings_file(holder as u8))
        .stdout(std::fs::File::create(&log).expect("created"))
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("it starts");
    eprintln!("log of the restarted VM: {}", log.display());
    await_late_promotion(&deployment, index, &chosen).await;
    writers.wait_for_writes().await;
    let calls = deployment.group.promotion_calls();
    eprintln!("chosen {chosen}, calls {calls:?}");
    writers.assert_all_kept().await;
    restarted.kill().ok();
    restarted.wait().ok();
}

/// Guards against a service that stays without a leader: a draining leader had stepped down with a
/// commit that no replica had, and stayed registered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_is_led_although_a_draining_leader_stepped_down_with_a_commit_of_its_own() {
    let deployment = start(2).await;
    let writers = ConcurrentWriters::start(&deployment, 0);
    writers.wait_for_writes().await;
    let group = &deployment.group;
    report_draining(&deployment, "i-a");
    group.set_replication_blocked(1, true);
    group.set_replication_blocked(2, true);
    let steps_down = || {
        let lines = group.received_lines();
        lines.iter().any(|line| line.contains("STEPDOWN"))
    };
    wait_until("the leader is ordered to step down", steps_down).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    group.set_replication_blocked(1, false);
    group.set_replication_blocked(2, false);
    writers.assert_all_kept().await;
}
