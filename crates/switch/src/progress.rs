//! Output of an item so far, and its segments in the log.

use crate::origins::VersionKey;
use crate::record::TextLocation;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum size of the output of an item. Results are returned in pages of at most 1 MB, so a larger output could not
/// be returned.
pub const MAX_OUTPUT_BYTES: usize = 900_000;

/// Number of further runs without an event that confirm the end of an output whose end no endpoint has marked. One may be
/// of an endpoint that closes the connection after the head of its response.
pub const CONFIRMING_RUNS: u32 = 2;

/// A segment of an item's output in the log, written by one checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressSegment {
    /// Software version of the endpoints that wrote the output up to here.
    pub version: VersionKey,
    /// ID of the last event before the segment; `None` at the start of the output.
    pub after: Option<u64>,
    /// ID of the last event in the segment.
    pub last_event: u64,
    /// Location of the segment's text.
    pub location: TextLocation,
}

/// Segments of an item in the log that together are the output of one sequence of runs, each of which resumed after the
/// last segment of the run before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentChain {
    segments: Vec<ProgressSegment>,
    /// Writers with a segment that is not part of the chain. Later segments of theirs belong to the same other run, even
    /// if one begins after the event with which the chain happens to end.
    other_writers: Vec<u64>,
}

impl SegmentChain {
    /// Appends a segment if it continues the chain, or begins a new chain at another software version. Segments of other
    /// runs are ignored. Returns whether it was appended.
    pub fn push(&mut self, segment: ProgressSegment) -> bool {
        let writer = segment.location.writer();
        let has_other_version = self
            .version()
            .is_some_and(|version| version != segment.version);
        if has_other_version && segment.after.is_none() {
            // The item began anew at another version. What other writers add to the runs before it belongs to those.
            let earlier = self.segments.drain(..);
            let earlier = earlier.map(|segment| segment.location.writer());
            self.other_writers.extend(earlier);
            self.other_writers.sort_unstable();
            self.other_writers.dedup();
            self.other_writers.retain(|other| *other != writer);
        }
        let last = self.segments.last().map(|segment| segment.last_event);
        let same_version = self
            .version()
            .is_none_or(|version| version == segment.version);
        let follows =
            segment.after == last && same_version && !self.other_writers.contains(&writer);
        if follows {
            self.segments.push(segment);
        } else if !self.other_writers.contains(&writer) {
            self.other_writers.push(writer);
        }
        follows
    }

    /// Removes all segments, and ignores those of `writer` from now on: an append without a response may add one that
    /// belongs to the removed ones.
    pub fn discard(&mut self, writer: u64) {
        self.segments.clear();
        if !self.other_writers.contains(&writer) {
            self.other_writers.push(writer);
        }
    }

    /// Software version that wrote the segments; `None` if there are none.
    #[must_use]
    pub fn version(&self) -> Option<VersionKey> {
        self.segments.first().map(|segment| segment.version)
    }

    /// Segments in order.
    #[must_use]
    pub fn segments(&self) -> &[ProgressSegment] {
        &self.segments
    }
}

/// Output that is not in the log yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressDelta {
    /// Software version that wrote the output.
    pub version: VersionKey,
    /// ID of the last event in the log; `None` if there is none.
    pub after: Option<u64>,
    /// ID of the last event.
    pub last_event: u64,
    /// Data of the events after `after` up to `last_event`, joined by line feeds.
    pub text: Vec<u8>,
}

/// Which part of the output is in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RecordedState {
    /// None of it.
    #[default]
    Nothing,
    /// Everything up to and including this event, which is this many bytes of the text.
    UpTo { event: u64, bytes: usize },
    /// Unknown, since an append got no response. No further segments are written.
    Unknown,
}

/// Output of an item so far.
#[derive(Clone, Debug, Default)]
pub struct ItemProgress {
    /// Software version that wrote the output; `None` before the first run.
    version: Option<VersionKey>,
    last_event: Option<u64>,
    text: Vec<u8>,
    recorded: RecordedState,
    /// Event after which the last runs ended without a marked end, and their number.
    unmarked_ends: (Option<u64>, u32),
    /// Whether the next run has to show that the last event is part of the output.
    needs_proof: bool,
    /// Whether the run in progress may be at another software version than it seems. Nothing is written until that is known.
    is_unconfirmed: bool,
}

impl ItemProgress {
    /// Joins the texts of segments.
    #[must_use]
    pub fn from_segments(segments: &[ProgressSegment], texts: &[impl AsRef<[u8]>]) -> Self {
        let Some(last) = segments.last() else {
            return Self::default();
        };
        let parts: Vec<&[u8]> = texts.iter().map(AsRef::as_ref).collect();
        let text = parts.join(&b'\n');
        let recorded = RecordedState::UpTo {
            event: last.last_event,
            bytes: text.len(),
        };
        Self {
            version: Some(last.version),
            last_event: Some(last.last_event),
            text,
            recorded,
            unmarked_ends: (None, 0),
            needs_proof: false,
            is_unconfirmed: false,
        }
    }

    /// Returns the progress of an item that no endpoint has run yet, about to run at a software version.
    #[must_use]
    pub fn new(version: VersionKey) -> Self {
        Self {
            version: Some(version),
            ..Self::default()
        }
    }

