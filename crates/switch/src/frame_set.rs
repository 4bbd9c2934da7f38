//! The frames in the log that belong to a job, and with them which of its records have been applied.

use crate::record::FrameRange;

/// A set of frame ranges, sorted by writer and by number.
///
/// The numbers of a writer increase, so that an insertion rarely moves other entries, however large the job is.
#[derive(Clone, Debug, Default)]
pub struct FrameSet {
    writers: Vec<WriterFrames>,
}

#[derive(Clone, Debug)]
struct WriterFrames {
    writer: u64,
    frames: Vec<FrameRange>,
}

impl FrameSet {
    /// Adds frames. Returns whether they were not in the set.
    ///
    /// ```
    /// use fulmarswitch_switch::frame_set::FrameSet;
    /// use fulmarswitch_switch::record::FrameRange;
    ///
    /// let frames = FrameRange { number: 7, count: 1, is_text: false };
    /// let mut set = FrameSet::default();
    /// assert!(set.insert(frames));
    /// assert!(!set.insert(frames));
    /// ```
    pub fn insert(&mut self, frames: FrameRange) -> bool {
        let writer = frames.writer();
        let index = match self.search_writer(writer) {
            Ok(index) => index,
            Err(index) => {
                let entry = WriterFrames {
                    writer,
                    frames: Vec::new(),
                };
                self.writers.insert(index, entry);
                index
            }
        };
        let known = &mut self.writers[index].frames;
        match known.binary_search_by_key(&sort_key(frames), |other| sort_key(*other)) {
            Ok(_) => false,
            Err(position) => {
                known.insert(position, frames);
                true
            }
        }
    }

    /// Whether the frames are in the set.
    #[must_use]
    pub fn contains(&self, frames: FrameRange) -> bool {
        self.search_writer(frames.writer()).is_ok_and(|index| {
            let known = &self.writers[index].frames;
            known
                .binary_search_by_key(&sort_key(frames), |other| sort_key(*other))
                .is_ok()
        })
    }

    /// All frames of the set.
    pub fn iter(&self) -> impl Iterator<Item = FrameRange> {
        self.writers
            .iter()
            .flat_map(|entry| entry.frames.iter().copied())
    }

    fn search_writer(&self, writer: u64) -> Result<usize, usize> {
        self.writers
            .binary_search_by_key(&writer, |entry| entry.writer)
    }
}

fn sort_key(frames: FrameRange) -> (u64, bool) {
    (frames.number, frames.is_text)
}
