//! What backend servers state about their load and speed decides where requests go, and nothing bad
//! that they state takes one out.

use super::pieces::{job, piece_spec, worker};
use super::{arc, at, ms, server};
use hyper::Response;
use limpetmux::core::listing::Server;
use limpetmux::core::pieces::{JobSpec, PieceQueue};
use limpetmux::core::placement::{PlaceEnd, PlaceQuery, Placement};
use limpetmux::core::work::load::{LoadNotice, LoadRecord, ServerLoad};
use limpetmux::core::work::read_cost::ReadCost;
use limpetmux::core::work::speed::SpeedRecord;
use limpetmux::platform::server as adapter;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const LOAD: &str = "x-limpetmux-server-load";

fn notice(status: u16, headers: &[(&str, &str)]) -> LoadNotice {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, *value);
    }
    adapter::head("1f", &answer.body(()).unwrap()).load
}

fn load(running: u32, waiting: u32, slots: u32, slowdown: Option<f64>) -> ServerLoad {
    ServerLoad { running, waiting, slots, slowdown }
}

#[test]
fn load_has_three_counts_and_possibly_a_slowdown() {
    assert_eq!(notice(200, &[]), LoadNotice::Unstated);
    assert_eq!(notice(200, &[(LOAD, "3,0,8")]), LoadNotice::Stated(load(3, 0, 8, None)));
    let slow = notice(503, &[(LOAD, " 1, 2 ,1,250 ")]);
    assert_eq!(slow, LoadNotice::Stated(load(1, 2, 1, Some(2.5))));
}

#[test]
fn slowdown_that_cannot_be_used_leaves_the_counts_and_never_takes_a_server_out() {
    // Guards against a server that is taken for infinitely fast, or for dead, by one bad figure.
    for bad in ["0", "-100", "nan", "inf", "1e300", "9999999999", "", "abc", "0x64", "0.0001"] {
        let text = format!("3,1,8,{bad}");
        let expected = LoadNotice::SpeedUnreadable(load(3, 1, 8, None));
        assert_eq!(notice(200, &[(LOAD, &text)]), expected, "{bad}");
    }
    for bad in
        ["", "3", "3,0", "3,0,0", "-1,0,8", "3,0,8,100,1", "a,b,c", "3;0;8", "4294967296,0,1"]
    {
        assert_eq!(notice(200, &[(LOAD, bad)]), LoadNotice::Unreadable, "{bad}");
    }
    let twice = notice(200, &[(LOAD, "3,0,8"), (LOAD, "3,0,8")]);
    assert_eq!(twice, LoadNotice::Unreadable);
}

#[test]
fn answer_of_another_server_or_to_another_request_states_no_load() {
    let other = notice(200, &[(LOAD, "3,0,8"), ("x-limpetmux-request-id", "2f")]);
    let moved = notice(421, &[(LOAD, "3,0,8")]);

    assert_eq!((other, moved), (LoadNotice::Unstated, LoadNotice::Unstated));
}

/// Returns a slowdown in each millisecond that jumps to a new value every 40 ms on average.
fn jumping(count: u64, rng: &mut StdRng) -> Vec<f64> {
    let mut value = 1.0;
    let mut step = |_| {
        if rng.random_bool(1.0 / 40.0) {
            value = rng.random_range(-0.8_f64..0.8).exp();
        }
        value
    };
    (0..count).map(&mut step).collect()
}

#[test]
fn slowdown_that_changes_many_times_a_second_counts_for_tens_of_milliseconds() {
    // Load pattern: a server that shares its machine states a new slowdown some 25 times a second,
    // and is asked about it some time after its last answer.
    let mut rng = StdRng::seed_from_u64(7);
    let truth = jumping(60_000, &mut rng);
    let mut record = SpeedRecord::default();
    let (mut errors, mut count) = ([0.0; 3], 0.0);

    for n in (0..59_000).step_by(30) {
        record.record(at(n as u64), truth[n]);
        let age = [2, 60, 300][n / 30 % 3];
        let actual = truth[n + age].ln();
        let estimate = record.slowdown(at((n + age) as u64)).ln();
        if n > 10_000 {
            let guesses = [estimate, truth[n].ln(), 0.0];
            for (error, guess) in errors.iter_mut().zip(guesses) {
                *error += (guess - actual).powi(2);
            }
            count += 1.0;
        }
    }

    let [blended, latest, usual] = errors.map(|e| (e / count).sqrt());
    assert!(blended < latest * 0.9 && blended < usual * 0.95, "{blended} {latest} {usual}");
    assert!((ms(20)..ms(90)).contains(&record.decay()), "{:?}", record.decay());
}

#[test]
fn slowdown_that_stays_counts_and_is_forgotten_in_silence() {
    // Load pattern: a server that is slow for long and gets no requests for that reason, so that it
    // states nothing any more.
    let mut record = SpeedRecord::default();
    for n in 0..20 {
        record.record(at(n * 100), 2.5);
    }

    assert!((record.slowdown(at(3_900)) - 2.5).abs() < 1e-9);
    assert!(record.slowdown(at(60_000)) < 1.05, "{}", record.slowdown(at(60_000)));
    assert_eq!(SpeedRecord::default().slowdown(at(0)), 1.0);
}

