//! A store that comes back from a copy some seconds old: what it had acknowledged since is gone, and
//! offsets are given out again. See `docs/design/restored-store.md`.

use super::node_fixture::{Fixture, config, fixture};
use reqwest::header::{AUTHORIZATION, HeaderMap, HeaderValue};
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
