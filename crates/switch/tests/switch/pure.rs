//! Decision logic without I/O: routes, endpoints, members, affinity, the ledger, events and records.

use crate::support::{LIMITS, listed, route};
use fulmarswitch_switch::affinity::compute_affinity;
use fulmarswitch_switch::backend::LogEntry;
use fulmarswitch_switch::endpoint::{EndpointTable, ListedEndpoint};
use fulmarswitch_switch::events::EventParser;
use fulmarswitch_switch::ledger::{JobLedger, LedgerChange};
use fulmarswitch_switch::members::{HostDescriptor, MemberChange, MemberTable};
use fulmarswitch_switch::origins::VersionKey;
use fulmarswitch_switch::progress::{ItemProgress, ProgressSegment, SegmentChain};
use fulmarswitch_switch::record::{
    AcceptedItem, AcceptedJob, ItemOutcome, JobRecord, RecordNumberGenerator, RecordReader,
    TextLocation,
};
use fulmarswitch_switch::route::{RouteKind, RouteTable};
use fulmarswitch_switch::schedule::{ItemHistories, ItemName, ItemTimes, RunnableItem, sort_items};
use fulmarswitch_switch::workspace::CallerScope;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

#[rstest]
#[case::a_prefix("host", "/safe/a/b", Some("/safe/"))]
#[case::the_longest_prefix("host", "/jobs/inner/a", Some("/jobs/inner/"))]
#[case::the_shorter_of_two("host", "/jobs/a", Some("/jobs/"))]
#[case::no_prefix("host", "/none/a", None)]
#[case::part_of_a_path_segment("host", "/saf", None)]
#[case::another_host("other", "/safe/a", None)]
fn route_of_a_path(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let list = vec![
        route("/safe/", RouteKind::Safe, false),
        route("/jobs/", RouteKind::Batch, true),
        route("/jobs/inner/", RouteKind::Safe, false),
    ];
    let table = RouteTable::new(1, LIMITS, list);
    let found = table.find(host, path).map(|route| &*route.path_prefix);
    assert_eq!(found, expected);
}

#[rstest]
#[case::the_first(0.0, "a")]
#[case::the_end_of_the_first(0.89, "a")]
#[case::the_second(0.91, "b")]
#[case::the_end(1.0, "b")]
fn shares_of_a_route(#[case] draw: f64, #[case] expected: &str) {
    let mut route = route("/safe/", RouteKind::Safe, false);
    let share = |service: &str, weight| fulmarswitch_switch::route::ServiceShare {
        service: service.into(),
        weight,
    };
    route.shares = vec![share("a", 90), share("b", 10)];
    assert_eq!(&**route.pick_service(draw).unwrap(), expected);
}

/// Listings expire while the log is unavailable, since live endpoints cannot renew them. Their removal is deferred.
#[rstest]
#[case::without_an_outage(false, 0, 0)]
#[case::expired_in_an_outage(true, 500, 1)]
#[case::not_relisted_after_it(true, 2500, 0)]
#[tokio::test(start_paused = true)]
async fn removed_endpoint(#[case] outage: bool, #[case] later_ms: u32, #[case] expected: usize) {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.set(listed("e", 4, false));
    if outage {
        table.mark_log_unavailable();
        table.record_read(1, now);
    }
    table.remove("e", 0, now);
    let later = now + MS * later_ms;
    assert_eq!(table.serving("service", later).count(), expected);
    table.expire(later);
    assert_eq!(table.len(), expected);
}

/// Guards against holding a removal back that another host confirms. A host that lost the log reads one at offset 4.
#[rstest]
#[case::not_confirmed(&[], 1)]
#[case::confirmed_up_to_an_earlier_offset(&[4], 1)]
#[case::confirmed(&[5], 0)]
#[case::confirmed_by_one_of_two(&[0, 5, 3], 0)]
#[tokio::test(start_paused = true)]
async fn removal_read_after_an_outage(
    #[case] confirmed: &[u64],
    #[case] expected: usize,
    #[values(true, false)] confirmed_before_the_read: bool,
) {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.set(listed("e", 4, false));
    let confirm = |table: &mut EndpointTable| {
        for offset in confirmed {
            table.confirm_removals(*offset, now);
        }
    };
    table.mark_log_unavailable();
    if confirmed_before_the_read {
        confirm(&mut table);
    }
    table.record_read(5, now);
    table.remove("e", 4, now);
    if !confirmed_before_the_read {
        confirm(&mut table);
    }
    assert_eq!(table.serving("service", now).count(), expected);
}

