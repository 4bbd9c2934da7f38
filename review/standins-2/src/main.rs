//! Scripted cases of the second independent review. Run from the root of the repository as `NAME FOLDER`; `TROUBLE=0` leaves out the
//! disruption. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod daemon;
mod jobs;
mod limited_servers;
mod lost_machine;
mod lost_service;
mod reports_zone;
mod restart_volume;
mod server;
mod store;
mod wire;

use daemon::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a case: whether the rule held.
pub type CaseResult = Result<bool, String>;

/// What a case gets.
pub struct Case {
    pub trouble: bool,
    pub folder: PathBuf,
    pub record: Record,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let folder = std::env::temp_dir().join(format!("fulmarswitch-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut case = Case {
        trouble,
        folder,
        record,
    };
    case.record
        .write(&format!("case {name}, disruption: {trouble}"));
    let result = match name.as_str() {
        "restart-volume" => restart_volume::run(&mut case),
        "limited-servers" => limited_servers::run(&mut case),
        "lost-machine" => lost_machine::run(&mut case),
        "lost-service" => lost_service::run(&mut case),
        "reports-zone" => reports_zone::run(&mut case),
        _ => Err("no such case".to_owned()),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&case.folder);
    }
    let (text, code) = match result {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(cause) => (format!("could not run: {cause}"), 2),
    };
    case.record.write(&text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
