//! The daemon of one host. Runs all roles until it is asked to leave by a signal, an operator or the platform.

use bpaf::Bpaf;
use fulmarswitch::context::HostContext;
use fulmarswitch::events::EventLog;
use fulmarswitch::frontend::caller_service;
use fulmarswitch::host::HostNode;
use fulmarswitch::membership::next_incarnation;
use fulmarswitch::metrics::HostMetrics;
use fulmarswitch::settings::HostSettings;
use fulmarswitch_endpoint::http::HttpEndpointClient;
use fulmarswitch_http::server;
use fulmarswitch_peer::network::{PeerListener, PeerNetwork};
use fulmarswitch_platform::http::PlatformClient;
use fulmarswitch_records::{HostIdentity, LogicalClock};
use slog::{Drain, Logger, error, o};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

/// Serves online and batch inference on one shared fleet
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// Read the settings from this TOML file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit
    check_settings: bool,
}

fn main() -> ExitCode {
    let options = daemon_options().run();
    let settings = match HostSettings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("fulmarswitchd: {error}");
            return ExitCode::from(2);
        }
    };
    if options.check_settings {
        println!("{}: the settings are valid", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let logger = make_logger(&settings.host);
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.tuning.worker_threads)
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(run(settings, &logger)),
        Err(error) => Err(error.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(logger, "stopped"; "error" => %error);
            eprintln!("fulmarswitchd: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: HostSettings, logger: &Logger) -> Result<(), Box<dyn Error>> {
    let platform = Arc::new(PlatformClient::new(
        &settings.platform.log_address,
        &settings.platform.list_address,
        &settings.platform.store_address,
    ));
    let callers = TcpListener::bind(&*settings.caller_address).await?;
    let peers = PeerListener::bind(&settings.message_address, &settings.stream_address).await?;
    let incarnation = next_incarnation(platform.as_ref(), &settings.host).await;
    let identity = HostIdentity {
        name: Arc::clone(&settings.host),
        incarnation,
    };
    let clock = LogicalClock::new();
    let context = HostContext {
        identity: identity.clone(),
        log: platform.clone(),
        list: platform.clone(),
        store: platform,
        link: Arc::new(PeerNetwork::new(identity.clone(), &clock)),
        endpoints: Arc::new(HttpEndpointClient::new()),
        events: EventLog::new(Arc::clone(&settings.host), clock.clone(), logger.clone()),
        metrics: HostMetrics::new(),
        started: Instant::now(),
        settings: Arc::new(settings),
    };
    let node = HostNode::new(&context);
    let (stop, stopped) = watch::channel(false);
    let serving = tokio::spawn(peers.serve(identity, clock, node.clone(), stopped.clone()));
    node.join().await?;
    let tuning = &context.settings.tuning;
    let service = caller_service(Arc::clone(node.frontend()), tuning.max_calls);
    let answering = server::serve_limited(callers, service, stopped, tuning.max_connections);
    let answering = tokio::spawn(answering);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.wait_leave_requested() => {}
    }
    node.leave().await;
    stop.send_replace(true);
    let limit = std::time::Duration::from_secs(5);
    // Connections that stay open without a request must not keep the process running.
    let _ = tokio::time::timeout(limit, async { tokio::join!(serving, answering) }).await;
    Ok(())
}

fn make_logger(host: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(json).build().fuse();
    Logger::root(drain, o!("host" => host.to_owned()))
}
