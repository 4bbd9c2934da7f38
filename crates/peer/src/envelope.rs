//! Addressing of messages and detection of duplicates.

use crate::message::{PeerMessage, PeerReply, StreamFrame, StreamRequest};
use fulmarswitch_records::HostIdentity;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of message ids that are remembered.
const MAX_REMEMBERED_IDS: usize = 8_192;

/// A message with its sender, its receiver and its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageEnvelope {
    /// Host incarnation that sends the message.
    pub from: HostIdentity,
    /// Host incarnation that the message is addressed to.
    pub to: HostIdentity,
    /// Number of the message, unique among those of the sending incarnation.
    pub number: u64,
    /// The sender's logical time.
    pub stamp: u64,
    /// The message, encoded separately so that an unknown kind of message can be distinguished from a
    /// malformed envelope.
    pub body: Vec<u8>,
}

/// What the receiver of a message returns to its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplyEnvelope {
    /// The receiver's logical time.
    pub stamp: u64,
    /// The reply, or the reason why the message was not handled.
    pub result: DeliveryResult,
}

/// Result of the delivery of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DeliveryResult {
    /// Reply of the handler.
    Reply(PeerReply),
    /// The receiver is not the incarnation that the message is addressed to.
    WrongIncarnation,
    /// The message was received before, and the reply to it was lost.
    Duplicate,
}

/// A request to open a stream, with its receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamEnvelope {
    /// The sender's logical time.
    pub stamp: u64,
    /// Host incarnation that the request is addressed to.
    pub to: HostIdentity,
    /// The request.
    pub request: StreamRequest,
}

/// A frame of a stream, with the sender's logical time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrameEnvelope {
    /// The sender's logical time.
    pub stamp: u64,
    /// The frame.
    pub frame: StreamFrame,
}

/// Decodes the body of an envelope. Returns `None` for a message of an unknown kind.
///
/// ```
/// assert!(fulmarswitch_peer::envelope::decode_message(&[255, 255]).is_none());
/// ```
#[must_use]
pub fn decode_message(body: &[u8]) -> Option<PeerMessage> {
    postcard::from_bytes(body).ok()
}

/// Ids of recently received messages; the oldest are evicted first.
///
/// nng resends a message only when it reconnects, soon after the first copy, so a limited number of ids is
/// enough.
#[derive(Debug, Default)]
pub struct DuplicateFilter {
    oldest_first: VecDeque<(HostIdentity, u64)>,
    sorted: Vec<(HostIdentity, u64)>,
}

impl DuplicateFilter {
    /// Creates an empty filter.
    ///
    /// ```
    /// use fulmarswitch_peer::envelope::DuplicateFilter;
    /// use fulmarswitch_records::HostIdentity;
    /// let host = HostIdentity { name: "a".into(), incarnation: 1 };
    /// let mut filter = DuplicateFilter::new();
    /// assert!(filter.insert(&host, 7));
    /// assert!(!filter.insert(&host, 7));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the id of a message. Returns false if the message is a duplicate.
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
