//! Stand-in for a plain service whose calls are not idempotent: it counts how often each input ran, so that
//! a test can detect a call that ran twice.

use fulmarswitch_endpoint::{EndpointCall, EndpointError};
use fulmarswitch_records::SortedIndex;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Call duration and injected faults, which can be changed while the service runs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFaults {
    /// Duration of a call, in milliseconds.
    pub call_ms: u64,
    /// Number of next calls that run but whose answer is lost; each one decrements it.
    pub lose_answers: u32,
    /// Whether calls are refused.
    pub refuse: bool,
}

#[derive(Debug, Default)]
struct PlainState {
    faults: PlainFaults,
    runs: SortedIndex<Arc<str>, u32>,
}

/// A plain service in memory.
#[derive(Debug, Default)]
pub struct MemoryPlainService {
    state: Mutex<PlainState>,
}

impl MemoryPlainService {
    /// Creates a service that has run no calls.
    #[must_use]
    pub fn new(faults: PlainFaults) -> Arc<Self> {
        let state = PlainState {
            faults,
            runs: SortedIndex::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Runs a call and returns its answer.
    ///
    /// # Errors
    /// [`EndpointError::Refused`] when the service refuses calls, and [`EndpointError::Broken`] when the
    /// answer is lost after the call ran.
    pub async fn call(&self, call: &EndpointCall) -> Result<Arc<str>, EndpointError> {
        let (call_ms, answer_lost) = {
            let mut state = self.lock();
            if state.faults.refuse {
                let cause = "the service refuses calls".into();
                let retry_after = Duration::from_millis(200);
                return Err(EndpointError::Refused { cause, retry_after });
            }
            let runs = state.runs.get(&*call.input).copied().unwrap_or(0);
            state.runs.insert(Arc::clone(&call.input), runs + 1);
            let answer_lost = state.faults.lose_answers > 0;
            state.faults.lose_answers -= u32::from(answer_lost);
            (state.faults.call_ms, answer_lost)
        };
        tokio::time::sleep(Duration::from_millis(call_ms)).await;
        if answer_lost {
            return Err(EndpointError::Broken {
                cause: "the answer was lost".into(),
            });
        }
        Ok(plain_answer(&call.input).into())
    }

    /// Returns the number of runs of each input, in order of the inputs.
    #[must_use]
    pub fn runs(&self) -> Vec<(Arc<str>, u32)> {
        self.lock()
            .runs
            .iter()
            .map(|(input, runs)| (Arc::clone(input), *runs))
            .collect()
    }

    /// Changes the call duration and the faults; calls that already run are not affected.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut self.lock().faults);
    }

    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the answer of every plain service to an input.
#[must_use]
pub fn plain_answer(input: &str) -> String {
    format!("ok:{input}")
}
