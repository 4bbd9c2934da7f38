//! `fulmarswitchd --check-settings` accepts valid settings and reports what to change in invalid ones.

use rstest::rstest;
use std::process::Command;

const VALID_SETTINGS: &str = r#"
host = "catania-1"
failure_domain = "catania"
caller_address = "127.0.0.1:7001"
message_address = "127.0.0.1:7002"
stream_address = "127.0.0.1:7003"
[platform]
log_address = "127.0.0.1:9000"
list_address = "127.0.0.1:9000"
store_address = "127.0.0.1:9000"
"#;

#[rstest]
#[case::valid("", "", 0, "the settings are valid")]
#[case::missing_host("host = \"catania-1\"", "", 2, "missing field `host`")]
#[case::unknown_setting("[platform]", "speed = 1\n[platform]", 2, "unknown field `speed`")]
#[case::name_with_a_space("catania-1", "catania 1", 2, "use letters, digits")]
#[case::host_name_as_address("127.0.0.1:7001", "localhost:7001", 2, "write an IP number")]
#[case::suspicion_too_short(
    "[platform]",
    "[tuning]\nsuspect_ms = 300\n[platform]",
    2,
    "allow at least three heartbeats"
)]
#[case::no_calls(
    "[platform]",
    "[tuning]\nmax_calls = 0\n[platform]",
    2,
    "allow at least one"
)]
#[case::no_connections(
    "[platform]",
    "[tuning]\nmax_connections = 0\n[platform]",
    2,
    "fewer than the process may open files"
)]
#[case::groups_without_shards(
    "[platform]",
    "[layout]\nshards = 2\ngroups = 3\n[platform]",
    2,
    "give each group at least one shard"
)]
fn settings_are_checked(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] code: i32,
    #[case] message: &str,
) {
    let text = if original.is_empty() {
        VALID_SETTINGS.to_owned()
    } else {
        VALID_SETTINGS.replacen(original, replacement, 1)
    };
    let file_name = format!(
        "fulmarswitch-check-{}-{code}-{}",
        std::process::id(),
        original.len()
    );
    let path = std::env::temp_dir().join(format!("{file_name}-{}.toml", replacement.len()));
    std::fs::write(&path, text).expect("the temporary folder is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarswitchd"))
        .arg("--settings")
        .arg(&path)
        .arg("--check-settings")
        .output()
        .expect("the daemon runs");
    std::fs::remove_file(&path).expect("written above");
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8_lossy(&printed);
    assert_eq!(output.status.code(), Some(code), "{printed}");
    assert!(printed.contains(message), "{printed}");
}

#[test]
fn a_missing_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarswitchd"))
        .args(["--settings", "/nowhere/host.toml", "--check-settings"])
        .output()
        .expect("the daemon runs");
    let printed = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    assert!(printed.contains("/nowhere/host.toml"), "{printed}");
    assert!(printed.contains("check the path"), "{printed}");
}
