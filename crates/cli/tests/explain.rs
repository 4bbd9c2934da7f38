//! Lines of one request over the logs of several hosts.

use fulmarswitch_cli::commands::explain::{ExplainedLines, show_line};
use rstest::rstest;

const FIRST: &str = r#"{"msg":"request routed","level":"INFO","ts":"2026-05-18T07:16:57.01Z","host":"a","request":"r1","endpoint":"e1","online":3}
{"msg":"request routed","level":"INFO","ts":"2026-05-18T07:16:57.02Z","host":"a","request":"r2","endpoint":"e1"}
{"msg":"request ended","level":"INFO","ts":"2026-05-18T07:16:58.01Z","host":"a","request":"r1","outc"#;
const SECOND: &str = r#"-13.9 b {"msg":"endpoint avoided","level":"INFO","ts":"2026-05-18T07:16:56.99Z","host":"b","endpoint":"e1","for_ms":500}
not a line of ours
{"msg":"request ended","level":"INFO","ts":"2026-05-18T07:16:57.50Z","host":"b","request":"r1","outcome":"answered","first_ms":null}"#;

#[rstest]
#[case::a_request("r1", &["request routed", "request ended"])]
#[case::an_endpoint("e1", &["endpoint avoided", "request routed", "request routed"])]
#[case::a_host("b", &["endpoint avoided", "request ended"])]
#[case::nobody("r", &[])]
fn lines_stand_in_order_of_time(#[case] id: &str, #[case] expected: &[&str]) {
    let mut explained = ExplainedLines::default();
    explained.read(id, FIRST.as_bytes()).unwrap();
    explained.read(id, SECOND.as_bytes()).unwrap();
    let messages: Vec<&str> = explained
        .lines
        .iter()
        .map(|line| line.fields["msg"].as_str().unwrap())
        .collect();
    assert_eq!(messages, expected);
    assert_eq!(explained.torn, 2);
}

#[test]
fn a_line_is_shown_with_its_inputs() {
    let mut explained = ExplainedLines::default();
    explained.read("r1", SECOND.as_bytes()).unwrap();
    let shown = show_line(&explained.lines[0]);
    assert!(shown.starts_with("2026-05-18T07:16:57.50Z b "), "{shown}");
    assert!(
        shown.ends_with("request ended  outcome=answered  request=r1"),
        "{shown}"
    );
}
