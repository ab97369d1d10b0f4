//! The rules by which a router chooses among the hosts of a pool.

use super::slot::{Slot, SlotKey};
use super::{Pick, Pool, Query, Router};
use crate::core::keys::HostKey;
use crate::core::time::Moment;
use crate::core::view::View;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Candidates that are compared; the least loaded one is taken.
const CHOICES: usize = 2;
/// Random draws per candidate before unusable hosts are filtered out one by one.
const DRAWS: usize = 3;
/// The utilisation from which on other zones are considered.
const SPILL_UTILISATION: f64 = 0.8;
/// How much less utilised a host of another zone must be.
const SPILL_MARGIN: f64 = 0.1;
/// Hosts that are tried for a prompt prefix, in its rendezvous order.
const AFFINITY_HOSTS: usize = 3;
/// How many times the mean a host may hold for affinity, of the entry's own calls and of the
/// utilisation.
const AFFINITY_BALANCE: f64 = 1.25;
/// The utilisation up to which a host may hold more than that.
const AFFINITY_UTILISATION: f64 = 0.9;
/// At most one in this many hosts of a pool may be ejected.
const EJECTED_PARTS: usize = 3;

type Member = (HostKey, SlotKey);

/// The context of one choice.
struct Scene<'a, U> {
    now: Moment,
    view: &'a View,
    query: Query<'a>,
    usable: U,
    slots: &'a crate::core::arena::Arena<SlotKey, Slot>,
    declared: u32,
    usual: f64,
    /// Whether ejections count; they do not when too many hosts are ejected.
    ejections: bool,
}

impl<U: Fn(HostKey) -> bool> Scene<'_, U> {
    /// Returns whether the host may be sent to at all.
    fn is_allowed(&self, (host, _): Member) -> bool {
        !self.query.exclude.contains(&host) && self.view.is_serving(host) && (self.usable)(host)
    }

    /// Returns whether the host is expected to take the call.
    fn is_good(&self, member: Member) -> bool {
        let slot = &self.slots[member.1];
        self.is_allowed(member)
            && !slot.is_avoided(self.now)
            && !(self.ejections && slot.outlier.is_ejected(self.now))
    }

    fn utilisation(&self, (_, slot): Member) -> f64 {
        self.slots[slot].utilisation(self.now, self.declared, self.usual)
    }

    /// Returns the less utilised of two random good hosts.
    fn two_choices(&self, members: &[Member], rng: &mut impl Rng) -> Option<(Member, f64)> {
        let mut found: Vec<Member> = Vec::with_capacity(CHOICES);
        for _ in 0..CHOICES * DRAWS {
            let Some(member) = members.choose(rng) else { break };
            if !found.contains(member) && self.is_good(*member) {
                found.push(*member);
            }
            if found.len() == CHOICES {
                break;
            }
        }
        if found.is_empty() {
            let good: Vec<Member> = members.iter().copied().filter(|m| self.is_good(*m)).collect();
            found.extend(good.choose_multiple(rng, CHOICES));
        }
        self.least(found)
    }

    fn least(&self, members: Vec<Member>) -> Option<(Member, f64)> {
        let scored = members.into_iter().map(|m| (m, self.utilisation(m)));
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the first host in the prefix's rendezvous order that is not loaded beyond bounds.
    fn affine(&self, members: &[Member], prefix: u64) -> Option<(Member, f64)> {
        let mut good: Vec<(u64, Member, f64)> = members
            .iter()
            .filter(|m| self.is_good(**m))
            .map(|m| (rendezvous(prefix, self.slots[m.1].hash), *m, self.utilisation(*m)))
            .collect();
        let hosts = good.len().max(1) as f64;
        let own: u32 = good.iter().map(|(_, m, _)| self.slots[m.1].inflight).sum();
        let own_bound = (f64::from(own + 1) / hosts * AFFINITY_BALANCE).ceil();
        let mean = good.iter().map(|(.., u)| u).sum::<f64>() / hosts;
        let bound = (mean * AFFINITY_BALANCE).max(AFFINITY_UTILISATION);
        let fits = |m: Member, utilisation: f64| {
            f64::from(self.slots[m.1].inflight) + 1.0 <= own_bound && utilisation <= bound
        };
        good.sort_unstable_by_key(|(rank, ..)| std::cmp::Reverse(*rank));
        let first = good.iter().take(AFFINITY_HOSTS);
        first.copied().find(|(_, m, u)| fits(*m, *u)).map(|(_, m, u)| (m, u))
    }

    fn any_allowed(&self, members: &[Member], rng: &mut impl Rng) -> Option<(Member, f64)> {
        let allowed: Vec<Member> =
            members.iter().copied().filter(|m| self.is_allowed(*m)).collect();
        self.least(allowed.choose_multiple(rng, CHOICES).copied().collect())
    }
}

