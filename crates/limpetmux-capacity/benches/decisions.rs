//! Benchmarks of frequent decisions at the target size, run by hand with
//! `cargo bench -p limpetmux-capacity`.

#![allow(missing_docs)]

use criterion::{Criterion, criterion_group, criterion_main};
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux_capacity::probe;
use limpetmux_test_support::{Size, sized_config};

fn routing(c: &mut Criterion) {
    let (mut routing, _) = probe::Routing::new(Size::TARGET);
    c.bench_function("routing decision", |b| b.iter(|| routing.decide()));
}

fn admission(c: &mut Criterion) {
    c.bench_function("admission of 100 calls", |b| b.iter(|| probe::admissions(100)));
}

fn compile(c: &mut Criterion) {
    let config = sized_config(Size::TARGET);
    c.bench_function("compile a view", |b| b.iter(|| View::compile(Revision(1), &config)));
}

fn plan(c: &mut Criterion) {
    let (mut planning, _) = probe::Planning::new(Size::TARGET);
    c.bench_function("planner round", |b| b.iter(|| planning.plan()));
}

criterion_group!(decisions, routing, admission, compile, plan);
criterion_main!(decisions);
