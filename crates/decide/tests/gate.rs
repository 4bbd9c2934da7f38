//! The gate of one endpoint: scripted cases, and its invariants under random events.

use fulmarswitch_decide::gate::{
    EndpointGate, GateAction, GateRequest, GateSettings, RequestClass, TicketId,
    verify::verify_gate,
};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

fn settings(max_concurrent: u32) -> GateSettings {
    GateSettings {
        max_concurrent,
        first_token: Duration::from_millis(520),
        between_tokens: Duration::from_millis(26),
        mixed: true,
    }
}

/// Runs a script with one event per line and returns the actions of the gate, in order.
///
/// Events: `at MS` (sets the clock), `online TICKET DEADLINE_MS`, `batch TICKET`, `once TICKET` (a
/// batch request that may run at most once), `token TICKET`, `end TICKET`, `leave`, `poll`.
fn run_script(max_concurrent: u32, script: &str) -> String {
    let mut gate = EndpointGate::new(settings(max_concurrent));
    let mut now = Duration::ZERO;
    let mut shown = Vec::new();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        let fields: Vec<&str> = line.split(' ').collect();
        let number =
            |position: usize| -> u64 { fields[position].parse().expect("the operand is a number") };
        let ticket = || TicketId(number(1));
        let request = |class, deadline, resumable| GateRequest {
            ticket: ticket(),
            class,
            deadline,
            resumable,
        };
        let far_deadline = Duration::from_hours(1);
        let mut actions = Vec::new();
        match fields[0] {
            "at" => now = Duration::from_millis(number(1)),
            "online" => {
                let deadline = Duration::from_millis(number(2));
                let online = request(RequestClass::Online, deadline, false);
                gate.arrive(now, online, &mut actions);
            }
            "batch" => gate.arrive(
                now,
                request(RequestClass::Batch, far_deadline, true),
                &mut actions,
            ),
            "once" => gate.arrive(
                now,
                request(RequestClass::Batch, far_deadline, false),
                &mut actions,
            ),
            "token" => gate.token(now, ticket(), &mut actions),
            "end" => gate.end(now, ticket(), &mut actions),
            "leave" => gate.set_leaving(true),
            "poll" => gate.poll(now, &mut actions),
            other => panic!("unknown event in the script: {other}"),
        }
        assert_eq!(verify_gate(&gate), vec![], "after {line}");
        shown.extend(actions.iter().map(show));
    }
    shown.join(" ")
}

fn show(action: &GateAction) -> String {
    match action {
        GateAction::Start(ticket) => format!("start{}", ticket.0),
        GateAction::Cancel(ticket) => format!("cancel{}", ticket.0),
        GateAction::Refuse { ticket, .. } => format!("refuse{}", ticket.0),
    }
}

