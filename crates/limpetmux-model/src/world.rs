//! The event loop that connects entries and hosts.

use super::arrivals::{draw, gap};
use super::backend::Backend;
use super::entry::{Entry, Pipeline, Request, pipeline};
use super::event::{Attempt, Event};
use super::route::{ZONES, config};
use super::side::{Answer, Answers, Side};
use super::summary::Summary;
use super::{DEADLINE, ENCODER, Fault, LEAD_IN, Policy, Scenario, WRITER};
use limpetmux::core::admission::{Limits, Load, Offer};
use limpetmux::core::config::Config;
use limpetmux::core::keys::{ArenaKey, HostKey};
use limpetmux::core::routing::Ending;
use limpetmux::core::time::Moment;
use limpetmux::core::verdict::RefusalCode;
use limpetmux_test_support::config::name;
use limpetmux_test_support::policy::view;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// One-way latency between an entry and a sidecar.
const LATENCY: Duration = Duration::from_micros(500);
/// Between two reports of a backend server to its sidecar.
const POLL_EVERY: Duration = Duration::from_millis(200);
/// Between two rounds of probes of an entry, and the probes per service in a round.
const PROBE_EVERY: Duration = Duration::from_millis(250);
const PROBES: usize = 2;
/// The time after which a sidecar knows a change of configuration.
const SIDECAR_LEARNS: Duration = Duration::from_millis(500);
/// The first entry knows a change after this time, each further one of ten so much later.
const ENTRY_LEARNS: Duration = Duration::from_millis(200);

pub(super) struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    now: Moment,
    events: BTreeMap<(Moment, u64), Event>,
    scheduled: u64,
    rng: Pcg64Mcg,
    config: Config,
    revision: u64,
    pipeline: Pipeline,
    writers: Vec<HostKey>,
    entries: Vec<Entry>,
    sides: Vec<Side>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    summary: Summary,
    /// Work of writers that completed requests, in seconds at full speed.
    useful_s: f64,
}

