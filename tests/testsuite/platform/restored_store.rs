//! A store that comes back from a copy some seconds old: what it had acknowledged since is gone, and
//! offsets are given out again. See `docs/design/restored-store.md`.

use super::node_fixture::{Fixture, config, fixture, settings};
use limpetmux::core::log_position::{LogPosition, StoreEra};
use limpetmux::platform::store::{Store, StoreError};
use limpetmux::serve::run::start;
use limpetmux_standins::raw::{RawRequest, serve_requests};
use reqwest::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time in which a change that the store has acknowledged has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// The time in which a draining backend server has to get no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The pause between two writes or requests.
const PAUSE: Duration = Duration::from_millis(20);
/// The age of a copy that has none of the records written by a test.
const COPY_AGE: Duration = Duration::from_millis(500);

impl Fixture {
    async fn status_of(&self, path: &str, id: &str, key: &str) -> u16 {
        let value = HeaderValue::from_str(&format!("Bearer {key}")).expect("a header");
        let headers = HeaderMap::from_iter([(AUTHORIZATION, value)]);
        let request = self.post(path, id).headers(headers);
        request.send().await.expect("an answer").status().as_u16()
    }

    /// Waits until a key is accepted; returns how long that took, up to `patience`.
    async fn accepted_after(&self, key: &str, patience: Duration) -> Duration {
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < patience {
            if self.status_of("/safe/x", &format!("{key}-{number}"), key).await == 200 {
                break;
            }
            number += 1;
            sleep(PAUSE).await;
        }
        began.elapsed()
    }

    /// Writes versions of the configuration, each with a key of its own name.
    async fn write_versions(&self, versions: std::ops::RangeInclusive<u32>) {
        for version in versions {
            self.store.put("keyed.op", "config", &config(version, &format!("k{version}")));
            sleep(PAUSE).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn version_written_after_a_restore_is_in_force_in_time() {
    // Guards against a change that was confirmed and is not in force in time (rule CONFIG).
    let fixture = fixture().await;
    sleep(COPY_AGE).await;
    fixture.write_versions(2..=6).await;
    fixture.accepted_after("k6", APPLY_TIME).await;

    let lost = fixture.store.restore(COPY_AGE);
    lost.iter().for_each(|record| fixture.store.put_again(record));
    sleep(PAUSE).await;
    fixture.write_versions(7..=7).await;
    let took = fixture.accepted_after("k7", APPLY_TIME * 2).await;

    assert!(took < APPLY_TIME, "version 7 was in force after {took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_recorded_after_a_restore_takes_effect_in_time() {
    // Guards against requests to a backend server whose leaving was acknowledged (rule DRAIN).
    let fixture = fixture().await;
    sleep(COPY_AGE).await;
    for _ in 0..10 {
        let entry = fixture.stages[1].entry("second", "mnl-a", "ready");
        fixture.store.put("keyed.servers", "s2", &entry);
        sleep(PAUSE).await;
    }
    sleep(DRAIN_TIME / 2).await;

    fixture.store.restore(COPY_AGE * 10);
    let entry = fixture.plain[0].entry("plain", "mnl-a", "draining");
    fixture.store.put("keyed.servers", "p1", &entry);
    sleep(DRAIN_TIME).await;
    let before = fixture.plain[0].requests().len();
    for number in 0..20 {
        fixture.send("/safe/x", &format!("late-{number}")).await;
    }

    assert_eq!(fixture.plain[0].requests().len() - before, 0, "requests at the draining server");
}

/// A store that answers its calls with given eras and bodies, the last ones for all further calls.
async fn scripted(answers: &'static [(&str, &str)]) -> Store {
    let calls = AtomicUsize::new(0);
    let respond = move |_: &RawRequest| {
        let call = calls.fetch_add(1, Ordering::Relaxed);
        let (era, body) = answers[call.min(answers.len() - 1)];
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nstore-era: {era}\r\ncontent-length: {length}\r\n\r\n{body}")
            .into()
    };
    Store::new(serve_requests(respond).await.expect("a port"))
}

#[tokio::test]
async fn answer_of_an_earlier_era_is_dropped() {
    // Guards against an answer from before a restore that arrives late and is taken for current.
    const LIST: &str = r#"{"items":[],"has-more":false,"end":9}"#;
    let store = scripted(&[("4", LIST), ("3", LIST), ("", LIST), ("5", LIST)]).await;

    let answers = [
        store.newest("keyed.op").await,
        store.newest("keyed.op").await,
        store.newest("keyed.op").await,
        store.newest("keyed.op").await,
    ];

    let eras = answers.each_ref().map(|a| a.as_ref().ok().map(|page| page.end.era.0));
    assert_eq!(eras, [Some(4), None, None, Some(5)]);
    assert!(matches!(answers[1], Err(StoreError::Outdated)), "{answers:?}");
}

#[tokio::test]
async fn list_whose_pages_straddle_a_restore_is_not_used() {
    // Guards against a view of two eras.
    let store = scripted(&[
        ("4", r#"{"items":[{"key":"a","value":"dg==","offset":3}],"has-more":true,"end":9}"#),
        ("5", r#"{"items":[{"key":"b","value":"dg==","offset":4}],"has-more":false,"end":5}"#),
    ])
    .await;

    let list = store.newest("keyed.op").await;

    assert!(matches!(list, Err(StoreError::Restored)), "{list:?}");
}

#[tokio::test]
async fn read_from_an_earlier_era_is_not_used() {
    // Guards against a log that has grown past the old end, so that only the era tells the restore.
    const EMPTY_PAGE: &str = "\0\0\0\0\0\0\0\u{9}\0\0\0\0\0\0\0\0";
    let store = scripted(&[("4", EMPTY_PAGE)]).await;

    let earlier = store.read("keyed.op", LogPosition::new(StoreEra(3), 9), Duration::ZERO).await;
    let current = store.read("keyed.op", LogPosition::new(StoreEra(4), 9), Duration::ZERO).await;

    assert!(matches!(earlier, Err(StoreError::Restored)), "{earlier:?}");
    assert_eq!(current.expect("a page").end, LogPosition::new(StoreEra(4), 9));
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_write_their_addresses_again_after_a_restore() {
    // Guards against nodes that no node without seeds finds after a restore.
    let fixture = fixture().await;
    let nodes = || fixture.store.values("keyed.nodes").len();
    while nodes() < 2 {
        sleep(PAUSE).await;
    }

    fixture
        .store
        .restore(Duration::from_secs(3_600))
        .iter()
        .for_each(|r| fixture.store.put_again(r));
    assert_eq!(nodes(), 0);

    let patience = Instant::now() + APPLY_TIME * 10;
    while nodes() < 2 {
        assert!(Instant::now() < patience, "{} addresses after the restore", nodes());
        sleep(PAUSE).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_after_a_restore_learns_what_the_others_know() {
    // Guards against a revoked key that is accepted again, and a version that comes back older, at a
    // node that knows only the copy.
    let fixture = fixture().await;
    sleep(COPY_AGE).await;
    fixture.write_versions(2..=3).await;
    fixture.accepted_after("k3", APPLY_TIME).await;

    fixture.store.restore(COPY_AGE);
    let seeds = vec![fixture.sidecar.node_addr];
    let other = start(settings("other", fixture.store.addr, true, seeds)).await.expect("a node");
    sleep(APPLY_TIME).await;
    let fixture = Fixture { entry: other, ..fixture };

    assert_eq!(fixture.status_of("/safe/x", "new-1", "k1").await, 401);
    assert_eq!(fixture.status_of("/safe/x", "new-3", "k3").await, 200);
}
