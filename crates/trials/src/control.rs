//! Runs, pauses or kills one host.
//!
//! Every client, connection and stream of a host waits for its [`HostControl`] before it acts. Tasks of a
//! killed host may stay in the runtime, but have no effect outside the host.

use futures::StreamExt;
use futures::stream::BoxStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// Execution state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostMode {
    /// The host runs normally.
    Running,
    /// The host does nothing until it is set to run again.
    Paused,
    /// The host has ended; this state is final.
    Killed,
}

/// Controls one run of a host; clones share their state.
#[derive(Clone, Debug)]
pub struct HostControl {
    mode: watch::Sender<HostMode>,
    log_cut: Arc<AtomicBool>,
}

impl Default for HostControl {
    fn default() -> Self {
        Self::new()
    }
}

impl HostControl {
    /// Creates the control of a running host.
    ///
    /// ```
    /// use fulmarswitch_trials::control::{HostMode, HostControl};
    /// assert_eq!(HostControl::new().mode(), HostMode::Running);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            mode: watch::Sender::new(HostMode::Running),
            log_cut: Arc::default(),
        }
    }

    /// Returns the current execution state.
    #[must_use]
    pub fn mode(&self) -> HostMode {
        *self.mode.borrow()
    }

    /// Changes the execution state; a killed host stays killed.
    pub fn set(&self, mode: HostMode) {
        self.mode.send_if_modified(|current| {
            let changes = *current != HostMode::Killed && *current != mode;
            if changes {
                *current = mode;
            }
            changes
        });
    }

    /// Disconnects this host alone from the log, or reconnects it.
    pub fn set_log_cut(&self, cut: bool) {
        self.log_cut.store(cut, Ordering::Relaxed);
    }

    /// Returns whether this host is disconnected from the log.
    #[must_use]
    pub fn is_log_cut(&self) -> bool {
        self.log_cut.load(Ordering::Relaxed)
    }

    /// Waits until the host runs; never returns for a killed host.
    pub async fn wait_running(&self) {
        self.wait(HostMode::Running).await;
    }

    /// Waits until the host is killed.
    pub async fn wait_killed(&self) {
        self.wait(HostMode::Killed).await;
    }

    async fn wait(&self, wanted: HostMode) {
        let mut mode = self.mode.subscribe();
        // `self` holds the sender, so the wait cannot fail.
        let _ = mode.wait_for(|mode| *mode == wanted).await;
    }
}

/// Forwards a stream to a host: it stalls while the host is paused and is dropped once the host is killed.
#[must_use]
pub fn relay_stream<T: Send + 'static>(
    mut stream: BoxStream<'static, T>,
    control: HostControl,
) -> BoxStream<'static, T> {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let item = tokio::select! {
                biased;
                () = control.wait_killed() => return,
                () = sender.closed() => return,
                item = stream.next() => item,
            };
            let Some(item) = item else { return };
            tokio::select! {
                biased;
                () = control.wait_killed() => return,
                () = control.wait_running() => {}
            }
            if sender.send(item).is_err() {
                return;
            }
        }
    });
    UnboundedReceiverStream::new(receiver).boxed()
}
