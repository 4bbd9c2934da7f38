//! Simulation of one run.

use crate::model::{
    ARRIVALS_PER_SECOND, Attempt, AttemptPhase, Counts, DEADLINE, END, ENDPOINT_SLOTS, ENDPOINTS,
    Endpoint, Event, FAULT_AT, FAULT_END, FAULTY, FIRST_TOKEN_TARGET, Fault, GAP_TOKENS,
    MAX_REFUSALS, OWNERS, Owner, PREFILL, PREFIXES, Policy, QUEUE_LIMIT, Request, TOKEN_GAP,
};
use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use fulmarswitch_decide::retry::{FailedAttempt, RetryBudget, RetryDecision};
use fulmarswitch_decide::suspicion::{AttemptSignal, ServiceHealth, TrustChange};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// State of the simulation.
pub struct World {
    rng: SmallRng,
    fault: Fault,
    policy: Policy,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    table: EndpointTable,
    endpoints: Vec<Endpoint>,
    owners: Vec<Owner>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    counts: Counts,
}

impl World {
    pub fn new(fault: Fault, policy: Policy, seed: u64) -> Self {
        let spec = |index| EndpointSpec {
            name: format!("endpoint-{index}").into(),
            same_domain: index % 3 == 0,
        };
        let owner = |_| Owner {
            loads: vec![EndpointLoad::default(); ENDPOINTS as usize],
            health: ServiceHealth::new(ENDPOINTS as usize),
            budget: RetryBudget::new(Duration::ZERO),
            p95_first_token: Duration::from_millis(500),
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            fault,
            policy,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            table: EndpointTable::new((0..ENDPOINTS).map(spec).collect()),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            owners: (0..OWNERS).map(owner).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            counts: Counts::default(),
        }
    }

