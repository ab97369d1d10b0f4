//! Writes of backend servers that the store executes late, after later ones or after a removal. See
//! `docs/design/late-writes.md`.

use super::node_fixture::{Fixture, fixture, settings};
use super::{at, pos};
use futures::future::join_all;
use limpetmux::core::listing::{ListRecord, Listing};
use limpetmux::core::log_position::LogPosition;
use limpetmux::fleet::convert;
use limpetmux::platform::servers;
use limpetmux::platform::store::Record;
use limpetmux::serve::node::StoreView;
use limpetmux::serve::run::start;
use limpetmux::wire::fleet::{ListingView, PullReply, ServerRecord};
use std::time::Duration;
use tokio::time::sleep;

/// The time in which a draining backend server has to get no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// How much longer than a starting node another one has run that it pulls the list from.
const ELDER_AGE: Duration = Duration::from_secs(11);

/// Returns a record with its writer's start and number.
fn value(state: &str, (born, sequence): (u64, u64)) -> String {
    format!(
        r#"{{"service":"s","address":"127.0.0.1:80","zone":"mnl-a","slots":1,"state":"{state}",
        "born":{born},"sequence":{sequence}}}"#
    )
}

fn decoded(offset: u64, value: String) -> ListRecord {
    let record = Record { position: pos(offset), key: "a".to_owned(), value: value.into() };
    servers::decode(record).0
}

fn written(offset: u64, state: &str, number: (u64, u64)) -> ListRecord {
    decoded(offset, value(state, number))
}

fn removed(offset: u64) -> ListRecord {
    decoded(offset, String::new())
}

/// Reads records one after the other, a second apart.
fn read(listing: &mut Listing, from_ms: u64, records: Vec<ListRecord>) {
    for (second, record) in records.into_iter().enumerate() {
        let now = at(from_ms + 1_000 * second as u64);
        let end = LogPosition { offset: record.position.offset + 1, ..record.position };
        listing.apply(now, end, vec![record]);
        listing.expire(now);
    }
}

/// Reads records in the order of the log.
fn list(records: Vec<ListRecord>) -> Listing {
    let mut listing = Listing::default();
    read(&mut listing, 0, records);
    listing
}

/// Returns the start of the incarnation that gets requests, if one does.
fn used(listing: &Listing) -> Option<u64> {
    listing.servers().find(|s| !s.draining).map(|s| s.started_ms)
}

#[test]
fn late_write_makes_no_draining_server_ready() {
    // Guards against requests to a server that drains, after an earlier write was executed (rule DRAIN).
    let mut listing = list(vec![written(1, "ready", (5, 1)), written(2, "draining", (5, 3))]);

    read(&mut listing, 3_000, vec![written(3, "ready", (5, 2))]);
    let late = used(&listing);
    read(&mut listing, 4_000, vec![written(4, "draining", (5, 4))]);

    assert_eq!((late, used(&listing)), (None, None));
    assert_eq!(listing.end, pos(5));
}

#[test]
fn late_write_brings_no_removed_server_back() {
    // Guards against requests to a server whose record was removed (rule DRAIN).
    let mut listing = list(vec![written(1, "ready", (5, 3)), removed(2)]);

    read(&mut listing, 3_000, vec![written(3, "ready", (5, 1)), written(4, "ready", (5, 2))]);
    let late = used(&listing);
    listing.expire(at(60_000));

    assert_eq!((late, used(&listing)), (None, None));
}

#[test]
fn server_that_expired_is_used_at_once_when_it_writes_on() {
    // Guards against a server that runs and is shut out because its record had expired.
    let listing = list(vec![written(1, "ready", (5, 3)), removed(2), written(3, "ready", (5, 4))]);

    assert_eq!(used(&listing), Some(5));
}

