//! Addressing of messages, and the table of messages already seen.

use crate::message::{PeerMessage, PeerReply, StreamFrame, StreamRequest};
use fulmarswitch_records::HostIdentity;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Messages whose ids are remembered.
const MAX_REMEMBERED_IDS: usize = 8_192;

/// A message with its sender, its receiver and its id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageEnvelope {
    /// The run that sends.
    pub from: HostIdentity,
    /// The run that is meant.
    pub to: HostIdentity,
    /// Number of the message within the sender's run.
    pub number: u64,
    /// The sender's logical time.
    pub stamp: u64,
    /// The message, encoded by itself so that an unknown kind can be told apart from a broken envelope.
    pub body: Vec<u8>,
}

/// An answer with the receiver's logical time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplyEnvelope {
    /// The receiver's logical time.
    pub stamp: u64,
    /// The answer.
    pub answer: EnvelopeAnswer,
}

/// Answer to an envelope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EnvelopeAnswer {
    /// The receiver's reply.
    Reply(PeerReply),
    /// The receiver is another run than the one that was meant.
    WrongIncarnation,
    /// The message came before; its reply is lost.
    Duplicate,
}

/// Opens a stream at a given run of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamEnvelope {
    /// The sender's logical time.
    pub stamp: u64,
    /// The run that is meant.
    pub to: HostIdentity,
    /// What is asked for.
    pub request: StreamRequest,
}

/// A frame with the sender's logical time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrameEnvelope {
    /// The sender's logical time.
    pub stamp: u64,
    /// The frame.
    pub frame: StreamFrame,
}

/// Decodes the body of an envelope; `None` for a kind that this program does not know.
///
/// ```
/// assert!(fulmarswitch_peer::envelope::decode_message(&[255, 255]).is_none());
/// ```
#[must_use]
pub fn decode_message(body: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(body).ok()
}

/// Ids of messages already seen, the oldest forgotten first.
///
/// A repeat comes within a reconnection of its first copy, so a short memory is enough.
#[derive(Debug, Default)]
pub struct DuplicateFilter {
    oldest_first: VecDeque<(HostIdentity, u64)>,
    sorted: Vec<(HostIdentity, u64)>,
}

impl DuplicateFilter {
    /// Creates an empty table.
    ///
    /// ```
    /// use fulmarswitch_peer::envelope::DuplicateFilter;
    /// use fulmarswitch_records::HostIdentity;
    /// let host = HostIdentity { name: "a".into(), incarnation: 1 };
    /// let mut seen = DuplicateFilter::new();
    /// assert!(seen.insert(&host, 7));
    /// assert!(!seen.insert(&host, 7));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a message and tells whether it came for the first time.
    pub fn insert(&mut self, from: &HostIdentity, number: u64) -> bool {
        let id = (from.clone(), number);
        let Err(index) = self.sorted.binary_search(&id) else {
            return false;
        };
        self.sorted.insert(index, id.clone());
        self.oldest_first.push_back(id);
        if self.oldest_first.len() > MAX_REMEMBERED_IDS
            && let Some(oldest) = self.oldest_first.pop_front()
            && let Ok(index) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(index);
        }
        true
    }
}
