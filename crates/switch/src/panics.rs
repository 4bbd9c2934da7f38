//! What becomes of a panic, so that no host goes on as ready without one of its tasks.
//!
//! Steps that read data from outside run contained: a panic there is logged and counted, and the data is left out, so that a record which
//! makes every host panic stops none. A panic elsewhere in a task that lives as long as the process ends the process at once, since the
//! state may be half changed and locks may be held; the platform starts it again. One in the task of a single request ends that task.

use crate::metrics::SwitchMetrics;
use slog::{Logger, error};
use std::cell::Cell;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use tokio::task::JoinHandle;

/// Exit code of a process that ends since a task of its own has panicked.
pub const PANIC_EXIT_CODE: i32 = 70;

tokio::task_local! {
    /// Name of the task, if it lives as long as the process.
    static VITAL_TASK: &'static str;
}

thread_local! {
    /// Number of contained steps that run.
    static CONTAINED: Cell<u32> = const { Cell::new(0) };
}

/// Lets a panic in a vital task end the process with [`PANIC_EXIT_CODE`]. To be called once, before any task is spawned.
pub fn install_hook() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        let is_contained = CONTAINED.with(Cell::get) > 0;
        if let Ok(task) = VITAL_TASK.try_with(|task| *task)
            && !is_contained
        {
            // The logger's own thread may not write any more.
            eprintln!("fulmarswitch: the task `{task}` has panicked; the process ends");
            std::process::exit(PANIC_EXIT_CODE);
        }
    }));
}

/// Runs a future whose panic ends the process, once [`install_hook`] has been called.
pub fn vital<F: Future>(name: &'static str, future: F) -> impl Future<Output = F::Output> {
    VITAL_TASK.scope(name, future)
}

/// Spawns a task that lives as long as the process.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use fulmarswitch_switch::panics::spawn_vital;
/// assert_eq!(spawn_vital("sum", async { 1 + 2 }).await.unwrap(), 3);
/// # });
/// ```
pub fn spawn_vital<F>(name: &'static str, future: F) -> JoinHandle<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    tokio::spawn(vital(name, future))
}

/// Runs a step that reads data from outside and changes nothing but what it returns. Returns `None` if it panics.
pub(crate) fn contain<T>(
    logger: &Logger,
    metrics: &SwitchMetrics,
    step: &'static str,
    run: impl FnOnce() -> T,
) -> Option<T> {
    CONTAINED.with(|count| count.set(count.get() + 1));
    let result = catch_unwind(AssertUnwindSafe(run));
    CONTAINED.with(|count| count.set(count.get() - 1));
    if result.is_err() {
        metrics.count_contained_panic();
        error!(logger, "panic contained"; "step" => step, "cause" => "the data is left out");
    }
    result.ok()
}
