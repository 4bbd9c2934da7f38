//! Panics in tasks of a host, and on data from outside.

use crate::support::{CallScript, TestFleet, results, submission, wait_until};
use fulmarswitch_switch::panics::{PANIC_EXIT_CODE, install_hook, spawn_vital};
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::sleep;

/// Set in the process that panics.
const CHILD: &str = "FULMARSWITCH_TEST_PANIC";

/// Locks when it is dropped, as what a scheduling pass was about to begin does.
struct LockingDrop(&'static Mutex<()>);

impl Drop for LockingDrop {
    fn drop(&mut self) {
        let _guard = self.0.lock();
    }
}

/// Guards against a host that goes on as ready without one of its tasks, or that neither serves nor ends as the task has panicked while it
/// held the state.
#[test]
fn panic_in_a_task_of_the_host_ends_the_process() {
    static STATE: Mutex<()> = Mutex::new(());
    if std::env::var_os(CHILD).is_some() {
        install_hook();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .build()
            .unwrap();
        let panics = async {
            let _state = STATE.lock();
            let _begun = LockingDrop(&STATE);
            panic!("for the test");
        };
        let _ = runtime.block_on(async { spawn_vital("test", panics).await });
        return;
    }
    let test = "panics::panic_in_a_task_of_the_host_ends_the_process";
    let mut child = Command::new(std::env::current_exe().unwrap());
    let output = child.args(["--exact", test]).env(CHILD, "1").output();
    assert_eq!(output.unwrap().status.code(), Some(PANIC_EXIT_CODE));
}

/// Guards against a listing on which the decoder panics, at each start of each host, and that ends the task which follows the listings.
#[tokio::test(start_paused = true)]
async fn listing_that_makes_the_decoder_panic_is_left_out() {
    let fleet = TestFleet::new(0);
    fleet.log.put("endpoints", "odd", "panic");
    let host = fleet.start("a").await;
    fleet.log.put("endpoints", "odd", "panic");
    sleep(Duration::from_secs(1)).await;
    fleet.log.put("endpoints", "e0", "ready");
    wait_until("the endpoint", async || host.endpoint_count() == 1).await;
}

/// Guards against an item that no host runs again, since its host has it among its runs after one has panicked.
#[tokio::test(start_paused = true)]
async fn item_whose_run_panics_is_run_again() {
    let fleet = TestFleet::new(2);
    let host = fleet.start("a").await;
    fleet.client.script(&[CallScript::Panic]);
    host.submit_job(submission("j", 1)).await;
    wait_until("the item", async || {
        results(&host, "j").await.results.len() == 1
    })
    .await;
    assert!(results(&host, "j").await.results[0].text.is_some());
}
