//! The demo: kills one host and drains another of a local fleet under load, and checks every answer.

use bpaf::Bpaf;
use fulmarswitch_demo::batch::{count_batch, make_job, submit, wait_until_complete};
use fulmarswitch_demo::fleet::LocalFleet;
use fulmarswitch_demo::online::{
    ENGINE_SERVICE, OnlineLoad, PLAIN_SERVICE, WORKSPACE, count_duplicate_runs, count_online,
    send_online_load,
};
use fulmarswitch_demo::report::DemoReport;
use rustix::process::Signal;
use serde_json::json;
use std::error::Error;
use std::io;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Hosts with their failure domains.
const HOSTS: [(&str, &str); 5] = [
    ("catania-1", "catania"),
    ("catania-2", "catania"),
    ("palermo-1", "palermo"),
    ("palermo-2", "palermo"),
    ("siracusa-1", "siracusa"),
];
/// Host that is killed under load.
const KILLED_HOST: &str = "catania-1";
/// Host that is drained under load.
const DRAINED_HOST: &str = "palermo-1";
/// Engine endpoints, all with the same model.
const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
/// Time from the start of the load to the kill, and from the kill to the drain.
const FAULT_INTERVAL: Duration = Duration::from_secs(3);
/// Online requests: 40 per second for 12 s.
const ONLINE_LOAD: OnlineLoad = OnlineLoad {
    interval: Duration::from_millis(25),
    duration: Duration::from_secs(12),
};
/// Time from its submission to the due time of the job.
const JOB_DUE_AFTER: Duration = Duration::from_mins(2);
/// Time limit for accepting the job, and then for completing it.
const JOB_TIMEOUT: Duration = Duration::from_mins(3);
/// Time within which the process of the drained host must exit.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);