#[rstest]
#[case::online_starts_at_once(4, "online 1 2000", "start1")]
#[case::online_by_deadline(
    1,
    "online 1 2000
     online 2 1900
     online 3 1500
     end 1",
    "start1 start3"
)]
#[case::online_before_batch(
    1,
    "online 1 2000
     batch 2
     online 3 2000
     end 1
     end 3",
    "start1 start3"
)]
#[case::batch_starts_when_online_is_over(
    4,
    "online 1 2000
     end 1
     batch 2
     at 1500
     poll",
    "start1 start2"
)]
#[case::batch_prompts_two_at_a_time(
    8,
    "batch 1
     batch 2
     batch 3
     token 1",
    "start1 start2 start3"
)]
#[case::preemption_takes_fewest_tokens_first(
    3,
    "batch 1
     batch 2
     token 1
     token 2
     batch 3
     token 3
     token 1
     token 2
     online 4 2000",
    "start1 start2 start3 cancel3 start4"
)]
#[case::first_online_request_preempts_many_batch_streams(
    16,
    "batch 1
     token 1
     batch 2
     token 2
     batch 3
     token 3
     batch 4
     token 4
     batch 5
     token 5
     batch 6
     token 6
     online 7 2000",
    "start1 start2 start3 start4 start5 start6 cancel6 cancel5 start7"
)]
#[case::leaving_endpoint_starts_nothing(
    1,
    "online 1 2000
     batch 2
     online 3 2000
     leave
     poll
     end 1
     online 4 2000",
    "start1 refuse3 refuse2 refuse4"
)]
#[case::cancelled_batch_starts_again(
    1,
    "batch 1
     token 1
     online 2 2000
     end 2
     at 1500
     poll",
    "start1 cancel1 start2 start1"
)]
#[case::call_that_may_run_once_is_not_preempted(
    1,
    "once 1
     online 2 2000
     end 1",
    "start1 start2"
)]
#[case::late_request_is_refused_at_once(
    1,
    "online 1 2000
     at 5
     token 1
     at 1000
     end 1
     online 2 3000
     online 3 2000",
    "start1 start2 refuse3"
)]
#[case::waiting_past_the_deadline_is_refused(
    1,
    "online 1 2000
     online 2 900
     at 530
     poll
     at 901
     poll",
    "start1 refuse2"
)]
#[case::admitted_request_may_miss_the_latency_target(
    1,
    "online 1 2000
     online 2 9000
     at 530
     poll
     end 1",
    "start1 start2"
)]
#[case::ended_while_waiting(
    1,
    "online 1 2000
     online 2 2000
     end 2
     end 1",
    "start1"
)]
fn gate_follows_the_script(
    #[case] max_concurrent: u32,
    #[case] script: &str,
    #[case] expected: &str,
) {
    assert_eq!(run_script(max_concurrent, script), expected);
}

/// Event of a random run; the numbers of `Token` and `End` select one of the running requests.
#[derive(Clone, Copy, Debug)]
enum RandomEvent {
    Online(u64),
    Batch(bool),
    Token(usize),
    End(usize),
    Wait(u64),
}

fn random_event() -> impl Strategy<Value = RandomEvent> {
    prop_oneof![
        3 => (100_u64..3_000).prop_map(RandomEvent::Online),
        3 => any::<bool>().prop_map(RandomEvent::Batch),
        8 => any::<usize>().prop_map(RandomEvent::Token),
        3 => any::<usize>().prop_map(RandomEvent::End),
        6 => (1_u64..120).prop_map(RandomEvent::Wait),
    ]
}

/// Model of the requests, which must agree with the gate after each event.
#[derive(Default)]
struct GateModel {
    now: Duration,
    next: u64,
    waiting: Vec<(TicketId, RequestClass)>,
    running: Vec<(TicketId, RequestClass, bool)>,
    run_once: Vec<TicketId>,
}

impl GateModel {
    fn apply(&mut self, actions: &[GateAction]) {
        for action in actions {
            match *action {
                GateAction::Start(ticket) => {
                    let position = self
                        .queued_at(ticket)
                        .expect("only a queued request starts");
                    let (ticket, class) = self.waiting.remove(position);
                    let online_waits =
                        |held: &(TicketId, RequestClass)| held.1 == RequestClass::Online;
                    let before =
                        class == RequestClass::Batch && self.waiting.iter().any(online_waits);
                    assert!(
                        !before,
                        "a batch request starts while online requests are queued"
                    );
                    self.running.push((ticket, class, true));
                }
                GateAction::Cancel(ticket) => {
                    let position = self.running.iter().position(|held| held.0 == ticket);
                    let (ticket, class, _) = self
                        .running
                        .remove(position.expect("only a running request is cancelled"));
                    assert_eq!(
                        class,
                        RequestClass::Batch,
                        "an online request is not cancelled"
                    );
                    assert!(
                        !self.run_once.contains(&ticket),
                        "a call that may run at most once is not cancelled"
                    );
                    self.waiting.push((ticket, class));
                }
                GateAction::Refuse {
                    ticket,
                    retry_after,
                } => {
                    let position = self
                        .queued_at(ticket)
                        .expect("only a queued request is refused");
                    assert_eq!(self.waiting.remove(position).1, RequestClass::Online);
                    assert!(!retry_after.is_zero(), "a refusal names a retry delay");
                }
            }
        }
    }