    pub fn run(mut self) -> Counts {
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(FAULT_AT, Event::FaultStarts);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::FirstToken(attempt) => self.first_token(attempt),
                Event::Tokens(attempt) => self.more_tokens(attempt),
                Event::Check(attempt) => self.check(attempt),
                Event::Deadline(request) => self.end_request(request, false),
                Event::FaultStarts => self.start_fault(),
            }
        }
        self.counts
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn is_fault_active(&self) -> bool {
        self.now >= FAULT_AT && self.now < FAULT_END
    }

    fn slowness(&self, endpoint: EndpointIndex) -> f64 {
        match self.fault {
            Fault::OneSlow if endpoint == FAULTY && self.is_fault_active() => 5.0,
            Fault::AllSlow(factor) if self.is_fault_active() => factor,
            _ => 1.0,
        }
    }

    fn is_faulty(&self, fault: Fault, endpoint: EndpointIndex) -> bool {
        self.fault == fault && endpoint == FAULTY && self.is_fault_active()
    }

    fn arrive(&mut self) {
        let factor = match self.fault {
            Fault::Overload(factor) if self.is_fault_active() => factor,
            _ => 1.0,
        };
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / (ARRIVALS_PER_SECOND * factor);
        let next = self.now + Duration::from_secs_f64(wait);
        if next < END {
            self.schedule(next, Event::Arrive);
        }
        let request = self.requests.len();
        self.requests.push(Request {
            owner: self.rng.random_range(0..OWNERS),
            prefix: self.rng.random_range(0..PREFIXES),
            tokens: self.rng.random_range(20..100),
            arrived: self.now,
            first_token_at: None,
            finished: false,
            ended: false,
            tried: Vec::new(),
            active: Vec::new(),
            hedged: false,
        });
        self.counts.requests += 1;
        self.schedule(self.now + DEADLINE, Event::Deadline(request));
        self.send(request);
    }

    /// Sends a request to an endpoint that it has not tried yet; ends the request when the gates
    /// refuse.
    fn send(&mut self, request: usize) {
        for _ in 0..MAX_REFUSALS {
            let Some(endpoint) = self.choose(request) else {
                break;
            };
            self.requests[request].tried.push(endpoint);
            if self.is_faulty(Fault::OneLost, endpoint) {
                self.record_signal(request, endpoint, AttemptSignal::Unreached);
                continue;
            }
            let waiting = self.endpoints[endpoint.as_usize()].queue.len();
            self.report_load(request, endpoint);
            if waiting < QUEUE_LIMIT {
                self.start(request, endpoint);
                self.apply_gate_report(request, endpoint);
                return;
            }
        }
        if self.requests[request].active.is_empty() {
            self.end_request(request, false);
        }
    }

    fn choose(&mut self, request: usize) -> Option<EndpointIndex> {
        let request = &self.requests[request];
        let owner = &mut self.owners[request.owner];
        let affinity = RequestAffinity::of_prefix(&request.prefix.to_string());
        let (loads, health) = (&owner.loads, &owner.health);
        let chosen = self.table.choose(affinity, |index| EndpointView {
            load: loads[index.as_usize()].estimate(self.now),
            eligibility: if request.tried.contains(&index) {
                EndpointEligibility::Excluded
            } else if health.is_suspected(index) && !health.probe_due(self.now, index) {
                EndpointEligibility::Suspected
            } else {
                EndpointEligibility::Ready
            },
        })?;
        owner.health.record_probe(self.now, chosen);
        Some(chosen)
    }

    fn report_load(&mut self, request: usize, endpoint: EndpointIndex) {
        let gate = &self.endpoints[endpoint.as_usize()];
        let held = u32::try_from(gate.running + gate.queue.len()).unwrap_or(u32::MAX);
        let share = LoadShare { held, limit: 16 };
        let owner = &mut self.owners[self.requests[request].owner];
        owner.loads[endpoint.as_usize()].record_report(self.now, share);
    }

    /// Passes the suspicion of the gate's host on to the owner.
    fn apply_gate_report(&mut self, request: usize, endpoint: EndpointIndex) {
        let gate_host = &self.owners[endpoint.as_usize()];
        if self.policy != Policy::Reports || !gate_host.health.is_suspected(endpoint) {
            return;
        }
        self.record_signal(request, endpoint, AttemptSignal::Reported);
    }

    fn start(&mut self, request: usize, endpoint: EndpointIndex) {
        let owner = &self.owners[self.requests[request].owner];
        let probe = owner.health.is_suspected(endpoint);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            endpoint,
            sent: self.now,
            tokens: 0,
            phase: AttemptPhase::Waiting,
            probe,
        });
        self.counts.attempts += 1;
        self.requests[request].active.push(attempt);
        let owner = &mut self.owners[self.requests[request].owner];
        owner.loads[endpoint.as_usize()].record_sent();
        let timeout = match self.policy {
            Policy::Hedge => Some(owner.p95_first_token),
            _ => owner.health.first_token_timeout(),
        };
        if let Some(timeout) = timeout {
            self.schedule(self.now + timeout, Event::Check(attempt));
        }
        self.endpoints[endpoint.as_usize()].queue.push_back(attempt);
        self.fill_slots(endpoint);
    }

    fn fill_slots(&mut self, endpoint: EndpointIndex) {
        while self.endpoints[endpoint.as_usize()].running < ENDPOINT_SLOTS {
            let Some(attempt) = self.endpoints[endpoint.as_usize()].queue.pop_front() else {
                return;
            };
            self.endpoints[endpoint.as_usize()].running += 1;
            self.attempts[attempt].phase = AttemptPhase::Running;
            let spread = -(1.0 - self.rng.random::<f64>()).ln() * 0.010;
            let time = (PREFILL + Duration::from_secs_f64(spread)).mul_f64(self.slowness(endpoint));
            self.schedule(self.now + time, Event::FirstToken(attempt));
        }
    }

    fn first_token(&mut self, attempt: usize) {
        let Some((request, _)) = self.active_attempt(attempt) else {
            return;
        };
        let time = self.now.saturating_sub(self.attempts[attempt].sent);
        self.attempts[attempt].phase = AttemptPhase::Streaming;
        self.record_tokens(attempt, AttemptSignal::FirstToken(time));
        let owner = &mut self.owners[self.requests[request].owner];
        let step = owner.p95_first_token / 100;
        owner.p95_first_token = if time > owner.p95_first_token {
            owner.p95_first_token + step * 19
        } else {
            owner.p95_first_token.saturating_sub(step)
        };
        if self.attempts[attempt].is_over() {
            return;
        }
        if self.requests[request].first_token_at.is_none() {
            self.requests[request].first_token_at = Some(self.now);
        }
        let others: Vec<usize> = self.requests[request].active.clone();
        for other in others.into_iter().filter(|other| *other != attempt) {
            self.cancel(other);
        }
        self.schedule_tokens(attempt);
    }

    fn schedule_tokens(&mut self, attempt: usize) {
        let slowness = self.slowness(self.attempts[attempt].endpoint);
        let time = (TOKEN_GAP * GAP_TOKENS).mul_f64(slowness);
        self.schedule(self.now + time, Event::Tokens(attempt));
    }

    fn more_tokens(&mut self, attempt: usize) {
        let Some((request, endpoint)) = self.active_attempt(attempt) else {
            return;
        };
        let gap = TOKEN_GAP.mul_f64(self.slowness(endpoint));
        self.attempts[attempt].tokens += GAP_TOKENS;
        self.record_tokens(attempt, AttemptSignal::TokenGap(gap));
        if self.attempts[attempt].is_over() {
            return;
        }
        if self.attempts[attempt].tokens < self.requests[request].tokens {
            self.schedule_tokens(attempt);
            return;
        }
        let owner = &mut self.owners[self.requests[request].owner];
        owner.budget.record_success();
        self.end_request(request, true);
    }

    /// Returns the request and endpoint of an attempt that its endpoint is still working on.
    fn active_attempt(&self, attempt: usize) -> Option<(usize, EndpointIndex)> {
        let current = &self.attempts[attempt];
        let frozen = self.is_faulty(Fault::OneFrozen, current.endpoint);
        (!current.is_over() && !frozen).then_some((current.request, current.endpoint))
    }

    fn check(&mut self, attempt: usize) {
        let current = &self.attempts[attempt];
        if matches!(current.phase, AttemptPhase::Streaming | AttemptPhase::Over) {
            return;
        }
        let (request, endpoint) = (current.request, current.endpoint);
        if self.policy == Policy::Hedge {
            if !self.requests[request].hedged && self.may_retry(request) {
                self.requests[request].hedged = true;
                self.send(request);
            }
            return;
        }
        self.record_signal(request, endpoint, AttemptSignal::Overdue);
        let retries = matches!(
            self.policy,
            Policy::Overdue | Policy::Move | Policy::Reports
        );
        if retries && !self.attempts[attempt].is_over() {
            self.move_attempt(attempt);
        }
    }

    fn move_attempt(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        if self.may_retry(request) {
            self.cancel(attempt);
            self.send(request);
        }
    }

    fn may_retry(&mut self, request: usize) -> bool {
        let request = &self.requests[request];
        let owner = &mut self.owners[request.owner];
        let elapsed = self.now.saturating_sub(request.arrived);
        let failed_attempt = FailedAttempt {
            idempotent: true,
            may_have_run: true,
            time_left: DEADLINE.saturating_sub(elapsed),
            time_needed: owner.health.median_first_token().unwrap_or(PREFILL),
        };
        owner.budget.decide(self.now, failed_attempt) == RetryDecision::Retry
    }

    fn record_signal(&mut self, request: usize, endpoint: EndpointIndex, signal: AttemptSignal) {
        let owner_index = self.requests[request].owner;
        if self.policy == Policy::Reports && signal != AttemptSignal::Reported {
            let gate_host = &mut self.owners[endpoint.as_usize()].health;
            let change = gate_host.record_observed(self.now, endpoint, signal);
            self.record_change(endpoint.as_usize(), change);
        }
        let change = self.owners[owner_index]
            .health
            .record_attempt(self.now, endpoint, signal);
        self.record_change(owner_index, change);
    }

    /// Records a signal about tokens. A probe that shows the endpoint to be slow is moved to
    /// another endpoint.
    fn record_tokens(&mut self, attempt: usize, signal: AttemptSignal) {
        let current = &self.attempts[attempt];
        let (request, endpoint, probe) = (current.request, current.endpoint, current.probe);
        let owner = &self.owners[self.requests[request].owner];
        let failed = probe && owner.health.is_adverse(signal);
        self.record_signal(request, endpoint, signal);
        if failed && self.policy == Policy::Reports && !self.attempts[attempt].is_over() {
            self.move_attempt(attempt);
        }
    }

    fn record_change(&mut self, owner_index: usize, change: Option<TrustChange>) {
        let Some(TrustChange::Suspected(endpoint)) = change else {
            return;
        };
        let one_faulty = matches!(
            self.fault,
            Fault::OneSlow | Fault::OneLost | Fault::OneFrozen
        );
        if one_faulty && endpoint == FAULTY && self.is_fault_active() {
            let elapsed = self.now.saturating_sub(FAULT_AT);
            self.counts.detection_times.push(elapsed);
            self.counts.first_detection_time.get_or_insert(elapsed);
        } else {
            self.counts.wrong_suspicions += 1;
        }
        if matches!(self.policy, Policy::Move | Policy::Reports) {
            let affected: Vec<usize> = (0..self.attempts.len())
                .filter(|index| {
                    let current = &self.attempts[*index];
                    let own = self.requests[current.request].owner == owner_index;
                    !current.is_over() && current.endpoint == endpoint && own
                })
                .collect();
            for attempt in affected {
                self.move_attempt(attempt);
            }
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let current = &mut self.attempts[attempt];
        let phase = std::mem::replace(&mut current.phase, AttemptPhase::Over);
        if phase == AttemptPhase::Over {
            return;
        }
        let running = phase != AttemptPhase::Waiting;
        let (request, endpoint) = (current.request, current.endpoint);
        self.requests[request]
            .active
            .retain(|index| *index != attempt);
        let owner = &mut self.owners[self.requests[request].owner];
        owner.loads[endpoint.as_usize()].record_end();
        let gate = &mut self.endpoints[endpoint.as_usize()];
        gate.queue.retain(|index| *index != attempt);
        gate.running -= usize::from(running);
        self.fill_slots(endpoint);
    }

    fn end_request(&mut self, request: usize, finished: bool) {
        if std::mem::replace(&mut self.requests[request].ended, true) {
            return;
        }
        self.requests[request].finished = finished;
        for attempt in self.requests[request].active.clone() {
            self.cancel(attempt);
        }
        let current = &self.requests[request];
        let first = current
            .first_token_at
            .map(|first| first.saturating_sub(current.arrived));
        self.counts.failed += u32::from(!finished);
        let within_target = first.is_some_and(|first| first <= FIRST_TOKEN_TARGET);
        self.counts.within_target += u32::from(finished && within_target);
        self.counts
            .first_token_times
            .push(first.unwrap_or(DEADLINE));
    }

    fn start_fault(&mut self) {
        if self.fault != Fault::OneLost {
            return;
        }
        let interrupted: Vec<usize> = (0..self.attempts.len())
            .filter(|index| {
                !self.attempts[*index].is_over() && self.attempts[*index].endpoint == FAULTY
            })
            .collect();
        for attempt in interrupted {
            let request = self.attempts[attempt].request;
            self.record_signal(request, FAULTY, AttemptSignal::Broken);
            if self.policy != Policy::Nothing && !self.attempts[attempt].is_over() {
                self.move_attempt(attempt);
            }
            if !self.attempts[attempt].is_over() {
                self.end_request(request, false);
            }
        }
    }
}