#[test]
fn server_that_makes_its_last_write_again_is_back() {
    // Guards against servers that run and are never used again: their records had expired in an outage of the
    // store, and they wrote the same number once it was back (review/1).
    let mut kept = list(vec![written(1, "ready", (5, 3))]);
    kept.record_failure(at(3_000));
    read(&mut kept, 5_000, vec![removed(2), written(3, "ready", (5, 3))]);
    kept.expire(at(9_000));
    let gone = [written(1, "ready", (5, 3)), removed(2), written(3, "ready", (5, 3))];
    let (lagging, mut later) = (list(gone[..2].to_vec()), views(gone.to_vec()).1);

    let lagging = StoreView { listing: lagging, ..StoreView::default() };
    compare(&lagging, &mut later, |_| {});

    assert_eq!([used(&kept), used(&list(gone.to_vec()))], [Some(5), Some(5)]);
    assert_eq!(used(&later.listing), Some(5), "a node that lags does not remove it again");
}

#[test]
fn late_write_of_an_earlier_start_changes_nothing() {
    // Guards against a record of the incarnation before, once the server has restarted under its id.
    let mut listing = list(vec![written(1, "ready", (5, 8)), written(2, "ready", (9, 1))]);
    let restarted = used(&listing);

    read(&mut listing, 3_000, vec![written(3, "draining", (5, 9))]);

    assert_eq!((restarted, used(&listing)), (Some(9), Some(9)));
}

#[test]
fn server_whose_clock_was_set_back_is_used_once_it_goes_on_writing() {
    // Guards against a server that is shut out for good because it states an earlier start.
    let mut listing = list(vec![written(1, "ready", (9, 8)), removed(2)]);

    read(&mut listing, 3_000, (3..=4).map(|n| written(n, "ready", (5, n))).collect());
    let first = used(&listing);
    read(&mut listing, 5_000, (5..=10).map(|n| written(n, "ready", (5, n))).collect());

    assert_eq!((first, used(&listing)), (None, Some(5)));
    read(&mut listing, 11_000, vec![written(11, "draining", (5, 11))]);
    assert_eq!(used(&listing), None, "its further writes count, too");
}

#[test]
fn late_writes_with_pauses_do_not_go_on() {
    // Guards against single late writes, some time apart, that are taken for a server that runs.
    let mut listing = list(vec![written(1, "ready", (5, 9)), removed(2)]);

    read(&mut listing, 3_000, vec![written(3, "ready", (5, 6))]);
    read(&mut listing, 10_500, vec![written(4, "ready", (5, 7))]);
    listing.expire(at(30_000));

    assert_eq!(used(&listing), None);
}

