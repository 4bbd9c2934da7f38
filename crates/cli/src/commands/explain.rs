//! The `explain` subcommand: merges the log lines about one request, job, endpoint or host from the logs of
//! all hosts, sorted by time.

use crate::error::{CommandError, UnreadableSnafu};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

/// Fields that identify the subject of a log line; a line matches when one of them equals the ID.
const ID_FIELDS: [&str; 5] = ["request", "job", "id", "endpoint", "host"];
/// Fields that [`format_line`] prints first, without their names, or leaves out (`level`).
const HEADER_FIELDS: [&str; 4] = ["msg", "ts", "host", "level"];

/// One structured log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Value of the field `ts`: an RFC 3339 time, which sorts chronologically as text.
    pub time: String,
    /// All fields of the JSON object.
    pub fields: Map<String, Value>,
    /// The unparsed JSON object, for output with `--json`.
    pub text: String,
}

/// The log lines that match one ID, collected over several logs.
#[derive(Debug, Default)]
pub struct MatchingLines {
    /// The matching lines, sorted by time.
    pub lines: Vec<LogLine>,
    /// Number of lines without a valid JSON object, such as the truncated last line of a log.
    pub malformed: usize,
}

impl MatchingLines {
    /// Adds the lines of `log` that match `id`. Text before the JSON object, such as a time stamp prepended by
    /// a log collector, is skipped.
    ///
    /// # Errors
    /// Returns the I/O error of the reader.
    pub fn read(&mut self, id: &str, log: impl Read) -> io::Result<()> {
        for line in BufReader::new(log).split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            let Some(start) = text.find('{') else {
                self.malformed += usize::from(!text.trim().is_empty());
                continue;
            };
            let text = &text[start..];
            match serde_json::from_str::<Map<String, Value>>(text) {
                Ok(fields) if matches_id(&fields, id) => {
                    let time = string_field(&fields, "ts").to_owned();
                    let text = text.to_owned();
                    self.lines.push(LogLine { time, fields, text });
                }
                Ok(_) => {}
                Err(_) => self.malformed += 1,
            }
        }
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(())
    }
}

fn matches_id(fields: &Map<String, Value>, id: &str) -> bool {
    ID_FIELDS
        .iter()
        .any(|name| string_field(fields, name) == id)
}

fn string_field<'a>(fields: &'a Map<String, Value>, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Formats a line for reading: time, host and message, then the other fields as `name=value`.
#[must_use]
pub fn format_line(line: &LogLine) -> String {
    let mut shown = format!(
        "{} {:<24} {}",
        line.time,
        string_field(&line.fields, "host"),
        string_field(&line.fields, "msg")
    );
    let other_fields = line
        .fields
        .iter()
        .filter(|(name, value)| !HEADER_FIELDS.contains(&name.as_str()) && !value.is_null());
    for (name, value) in other_fields {
        let value = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        // Writing to a string is infallible.
        let _ = write!(shown, "  {name}={value}");
    }
    shown
}

/// Prints the lines that match `id` from `files`, or from standard input if there are none.
///
/// # Errors
/// [`CommandError::Unreadable`] for a file, or [`CommandError::Unsuccessful`] when no line matches.
pub fn print(id: &str, files: &[PathBuf], json: bool) -> Result<(), CommandError> {
    let mut matching = MatchingLines::default();
    if files.is_empty() {
        let path = Path::new("standard input");
        let read = matching.read(id, io::stdin().lock());
        read.context(UnreadableSnafu { path })?;
    }
    for path in files {
        let file = File::open(path).context(UnreadableSnafu { path })?;
        matching.read(id, file).context(UnreadableSnafu { path })?;
    }
    if matching.malformed > 0 {
        eprintln!(
            "skipped {} lines that are not valid log lines",
            matching.malformed
        );
    }
    if matching.lines.is_empty() {
        let reason = format!(
            "no log line matches {id}; pass the logs of all hosts for the time in question"
        );
        return Err(CommandError::Unsuccessful {
            reason: reason.into(),
        });
    }
    for line in &matching.lines {
        if json {
            println!("{}", line.text);
        } else {
            println!("{}", format_line(line));
        }
    }
    Ok(())
}