impl<'a> World<'a> {
    pub(super) fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let config = config(scenario);
        let first = Rc::new(view(1, &config));
        let Some(pipeline) = pipeline(&first) else { panic!("no pipeline") };
        let entry = |i| match Entry::new(scenario, policy, i, Rc::clone(&first)) {
            Ok(entry) => entry,
            Err(e) => panic!("{e}"),
        };
        let writer = pipeline.services[1].0;
        let end = Moment::ZERO + Duration::from_secs(scenario.seconds);
        let counted = (Moment::ZERO + LEAD_IN, end);
        let span = counted.1.since(counted.0);
        let side = |(_, host): (HostKey, &limpetmux::core::view::HostRow)| {
            let spec = &first.services[host.service].spec;
            let model = if host.service == writer { WRITER } else { ENCODER };
            Side::new(policy, Backend::new(model, counted), Limits::of(spec), spec.price)
        };
        let (name, load) = (policy.name, scenario.load);
        Self {
            scenario,
            policy,
            now: Moment::ZERO,
            events: BTreeMap::new(),
            scheduled: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            writers: first.services[writer].hosts.clone(),
            entries: (0..scenario.entries).map(entry).collect(),
            sides: first.hosts.iter().map(side).collect(),
            config,
            revision: 1,
            pipeline,
            requests: Vec::new(),
            attempts: Vec::new(),
            summary: Summary { policy: name, load, span, ..Summary::default() },
            useful_s: 0.0,
        }
    }

    pub(super) fn run(mut self) -> Summary {
        self.schedule_start();
        let end = Moment::ZERO + Duration::from_secs(self.scenario.seconds) + DEADLINE * 2;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn schedule_start(&mut self) {
        self.after(Duration::ZERO, Event::Arrive);
        for host in 0..self.sides.len() {
            self.after(POLL_EVERY, Event::Poll(host));
        }
        for entry in 0..self.entries.len() {
            self.after(PROBE_EVERY, Event::Probe(entry));
        }
        for fault in &self.scenario.faults {
            self.after(fault.at(), Event::Fault(*fault));
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now + delay, self.scheduled), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer(id, offer) => self.offer(id, offer),
            Event::Tick(host, generation) => {
                if self.sides[host].generation == generation {
                    self.side(host, Side::tick);
                }
            }
            Event::Reply(id, answer, load) => self.reply(id, answer, load),
            Event::Expire(request) => self.expire(request),
            Event::Cancel(id) => {
                let host = self.attempts[id].pick.host.index();
                self.side(host, |side, now| side.cancel(now, id));
            }
            Event::Poll(host) => {
                self.side(host, Side::poll);
                self.after(POLL_EVERY, Event::Poll(host));
            }
            Event::Probe(entry) => self.probe(entry),
            Event::Fault(fault) => self.fault(fault),
            Event::SideLearns(host, serving) => {
                self.side(host, |side, now| side.set_zone(now, serving));
            }
            Event::EntryLearns(entry, view) => self.entries[entry].view = view,
        }
    }

    fn arrive(&mut self) {
        let delay = gap(self.scenario, self.now, &mut self.rng);
        let end = Moment::ZERO + Duration::from_secs(self.scenario.seconds);
        if self.now + delay < end {
            self.after(delay, Event::Arrive);
        }
        let arrival = draw(self.scenario, self.now, &mut self.rng);
        let id = self.requests.len();
        self.requests.push(Request::new(self.now, arrival));
        if self.counts(id) {
            self.summary.arrived += 1;
            self.second_of(id).1 += 1;
            self.summary.by_workspace[arrival.workspace].1 += 1;
        }
        let entry = &mut self.entries[arrival.entry];
        if entry.check(self.now, &self.requests[id], &self.pipeline).is_err() {
            self.refuse(id);
            return;
        }
        self.after(DEADLINE, Event::Expire(id));
        self.begin_stage(id);
    }

    fn begin_stage(&mut self, id: usize) {
        let request = &self.requests[id];
        self.summary.attempts.0 += 1;
        self.entries[request.arrival.entry].fresh(request, &self.pipeline);
        self.send(id);
    }

    fn send(&mut self, id: usize) {
        let request = &self.requests[id];
        let entry = &mut self.entries[request.arrival.entry];
        let Some(pick) = entry.pick(self.now, request, &self.pipeline) else {
            self.refuse(id);
            return;
        };
        let offer = entry.offer(self.now, request, &self.pipeline);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request: id, pick, sent: self.now, open: true });
        self.requests[id].attempt = Some(attempt);
        self.after(LATENCY, Event::Offer(attempt, offer));
    }

    fn offer(&mut self, id: usize, offer: Offer) {
        let attempt = &self.attempts[id];
        let request = &self.requests[attempt.request];
        let work = request.arrival.works[request.stage.min(1)];
        if !attempt.open {
            return;
        }
        let host = attempt.pick.host.index();
        self.side(host, |side, now| side.offer(now, id, offer, work));
    }

    /// Runs one step of a host and sends off its answers.
    fn side(&mut self, host: usize, step: impl FnOnce(&mut Side, Moment) -> Answers) {
        let side = &mut self.sides[host];
        let answers = step(side, self.now);
        let (load, generation, wake) = (side.load(), side.generation, side.wake);
        for (id, answer) in answers {
            self.after(LATENCY, Event::Reply(id, answer, load));
        }
        if let Some(at) = wake {
            let delay = self.now.until(at).max(Duration::from_micros(1));
            self.after(delay, Event::Tick(host, generation));
        }
    }

    fn reply(&mut self, id: usize, answer: Answer, load: Load) {
        let (now, Attempt { request, pick, sent, open }) = (self.now, &self.attempts[id]);
        let (id_request, pick, sent) = (*request, *pick, *sent);
        if !open {
            return;
        }
        let ending = match answer {
            Answer::Done { .. } => Ending::Done,
            Answer::Refused(_) => Ending::Neutral,
            Answer::Failed => Ending::Failed,
        };
        self.close(id, ending);
        let entry = &mut self.entries[self.requests[id_request].arrival.entry];
        entry.finder.router.report(now, pick.slot, load, LATENCY);
        if !self.requests[id_request].open {
            return;
        }
        match answer {
            Answer::Done { queued, work } => {
                self.useful(id_request, work);
                let entry = &mut self.entries[self.requests[id_request].arrival.entry];
                let stage = self.pipeline.stages[self.requests[id_request].stage];
                entry.times.add(now, stage, now.since(sent).saturating_sub(queued));
                self.advance(id_request);
            }
            Answer::Refused(refusal) => {
                let after = refusal.retry_after;
                entry.finder.router.refused(now, pick.slot, refusal.code, after);
                self.retry(id_request, pick.host, refusal.code);
            }
            Answer::Failed => self.retry(id_request, pick.host, RefusalCode::Failed),
        }
    }

    fn advance(&mut self, id: usize) {
        if self.requests[id].advance() {
            self.begin_stage(id);
            return;
        }
        let request = &mut self.requests[id];
        request.open = false;
        let (arrived, workspace) = (request.arrived, request.arrival.workspace);
        if !self.counts(id) {
            return;
        }
        self.summary.completed += 1;
        self.summary.by_workspace[workspace].0 += 1;
        self.second_of(id).0 += 1;
        self.summary.durations.push(self.now.since(arrived));
    }

    /// Counts the work of a writer's call whose result came in time.
    fn useful(&mut self, id: usize, work: f64) {
        let end = Moment::ZERO + Duration::from_secs(self.scenario.seconds);
        let counted = self.now >= Moment::ZERO + LEAD_IN && self.now < end;
        if counted && self.requests[id].stage == 1 {
            self.useful_s += work;
        }
    }

    /// Returns the counts of the second in which a request arrived.
    fn second_of(&mut self, id: usize) -> &mut (u64, u64) {
        let second = (self.requests[id].arrived.as_millis() / 1_000) as usize;
        let rows = &mut self.summary.by_second;
        rows.resize(rows.len().max(second + 1), (0, 0));
        &mut rows[second]
    }

    fn retry(&mut self, id: usize, host: HostKey, code: RefusalCode) {
        *self.summary.refusals.entry(code).or_insert(0) += 1;
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.arrival.entry];
        if entry.may_retry(request, &self.pipeline, host, code) {
            self.summary.attempts.1 += 1;
            self.send(id);
        } else {
            self.refuse(id);
        }
    }

    fn refuse(&mut self, id: usize) {
        self.requests[id].open = false;
        if self.counts(id) {
            self.summary.refused += 1;
        }
    }

    fn expire(&mut self, id: usize) {
        if !self.requests[id].open {
            return;
        }
        self.requests[id].open = false;
        let Some(attempt) = self.requests[id].attempt else { return };
        if self.policy.cancel && self.attempts[attempt].open {
            self.close(attempt, Ending::Neutral);
            self.after(LATENCY, Event::Cancel(attempt));
        }
    }

    fn close(&mut self, id: usize, ending: Ending) {
        let attempt = &mut self.attempts[id];
        attempt.open = false;
        let entry = &mut self.entries[self.requests[attempt.request].arrival.entry];
        entry.finder.ended(attempt.pick.host);
        entry.finder.router.finished(self.now, attempt.pick.slot, ending);
    }

    fn probe(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        for (service, _) in &self.pipeline.services {
            for host in entry.finder.router.probes(self.now, *service, PROBES) {
                let Some(slot) = entry.finder.router.slot(&entry.view.hosts[host].name) else {
                    continue;
                };
                let load = self.sides[host.index()].load();
                entry.finder.router.report(self.now, slot, load, LATENCY);
            }
        }
        self.after(PROBE_EVERY, Event::Probe(index));
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Restart(_, n) => self.side(self.writers[n].index(), Side::restart),
            Fault::TurnCold(_, n) => self.side(self.writers[n].index(), Side::turn_cold),
            Fault::ZoneOut(_, n) => self.set_zone(n, false),
            Fault::ZoneBack(_, n) => {
                let policy = self.policy;
                for host in self.zone_hosts(n) {
                    self.side(host, |side, now| side.replace(now, policy));
                }
                self.set_zone(n, true);
            }
        }
    }

    fn set_zone(&mut self, zone: usize, serving: bool) {
        if let Some(spec) = self.config.zones.get_mut(&name(ZONES[zone])) {
            spec.serving = serving;
        }
        self.revision += 1;
        let view = Rc::new(view(self.revision, &self.config));
        for host in self.zone_hosts(zone) {
            self.after(SIDECAR_LEARNS, Event::SideLearns(host, serving));
        }
        for entry in 0..self.entries.len() {
            let delay = ENTRY_LEARNS * (entry as u32 % 10 + 1);
            self.after(delay, Event::EntryLearns(entry, Rc::clone(&view)));
        }
    }

    fn zone_hosts(&self, zone: usize) -> Vec<usize> {
        let view = &self.entries[0].view;
        let of_zone = |h: &HostKey| view.zones[view.hosts[*h].zone].name.as_str() == ZONES[zone];
        view.hosts.keys().filter(of_zone).map(|h| h.index()).collect()
    }

    /// Returns whether a request arrived in the time that is counted.
    fn counts(&self, id: usize) -> bool {
        self.requests[id].arrived >= Moment::ZERO + LEAD_IN
    }

    fn finish(mut self) -> Summary {
        self.summary.durations.sort_unstable();
        self.summary.cost = self.sides.iter().map(|s| s.cost).sum();
        self.summary.cold_load.1 = WRITER.cold;
        for host in &self.writers {
            let side = &self.sides[host.index()];
            self.summary.hits.0 += side.backend.starts;
            self.summary.hits.1 += side.backend.hits;
            self.summary.cold_load.0 = self.summary.cold_load.0.max(side.peak);
            self.summary.blind_starts += side.blind;
            self.summary.falls += side.backend.falls;
            self.summary.usage += side.backend.usage;
        }
        self.summary.usage.wasted = self.summary.usage.done - self.useful_s;
        self.summary
    }
}
