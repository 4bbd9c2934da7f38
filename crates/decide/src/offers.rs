//! Which job a gate with room pulls from: the nearest due date, then fair by workspace.

use std::sync::Arc;

/// Due dates that fall into one slot count as equal, in milliseconds.
const DUE_BUCKET_MS: u64 = 60_000;

/// One job as a gate sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferCandidate {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Due time, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Items that may be handed out.
    pub waiting: u32,
    /// Load of the workspace at this gate, from [`workspace_load`].
    pub workspace_load: u32,
}

/// Items of weight one that make a load of one, in thousandths.
const LOAD_PER_ITEM: u32 = 1_000;

/// Returns the load of a workspace that holds some items at a gate: the more weight, the less load.
///
/// ```
/// use fulmarswitch_decide::offers::workspace_load;
/// assert!(workspace_load(6, 3) == workspace_load(2, 1));
/// ```
#[must_use]
pub fn workspace_load(items: u32, weight: u32) -> u32 {
    items.saturating_mul(LOAD_PER_ITEM) / weight.max(1)
}

/// Chooses the job to pull from, or `None` when no job has items.
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