/// Guards against confirming an expiry: only a host that would have noticed an outage of the log confirms removals.
#[rstest]
#[case::before_the_first_read(&[], 0)]
#[case::shortly_after_its_start(&[0, 500, 1000], 0)]
#[case::with_regular_reads(&[0, 500, 1000, 1500, 2000, 2500], 7)]
#[case::shortly_after_a_pause(&[0, 500, 4500, 5000], 0)]
#[case::some_time_after_a_pause(&[0, 500, 4500, 5000, 6000, 7000], 7)]
#[tokio::test(start_paused = true)]
async fn removals_that_a_host_confirms(#[case] reads_ms: &[u32], #[case] expected: u64) {
    let start = Instant::now();
    let mut table = EndpointTable::default();
    for read_ms in reads_ms {
        table.record_read(7, start + MS * *read_ms);
    }
    let last_ms = reads_ms.last().copied().unwrap_or_default();
    assert_eq!(table.confirmable_until(start + MS * last_ms), expected);
    table.mark_log_unavailable();
    assert_eq!(table.confirmable_until(start + MS * last_ms), 0);
}

#[tokio::test(start_paused = true)]
async fn relisted_endpoint_stays() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.set(listed("e", 4, false));
    table.mark_log_unavailable();
    table.record_read(1, now);
    table.replace(Vec::new(), 1, now);
    table.set(listed("e", 4, false));
    table.expire(now + MS * 5000);
    assert_eq!(table.len(), 1);
}

#[test]
fn draining_endpoint_is_not_serving() {
    let mut table = EndpointTable::default();
    table.set(listed("e", 4, true));
    assert_eq!(table.serving("service", Instant::now()).count(), 0);
    assert!(!table.is_empty());
}

fn descriptor(name: &str, incarnation: u64) -> HostDescriptor {
    HostDescriptor {
        name: name.into(),
        incarnation,
        peer_address: ([127, 0, 0, 1], 1).into(),
        caller_address: ([127, 0, 0, 1], 2).into(),
        domain: "domain".into(),
    }
}

#[tokio::test(start_paused = true)]
async fn member_changes_follow_heartbeats() {
    let now = Instant::now();
    let mut members = MemberTable::default();
    assert_eq!(
        members.record_heartbeat(descriptor("b", 2), true, now),
        MemberChange::Joined
    );
    assert_eq!(
        members.record_heartbeat(descriptor("b", 2), true, now),
        MemberChange::Same
    );
    assert_eq!(
        members.record_heartbeat(descriptor("b", 1), false, now),
        MemberChange::Same
    );
    assert!(members.is_available("b", now));
    let later = now + MS * 1050;
    assert!(!members.is_available("b", later));
    members.update_timeout(later, MS * 100);
    assert_eq!(members.all().count(), 1, "lost hosts stay known for a time");
    assert_eq!(
        members.record_heartbeat(descriptor("b", 2), true, later),
        MemberChange::Joined
    );
    assert_eq!(
        members.record_heartbeat(descriptor("b", 3), true, later),
        MemberChange::Restarted
    );
    assert_eq!(
        members.record_heartbeat(descriptor("b", 3), false, later),
        MemberChange::Readiness
    );
    members.update_timeout(later + MS * 40_000, MS * 100);
    assert_eq!(members.all().count(), 0);
}

/// After all hosts have lost power together, batch items must not wait for hosts that have already been heard.
#[tokio::test(start_paused = true)]
async fn starting_host_waits_only_for_hosts_that_it_has_not_heard() {
    let now = Instant::now();
    let mut members = MemberTable::default();
    assert!(
        !members.knows_live_hosts(MS * 100),
        "the log is not read yet"
    );
    members.add_host(descriptor("b", 1), now);
    members.add_host(descriptor("c", 1), now);
    members.record_heartbeat(descriptor("b", 1), true, now);
    assert!(
        !members.knows_live_hosts(MS * 200),
        "c may be running items"
    );
    assert!(
        members.knows_live_hosts(MS * 1300),
        "c would be lost by now"
    );
    members.record_heartbeat(descriptor("c", 1), true, now);
    assert!(members.knows_live_hosts(MS * 200));
    members.add_host(descriptor("c", 2), now);
    assert!(!members.knows_live_hosts(MS * 200), "c has restarted");
}

