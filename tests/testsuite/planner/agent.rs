//! The agent of one node: takes records, ticks and load samples, and returns actions.

use super::*;
use limpetmux::core::config::{HostSpec, ServiceSpec, ZoneSpec};
use limpetmux::core::planner::{Agent, AgentAction, AgentOptions, LoadSample};
use std::collections::{BTreeMap, BTreeSet};

const HOSTS: u16 = 6;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn view() -> View {
    let mut config = Config::default();
    for zone in ["mnl-a", "clark-a"] {
        let spec = ZoneSpec { region: name("ph-luzon"), serving: true };
        config.zones.insert(name(zone), spec);
    }
    let service = ServiceSpec {
        kind: StageKind::Generate,
        model: None,
        idempotent: true,
        fencing: Default::default(),
        concurrency: 10,
        cold: 1,
        warmup: Duration::from_secs(60),
        price: 100,
        floor: 1,
    };
    config.services.insert(name("draft"), service);
    for i in 0..HOSTS {
        let spec = HostSpec {
            zone: name(["mnl-a", "clark-a"][usize::from(i % 2)]),
            service: name("draft"),
            sidecar: ([127, 0, 0, 1], 7_000 + i).into(),
            running: true,
        };
        config.hosts.insert(name(&format!("h{i}")), spec);
    }
    View::compile(Revision(1), &config)
}

fn agent(node: &str) -> Agent {
    Agent::new(AgentOptions::new(node.to_owned()), Offset(0))
}

fn append_all(agents: &mut [&mut Agent], now: Moment, log: &mut Vec<DutyRecord>, r: DutyRecord) {
    for agent in agents {
        agent.on_record(now, Offset(log.len() as u64), Some(&r));
    }
    log.push(r);
}

fn appends(actions: &[AgentAction]) -> Vec<DutyRecord> {
    let record = |a: &AgentAction| match a {
        AgentAction::Append(r) => Some(r.clone()),
        _ => None,
    };
    actions.iter().filter_map(record).collect()
}

/// Returns the answers of a round in which only the first `hosts` of all probed hosts answered.
fn loads(view: &View, hosts: u32, calls: u32) -> BTreeMap<HostKey, Option<LoadSample>> {
    let sample = LoadSample { inflight: calls, queued: 0 };
    view.hosts.keys().map(|h| (h, (h.0 < hosts).then_some(sample))).collect()
}

fn take_lease(agent: &mut Agent, now: Moment, log: &mut Vec<DutyRecord>) {
    let grant = appends(&agent.on_tick(now, 0.0)).remove(0);
    append_all(&mut [agent], now, log, grant);
}

#[test]
fn holder_puts_surplus_to_sleep_after_the_hold_time() {
    let view = view();
    let usable: BTreeSet<HostKey> = view.hosts.keys().collect();
    let (mut agent, mut log) = (agent("a"), Vec::new());
    take_lease(&mut agent, Moment::ZERO, &mut log);

    for second in (5..=400).step_by(5) {
        let now = Moment::from_millis(second * 1_000);
        for record in appends(&agent.on_tick(now, 0.0)) {
            append_all(&mut [&mut agent], now, &mut log, record);
        }
        let samples = loads(&view, u32::from(HOSTS), 1);
        let actions = agent.on_loads(now, &view, &samples, &usable);
        for record in appends(&actions) {
            append_all(&mut [&mut agent], now, &mut log, record);
        }
    }

    assert_eq!(agent.fold().asleep().len(), 1);
}

#[test]
fn planner_that_lost_its_lease_appends_and_wakes_nothing() {
    let view = view();
    let usable: BTreeSet<HostKey> = view.hosts.keys().collect();
    let (mut first, mut second, mut log) = (agent("a"), agent("b"), Vec::new());
    take_lease(&mut first, Moment::ZERO, &mut log);
    let grant = log[0].clone();
    second.on_record(Moment::ZERO, Offset(0), Some(&grant));

    let later = Moment::from_millis(40_000);
    let takeover = appends(&second.on_tick(later, 0.0)).remove(0);
    append_all(&mut [&mut second], later, &mut log, takeover);
    let late = first.on_loads(later, &view, &loads(&view, 1, 30), &usable);

    assert!(late.is_empty(), "acted without a lease: {late:?}");
    assert!(matches!(second.lease(later), LeaseState::Held(Offset(1))));
}

#[test]
fn host_without_an_answer_is_woken_again() {
    let view = view();
    let usable: BTreeSet<HostKey> = view.hosts.keys().collect();
    let (mut agent, mut log) = (agent("a"), Vec::new());
    let now = Moment::from_millis(1_000);
    take_lease(&mut agent, now, &mut log);

    let actions = agent.on_loads(now, &view, &loads(&view, 5, 1), &usable);

    assert_eq!(actions, [AgentAction::Wake("h5".to_owned(), Offset(0))]);
}

#[test]
fn no_plan_is_made_before_the_stream_is_fully_read() {
    let mut agent = Agent::new(AgentOptions::new("a".to_owned()), Offset(7));

    let actions = agent.on_tick(Moment::from_millis(60_000), 0.0);

    assert!(actions.is_empty());
    assert!(agent.fold().asleep().is_empty());
}
