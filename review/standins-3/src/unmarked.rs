//! A server process is killed while it sends streams that have neither a length nor chunks.

use crate::Verdict;
use crate::client::HOST;
use crate::fleet::{Addresses, Fleet, Record};
use crate::server::event_data;
use crate::store::Store;
use futures::future::join_all;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const HOSTS: u8 = 3;
/// Servers, of which one is killed.
const SERVERS: u8 = 12;
/// Events of a stream, as on the sheets, and the time between two.
const EVENTS: u64 = 34;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Streams of each route.
const STREAMS: usize = 36;
const KILL_DELAY: Duration = Duration::from_millis(800);

/// Serves streams at an address until the process is killed. Its output tells which requests it runs.
pub async fn serve(address: &str, id: &str) {
    let listener = TcpListener::bind(address)
        .await
        .expect("a server's address");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let id = id.to_owned();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let _ = serve_one(stream, &id).await;
        });
    }
}

async fn serve_one(mut stream: TcpStream, id: &str) -> std::io::Result<()> {
    let (read, mut write) = stream.split();
    let mut read = BufReader::new(read);
    let (mut request, mut after, mut length, mut expected) = (String::new(), 0, 0, String::new());
    loop {
        let mut line = String::new();
        if read.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let Some((name, value)) = line.split_once(':') else {
            if line.trim().is_empty() {
                break;
            }
            continue;
        };
        let value = value.trim().to_owned();
        match &*name.to_ascii_lowercase() {
            "request-id" => request = value,
            "last-event-id" => after = value.parse().unwrap_or(0),
            "content-length" => length = value.parse().unwrap_or(0),
            "expect-instance" => expected = value,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    read.read_exact(&mut body).await?;
    if !expected.is_empty() && expected != id {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nInstance: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return write.write_all(head.as_bytes()).await;
    }
    println!("{id} runs {request} after {after}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\nSignature: 3e1b.07\r\n\
         Connection: close\r\n\r\n"
    );
    write.write_all(head.as_bytes()).await?;
    for number in after + 1..=EVENTS {
        sleep(EVENT_INTERVAL).await;
        let event = format!("id: {number}\ndata: {}\n\n", event_data(&request, number));
        write.write_all(event.as_bytes()).await?;
    }
    println!("{id} has sent the last event of {request}");
    Ok(())
}

/// A server in a process of its own.
struct ServerProcess {
    child: Child,
    id: String,
}

impl ServerProcess {
    fn start(address: SocketAddr, id: &str, record: &Record) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args(["serve", &address.to_string(), id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server");
        let output = child.stdout.take().expect("its output");
        let record = record.clone();
        std::thread::spawn(move || {
            for line in
                std::io::BufRead::lines(std::io::BufReader::new(output)).map_while(Result::ok)
            {
                record.line(&line);
            }
        });
        Self {
            child,
            id: id.into(),
        }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How a client's channel ended, and what it brought.
#[derive(Debug)]
struct Seen {
    status: u16,
    /// Whether the answer has a length or chunks.
    is_marked: bool,
    /// Whether the channel ended regularly, and not by a reset.
    is_regular: bool,
    /// Number of the last event, if the events are in order and the body ends after one.
    events: Option<u64>,
}

async fn ask(host: SocketAddr, path: &str, request: &str) -> Option<Seen> {
    let mut stream = TcpStream::connect(host).await.ok()?;
    let body = "[]";
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nModel: m\r\nToken-Usage: 450,200\r\n\
         Prefix-Hash: 5c1e07a2:100,91bd3f06:100,{request}:250\r\nDeadline-Ms: 5000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let reading = async {
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) => return true,
                Ok(length) => bytes.extend_from_slice(&buffer[..length]),
                Err(_) => return false,
            }
        }
    };
    let is_regular = timeout(Duration::from_secs(6), reading).await.ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let lower = head.to_ascii_lowercase();
    let is_marked = lower.contains("content-length:") || lower.contains("transfer-encoding:");
    let mut expected = String::new();
    let mut events = (body.is_empty()).then_some(0);
    for number in 1..=EVENTS {
        expected.push_str(&format!(
            "id: {number}\ndata: {}\n\n",
            event_data(request, number)
        ));
        if body == expected {
            events = Some(number);
        }
    }
    Some(Seen {
        status,
        is_marked,
        is_regular,
        events,
    })
}

fn config() -> Value {
    let route = |prefix: &str, attempts: u32, resumable: bool| {
        json!({"name": prefix, "host": HOST, "path_prefix": prefix, "type": "stream", "timeout_ms": 5000,
            "target_latency_ms": 300, "priority": 0, "service": "svc", "attempts": attempts, "sticky": true,
            "resumable": resumable, "itl_target_ms": 300})
    };
    json!({
        "version": 7,
        "routes": [route("/once/", 1, false), route("/resume/", 2, true)],
        "services": [{"name": "svc", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
    })
}

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let addresses = Addresses::new();
    let (store, store_address) = (Store::default(), addresses.socket(2, 8169));
    tokio::spawn(store.clone().serve(store_address));
    store.put("keyed.op", "config", &config().to_string());
    let processes: Vec<_> = (0..SERVERS)
        .map(|index| {
            let (id, address) = (format!("i-{index}"), addresses.socket(100 + index, 8080));
            let process = Arc::new(Mutex::new(ServerProcess::start(address, &id, record)));
            let (checked, store) = (Arc::downgrade(&process), store.clone());
            // The server checks in until it is killed; its entry goes three check-ins later.
            tokio::spawn(async move {
                for sequence in 1_u64.. {
                    let is_alive = checked.upgrade().is_some_and(|process| {
                        let mut process = process.lock().expect("no holder panics");
                        process.child.try_wait().is_ok_and(|status| status.is_none())
                    });
                    if !is_alive {
                        sleep(Duration::from_millis(2400)).await;
                        store.put("keyed.servers", &id, "");
                        return;
                    }
                    let entry = json!({"service": "svc", "address": address.to_string(),
                        "zone": format!("zone-{}", index % HOSTS), "version": "v1", "slots": 8, "state": "ready",
                        "cold_left_ms": 0, "sequence": sequence});
                    store.put("keyed.servers", &id, &entry.to_string());
                    sleep(Duration::from_millis(1200)).await;
                }
            });
            process
        })
        .collect();
    let fleet = Fleet::start(addresses, HOSTS, store_address);
    if !fleet.wait_ready().await {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(2)).await;
    let hosts: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.frontend())
        .collect();
    let mut is_broken = false;
    for (route, prefix) in ["/resume/a", "/once/a"].into_iter().enumerate() {
        let asked = (0..STREAMS).map(|index| {
            let (host, request) = (
                hosts[index % hosts.len()],
                format!("9c41d07b{route:04x}{index:04x}"),
            );
            async move {
                sleep(Duration::from_millis(10) * index as u32).await;
                (ask(host, prefix, &request).await, request)
            }
        });
        let killing = async {
            sleep(KILL_DELAY).await;
            if has_trouble {
                let mut process = processes[route].lock().expect("no holder panics");
                process.kill();
                record.tell(&format!("server {} was killed", process.id));
            }
        };
        let (answers, ()) = tokio::join!(join_all(asked), killing);
        let (mut whole, mut early, mut visible) = (0, 0, 0);
        for (seen, request) in &answers {
            record.line(&format!("{prefix} {request}: {seen:?}"));
            match seen {
                Some(seen) if seen.status == 200 && seen.is_regular && !seen.is_marked => {
                    match seen.events {
                        Some(EVENTS) => whole += 1,
                        Some(_) => early += 1,
                        None => visible += 1,
                    }
                }
                _ => visible += 1,
            }
        }
        record.tell(&format!(
            "{prefix}: {whole} streams complete, {early} ended early and looked complete, {visible} failed visibly"
        ));
        is_broken |= early > 0;
        if !has_trouble && whole < STREAMS {
            record.tell("streams failed without the disruption");
            return Verdict::NotRun;
        }
        // The entry of the server that was killed goes before the next one is.
        sleep(Duration::from_secs(6)).await;
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