#[tokio::test(start_paused = true)]
async fn every_item_is_assigned_to_one_host() {
    let now = Instant::now();
    let names = ["a", "b", "c", "d"];
    let mut assignments = Vec::new();
    for own in names {
        let mut members = MemberTable::default();
        for name in names.iter().filter(|name| **name != own) {
            members.record_heartbeat(descriptor(name, 1), true, now);
        }
        let is_assigned: Vec<bool> = (0..100)
            .map(|item| members.assigned_host(&name("j", item), own, now) == own)
            .collect();
        assignments.push(is_assigned);
    }
    for job in 0..100 {
        let count = assignments
            .iter()
            .filter(|is_assigned| is_assigned[job])
            .count();
        assert_eq!(count, 1, "job {job}");
    }
    for is_assigned in assignments {
        assert!(
            is_assigned
                .iter()
                .filter(|is_assigned| **is_assigned)
                .count()
                > 10
        );
    }
}

/// Hosts that briefly disagree on the membership both start an item; exactly one of them continues.
#[tokio::test(start_paused = true)]
async fn one_of_two_hosts_with_the_same_claim_keeps_it() {
    let now = Instant::now();
    let item = name("j", 0).key();
    let yields = |own: &str, other: &str, own_claims: &[_]| {
        let mut members = MemberTable::default();
        members.record_heartbeat(descriptor(other, 1), true, now);
        members.set_claims(other, vec![item]);
        members.claimed_by_others(own, own_claims, now) == [item]
    };
    assert!(yields("b", "a", &[item]));
    assert!(!yields("a", "b", &[item]));
    assert!(yields("a", "b", &[]));
}

fn endpoint_in(domain: usize, index: usize) -> Arc<ListedEndpoint> {
    let mut endpoint = listed(&format!("e{domain}-{index}"), 4, false);
    endpoint.domain = format!("d{domain}").into();
    Arc::new(endpoint)
}

/// Every endpoint is preferred by some host, the load is even, and preferred endpoints are in the host's own domain.
#[rstest]
#[case::more_endpoints_than_hosts(3, 3, 4)]
#[case::as_many_endpoints_as_hosts(3, 4, 4)]
#[case::more_hosts_than_endpoints(3, 21, 4)]
#[case::one_host(1, 1, 9)]
fn preferred_endpoints_cover_all(
    #[case] domains: usize,
    #[case] hosts: usize,
    #[case] endpoints: usize,
) {
    let names: Vec<(Arc<str>, Arc<str>)> = (0..domains * hosts)
        .map(|index| {
            (
                format!("h{index}").into(),
                format!("d{}", index % domains).into(),
            )
        })
        .collect();
    let listed: Vec<_> = (0..domains * endpoints)
        .map(|index| endpoint_in(index % domains, index / domains))
        .collect();
    let mut covered = vec![0; listed.len()];
    for (name, domain) in &names {
        let affinity = compute_affinity(name, &names, &listed);
        assert!(!affinity.endpoints.is_empty());
        // Its own range, and one shared endpoint on each side.
        assert!(affinity.endpoints.len() <= endpoints.div_ceil(hosts) + 1 + 2);
        for endpoint_id in &affinity.endpoints {
            let index = listed
                .iter()
                .position(|endpoint| endpoint.id == *endpoint_id)
                .unwrap();
            assert_eq!(listed[index].domain, *domain);
            covered[index] += 1;
        }
    }
    let (least, most) = (covered.iter().min().unwrap(), covered.iter().max().unwrap());
    assert!(*least >= 1 && most - least <= 2, "{covered:?}");
}

fn accepted(job: &str, items: u32) -> JobRecord {
    let item = |index: u32| AcceptedItem {
        id: format!("i{index}").into(),
        path: "/jobs/x".into(),
        headers: Vec::new(),
        body: vec![7; 100_000].into(),
        tokens: 10,
    };
    JobRecord::Accepted(AcceptedJob {
        job: job.into(),
        host: "host".into(),
        path_prefix: "/jobs/".into(),
        accepted_by: "a".into(),
        accepted_ms: 1000,
        items: (0..items).map(item).collect(),
        workspace: None,
    })
}

fn abandoned(job: &str, item: u32) -> JobRecord {
    JobRecord::Settled {
        job: job.into(),
        item,
        outcome: ItemOutcome::Abandoned,
    }
}

