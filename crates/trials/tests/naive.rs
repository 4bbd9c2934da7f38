//! Callers of the real system must observe the same as callers of the reference model.

use fulmarswitch_caller::wire::{JobReply, OutcomeReply, RanReply, ResultPage};
use fulmarswitch_http::full_body;
use fulmarswitch_records::OnlineRequest;
use fulmarswitch_trials::callers::{job_body, make_job, make_request, read_job, submit_request};
use fulmarswitch_trials::fleet::{TrialFleet, TrialHost, WORKSPACE};
use fulmarswitch_trials::history::{AttemptResult, ObservedJob};
use fulmarswitch_trials::reference::{CallerView, ReferenceService};
use fulmarswitch_trials::run::start_fleet;
use hyper::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Number of calls in each test.
const CALLS: usize = 60;

/// Keys and job ids are few, so that calls collide: resends, different inputs under a known name, and reads
/// before and after a submission.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
#[tokio::test(start_paused = true)]
async fn callers_see_the_same(#[case] seed: u64) {
    let fleet = start_fleet(seed, 3).await;
    let mut reference = ReferenceService::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    for call in 0..CALLS {
        let host = fleet.host(rng.random_range(0..3)).expect("all hosts run");
        let (seen, expected) = match rng.random_range(0..4) {
            0 => {
                let request = draw_request(&mut rng);
                (submit(&host, &request).await, reference.submit(&request))
            }
            1 => {
                let key = format!("key-{}", rng.random_range(0..8));
                (read(&host, &key).await, reference.read(&key))
            }
            2 => {
                let job = draw_job(&mut rng);
                let expected = reference.submit_job(&job.name, &job.inputs, job.max_tokens);
                (submit_job(&host, &job).await, expected)
            }
            _ => {
                let name = format!("job-{}", rng.random_range(0..4));
                let seen = read_results(&fleet, &host, &name).await;
                (seen, reference.read_results(&name))
            }
        };
        assert_eq!(seen, expected, "call {call}");
    }
    fleet.network.close();
}

fn draw_request(rng: &mut SmallRng) -> OnlineRequest {
    let key = format!("key-{}", rng.random_range(0..8));
    let mut request = make_request(&key, rng.random_range(1..3), rng.random_bool(0.5));
    request.input = format!("input {} of {key}", rng.random_range(0..2)).into();
    request
}

fn draw_job(rng: &mut SmallRng) -> ObservedJob {
    let name = format!("job-{}", rng.random_range(0..4));
    make_job(&name, rng.random_range(3..5), rng.random_range(4..6), true)
}

async fn submit(host: &TrialHost, request: &OnlineRequest) -> CallerView {
    match submit_request(host, request).await {
        AttemptResult::Done { outcome, .. } => CallerView::Outcome(outcome),
        AttemptResult::Refused {
            ran: RanReply::NotRun,
        } => CallerView::Conflict,
        attempt => panic!("{}: {attempt:?}", request.key),
    }
}

async fn read(host: &TrialHost, key: &str) -> CallerView {
    let path = format!("/v1/requests/{WORKSPACE}/{key}");
    let reply = host.http.get(&path).await.expect("the host answers");
    if reply.status == StatusCode::NOT_FOUND {
        return CallerView::Unknown;
    }
    CallerView::Outcome(reply.read().expect("the answer is an outcome"))
}

async fn submit_job(host: &TrialHost, job: &ObservedJob) -> CallerView {
    let body = full_body(job_body(job));
    let call = host.http.call(Method::POST, "/v1/jobs", body);
    let reply = call.await.expect("the host answers");
    if reply.status == StatusCode::CONFLICT {
        return CallerView::Conflict;
    }
    let report: JobReply = reply.read().expect("the answer is a job");
    CallerView::Job {
        total: report.total,
        is_cancelled: report.is_cancelled,
    }
}

async fn read_results(fleet: &Arc<TrialFleet>, host: &TrialHost, name: &str) -> CallerView {
    while read_job(host, name)
        .await
        .is_some_and(|report| report.open > 0)
    {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let reader = fleet.host(0).expect("all hosts run");
    let path = format!("/v1/jobs/{WORKSPACE}/{name}/results");
    let reply = reader.http.get(&path).await.expect("the host answers");
    if reply.status == StatusCode::NOT_FOUND {
        return CallerView::Unknown;
    }
    let page: ResultPage = reply.read().expect("the answer is a page");
    let results: Vec<OutcomeReply> = page.results.into_iter().map(|line| line.outcome).collect();
    CallerView::Results(results)
}
