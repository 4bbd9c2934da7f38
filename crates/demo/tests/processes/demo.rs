//! The demo program: an interrupt leaves none of its processes running.

use fulmarswitch_demo::process::ChildProcess;
use rstest::rstest;
use rustix::process::{Pid, Signal, getpgid};
use std::fs;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for the demo to start its fleet and to stop it.
const TIME_LIMIT: Duration = Duration::from_mins(1);
/// Processes of the complete fleet: the platform, four endpoints and five hosts.
const FLEET_SIZE: usize = 10;

/// Returns the ids of the running children of a process.
fn children_of(parent: u32) -> Vec<u32> {
    let processes = fs::read_dir("/proc").expect("/proc is mounted");
    let ids = processes.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    ids.filter(|id| parent_of(*id) == Some(parent)).collect()
}

/// Returns the parent of a process; `None` if the process does not run.
fn parent_of(id: u32) -> Option<u32> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let value = |name| status.lines().find_map(|line| line.strip_prefix(name));
    let has_exited = value("State:")?.trim().starts_with('Z');
    (!has_exited).then(|| value("PPid:")?.trim().parse().ok())?
}

/// Otherwise the kernel ends a paused host when the shell that started the fleet exits.
#[tokio::test]
async fn child_has_a_process_group_of_its_own() {
    let folder = std::env::temp_dir();
    let name = format!("fulmarswitch-group-{}", std::process::id());
    let child = ChildProcess::start("standin-platform", &name, &[], &folder);
    let child = child.expect("the stand-in starts");
    let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    assert_eq!(getpgid(id).ok(), id);
    fs::remove_file(child.log()).expect("the log is removed");
}

/// The signal reaches only the demo itself, as `kill` sends it. Ctrl-C in a terminal reaches no more, since each process
/// of the fleet has a process group of its own.
#[rstest]
#[case::ctrl_c(Signal::INT, FLEET_SIZE)]
#[case::terminated(Signal::TERM, FLEET_SIZE)]
#[case::closed_terminal(Signal::HUP, FLEET_SIZE)]
#[case::while_starting(Signal::INT, 3)]
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_demo_leaves_no_process(#[case] signal: Signal, #[case] started: usize) {
    let folder = std::env::temp_dir();
    let name = format!(
        "fulmarswitch-demo-{}-{}-{started}",
        std::process::id(),
        signal.as_raw()
    );
    let demo = ChildProcess::start("fulmarswitch-demo", &name, &["--stay"], &folder);
    let mut demo = demo.expect("the demo starts");
    let deadline = Instant::now() + TIME_LIMIT;
    while children_of(demo.id()).len() < started {
        assert!(Instant::now() < deadline, "the fleet does not start");
        sleep(Duration::from_millis(10)).await;
    }
    let mut children = children_of(demo.id());
    demo.signal(signal).expect("the demo runs");
    while demo.exit_status().is_none() {
        assert!(Instant::now() < deadline, "the demo does not exit");
        // It may start one more process before it handles the signal.
        children.extend(children_of(demo.id()));
        sleep(Duration::from_millis(1)).await;
    }
    let left: Vec<_> = children
        .into_iter()
        .filter(|id| parent_of(*id).is_some())
        .collect();
    assert!(left.is_empty(), "processes {left:?} still run");
    fs::remove_file(demo.log()).expect("the log is removed");
}
