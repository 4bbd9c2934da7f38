//! `explain`: the log lines of one request, job or host, over all hosts, in order of time.

use crate::error::{CommandError, UnreadableSnafu};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

/// Fields that name what a line is about; a line is shown when one of them has the identity.
const ID_FIELDS: [&str; 5] = ["request", "job", "id", "endpoint", "host"];
/// Fields that have a place of their own in a shown line.
const HEADER_FIELDS: [&str; 4] = ["msg", "ts", "host", "level"];

/// One line that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time of the line, as it stands there; such times sort as text.
    pub time: String,
    /// All fields.
    pub fields: Map<String, Value>,
    /// The line as it stands in the log.
    pub text: String,
}

/// Lines of one identity.
#[derive(Debug, Default)]
pub struct MatchingLines {
    /// The lines in order of time.
    pub lines: Vec<LogLine>,
    /// Lines that could not be read.
    pub malformed: usize,
}

impl MatchingLines {
    /// Adds the lines of a log that are about `id`. What stands before the JSON object, such as a time that a
    /// collector adds, is passed over.
    ///
    /// # Errors
    /// Returns what the reader says.
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

/// Makes a line that a person reads: time, host, what happened, then the inputs.
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
        // Writing to a string does not fail.
        let _ = write!(shown, "  {name}={value}");
    }
    shown
}

/// Prints the lines about `id` of the files, or of standard input.
///
/// # Errors
/// Names a file that cannot be read, or says that no line is about `id`.
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
            "{} lines could not be read and were left out",
            matching.malformed
        );
    }
    if matching.lines.is_empty() {
        let reason = format!("no line is about {id}; name all hosts' logs of that time");
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
