//! Chooses the job that a gate with free capacity pulls items from: the earliest due time first,
//! then the workspace with the lowest load per weight.

use std::sync::Arc;

/// Width of the buckets in which due times count as equal, in milliseconds.
const DUE_BUCKET_MS: u64 = 60_000;

/// Job that offers items to a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferCandidate {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Due time, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Number of items that can be assigned.
    pub waiting: u32,
    /// Load of the workspace at this gate, as returned by [`workspace_load`].
    pub workspace_load: u32,
}

/// Load of one item of a workspace with weight one.
const LOAD_PER_ITEM: u32 = 1_000;

/// Returns the load of a workspace that has `items` items at a gate, in thousandths of an item
/// divided by its weight.
///
/// ```
/// use fulmarswitch_decide::offers::workspace_load;
/// assert!(workspace_load(6, 3) == workspace_load(2, 1));
/// ```
#[must_use]
pub fn workspace_load(items: u32, weight: u32) -> u32 {
    items.saturating_mul(LOAD_PER_ITEM) / weight.max(1)
}

/// Returns the index of the offer to pull from; `None` if no job offers items.
///
/// ```
/// use fulmarswitch_decide::offers::{OfferCandidate, choose_offer};
/// let offer = |job: &str, due_ms| OfferCandidate {
///     job: job.into(), workspace: "w".into(), due_ms, waiting: 1, workspace_load: 0,
/// };
/// assert_eq!(choose_offer(&[offer("late", 900_000), offer("soon", 0)]), Some(1));
/// ```
#[must_use]
pub fn choose_offer(offers: &[OfferCandidate]) -> Option<usize> {
    offers
        .iter()
        .enumerate()
        .filter(|(_, offer)| offer.waiting > 0)
        .min_by_key(|(_, offer)| {
            (
                offer.due_ms / DUE_BUCKET_MS,
                offer.workspace_load,
                &offer.job,
            )
        })
        .map(|(index, _)| index)
}
