//! Two planners compete for the lease, and one is paused until the lease has expired.

use super::check_session;
use expect_test::expect_file;
use limpetmux::core::planner::{Agent, AgentAction, AgentOptions, DutyRecord, LoadSample};
use limpetmux::prelude::*;
use limpetmux_test_support::invariants::Journal;
use limpetmux_test_support::policy::{pool_config, view};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

/// Two agents on one log, and a transcript of their actions.
struct Race {
    view: View,
    log: Vec<DutyRecord>,
    agents: [(&'static str, Agent); 2],
    transcript: String,
    now: Moment,
}

impl Race {
    fn new() -> Self {
        let config = pool_config(&[("mnl-a", 3), ("mnl-b", 3)], 8, 2);
        let agent = |name: &'static str| {
            let mut options = AgentOptions::new(name.to_owned());
            options.limits.hold_time = Duration::from_secs(30);
            (name, Agent::new(options, Offset(0)))
        };
        Self {
            view: view(1, &config),
            log: Vec::new(),
            agents: [agent("entry-0"), agent("entry-1")],
            transcript: String::new(),
            now: Moment::ZERO,
        }
    }

    fn at(&mut self, second: u64) {
        self.now = Moment::from_millis(second * 1_000);
    }

    fn note(&mut self, agent: usize, text: &str) {
        let second = self.now.as_millis() / 1_000;
        let name = self.agents[agent].0;
        writeln!(self.transcript, "{second:>5} {name} {text}").unwrap();
    }

    fn act(&mut self, agent: usize, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Append(record) => {
                    let text = serde_json::to_string(&record).unwrap();
                    self.note(agent, &format!("appends at {}: {text}", self.log.len()));
                    self.log.push(record);
                }
                AgentAction::Wake(host, fence) => {
                    self.note(agent, &format!("wakes {host} under fence {fence}"));
                }
                AgentAction::Sample => {}
            }
        }
    }

    fn tick(&mut self, agent: usize) {
        let actions = self.agents[agent].1.on_tick(self.now, 0.0);
        self.act(agent, actions);
    }

    /// Plans with load samples of `calls` running calls on every awake host.
    fn plan(&mut self, agent: usize, calls: u32) {
        let asleep = self.agents[agent].1.fold().asleep().clone();
        let awake = |h: &HostKey| !asleep.contains(self.view.hosts[*h].name.as_str());
        let sample = LoadSample { inflight: calls, queued: 0 };
        let loads: BTreeMap<HostKey, Option<LoadSample>> =
            self.view.hosts.keys().filter(awake).map(|h| (h, Some(sample))).collect();
        let usable: BTreeSet<HostKey> = self.view.hosts.keys().collect();
        let actions = self.agents[agent].1.on_loads(self.now, &self.view, &loads, &usable);
        self.act(agent, actions);
    }

    fn read(&mut self, agent: usize) {
        let from = self.agents[agent].1.fold().next().0 as usize;
        for offset in from..self.log.len() {
            let record = self.log[offset].clone();
            let offset = Offset(offset as u64);
            let (verdict, actions) =
                self.agents[agent].1.on_record(self.now, offset, Some(&record));
            self.note(agent, &format!("reads {offset}: {verdict:?}"));
            self.act(agent, actions);
        }
    }

    fn read_both(&mut self) {
        self.read(0);
        self.read(1);
    }
}

#[test]
fn plan_of_the_paused_planner_reaches_no_host() {
    let mut race = Race::new();
    race.tick(0);
    race.tick(1);
    race.read_both();
    for second in (5..=35).step_by(5) {
        race.at(second);
        race.tick(0);
        race.plan(0, 1);
        race.read_both();
    }

    // The first planner pauses between planning and appending; the second one takes over.
    let mut paused = race.agents[0].1.clone();
    race.at(75);
    race.tick(1);
    race.read(1);
    race.plan(1, 7);
    race.read(1);
    let fence = paused.fold().lease().unwrap().fence;
    let delta = limpetmux::core::planner::PlanDelta {
        sleep: ["mnl-a-000".to_owned()].into(),
        ..Default::default()
    };
    race.note(0, "resumes and appends its late plan");
    race.log.push(DutyRecord::Plan { fence, delta });
    race.read_both();

    let usable: BTreeSet<HostKey> = race.view.hosts.keys().collect();
    assert!(paused.on_loads(race.now, &race.view, &BTreeMap::new(), &usable).is_empty());
    assert!(!race.agents[1].1.fold().asleep().contains("mnl-a-000"));
    assert_eq!(race.agents[0].1.fold(), race.agents[1].1.fold());
    let file = expect_file!["../golden/two_planners.txt"];
    check_session(&Journal::default(), &race.transcript, file);
}
