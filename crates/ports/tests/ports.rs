//! Ports that are given before they are used.

use fulmarswitch_ports::claim_address;
use std::net::{TcpListener, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of ports that are claimed beside other activity.
const CLAIMS: usize = 400;

/// Guards against ports that are in use when their process starts (issue 33): a child process that is being started holds a socket that
/// its parent has bound only to find a port.
#[test]
fn claimed_port_is_free_while_processes_start() {
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let child = Command::new("true").stdout(Stdio::null()).status();
                    assert!(child.is_ok());
                }
            });
        }
        let failures = (0..CLAIMS).filter(|_| {
            let address = claim_address().unwrap();
            UdpSocket::bind(address).is_err() || TcpListener::bind(address).is_err()
        });
        let failures = failures.count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(failures, 0, "of {CLAIMS}");
    });
}
