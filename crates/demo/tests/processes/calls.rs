//! Every API call refuses invalid input with an error kind, a remedy and the statement that nothing ran.

use crate::support::{TestFleet, start_single};
use fulmarswitch_caller::wire::{ErrorKind, ErrorReply, RanReply};
use fulmarswitch_http::HttpClient;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

const GOOD: &str = r#"{"key":"k","workspace":"w","service":"s","input":"x"}"#;
const JOB: &str = r#"{"job":"j","workspace":"w","service":"s","due_ms":1}"#;

#[rstest]
#[case::unknown_path("GET", "/v1/none", "", 404, ErrorKind::NoSuchCall, "docs/API.md")]
#[case::wrong_method(
    "PATCH",
    "/v1/requests",
    GOOD,
    404,
    ErrorKind::NoSuchCall,
    "docs/API.md"
)]
#[case::not_json("POST", "/v1/requests", "{", 400, ErrorKind::BadInput, "docs/API.md")]
#[case::unknown_field(
    "POST",
    "/v1/requests",
    r#"{"key":"k","workspace":"w","service":"s","input":"x","deadline":1}"#,
    400,
    ErrorKind::BadInput,
    "unknown field `deadline`"
)]
#[case::empty_key(
    "POST",
    "/v1/requests",
    r#"{"key":"","workspace":"w","service":"s","input":"x"}"#,
    400,
    ErrorKind::BadInput,
    "key must be 1 to 200 letters"
)]
#[case::no_tokens(
    "POST",
    "/v1/requests",
    r#"{"key":"k","workspace":"w","service":"s","input":"x","max_tokens":0}"#,
    400,
    ErrorKind::BadInput,
    "ask for at least one token"
)]
#[case::deadline_too_long(
    "POST",
    "/v1/requests",
    r#"{"key":"k","workspace":"w","service":"s","input":"x","deadline_ms":900000}"#,
    400,
    ErrorKind::BadInput,
    "deadline_ms must be 1 to 600000"
)]
#[case::unknown_service(
    "POST",
    "/v1/requests",
    GOOD,
    400,
    ErrorKind::BadInput,
    "publish service/s"
)]
#[case::unknown_key(
    "GET",
    "/v1/requests/w/none",
    "",
    404,
    ErrorKind::NotFound,
    "check the workspace"
)]
#[case::empty_job("POST", "/v1/jobs", "", 400, ErrorKind::BadInput, "the body is empty")]
#[case::job_without_due(
    "POST",
    "/v1/jobs",
    r#"{"job":"j","workspace":"w","service":"s"}"#,
    400,
    ErrorKind::BadInput,
    "missing field `due_ms`"
)]
#[case::job_of_unknown_service(
    "POST",
    "/v1/jobs",
    JOB,
    400,
    ErrorKind::BadInput,
    "publish service/s"
)]
#[case::unknown_job(
    "GET",
    "/v1/jobs/w/none",
    "",
    404,
    ErrorKind::NotFound,
    "check the workspace"
)]
#[case::cancel_of_unknown_job(
    "DELETE",
    "/v1/jobs/w/none",
    "",
    404,
    ErrorKind::NotFound,
    "check the workspace"
)]
#[case::page_that_is_no_number(
    "GET",
    "/v1/jobs/w/none/results?first=x",
    "",
    400,
    ErrorKind::BadInput,
    "first=x is not a number"
)]
#[case::unknown_record(
    "GET",
    "/v1/config/service/none",
    "",
    404,
    ErrorKind::NotFound,
    "check the"
)]
#[case::unknown_kind_of_record(
    "PUT",
    "/v1/config/zone/x",
    r#"{"schema":1,"body":{}}"#,
    400,
    ErrorKind::BadInput,
    "use service/NAME"
)]
#[case::unknown_field_of_record(
    "PUT",
    "/v1/config/workspace/w",
    r#"{"schema":1,"body":{"max":1}}"#,
    400,
    ErrorKind::BadInput,
    "see docs/API.md"
)]
#[case::schema_too_new(
    "PUT",
    "/v1/config/workspace/w",
    r#"{"schema":9,"body":{}}"#,
    400,
    ErrorKind::BadInput,
    "write schema 1 to 2"
)]
#[case::newer_field_in_older_schema(
    "PUT",
    "/v1/config/service/s",
    r#"{"schema":1,"body":{"protocol":"plain","prefix_affinity":false}}"#,
    400,
    ErrorKind::BadInput,
    "needs schema 2"
)]
#[case::base_that_is_not_current(
    "PUT",
    "/v1/config/workspace/w",
    r#"{"base_version":3,"schema":1,"body":{}}"#,
    409,
    ErrorKind::Conflict,
    "read it and publish again"
)]
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] status: u16,
    #[case] kind: ErrorKind,
    #[case] remedy: &str,
) {
    let TestFleet { mut fleet, .. } = start_single("").await;
    let url = format!("http://{}{path}", fleet.host("a").address);
    let reply = HttpClient::new().call(method, &url, body.into()).await;
    let reply = reply.expect("the host answers");
    let error: ErrorReply = reply.json().expect("the body is an error reply");
    assert_eq!(reply.status.as_u16(), status, "{error:?}");
    assert_eq!(error.kind, kind, "{error:?}");
    assert_eq!(error.ran, RanReply::NotRun, "{error:?}");
    assert!(error.error.contains(remedy), "{error:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_invalid_item_refuses_the_job_which_can_then_be_resubmitted() {
    let TestFleet { mut fleet, .. } = start_single("").await;
    let published = fleet.publish("workspace/w", 1, json!({})).await;
    published.expect("the workspace is new");
    let published = fleet.publish("service/s", 1, json!({"protocol": "plain"}));
    published.await.expect("the service is new");
    let url = format!("http://{}/v1/jobs", fleet.host("a").address);
    let http = HttpClient::new();
    let bad = format!("{JOB}\n{{\"input\":\"1\"}}\n{{\"in\":\"2\"}}\n");
    let refused = http.call(Method::POST, &url, bad.into()).await;
    let refused = refused.expect("the host answers");
    let error: ErrorReply = refused.json().expect("the body is an error reply");
    assert_eq!(refused.status.as_u16(), 400);
    assert!(error.error.contains("item 2"), "{error:?}");

    let good = format!("{JOB}\n{{\"input\":\"1\"}}\n{{\"input\":\"2\"}}\n");
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(20);
    loop {
        let reply = http.call(Method::POST, &url, good.clone().into()).await;
        let reply = reply.expect("the host answers");
        if reply.status.is_success() {
            return;
        }
        // The aborted submission still reserves the job id for a while; until then the refusal has a retry delay.
        let error: ErrorReply = reply.json().expect("the body is an error reply");
        assert_eq!(error.kind, ErrorKind::Unavailable, "{error:?}");
        assert!(reply.retry_after.is_some());
        assert!(tokio::time::Instant::now() < deadline, "{error:?}");
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
}
