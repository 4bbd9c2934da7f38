//! Cases of the third review. Usage: `fulmarswitch-review-3 CASE RECORD`.

mod client;
mod ended;
mod fleet;
mod forgotten;
mod heavy;
mod held;
mod server;
mod store;
mod unmarked;

use fleet::Record;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Maximum duration of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, verb, address, id] = &arguments[..]
        && verb == "serve"
    {
        unmarked::serve(address, id).await;
        return ExitCode::FAILURE;
    }
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: fulmarswitch-review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(Path::new(record));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let run = async {
        match &**case {
            "ended" => ended::run(&record, has_trouble).await,
            "forgotten" => forgotten::run(&record, has_trouble).await,
            "heavy" => heavy::run(&record, has_trouble).await,
            "held" => held::run(&record, has_trouble).await,
            "unmarked" => unmarked::run(&record, has_trouble).await,
            _ => Verdict::NotRun,
        }
    };
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return ExitCode::from(2);
    };
    // The daemons end with the case, whose future is dropped.
    let verdict = tokio::select! {
        verdict = run => verdict,
        _ = terminate.recv() => Verdict::NotRun,
        () = sleep(TIME_LIMIT) => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.tell(text);
    ExitCode::from(code)
}
