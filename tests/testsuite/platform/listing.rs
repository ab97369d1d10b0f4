//! The list of backend servers under stale answers, expired records and outages of the store.

use super::{at, pos, server};
use limpetmux::core::listing::{ListRecord, Listing, WriteNumber};
use limpetmux::core::log_position::{LogPosition, StoreEra};
use limpetmux::fleet::convert;
use limpetmux::serve::node::StoreView;
use limpetmux::wire::fleet::PullRequest;

fn record(id: &str, offset: u64) -> ListRecord {
    let raw = id.as_bytes().into();
    let server = Some(server(id, "mnl-a"));
    ListRecord { server, raw, ..removed(id, offset) }
}

fn removed(id: &str, offset: u64) -> ListRecord {
    let raw = [].as_slice().into();
    ListRecord {
        id: id.into(),
        position: pos(offset),
        believed: false,
        doubted: None,
        late: false,
        server: None,
        write: None,
        write_era: pos(0).era,
        raw,
    }
}

fn ids(listing: &Listing) -> Vec<String> {
    listing.servers().map(|s| s.id.to_string()).collect()
}

#[test]
fn answer_with_a_lower_end_offset_changes_nothing() {
    let mut listing = Listing::default();
    listing.apply(at(0), pos(10), vec![record("a", 9)]);

    let current = listing.apply(at(500), pos(8), vec![record("b", 7)]);

    assert!(!current);
    assert_eq!(ids(&listing), ["a"]);
    assert_eq!(listing.confirmed_at, at(0));
}

#[test]
fn later_start_at_an_address_replaces_the_earlier_server() {
    // Guards against records of dead servers: after a power loss of all hosts, backend servers
    // restart at their addresses under new ids at once.
    let mut listing = Listing::default();
    let started = |id: &str, offset, started_ms, port| {
        let mut record = record(id, offset);
        let server = record.server.as_mut().unwrap();
        (server.started_ms, server.addr) = (started_ms, ([127, 0, 0, 1], port).into());
        record
    };
    listing.apply(at(0), pos(10), vec![started("old", 8, 100, 1), started("other", 9, 100, 2)]);

    listing.apply(at(500), pos(13), vec![started("new", 11, 200, 1), started("silent", 12, 0, 2)]);
    let after = ids(&listing);
    listing.apply(at(600), pos(14), vec![removed("new", 13)]);

    // A record without a start time replaces nothing.
    assert_eq!(after, ["new", "other", "silent"]);
    assert_eq!(ids(&listing), ["old", "other", "silent"]);
}

#[test]
fn record_of_an_unknown_service_hides_no_server_at_its_address() {
    // Guards against another writer's record: a later start at the address took the server's place.
    let mut listing = Listing::default();
    let mut odd = record("odd", 9);
    let server = odd.server.as_mut().expect("a record");
    (server.addr, server.started_ms) = (super::server("a", "mnl-a").addr, 100);
    server.service = "no-service".into();

    listing.apply(at(0), pos(10), vec![record("a", 8), odd]);
    listing.set_services(["plain".into()].into());

    assert_eq!(ids(&listing), ["a"]);
}

#[test]
fn removal_takes_effect_at_once_while_the_store_answers() {
    let mut listing = Listing::default();
    listing.apply(at(0), pos(10), vec![record("a", 8), record("b", 9)]);

    listing.apply(at(500), pos(11), vec![removed("a", 10)]);

    assert_eq!(ids(&listing), ["b"]);
}

#[test]
fn records_that_expired_in_an_outage_of_the_store_are_kept_for_the_grace_time() {
    let mut listing = Listing::default();
    listing.apply(at(0), pos(10), vec![record("a", 8), record("b", 9)]);

    // The store is unreachable for 5 s; both records expire, and only one is written again.
    listing.record_failure(at(3_000));
    listing.apply(at(5_000), pos(12), vec![removed("a", 10), removed("b", 11)]);
    assert_eq!(ids(&listing), ["a", "b"]);
    listing.apply(at(6_000), pos(13), vec![record("b", 12)]);
    listing.expire(at(7_100));
    assert_eq!(ids(&listing), ["a", "b"]);

    listing.expire(at(7_300));

    assert_eq!(ids(&listing), ["b"]);
}

#[test]
fn draining_server_that_is_removed_gets_no_grace() {
    let mut listing = Listing::default();
    let mut leaving = record("a", 9);
    leaving.server.as_mut().expect("a record").draining = true;
    listing.apply(at(0), pos(10), vec![leaving]);
    listing.record_failure(at(3_000));

    listing.apply(at(5_000), pos(11), vec![removed("a", 10)]);

    assert_eq!(ids(&listing), Vec::<String>::new());
}

#[test]
fn view_that_grew_old_without_an_outage_keeps_no_removed_server() {
    // Guards against requests to servers that have left, at nodes that the readers of the store were lost
    // to and that read it themselves in the end (rule DRAIN).
    let mut listing = Listing::default();
    listing.apply(at(0), pos(10), vec![record("a", 8), record("b", 9)]);

    listing.apply(at(2_600), pos(11), vec![removed("a", 10)]);
    let read = ids(&listing);
    // A call that failed before the view was last confirmed says nothing of what follows.
    listing.record_failure(at(2_500));
    listing.apply(at(5_200), pos(12), vec![removed("b", 11)]);

    assert_eq!(read, ["b"]);
    assert_eq!(ids(&listing), Vec::<String>::new());
}