#[test]
fn records_of_other_writers_move_no_number() {
    // Guards against odd records that hide what a server writes next, or what it wrote before.
    let odd = r#"{"state":"no-state","born":99,"sequence":99}"#.to_owned();
    let unnumbered = value("ready", (5, 0)).replace(r#""born":5,"#, "");
    let mut listing = list(vec![written(1, "draining", (5, 3)), decoded(2, odd)]);
    read(&mut listing, 3_000, vec![decoded(3, unnumbered), written(4, "ready", (5, 2))]);
    let late = listing.get("a").and_then(|l| l.latest).map(|l| l.place());

    read(&mut listing, 5_000, vec![written(5, "draining", (5, 4))]);

    assert_eq!(late, Some((5, 3)));
    assert_eq!(used(&listing), None);
}

/// Returns the view of a node that has followed the log, and of one that has read only its newest record.
fn views(records: Vec<ListRecord>) -> (StoreView, StoreView) {
    let (last, end) = (records.last().cloned().expect("a record"), records.len() as u64 + 1);
    let mut later = Listing::default();
    later.replace(at(4_000), pos(end), vec![last]);
    let view = |listing| StoreView { listing, ..StoreView::default() };
    (view(list(records)), view(later))
}

/// Lets the second node pull the whole list of the first one.
fn compare(elder: &StoreView, later: &mut StoreView, change: impl Fn(&mut ServerRecord)) {
    let mut reply = super::restored_views::whole_list(elder, at(4_000));
    let servers = reply.listing.iter_mut().flat_map(|l| &mut l.servers);
    servers.for_each(change);
    convert::apply_reply(at(4_000), later, &reply).expect("a view");
}

#[test]
fn node_that_read_only_a_late_write_learns_of_it_from_another() {
    // Guards against a node that starts after a late write and uses the server until its next one.
    let drained = [written(1, "draining", (5, 3)), written(2, "ready", (5, 2))];
    let left = [written(1, "ready", (5, 3)), removed(2), written(3, "ready", (5, 2))];
    let (elder, mut later) = views(drained.to_vec());
    let (other, mut last) = views(left.to_vec());
    let before = [used(&later.listing), used(&last.listing)];

    compare(&elder, &mut later, |_| {});
    compare(&other, &mut last, |_| {});

    assert_eq!(before, [Some(5), Some(5)]);
    assert_eq!([used(&later.listing), used(&last.listing)], [None, None]);
}

#[test]
fn node_that_lags_tells_what_it_knows_of_a_late_write() {
    // Guards against what is known only at an earlier position of the log and lost to the others.
    let records = vec![written(1, "draining", (5, 3)), written(2, "ready", (5, 2))];
    let (_, mut later) = views(records.clone());
    let elder = StoreView { listing: list(records[..1].to_vec()), ..StoreView::default() };

    compare(&elder, &mut later, |_| {});

    assert_eq!(used(&later.listing), None);
    read(&mut later.listing, 4_500, vec![written(9, "ready", (5, 4))]);
    assert_eq!(used(&later.listing), Some(5), "a later write counts");
}

#[test]
fn removal_told_by_a_node_of_the_version_before_shuts_no_server_out() {
    // Guards against a server that returns during a roll of the processes and is not used.
    let records = vec![written(1, "ready", (5, 3)), removed(2)];
    let (elder, mut later) = views(records);

    compare(&elder, &mut later, |record| (record.seen, record.late) = (0, false));
    read(&mut later.listing, 4_500, vec![written(3, "ready", (5, 4))]);

    assert_eq!(used(&later.listing), Some(5));
}

#[test]
fn removal_is_told_as_the_version_before_reads_it() {
    // Guards against messages that a process of the version before cannot use during a roll.
    let (elder, _) = views(vec![written(1, "ready", (5, 3)), removed(2)]);

    let reply: PullReply = super::restored_views::whole_list(&elder, at(4_000));

    let listing: ListingView = reply.listing.expect("a list");
    let stated: Vec<(u64, u64)> = listing.servers.iter().map(|s| (s.started, s.sequence)).collect();
    assert_eq!(stated, [(5, u64::MAX)]);
}

impl Fixture {
    /// Writes a record of the first plain backend server, with the number of its write.
    fn write_plain(&self, state: &str, sequence: u64) {
        let entry = self.plain[0].entry("plain", "mnl-a", state);
        let numbered = format!(r#""sequence":{sequence}"#);
        self.store.put("keyed.servers", "p1", &entry.replace(r#""sequence":1"#, &numbered));
    }

    /// Sends requests at once and returns how many reach the first plain backend server.
    async fn arrivals(&self, name: &str) -> usize {
        let before = self.plain[0].requests().len();
        let ids: Vec<String> = (0..8).map(|number| format!("{name}-{number}")).collect();
        let answers = join_all(ids.iter().map(|id| self.send("/safe/x", id))).await;
        assert!(answers.iter().all(|a| a.status() == 200), "{answers:?}");
        self.plain[0].requests().len() - before
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_write_sends_no_requests_to_a_server_that_leaves() {
    // Guards against requests to a server whose leaving was acknowledged, after one of its earlier writes
    // was executed late (rule DRAIN), at a node that runs and at one that starts afterwards.
    let fixture = fixture().await;
    fixture.plain.iter().for_each(|s| s.set_work_time(Duration::from_millis(50)));
    fixture.write_plain("ready", 5);
    sleep(ELDER_AGE).await;
    assert_ne!(fixture.arrivals("before").await, 0);
    fixture.write_plain("draining", 7);
    sleep(DRAIN_TIME).await;

    fixture.write_plain("ready", 6);
    sleep(DRAIN_TIME / 2).await;
    let running = fixture.arrivals("running").await;
    let seeds = vec![fixture.sidecar.node_addr];
    let other = start(settings("other", fixture.store.addr, true, seeds)).await.expect("a node");
    sleep(DRAIN_TIME / 2).await;
    let fixture = Fixture { entry: other, ..fixture };
    let started = fixture.arrivals("started").await;
    fixture.write_plain("ready", 8);
    sleep(DRAIN_TIME / 2).await;

    assert_eq!((running, started), (0, 0), "requests at the server that leaves");
    assert_ne!(fixture.arrivals("back").await, 0, "its later write counts");
}
