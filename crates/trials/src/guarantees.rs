//! The checks of a run, each with the name of the guarantee that it verifies.

use crate::callers::{TrialCaller, read_job, read_key};
use crate::control::HostMode;
use crate::fleet::{TrialFleet, TrialHost};
use crate::history::{AttemptResult, ObservedJob, ObservedRequest, is_final};
use fulmarswitch_caller::wire::OutcomeReply;
use fulmarswitch_decide::shard::ShardState;
use fulmarswitch_decide::shard::jobs::JobEntry;
use fulmarswitch_decide::shard::verify::verify_shard;
use fulmarswitch_records::{HostIdentity, SortedIndex};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::plain::plain_answer;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which all accepted work must have its outcome after the last fault.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(150);
/// Interval at which open work is polled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a configuration change must be in force on every host that is not lagging.
const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(4);
/// Time after which a leaving endpoint must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);
/// Time after which no item of a cancelled job may start.
const CANCEL_LIMIT: Duration = Duration::from_secs(4);
/// Time that a host needs to catch up once a fault that made it lag has ended.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);
/// Interval at which the running fleet is checked.
const MONITOR_INTERVAL: Duration = Duration::from_millis(250);

/// Log retention below which records expire during a run, so that hosts that started at different times
/// have read different records.
const SHORT_RETENTION: Duration = Duration::from_hours(1);

const ONE_OUTCOME: &str = "one outcome for all readers";
const NOTHING_LOST: &str = "nothing accepted is lost";
const OWN_ANSWER: &str = "each caller gets the whole answer to its own request";
const AT_MOST_ONCE: &str = "a call that may not be repeated runs at most once";
const CANCEL_STOPS: &str = "a cancelled job stops";
const LEAVING_RESTS: &str = "a leaving endpoint gets no new work";
const CONFIG_STANDS: &str = "accepted configuration is in force everywhere and never reverts";
const STATES_AGREE: &str = "all hosts that have read as far agree";
const STATE_HOLDS: &str = "every replayed state holds its invariants";

/// Checks configuration and replayed state periodically until the task is aborted.
pub async fn monitor_hosts(fleet: Arc<TrialFleet>) {
    let mut last_versions: SortedIndex<(HostIdentity, Arc<str>), u64> = SortedIndex::new();
    loop {
        tokio::time::sleep(MONITOR_INTERVAL).await;
        for host in fleet.joined() {
            check_versions(&fleet, &host, &mut last_versions);
            check_in_force(&fleet, &host);
            check_states(&fleet, &host);
        }
    }
}

fn check_versions(
    fleet: &TrialFleet,
    host: &TrialHost,
    last_versions: &mut SortedIndex<(HostIdentity, Arc<str>), u64>,
) {
    for entry in host.node.fleet().view().config.all() {
        let name = (host.identity.clone(), Arc::clone(&entry.change.name));
        let before = last_versions.insert(name, entry.version).unwrap_or(0);
        if entry.version < before {
            let detail = format!("{} at {}", entry.change.name, host.identity);
            fleet.history.record_violation(CONFIG_STANDS, detail);
        }
    }
}

fn check_in_force(fleet: &TrialFleet, host: &TrialHost) {
    let now = fleet.history.now();
    let since = now.saturating_sub(CONFIG_PROPAGATION_LIMIT + CATCH_UP_TIME);
    if host.control.mode() != HostMode::Running
        || fleet.history.may_lag(&host.identity.name, since, now)
    {
        return;
    }
    let view = host.node.fleet().view();
    let mut violations = Vec::new();
    for change in &fleet.history.observations().changes {
        let due = change.acknowledged_at + CONFIG_PROPAGATION_LIMIT < now;
        if due && view.config.version_of(&change.name) < change.version {
            let detail = format!("{} v{} at {}", change.name, change.version, host.identity);
            violations.push(detail);
        }
    }
    for detail in violations {
        fleet.history.record_violation(CONFIG_STANDS, detail);
    }
}

fn check_states(fleet: &TrialFleet, host: &TrialHost) {
    for replica in host.node.shards().replicas() {
        let state = replica.state();
        for violation in state.shards().iter().flat_map(verify_shard) {
            let detail = format!("{violation} at {}", host.identity);
            fleet.history.record_violation(STATE_HOLDS, detail);
        }
    }
}

