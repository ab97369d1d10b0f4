//! Requests with a part that crashes model engines are held back, and sound ones are served.

use super::crash_fixture::{CrashFixture, POISON, crash_fixture, is_served};
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
