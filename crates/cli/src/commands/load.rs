//! The `load` subcommand: an open-loop load test with online requests, optionally beside a batch job.

use super::job::bar_progress_style;
use super::{CommandClients, print_json, unix_time_ms};
use crate::error::CommandError;
use crate::options::LoadOptions;
use fulmarswitch_caller::client::{CallerClient, CallerError, TimedAnswer};
use fulmarswitch_caller::wire::{JobCall, OutcomeReply, RequestCall};
use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Maximum duration of a load test, in seconds.
const MAX_LOAD_S: u64 = 3_600;
/// Maximum arrival rate, in requests per second.
const MAX_RATE_PER_S: f64 = 20_000.0;
/// Upper bound of the latency histograms, in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Precision of the latency histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Reported percentiles, in the order of the fields of [`LatencySummary`].
const PERCENTILES: [f64; 4] = [50.0, 95.0, 99.0, 100.0];

/// Results of a load test, printed as JSON with `--json`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Seed of the arrival times, also part of the inputs.
    pub seed: u64,
    /// Requests whose arrival time came, whether or not they were sent.
    pub due: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests answered within the limits for the first token and for the complete answer.
    pub in_time: u64,
    /// Requests that a host refused.
    pub refused: u64,
    /// Requests with any other outcome, or without a response.
    pub other: u64,
    /// Requests not sent because `--in-progress` requests were in flight.
    pub not_sent: u64,
    /// Latency from the due time to the first token.
    pub first_token: LatencySummary,
    /// Intervals between consecutive tokens.
    pub between_tokens: LatencySummary,
    /// Latency from the due time to the complete answer.
    pub whole: LatencySummary,
    /// Batch items completed by the end of the load test.
    pub batch_done: u64,
    /// Throughput of the batch job, in items per second.
    pub batch_items_per_second: f64,
}

/// Percentiles of one latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencySummary {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Runs the load test and prints its report.
///
/// # Errors
/// [`CommandError`] when the options are out of range or a call for the batch job fails.
pub async fn run(clients: &CommandClients, options: LoadOptions) -> Result<(), CommandError> {
    validate(&options)?;
    let name: Arc<str> = format!("load-{}-{}", options.seed, unix_time_ms()).into();
    let job = submit_batch_job(&clients.caller, &options, &name).await?;
    let started = Instant::now();
    let mut report = run_online_load(&clients.caller, &options, &name).await;
    if let Some(job) = job {
        let counts = clients.caller.job(&job.workspace, &job.job).await?;
        report.batch_done = counts.done.into();
        report.batch_items_per_second = f64::from(counts.done) / started.elapsed().as_secs_f64();
        if counts.open > 0 {
            clients.caller.cancel(&job.workspace, &job.job).await?;
        }
    }
    if options.json {
        print_json(&report);
    } else {
        print_report(&report);
    }
    Ok(())
}

fn validate(options: &LoadOptions) -> Result<(), CommandError> {
    let invalid = |reason: String| {
        Err(CommandError::BadInput {
            reason: reason.into(),
        })
    };
    if !(options.rate > 0.0 && options.rate <= MAX_RATE_PER_S) {
        return invalid(format!(
            "--rate must be greater than 0 and at most {MAX_RATE_PER_S}"
        ));
    }
    if options.seconds == 0 || options.seconds > MAX_LOAD_S {
        return invalid(format!("--seconds must be 1 to {MAX_LOAD_S}"));
    }
    Ok(())
}

async fn submit_batch_job(
    caller: &CallerClient,
    options: &LoadOptions,
    name: &str,
) -> Result<Option<JobCall>, CommandError> {
    if options.batch_items == 0 {
        return Ok(None);
    }
    let call = JobCall {
        job: name.into(),
        workspace: options.workspace.as_str().into(),
        service: options.service.as_str().into(),
        due_ms: unix_time_ms() + MAX_LOAD_S * 1_000,
        max_tokens: options.batch_tokens,
        idempotent: true,
    };
    let seed = options.seed;
    let items = (0..options.batch_items).map(move |item| format!("batch {seed} {item}").into());
    caller.submit(&call, futures::stream::iter(items)).await?;
    Ok(Some(call))
}

