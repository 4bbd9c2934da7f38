//! Batch jobs as clients hand them in and read them.

use crate::wire::{self, base64};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a client waits for a read.
const CLIENT_PATIENCE: Duration = Duration::from_millis(2500);
pub const HOST: &str = "nony24.example";

/// A batch job.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    body: Vec<u8>,
}

impl Job {
    /// A job of `count` items whose bodies have `bytes` bytes each.
    pub fn new(prefix: &str, number: usize, count: usize, bytes: usize, usage: (u64, u64)) -> Self {
        let id = format!("{number:08x}c0ffee00");
        let items: Vec<String> = (0..count)
            .map(|item| format!("{number:08x}{item:08x}"))
            .collect();
        let (prompt, output) = usage;
        let texts: Vec<String> = items
            .iter()
            .enumerate()
            .map(|(index, item)| {
                let body: Vec<u8> = (0..bytes)
                    .map(|at| u8::try_from((at * 31 + index * 7 + number * 13) % 251).unwrap_or(0))
                    .collect();
                format!(
                    "{{\"id\":\"{item}\",\"path\":\"{prefix}{number:x}/{index:x}\",\"headers\":{{\"Model\":\"m\",\
                     \"Token-Usage\":\"{prompt},{output}\",\"Prefix-Hash\":\"9c2e41:100,{item}:{}\"}},\
                     \"body\":\"{}\",\"tokens\":{}}}",
                    prompt - 100,
                    base64(&body),
                    prompt + output
                )
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", texts.join(","));
        Self {
            id,
            items,
            body: body.into_bytes(),
        }
    }

    pub fn bytes(&self) -> usize {
        self.body.len()
    }

    /// Hands the job in. Returns the status.
    pub fn submit(&self, frontend: SocketAddr, prefix: &str) -> io::Result<u16> {
        let headers = [
            ("Host", HOST),
            ("Request-Id", &self.id),
            ("Content-Type", "application/json"),
        ];
        let target = format!("{prefix}{}", self.id);
        let answer = wire::call(
            frontend,
            "POST",
            &target,
            &headers,
            &self.body,
            Duration::from_secs(5),
        )?;
        Ok(answer.status)
    }

    /// Reads the results from a position on, without a wait for the next one. Returns the status, and the total with the results.
    pub fn read(&self, frontend: SocketAddr, after: usize) -> io::Result<(u16, Page)> {
        let target = format!("/lots/{}?after={after}", self.id);
        let answer = wire::call(
            frontend,
            "GET",
            &target,
            &[("Host", HOST)],
            b"",
            CLIENT_PATIENCE,
        )?;
        let page = if answer.status == 200 {
            Page::read(&answer.body)
        } else {
            Page::default()
        };
        Ok((answer.status, page))
    }

    /// Reads all results from the start. Returns them, or the status of the last read.
    pub fn read_all(&self, frontend: SocketAddr) -> Result<Page, String> {
        let mut all = Page::default();
        loop {
            let (status, page) = self
                .read(frontend, all.results.len())
                .map_err(|error| error.to_string())?;
            if status != 200 {
                return Err(format!("status {status}"));
            }
            all.total = page.total;
            if page.results.is_empty() || all.results.len() + page.results.len() >= page.total {
                all.results.extend(page.results);
                return Ok(all);
            }
            all.results.extend(page.results);
        }
    }
}

/// Results of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub total: usize,
    /// ID, state and output.
    pub results: Vec<(String, String, String)>,
}

impl Page {
    /// Reads the JSON of a page. Texts of the stand-ins need no escapes but line feeds.
    fn read(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        let total = text.split_once("\"total\":").map(|(_, rest)| rest);
        let total = total.and_then(|rest| rest.split([',', '}']).next()?.trim().parse().ok());
        let mut results = Vec::new();
        for part in text.split("{\"id\":\"").skip(1) {
            let field = |name: &str| {
                let (_, rest) = part.split_once(&format!("\"{name}\":\""))?;
                Some(rest.split('"').next()?.replace("\\n", "\n"))
            };
            let id = part.split('"').next().unwrap_or_default().to_owned();
            results.push((
                id,
                field("state").unwrap_or_default(),
                field("output").unwrap_or_default(),
            ));
        }
        Self {
            total: total.unwrap_or(0),
            results,
        }
    }
}