#[test]
fn ledger_ignores_repeated_records() {
    let mut ledger = JobLedger::default();
    assert_eq!(ledger.apply(abandoned("j", 0)), LedgerChange::Repeated);
    assert_eq!(ledger.apply(accepted("j", 3)), LedgerChange::Accepted);
    assert_eq!(ledger.apply(accepted("j", 9)), LedgerChange::Repeated);
    assert_eq!(
        ledger.open_tokens("host", "/jobs/", &CallerScope::Everyone),
        30
    );
    assert_eq!(
        ledger.apply(abandoned("j", 2)),
        LedgerChange::Settled { position: 0 }
    );
    assert_eq!(ledger.apply(abandoned("j", 2)), LedgerChange::Repeated);
    assert_eq!(
        ledger.apply(abandoned("j", 0)),
        LedgerChange::Settled { position: 1 }
    );
    assert_eq!(ledger.apply(abandoned("j", 7)), LedgerChange::Repeated);
    assert_eq!(
        ledger.open_tokens("host", "/jobs/", &CallerScope::Everyone),
        10
    );
    assert_eq!(ledger.open_jobs().count(), 1);
    let cancelled = JobRecord::Cancelled { job: "j".into() };
    assert_eq!(ledger.apply(cancelled.clone()), LedgerChange::Cancelled);
    assert_eq!(ledger.apply(cancelled), LedgerChange::Repeated);
    assert_eq!(ledger.open_jobs().count(), 0);
    assert!(
        ledger
            .remove_expired(1500, Duration::from_secs(1))
            .is_empty()
    );
    assert_eq!(ledger.remove_expired(2500, Duration::from_secs(1)).len(), 1);
}

#[test]
fn open_job_is_not_expired() {
    let mut ledger = JobLedger::default();
    ledger.apply(accepted("j", 1));
    assert!(ledger.remove_expired(u64::MAX, Duration::ZERO).is_empty());
    assert!(ledger.get("j").is_some());
}

#[test]
fn large_record_is_reassembled() {
    let record = accepted("j", 5);
    let mut numbers = RecordNumberGenerator::new("a", 1);
    let frames = record.encode(numbers.next_number()).unwrap();
    assert!(frames.len() > 2);
    assert!(frames.iter().all(|frame| frame.value.len() < 262_144 - 256));
    let mut reader = RecordReader::default();
    let mut records = Vec::new();
    for (offset, record) in frames.into_iter().enumerate() {
        let entry = LogEntry {
            offset: offset as u64,
            record,
        };
        records.extend(reader.push(&entry));
    }
    assert_eq!(records.len(), 1);
    assert_eq!(records.pop().unwrap().unwrap(), record);
}

/// Two hosts that do not hear each other run the same item from its start, and both record a checkpoint at event 100. The
/// second host's next segment begins after event 100 as well, but its run was not resumed there.
#[test]
fn segments_of_two_runs_are_not_joined() {
    let numbers = |host| RecordNumberGenerator::new(host, 1);
    let (mut first, mut second) = (numbers("a"), numbers("b"));
    let segment = |writer: &mut RecordNumberGenerator, after, last_event| ProgressSegment {
        version: version_key("1"),
        after,
        last_event,
        location: TextLocation {
            offset: 0,
            number: writer.next_number(),
            frames: 1,
            bytes: 1,
        },
    };
    let mut chain = SegmentChain::default();
    assert!(chain.push(segment(&mut first, None, 100)));
    assert!(!chain.push(segment(&mut second, None, 100)));
    assert!(!chain.push(segment(&mut second, Some(100), 150)));
    // A third host resumes after the first one's segment.
    assert!(chain.push(segment(&mut numbers("c"), Some(100), 140)));
    assert_eq!(chain.segments().len(), 2);
}

/// Guards against continuing output of which no software version is known.
#[test]
fn checkpoint_without_a_version_is_not_continued() {
    let mut ledger = JobLedger::default();
    ledger.apply(accepted("j", 1));
    let progress = JobRecord::Progress {
        job: "j".into(),
        item: 0,
        after: None,
        last_event: 10,
        location: TextLocation {
            offset: 0,
            number: 1,
            frames: 1,
            bytes: 1,
        },
    };
    assert_eq!(ledger.apply(progress), LedgerChange::Repeated);
    let item = &ledger.get("j").unwrap().items[0];
    assert_eq!(item.checkpoints, SegmentChain::default());
}

