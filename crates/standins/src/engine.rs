//! Stand-in for a model engine with continuous batching and without priorities.
//!
//! A step generates one token for every stream in the batch. Its duration grows with the number of streams
//! and with the prompt tokens of the streams that join the batch. Streams that do not fit in the batch wait
//! in order of arrival. A prompt whose prefix is cached takes no time to prefill.

use fulmarswitch_endpoint::{
    AnswerPart, AnswerStream, EndpointCall, EndpointError, EndpointOrder, EndpointReport,
    OrderAction,
};
use fulmarswitch_records::SortedIndex;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::UnboundedReceiverStream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum length of the prompt prefix that is the key of the cache, in bytes.
const PREFIX_BYTES: usize = 64;

/// Speed, limits and injected faults, which can be changed while the engine runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Fixed part of the duration of a step, in microseconds.
    pub step_us: u64,
    /// Additional duration of a step for each stream in the batch, in microseconds.
    pub stream_us: u64,
    /// Time to prefill one prompt token, in microseconds.
    pub prompt_us: u64,
    /// Maximum number of streams in the batch.
    pub batch_limit: usize,
    /// Maximum number of prefixes in the cache.
    pub cache_limit: usize,
    /// Factor by which the duration of every step is multiplied.
    pub slow_factor: f64,
    /// Whether new calls are refused.
    pub refuse: bool,
    /// Whether the engine is down: open calls are interrupted, and new calls and reports fail as not sent.
    pub lost: bool,
    /// Number of steps by which the load in a report lags behind.
    pub report_lag: u32,
    /// Whether an order with a lower fencing token than the highest seen is refused.
    pub checks_fencing: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            step_us: 6_000,
            stream_us: 250,
            prompt_us: 60,
            batch_limit: 64,
            cache_limit: 64,
            slow_factor: 1.0,
            refuse: false,
            lost: false,
            report_lag: 20,
            checks_fencing: true,
        }
    }
}

struct EngineStream {
    prompt: Arc<str>,
    generated: u32,
    max_tokens: u32,
    prefill_tokens: u64,
    output: mpsc::UnboundedSender<Result<AnswerPart, EndpointError>>,
}

struct EngineState {
    faults: EngineFaults,
    batch: Vec<EngineStream>,
    waiting: VecDeque<EngineStream>,
    cache: VecDeque<Arc<str>>,
    models: SortedIndex<Arc<str>, ()>,
    fencing: u64,
    load_history: VecDeque<u32>,
    tokens: u64,
}

/// A model engine in memory. Streams make progress only while [`MemoryEngine::run`] is polled.
pub struct MemoryEngine {
    state: Mutex<EngineState>,
    work_added: Notify,
}