impl Router {
    pub(super) fn choose(
        &self,
        now: Moment,
        view: &View,
        query: Query<'_>,
        usable: impl Fn(HostKey) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let pool = self.pools.get(query.service)?;
        let declared = view.services.get(query.service)?.spec.concurrency;
        let usual = self.usual_share(pool, declared);
        let ejections = self.within_ejection_bound(now, pool, 0);
        let slots = &self.slots;
        let scene = Scene { now, view, query, usable, slots, declared, usual, ejections };
        let (host, slot) = choose_member(&scene, pool, rng)?;
        Some(Pick { host, slot })
    }

    /// Ejects a host unless its pool has too many ejected hosts already.
    pub(super) fn eject(&mut self, now: Moment, slot: SlotKey) {
        let holds = |p: &Pool| members(p).any(|(_, s)| *s == slot);
        let Some(pool) = self.pools.iter().map(|(_, p)| p).find(|p| holds(p)) else { return };
        if self.within_ejection_bound(now, pool, 1) {
            self.slots[slot].outlier.eject(now);
        }
    }

    /// Returns whether `more` ejections keep a pool within its bound.
    fn within_ejection_bound(&self, now: Moment, pool: &Pool, more: usize) -> bool {
        let total = members(pool).count();
        let ejected = members(pool).filter(|(_, s)| self.slots[*s].outlier.is_ejected(now));
        ejected.count() + more <= total / EJECTED_PARTS
    }

    /// Returns the mean share of the limit that other entries use, over hosts that reported.
    fn usual_share(&self, pool: &Pool, declared: u32) -> f64 {
        let shares = members(pool).filter_map(|(_, s)| self.slots[*s].others_share(declared));
        let (sum, count) = shares.fold((0.0, 0_u32), |(sum, n), share| (sum + share, n + 1));
        sum / f64::from(count.max(1))
    }
}

/// Own zone first, other zones before saturation, then whatever may be sent to at all.
fn choose_member<U: Fn(HostKey) -> bool>(
    scene: &Scene<'_, U>,
    pool: &Pool,
    rng: &mut impl Rng,
) -> Option<Member> {
    let affine = |members: &[Member]| scene.query.affinity.and_then(|p| scene.affine(members, p));
    let local = affine(&pool.local).or_else(|| scene.two_choices(&pool.local, rng));
    if let Some((member, utilisation)) = local
        && utilisation <= SPILL_UTILISATION
    {
        return Some(member);
    }
    let remote = affine(&pool.remote).or_else(|| scene.two_choices(&pool.remote, rng));
    let best = match (local, remote) {
        (Some(l), Some(r)) if r.1 + SPILL_MARGIN < l.1 => Some(r),
        (l, r) => l.or(r),
    };
    best.or_else(|| scene.two_choices(&pool.rest, rng))
        .or_else(|| scene.any_allowed(&pool.local, rng))
        .or_else(|| scene.any_allowed(&pool.remote, rng))
        .or_else(|| scene.any_allowed(&pool.rest, rng))
        .map(|(member, _)| member)
}

/// The hosts that the entry usually sends to.
fn members(pool: &Pool) -> impl Iterator<Item = &Member> {
    pool.local.iter().chain(&pool.remote)
}

/// Mixes a prefix and a host into a rank; the multipliers are those of a 64-bit finalizer.
fn rendezvous(prefix: u64, host: u64) -> u64 {
    let mut x = prefix ^ host.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