/// Waits until all accepted work has its outcome, then reads everything through every host and checks it.
pub async fn check_end(fleet: &Arc<TrialFleet>) {
    let keys: Vec<Arc<str>> = names(fleet.history.observations().keys.iter());
    let jobs: Vec<Arc<str>> = {
        let observations = fleet.history.observations();
        names(observations.jobs.iter().filter(|(_, job)| job.accepted))
    };
    wait_keys_settled(fleet, &keys).await;
    wait_jobs_settled(fleet, &jobs).await;
    for host in fleet.joined() {
        read_all(fleet, &host, &keys, &jobs).await;
    }
    for key in &keys {
        let observed = fleet.history.observations().keys.get(key).cloned();
        if let Some(observed) = observed {
            check_key(fleet, &observed);
        }
    }
    for job in &jobs {
        let observed = fleet.history.observations().jobs.get(job).cloned();
        if let Some(observed) = observed {
            check_job(fleet, &observed);
        }
    }
    check_leaving(fleet);
    check_config(fleet);
    check_agreement(fleet).await;
}

fn names<'a, T: 'a>(entries: impl Iterator<Item = (&'a Arc<str>, &'a T)>) -> Vec<Arc<str>> {
    entries.map(|(name, _)| Arc::clone(name)).collect()
}

async fn wait_keys_settled(fleet: &Arc<TrialFleet>, keys: &[Arc<str>]) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    for key in keys {
        loop {
            let Some(host) = fleet.joined().into_iter().next() else {
                break;
            };
            if read_key(&host, key).await != Some(OutcomeReply::Open) {
                break;
            }
            if Instant::now() > deadline {
                fleet
                    .history
                    .record_violation(NOTHING_LOST, format!("{key} stays open"));
                break;
            }
            tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
        }
    }
}

async fn wait_jobs_settled(fleet: &Arc<TrialFleet>, jobs: &[Arc<str>]) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    for job in jobs {
        loop {
            let Some(host) = fleet.joined().into_iter().next() else {
                break;
            };
            let report = read_job(&host, job).await;
            if report.as_ref().is_some_and(|report| report.open == 0) {
                break;
            }
            if Instant::now() > deadline {
                let detail = format!("{job} stays open: {report:?}");
                fleet.history.record_violation(NOTHING_LOST, detail);
                break;
            }
            tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
        }
    }
}

async fn read_all(
    fleet: &Arc<TrialFleet>,
    host: &Arc<TrialHost>,
    keys: &[Arc<str>],
    jobs: &[Arc<str>],
) {
    for key in keys {
        let outcome = read_key(host, key).await;
        if let (Some(outcome), Some(observed)) =
            (outcome, fleet.history.observations().keys.get_mut(key))
        {
            observed.reads.push(outcome);
        }
    }
    let mut reader = TrialCaller::new(Arc::clone(fleet), SmallRng::seed_from_u64(0), 0);
    for job in jobs {
        let count = reader.read_results(job, Some(Arc::clone(host))).await;
        let total = fleet
            .history
            .observations()
            .jobs
            .get(job)
            .map(|observed| observed.inputs.len());
        if count != total {
            let detail = format!("{job}: {count:?} of {total:?} results at {}", host.identity);
            fleet.history.record_violation(NOTHING_LOST, detail);
        }
    }
}

fn check_key(fleet: &TrialFleet, observed: &ObservedRequest) {
    let key = &observed.request.key;
    let mut recorded = observed.recorded();
    let first = recorded.next();
    if let Some(other) = recorded.find(|outcome| Some(*outcome) != first) {
        let detail = format!("{key}: {first:?} and {other:?}");
        fleet.history.record_violation(ONE_OUTCOME, detail);
    }
    let unread = !observed.reads.iter().any(is_final);
    if first.is_some() && unread {
        let detail = format!("{key}: {first:?} cannot be read");
        fleet.history.record_violation(NOTHING_LOST, detail);
    }
    let answer = if observed.request.idempotent {
        whole_answer(&observed.request.input, observed.request.max_tokens)
    } else {
        plain_answer(&observed.request.input)
    };
    let is_wrong = |text: &str| text != answer;
    for attempt in &observed.attempts {
        if let AttemptResult::Done {
            outcome: OutcomeReply::Done { text },
            streamed,
            ..
        } = attempt
            && (is_wrong(text) || !(streamed.is_empty() || *streamed == answer))
        {
            let detail = format!("{key}: {text:?}, streamed {streamed:?}");
            fleet.history.record_violation(OWN_ANSWER, detail);
        }
    }
    for outcome in &observed.reads {
        if let OutcomeReply::Done { text } = outcome
            && is_wrong(text)
        {
            fleet
                .history
                .record_violation(OWN_ANSWER, format!("{key}: read {text:?}"));
        }
    }
    if !observed.request.idempotent {
        let runs = fleet.plain_run_count(&observed.request.input);
        if runs > 1 {
            fleet
                .history
                .record_violation(AT_MOST_ONCE, format!("{key} ran {runs} times"));
        }
    }
}

