//! Daemons, started with the command of the deploy file, and the record of a case.

use serde_json::json;
use std::fs::{self, File};
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

use crate::client;

/// Loopback addresses of one run of a case: the second and third byte are its own.
#[derive(Clone, Copy)]
pub struct Addresses(u8, u8);

impl Addresses {
    pub fn new() -> Self {
        let id = std::process::id();
        Self(
            100 + u8::try_from(id / 250 % 100).expect("below 100"),
            u8::try_from(id % 250).expect("below 250"),
        )
    }

    pub fn ip(self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.0, self.1, last).into()
    }

    pub fn socket(self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(last), port)
    }
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let time = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{time:8.3} {text}");
    }

    /// A line that is also shown.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

pub struct Daemon {
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8161)
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/fulmarswitch-node")
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("FULMARSWITCH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon");
        self.child = Some(child);
    }

    /// Memory of the process, as the platform sees it.
    pub fn memory_bytes(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts `count` daemons, one in each zone.
    pub fn start(addresses: Addresses, count: u8, store: SocketAddr) -> Self {
        Self::start_with(addresses, count, store, 300)
    }

    /// Starts `count` daemons that may use so much memory.
    pub fn start_with(addresses: Addresses, count: u8, store: SocketAddr, memory_mb: u64) -> Self {
        let folder =
            std::env::temp_dir().join(format!("fulmarswitch-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut daemons = Vec::new();
        let ips: Vec<IpAddr> = (0..count).map(|index| addresses.ip(10 + index)).collect();
        let zones: Vec<String> = (0..count)
            .map(|index| format!("zone-{index} = \"region\""))
            .collect();
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:8166")).collect();
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("edge-{index}");
            let text = format!(
                "node_name = \"{name}\"\nrole = \"switch\"\nmachine_class = \"edge\"\n\
                 serves = [\"edge\",\"registry\"]\nip = \"{ip}\"\nzone = \"zone-{index}\"\nregion = \"region\"\n\
                 port_range = [7720,7735]\nseeds = {}\nbootstrap = true\nfault_counted = false\n\
                 discovery = \"platform\"\nentry = \"registry\"\nheartbeat_ms = 1200\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n\
                 [zones]\n{}\n[listen]\nfrontend = \"{ip}:8161\"\nready = \"{ip}:8167\"\n\
                 control_plane = \"{ip}:8166\"\nregistry = \"{ip}:8164\"\n\
                 [limits]\ncpu_quota = 0.5\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = 8200\nlink_mbps = 1000.0\ndisk_mb = 0\n\
                 [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
                 [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 5\n\
                 drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\ndowngrade_ms = 250\n\
                 max_stretch_ms = 5000\nrecover_s = 12\niteration_ms = 120\nretry_after_s = 0\nfinish_s = 18\n\
                 status_ttl_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_overrun = 0.1\nttl_max_s = 5\n\
                 [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 8\n\
                 append_ms = 4.0\npartition_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\n\
                 request_bytes = 2097152\nretention_s = 300\npartition_mb = 200\nttl_min_ms = 1000\n",
                json!(seeds),
                zones.join("\n"),
            );
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("a settings file");
            let log = folder.join(format!("{name}.log"));
            let mut daemon = Daemon {
                ip: *ip,
                settings,
                log,
                child: None,
            };
            daemon.start();
            daemons.push(daemon);
        }
        Self { daemons, folder }
    }

    /// Waits until all daemons are ready. Returns whether they are.
    pub async fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        for daemon in &self.daemons {
            loop {
                let ready = SocketAddr::new(daemon.ip, 8167);
                let patience = Duration::from_secs(1);
                let probe =
                    client::call(ready, "GET", "/readyz", &[], bytes::Bytes::new(), patience);
                if probe.await.is_ok_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&kept);
            for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                let _ = fs::copy(entry.path(), Path::new(&kept).join(entry.file_name()));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