    fn queued_at(&self, ticket: TicketId) -> Option<usize> {
        self.waiting.iter().position(|held| held.0 == ticket)
    }

    fn arrive(&mut self, class: RequestClass, deadline: Duration, resumable: bool) -> GateRequest {
        let ticket = TicketId(self.next);
        self.next += 1;
        self.waiting.push((ticket, class));
        if !resumable {
            self.run_once.push(ticket);
        }
        GateRequest {
            ticket,
            class,
            deadline,
            resumable,
        }
    }

    fn step(&mut self, gate: &mut EndpointGate, event: RandomEvent) {
        let mut actions = Vec::new();
        match event {
            RandomEvent::Online(wait_ms) => {
                let deadline = self.now + Duration::from_millis(wait_ms);
                let request = self.arrive(RequestClass::Online, deadline, false);
                gate.arrive(self.now, request, &mut actions);
            }
            RandomEvent::Batch(resumable) => {
                let request = self.arrive(RequestClass::Batch, Duration::from_hours(1), resumable);
                gate.arrive(self.now, request, &mut actions);
            }
            RandomEvent::Token(choice) if !self.running.is_empty() => {
                let position = choice % self.running.len();
                gate.token(self.now, self.running[position].0, &mut actions);
            }
            RandomEvent::End(choice) if !self.running.is_empty() => {
                let position = choice % self.running.len();
                let (ticket, ..) = self.running.remove(position);
                gate.end(self.now, ticket, &mut actions);
            }
            RandomEvent::Wait(time) => {
                self.now += Duration::from_millis(time);
                gate.poll(self.now, &mut actions);
            }
            RandomEvent::Token(_) | RandomEvent::End(_) => {}
        }
        self.apply(&actions);
    }
}

proptest! {
    #[test]
    fn gate_keeps_its_invariants(
        max_concurrent in 1_u32..48,
        events in prop::collection::vec(random_event(), 1..400),
    ) {
        let mut gate = EndpointGate::new(settings(max_concurrent));
        let mut model = GateModel::default();
        for event in events {
            model.step(&mut gate, event);
            prop_assert_eq!(verify_gate(&gate), vec![]);
            prop_assert_eq!(gate.held(), model.waiting.len() + model.running.len());
            let batch = model.running.iter().any(|held| held.1 == RequestClass::Batch);
            prop_assert!(!batch || model.running.len() <= max_concurrent as usize);
        }
    }

    #[test]
    fn batch_progresses_without_online_requests(
        max_concurrent in 1_u32..48,
        events in prop::collection::vec(random_event(), 1..200),
    ) {
        let mut gate = EndpointGate::new(settings(max_concurrent));
        let mut model = GateModel::default();
        for event in events {
            model.step(&mut gate, event);
        }
        let online: Vec<TicketId> = model
            .running
            .iter()
            .map(|held| held.0)
            .chain(model.waiting.iter().map(|held| held.0))
            .collect();
        for ticket in online {
            gate.end(model.now, ticket, &mut Vec::new());
        }
        model = GateModel { now: model.now + Duration::from_secs(2), next: model.next, ..GateModel::default() };
        let mut actions = Vec::new();
        gate.poll(model.now, &mut actions);
        prop_assert!(gate.batch_room() > 0);
        let request = model.arrive(RequestClass::Batch, Duration::from_hours(1), true);
        gate.arrive(model.now, request, &mut actions);
        prop_assert_eq!(actions, vec![GateAction::Start(request.ticket)]);
    }
}