/// Starts a small fleet, kills a host and drains another under load, and checks every answer
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct DemoOptions {
    /// Items of the batch job (default: 2400)
    #[bpaf(argument("COUNT"), fallback(2_400))]
    items: u32,
    /// Keep the fleet running without load and faults until interrupted, for trying the command line
    stay: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = demo_options().run();
    // The processes of the fleet are in groups of their own, so an interrupt must end them from the start.
    let interrupts = match Interrupts::listen() {
        Ok(interrupts) => interrupts,
        Err(error) => {
            eprintln!("fulmarswitch-demo: signals cannot be received ({error})");
            return ExitCode::FAILURE;
        }
    };
    if options.stay {
        return match run_until_interrupted(interrupts).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("fulmarswitch-demo: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let started = Instant::now();
    // Dropping the run drops the fleet, which kills its processes.
    let result = tokio::select! {
        result = run(&options) => result,
        () = interrupts.wait() => Err("interrupted".into()),
    };
    match result {
        Ok(report) => {
            println!("the run took {:.1} s", started.elapsed().as_secs_f64());
            println!("{report}");
            if report.passed() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("fulmarswitch-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &DemoOptions) -> Result<DemoReport, Box<dyn Error>> {
    let mut fleet = LocalFleet::start()?;
    println!("settings and logs are in {}", fleet.folder().display());
    start_all(&mut fleet).await?;
    publish_all(&fleet).await?;
    fleet.wait_converged().await?;
    let client = fleet.client();
    println!("{} hosts and {} engines are up", HOSTS.len(), ENGINES.len());

    let job = make_job("night-1", JOB_DUE_AFTER);
    let accepted = submit(&client, &job, options.items, JOB_TIMEOUT).await?;
    println!("job {} has {} items", accepted.job, accepted.total);
    let online = tokio::spawn(send_online_load(client.clone(), ONLINE_LOAD));

    tokio::time::sleep(FAULT_INTERVAL).await;
    fleet.host(KILLED_HOST).process.signal(Signal::KILL)?;
    println!("killed host {KILLED_HOST}");
    tokio::time::sleep(FAULT_INTERVAL).await;
    drain(&mut fleet).await?;

    let outcomes = online.await?;
    println!("{} online requests have ended", outcomes.len());
    let mut report = DemoReport::default();
    count_online(&client, &outcomes, &mut report).await;
    let runs = fleet.plain_runs(&fleet.endpoint("plain-1").address).await?;
    count_duplicate_runs(&outcomes, &runs, &mut report);

    let done = wait_until_complete(&client, &job, JOB_TIMEOUT).await;
    let late = done.is_none() || now_ms() > job.due_ms;
    report.late += u64::from(late) * u64::from(options.items);
    count_batch(&client, &job, options.items, &mut report).await?;
    println!("{} at-most-once calls may have run", report.may_have_run);
    if report.passed() {
        fleet.remove_folder();
    }
    Ok(report)
}

/// Starts the fleet and keeps it running until interrupted, for `--stay`.
async fn run_until_interrupted(interrupts: Interrupts) -> Result<(), Box<dyn Error>> {
    let fleet = tokio::select! {
        result = start_idle_fleet() => result?,
        () = interrupts.wait() => return Ok(()),
    };
    println!("settings and logs are in {}", fleet.folder().display());
    for host in &fleet.hosts {
        println!("host {} serves callers at {}", host.name, host.address);
    }
    println!("workspace {WORKSPACE}, services {ENGINE_SERVICE} and {PLAIN_SERVICE}");
    println!("export FULMARSWITCH_HOST={}", fleet.hosts[0].address);
    println!("press Ctrl-C to stop the fleet");
    interrupts.wait().await;
    fleet.remove_folder();
    Ok(())
}

async fn start_idle_fleet() -> Result<LocalFleet, Box<dyn Error>> {
    let mut fleet = LocalFleet::start()?;
    start_all(&mut fleet).await?;
    publish_all(&fleet).await?;
    fleet.wait_converged().await?;
    Ok(fleet)
}

async fn start_all(fleet: &mut LocalFleet) -> Result<(), Box<dyn Error>> {
    for engine in ENGINES {
        fleet.add_engine(engine, "m1")?;
    }
    fleet.add_plain_service("plain-1")?;
    for (name, failure_domain) in HOSTS {
        fleet.add_host(name, failure_domain, "").await?;
    }
    Ok(())
}

async fn publish_all(fleet: &LocalFleet) -> Result<(), Box<dyn Error>> {
    let limits = json!({ "max_online": 512 });
    let workspace = format!("workspace/{WORKSPACE}");
    fleet.publish(&workspace, 1, limits).await?;
    let model = json!({ "version": "1" });
    fleet.publish("model/m1", 1, model).await?;
    fleet
        .publish_service(ENGINE_SERVICE, "engine", "m1", &ENGINES)
        .await?;
    fleet
        .publish_service(PLAIN_SERVICE, "plain", "", &["plain-1"])
        .await?;
    Ok(())
}

/// Drains a host through the API, as an operator does, and waits until its process has exited successfully.
async fn drain(fleet: &mut LocalFleet) -> Result<(), Box<dyn Error>> {
    let host = fleet.host(DRAINED_HOST);
    let client = fulmarswitch_caller::client::CallerClient::pinned(host.address.clone());
    let _: bool = client
        .send_json(hyper::Method::POST, "/v1/drain", &json!({}))
        .await?;
    println!("draining host {DRAINED_HOST}");
    let status = host.process.wait(DRAIN_TIMEOUT).await?;
    println!("host {DRAINED_HOST} has stopped: {status}");
    if status.success() {
        Ok(())
    } else {
        Err("the drained host exited with an error".into())
    }
}

/// Receives the signals that end the demo: Ctrl-C, SIGTERM, and SIGHUP of a closed terminal.
struct Interrupts(watch::Receiver<bool>);

impl Interrupts {
    fn listen() -> io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let (sender, receiver) = watch::channel(false);
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hangup.recv() => {}
            }
            sender.send_replace(true);
        });
        Ok(Self(receiver))
    }

    /// Returns once a signal has been received.
    async fn wait(&self) {
        // An error means that the listening task has ended, which it does after a signal.
        let _ = self.0.clone().wait_for(|received| *received).await;
    }
}

fn now_ms() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
