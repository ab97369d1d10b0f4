//! Chains of stages: the time that each stage takes and leaves to later ones, the zone where it
//! runs best, and the inputs that are no longer needed.

use super::ms;
use limpetmux::core::catalog::{
    CallerLimits, Catalog, CatalogSpec, PieceSpec, PoolSpec, RetryClass, Route, StageSpec,
};
use limpetmux::core::chain;
use std::time::Duration;

fn stage(service: &str, after: &[usize], size: u64) -> StageSpec {
    StageSpec { service: service.into(), after: after.to_vec(), size }
}

/// A route with one stage of large results, and a chain of three stages with small ones.
fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        retry_class: RetryClass::Stream,
        timeout: ms(6_000),
        target_latency: ms(2_000),
        attempts: 1,
        priority: 1,
        targets: vec![("engine".into(), 1)],
        stages: vec![
            stage("s", &[], 3_000_000),
            stage("s", &[], 8_000),
            stage("s", &[1], 60_000),
            stage("s", &[2], 6_000),
        ],
        public: true,
    }
}

fn catalog() -> Catalog {
    let pieces = PieceSpec {
        slots: 1,
        batch: 10,
        call_time: ms(150),
        item_time: ms(10),
        result_room: 1,
        result_ttl: ms(4_000),
    };
    let pool = PoolSpec {
        name: "s".into(),
        connections: 1,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        engine: None,
        pieces: Some(pieces),
    };
    let limits =
        CallerLimits { max_header: 1, max_body: 1, header_timeout: ms(1), idle_timeout: ms(1) };
    let routes = vec![route()];
    Catalog::compile(CatalogSpec {
        version: 1,
        routes,
        pools: vec![pool],
        workspaces: None,
        limits,
    })
}

#[test]
fn early_stages_leave_time_for_later_ones() {
    let route = route();

    let times = chain::stage_times(&catalog(), &route, &[2, 1, 8, 16]);
    let downstream = chain::downstream_times(&route, &times);
    let starts = chain::start_times(&route, &times);

    // 150 ms a call, 50 ms in the queue, and 10 ms for each piece of one batch.
    assert_eq!(times, [ms(220), ms(210), ms(280), ms(300)]);
    assert_eq!(downstream, [ms(0), ms(580), ms(300), ms(0)]);
    assert_eq!(starts, [ms(0), ms(0), ms(210), ms(490)]);
    assert_eq!(chain::chain_time(&route, &times, &[ms(0); 4]), ms(790));
    assert_eq!(chain::chain_time(&route, &times, &[ms(900), ms(0), ms(0), ms(50)]), ms(1_120));
}

#[test]
fn stage_without_pieces_takes_no_time_and_no_wait() {
    let route = route();

    let times = chain::stage_times(&catalog(), &route, &[0, 1, 8, 16]);

    assert_eq!(times[0], ms(0));
    assert_eq!(chain::chain_time(&route, &times, &[ms(5_000), ms(0), ms(0), ms(0)]), ms(790));
}

#[test]
fn stage_prefers_the_zone_that_saves_the_largest_transfer() {
    // Every piece of the next stage fetches all results, so small results can add up to megabytes.
    let (route, pieces) = (route(), [2, 1, 8, 16]);
    let zones = ["".into(), "a".to_owned(), "b".to_owned(), String::new()];
    let zone = |stage| chain::preferred_zone(&route, stage, &pieces, &zones, "engine");

    assert_eq!(zone(0), "engine", "6 MB go to the model engine");
    assert_eq!(zone(1), "", "8 kB are not worth a wait");
    assert_eq!(zone(2), "", "8 pieces fetch 8 kB each");
    assert_eq!(zone(3), "b", "16 pieces fetch 480 kB each");
}

#[test]
fn inputs_are_finished_once_all_dependent_stages_have_completed() {
    let mut route = route();
    route.stages[3].after = vec![1, 2];
    let completed = Some(Vec::new());

    let first =
        chain::finished_inputs(&route, &[None, completed.clone(), completed.clone(), None], 2);
    let second =
        chain::finished_inputs(&route, &[None, completed.clone(), completed.clone(), completed], 3);

    assert_eq!((chain::dependent_count(&route, 1), chain::dependent_count(&route, 3)), (2, 0));
    assert_eq!((first, second), (vec![], vec![1, 2]));
}
