//! Routing spreads load, prefers the local zone and cached prefixes, and never ejects a whole pool.

use limpetmux::core::admission::Load;
use limpetmux::core::config::{Config, Name};
use limpetmux::core::keys::HostKey;
use limpetmux::core::refusal::RefusalCode;
use limpetmux::core::routing::{
    CallOutcome, EntryPlace, Pick, Query, Router, RouterSettings, SlotKey, subset,
};
use limpetmux::core::time::Moment;
use limpetmux::core::view::View;
use limpetmux_test_support::policy::{POOL, at, ms, pool_config, view};
use limpetmux_test_support::{check_cases, config::name};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A router of an entry in zone `mnl-a`, with the view and random numbers for its picks.
struct Fixture {
    router: Router,
    view: View,
    rng: Pcg64Mcg,
}

impl Fixture {
    fn new(config: &Config) -> Self {
        let place = EntryPlace { zone: name("mnl-a"), ordinal: 0 };
        Self {
            router: Router::new(RouterSettings::new(place)),
            view: view(1, config),
            rng: Pcg64Mcg::seed_from_u64(1),
        }
    }

    fn pick_for(&mut self, now: Moment, affinity: Option<u64>) -> Option<Pick> {
        let service = self.view.service(POOL)?;
        let query = Query { service, affinity, exclude: &[] };
        self.router.pick(now, &self.view, query, |_| true, &mut self.rng)
    }

    fn pick(&mut self, now: Moment) -> Pick {
        self.pick_for(now, None).unwrap_or_else(|| panic!("no host is left"))
    }

    fn zone_of(&self, host: HostKey) -> &str {
        self.view.zones[self.view.hosts[host].zone].name.as_str()
    }

    fn slots(&mut self) -> Vec<SlotKey> {
        let pick = self.pick(at(0));
        self.router.finished(at(0), pick.slot, CallOutcome::Neutral);
        let names: Vec<Name> = self.view.hosts.iter().map(|(_, h)| h.name.clone()).collect();
        names.iter().filter_map(|n| self.router.slot(n)).collect()
    }

    fn fail(&mut self, now: Moment, slot: SlotKey, times: u32) {
        for _ in 0..times {
            self.router.finished(now, slot, CallOutcome::Failed);
        }
    }
}

fn busy(inflight: u32) -> Load {
    Load { inflight, limit: 10, ..Load::default() }
}

#[test]
fn subsets_cover_hosts_evenly_at_target_size() {
    // 360 entries and 950 hosts in 5 zones: 72 entries and 190 hosts in each.
    let zones: Vec<Name> = (0..5).map(|z| name(&format!("zone-{z}"))).collect();
    let hosts: Vec<Name> = (0..190).map(|h| name(&format!("host-{h:03}"))).collect();
    let hosts: Vec<&Name> = hosts.iter().collect();
    for zone in &zones {
        let mut members = vec![0_u32; hosts.len()];
        for home in &zones {
            let size = if home == zone {
                RouterSettings::LOCAL_HOSTS
            } else {
                RouterSettings::REMOTE_HOSTS
            };
            for ordinal in 0..72 {
                let place = EntryPlace { zone: home.clone(), ordinal };
                let chosen = subset(&place, zone, &hosts, size);
                assert_eq!(chosen.len(), size);
                chosen.into_iter().for_each(|i| members[i] += 1);
            }
        }
        let (min, max) = (members.iter().min().unwrap(), members.iter().max().unwrap());
        let mean = 72 * (32 + 4 * 8) / 190;
        assert!(*min + 3 >= mean && *max <= mean + 4, "{min} to {max} around {mean}");
    }
}

#[test]
fn subset_holds_no_host_twice() {
    check_cases(100, |u| {
        let hosts: Vec<Name> =
            (0..u.int_in_range(1..=60)?).map(|h| name(&format!("host-{h}"))).collect();
        let hosts: Vec<&Name> = hosts.iter().collect();
        let size = u.int_in_range(1..=70)?;
        let place = EntryPlace { zone: name("mnl-a"), ordinal: u.int_in_range(0..=400)? };

        let chosen = subset(&place, &name("mnl-b"), &hosts, size);

        let distinct: BTreeSet<usize> = chosen.iter().copied().collect();
        assert_eq!(distinct.len(), size.min(hosts.len()));
        assert_eq!(distinct.len(), chosen.len());
        Ok(())
    });
}

#[test]
fn local_zone_is_preferred_and_spills_before_saturation() {
    let mut fixture = Fixture::new(&pool_config(&[("mnl-a", 4), ("mnl-b", 4)], 10, 2));
    let mut zones = BTreeMap::new();

    for _ in 0..60 {
        let host = fixture.pick(at(0)).host;
        *zones.entry(fixture.zone_of(host).to_owned()).or_insert(0) += 1;
    }

    // 40 slots per zone: the local zone is filled to about 80%, the rest goes to the other zone.
    assert!((28..=36).contains(&zones["mnl-a"]), "{zones:?}");
}

