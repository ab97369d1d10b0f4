//! Clients that misbehave, at an entry that runs as a process of its own.
//!
//! Each test plays one kind of crowd at every door of the process, one test at a time. What is checked
//! does not depend on the speed of the machine: the process lives, its memory and descriptors stay
//! under the bounds of its settings, and callers are served beside and after the crowd.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod crowd;
mod fixture;
mod own;
mod prompts;
mod readers;
mod servers;

use crowd::{Crowd, Manner};
use fixture::{Door, Fixture, alone};

/// Plays a crowd at every door, and checks the process beside and after each.
fn play(name: &str, manner: Manner) {
    alone(async {
        let fixture = Fixture::start(name).await;
        for door in Door::ALL {
            let crowd = Crowd::start(fixture.addr(door), door, manner).await;

            fixture.check_served(door, manner).await;

            drop(crowd);
            fixture.check_served(door, manner).await;
        }
        fixture.check_bounds();
    });
}

#[test]
fn whole_bodies_at_once() {
    // Load: many bodies of the largest size at once, each in one piece.
    play("whole", Manner::Whole);
}

#[test]
fn whole_bodies_that_stop_short() {
    // Load: many bodies that lack their last byte and stay open, sent in one piece.
    play("short", Manner::Short);
}

#[test]
fn bodies_in_small_pieces_that_stop_short() {
    // Load: many bodies that lack their last byte and stay open, sent in small pieces.
    play("pieces", Manner::Pieces);
}

#[test]
fn bodies_in_chunks_that_stop_short() {
    // Load: many bodies in small chunks that lack their end and stay open.
    play("chunks", Manner::Chunks);
}

#[test]
fn bodies_far_over_the_limit() {
    // Load: many bodies far over the limit, by their length or in chunks without an end.
    play("over", Manner::Over);
}

#[test]
fn heads_of_many_short_fields() {
    // Load: many requests of legal size that consist of very many short fields.
    play("fields", Manner::Fields);
}

#[test]
fn requests_ahead_without_reading() {
    // Load: many requests sent ahead on each connection whose answers are not read.
    play("ahead", Manner::Ahead);
}

#[test]
fn slow_senders() {
    // Load: many bodies of which most arrives at once and the rest a byte at a time.
    play("slow", Manner::SlowBody);
}

#[test]
fn slow_heads() {
    // Load: many heads that arrive a byte at a time.
    play("heads", Manner::SlowHead);
}

#[test]
fn slow_readers() {
    // Load: many long answers that are read a few bytes at a time.
    play("readers", Manner::SlowReader);
}

#[test]
fn bodies_that_stop_half_way() {
    // Load: waves of clients that send half of a body and leave.
    play("half", Manner::Half);
}

#[test]
fn connections_to_all_doors() {
    // Load: more connections than the process has descriptors, at all its doors together.
    alone(async {
        let fixture = Fixture::start("doors").await;
        let mut crowds = Vec::new();
        for door in Door::ALL {
            crowds.push(Crowd::start(fixture.addr(door), door, Manner::Silent).await);
        }

        fixture.check_bounds();

        drop(crowds);
        fixture.check_served(Door::Known, Manner::Silent).await;
        fixture.check_bounds();
    });
}
