//! The cases.

use crate::fleet::{Addresses, Bounds, Fleet, ONCE, Record, Traffic, config, send};
use crate::server::{HEARTBEAT, Server};
use crate::store::Store;
use std::io::{Error, Result};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const KEY: &str = "9dnn2ctnfzs989anu6ws";
const TENANTS: &str = "[{\"name\":\"bozi300\",\"api-keys\":[\"9dnn2ctnfzs989anu6ws\"],\"priority\":1}]";
/// The bounds of the small deployments.
const SMALL: Bounds = Bounds { drain: 2_000, config: 2_000, contact: 3_000 };

/// Runs a case; returns whether its rule was broken.
pub fn run(case: &str, folder: &str, trouble: bool) -> Result<bool> {
    match case {
        "late-write" => late_write(folder, trouble),
        "killed-server" => crate::killed::run(folder, trouble),
        "last-tenant" => last_tenant(folder, trouble),
        _ => Err(Error::other("unknown case")),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Counts and records the requests that reached a server later than allowed after its leaving was
/// acknowledged.
fn late_arrivals(record: &Record, server: &Server, left: Instant, bound: Duration) -> usize {
    let arrivals = server.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > left + bound).collect();
    for (at, id) in &late {
        let after = at.duration_since(left).as_millis();
        record.line(&format!("LATE {id} reached {} {after} ms after its leaving was acknowledged", server.id));
    }
    late.len()
}

/// The answer to one write of a server is lost, and the write is executed 6 s later; the server has
/// reported meanwhile that it drains, or its record was removed.
fn late_write(folder: &str, trouble: bool) -> Result<bool> {
    let record = Record::create(folder)?;
    let addresses = Addresses::choose()?;
    let store = Store::start(addresses.store())?;
    store.put("keyed.op", "config", &config(2, &[ONCE], TENANTS));
    let start = |n: u8| {
        let id = format!("i-{n:08}");
        Server::start(&store, &record, (&id, "wuno96b"), addresses.server(n), ms(30))
    };
    let servers: Vec<Arc<Server>> = (1..=4).map(start).collect::<Result<_>>()?;
    let fleet = Fleet::start(&addresses, SMALL, (1, 2))?;
    fleet.wait_ready(&addresses, 11)?;
    let mut traffic = Traffic::start(&record, &[addresses.front(11)], KEY, 8, ms(100));
    sleep(ms(4_000));
    let mut late = 0;
    for (round, server) in servers.iter().take(3).enumerate() {
        let lost = Instant::now();
        let value = server.next_value();
        if trouble {
            record.say(&format!("round {round}: a write of {} gets no answer: {value}", server.id));
            let (store, id, record) = (Arc::clone(&store), server.id.clone(), Arc::clone(&record));
            thread::spawn(move || {
                sleep_until(lost + ms(6_000));
                store.put("keyed.servers", &id, &value);
                record.say(&format!("the write of {id} is executed now"));
            });
        } else {
            store.put("keyed.servers", &server.id, &value);
        }
        // The store has been without disruption for longer than `contact-ms`.
        sleep_until(lost + ms(3_300));
        let left = if round < 2 { server.drain(&store) } else { server.leave(&store) };
        record.say(&format!("the leaving of {} is acknowledged", server.id));
        // The store removes a record that was not written for three intervals.
        sleep_until(lost + ms(6_000) + 3 * HEARTBEAT);
        if round == 2 && trouble {
            store.put("keyed.servers", &server.id, "");
        }
        sleep_until(left + ms(8_000));
        server.end(&store);
        let count = late_arrivals(&record, server, left, ms(SMALL.drain));
        record.say(&format!("round {round}: {count} requests reached {} too late", server.id));
        late += count;
        sleep(ms(1_000));
    }
    traffic.stop();
    finish(&record, &traffic, late)
}

/// The keys of the only tenant are taken away: the new version lists no tenant.
fn last_tenant(folder: &str, trouble: bool) -> Result<bool> {
    let record = Record::create(folder)?;
    let addresses = Addresses::choose()?;
    let store = Store::start(addresses.store())?;
    store.put("keyed.op", "config", &config(2, &[ONCE], TENANTS));
    let server = Server::start(&store, &record, ("i-00000001", "wuno96b"), addresses.server(1), ms(30))?;
    let fleet = Fleet::start(&addresses, SMALL, (1, 2))?;
    fleet.wait_ready(&addresses, 11)?;
    let front = addresses.front(11);
    let ask = |id: &str, key: &str| {
        let status = send(front, id, key);
        record.say(&format!("request {id} with key {key}: {status}"));
        let ran = server.arrivals.lock().unwrap().iter().any(|(_, ran)| ran == id);
        (status, ran)
    };
    let served = ask("000000000000000a", KEY) == (200, true);
    let refused = ask("000000000000000b", "never-a-key") == (401, false);
    if !served || !refused {
        return Err(Error::other("keys are not checked to begin with"));
    }
    if trouble {
        store.put("keyed.op", "config", &config(5, &[ONCE], "[]"));
        record.say("a version without tenants is acknowledged");
    }
    // Longer than `revoke-ms`.
    sleep(ms(6_000));
    let after = ask("000000000000000c", KEY);
    let unknown = ask("000000000000000d", "never-a-key");
    record.say(&format!("the old key ran: {}; a key that never was one ran: {}", after.1, unknown.1));
    Ok(unknown.1 || (trouble && after.1))
}

/// Records how the requests ended; the case could not run if hardly any was served.
fn finish(record: &Record, traffic: &Traffic, broken: usize) -> Result<bool> {
    let sent = traffic.sent.lock().unwrap();
    let served = sent.iter().filter(|s| s.status == 200).count();
    record.say(&format!("{} requests, {served} served, {broken} against the rule", sent.len()));
    if served * 2 < sent.len() {
        return Err(Error::other("under half of the requests were served"));
    }
    Ok(broken > 0)
}
