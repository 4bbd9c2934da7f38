//! Reads the counts and results of jobs.

use super::JobOwner;
use fulmarswitch_decide::shard::jobs::ItemState;
use fulmarswitch_peer::PeerReply;
use fulmarswitch_peer::message::{JobName, ResultRange};
use fulmarswitch_platform::LogError;
use fulmarswitch_records::{ItemOutcome, LogRecord, Offset, RecordBody, RecordPlace, ShardIndex};

/// Maximum number of results in one reply.
const MAX_RESULTS: u32 = 500;
/// Size of the texts in a reply, in bytes, after which it ends early.
const MAX_RESULT_BYTES: usize = 512 << 10;

impl JobOwner {
    /// Returns the counts of a job.
    #[must_use]
    pub fn read_job(&self, name: &JobName) -> PeerReply {
        match self.owned_shard(&name.job) {
            Some(shard) => self.job_reply(shard, &name.job),
            None => PeerReply::NotOwner,
        }
    }

    /// Returns the results of a range of items. A reply may end early; the reader then asks again from
    /// the item after the last one in it.
    pub async fn read_results(&self, range: &ResultRange) -> PeerReply {
        let Some(shard) = self.owned_shard(&range.job) else {
            return PeerReply::NotOwner;
        };
        let end = range.first.saturating_add(range.count.min(MAX_RESULTS));
        let known = self.with_job(shard, &range.job, |job| {
            let items = (range.first..end).filter_map(|item| {
                let state = *job.states().get(item as usize)?;
                state.is_final().then(|| (item, state, job.result_of(item)))
            });
            items.collect::<Vec<_>>()
        });
        let Some(items) = known else {
            return PeerReply::NotFound;
        };
        let mut reader = EntryReader {
            owner: self,
            shard,
            entry: None,
        };
        let mut results = Vec::with_capacity(items.len());
        let mut bytes = 0;
        for (item, state, place) in items {
            if bytes > MAX_RESULT_BYTES {
                break;
            }
            let outcome = match (state, place) {
                (_, Some(place)) => match reader.read(place, item).await {
                    Ok(outcome) => outcome,
                    Err(_) => return PeerReply::Unknown,
                },
                (ItemState::MayHaveRun, None) => ItemOutcome::MayHaveRun,
                (_, None) => ItemOutcome::Cancelled,
            };
            if let ItemOutcome::Done { text } = &outcome {
                bytes += text.len();
            }
            results.push((item, outcome));
        }
        PeerReply::Results(results)
    }
}

/// Reads results from the log and caches the last entry, since consecutive items mostly share one.
struct EntryReader<'a> {
    owner: &'a JobOwner,
    shard: ShardIndex,
    entry: Option<(Offset, Vec<LogRecord>)>,
}

impl EntryReader<'_> {
    async fn read(&mut self, place: RecordPlace, item: u32) -> Result<ItemOutcome, LogError> {
        if self
            .entry
            .as_ref()
            .is_none_or(|(offset, _)| *offset != place.offset)
        {
            let replica = self.owner.shards.replica(self.shard);
            self.entry = Some((place.offset, replica.read_entry(place.offset).await?));
        }
        let record = self
            .entry
            .as_ref()
            .and_then(|(_, records)| records.get(place.position as usize));
        let missing = || LogError::Unknown {
            cause: "the record contains no result of the item".into(),
        };
        find_outcome(record.ok_or_else(missing)?, item).ok_or_else(missing)
    }
}

fn find_outcome(record: &LogRecord, item: u32) -> Option<ItemOutcome> {
    match &record.body {
        RecordBody::ItemOutcomes(outcomes) => outcomes
            .outcomes
            .iter()
            .find(|(index, _)| *index == item)
            .map(|(_, outcome)| outcome.clone()),
        RecordBody::ItemRangeCopy(copy) => {
            let index = item.checked_sub(copy.first)?;
            copy.items.get(index as usize)?.outcome.clone()
        }
        _ => None,
    }
}
