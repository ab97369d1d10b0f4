//! Requests go to the server that has cached their prefix, up to its share of the load, and avoid
//! failing servers.

use super::{arc, at, ms, server};
use limpetmux::core::listing::Server;
use limpetmux::core::placement::{PlaceEnd, PlaceQuery, Placement};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

fn query<'a>(entry: &'a str, entries: &'a [Arc<str>]) -> PlaceQuery<'a> {
    PlaceQuery {
        prefix: None,
        zone: "mnl-a",
        planned: None,
        chosen: None,
        exclude: &[],
        entry,
        entries,
        cold_rate: 6.3,
        cold_time: Duration::from_secs(3),
    }
}

fn servers(count: u8) -> Vec<Server> {
    (0..count)
        .map(|n| server(&format!("s{n}"), if n % 2 == 0 { "mnl-a" } else { "mnl-b" }))
        .collect()
}

#[test]
fn prefix_stays_at_one_server_until_its_share_is_full() {
    // Guards against overload of one server by a shared prompt that gets much of the traffic.
    let (all, entries) = (servers(6), [arc("e")]);
    let refs: Vec<&Server> = all.iter().collect();
    let mut placement = Placement::new();
    let hot = PlaceQuery { prefix: Some(7), ..query("e", &entries) };

    let picks: Vec<String> = (0..12)
        .map(|_| placement.pick(at(0), &refs, hot).expect("a server").id.to_string())
        .collect();

    assert_eq!(picks[0], picks[1], "a cached prefix is used again");
    let most = picks.iter().map(|id| placement.inflight(id)).max();
    let used: BTreeSet<&String> = picks.iter().collect();
    // 2.5 times a server's share of twelve requests on six servers.
    assert!(most <= Some(5), "one prefix does not fill one server: {picks:?}");
    assert!(used.len() >= 3, "a hot prefix spreads: {picks:?}");
}

#[test]
fn planned_server_is_kept_although_its_share_is_full() {
    let (all, entries) = (servers(4), [arc("e")]);
    let refs: Vec<&Server> = all.iter().collect();
    let mut placement = Placement::new();
    let plan = PlaceQuery { prefix: Some(7), ..query("e", &entries) };
    let planned = placement.choose(at(0), &refs, plan).expect("a server").id.clone();
    // Other requests fill the share meanwhile.
    placement.pick(at(0), &refs, plan);
    placement.pick(at(0), &refs, plan);

    let kept = PlaceQuery { planned: Some(&planned), ..plan };

    assert_eq!(placement.pick(at(1), &refs, kept).map(|s| s.id.clone()), Some(planned));
}

#[test]
fn failing_servers_are_ejected_but_never_half_the_pool() {
    let (all, entries) = (servers(4), [arc("e")]);
    let refs: Vec<&Server> = all.iter().collect();
    let mut placement = Placement::new();
    let plain = PlaceQuery { cold_time: Duration::ZERO, ..query("e", &entries) };
    for server in &refs[..3] {
        for _ in 0..5 {
            placement.pick(at(0), &[*server], plain);
            placement.finished(at(0), &server.id, PlaceEnd::Failed);
        }
    }

    let picked: BTreeSet<String> = (0..8)
        .filter_map(|_| placement.pick(at(10), &refs, plain).map(|s| s.id.to_string()))
        .collect();

    assert!(picked.len() >= 2, "none is ejected if three of four fail: {picked:?}");
}

#[test]
fn cold_server_stays_within_its_limit_for_all_entries_together() {
    // Guards against overload of a restarted, cold server by many entries whose views differ.
    let mut cold = server("s0", "mnl-a");
    cold.cold = ms(2_000);
    let names: Vec<Arc<str>> = (0..20).map(|n| format!("e{n}").into()).collect();
    let mut sent: BTreeMap<u64, u32> = BTreeMap::new();

    for (index, name) in names.iter().enumerate() {
        // Some entries do not know all others yet.
        let known: Vec<Arc<str>> =
            names.iter().skip(index % 3).cloned().chain([Arc::clone(name)]).collect();
        let mut placement = Placement::new();
        for tick in 0..200 {
            let now = at(tick * 10);
            let chosen = placement.pick(now, &[&cold], query(name, &known));
            if chosen.is_some() {
                placement.finished(now, "s0", PlaceEnd::Neutral);
                *sent.entry(tick / 100).or_default() += 1;
            }
        }
    }

    // The users' rules allow 1.5 times 6.3 requests a second, plus 5.
    let bound = (6.3 * 1.5 + 5.0) as u32;
    assert!(sent.values().all(|n| *n <= bound), "{sent:?}");
    assert!(sent.values().all(|n| *n >= 3), "it gets requests to warm up: {sent:?}");
}

#[test]
fn server_whose_connections_broke_counts_as_cold() {
    let (all, entries) = (servers(1), [arc("e")]);
    let refs: Vec<&Server> = all.iter().collect();
    let mut placement = Placement::new();
    placement.pick(at(0), &refs, query("e", &entries));
    placement.finished(at(0), "s0", PlaceEnd::Broken);

    let at_once = placement.pick(at(10), &refs, query("e", &entries)).is_some();
    let later = placement.pick(at(3_000), &refs, query("e", &entries)).is_some();

    assert!(!at_once);
    assert!(later);
}

#[test]
fn server_whose_address_was_reused_is_unusable_until_its_record_has_expired() {
    let (all, entries) = (servers(2), [arc("e")]);
    let refs: Vec<&Server> = all.iter().collect();
    let mut placement = Placement::new();
    let plain = PlaceQuery { cold_time: Duration::ZERO, ..query("e", &entries) };
    let wrong = placement.pick(at(0), &refs, plain).expect("a server").id.clone();
    placement.finished(at(0), &wrong, PlaceEnd::WrongServer);

    let during = placement.unusable(at(9_000), &refs, plain);
    let after = placement.unusable(at(11_000), &refs, plain);

    assert_eq!((during, after.len()), (vec![wrong], 0));
}
