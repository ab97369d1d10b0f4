//! Views of a store that is restored from copies, under random interleavings of writes, restores,
//! reads, pulls between nodes and restarts.

use super::{arc, at};
use crate::decoders::check;
use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::core::log_position::{LogPosition, StoreEra};
use limpetmux::core::nodes::{Node, Nodes};
use limpetmux::core::operator::{Order, StatedOrders};
use limpetmux::core::time::Moment;
use limpetmux::fleet::convert;
use limpetmux::platform::store::Record;
use limpetmux::platform::{orders, servers};
use limpetmux::serve::node::StoreView;
use limpetmux::wire::fleet::{PullReply, PullRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The zones that the operator evacuates.
const ZONES: [&str; 2] = ["north", "south"];
/// The number of backend servers.
pub(super) const SERVERS: usize = 3;
/// The number of nodes.
pub(super) const NODES: usize = 3;
/// The longest time after which writers write again what a restored store has lost.
const REWRITE_TIME: u64 = 1_500;
/// The shortest and the longest time after which the store executes a write that gets no answer.
const LATE_TIMES: std::ops::RangeInclusive<u64> = 1_000..=6_000;
/// The time without a write after which the store removes the record of a backend server.
const EXPIRY_TIME: u64 = 3_600;
/// The time between the starts of two incarnations, among which starts by a wrong clock fit.
const START_GAP: u64 = 10;
/// The time after which a view has to equal what was written.
pub(super) const SETTLE_TIME: u64 = 12_000;

/// One topic of the store.
#[derive(Clone, Default)]
struct Log {
    era: u64,
    records: Vec<(String, String)>,
}

impl Log {
    fn put(&mut self, key: &str, value: &str) {
        self.records.push((key.to_owned(), value.to_owned()));
    }

    fn end(&self) -> LogPosition {
        LogPosition::new(StoreEra(self.era), self.records.len() as u64)
    }

    /// Returns the records from an offset on; `None` if the log does not reach it.
    fn read(&self, from: u64) -> Option<Vec<Record>> {
        let numbered = self.records.iter().enumerate().skip(usize::try_from(from).ok()?);
        let records = numbered.map(|(offset, (key, value))| self.record(offset, key, value));
        (from <= self.records.len() as u64).then(|| records.collect())
    }

    fn newest(&self) -> Vec<Record> {
        let mut newest = BTreeMap::new();
        for record in self.read(0).expect("the log begins at 0") {
            newest.insert(record.key.clone(), record);
        }
        newest.into_values().filter(|r| !r.value.is_empty()).collect()
    }

    fn record(&self, offset: usize, key: &str, value: &str) -> Record {
        let position = LogPosition::new(StoreEra(self.era), offset as u64);
        Record { position, key: key.to_owned(), value: value.to_owned().into() }
    }

    /// Loses the latest records; returns the newest of each key.
    fn restore(&mut self, lost: usize) -> BTreeMap<String, String> {
        self.era += 1;
        let kept = self.records.len().saturating_sub(lost).max(1);
        self.records.split_off(kept).into_iter().collect()
    }
}

/// What a backend server would say about itself.
#[derive(Clone, Copy, Default)]
struct Server {
    started: u64,
    sequence: u64,
    draining: bool,
    gone: bool,
}

/// A write that the store executes late.
struct LateWrite {
    due: u64,
    server: usize,
    started: u64,
    sequence: u64,
    value: String,
}

#[derive(Default)]
struct WatchedNode {
    view: StoreView,
    /// The incarnations that it knew to be leaving.
    left: BTreeSet<(String, u64)>,
    /// The evacuated zones that it has read from the store.
    evacuated: BTreeSet<String>,
    version: u64,
}

pub(super) struct World {
    pub(super) now: u64,
    operator: Log,
    list: Log,
    /// What the writers have not written again yet, and since when.
    lost: [BTreeMap<String, String>; 2],
    lost_at: u64,
    version: u64,
    evacuated: BTreeSet<String>,
    servers: [Server; SERVERS],
    /// The servers whose records have expired although they run.
    lapsed: BTreeSet<usize>,
    late: Vec<LateWrite>,
    /// When the store removes the records of servers that are gone, which late writes brought back.
    expiries: BTreeMap<usize, u64>,
    nodes: [WatchedNode; NODES],
}

fn id(server: usize) -> String {
    format!("i-{server}")
}

fn is_draining(record: &Record) -> bool {
    servers::decode(record.clone()).0.server.is_some_and(|s| s.draining)
}

fn local(node: usize) -> Node {
    let addr = ([127, 0, 0, 1], u16::try_from(node + 1).expect("a small number")).into();
    Node { name: arc("n"), addr, zone: arc("north"), queues_pieces: false, started: 1 }
}

/// Returns the reply of a node to a pull of its whole list.
pub(super) fn whole_list(view: &StoreView, now: Moment) -> PullReply {
    let request = PullRequest::default();
    convert::pull_reply((now, now), &Nodes::new(local(0)), view, &request)
}

impl WatchedNode {
    /// Returns the backend servers that may get requests.
    fn listed(&self) -> BTreeSet<(String, u64)> {
        let ready = self.view.listing.servers().filter(|s| !s.draining);
        ready.map(|s| (s.id.to_string(), s.started_ms)).collect()
    }
}

impl World {
    pub(super) fn new() -> Self {
        let mut world = Self {
            now: 0,
            operator: Log::default(),
            list: Log::default(),
            lost: Default::default(),
            lost_at: 0,
            version: 0,
            evacuated: BTreeSet::new(),
            servers: [Server { started: START_GAP, ..Server::default() }; SERVERS],
            lapsed: BTreeSet::new(),
            late: Vec::new(),
            expiries: BTreeMap::new(),
            nodes: Default::default(),
        };
        world.declare();
        (0..SERVERS).for_each(|server| world.beat(server));
        world
    }

    fn moment(&self) -> Moment {
        at(self.now)
    }

    fn declare(&mut self) {
        self.version += 1;
        let version = self.version;
        let value = format!(
            r#"{{"version":{version},"routes":[],"services":[],"limits":{{"max-header-bytes":1,
            "max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1}}}}"#
        );
        self.write_order("config", &value);
    }

    /// Evacuates a zone, or ends its evacuation.
    fn switch_zone(&mut self, zone: &str) {
        let begins = !self.evacuated.remove(zone);
        if begins {
            self.evacuated.insert(zone.to_owned());
        }
        self.nodes.iter_mut().for_each(|node| {
            node.evacuated.remove(zone);
        });
        self.write_order(&format!("evacuate/{zone}"), if begins { "{}" } else { "" });
    }

    fn write_order(&mut self, key: &str, value: &str) {
        self.lost[0].remove(key);
        self.operator.put(key, value);
    }

    /// Writes the record of a backend server, unless it is gone.
    pub(super) fn beat(&mut self, server: usize) {
        if self.servers[server].gone {
            return;
        }
        self.lapsed.remove(&server);
        self.expiries.remove(&server);
        let value = self.next_value(server);
        self.lost[1].remove(&id(server));
        self.list.put(&id(server), &value);
    }

    /// Returns the next write of a backend server.
    fn next_value(&mut self, server: usize) -> String {
        self.servers[server].sequence += 1;
        let Server { started, sequence, draining, .. } = self.servers[server];
        let state = if draining { "draining" } else { "ready" };
        format!(
            r#"{{"service":"s","address":"127.0.0.1:8{server}","zone":"north","slots":1,
            "state":"{state}","sequence":{sequence},"born":{started}}}"#
        )
    }

    /// Lets a write of a backend server get no answer and be executed some time later; its next write is
    /// executed at once, as an acknowledgement counts only from a stable store.
    pub(super) fn write_late(&mut self, server: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if self.servers[server].gone {
            return Ok(());
        }
        let due = self.now + u.int_in_range(LATE_TIMES)?;
        let value = self.next_value(server);
        let Server { started, sequence, .. } = self.servers[server];
        self.late.push(LateWrite { due, server, started, sequence, value });
        self.beat(server);
        Ok(())
    }

    /// Executes the late writes that are due, and removes the records that they brought back of servers
    /// that are gone.
    pub(super) fn execute_late(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|w| w.due <= now);
        self.late = rest;
        for write in due {
            let write: LateWrite = write;
            self.list.put(&id(write.server), &write.value);
            if self.servers[write.server].gone {
                self.expiries.insert(write.server, now + EXPIRY_TIME);
            }
            self.excuse(&write);
        }
        let expired: Vec<usize> =
            self.expiries.iter().filter(|(_, at)| **at <= now).map(|(server, _)| *server).collect();
        for server in expired {
            self.expiries.remove(&server);
            self.list.put(&id(server), "");
        }
    }

    /// Excuses the nodes that have not read any later write of a server: they cannot know that this one is
    /// late.
    fn excuse(&mut self, write: &LateWrite) {
        let key = (id(write.server), write.started);
        for node in &mut self.nodes {
            let latest = node.view.listing.get(&key.0).and_then(|l| l.latest);
            if latest.is_none_or(|l| l.place() < (write.started, write.sequence)) {
                node.left.remove(&key);
            }
        }
    }

    /// Starts a backend server that is gone with a clock that was set back.
    pub(super) fn start_earlier(&mut self, server: usize) {
        let Server { started, gone, .. } = self.servers[server];
        if gone && started % START_GAP != 1 {
            self.servers[server] = Server { started: started - 1, ..Server::default() };
            self.beat(server);
        }
    }

    /// Lets a node pull the whole list of another one.
    pub(super) fn pull_whole(&mut self, node: usize, from: usize) {
        let now = self.moment();
        let reply = whole_list(&self.nodes[from].view, now);
        convert::apply_reply(now, &mut self.nodes[node].view, &reply).expect("a view");
    }

    /// Starts a node that reads the newest records and then pulls the list of one that has run for longer;
    /// it has to know of the servers that have left what that one knows.
    pub(super) fn start_beside(&mut self, node: usize, from: usize) {
        self.nodes[node] = WatchedNode::default();
        self.read(node);
        if node != from && self.nodes[from].view.listing.end.era == self.list.end().era {
            self.pull_whole(node, from);
            let left = self.nodes[from].left.clone();
            self.nodes[node].left.extend(left);
        }
    }

    /// Removes the record of a backend server that runs, as after too long a silence.
    pub(super) fn lapse(&mut self, server: usize) {
        if !self.servers[server].gone {
            self.lapsed.insert(server);
            self.lost[1].remove(&id(server));
            self.list.put(&id(server), "");
        }
    }

    /// Lets the backend servers whose records have expired write them again.
    pub(super) fn renew_lapsed(&mut self) {
        std::mem::take(&mut self.lapsed).into_iter().for_each(|server| self.beat(server));
    }

    /// Lets a backend server drain, leave, and come back as another incarnation, one after the other.
    pub(super) fn advance(&mut self, server: usize, announces: bool) {
        let state = &mut self.servers[server];
        if state.gone {
            let after = state.started - state.started % START_GAP + 2 * START_GAP;
            let started = after.max((self.now + 2) * START_GAP);
            *state = Server { started, ..Server::default() };
            self.beat(server);
        } else if state.draining || !announces {
            state.gone = true;
            self.lapsed.remove(&server);
            self.lost[1].remove(&id(server));
            self.list.put(&id(server), "");
        } else {
            state.draining = true;
            self.beat(server);
        }
    }

    /// Lets some time pass in which the reads of all nodes fail.
    pub(super) fn lose_store(&mut self, ms: u64) {
        self.now += ms;
        let now = self.moment();
        self.nodes.iter_mut().for_each(|node| node.view.listing.record_failure(now));
    }

    fn restore(&mut self, lost: usize) {
        // Writers have written again what an earlier restore lost.
        self.rewrite();
        self.lost = [self.operator.restore(lost), self.list.restore(lost)];
        self.lost_at = self.now;
    }

    pub(super) fn rewrite(&mut self) {
        let [orders, servers] = std::mem::take(&mut self.lost);
        orders.iter().for_each(|(key, value)| self.operator.put(key, value));
        servers.iter().for_each(|(key, value)| self.list.put(key, value));
    }

    /// Reads the store as a node does that follows it.
    pub(super) fn read(&mut self, node: usize) {
        let now = self.moment();
        self.read_orders(node, now);
        self.read_list(node, now);
        self.record_knowledge(node);
    }

    /// Records what a node that has just read the store has to know from now on.
    fn record_knowledge(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        for zone in &self.evacuated {
            let key = format!("evacuate/{zone}");
            if self.operator.newest().iter().any(|r| r.key == key) {
                node.evacuated.insert(zone.clone());
            }
        }
        let (newest, listed) = (self.list.newest(), node.listed());
        for (number, server) in self.servers.iter().enumerate() {
            let is_written = newest.iter().all(|r| r.key != id(number) || is_draining(r));
            let left = (id(number), server.started);
            let latest = node.view.listing.get(&id(number)).and_then(|l| l.latest);
            let is_known = latest.is_some_and(|w| w.started_ms == server.started);
            let leaves = (server.draining || server.gone) && is_written;
            if leaves && is_known && !listed.contains(&left) {
                node.left.insert(left);
            }
        }
    }

    fn read_list(&mut self, node: usize, now: Moment) {
        let view = &mut self.nodes[node].view;
        let decode =
            |records: Vec<Record>| records.into_iter().map(|r| servers::decode(r).0).collect();
        let (from, end) = (view.listing.end, self.list.end());
        let news = self.list.read(from.offset).filter(|_| from.era == end.era && !from.is_start());
        match news {
            Some(records) => view.listing.apply(now, end, decode(records)),
            None => view.listing.replace(now, end, decode(self.list.newest())),
        };
        view.listing.expire(now);
    }

    fn read_orders(&mut self, node: usize, now: Moment) {
        let view = &mut self.nodes[node].view;
        let (from, end) = (view.orders.end, self.operator.end());
        let decode = |records: Vec<Record>| -> Vec<Order> {
            records.iter().filter_map(|r| orders::decode(r).expect("an order")).collect()
        };
        let news = self.operator.read(from.offset);
        if let Some(records) = news.filter(|_| from.era == end.era && !from.is_start()) {
            view.orders.apply(now, end, decode(records));
            return;
        }
        let mut stated = StatedOrders {
            confirmed_at: now,
            end,
            config: None,
            evacuated: BTreeSet::new(),
            unlisted: Vec::new(),
        };
        for order in decode(self.operator.newest()) {
            match order {
                Order::Declare(config) => stated.config = Some(config),
                Order::Evacuate(zone) => drop(stated.evacuated.insert(zone)),
                Order::Restore(_) => {}
            }
        }
        view.orders.replace(now, stated);
    }

    /// Lets a node pull from another one.
    pub(super) fn pull(&mut self, node: usize, from: usize) {
        let now = self.moment();
        let nodes = Nodes::new(local(from));
        let request = convert::pull_request(&local(node), &self.nodes[node].view, Duration::ZERO);
        let reply = convert::pull_reply((now, now), &nodes, &self.nodes[from].view, &request);
        convert::apply_reply(now, &mut self.nodes[node].view, &reply).expect("a view");
    }

    /// Checks what has to hold in each node at any time, and records what it knows.
    pub(super) fn check(&mut self) {
        for node in &mut self.nodes {
            assert!(node.view.orders.version() >= node.version, "the version decreases");
            node.version = node.view.orders.version();
            let listed = node.listed();
            let returned = listed.iter().find(|server| node.left.contains(server));
            assert_eq!(returned, None, "a server that has left is used");
            let dropped = node.evacuated.iter().find(|z| !node.view.orders.evacuated.contains(z));
            assert_eq!(dropped, None, "an evacuated zone is used");
        }
    }

    pub(super) fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += u.int_in_range(0..=300)?;
        if self.now - self.lost_at > REWRITE_TIME {
            self.rewrite();
        }
        let (server, node) = (u.choose_index(SERVERS)?, u.choose_index(NODES)?);
        match u.int_in_range(0..=15)? {
            0 => self.declare(),
            1 => self.switch_zone(u.choose(&ZONES)?),
            2 => self.advance(server, u.arbitrary()?),
            3 | 4 => self.beat(server),
            5 => self.restore(u.int_in_range(0..=8)?),
            6 => self.nodes[node] = WatchedNode::default(),
            7..=10 => self.read(node),
            _ => self.pull(node, u.choose_index(NODES)?),
        }
        self.check();
        Ok(())
    }

    /// Lets all writers and nodes catch up, and checks that each view equals what was written.
    fn settle(&mut self) {
        self.rewrite();
        let until = self.now + SETTLE_TIME;
        while self.now < until {
            self.now += 1_000;
            (0..SERVERS).for_each(|server| self.beat(server));
            (0..NODES).for_each(|node| self.read(node));
            self.check();
        }
        self.assert_current();
    }

    /// Checks that the view of each node equals what was written.
    pub(super) fn assert_current(&self) {
        let used = self.servers.iter().enumerate().filter(|(_, s)| !s.draining && !s.gone);
        let north = self.evacuated.contains(ZONES[0]);
        let used: Vec<String> = used.filter(|_| !north).map(|(number, _)| id(number)).collect();
        for node in &self.nodes {
            let view = &node.view;
            let zones: BTreeSet<String> =
                view.orders.evacuated.zones().map(|z| z.to_string()).collect();
            let listed: Vec<String> = view.usable("s").iter().map(|s| s.id.to_string()).collect();
            assert_eq!(view.orders.version(), self.version);
            assert_eq!((zones, listed), (self.evacuated.clone(), used.clone()));
        }
    }
}

#[test]
fn views_of_a_restored_store_lose_nothing_that_was_known() {
    check("views of a restored store", |u| {
        let mut world = World::new();
        for _ in 0..u.int_in_range(5..=60)? {
            world.step(u)?;
        }
        world.settle();
        Ok(())
    });
}
