//! Runs, freezes or kills one host.
//!
//! Everything that a host does to others goes through its borders, and every border waits here first. A
//! killed host's tasks may linger in the runtime, but nothing of them reaches anybody any more.

use futures::StreamExt;
use futures::stream::BoxStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// How a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostMode {
    /// As usual.
    Running,
    /// Nothing of it moves until it runs again.
    Paused,
    /// It is gone for good.
    Killed,
}

/// Switch of one run of a host; clones share it.
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
    /// Creates the switch of a host that runs.
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

    /// Returns how the host runs.
    #[must_use]
    pub fn mode(&self) -> HostMode {
        *self.mode.borrow()
    }

    /// Changes how the host runs; a killed host stays killed.
    pub fn set(&self, mode: HostMode) {
        self.mode.send_if_modified(|current| {
            let changes = *current != HostMode::Killed && *current != mode;
            if changes {
                *current = mode;
            }
            changes
        });
    }

    /// Cuts this host alone off from the log, or ends the cut.
    pub fn set_log_cut(&self, cut: bool) {
        self.log_cut.store(cut, Ordering::Relaxed);
    }

    /// Tells whether this host is cut off from the log.
    #[must_use]
    pub fn is_log_cut(&self) -> bool {
        self.log_cut.load(Ordering::Relaxed)
    }

    /// Returns once the host runs; never for a killed host.
    pub async fn wait_running(&self) {
        self.wait(HostMode::Running).await;
    }

    /// Returns once the host is killed.
    pub async fn wait_killed(&self) {
        self.wait(HostMode::Killed).await;
    }

    async fn wait(&self, wanted: HostMode) {
        let mut mode = self.mode.subscribe();
        // The sender lives as long as this switch, so the wait cannot fail.
        let _ = mode.wait_for(|mode| *mode == wanted).await;
    }
}

/// Passes a stream on to a host: it stalls while the host is frozen and is dropped once it is killed.
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