#[test]
fn node_that_pulls_learns_of_an_outage_from_the_one_that_reads() {
    // Guards against servers that run and get no requests after an outage, at nodes that read no store.
    let view = |failed_at: Option<u64>| {
        let mut listing = Listing::default();
        listing.apply(at(0), pos(10), vec![record("a", 8), record("b", 9)]);
        failed_at.into_iter().for_each(|ms| listing.record_failure(at(ms)));
        StoreView { listing, ..StoreView::default() }
    };
    let (mut reader, mut puller) = (view(Some(3_000)), view(None));

    reader.listing.apply(at(5_000), pos(12), vec![removed("a", 10), removed("b", 11)]);
    let reply = super::restored_views::whole_list(&reader, at(5_100));
    convert::apply_reply(at(5_100), &mut puller, &reply).expect("a view");
    let during = ids(&puller.listing);
    puller.listing.expire(at(7_300));

    assert_eq!(during, ["a", "b"]);
    assert_eq!(ids(&puller.listing), Vec::<String>::new());
}

#[test]
fn servers_missing_from_the_newest_records_are_removed() {
    let mut listing = Listing::default();
    listing.apply(at(0), pos(10), vec![record("a", 8), record("b", 9)]);

    listing.replace(at(500), pos(20), vec![record("b", 15)]);

    assert_eq!(ids(&listing), ["b"]);
}

#[test]
fn changed_counters_alone_do_not_end_a_held_pull() {
    let mut listing = Listing::default();
    listing.apply(at(0), pos(10), vec![record("a", 8), record("b", 9)]);

    // A heartbeat with other counters, and one that says that the server drains.
    let mut leaving = record("b", 11);
    leaving.server.as_mut().expect("a record").draining = true;
    listing.apply(at(500), pos(12), vec![record("a", 10), leaving]);

    let changed: Vec<&str> = listing.changes(pos(10)).map(|(id, _)| &**id).collect();
    assert_eq!(changed, ["b"]);
}

#[test]
fn renewed_record_reaches_the_nodes_that_received_its_removal() {
    // Guards against a fault seen with a silent store: other nodes received the removal of expired
    // records but not their renewal, and only the node that read the store kept its servers.
    let mut reader = Listing::default();
    let mut puller = Listing::default();
    for listing in [&mut reader, &mut puller] {
        listing.apply(at(0), pos(10), vec![record("a", 9)]);
    }
    let pull = |reader: &Listing, puller: &mut Listing, now: u64| {
        let changes = reader.since(puller.end).map(|(id, listed)| ListRecord {
            id: id.clone(),
            position: listed.position,
            believed: listed.believed,
            doubted: None,
            late: false,
            write: listed.latest,
            write_era: listed.write_era,
            server: (!listed.raw.is_empty()).then(|| server(id, "mnl-a")),
            raw: listed.raw.clone(),
        });
        let changes = changes.collect();
        puller.apply(at(now), reader.end, changes);
    };

    reader.record_failure(at(3_000));
    reader.apply(at(5_000), pos(11), vec![removed("a", 10)]);
    pull(&reader, &mut puller, 5_000);
    reader.apply(at(6_000), pos(12), vec![record("a", 11)]);
    pull(&reader, &mut puller, 6_000);
    for listing in [&mut reader, &mut puller] {
        listing.expire(at(9_000));
    }

    assert_eq!(ids(&reader), ["a"]);
    assert_eq!(ids(&puller), ["a"]);
}

#[test]
fn record_beyond_the_end_of_its_list_is_a_change_only_once_the_log_has_reached_it() {
    // Guards against a node whose copy always has a change: each pull from it returns at once.
    let mut view = StoreView::default();
    view.listing.replace(at(0), pos(10), vec![record("a", 9), record("b", 50)]);
    let pull = |listing_end| PullRequest { listing_end, ..PullRequest::default() };
    let changed = |view: &StoreView| [0, 10].map(|end| convert::has_changes(view, &pull(end)));

    let before = changed(&view);
    view.listing.apply(at(500), pos(51), Vec::new());
    let after = changed(&view);

    assert_eq!(before, [true, false]);
    assert_eq!(after, [true, true]);
}

fn in_era(era: u64, record: ListRecord, sequence: u64) -> ListRecord {
    let position = LogPosition::new(StoreEra(era), record.position.offset);
    let write = Some(WriteNumber::new(5, sequence));
    ListRecord { position, write, write_era: position.era, ..record }
}

#[test]
fn servers_that_a_restored_copy_lacks_are_kept_for_the_grace_time() {
    // Guards against a copy that is taken for the news that a server has left.
    let mut listing = Listing::default();
    let end = |era| LogPosition::new(StoreEra(era), 10);
    listing.replace(at(0), end(0), vec![record("a", 8), record("b", 9)]);

    listing.replace(at(500), end(1), vec![in_era(1, record("a", 3), 1)]);
    listing.expire(at(2_600));
    let during = ids(&listing);
    listing.expire(at(2_800));

    assert_eq!(during, ["a", "b"]);
    assert_eq!(ids(&listing), ["a"]);
}

#[test]
fn later_write_that_another_node_knows_from_before_a_restore_counts() {
    // Guards against a node that has read only the copy and uses a server that others know to drain.
    let mut listing = Listing::default();
    listing.replace(
        at(0),
        LogPosition::new(StoreEra(1), 10),
        vec![in_era(1, record("a", 3), 7), in_era(1, record("b", 4), 7)],
    );
    let draining = |id, sequence| {
        let mut known = in_era(0, record(id, 90), sequence);
        known.server.as_mut().expect("a server").draining = true;
        known
    };

    let current = listing.apply(at(500), pos(99), vec![draining("a", 8), draining("b", 6)]);

    assert!(!current);
    let used: Vec<&str> = listing.servers().filter(|s| !s.draining).map(|s| &*s.id).collect();
    assert_eq!(used, ["b"]);
}
