//! The steps of the demonstration.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;

/// The service that the tour connects to.
pub const SERVICE: &str = "rental-core";
/// The workspace whose API key the tour uses.
pub const WORKSPACE: &str = "families";
/// The number of bookings made one after another; the primary is killed after a quarter
/// of them.
const BOOKINGS: u32 = 200;
/// The delay between two bookings.
const BOOKING_DELAY: Duration = Duration::from_millis(10);

/// An error that ends the tour early.
pub type TourError = Box<dyn std::error::Error>;

/// Starts the environment that the tour uses.
///
/// # Errors
/// Fails when a process cannot be started.
pub async fn start_environment() -> Result<fleet::Fleet, TourError> {
    println!("Starting a store, three databases and two proxies, each as a process of its own ...");
    let mut plan = plan::FleetPlan::small();
    plan.databases.replay_lags = [0, 50, 300].map(Duration::from_millis).to_vec();
    plan.databases.connect_time = Duration::from_millis(10);
    let fleet = fleet::Fleet::start(plan, &process::Launcher::CurrentExecutable).await?;
    println!(
        "All are ready. Settings and logs are in {}\n",
        fleet.folder().display()
    );
    Ok(fleet)
}

/// Makes a booking, reads it back through the other proxy, kills the primary during
/// further bookings and prints their outcomes.
///
/// # Errors
/// Fails when a step of the tour does not work.
pub async fn run_tour(fleet: &mut fleet::Fleet) -> Result<(), TourError> {
    let first = fleet.connect(0, WORKSPACE, SERVICE).await?;
    first
        .batch_execute("CREATE TABLE booking (id BIGINT PRIMARY KEY, gear TEXT)")
        .await?;
    first
        .batch_execute("INSERT INTO booking VALUES (1, 'boots, size 38')")
        .await?;
    println!(
        "A family booked boots through the proxy in {}.",
        fleet.plan.data_centres[0].name
    );
    read_back(fleet).await?;
    let summary = book_during_failover(fleet, &first).await?;
    summary.print();
    Ok(())
}

/// Reads the booking through the second proxy, with a kind of read that replicas
/// may serve.
async fn read_back(fleet: &fleet::Fleet) -> Result<(), TourError> {
    let mut config = fleet.caller_config(1, WORKSPACE, SERVICE);
    config.options("-c bluebellferry.read=catalogue");
    let second = fleet::connect_with(&config).await?;
    let row = second
        .query_one("SELECT gear FROM booking WHERE id = 1", &[])
        .await?;
    let gear: String = row.get(0);
    let data_centre = &fleet.plan.data_centres[1].name;
    println!("It was read back at once through the proxy in {data_centre}: \"{gear}\".");
    println!(
        "No stale replica could answer: the proxy uses a replica only if it has that booking.\n"
    );
    Ok(())
}

/// The outcomes of the bookings made around the failover.
struct BookingSummary {
    confirmed: u32,
    refused: u32,
    unknown: u32,
    missing: u32,
    max_latency: Duration,
}

impl BookingSummary {
    fn print(&self) {
        println!("Of {BOOKINGS} bookings made before, during and after the failover:");
        let present = self.confirmed - self.missing;
        println!(
            "  {} were confirmed, and {present} of these are stored;",
            self.confirmed
        );
        println!(
            "  {} were refused with the promise that nothing was booked;",
            self.refused
        );
        println!(
            "  {} failed with an unknown outcome: they may have been booked.",
            self.unknown
        );
        let seconds = self.max_latency.as_secs_f64();
        println!("The longest wait for an answer was {seconds:.1} seconds.\n");
    }
}

/// Makes [`BOOKINGS`] bookings, kills the primary during them and counts their
/// outcomes; confirmed bookings are looked up afterwards.
async fn book_during_failover(
    fleet: &mut fleet::Fleet,
    client: &tokio_postgres::Client,
) -> Result<BookingSummary, TourError> {
    let primary = fleet.find_primary(0, 0).await?;
    let mut summary = BookingSummary {
        confirmed: 0,
        refused: 0,
        unknown: 0,
        missing: 0,
        max_latency: Duration::ZERO,
    };
    let mut confirmed = Vec::new();
    for number in 0..BOOKINGS {
        if number == BOOKINGS / 4 {
            println!("Killing the primary ({}).", fleet.databases[primary].name);
            fleet.databases[primary].process.kill().await?;
        }
        let id = 100 + number;
        let started = Instant::now();
        let sql = format!("INSERT INTO booking VALUES ({id}, 'skis')");
        match client.execute(&sql, &[]).await {
            Ok(_) => confirmed.push(id),
            Err(error) if is_outcome_unknown(&error) => summary.unknown += 1,
            Err(_) => summary.refused += 1,
        }
        summary.max_latency = summary.max_latency.max(started.elapsed());
        tokio::time::sleep(BOOKING_DELAY).await;
    }
    summary.confirmed = confirmed.len() as u32;
    for id in confirmed {
        let sql = format!("SELECT count(*) FROM booking WHERE id = {id}");
        let count: i64 = client.query_one(&sql, &[]).await?.get(0);
        summary.missing += u32::from(count != 1);
    }
    let primary = fleet.find_primary(0, 0).await?;
    println!("{} is the new primary.", fleet.databases[primary].name);
    Ok(summary)
}

/// Returns whether it is unknown if a failed statement ran.
fn is_outcome_unknown(error: &tokio_postgres::Error) -> bool {
    let detail = error
        .as_db_error()
        .and_then(tokio_postgres::error::DbError::detail);
    detail.is_none_or(|detail| detail.contains("execution=unknown"))
}

/// Prints commands with which users can explore the environment.
pub fn print_next_steps(fleet: &fleet::Fleet) {
    let listen = fleet.proxies[0].listen;
    let key = plan::FleetPlan::api_key_of(WORKSPACE);
    let (host, port) = (listen.ip(), listen.port());
    println!("Try it yourself:");
    println!("  PGPASSWORD={key} psql -h {host} -p {port} -U {WORKSPACE} {SERVICE}");
    println!("A refusal states its reason; for example, send your own key in a statement:");
    println!("  SELECT '{key}';");
    println!("State and counters of that proxy:");
    let admin = fleet.proxies[0].admin;
    println!(
        "  bluebellferry-ctl --api {admin} --token {} status",
        fleet::OPERATOR_TOKEN
    );
    println!("  curl http://{admin}/metrics");
}