#[test]
fn older_load_counts_less() {
    let mut record = LoadRecord::default();
    record.record(at(0), load(6, 4, 4, None), 2);

    let ends: Vec<f64> = [0, 200, 5_000].map(|t| record.expected_end(at(t), 0).unwrap()).into();

    // Eight requests of others and this one take 2.25 turns of four slots.
    assert!((ends[0] - 2.25).abs() < 1e-9, "{ends:?}");
    assert!(ends[0] > ends[1] && ends[1] > ends[2] && ends[2] == 1.0, "{ends:?}");
    assert_eq!(LoadRecord::default().expected_end(at(0), 3), None);
}

fn place_query<'a>() -> PlaceQuery<'a> {
    PlaceQuery {
        prefix: None,
        zone: "a",
        planned: None,
        chosen: None,
        exclude: &[],
        entry: "e",
        entries: &[],
        cold_rate: 0.0,
        cold_time: Duration::ZERO,
    }
}

#[test]
fn plain_request_goes_to_the_server_with_the_least_expected_end() {
    // Load pattern: two servers with equal requests of this entry; others keep one of them busy, or
    // its machine is slow.
    let all = [server("s1", "a"), server("s2", "a")];
    let refs: Vec<&Server> = all.iter().collect();
    let choose = |loads: [ServerLoad; 2]| {
        let mut placement = Placement::new();
        for (server, load) in all.iter().zip(loads) {
            placement.pick(at(0), &[server], place_query()).unwrap();
            placement.record_load(at(1), &server.id, load);
            placement.finished(at(1), &server.id, PlaceEnd::Answered(ms(15)));
        }
        placement.pick(at(2), &refs, place_query()).unwrap().id.clone()
    };

    let (idle, busy, slow) = (load(1, 0, 4, None), load(4, 9, 4, None), load(1, 0, 4, Some(3.0)));
    assert_eq!([choose([busy, idle]), choose([idle, busy])], [arc("s2"), arc("s1")]);
    assert_eq!([choose([slow, idle]), choose([idle, slow])], [arc("s2"), arc("s1")]);
}

#[test]
fn server_that_states_no_load_does_not_get_all_requests() {
    // Load pattern: a server that has just been listed and does not answer, beside one that states its
    // load.
    let all = [server("s1", "a"), server("s2", "a")];
    let refs: Vec<&Server> = all.iter().collect();
    let mut placement = Placement::new();
    placement.pick(at(0), &[&all[1]], place_query()).unwrap();
    placement.record_load(at(1), &all[1].id, load(1, 0, 4, None));
    for _ in 0..20 {
        placement.pick(at(1), &[&all[0]], place_query()).unwrap();
    }

    let chosen = placement.pick(at(2), &refs, place_query()).unwrap();

    assert_eq!(chosen.id, arc("s2"));
}

/// A queue of two workers, of which the first one states a slowdown at time zero.
fn queue(slowdown: f64) -> PieceQueue {
    let mut queue = PieceQueue::new(piece_spec());
    queue.set_workers(vec![worker("w1", "a"), worker("w2", "a")]);
    queue.record_load(at(0), "w1", load(0, 0, 1, Some(slowdown)));
    queue
}

#[test]
fn pieces_go_to_the_worker_that_is_fast_now() {
    // Load pattern: a stage service whose backend servers share their machines, with both idle.
    let first = |slowdown| {
        let mut queue = queue(slowdown);
        queue.submit(at(1), job(at(1), "r", 2)).unwrap();
        queue.step(at(1)).calls.remove(0).server
    };

    assert_eq!([first(3.0), first(0.5)], [arc("w2"), arc("w1")]);
}

#[test]
fn rate_of_a_queue_follows_the_stated_speeds() {
    // Load pattern: the same, where admission asks how much the service completes.
    let usual = queue(1.0).rate(at(1));

    let slow = queue(4.0).rate(at(1));

    assert!(slow < usual * 0.8 && slow > usual * 0.5, "{slow} {usual}");
}

/// A stage of two pieces that has to end some time after time zero.
fn due_job(request: &str, due: u64) -> JobSpec {
    JobSpec { due: at(due), ..job(at(0), request, 2) }
}

#[test]
fn call_is_not_filled_with_pieces_that_make_it_late_for_the_first_ones() {
    // Load pattern: the stage of a long prompt, which has little time left, waits beside others that
    // have much, while the queue is short.
    let mut queue = queue(1.0);
    for (request, due) in [("tight", 190), ("wide", 2_000), ("wider", 3_000)] {
        queue.submit(at(1), due_job(request, due)).unwrap();
    }

    let calls = queue.step(at(1)).calls;

    let requests = |n: usize| calls[n].items.iter().map(|i| &*i.request).collect::<Vec<_>>();
    assert_eq!(requests(0), ["tight", "tight"]);
    assert_eq!(requests(1), ["wide", "wide", "wider", "wider"]);
}

#[test]
fn stage_that_is_just_too_late_by_an_estimate_still_goes_first() {
    // Load pattern: the stage of the longest prompts, whose time is used up by the expected time of
    // reading alone; behind all others it would certainly be late.
    let mut queue = queue(1.0);
    for n in 0..8 {
        queue.submit(at(1), due_job(&format!("wide{n}"), 2_000)).unwrap();
    }
    queue.submit(at(1), due_job("tight", 140)).unwrap();

    let calls = queue.step(at(1)).calls;

    assert!(calls.iter().any(|c| c.items.iter().any(|i| &*i.request == "tight")), "{calls:?}");
}

#[test]
fn state_of_a_server_has_a_fixed_size() {
    // Load pattern: any; what is learned must not grow with the requests.
    let sizes = [size_of::<SpeedRecord>(), size_of::<LoadRecord>(), size_of::<ReadCost>()];

    assert!(sizes.iter().all(|size| *size <= 128), "{sizes:?}");
}