fn check_job(fleet: &TrialFleet, observed: &ObservedJob) {
    for (index, input) in (0..).zip(&observed.inputs) {
        let entity = format!("{} item {index}", observed.name);
        match observed.reads.get(&index) {
            Some(OutcomeReply::Done { text }) => {
                let answer = if observed.idempotent {
                    whole_answer(input, observed.max_tokens)
                } else {
                    plain_answer(input)
                };
                if **text != *answer {
                    let detail = format!("{entity}: {text:?}");
                    fleet.history.record_violation(OWN_ANSWER, detail);
                }
            }
            Some(OutcomeReply::Cancelled) if !observed.cancel_requested => {
                let detail = format!("{entity} is cancelled and nobody asked for it");
                fleet.history.record_violation(CANCEL_STOPS, detail);
            }
            Some(outcome) if !is_final(outcome) => {
                let detail = format!("{entity}: {outcome:?}");
                fleet.history.record_violation(NOTHING_LOST, detail);
            }
            _ => {}
        }
        if !observed.idempotent {
            let runs = fleet.plain_run_count(input);
            if runs > 1 {
                let detail = format!("{entity} ran {runs} times");
                fleet.history.record_violation(AT_MOST_ONCE, detail);
            }
        }
    }
    let Some(cancelled) = observed.cancelled_at else {
        return;
    };
    let late = fleet
        .history
        .observations()
        .starts
        .iter()
        .find_map(|start| {
            let late = start.started_at > cancelled + CANCEL_LIMIT
                && observed.inputs.contains(&start.input);
            late.then(|| start.clone())
        });
    if let Some(start) = late {
        let since = start
            .started_at
            .saturating_sub(CANCEL_LIMIT + CATCH_UP_TIME);
        if !fleet
            .history
            .may_lag(&start.host.name, since, start.started_at)
        {
            let detail = format!("{}, cancelled at {cancelled:?}: {start:?}", observed.name);
            fleet.history.record_violation(CANCEL_STOPS, detail);
        }
    }
}

fn check_leaving(fleet: &TrialFleet) {
    let (starts, leaving) = {
        let observations = fleet.history.observations();
        (observations.starts.clone(), observations.leaving.clone())
    };
    for start in starts {
        let late = leaving.iter().find(|period| {
            period.address == start.address
                && start.started_at > period.from + LEAVING_LIMIT
                && period.until.is_none_or(|until| start.started_at < until)
        });
        let since = start
            .started_at
            .saturating_sub(LEAVING_LIMIT + CATCH_UP_TIME);
        if let Some(period) = late
            && !fleet
                .history
                .may_lag(&start.host.name, since, start.started_at)
        {
            let detail = format!("leaving since {:?}: {start:?}", period.from);
            fleet.history.record_violation(LEAVING_RESTS, detail);
        }
    }
}

fn check_config(fleet: &TrialFleet) {
    let changes = fleet.history.observations().changes.clone();
    for (at, change) in changes.iter().enumerate() {
        let same = |other: &&crate::history::AcceptedChange| {
            other.name == change.name && other.version == change.version
        };
        if changes[..at].iter().any(|other| same(&other)) {
            let detail = format!("{} v{} is given twice", change.name, change.version);
            fleet.history.record_violation(CONFIG_STANDS, detail);
        }
        for host in fleet.joined() {
            let view = host.node.fleet().view();
            let entry = view.config.get(&change.name);
            let version = entry.map_or(0, |entry| entry.version);
            let body = change.body.to_string();
            let kept = entry.is_some_and(|entry| *entry.change.body == *body);
            if version < change.version || (version == change.version && !kept) {
                let detail = format!("{} v{} at {}", change.name, change.version, host.identity);
                fleet.history.record_violation(CONFIG_STANDS, detail);
            }
        }
    }
}