    /// Event after which the next run resumes: the last one, or the one before if the last one has to be shown again.
    #[must_use]
    pub fn resume_point(&self) -> Option<u64> {
        match self.last_event {
            Some(last) if self.needs_proof => last.checked_sub(1),
            last => last,
        }
    }

    /// Requires that a run shows the last event again. An endpoint may have sent events beyond the end of the output, after which others
    /// have nothing to add.
    pub fn require_proof(&mut self) {
        self.needs_proof = true;
    }

    /// Whether the next event has to be the last one again.
    #[must_use]
    pub fn needs_proof(&self) -> bool {
        self.needs_proof
    }

    /// Takes the event that a run sends first for the proof of the last one. Returns whether it is the same.
    ///
    /// ```
    /// use fulmarswitch_switch::progress::ItemProgress;
    /// let mut progress = ItemProgress::default();
    /// assert!(progress.push_event(1, b"a") && progress.push_event(2, b"b"));
    /// progress.require_proof();
    /// assert_eq!(progress.resume_point(), Some(1));
    /// assert!(progress.prove(2, b"b"));
    /// assert_eq!(progress.resume_point(), Some(2));
    /// ```
    #[must_use]
    pub fn prove(&mut self, id: u64, data: &[u8]) -> bool {
        let is_same = self.last_event == Some(id) && self.text.ends_with(data);
        self.needs_proof &= !is_same;
        is_same
    }

    /// Records whether the software version of the run in progress is certain.
    pub fn set_confirmed(&mut self, is_confirmed: bool) {
        self.is_unconfirmed = !is_confirmed;
    }

    /// Software version that wrote the output; `None` if there is no output.
    #[must_use]
    pub fn version(&self) -> Option<VersionKey> {
        self.version.filter(|_| !self.is_empty())
    }

    /// Appends an event's data. Returns `false`, without a change, if its ID is not the last one plus 1. The first
    /// event may have any ID.
    ///
    /// ```
    /// use fulmarswitch_switch::progress::ItemProgress;
    /// let mut progress = ItemProgress::default();
    /// assert!(progress.push_event(1, b"a"));
    /// assert!(!progress.push_event(3, b"c"));
    /// ```
    #[must_use]
    pub fn push_event(&mut self, id: u64, data: &[u8]) -> bool {
        if self
            .last_event
            .is_some_and(|last| last.checked_add(1) != Some(id))
        {
            return false;
        }
        if self.last_event.is_some() {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(data);
        self.last_event = Some(id);
        true
    }

    /// Records that a run ended without a marked end. Returns whether the output is taken to be complete, since
    /// [`CONFIRMING_RUNS`] earlier runs ended after the same event. The last of these runs has to prove that event.
    ///
    /// ```
    /// use fulmarswitch_switch::progress::ItemProgress;
    /// let mut progress = ItemProgress::default();
    /// assert!(progress.push_event(1, b"a"));
    /// assert!(!progress.confirm_end());
    /// assert!(!progress.confirm_end());
    /// assert!(progress.confirm_end());
    /// ```
    #[must_use]
    pub fn confirm_end(&mut self) -> bool {
        let (event, runs) = self.unmarked_ends;
        let earlier = if event == self.last_event { runs } else { 0 };
        self.unmarked_ends = (self.last_event, earlier + 1);
        self.needs_proof = self.last_event.is_some() && earlier + 1 == CONFIRMING_RUNS;
        self.last_event.is_some() && earlier >= CONFIRMING_RUNS
    }

    /// ID of the last event; `None` before the first one.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Length of the output in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// Whether there is no event yet. An event may have empty data.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_event.is_none()
    }

    /// Output so far.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Returns the output that is not in the log; `None` if there is none or if it must not be written.
    #[must_use]
    pub fn delta(&self) -> Option<ProgressDelta> {
        if self.is_unconfirmed {
            return None;
        }
        let (version, last_event) = (self.version?, self.last_event?);
        let (after, start) = match self.recorded {
            RecordedState::Unknown => return None,
            RecordedState::Nothing => (None, 0),
            // The line feed between two segments belongs to neither.
            RecordedState::UpTo { event, bytes } => (Some(event), bytes + 1),
        };
        let text = self.text.get(start..)?.to_vec();
        (after != Some(last_event)).then_some(ProgressDelta {
            version,
            after,
            last_event,
            text,
        })
    }

    /// Records that a delta is in the log.
    pub fn mark_recorded(&mut self, delta: &ProgressDelta) {
        let before = match self.recorded {
            RecordedState::UpTo { bytes, .. } => bytes + 1,
            RecordedState::Nothing | RecordedState::Unknown => 0,
        };
        self.recorded = RecordedState::UpTo {
            event: delta.last_event,
            bytes: before + delta.text.len(),
        };
    }

    /// Records that an append of a delta got no response, so it may be in the log.
    pub fn mark_unknown(&mut self) {
        self.recorded = RecordedState::Unknown;
    }
}

/// Output that a run appends to while other tasks read it.
#[derive(Clone, Debug, Default)]
pub struct SharedProgress(Arc<Mutex<ItemProgress>>);

impl SharedProgress {
    /// Locks the output. A poisoned lock is used as it is.
    pub fn lock(&self) -> MutexGuard<'_, ItemProgress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