/// Guards against joining segments of two software versions after an item started again at another host.
#[test]
fn segments_of_two_versions_are_not_joined() {
    let segment = |version, after, last_event| ProgressSegment {
        version: version_key(version),
        after,
        last_event,
        location: TextLocation {
            offset: 0,
            number: RecordNumberGenerator::new(version, 1).next_number(),
            frames: 1,
            bytes: 1,
        },
    };
    let mut chain = SegmentChain::default();
    assert!(chain.push(segment("1", None, 100)));
    assert!(!chain.push(segment("2", Some(100), 150)));
    assert_eq!(chain.version(), Some(version_key("1")));
    assert!(chain.push(segment("2", None, 50)));
    assert!(!chain.push(segment("1", Some(50), 80)));
    let second = segment("2", Some(50), 90);
    assert!(chain.push(second.clone()));
    assert_eq!(chain.version(), Some(version_key("2")));
    assert_eq!(chain.segments().len(), 2);
    assert_eq!(chain.segments()[1], second);
}

/// Guards against continuing discarded output: an append without a response may add its first segment afterwards.
#[test]
fn late_segment_of_discarded_output_is_ignored() {
    let (mut first, mut second) = (
        RecordNumberGenerator::new("a", 1),
        RecordNumberGenerator::new("b", 1),
    );
    let segment = |writer: &mut RecordNumberGenerator| JobRecord::Checkpoint {
        job: "j".into(),
        item: 0,
        segment: ProgressSegment {
            version: version_key("1"),
            after: None,
            last_event: 100,
            location: TextLocation {
                offset: 0,
                number: writer.next_number(),
                frames: 1,
                bytes: 1,
            },
        },
    };
    let mut ledger = JobLedger::default();
    ledger.apply(accepted("j", 1));
    assert_eq!(ledger.apply(segment(&mut first)), LedgerChange::Progressed);
    let discarded = JobRecord::Discarded {
        job: "j".into(),
        item: 0,
        writer: first.writer(),
    };
    assert_eq!(ledger.apply(discarded), LedgerChange::Discarded);
    assert_eq!(ledger.get("j").unwrap().items[0].checkpoints.segments(), []);
    assert_eq!(ledger.apply(segment(&mut first)), LedgerChange::Repeated);
    assert_eq!(ledger.apply(segment(&mut second)), LedgerChange::Progressed);
}

fn version_key(version: &str) -> VersionKey {
    VersionKey::of("service", version)
}

/// Output is recorded in segments. A segment of another run has different boundaries and is ignored.
#[test]
fn segments_of_one_run_make_its_output() {
    let location = |number| TextLocation {
        offset: 0,
        number,
        frames: 1,
        bytes: 1,
    };
    let mut progress = ItemProgress::new(version_key("1"));
    assert_eq!(progress.delta(), None);
    let mut chain = SegmentChain::default();
    let mut texts = Vec::new();
    for (number, events) in [(1, 1..=3), (2, 4..=4)] {
        for id in events {
            assert!(progress.push_event(id, format!("w{id}").as_bytes()));
        }
        let delta = progress.delta().unwrap();
        progress.mark_recorded(&delta);
        assert_eq!(progress.delta(), None);
        let segment = ProgressSegment {
            version: delta.version,
            after: delta.after,
            last_event: delta.last_event,
            location: location(number),
        };
        assert!(chain.push(segment));
        texts.push(delta.text);
    }
    let other_run = ProgressSegment {
        version: version_key("1"),
        after: Some(3),
        last_event: 9,
        location: location(3),
    };
    assert!(!chain.push(other_run));
    assert!(!progress.push_event(6, b"w6"), "an event ID is skipped");
    let mut continued = ItemProgress::from_segments(chain.segments(), &texts);
    assert_eq!(continued.text(), progress.text());
    assert_eq!((continued.last_event(), continued.delta()), (Some(4), None));
    assert!(continued.push_event(5, b"w5"));
    assert_eq!(continued.delta().unwrap().text, b"w5");
    continued.mark_unknown();
    assert_eq!(
        continued.delta(),
        None,
        "a delta that may be in the log is not written again"
    );
}

#[test]
fn record_numbers_differ_between_incarnations_and_hosts() {
    let mut all = Vec::new();
    for (host, incarnation) in [("a", 1), ("a", 2), ("b", 1)] {
        let mut numbers = RecordNumberGenerator::new(host, incarnation);
        all.extend((0..100).map(|_| numbers.next_number()));
    }
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 300);
}

