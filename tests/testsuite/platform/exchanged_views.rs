//! Views of nodes of which only one reads the store at the end, under random interleavings of writes,
//! outages, restores, reads, pulls between nodes and restarts.

use super::restored_views::{NODES, SERVERS, SETTLE_TIME, World};
use crate::decoders::check;
use arbtest::arbitrary::{Result, Unstructured};

/// The time between two pulls of a node.
const PULL_INTERVAL: u64 = 600;
/// A time after which a node takes the store for unreachable.
const OUTAGE_TIME: u64 = 2_500;

/// Lets records expire and come back beside the steps of a restored store.
fn step(world: &mut World, u: &mut Unstructured<'_>) -> Result<()> {
    let server = u.choose_index(SERVERS)?;
    match u.int_in_range(0..=9)? {
        0 | 1 => world.lapse(server),
        2 => world.beat(server),
        3 => world.lose_store(OUTAGE_TIME),
        _ => world.step(u)?,
    }
    world.check();
    Ok(())
}

/// Lets one node read the store and the others pull from it; nothing is written any more.
fn settle(world: &mut World, reader: usize) {
    world.rewrite();
    world.renew_lapsed();
    let until = world.now + SETTLE_TIME;
    while world.now < until {
        world.now += PULL_INTERVAL;
        world.read(reader);
        (0..NODES).filter(|node| *node != reader).for_each(|node| world.pull(node, reader));
        world.check();
    }
    world.assert_current();
}

#[test]
fn nodes_that_pull_from_one_reader_end_with_one_same_view() {
    // Guards against servers that run and are lost for good: the reader had not seen them removed and
    // come back, and never told those that had seen the removal.
    check("exchanged views", |u| {
        let mut world = World::new();
        for _ in 0..u.int_in_range(5..=60)? {
            step(&mut world, u)?;
        }
        settle(&mut world, u.choose_index(NODES)?);
        Ok(())
    });
}
