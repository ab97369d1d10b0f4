//! Runs a small deployment as separate processes and harms it from outside, by a seed.
//!
//! [`world`] holds what surrounds the processes, [`fleet`] the processes, [`proxy`] the ways between
//! them. [`faults`] draws what happens, [`callers`] send requests meanwhile, and [`checks`] compares
//! what callers and backend servers have seen with the promises of the product. The same seed draws
//! the same faults; their effects still depend on the machine. See `docs/design/soak.md`.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod fleet;
pub mod proxy;
pub mod world;

use checks::{Broken, Facts};
use faults::{Fault, Sizes};
use proxy::{Link, Proxy};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use world::{SERVER_FAULTS, World, ZONES, lock};

/// The time from the start of the processes to the first fault.
const LEAD: Duration = Duration::from_secs(3);
/// The time after the last fault within which everything is served again.
const RECOVERY: Duration = Duration::from_secs(9);
/// The time in which that is looked at.
const LOOK: Duration = Duration::from_secs(4);
/// How long after its leaving a backend server comes back under another id.
const AWAY: Duration = Duration::from_secs(9);

/// One run of the soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that the processes run.
    pub binary: PathBuf,
    /// Where settings and logs are written.
    pub dir: PathBuf,
    /// What the faults are drawn from.
    pub seed: u64,
    /// The time in which faults strike.
    pub length: Duration,
    /// The loopback network of the run, which no other run uses at the same time.
    pub net: [u8; 2],
}

/// What a run has shown.
#[derive(Debug)]
pub struct Report {
    /// The faults that struck.
    pub faults: usize,
    /// The requests that callers sent, and those that were served.
    pub requests: (usize, usize),
    /// The promises that were broken.
    pub broken: Vec<Broken>,
}

/// Runs one seed.
///
/// # Errors
/// Returns an error if the deployment cannot be started.
pub async fn run(options: &Options) -> std::io::Result<Report> {
    std::fs::create_dir_all(&options.dir)?;
    let world = World::start(&options.binary, &options.dir, options.net).await?;
    sleep(LEAD).await;
    let (stop, stopped) = watch::channel(false);
    let record = callers::start(&world, options.seed, &stopped);
    let sizes = Sizes {
        nodes: world.nodes.len(),
        servers: world.backends.len(),
        zones: ZONES.len(),
        kinds: SERVER_FAULTS.len(),
    };
    let faults = faults::draw(&mut Pcg64::seed_from_u64(options.seed), sizes, options.length);
    write_plan(&options.dir, &faults)?;
    let began = Instant::now();
    let mut strikes = Vec::new();
    for (at, fault) in &faults {
        sleep_until(began + *at).await;
        strikes.push(tokio::spawn(strike(Arc::clone(&world), *fault)));
    }
    futures::future::join_all(strikes).await;
    mend(&world);
    sleep(RECOVERY).await;
    let recovered = Instant::now();
    sleep(LOOK).await;
    stop.send_replace(true);
    sleep(callers::DEADLINE).await;
    let sent = lock(&record).clone();
    let is_served =
        |s: &&callers::Sent| matches!(s.end, callers::End::Answered { status: 200, .. });
    let served = sent.iter().filter(is_served).count();
    let requests = (sent.len(), served);
    let broken = checks::check(&Facts::collect(&world, sent, recovered));
    Ok(Report { faults: faults.len(), requests, broken })
}

/// Writes what will happen beside the logs.
fn write_plan(dir: &Path, faults: &[(Duration, Fault)]) -> std::io::Result<()> {
    let line = |(at, fault): &(Duration, Fault)| format!("{:>6} ms {fault:?}\n", at.as_millis());
    std::fs::write(dir.join("faults.txt"), faults.iter().map(line).collect::<String>())
}

/// Carries one fault out, to its end.
async fn strike(world: Arc<World>, fault: Fault) {
    let ms = Duration::from_millis;
    let outcome = match fault {
        Fault::Kill(node, away) => kill(&world, node, ms(away)).await,
        Fault::Stop(node) => stop(&world, node).await,
        Fault::Pause(node, time) => {
            pause(&world, node, ms(time)).await;
            Ok(())
        }
        Fault::Reload(node, signal) => lock(&world.nodes[node]).reload(signal),
        Fault::StoreLink(node, link, time) => {
            world.harm(node, Instant::now() + ms(time));
            let proxy = lock(&world.nodes[node]).spec.store.clone();
            harm_link(&proxy, link, ms(time)).await;
            Ok(())
        }
        Fault::StoreDown(time) => {
            (0..world.nodes.len()).for_each(|n| world.harm(n, Instant::now() + ms(time)));
            world.store.set_down(true);
            sleep(ms(time)).await;
            world.store.set_down(false);
            Ok(())
        }
        Fault::ServerLink(server, link, time) => {
            (0..world::ENTRIES).for_each(|n| world.harm(n, Instant::now() + ms(time)));
            harm_link(&world.backends[server].proxy, link, ms(time)).await;
            Ok(())
        }
        Fault::ServerFault(server, kind, time) => {
            let server = &world.backends[server].server;
            server.set_fault(SERVER_FAULTS[kind]);
            sleep(ms(time)).await;
            server.set_fault(limpetmux_standins::users::UsersFault::None);
            Ok(())
        }
        Fault::Drain(server) => {
            let backend = Arc::clone(&world.backends[server]);
            world.drain(&backend);
            sleep(AWAY).await;
            world.come_back(&backend);
            Ok(())
        }
        Fault::Declare => {
            world.declare();
            Ok(())
        }
        Fault::Revoke => {
            world.revoke();
            Ok(())
        }
        Fault::Evacuate(zone, time) => {
            world.evacuate(zone, true);
            sleep(ms(time)).await;
            world.evacuate(zone, false);
            Ok(())
        }
    };
    if let Err(error) = outcome {
        eprintln!("{fault:?} could not be carried out: {error}");
    }
}

async fn kill(world: &World, node: usize, away: Duration) -> std::io::Result<()> {
    world.harm(node, Instant::now() + away + Duration::from_secs(1));
    lock(&world.nodes[node]).kill();
    sleep(away).await;
    lock(&world.nodes[node]).start_again()
}

async fn stop(world: &World, node: usize) -> std::io::Result<()> {
    lock(&world.nodes[node]).ask_to_stop();
    fleet::ended(&world.nodes[node]).await;
    lock(&world.nodes[node]).start_again()
}

async fn pause(world: &World, node: usize, time: Duration) {
    world.harm(node, Instant::now() + time);
    lock(&world.nodes[node]).set_paused(true);
    sleep(time).await;
    lock(&world.nodes[node]).set_paused(false);
}

async fn harm_link(proxy: &Proxy, link: Link, time: Duration) {
    proxy.set(link);
    sleep(time).await;
    proxy.set(Link::Whole);
}

/// Ends what overlapping faults may have left behind.
fn mend(world: &World) {
    for node in &world.nodes {
        let mut node = lock(node);
        node.set_paused(false);
        node.spec.store.set(Link::Whole);
        if let Err(error) = node.start_again() {
            eprintln!("node {} does not start: {error}", node.spec.index);
        }
    }
    world.backends.iter().for_each(|b| b.proxy.set(Link::Whole));
    world.store.set_down(false);
}