#[test]
fn hosts_that_are_stopped_or_in_a_zone_out_get_no_calls() {
    let mut config = pool_config(&[("mnl-a", 4), ("mnl-b", 2)], 10, 2);
    config.zones.get_mut("mnl-a").unwrap().serving = false;
    config.hosts.get_mut("mnl-b-000").unwrap().running = false;
    let mut fixture = Fixture::new(&config);

    let hosts: BTreeSet<HostKey> = (0..50).map(|_| fixture.pick(at(0)).host).collect();

    assert_eq!(hosts, BTreeSet::from([fixture.view.host("mnl-b-001").unwrap()]));
}

#[test]
fn reported_load_counts_less_as_it_ages() {
    let mut fixture = Fixture::new(&pool_config(&[("mnl-a", 2)], 10, 2));
    let slots = fixture.slots();
    fixture.router.report(at(0), slots[0], busy(7), Duration::ZERO);
    fixture.router.report(at(0), slots[1], busy(1), Duration::ZERO);

    let fresh: Vec<Pick> = (0..4).map(|_| fixture.pick(at(0))).collect();
    for pick in &fresh {
        fixture.router.finished(at(0), pick.slot, CallOutcome::Done);
    }
    let stale: Vec<Pick> = (0..10).map(|_| fixture.pick(at(60_000))).collect();

    assert!(fresh.iter().all(|p| p.slot == slots[1]));
    let first = stale.iter().filter(|p| p.slot == slots[0]).count();
    assert!((4..=6).contains(&first), "{first}");
}

#[test]
fn refusing_host_is_avoided_for_its_retry_time() {
    let mut fixture = Fixture::new(&pool_config(&[("mnl-a", 2)], 10, 2));
    let slots = fixture.slots();
    fixture.router.refused(at(0), slots[0], RefusalCode::Overloaded, Some(ms(200)));

    let during: BTreeSet<SlotKey> = (0..8).map(|_| fixture.pick(at(100)).slot).collect();
    let after: BTreeSet<SlotKey> = (0..8).map(|_| fixture.pick(at(201)).slot).collect();

    assert_eq!(during, BTreeSet::from([slots[1]]));
    assert!(after.contains(&slots[0]));
}

#[test]
fn prefix_stays_on_its_host_until_the_host_is_out_of_balance() {
    let mut fixture = Fixture::new(&pool_config(&[("mnl-a", 5)], 10, 2));

    let sequential: BTreeSet<SlotKey> = (0..20)
        .map(|_| {
            let pick = fixture.pick_for(at(0), Some(42)).unwrap();
            fixture.router.finished(at(0), pick.slot, CallOutcome::Done);
            pick.slot
        })
        .collect();
    let mut concurrent = BTreeMap::new();
    for _ in 0..30 {
        *concurrent.entry(fixture.pick_for(at(0), Some(42)).unwrap().slot).or_insert(0) += 1;
    }

    assert_eq!(sequential.len(), 1);
    let most = concurrent.values().max().unwrap();
    assert!(*most <= 8, "{concurrent:?}: at most 1.25 times the mean of 6");
}

#[test]
fn never_ejects_more_than_a_third_of_a_pool() {
    check_cases(60, |u| {
        let count = u.int_in_range(1..=12)?;
        let mut fixture = Fixture::new(&pool_config(&[("mnl-a", count)], 10, 2));
        let slots = fixture.slots();
        let mut now = at(0);
        while !u.is_empty() {
            now = now + ms(u.int_in_range(0..=300)?);
            let slot = *u.choose(&slots)?;
            fixture.fail(now, slot, u.int_in_range(1..=6)?);
            let ejected = slots.iter().filter(|s| fixture.router.is_ejected(now, **s)).count();
            assert!(ejected <= count / 3, "{ejected} of {count}");
            let pick = fixture.pick(now);
            fixture.router.finished(now, pick.slot, CallOutcome::Neutral);
        }
        Ok(())
    });
}

#[test]
fn failing_host_is_ejected_and_returns_on_probation() {
    let mut fixture = Fixture::new(&pool_config(&[("mnl-a", 3)], 10, 2));
    let slots = fixture.slots();
    fixture.fail(at(0), slots[0], 5);

    let during: BTreeSet<SlotKey> = (0..30).map(|_| fixture.pick(at(1_000)).slot).collect();
    let still_ejected = fixture.router.is_ejected(at(2_001), slots[0]);
    fixture.fail(at(2_001), slots[0], 1);

    assert!(!during.contains(&slots[0]));
    assert!(!still_ejected);
    assert!(fixture.router.is_ejected(at(2_002), slots[0]), "one failure on probation ejects");
}

#[test]
fn state_survives_a_view_in_which_keys_have_moved() {
    let mut config = pool_config(&[("mnl-a", 3)], 10, 2);
    let mut fixture = Fixture::new(&config);
    let slots = fixture.slots();
    fixture.fail(at(0), slots[1], 5);
    let first = config.hosts.remove("mnl-a-000").unwrap();
    config.hosts.insert(name("mnl-a-009"), first);

    fixture.view = view(2, &config);
    let hosts: BTreeSet<HostKey> = (0..30).map(|_| fixture.pick(at(100)).host).collect();

    let names: Vec<&str> = hosts.iter().map(|h| fixture.view.hosts[*h].name.as_str()).collect();
    assert_eq!(names, ["mnl-a-002", "mnl-a-009"]);
    assert_eq!(fixture.router.slot(&name("mnl-a-001")), Some(slots[1]));
}
