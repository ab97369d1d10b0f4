//! Planning for many pools: which hosts are probed, and which pools may load weights.

use limpetmux::core::planner::{
    Agent, AgentAction, AgentOptions, DutyRecord, LoadSample, PROBES_PER_ROUND, PlanDelta, Samples,
    WeightStore,
};
use limpetmux::prelude::*;
use limpetmux_test_support::{Size, name, sized_config};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ROUND: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(30);

fn at(round: u32) -> Moment {
    Moment::ZERO + round * ROUND
}

fn calls_of(host: HostKey) -> u32 {
    10 + host.0 % 7
}

/// Runs one round of probes, which every host answers with its own number of calls.
fn probe_round(samples: &mut Samples, round: u32, view: &View) -> Vec<HostKey> {
    let awake: BTreeSet<HostKey> = view.hosts.keys().collect();
    let hosts = samples.choose(view, &awake);
    let load = |h: &HostKey| Some(LoadSample { inflight: calls_of(*h), queued: 0 });
    let answers = hosts.iter().map(|h| (*h, load(h))).collect();
    samples.record(at(round), view, &awake, &answers);
    hosts
}

#[test]
fn planner_probes_few_hosts_a_round_and_every_host_in_turn() {
    let view = View::compile(Revision(1), &sized_config(Size::TARGET));
    let (mut samples, mut probed) = (Samples::default(), BTreeSet::new());

    for round in 0..view.hosts.len().div_ceil(PROBES_PER_ROUND) as u32 {
        let hosts = probe_round(&mut samples, round, &view);
        let services: BTreeSet<ServiceKey> = hosts.iter().map(|h| view.hosts[*h].service).collect();
        assert_eq!((hosts.len(), services.len()), (PROBES_PER_ROUND, view.services.len()));
        probed.extend(hosts);
    }

    assert_eq!(probed.len(), view.hosts.len());
}

#[test]
fn sampled_load_of_each_pool_is_near_the_true_one() {
    let view = View::compile(Revision(1), &sized_config(Size::TARGET));
    let mut samples = Samples::default();

    for round in 0..7 {
        probe_round(&mut samples, round, &view);
    }

    for (_, service) in view.services.iter() {
        let actual: u32 = service.hosts.iter().map(|h| calls_of(*h)).sum();
        let estimate = samples.calls(at(6), &view, &service.hosts, WINDOW).unwrap();
        let ratio = estimate / f64::from(actual);
        assert!((0.85..=1.15).contains(&ratio), "{}: {estimate} of {actual}", service.name);
    }
}

#[test]
fn hosts_without_an_answer_do_not_count_as_loaded() {
    let view = View::compile(Revision(1), &sized_config(Size::with_hosts(24)));
    let mut samples = Samples::default();
    let awake: BTreeSet<HostKey> = view.hosts.keys().collect();
    let load = LoadSample { inflight: 6, queued: 2 };
    let answers = awake.iter().map(|h| (*h, (h.0 % 2 == 0).then_some(load))).collect();

    samples.record(at(0), &view, &awake, &answers);

    let pool: Vec<HostKey> = awake.iter().copied().collect();
    assert_eq!(samples.calls(at(0), &view, &pool, WINDOW), Some(96.0));
}

#[test]
fn weight_store_is_shared_and_refills() {
    let mut store = WeightStore::default();
    let before = store.free_slots(at(1));

    store.reserve(at(1), before);

    assert_eq!((before, store.free_slots(at(1)), store.queue_time(at(1))), (10, 0, ROUND));
    assert_eq!(store.free_slots(at(1) + Duration::from_secs(1)), 2);
    assert_eq!(store.free_slots(at(2)), 10);
}

#[test]
fn weights_go_to_the_pools_with_the_largest_shortage() {
    let size = Size { hosts: 60, services: 6, ..Size::TARGET };
    let mut config = sized_config(size);
    for spec in config.services.values_mut() {
        (spec.model, spec.concurrency, spec.floor) = (Some(name("draft-7b")), 10, 1);
    }
    let view = View::compile(Revision(1), &config);
    let usable: BTreeSet<HostKey> = view.hosts.keys().collect();
    let awake: BTreeSet<HostKey> = view.services.iter().map(|(_, s)| s.hosts[0]).collect();
    let asleep = usable.difference(&awake).map(|h| view.hosts[*h].name.to_string());
    let mut agent = Agent::new(AgentOptions::new("a".to_owned()), Offset(0));
    agent.on_tick(at(0), 0.0);
    let grant = DutyRecord::Grant { holder: "a".to_owned(), previous: None };
    agent.on_record(at(0), Offset(0), Some(&grant));
    let delta = PlanDelta { sleep: asleep.collect(), ..PlanDelta::default() };
    let plan = DutyRecord::Plan { fence: Offset(0), delta };
    agent.on_record(at(0), Offset(1), Some(&plan));
    // A later service has more load, so a larger share of the hosts that it needs is asleep.
    let load = |h: &HostKey| LoadSample {
        inflight: 10 * (1 + u32::from(view.hosts[*h].service.0)),
        queued: 0,
    };
    let answers: BTreeMap<_, _> = awake.iter().map(|h| (*h, Some(load(h)))).collect();

    let actions = agent.on_loads(at(1), &view, &answers, &usable);

    let [AgentAction::Append(DutyRecord::Plan { delta, .. })] = &actions[..] else {
        panic!("{actions:?}")
    };
    let service = |host: &String| view.hosts[view.host(host).unwrap()].service.0;
    let mut woken: BTreeMap<u16, usize> = BTreeMap::new();
    delta.wake.iter().for_each(|host| *woken.entry(service(host)).or_default() += 1);
    assert_eq!(woken, BTreeMap::from([(5, 4), (4, 4), (3, 2)]));
}
