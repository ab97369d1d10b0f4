//! The event loop of the simulation, which connects entries and hosts.

mod attempts;
mod faults;

use crate::arrivals::{draw_request, interarrival_time};
use crate::backend::Backend;
use crate::entry::{Entry, Pipeline, Request, pipeline};
use crate::event::{Attempt, Event};
use crate::host::{Answers, Host};
use crate::route::config;
use crate::summary::Summary;
use crate::{DEADLINE, ENCODER, Policy, Scenario, WRITER};
use limpetmux::core::admission::{Limits, Offer};
use limpetmux::core::config::Config;
use limpetmux::core::keys::{ArenaKey, HostKey};
use limpetmux::core::time::Moment;
use limpetmux_test_support::policy::view;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// One-way latency between an entry and a sidecar.
const LATENCY: Duration = Duration::from_micros(500);
/// Interval at which a sidecar polls its backend server.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between the probe rounds of an entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Probes per service in one round.
const PROBES_PER_ROUND: usize = 2;
/// Delay until a configuration change is in force on a sidecar.
const SIDECAR_UPDATE_DELAY: Duration = Duration::from_millis(500);
/// Delay until a configuration change is in force on the first of each ten entries, and the
/// additional delay of each further one.
const ENTRY_UPDATE_STEP: Duration = Duration::from_millis(200);