/// Events are complete regardless of how the stream is chunked.
#[rstest]
#[case::line_feeds("id: 1\ndata: a\ndata: b\n\nid: 2\ndata:c\n\n", &[(Some(1), "a\nb"), (Some(2), "c")])]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", &[(Some(1), "a"), (None, "b")])]
#[case::unknown_field("weights-versions: 4\nid: 9\ndata: x\n\n", &[(Some(9), "x")])]
#[case::incomplete_event("id: 1\ndata: a\n\nid: 2\nda", &[(Some(1), "a")])]
fn events_of_a_stream(#[case] text: &str, #[case] expected: &[(Option<u64>, &str)]) {
    for step in 1..=text.len() {
        let mut parser = EventParser::default();
        let mut events = Vec::new();
        for chunk in text.as_bytes().chunks(step) {
            assert!(parser.push(chunk));
            while let Some(event) = parser.next_event() {
                let data = String::from_utf8(event.data()).unwrap();
                events.push((event.id, data));
            }
        }
        let parsed: Vec<_> = events
            .iter()
            .map(|(id, data)| (*id, data.as_str()))
            .collect();
        assert_eq!(parsed, expected, "in steps of {step}");
        assert_eq!(parser.has_partial_event(), text.ends_with("da"));
    }
}

#[test]
fn incomplete_event_is_held_until_cleared() {
    let mut parser = EventParser::default();
    let chunk = vec![b'x'; 600_000];
    assert!(parser.push(&chunk));
    assert!(parser.next_event().is_none());
    assert!(parser.push(b"x") || parser.has_partial_event());
    parser.clear();
    assert!(!parser.has_partial_event());
}

/// An endpoint that never ends its event must not fill the memory of the host.
#[rstest]
#[case::without_end_of_line(b"x")]
#[case::of_many_lines(b"data: x\n")]
fn event_over_one_mebibyte_is_refused(#[case] line: &[u8]) {
    let mut parser = EventParser::default();
    let chunk = line.repeat(600_000 / line.len());
    assert!(parser.push(&chunk));
    assert!(parser.next_event().is_none());
    assert!(!parser.push(&chunk), "1.2 MB belong to the same event");
}

/// An event over the bound must also be refused if it arrives at once with a shorter one before it.
#[rstest]
#[case::without_its_end("")]
#[case::with_its_end("\n\n")]
fn event_over_one_mebibyte_is_refused_after_a_shorter_one(#[case] end: &str) {
    let mut parser = EventParser::default();
    let large = "x".repeat(2 << 20);
    let chunk = format!("id: 1\ndata: a\n\ndata: {large}{end}");
    assert!(!parser.push(chunk.as_bytes()));
}

/// The parser must not scan an event again for each chunk of it, or small chunks take time quadratic in its size.
#[rstest]
#[case::without_end_of_line(b"x")]
#[case::of_comment_lines(b":\n")]
fn event_over_one_mebibyte_is_refused_in_small_chunks(#[case] chunk: &[u8]) {
    let mut parser = EventParser::default();
    let mut bytes = 0;
    while parser.push(chunk) {
        assert!(parser.next_event().is_none());
        bytes += chunk.len();
    }
    assert_eq!(bytes, 1 << 20);
}

/// The bound applies to one event, not to the bytes of several events that arrive together.
#[test]
fn events_under_one_mebibyte_may_arrive_together() {
    let mut parser = EventParser::default();
    let event = [b"data: ", &*vec![b'x'; 700_000], b"\n\n"].concat();
    let (first, rest) = event.split_at(400_000);
    assert!(parser.push(first));
    assert!(parser.next_event().is_none());
    assert!(parser.push(&[rest, first].concat()));
    assert!(parser.next_event().is_some());
    assert!(parser.push(rest));
    assert!(parser.next_event().is_some());
    assert!(!parser.has_partial_event());
}

fn name(job: &str, item: u32) -> ItemName {
    ItemName {
        job: job.into(),
        item,
    }
}

#[test]
fn items_sort_by_due_time_then_partial_output() {
    let item = |job: &str, due_ms, in_time, started| RunnableItem {
        name: name(job, 0),
        due_ms,
        in_time,
        started,
        claim: None,
        had: 0,
    };
    let mut items = [
        item("late", 2, false, true),
        item("a", 9, true, false),
        item("b", 5, true, false),
        item("c", 5, true, true),
    ];
    sort_items(&mut items);
    let order: Vec<&str> = items.iter().map(|item| &*item.name.job).collect();
    assert_eq!(order, ["c", "b", "a", "late"]);
}

