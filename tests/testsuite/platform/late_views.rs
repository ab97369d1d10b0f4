//! Views of a store that executes some writes late, beside restores, restarts of backend servers by a wrong
//! clock, reads, pulls between nodes and restarts of nodes. See `docs/design/late-writes.md`.

use super::restored_views::{NODES, SERVERS, SETTLE_TIME, World};
use crate::decoders::check;
use arbtest::arbitrary::{Result, Unstructured};

/// The time between two writes of a backend server while all settles.
const HEARTBEAT: u64 = 1_000;

fn step(world: &mut World, restores: bool, u: &mut Unstructured<'_>) -> Result<()> {
    let (server, node) = (u.choose_index(SERVERS)?, u.choose_index(NODES)?);
    world.execute_late();
    match u.int_in_range(0..=11)? {
        0..=2 => world.write_late(server, u)?,
        3 => world.lapse(server),
        4 => world.start_earlier(server),
        5 => world.start_beside(node, u.choose_index(NODES)?),
        6 => world.advance(server, u.arbitrary()?),
        7 | 8 => world.beat(server),
        9 => world.read(node),
        10 => world.pull(node, u.choose_index(NODES)?),
        _ if restores => world.step(u)?,
        _ => world.now += u.int_in_range(0..=900)?,
    }
    world.check();
    Ok(())
}

/// Lets all backend servers and nodes go on until late writes are over, and checks the views.
fn settle(world: &mut World) {
    world.rewrite();
    let until = world.now + 2 * SETTLE_TIME;
    while world.now < until {
        world.now += HEARTBEAT;
        world.execute_late();
        (0..SERVERS).for_each(|server| world.beat(server));
        (0..NODES).for_each(|node| world.read(node));
        world.check();
    }
    world.assert_current();
}

fn play(u: &mut Unstructured<'_>, restores: bool) -> Result<()> {
    let mut world = World::new();
    for _ in 0..u.int_in_range(5..=60)? {
        step(&mut world, restores, u)?;
    }
    settle(&mut world);
    Ok(())
}

#[test]
fn late_writes_bring_no_server_back_that_has_left() {
    // Guards against requests to a server whose leaving a node knows, after an earlier write of it was
    // executed late (rule DRAIN); and against servers that run and are never used again.
    check("late writes", |u| play(u, false));
}

#[test]
fn late_writes_beside_restores_of_the_store_bring_no_server_back() {
    check("late writes beside restores", |u| play(u, true));
}
