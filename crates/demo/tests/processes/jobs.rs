//! Resubmission of a job under the same id.

use crate::support::{TestFleet, client_of, start_fleet};
use fulmarswitch_caller::client::CallerError;
use fulmarswitch_caller::wire::{ErrorKind, JobCall};
use fulmarswitch_demo::batch::make_job;
use futures::stream;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Difference between the first and the second submission.
#[derive(Clone, Copy)]
enum JobChange {
    Nothing,
    DueTime,
    OneItem,
    ItemOrder,
    ItemCount,
    Tokens,
}

#[rstest]
#[case::as_it_was(JobChange::Nothing, None)]
#[case::with_another_due_time(JobChange::DueTime, None)]
#[case::with_another_item(JobChange::OneItem, Some(ErrorKind::Conflict))]
#[case::with_items_in_another_order(JobChange::ItemOrder, Some(ErrorKind::Conflict))]
#[case::with_an_item_more(JobChange::ItemCount, Some(ErrorKind::Conflict))]
#[case::with_more_tokens(JobChange::Tokens, Some(ErrorKind::Conflict))]
#[tokio::test(flavor = "multi_thread")]
async fn a_resubmitted_job_conflicts_if_its_items_or_tokens_differ(
    #[case] change: JobChange,
    #[case] refused: Option<ErrorKind>,
) {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let mut call = make_job("again", Duration::from_mins(1));
    let mut items: Vec<Arc<str>> = (0..300).map(|item| format!("log {item}").into()).collect();
    let caller = client_of(&mut fleet, "a");
    let first = caller.submit(&call, stream::iter(items.clone()));
    assert_eq!(first.await.expect("the job is new").total, 300);
    apply_change(change, &mut call, &mut items);
    let caller = client_of(&mut fleet, "b");
    let again = caller.submit(&call, stream::iter(items));
    match (again.await, refused) {
        (Ok(reply), None) => assert_eq!(reply.total, 300),
        (Err(CallerError::Refused { reply }), Some(kind)) => assert_eq!(reply.kind, kind),
        (other, _) => panic!("got {other:?}, expected refusal {refused:?}"),
    }
}

fn apply_change(change: JobChange, call: &mut JobCall, items: &mut Vec<Arc<str>>) {
    match change {
        JobChange::Nothing => {}
        JobChange::DueTime => call.due_ms += 5_000,
        JobChange::OneItem => items[1] = "other".into(),
        JobChange::ItemOrder => items.reverse(),
        JobChange::ItemCount => items.push("more".into()),
        JobChange::Tokens => call.max_tokens += 1,
    }
}