async fn check_agreement(fleet: &TrialFleet) {
    // Only claim renewals are still written, so after a short wait all hosts have read everything else.
    tokio::time::sleep(SETTLE_POLL_INTERVAL * 4).await;
    let hosts = fleet.joined();
    let Some(first) = hosts.first() else { return };
    for host in &hosts[1..] {
        let replicas = first.node.shards().replicas().iter();
        for (one, other) in replicas.zip(host.node.shards().replicas()) {
            if one.status().borrow().next != other.status().borrow().next {
                continue;
            }
            let expires = one.status().borrow().retention < SHORT_RETENTION;
            let (one, other) = (one.state(), other.state());
            for (one, other) in one.shards().iter().zip(other.shards()) {
                let same = if expires {
                    same_visible_state(one, other)
                } else {
                    same_state(one, other)
                };
                if !same {
                    let detail = format!(
                        "shard {} at {} and {}: {}",
                        one.shard(),
                        first.identity,
                        host.identity,
                        differences(one, other)
                    );
                    fleet.history.record_violation(STATES_AGREE, detail);
                }
            }
        }
    }
}

/// Names the entities of which two replays of one shard have different states, and these states.
fn differences(one: &ShardState, other: &ShardState) -> String {
    let mut found = Vec::new();
    if one.epoch() != other.epoch() || one.owner() != other.owner() {
        let owner = |state: &ShardState| format!("{:?} of {:?}", state.epoch(), state.owner());
        found.push(format!("owner {} and {}", owner(one), owner(other)));
    }
    let mut keys: Vec<_> = one
        .keys()
        .chain(other.keys())
        .map(|(name, _)| name)
        .collect();
    keys.sort_unstable();
    keys.dedup();
    for name in keys {
        let (left, right) = (one.key(name), other.key(name));
        if left != right {
            found.push(format!("{name}: {left:?} and {right:?}"));
        }
    }
    let mut jobs: Vec<_> = one
        .jobs()
        .chain(other.jobs())
        .map(|(name, _)| name)
        .collect();
    jobs.sort_unstable();
    jobs.dedup();
    for name in jobs {
        let (left, right) = (one.job(name), other.job(name));
        if left != right {
            let states = |job: Option<&JobEntry>| job.map(JobEntry::states).map(<[_]>::to_vec);
            found.push(format!(
                "{name}: {:?} and {:?}",
                states(left),
                states(right)
            ));
        }
    }
    found.join("; ")
}

/// Returns whether two replays of one shard are equal.
#[must_use]
pub fn same_state(one: &ShardState, other: &ShardState) -> bool {
    let keys = one.keys().count() == other.keys().count()
        && one
            .keys()
            .all(|(name, entry)| other.key(name) == Some(entry));
    let jobs = one.jobs().count() == other.jobs().count()
        && one
            .jobs()
            .all(|(name, entry)| other.job(name) == Some(entry));
    keys && jobs && one.epoch() == other.epoch() && one.owner() == other.owner()
}

/// Returns whether two replays of one shard are equal as far as readers can observe. If records have
/// expired, hosts may reach the same offset from different records; result numbers and digests then differ.
#[must_use]
pub fn same_visible_state(one: &ShardState, other: &ShardState) -> bool {
    let same_job = |one: &JobEntry, other: &JobEntry| {
        let items = 0..u32::try_from(one.states().len()).unwrap_or(u32::MAX);
        one.states() == other.states()
            && one.is_cancelled() == other.is_cancelled()
            && items
                .into_iter()
                .all(|item| one.result_of(item) == other.result_of(item))
    };
    let keys = one.keys().count() == other.keys().count()
        && one
            .keys()
            .all(|(name, entry)| other.key(name) == Some(entry));
    let jobs = one.jobs().count() == other.jobs().count()
        && one
            .jobs()
            .all(|(name, job)| other.job(name).is_some_and(|found| same_job(job, found)));
    keys && jobs && one.epoch() == other.epoch() && one.owner() == other.owner()
}