/// The state of one run.
pub(crate) struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    now: Moment,
    events: BTreeMap<(Moment, u64), Event>,
    event_count: u64,
    rng: Pcg64Mcg,
    config: Config,
    revision: u64,
    pipeline: Pipeline,
    encoders: Vec<HostKey>,
    writers: Vec<HostKey>,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    summary: Summary,
    /// Work of `write` calls that completed requests in time, in seconds at full speed.
    useful_s: f64,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let config = config(scenario);
        let view = Rc::new(view(1, &config));
        let Some(pipeline) = pipeline(&view) else { panic!("no pipeline") };
        let entry = |i| match Entry::new(scenario, policy, i, Rc::clone(&view)) {
            Ok(entry) => entry,
            Err(e) => panic!("{e}"),
        };
        let writer = pipeline.services[1].0;
        let end = Moment::ZERO + Duration::from_secs(scenario.seconds);
        let measured_span = (Moment::ZERO + Duration::from_secs(scenario.unmeasured_s), end);
        let span = measured_span.1.since(measured_span.0);
        let new_host = |(_, host): (HostKey, &limpetmux::core::view::HostRow)| {
            let spec = &view.services[host.service].spec;
            let backend = if host.service == writer { WRITER } else { ENCODER };
            Host::new(policy, Backend::new(backend, measured_span), Limits::of(spec), spec.price)
        };
        let (name, load) = (policy.name, scenario.load);
        Self {
            scenario,
            policy,
            now: Moment::ZERO,
            events: BTreeMap::new(),
            event_count: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            encoders: view.services[pipeline.services[0].0].hosts.clone(),
            writers: view.services[writer].hosts.clone(),
            entries: (0..scenario.entries).map(entry).collect(),
            hosts: view.hosts.iter().map(new_host).collect(),
            config,
            revision: 1,
            pipeline,
            requests: Vec::new(),
            attempts: Vec::new(),
            summary: Summary { policy: name, load, span, ..Summary::default() },
            useful_s: 0.0,
        }
    }

    pub(crate) fn run(mut self) -> Summary {
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
        self.schedule(Duration::ZERO, Event::Arrive);
        for host in 0..self.hosts.len() {
            self.schedule(POLL_INTERVAL, Event::Poll(host));
        }
        for entry in 0..self.entries.len() {
            self.schedule(PROBE_INTERVAL, Event::Probe(entry));
        }
        for fault in &self.scenario.faults {
            self.schedule(fault.at(), Event::Fault(*fault));
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer(id, offer) => self.offer(id, offer),
            Event::Tick(host, generation) => {
                if self.hosts[host].generation == generation {
                    self.update_host(host, Host::tick);
                }
            }
            Event::Reply(id, answer, load) => self.reply(id, answer, load),
            Event::Expire(request) => self.expire(request),
            Event::Cancel(id) => {
                let host = self.attempts[id].pick.host.index();
                self.update_host(host, |host, now| host.cancel(now, id));
            }
            Event::Hedge(id) => self.hedge(id),
            Event::Poll(host) => {
                self.update_host(host, Host::poll);
                self.schedule(POLL_INTERVAL, Event::Poll(host));
            }
            Event::Probe(entry) => self.probe(entry),
            Event::Fault(fault) => self.inject(fault),
            Event::SidecarUpdate(host, serving) => {
                self.update_host(host, |host, now| host.set_zone(now, serving));
            }
            Event::EntryUpdate(entry, view) => self.entries[entry].view = view,
        }
    }

    fn arrive(&mut self) {
        let delay = interarrival_time(self.scenario, self.now, &mut self.rng);
        let end = Moment::ZERO + Duration::from_secs(self.scenario.seconds);
        if self.now + delay < end {
            self.schedule(delay, Event::Arrive);
        }
        let arrival = draw_request(self.scenario, self.now, &mut self.rng);
        let id = self.requests.len();
        self.requests.push(Request::new(self.now, arrival));
        if self.is_measured(id) {
            self.summary.arrived += 1;
            self.second_counts(id).1 += 1;
            self.summary.by_workspace[arrival.workspace].1 += 1;
        }
        let entry = &mut self.entries[arrival.entry];
        if entry.check_deadline(self.now, &self.requests[id], &self.pipeline).is_err() {
            self.refuse(id);
            return;
        }
        self.schedule(DEADLINE, Event::Expire(id));
        self.begin_stage(id);
    }

    fn offer(&mut self, id: usize, offer: Offer) {
        let attempt = &self.attempts[id];
        let request = &self.requests[attempt.request];
        let work = request.arrival.works[request.stage.min(1)];
        if !attempt.open {
            return;
        }
        let host = attempt.pick.host.index();
        self.update_host(host, |host, now| host.offer(now, id, offer, work));
    }

    /// Applies `update` to a host, then schedules its answers and its next tick.
    fn update_host(&mut self, index: usize, update: impl FnOnce(&mut Host, Moment) -> Answers) {
        let host = &mut self.hosts[index];
        let answers = update(host, self.now);
        let (load, generation, wake) = (host.load(), host.generation, host.wake);
        for (id, answer) in answers {
            self.schedule(LATENCY, Event::Reply(id, answer, load));
        }
        if let Some(at) = wake {
            let delay = self.now.until(at).max(Duration::from_micros(1));
            self.schedule(delay, Event::Tick(index, generation));
        }
    }

    fn advance(&mut self, id: usize) {
        if self.requests[id].advance() {
            self.begin_stage(id);
            return;
        }
        let request = &mut self.requests[id];
        request.open = false;
        let (arrived_at, workspace) = (request.arrived_at, request.arrival.workspace);
        if !self.is_measured(id) {
            return;
        }
        self.summary.completed += 1;
        self.summary.by_workspace[workspace].0 += 1;
        self.second_counts(id).0 += 1;
        self.summary.durations.push(self.now.since(arrived_at));
    }

    /// Records the work of a `write` call of a request that is still open.
    fn record_useful_work(&mut self, id: usize, work_s: f64) {
        let end = Moment::ZERO + Duration::from_secs(self.scenario.seconds);
        let measured = self.now >= self.lead_in_end() && self.now < end;
        if measured && self.requests[id].stage == 1 {
            self.useful_s += work_s;
        }
    }

    /// Returns the completions and arrivals of the second in which a request arrived.
    fn second_counts(&mut self, id: usize) -> &mut (u64, u64) {
        let second = (self.requests[id].arrived_at.as_millis() / 1_000) as usize;
        let rows = &mut self.summary.by_second;
        rows.resize(rows.len().max(second + 1), (0, 0));
        &mut rows[second]
    }

    fn probe(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        for (service, _) in &self.pipeline.services {
            for host in entry.selector.router.probes(self.now, *service, PROBES_PER_ROUND) {
                let Some(slot) = entry.selector.router.slot(&entry.view.hosts[host].name) else {
                    continue;
                };
                let load = self.hosts[host.index()].load();
                entry.selector.router.report(self.now, slot, load, LATENCY);
            }
        }
        self.schedule(PROBE_INTERVAL, Event::Probe(index));
    }

    fn lead_in_end(&self) -> Moment {
        Moment::ZERO + Duration::from_secs(self.scenario.unmeasured_s)
    }

    /// Returns whether a request arrived after the lead-in, so that it is measured.
    fn is_measured(&self, id: usize) -> bool {
        self.requests[id].arrived_at >= self.lead_in_end()
    }

    fn finish(mut self) -> Summary {
        self.summary.durations.sort_unstable();
        self.summary.cost = self.hosts.iter().map(|h| h.cost).sum();
        self.summary.cold_load.1 = WRITER.cold_limit;
        for key in &self.encoders {
            self.summary.encoder_s += self.hosts[key.index()].backend.usage.done;
        }
        for key in &self.writers {
            let host = &self.hosts[key.index()];
            self.summary.prefix_hits.0 += host.backend.starts;
            self.summary.prefix_hits.1 += host.backend.hits;
            self.summary.cold_load.0 = self.summary.cold_load.0.max(host.cold_peak);
            self.summary.blind_starts += host.blind_starts;
            self.summary.crashes += host.backend.crashes;
            self.summary.usage += host.backend.usage;
        }
        self.summary.usage.wasted = self.summary.usage.done - self.useful_s;
        self.summary
    }
}