impl MemoryEngine {
    /// Creates an engine with the given loaded models.
    #[must_use]
    pub fn new(faults: EngineFaults, models: &[&str]) -> Arc<Self> {
        let mut loaded = SortedIndex::new();
        for model in models {
            loaded.insert(Arc::from(*model), ());
        }
        let state = EngineState {
            faults,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            models: loaded,
            fencing: 0,
            load_history: VecDeque::new(),
            tokens: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            work_added: Notify::new(),
        })
    }

    /// Runs steps while there are streams, and never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            if self.lock().is_idle() {
                self.work_added.notified().await;
                continue;
            }
            let step = self.lock().begin_step();
            tokio::time::sleep(step).await;
            self.lock().end_step();
        }
    }

    /// Starts a stream; dropping it cancels the call.
    ///
    /// # Errors
    /// [`EndpointError::Refused`] when the engine refuses calls or has not loaded the model, and
    /// [`EndpointError::NotSent`] when it is down.
    pub fn start(&self, call: &EndpointCall) -> Result<AnswerStream, EndpointError> {
        let mut state = self.lock();
        if state.faults.lost {
            return Err(EndpointError::NotSent {
                cause: "the engine is down".into(),
            });
        }
        if state.faults.refuse {
            return Err(refused("the engine refuses calls"));
        }
        if !call.model.is_empty() && !state.models.contains(&*call.model) {
            return Err(refused("the model is not loaded"));
        }
        let (output, parts) = mpsc::unbounded_channel();
        let prefill_tokens = call.input.len() / BYTES_PER_TOKEN + call.prior_tokens as usize;
        state.waiting.push_back(EngineStream {
            prompt: Arc::clone(&call.input),
            generated: call.prior_tokens,
            max_tokens: call.max_tokens,
            prefill_tokens: prefill_tokens as u64,
            output,
        });
        drop(state);
        self.work_added.notify_one();
        Ok(UnboundedReceiverStream::new(parts).boxed())
    }

    /// Returns the loaded models, the highest fencing token seen, and the load as of
    /// [`EngineFaults::report_lag`] steps ago.
    ///
    /// # Errors
    /// [`EndpointError::NotSent`] when the engine is down.
    pub fn report(&self) -> Result<EndpointReport, EndpointError> {
        let state = self.lock();
        if state.faults.lost {
            return Err(EndpointError::NotSent {
                cause: "the engine is down".into(),
            });
        }
        Ok(EndpointReport {
            models: state
                .models
                .iter()
                .map(|(model, ())| Arc::clone(model))
                .collect(),
            held: state.load_history.front().copied().unwrap_or(0),
            fencing: state.fencing,
        })
    }

    /// Loads or unloads a model at once.
    ///
    /// # Errors
    /// [`EndpointError::Refused`] when the engine checks fencing tokens and has seen a higher one.
    pub fn order(&self, order: &EndpointOrder) -> Result<(), EndpointError> {
        let mut state = self.lock();
        if state.faults.checks_fencing && order.fencing < state.fencing {
            return Err(refused("the fencing token is older than one already seen"));
        }
        state.fencing = state.fencing.max(order.fencing);
        match &order.action {
            OrderAction::Load { model } => state.models.insert(Arc::clone(model), ()),
            OrderAction::Unload { model } => state.models.remove(&**model),
        };
        Ok(())
    }

    /// Changes speed, limits and faults. Setting [`EngineFaults::lost`] fails all open calls.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = self.lock();
        change(&mut state.faults);
        if state.faults.lost {
            state.fail_all();
        }
    }

    /// Returns the number of tokens generated since the engine was created.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.lock().tokens
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineState {
    fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Removes cancelled streams, fills the batch and returns the duration of the step.
    fn begin_step(&mut self) -> Duration {
        self.batch.retain(|stream| !stream.output.is_closed());
        self.waiting.retain(|stream| !stream.output.is_closed());
        let mut micros = self.faults.step_us;
        while self.batch.len() < self.faults.batch_limit {
            let Some(stream) = self.waiting.pop_front() else {
                break;
            };
            if !self.touch_cache(&stream.prompt) {
                micros += stream.prefill_tokens * self.faults.prompt_us;
            }
            self.batch.push(stream);
        }
        micros += self.batch.len() as u64 * self.faults.stream_us;
        let held = u32::try_from(self.batch.len() + self.waiting.len()).unwrap_or(u32::MAX);
        self.load_history.push_back(held);
        while self.load_history.len() > self.faults.report_lag as usize + 1 {
            self.load_history.pop_front();
        }
        Duration::from_micros(micros).mul_f64(self.faults.slow_factor)
    }

    fn end_step(&mut self) {
        let mut generated = 0;
        self.batch.retain_mut(|stream| {
            if stream.generated < stream.max_tokens {
                let text = token_text(&stream.prompt, stream.generated).into();
                // The output of a cancelled stream is closed; the next step removes the stream.
                let _ = stream.output.send(Ok(AnswerPart::Text(text)));
                stream.generated += 1;
                generated += 1;
            }
            let unfinished = stream.generated < stream.max_tokens;
            if !unfinished {
                let _ = stream.output.send(Ok(AnswerPart::End));
            }
            unfinished
        });
        self.tokens += generated;
    }

    /// Marks the prefix of a prompt as the most recently used and returns whether it was cached.
    fn touch_cache(&mut self, prompt: &str) -> bool {
        let end = (0..=PREFIX_BYTES.min(prompt.len()))
            .rev()
            .find(|end| prompt.is_char_boundary(*end));
        let prefix = &prompt[..end.unwrap_or(0)];
        let cached_at = self.cache.iter().position(|cached| **cached == *prefix);
        if let Some(index) = cached_at {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix.into());
        while self.cache.len() > self.faults.cache_limit {
            self.cache.pop_front();
        }
        cached_at.is_some()
    }

    fn fail_all(&mut self) {
        let error = EndpointError::Broken {
            cause: "the engine is down".into(),
        };
        for stream in self.batch.drain(..).chain(self.waiting.drain(..)) {
            // A closed output belongs to a cancelled stream, which needs no error.
            let _ = stream.output.send(Err(error.clone()));
        }
    }
}

/// Returns the text of one token of the answer to a prompt. It depends only on the arguments, so an answer
/// can be continued on another engine and checked by the caller.
///
/// ```
/// use fulmarswitch_standins::engine::token_text;
/// assert_eq!(token_text("p", 3), token_text("p", 3));
/// ```
#[must_use]
pub fn token_text(prompt: &str, index: u32) -> String {
    format!(
        "{:04x} ",
        xxh3_64_with_seed(prompt.as_bytes(), u64::from(index)) & 0xffff
    )
}

/// Returns the answer to a prompt with the given number of tokens.
#[must_use]
pub fn whole_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

fn refused(cause: &str) -> EndpointError {
    EndpointError::Refused {
        cause: cause.into(),
        retry_after: Duration::from_millis(200),
    }
}
