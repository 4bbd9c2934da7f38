//! Calls beyond a limit are refused as not run with a retry delay; calls within it are answered.

use crate::support::{TestFleet, plain_call, runs_of, start_single};
use fulmarswitch_caller::wire::{ErrorKind, ErrorReply, RanReply};
use fulmarswitch_http::{HttpClient, HttpReply};
use fulmarswitch_standins::plain::PlainFaults;
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Number of calls sent concurrently.
const CALLS: usize = 16;

#[rstest]
#[case::of_the_host("[tuning]\nmax_calls = 4", 100, 4, "too many calls")]
#[case::of_the_workspace("", 5, 5, "max_online")]
#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_limit_are_refused(
    #[case] settings: &str,
    #[case] max_online: u32,
    #[case] expected: usize,
    #[case] remedy: &str,
) {
    let TestFleet { mut fleet, .. } = start_single(settings).await;
    fleet
        .add_plain_service("plain-1")
        .expect("the service starts");
    let limits = json!({ "max_online": max_online });
    let published = fleet.publish("workspace/workshop", 1, limits).await;
    published.expect("the workspace is new");
    let published = fleet.publish_service("records", "plain", "", &["plain-1"]);
    published.await.expect("the service is new");
    let slow = PlainFaults {
        call_ms: 2_000,
        ..PlainFaults::default()
    };
    let address = Arc::clone(&fleet.endpoint("plain-1").address);
    let set = fleet.control(&address, &slow).await;
    set.expect("the service accepts the control call");

    let url = format!("http://{}/v1/requests", fleet.host("a").address);
    let http = HttpClient::new();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| plain_call(&format!("flood-{number}")))
        .collect();
    let sending = calls.iter().map(|call| http.post_json(&url, call));
    let replies = futures::future::join_all(sending).await;
    let mut answered = 0;
    for (call, reply) in calls.iter().zip(replies) {
        let reply = reply.expect("every call gets a response");
        let runs = runs_of(&fleet, &call.input).await;
        if reply.status == StatusCode::OK {
            answered += 1;
            assert_eq!(runs, 1);
            continue;
        }
        assert_refused(&reply, remedy);
        assert_eq!(runs, 0, "refused as not run");
    }
    assert_eq!(answered, expected);
    // Answered calls release their share of the limit.
    let again = http.post_json(&url, &plain_call("afterwards")).await;
    assert_eq!(again.expect("answered").status, StatusCode::OK);
    let status = format!("http://{}/v1/status", fleet.host("a").address);
    let status = http.call(Method::GET, &status, "".into()).await;
    assert_eq!(status.expect("answered").status, StatusCode::OK);
}

fn assert_refused(reply: &HttpReply, remedy: &str) {
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after >= Some(Duration::from_secs(1)));
    let error: ErrorReply = reply.json().expect("the body is an error reply");
    assert_eq!(error.kind, ErrorKind::Unavailable);
    assert_eq!(error.ran, RanReply::NotRun);
    assert!(error.error.contains(remedy), "{error:?}");
}
