//! `explain` over the logs of several hosts, with a truncated line, a prefix added by a log collector and a line
//! that is no JSON.

use fulmarswitch_cli::commands::explain::{MatchingLines, format_line};
use rstest::rstest;

const LOG_A: &str = r#"{"msg":"request routed","level":"INFO","ts":"2026-05-18T07:16:57.01Z","host":"a","request":"r1","endpoint":"e1","online":3}
{"msg":"request routed","level":"INFO","ts":"2026-05-18T07:16:57.02Z","host":"a","request":"r2","endpoint":"e1"}
{"msg":"request ended","level":"INFO","ts":"2026-05-18T07:16:58.01Z","host":"a","request":"r1","outc"#;
const LOG_B: &str = r#"-13.9 b {"msg":"endpoint avoided","level":"INFO","ts":"2026-05-18T07:16:56.99Z","host":"b","endpoint":"e1","for_ms":500}
not a line of ours
{"msg":"request ended","level":"INFO","ts":"2026-05-18T07:16:57.50Z","host":"b","request":"r1","outcome":"answered","first_ms":null}"#;

#[rstest]
#[case::a_request("r1", &["request routed", "request ended"])]
#[case::an_endpoint("e1", &["endpoint avoided", "request routed", "request routed"])]
#[case::a_host("b", &["endpoint avoided", "request ended"])]
#[case::unknown_id("r", &[])]
fn matching_lines_are_sorted_by_time(#[case] id: &str, #[case] expected: &[&str]) {
    let mut matching = MatchingLines::default();
    matching.read(id, LOG_A.as_bytes()).unwrap();
    matching.read(id, LOG_B.as_bytes()).unwrap();
    let messages: Vec<&str> = matching
        .lines
        .iter()
        .map(|line| line.fields["msg"].as_str().unwrap())
        .collect();
    assert_eq!(messages, expected);
    assert_eq!(matching.malformed, 2);
}

#[test]
fn formatted_line_contains_the_other_fields() {
    let mut matching = MatchingLines::default();
    matching.read("r1", LOG_B.as_bytes()).unwrap();
    let formatted = format_line(&matching.lines[0]);
    assert!(
        formatted.starts_with("2026-05-18T07:16:57.50Z b "),
        "{formatted}"
    );
    assert!(
        formatted.ends_with("request ended  outcome=answered  request=r1"),
        "{formatted}"
    );
}
