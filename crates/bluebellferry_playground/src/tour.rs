//! The tour itself.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;

/// The service that the tour uses.
pub const SERVICE: &str = "rental-core";
/// The workspace that the tour belongs to.
pub const WORKSPACE: &str = "families";
/// How many bookings are made around the primary's end.
const BOOKINGS: u32 = 200;
/// The pause between two bookings.
const BOOKING_PAUSE: Duration = Duration::from_millis(10);

/// Why the tour stopped early.
pub type TourError = Box<dyn std::error::Error>;

/// Starts the environment of the tour.
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

/// Books, reads back, kills the primary and reports.
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
    let account = book_through_failover(fleet, &first).await?;
    account.print();
    Ok(())
}

async fn read_back(fleet: &fleet::Fleet) -> Result<(), TourError> {
    let mut config = fleet.caller_config(1, WORKSPACE, SERVICE);
    config.options("-c bluebellferry.read=catalogue");
    let roamed = fleet::connect_with(&config).await?;
    let row = roamed
        .query_one("SELECT gear FROM booking WHERE id = 1", &[])
        .await?;
    let gear: String = row.get(0);
    let centre = &fleet.plan.data_centres[1].name;
    println!("At once the counter read it back through the proxy in {centre}: \"{gear}\".");
    println!(
        "It was never at risk of an old copy: a copy is used only if it holds that booking.\n"
    );
    Ok(())
}

/// What became of the bookings.
struct BookingAccount {
    confirmed: u32,
    refused: u32,
    uncertain: u32,
    missing: u32,
    longest: Duration,
}

impl BookingAccount {
    fn print(&self) {
        println!("Of {BOOKINGS} bookings made around that moment:");
        let kept = self.confirmed - self.missing;
        println!(
            "  {} were confirmed, and {kept} of these are there;",
            self.confirmed
        );
        println!(
            "  {} were refused with a promise that nothing was booked;",
            self.refused
        );
        println!(
            "  {} came back as \"may have been booked, please check\".",
            self.uncertain
        );
        let seconds = self.longest.as_secs_f64();
        println!("The longest wait for an answer was {seconds:.1} seconds.\n");
    }
}

async fn book_through_failover(
    fleet: &mut fleet::Fleet,
    client: &tokio_postgres::Client,
) -> Result<BookingAccount, TourError> {
    let primary = fleet.find_primary(0, 0).await?;
    let mut account = BookingAccount {
        confirmed: 0,
        refused: 0,
        uncertain: 0,
        missing: 0,
        longest: Duration::ZERO,
    };
    let mut confirmed = Vec::new();
    for number in 0..BOOKINGS {
        if number == BOOKINGS / 4 {
            println!(
                "Now the main database ({}) is killed.",
                fleet.databases[primary].name
            );
            fleet.databases[primary].process.kill().await?;
        }
        let id = 100 + number;
        let started = Instant::now();
        let sql = format!("INSERT INTO booking VALUES ({id}, 'skis')");
        match client.execute(&sql, &[]).await {
            Ok(_) => confirmed.push(id),
            Err(error) if is_uncertain(&error) => account.uncertain += 1,
            Err(_) => account.refused += 1,
        }
        account.longest = account.longest.max(started.elapsed());
        tokio::time::sleep(BOOKING_PAUSE).await;
    }
    account.confirmed = confirmed.len() as u32;
    for id in confirmed {
        let sql = format!("SELECT count(*) FROM booking WHERE id = {id}");
        let count: i64 = client.query_one(&sql, &[]).await?.get(0);
        account.missing += u32::from(count != 1);
    }
    let primary = fleet.find_primary(0, 0).await?;
    println!("{} has taken over.", fleet.databases[primary].name);
    Ok(account)
}

/// Returns whether the proxy could not say if the request had run.
fn is_uncertain(error: &tokio_postgres::Error) -> bool {
    let detail = error
        .as_db_error()
        .and_then(tokio_postgres::error::DbError::detail);
    detail.is_none_or(|detail| detail.contains("execution=unknown"))
}

/// Says how to go on by hand.
pub fn print_invitation(fleet: &fleet::Fleet) {
    let listen = fleet.proxies[0].listen;
    let key = plan::FleetPlan::api_key_of(WORKSPACE);
    let (host, port) = (listen.ip(), listen.port());
    println!("Try it yourself:");
    println!("  PGPASSWORD={key} psql -h {host} -p {port} -U {WORKSPACE} {SERVICE}");
    println!("A refusal explains itself; for instance, send your own key:");
    println!("  SELECT '{key}';");
    println!("State and counters of that proxy:");
    let admin = fleet.proxies[0].admin;
    println!(
        "  bluebellferry-ctl --api {admin} --token {} status",
        fleet::OPERATOR_TOKEN
    );
    println!("  curl http://{admin}/metrics");
}
