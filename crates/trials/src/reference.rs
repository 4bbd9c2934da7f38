//! Reference model: the same service as one process with one sorted map, without failures.
//!
//! Callers of the real system must observe the same as callers of the model.

use fulmarswitch_caller::wire::OutcomeReply;
use fulmarswitch_records::{OnlineRequest, SortedIndex};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::plain::plain_answer;
use std::sync::Arc;

/// What a caller observes of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerView {
    /// The outcome of a request.
    Outcome(OutcomeReply),
    /// The key or job id is in use for different content.
    Conflict,
    /// The key or job id is not known.
    Unknown,
    /// The job is accepted, now or by an earlier submission.
    Job {
        /// Number of items.
        total: u32,
        /// Whether the job is cancelled.
        is_cancelled: bool,
    },
    /// All results of a job, by item index.
    Results(Vec<OutcomeReply>),
}

/// A job of the reference service.
#[derive(Clone, Debug)]
struct ReferenceJob {
    inputs: Vec<Arc<str>>,
    max_tokens: u32,
}

/// The reference model of the service.
#[derive(Clone, Debug, Default)]
pub struct ReferenceService {
    requests: SortedIndex<Arc<str>, OnlineRequest>,
    jobs: SortedIndex<Arc<str>, ReferenceJob>,
}

impl ReferenceService {
    /// Creates a service without requests and jobs.
    ///
    /// ```
    /// use fulmarswitch_trials::reference::{CallerView, ReferenceService};
    /// assert_eq!(ReferenceService::new().read("k"), CallerView::Unknown);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Submits a request and returns its outcome.
    pub fn submit(&mut self, request: &OnlineRequest) -> CallerView {
        if let Some(known) = self.requests.get(&*request.key) {
            if known.digest() != request.digest() {
                return CallerView::Conflict;
            }
        } else {
            self.requests
                .insert(Arc::clone(&request.key), request.clone());
        }
        answer(request)
    }

    /// Reads the outcome of a key.
    #[must_use]
    pub fn read(&self, key: &str) -> CallerView {
        self.requests.get(key).map_or(CallerView::Unknown, answer)
    }

    /// Submits a job.
    pub fn submit_job(
        &mut self,
        name: &Arc<str>,
        inputs: &[Arc<str>],
        max_tokens: u32,
    ) -> CallerView {
        if let Some(known) = self.jobs.get(&**name) {
            if known.inputs != inputs || known.max_tokens != max_tokens {
                return CallerView::Conflict;
            }
        } else {
            let job = ReferenceJob {
                inputs: inputs.to_vec(),
                max_tokens,
            };
            self.jobs.insert(Arc::clone(name), job);
        }
        CallerView::Job {
            total: u32::try_from(inputs.len()).unwrap_or(u32::MAX),
            is_cancelled: false,
        }
    }

    /// Reads all results of a job.
    #[must_use]
    pub fn read_results(&self, name: &str) -> CallerView {
        let Some(job) = self.jobs.get(name) else {
            return CallerView::Unknown;
        };
        let answers = job.inputs.iter().map(|input| OutcomeReply::Done {
            text: whole_answer(input, job.max_tokens).into(),
        });
        CallerView::Results(answers.collect())
    }
}

fn answer(request: &OnlineRequest) -> CallerView {
    let text = if request.idempotent {
        whole_answer(&request.input, request.max_tokens)
    } else {
        plain_answer(&request.input)
    };
    CallerView::Outcome(OutcomeReply::Done { text: text.into() })
}
