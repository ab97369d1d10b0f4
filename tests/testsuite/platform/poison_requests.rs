//! Requests with a part that crashes model engines are held back, and sound ones are served.

use super::crash_fixture::{CrashFixture, POISON, crash_fixture, is_served};
use limpetmux::adapters::channel::Channels;
use limpetmux::core::prompt_part::PartId;
use limpetmux::fleet::evidence::decode_record;
use limpetmux::ops::quarantine;
use limpetmux::platform::store::{NODES_TOPIC, is_verdict};
use limpetmux::serve::run::RunningNode;
use limpetmux_standins::users::{AppendFault, UsersServer};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time after which all nodes have to act on the fifth crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The requests with the part that may reach engines after that.
const ALLOWED: usize = 3;
/// The crashes that the rule counts before it applies.
const COUNTED_CRASHES: usize = 5;
/// How long requests with the part are sent.
const SPELL: Duration = Duration::from_secs(9);

/// Sends a request with the part at each entry in turn, and with it a sound request that shares its
/// caller, its route and its other parts; returns how many of the sound ones were served, and of how
/// many, from twice the contact time after the fifth crash on.
async fn play_spell(fixture: &CrashFixture, spell: Duration) -> (usize, usize) {
    let began = Instant::now();
    let (mut number, mut later) = (0_usize, Vec::new());
    while began.elapsed() < spell {
        let entry = &fixture.entries[number % fixture.entries.len()];
        let (first, topic) = (format!("f1{}", number % 3), format!("c{:03}", number % 40));
        let parts = match number % 2 {
            0 => format!("{first}:200,{POISON}:50,{topic}:50"),
            _ => format!("{first}:200,{topic}:50,{POISON}:50"),
        };
        let poison = fixture.prompt(entry, &format!("b{number}"), &parts);
        let sound = format!("{first}:200,{topic}:50");
        let sound = fixture.prompt(entry, &format!("a{number}"), &sound);
        tokio::spawn(is_served(poison));
        let counts = began.elapsed() > spell - CONTACT_TIME;
        let sound = tokio::spawn(is_served(sound));
        later.extend(counts.then_some(sound));
        number += 1;
        sleep(Duration::from_millis(110)).await;
    }
    let count = later.len();
    let served = futures::future::join_all(later).await;
    (served.into_iter().filter(|s| matches!(s, Ok(true))).count(), count)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashes_engines_are_held_back() {
    // Guards against requests that crash one engine after the other, as each goes to the next (BUDGET).
    let fixture = crash_fixture(3).await;

    let (served, sound) = play_spell(&fixture, SPELL).await;

    let arrivals = fixture.arrivals('b');
    let crashes = fixture.crashes.lock().unwrap().clone();
    println!(
        "{} engines ended, {} requests with the part reached engines",
        crashes.len(),
        arrivals.len()
    );
    assert!(crashes.len() >= 2, "only {} engines ended", crashes.len());
    if let Some(fifth) = crashes.get(COUNTED_CRASHES - 1) {
        let late = arrivals.iter().filter(|at| **at > *fifth + CONTACT_TIME).count();
        assert!(late <= ALLOWED, "{late} reached engines, {} engines ended", crashes.len());
    }
    assert!(served * 10 >= sound * 9, "{served} of {sound} sound requests were served");
}

/// Sends requests with the part, beside sound ones with their other parts, until each entry refuses
/// them at once whatever else they have; panics if that takes long.
async fn hold_part(fixture: &CrashFixture) {
    let until = Instant::now() + SPELL;
    for number in 0.. {
        assert!(Instant::now() < until, "the part is not held");
        let first = if number % 3 == 2 { "f2" } else { "f1" };
        let parts = format!("{first}:200,{POISON}:50,c{number:x}:50");
        let entry = &fixture.entries[number % fixture.entries.len()];
        let sound = fixture.prompt(entry, &format!("a{number}"), &format!("f1:200,c{number:x}:50"));
        tokio::spawn(is_served(sound));
        let id = format!("b{number}");
        let sent = fixture.entries.iter().map(|entry| is_held(fixture, entry, &id, &parts));
        if futures::future::join_all(sent).await.into_iter().all(|held| held) {
            return;
        }
        sleep(Duration::from_millis(150)).await;
    }
}

impl CrashFixture {
    /// Returns the turns of all verdicts in the store by their keys, in the order in which it has them.
    fn verdicts(&self) -> BTreeMap<String, Vec<u32>> {
        let keys = self.store.values(NODES_TOPIC).into_keys().filter(|key| is_verdict(key));
        let turns = |key: &str| {
            let records = self.store.history(NODES_TOPIC, key);
            let decode = |value: &Vec<u8>| decode_record(value).expect("a verdict").turn;
            records.iter().map(decode).collect()
        };
        keys.map(|key| (key.clone(), turns(&key))).collect()
    }
}

/// Sends a request and returns whether it was refused because of a part of its prompt.
async fn is_held(fixture: &CrashFixture, entry: &RunningNode, id: &str, parts: &str) -> bool {
    let Ok(answer) = fixture.prompt(entry, id, parts).send().await else { return false };
    let status = answer.status();
    // A caller that leaves at the head would end the request before its engine ends.
    let text = answer.text().await;
    status == 503 && text.is_ok_and(|text| text == "quarantined")
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_that_starts_after_the_crashes_holds_the_part_back() {
    // Guards against a verdict that only those know which saw the crashes.
    let mut fixture = crash_fixture(2).await;
    hold_part(&fixture).await;

    let late = fixture.start_entry("late").await;
    sleep(Duration::from_millis(700)).await;
    let before = fixture.arrivals('b').len();
    let held = is_held(&fixture, &late, "b-late", &format!("f2:9,{POISON}:9,c:9")).await;
    let sound = is_served(fixture.prompt(&late, "a-late", "f1:200,c:50")).await;
    fixture.entries.push(late);

    assert!(held);
    assert!(sound, "a sound request is held too");
    assert_eq!(fixture.arrivals('b').len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn part_stays_held_when_the_node_that_all_pull_from_stops() {
    // Guards against evidence that is lost with the node at which it meets.
    let mut fixture = crash_fixture(2).await;
    hold_part(&fixture).await;

    let sidecar = fixture.sidecar.take().unwrap();
    assert_eq!(sidecar.drain().await, 0);
    sleep(Duration::from_millis(1_500)).await;
    let late = fixture.start_entry_near("late", fixture.entries[0].node_addr).await;
    sleep(Duration::from_millis(1_500)).await;
    let held = is_held(&fixture, &late, "b-late", &format!("f1:9,{POISON}:9,c:9")).await;
    let old = is_held(&fixture, &fixture.entries[0], "b-old", &format!("{POISON}:9,c:9")).await;
    fixture.entries.push(late);

    assert!(held && old, "held by the late entry: {held}, by an old one: {old}");
}

#[tokio::test(flavor = "multi_thread")]
async fn part_stays_held_when_all_processes_start_again() {
    // Guards against a bad part that comes free because all processes stop at once.
    let mut fixture = crash_fixture(2).await;
    hold_part(&fixture).await;
    // The verdict is written by the node that reads the store.
    sleep(Duration::from_millis(1_000)).await;

    fixture.entries.clear();
    fixture.sidecar = None;
    let entry = fixture.start_entry("again").await;
    sleep(Duration::from_millis(500)).await;
    let held = is_held(&fixture, &entry, "b-again", &format!("f1:9,{POISON}:9,c:9")).await;
    fixture.entries.push(entry);

    assert!(held);
}

#[tokio::test(flavor = "multi_thread")]
async fn verdict_that_the_store_writes_late_does_not_replace_a_later_one() {
    // Guards against a quarantine that an operator has lifted and that a process reads which starts once all
    // have stopped, as the store executed the write of the earlier verdict after that of the later one.
    let fixture = crash_fixture(2).await;
    fixture.store.set_appends(AppendFault::DoneLate(Duration::from_secs(6)));
    hold_part(&fixture).await;
    // The verdict is written by the node that reads the store.
    sleep(Duration::from_millis(1_500)).await;
    fixture.store.set_appends(AppendFault::None);
    let addr = fixture.entries[0].node_addr;
    quarantine::run(&Channels::plain(), addr, &[PartId::named(POISON)]).await.unwrap();
    sleep(Duration::from_secs(8)).await;

    let turns: Vec<Vec<u32>> = fixture.verdicts().values().cloned().collect();

    assert!(turns.iter().any(|turns| turns.iter().any(|turn| *turn > 1)), "{turns:?}");
    assert!(turns.iter().all(|turns| turns.last() == turns.iter().max()), "{turns:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_part_is_held_when_engines_end_for_other_reasons() {
    // Guards against sound requests that are refused after crashes that none of them caused (LOST).
    let fixture = crash_fixture(3).await;
    let mut sent = Vec::new();
    for number in 0_usize..150 {
        let entry = &fixture.entries[number % 3];
        let parts = format!("f1{}:200,c{:03}:50", number % 3, number % 10);
        sent.push(tokio::spawn(is_served(fixture.prompt(entry, &format!("a{number}"), &parts))));
        match number {
            n if n.is_multiple_of(70) => {
                fixture.engines.iter().take(4).for_each(UsersServer::crash)
            }
            n if n.is_multiple_of(9) => fixture.engines[number % 8].crash(),
            _ => {}
        }
        sleep(Duration::from_millis(20)).await;
    }
    drop(futures::future::join_all(sent).await);
    sleep(Duration::from_millis(800)).await;

    let mut served = 0;
    for topic in 0..10 {
        let entry = &fixture.entries[topic % 3];
        let parts = format!("f1{}:200,c{topic:03}:50", topic % 3);
        let request = fixture.prompt(entry, &format!("a-last{topic}"), &parts);
        served += usize::from(is_served(request).await);
    }

    let crashes = fixture.crashes.lock().unwrap().len();
    assert!(crashes > 20, "{crashes} engines ended");
    assert_eq!(served, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_can_list_and_lift_a_quarantine() {
    // Guards against a quarantine that nobody can see or end.
    let fixture = crash_fixture(2).await;
    hold_part(&fixture).await;
    let part = PartId::named(POISON);
    let channels = Channels::plain();

    let listed = quarantine::run(&channels, fixture.entries[0].node_addr, &[]).await.unwrap();
    let parts: Vec<PartId> = listed.iter().flat_map(|held| held.parts.clone()).collect();
    let left = quarantine::run(&channels, fixture.entries[0].node_addr, &parts).await.unwrap();
    sleep(Duration::from_millis(1_500)).await;
    let elsewhere = quarantine::run(&channels, fixture.entries[1].node_addr, &[]).await.unwrap();

    assert!(listed.iter().any(|held| held.parts.contains(&part)), "{listed:?}");
    assert!(quarantine::table(&listed).contains(POISON), "{}", quarantine::table(&listed));
    assert!(left.is_empty() && elsewhere.is_empty(), "{left:?} {elsewhere:?}");
}
