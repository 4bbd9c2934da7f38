//! Output of an item so far, and the pieces of it that stand on the log.

use crate::record::TextLocation;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A piece of an item's output on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressSegment {
    /// Number of the last event before the piece; `None` at the start.
    pub after: Option<u64>,
    /// Number of the last event in the piece.
    pub last_event: u64,
    /// Where its text stands.
    pub location: TextLocation,
}

/// Adds a piece that follows the last one; others are of another run and are left out. Returns whether it was
/// added.
pub fn append_segment(segments: &mut Vec<ProgressSegment>, segment: ProgressSegment) -> bool {
    let last = segments.last().map(|segment| segment.last_event);
    let follows = segment.after == last;
    if follows {
        segments.push(segment);
    }
    follows
}

/// Output that is not on the log yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressDelta {
    /// Number of the last event that is on the log.
    pub after: Option<u64>,
    /// Number of the last event.
    pub last_event: u64,
    /// Data of the events between, lines joined by line feeds.
    pub text: Vec<u8>,
}

/// How much of the output stands on the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RecordedState {
    /// Nothing.
    #[default]
    Nothing,
    /// All up to this event and this length of the text.
    UpTo { event: u64, bytes: usize },
    /// Not known, since an append was not answered; no more pieces are written.
    Unknown,
}

/// Output of an item so far.
#[derive(Clone, Debug, Default)]
pub struct ItemProgress {
    last_event: Option<u64>,
    text: Vec<u8>,
    recorded: RecordedState,
}

impl ItemProgress {
    /// Puts the texts of pieces together.
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
            last_event: Some(last.last_event),
            text,
            recorded,
        }
    }

    /// Adds an event's data. Returns whether the event follows the last one.
    ///
    /// ```
    /// use fulmarswitch_switch::progress::ItemProgress;
    /// let mut progress = ItemProgress::default();
    /// assert!(progress.push_event(1, b"a"));
    /// assert!(!progress.push_event(3, b"c"));
    /// ```
    #[must_use]
    pub fn push_event(&mut self, id: u64, data: &[u8]) -> bool {
        if self.last_event.is_some_and(|last| id != last + 1) {
            return false;
        }
        if self.last_event.is_some() {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(data);
        self.last_event = Some(id);
        true
    }

    /// Number of the last event.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Bytes of the output.
    #[must_use]
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// Whether there is no event yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_event.is_none()
    }

    /// Whole output so far.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Returns the output that is not on the log.
    #[must_use]
    pub fn delta(&self) -> Option<ProgressDelta> {
        let last_event = self.last_event?;
        let (after, start) = match self.recorded {
            RecordedState::Unknown => return None,
            RecordedState::Nothing => (None, 0),
            // The line feed between the parts belongs to neither.
            RecordedState::UpTo { event, bytes } => (Some(event), bytes + 1),
        };
        let text = self.text.get(start..)?.to_vec();
        (after != Some(last_event)).then_some(ProgressDelta {
            after,
            last_event,
            text,
        })
    }

    /// Notes that a delta stands on the log.
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

    /// Notes that it is not known whether a delta stands on the log.
    pub fn mark_unknown(&mut self) {
        self.recorded = RecordedState::Unknown;
    }
}

/// Output that a run adds to while others read it.
#[derive(Clone, Debug, Default)]
pub struct SharedProgress(Arc<Mutex<ItemProgress>>);

impl SharedProgress {
    /// Locks the output.
    pub fn lock(&self) -> MutexGuard<'_, ItemProgress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