/// Items arrive at 1.25 times the rate at which one slot runs them. Four in ten of those that are due by the end must
/// complete in time, half of what the slot can run; by due time alone nearly all of them end late.
#[test]
fn overload_of_items_completes_some_in_time() {
    const RUN_MS: u64 = 1_000;
    const ARRIVAL_MS: usize = 800;
    const TARGET_MS: u64 = 5_000;
    const END_MS: u64 = 100_000;
    let mut times = ItemTimes::default();
    times.record(100, 100, Duration::from_millis(RUN_MS));
    let arrivals: Vec<u64> = (0..END_MS).step_by(ARRIVAL_MS).collect();
    let mut waiting: Vec<(ItemName, u64)> = Vec::new();
    let mut next = arrivals.iter().enumerate().peekable();
    let mut in_time = 0;
    for now_ms in (0..END_MS).step_by(100) {
        while let Some((index, arrived_ms)) = next.next_if(|(_, arrived)| **arrived <= now_ms) {
            let index = u32::try_from(index).unwrap();
            waiting.push((name("j", index), arrived_ms + TARGET_MS));
        }
        if now_ms % RUN_MS != 0 {
            continue;
        }
        let remaining = u64::try_from(times.remaining(0).as_millis()).unwrap();
        let mut items: Vec<RunnableItem> = waiting
            .iter()
            .map(|(name, due_ms)| RunnableItem {
                name: name.clone(),
                due_ms: *due_ms,
                in_time: now_ms + remaining <= *due_ms,
                started: false,
                claim: None,
                had: 0,
            })
            .collect();
        sort_items(&mut items);
        if let Some(first) = items.first() {
            in_time += usize::from(now_ms + RUN_MS <= first.due_ms);
            waiting.retain(|(name, _)| *name != first.name);
        }
    }
    assert!(
        in_time * 10 >= arrivals.len() * 4,
        "{in_time} of {}",
        arrivals.len()
    );
}

/// Guards against a text of two runs (ORDER): an item began anew twice, and a segment of its first run continues the third by chance.
#[test]
fn segment_of_an_earlier_run_is_not_joined_after_a_switch_back() {
    let [mut first, mut second] = ["a", "b"].map(|host| RecordNumberGenerator::new(host, 1));
    let segment = |version, writer: &mut RecordNumberGenerator, after, last_event| {
        let location = TextLocation {
            offset: 0,
            number: writer.next_number(),
            frames: 1,
            bytes: 1,
        };
        ProgressSegment {
            version: version_key(version),
            after,
            last_event,
            location,
        }
    };
    let mut chain = SegmentChain::default();
    assert!(chain.push(segment("1", &mut first, None, 30)));
    assert!(chain.push(segment("2", &mut second, None, 5)));
    assert!(chain.push(segment("1", &mut second, None, 30)));
    assert!(!chain.push(segment("1", &mut first, Some(30), 40)));
    assert!(chain.push(segment("1", &mut second, Some(30), 40)));
}

/// Guards against items that wait for their version for minutes, or count as late at once, since a run that only showed the end of an output
/// passed as slow.
#[test]
fn run_with_few_events_tells_little_of_the_time_for_an_event() {
    let mut times = ItemTimes::default();
    times.record(200, 1, Duration::from_secs(4));
    assert_eq!(times.redo_time(200), Duration::ZERO);
    times.record(200, 200, Duration::from_secs(4));
    times.record(200, 1, Duration::from_secs(4));
    let redo_time = times.redo_time(200);
    assert!(redo_time < Duration::from_secs(5), "{redo_time:?}");
}

#[tokio::test(start_paused = true)]
async fn failed_item_backs_off_exponentially() {
    let now = Instant::now();
    let mut histories = ItemHistories::default();
    let item = name("j", 0);
    assert!(histories.may_run(&item, now));
    assert_eq!(histories.record_failure(&item, now), 1);
    assert!(!histories.may_run(&item, now + MS * 99));
    assert!(histories.may_run(&item, now + MS * 100));
    assert_eq!(histories.record_failure(&item, now), 2);
    assert!(!histories.may_run(&item, now + MS * 199));
    histories.record_interruption(&item, now);
    histories.remove(&item);
    assert!(histories.may_run(&item, now));
}
