//! Loopback ports for processes that must be told their port before they listen.
//!
//! A port that is found by binding and closing a socket may be taken before it is used: by an outgoing connection, by another process that
//! looks for one, or by a child process that is just being started, which holds all sockets of its parent until it runs its own program.
//! [`claim_address`] therefore binds nothing. It gives ports outside the range of outgoing connections, each once, from blocks that the
//! process locks for as long as it runs.

use std::fs::{File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// First port of the range, which is below the ports of outgoing connections on common systems.
const FIRST_PORT: u16 = 10_000;
/// Number of ports of a block.
const BLOCK_PORTS: u16 = 50;
/// Number of blocks.
const BLOCKS: u16 = 400;
/// Time to find out whether a program listens at a port.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The blocks that this process has locked.
struct ClaimedBlocks {
    /// Locks of all blocks, held until the process ends.
    locks: Vec<File>,
    /// Ports of the last block that were not given yet.
    left: Range<u16>,
}

static CLAIMED: Mutex<ClaimedBlocks> = Mutex::new(ClaimedBlocks {
    locks: Vec::new(),
    left: 0..0,
});

/// Returns a loopback address that no other caller of this function gets, in this process or in another one that runs.
///
/// ```
/// let first = fulmarswitch_ports::claim_address()?;
/// assert_ne!(fulmarswitch_ports::claim_address()?, first);
/// std::net::TcpListener::bind(first)?;
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
/// Returns an error if all blocks are in use, or the folder of their locks cannot be written.
pub fn claim_address() -> io::Result<SocketAddr> {
    let mut claimed = CLAIMED.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let Some(port) = claimed.left.next() else {
            let (lock, ports) = claim_block()?;
            claimed.locks.push(lock);
            claimed.left = ports;
            continue;
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // A program that knows nothing of the locks may listen there.
        if TcpStream::connect_timeout(&address, PROBE_TIMEOUT).is_err() {
            return Ok(address);
        }
    }
}

/// Locks a block that no running process has.
fn claim_block() -> io::Result<(File, Range<u16>)> {
    let folder: PathBuf = std::env::temp_dir().join("fulmarswitch-ports");
    std::fs::create_dir_all(&folder)?;
    for block in 0..BLOCKS {
        let path = folder.join(block.to_string());
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        if lock.try_lock().is_ok() {
            let first = FIRST_PORT + block * BLOCK_PORTS;
            return Ok((lock, first..first + BLOCK_PORTS));
        }
    }
    let cause = format!("all {BLOCKS} blocks of ports are in use; end other tests or soaks");
    Err(io::Error::other(cause))
}
