//! Help texts, exit codes for invalid usage and unreachable hosts, and the order of merged events.

use fulmarswitch_cli::commands::timeline::merge_events;
use fulmarswitch_operator::EventReply;
use rstest::rstest;
use std::process::{Command, Output};

#[rstest]
#[case::top("--help", &["request", "call", "result", "job", "config", "status", "drain", "addresses", "timeline", "load", "Exit codes", "FULMARSWITCH_HOST"])]
#[case::request("request --help", &["--key", "--workspace", "--service", "--at-most-once", "INPUT"])]
#[case::call("call --help", &["at most once", "--idempotent"])]
#[case::result("result --help", &["Key or job id"])]
#[case::job("job --help", &["submit", "status", "results", "cancel"])]
#[case::job_submit("job submit --help", &["--due-in", "--json-lines", "--wait", "standard input"])]
#[case::job_status("job status --help", &["--wait"])]
#[case::job_results("job results --help", &["--first", "--page"])]
#[case::config("config --help", &["put", "get", "list", "delete", "where"])]
#[case::config_put("config put --help", &["--base", "--schema", "RECORD", "BODY"])]
#[case::drain("drain --help", &["HOST"])]
#[case::timeline("timeline --help", &["--entity", "--json", "Every cause precedes its effects"])]
#[case::load("load --help", &["--rate", "--seconds", "--seed", "--batch-items"])]
fn help_lists_subcommands_and_flags(#[case] arguments: &str, #[case] parts: &[&str]) {
    let output = run(arguments);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
    for part in parts {
        assert!(text.contains(part), "{part:?} is missing: {text}");
    }
}

#[rstest]
#[case::no_host("status", 2, "write --host IP:PORT")]
#[case::unknown_command("--host 127.0.0.1:1 stat", 2, "status")]
#[case::host_without_port("--host 127.0.0.1 status", 2, "invalid socket address")]
#[case::missing_workspace("--host 127.0.0.1:1 request --service s x", 2, "--workspace")]
#[case::bad_record_name("--host 127.0.0.1:1 config put x {}", 2, "use service/NAME")]
#[case::bad_body("--host 127.0.0.1:1 config put service/x {", 2, "not JSON")]
#[case::missing_file(
    "--host 127.0.0.1:1 job submit --job j --workspace w --service s /nowhere/items",
    2,
    "check the path"
)]
#[case::no_rate(
    "--host 127.0.0.1:1 load --workspace w --service s --rate 0",
    2,
    "--rate must be"
)]
#[case::no_host_answers(
    "--host 127.0.0.1:1 status",
    3,
    "check the addresses given with --host"
)]
fn errors_name_the_remedy_and_set_the_exit_code(
    #[case] arguments: &str,
    #[case] code: i32,
    #[case] remedy: &str,
) {
    let output = run(arguments);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(remedy), "{text}");
}

#[rstest]
#[case::clocks_disagree(
    &[("a", 5, 900, "cause")],
    &[("b", 6, 100, "effect")],
    None,
    &["cause", "effect"]
)]
#[case::hosts_alternate(
    &[("a", 1, 0, "one"), ("a", 4, 0, "four")],
    &[("b", 2, 0, "two"), ("b", 3, 0, "three")],
    None,
    &["one", "two", "three", "four"]
)]
#[case::one_entity(
    &[("a", 1, 0, "w/k1"), ("a", 3, 0, "w/k2")],
    &[("b", 2, 0, "w/k1")],
    Some("k1"),
    &["w/k1", "w/k1"]
)]
fn causes_precede_their_effects(
    #[case] first: &[(&str, u64, u64, &str)],
    #[case] second: &[(&str, u64, u64, &str)],
    #[case] entity: Option<&str>,
    #[case] expected: &[&str],
) {
    let merged = merge_events(vec![events(first), events(second)], entity);
    let entities: Vec<&str> = merged.iter().map(|event| &*event.entity).collect();
    assert_eq!(entities, expected);
}

fn events(list: &[(&str, u64, u64, &str)]) -> Vec<EventReply> {
    list.iter()
        .map(|(host, stamp, at_ms, entity)| EventReply {
            stamp: *stamp,
            at_ms: *at_ms,
            host: (*host).into(),
            kind: "step".into(),
            entity: (*entity).into(),
            detail: "".into(),
        })
        .collect()
}

fn run(arguments: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fulmarswitch"))
        .args(arguments.split(' '))
        .env_remove("FULMARSWITCH_HOST")
        .output()
        .expect("fulmarswitch can be executed")
}
