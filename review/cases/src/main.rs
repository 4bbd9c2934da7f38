//! Runs one case of the review: `fulmarswitch-review-cases CASE FOLDER`, in the root of the repository. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod daemon;
mod failed_twice;
mod held_back;
mod lifetime;
mod nested_route;
mod planned_stop;
mod record;
mod same_id;
mod server;
mod store;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Host name of all routes.
pub const HOST: &str = "host.example";
/// Time after which a case counts as one that could not run.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case did not come about.
    NotRun,
}

/// Milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: fulmarswitch-review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let verdict = runtime.block_on(run(case, Path::new(folder), trouble));
    runtime.shutdown_background();
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Folder of the settings and logs, which is removed in the end.
struct SettingsFolder(PathBuf);

impl SettingsFolder {
    fn create() -> std::io::Result<Self> {
        let name = format!("fulmarswitch-review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        // What is left does not disturb another run.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn run(case: &str, folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let settings = SettingsFolder::create()?;
    record.line(format!("case {case}, disruption: {trouble}"));
    let running = async {
        match case {
            "failed-twice" => failed_twice::run(&record, &settings.0, trouble).await,
            "nested-route" => nested_route::run(&record, &settings.0, trouble).await,
            "same-id" => same_id::run(&record, &settings.0, trouble).await,
            "planned-stop" => planned_stop::run(&record, &settings.0, trouble).await,
            "held-back" => held_back::run(&record, &settings.0, trouble).await,
            _ => Err(std::io::Error::other("no such case")),
        }
    };
    let verdict = tokio::time::timeout(CASE_TIMEOUT, running)
        .await
        .unwrap_or(Ok(Verdict::NotRun));
    daemon::end_all();
    if let Ok(logs) = std::env::var("KEEP_LOGS") {
        for entry in std::fs::read_dir(&settings.0)? {
            let entry = entry?;
            std::fs::copy(entry.path(), Path::new(&logs).join(entry.file_name()))?;
        }
    }
    if let Ok(verdict) = verdict {
        record.line(format!("verdict: {verdict:?}"));
        println!("{verdict:?}");
    }
    verdict
}
