//! What hosts of an earlier build send and store is read by hosts of this one.
//!
//! Heartbeats are real datagrams on loopback, so these tests run in real time.

use crate::encodings::{from_hex, to_hex};
use crate::support::{
    CallScript, DeadlyCalls, DeadlyCause, TestFleet, read_response, request_with_parts, wait_until,
};
use fulmarswitch_switch::backend::{KeyedLog, KeyedRecord, LogPartition};
use fulmarswitch_switch::logging::host_logger;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Datagrams, and records in the topics of hosts and origins, as hosts of b14947a write them: `datagram` or a topic, the number of
/// the message's kind or a key, and the value. They were written by running the test with `FULMARSWITCH_WRITE_FIXTURES=1` in that commit.
const FIXTURES: &str = include_str!("../fixtures/fleet-b14947a.txt");
const DATAGRAM: &str = "datagram";

/// The longest value of each source and kind.
type FixtureSet = BTreeMap<(String, String), Vec<u8>>;

fn add_longest(fixtures: &mut FixtureSet, source: &str, kind: String, value: &[u8]) {
    let longest = fixtures.entry((source.into(), kind)).or_default();
    if value.len() > longest.len() {
        *longest = value.to_vec();
    }
}

fn partition(topic: &str) -> LogPartition {
    LogPartition {
        topic: topic.into(),
        partition: 0,
    }
}

/// Collects what hosts say to each other and store while endpoints crash and name limits, and streams break off.
async fn write_fixtures() {
    let fleet = TestFleet::new(6);
    fleet.client.set_default(CallScript::Stream { events: 12 });
    fleet.client.set_limit("e0", Some("4"));
    let hosts = [fleet.spawn("a").await, fleet.spawn("b").await];
    let (_isolated, unread) = fleet.spawn_isolated("c").await;
    sleep(Duration::from_secs(1)).await;
    let mut fixtures = FixtureSet::new();
    let mut buffer = vec![0; 2000];
    for number in 0..120 {
        if number == 40 {
            fleet.client.set_deadly(Some(DeadlyCalls {
                cause: DeadlyCause::Any,
                crash_after: Duration::from_millis(60),
            }));
        }
        let host = hosts[number % 2].clone();
        let id = format!("r{number}");
        let request = request_with_parts(&host, "/resume/x", &id, &["a1".to_owned()]);
        tokio::spawn(async move { read_response(&host, request).await });
        sleep(Duration::from_millis(100)).await;
        while let Ok(length) = unread.try_recv(&mut buffer) {
            // The second byte is the kind of the message.
            let kind = buffer[1].to_string();
            add_longest(&mut fixtures, DATAGRAM, kind, &buffer[..length]);
        }
    }
    for topic in ["hosts", "origins"] {
        let page = fleet.log.read_snapshot(&partition(topic)).await.unwrap();
        for entry in page.records {
            let key = String::from_utf8(entry.record.key.to_vec()).unwrap();
            add_longest(&mut fixtures, topic, key, &entry.record.value);
        }
    }
    let lines = fixtures.iter().map(|((source, kind), value)| {
        let hex = to_hex(value);
        format!("{source} {kind} {hex}\n")
    });
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/fleet-b14947a.txt"
    );
    std::fs::write(path, lines.collect::<String>()).unwrap();
}

/// Loopback address in the fixtures. With their ports it may be that of a host of another test.
const FIXTURE_ADDRESS: [u8; 4] = [127, 0, 0, 1];
/// Loopback address at which no test has a socket.
const UNUSED_ADDRESS: [u8; 4] = [127, 0, 77, 1];

/// Replaces the addresses in a fixture, to which the tested host would send.
fn relocate(value: &mut [u8]) {
    for start in 0..value.len() {
        if value[start..].starts_with(&FIXTURE_ADDRESS) {
            value[start..start + UNUSED_ADDRESS.len()].copy_from_slice(&UNUSED_ADDRESS);
        }
    }
}

#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    fn count(&self, part: &str) -> usize {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter(|line| line.contains(part)).count()
    }
}

impl io::Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a message or record that hosts of an earlier build write and this one does not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_earlier_hosts_write_is_read() {
    if std::env::var_os("FULMARSWITCH_WRITE_FIXTURES").is_some() {
        write_fixtures().await;
        return;
    }
    let lines = LogLines::default();
    let (logger, guard) = host_logger("d", lines.clone());
    let fleet = TestFleet {
        logger,
        ..TestFleet::new(1)
    };
    let node = fleet.start("d").await;
    let target = node.settings.descriptor.peer_address;
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (mut kinds, mut cut) = (Vec::new(), Vec::new());
    for line in FIXTURES.lines() {
        let fields: Vec<&str> = line.split(' ').collect();
        let mut value = from_hex(fields[2]);
        relocate(&mut value);
        if fields[0] == DATAGRAM {
            sender.send_to(&value, target).await.unwrap();
            kinds.push(fields[1]);
            cut = value[..value.len() / 2].to_vec();
        } else {
            let record = KeyedRecord {
                key: fields[1].as_bytes().to_vec().into(),
                value: value.into(),
            };
            let appended = fleet.log.append(&partition(fields[0]), &[record]).await;
            appended.unwrap();
        }
    }
    sleep(Duration::from_secs(2)).await;
    assert_eq!(kinds, ["0", "1", "2", "3"]);
    assert_eq!(lines.count("\"host heard\""), 1);
    assert_eq!(lines.count("ignored"), 0);
    // The lines of what cannot be read are written.
    sender.send_to(&cut, target).await.unwrap();
    let ignored = async || lines.count("heartbeat ignored") == 1;
    wait_until("the line of the cut datagram", ignored).await;
    drop(guard);
}