/// Sends each request at its arrival time, whether or not earlier ones have been answered (open loop).
async fn run_online_load(caller: &CallerClient, options: &LoadOptions, name: &str) -> LoadReport {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut recorder = LoadRecorder::new(options);
    let mut requests: JoinSet<(Duration, Result<TimedAnswer, CallerError>)> = JoinSet::new();
    let progress = ProgressBar::new(options.seconds);
    progress.set_style(bar_progress_style());
    let started = Instant::now();
    let mut due = Duration::ZERO;
    loop {
        // Poisson arrivals: inter-arrival times are exponentially distributed.
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / options.rate);
        if due >= Duration::from_secs(options.seconds) {
            break;
        }
        tokio::time::sleep_until(started + due).await;
        progress.set_position(due.as_secs());
        while let Some(Ok((whole, answer))) = requests.try_join_next() {
            recorder.record_answer(whole, answer);
        }
        recorder.report.due += 1;
        if requests.len() >= options.in_progress {
            recorder.report.not_sent += 1;
            continue;
        }
        let call = online_call(options, name, recorder.report.due);
        let caller = caller.clone();
        let due_at = started + due;
        requests.spawn(async move {
            let send_delay = due_at.elapsed();
            let mut answer = caller.request(&call).await;
            // Latencies count from the due time, so that a delay of the load generator itself is included.
            if let Ok(answer) = &mut answer {
                answer
                    .part_times
                    .iter_mut()
                    .for_each(|part| *part += send_delay);
            }
            (due_at.elapsed(), answer)
        });
    }
    progress.set_message("waiting for outstanding requests");
    while let Some(Ok((whole, answer))) = requests.join_next().await {
        recorder.record_answer(whole, answer);
    }
    progress.finish_and_clear();
    recorder.finish()
}

fn online_call(options: &LoadOptions, name: &str, number: u64) -> RequestCall {
    RequestCall {
        key: format!("{name}-{number}").into(),
        workspace: options.workspace.as_str().into(),
        service: options.service.as_str().into(),
        input: format!("online {} {number}", options.seed).into(),
        max_tokens: options.tokens,
        deadline_ms: options.deadline_ms,
        idempotent: true,
    }
}

/// Accumulates outcomes and latencies during a load test.
struct LoadRecorder {
    report: LoadReport,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole: Histogram<u64>,
    first_token_limit: Duration,
    answer_limit: Duration,
}

impl LoadRecorder {
    fn new(options: &LoadOptions) -> Self {
        let report = LoadReport {
            seed: options.seed,
            ..LoadReport::default()
        };
        Self {
            report,
            first_token: empty_histogram(),
            between_tokens: empty_histogram(),
            whole: empty_histogram(),
            first_token_limit: Duration::from_millis(options.first_token_ms),
            answer_limit: Duration::from_millis(options.deadline_ms),
        }
    }

    fn record_answer(&mut self, whole: Duration, answer: Result<TimedAnswer, CallerError>) {
        let answer = match answer {
            Ok(answer) if matches!(answer.outcome, OutcomeReply::Done { .. }) => answer,
            Err(CallerError::Refused { .. }) => return self.report.refused += 1,
            Ok(_) | Err(CallerError::NoAnswer { .. }) => return self.report.other += 1,
        };
        self.report.answered += 1;
        record(&mut self.whole, whole);
        let first = answer.part_times.first().copied().unwrap_or(whole);
        record(&mut self.first_token, first);
        for pair in answer.part_times.windows(2) {
            record(&mut self.between_tokens, pair[1].saturating_sub(pair[0]));
        }
        let in_time = first <= self.first_token_limit && whole <= self.answer_limit;
        self.report.in_time += u64::from(in_time);
    }

    fn finish(mut self) -> LoadReport {
        self.report.first_token = summary(&self.first_token);
        self.report.between_tokens = summary(&self.between_tokens);
        self.report.whole = summary(&self.whole);
        self.report
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds of the histogram are valid")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    if histogram.is_empty() {
        return LatencySummary::default();
    }
    let [p50_ms, p95_ms, p99_ms, max_ms] = PERCENTILES.map(|percentile| {
        let micros = histogram.value_at_percentile(percentile);
        Duration::from_micros(micros).as_secs_f64() * 1_000.0
    });
    LatencySummary {
        p50_ms,
        p95_ms,
        p99_ms,
        max_ms,
    }
}

fn print_report(report: &LoadReport) {
    println!(
        "online: due={} answered={} in-time={} refused={} other={} not-sent={}",
        report.due, report.answered, report.in_time, report.refused, report.other, report.not_sent
    );
    let rows = [
        ("first token", &report.first_token),
        ("between tokens", &report.between_tokens),
        ("whole answer", &report.whole),
    ];
    println!(
        "{:<16} {:>9} {:>9} {:>9} {:>9}",
        "ms", "p50", "p95", "p99", "max"
    );
    for (name, latency) in rows {
        println!(
            "{name:<16} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
            latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.max_ms
        );
    }
    println!(
        "batch: done={} items/s={:.1}",
        report.batch_done, report.batch_items_per_second
    );
}
