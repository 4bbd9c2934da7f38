//! The end of a host's runtime while the host is at work.

use crate::support::{CallScript, TestFleet, submission};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::time::sleep;

/// Number of runtimes that end at different moments.
const RUNTIMES: u32 = 48;
/// Time in which all of them must have ended.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Lets a runtime end while a host starts items one after the other.
fn end_runtime(number: u32) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let fleet = TestFleet::new(24);
        fleet.client.set_default(CallScript::Status(422));
        let node = fleet.spawn("a").await;
        sleep(Duration::from_millis(1500)).await;
        for job in 0..4 {
            let mut submission = submission(&format!("j{job}"), 200);
            for item in &mut submission.items {
                item.tokens = 0;
            }
            node.submit_job(submission).await;
        }
        sleep(Duration::from_millis(10) + Duration::from_micros(1900) * number).await;
    });
}

/// Guards against a process that never ends: a runtime that shuts down drops an item run as it is spawned, and the run then
/// waited for the lock that the scheduler held.
#[test]
fn runtime_ends_while_items_start() {
    let (ended, endings) = mpsc::channel();
    for number in 0..RUNTIMES {
        let ended = ended.clone();
        thread::spawn(move || {
            end_runtime(number);
            ended.send(number).unwrap();
        });
    }
    for _ in 0..RUNTIMES {
        let ending = endings.recv_timeout(TIME_LIMIT);
        assert!(ending.is_ok(), "a runtime has not ended in {TIME_LIMIT:?}");
    }
}
