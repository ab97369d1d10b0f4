//! The rules by which a router selects among the hosts of a pool.

use super::slot::{Slot, SlotKey};
use super::{Pick, Pool, Query, Router};
use crate::core::keys::HostKey;
use crate::core::time::Moment;
use crate::core::view::View;
use rand::Rng;
use rand::seq::IndexedRandom;

/// The number of candidates to compare; the least utilised one is selected.
const CHOICES: usize = 2;
/// The number of random draws per candidate, after which all hosts are filtered one by one.
const DRAWS: usize = 3;
/// The utilisation of the local candidate above which other zones are considered.
const SPILL_UTILISATION: f64 = 0.8;
/// How much lower the utilisation of a host in another zone must be.
const SPILL_MARGIN: f64 = 0.1;
/// The number of hosts to consider for a prompt prefix, in its rendezvous order.
const AFFINITY_HOSTS: usize = 3;
/// The maximum ratio of a host's load to the mean when it is selected by affinity, both for the
/// entry's own calls and for the utilisation.
const AFFINITY_BALANCE: f64 = 1.25;
/// The utilisation up to which a host may be selected regardless of the mean utilisation.
const AFFINITY_UTILISATION: f64 = 0.9;
/// At most one in this many hosts of a pool may be ejected.
const EJECTED_PARTS: usize = 3;

type Member = (HostKey, SlotKey);

/// The context of one selection.
struct Context<'a, U> {
    now: Moment,
    view: &'a View,
    query: Query<'a>,
    usable: U,
    slots: &'a crate::core::arena::Arena<SlotKey, Slot>,
    /// The declared concurrency of the service.
    declared: u32,
    /// The mean utilisation of the pool's hosts by other entries.
    mean_share: f64,
    /// Whether to skip ejected hosts; false if too many hosts are ejected.
    skip_ejected: bool,
}

impl<U: Fn(HostKey) -> bool> Context<'_, U> {
    /// Returns whether calls may be sent to the host at all.
    fn is_allowed(&self, (host, _): Member) -> bool {
        !self.query.exclude.contains(&host) && self.view.is_serving(host) && (self.usable)(host)
    }

    /// Returns whether the host is expected to admit the call.
    fn is_preferred(&self, member: Member) -> bool {
        let slot = &self.slots[member.1];
        self.is_allowed(member)
            && !slot.is_avoided(self.now)
            && !(self.skip_ejected && slot.outlier.is_ejected(self.now))
    }

    fn utilisation(&self, (_, slot): Member) -> f64 {
        self.slots[slot].utilisation(self.now, self.declared, self.mean_share)
    }

    /// Returns the less utilised of two random preferred hosts.
    fn two_choices(&self, members: &[Member], rng: &mut impl Rng) -> Option<(Member, f64)> {
        let mut found: Vec<Member> = Vec::with_capacity(CHOICES);
        for _ in 0..CHOICES * DRAWS {
            let Some(member) = members.choose(rng) else { break };
            if !found.contains(member) && self.is_preferred(*member) {
                found.push(*member);
            }
            if found.len() == CHOICES {
                break;
            }
        }
        if found.is_empty() {
            let preferred: Vec<Member> =
                members.iter().copied().filter(|m| self.is_preferred(*m)).collect();
            found.extend(preferred.choose_multiple(rng, CHOICES));
        }
        self.least_utilised(found)
    }

    fn least_utilised(&self, members: Vec<Member>) -> Option<(Member, f64)> {
        let scored = members.into_iter().map(|m| (m, self.utilisation(m)));
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the first host in the prefix's rendezvous order whose load is within the bounds.
    fn affine(&self, members: &[Member], prefix: u64) -> Option<(Member, f64)> {
        let mut preferred: Vec<(u64, Member, f64)> = members
            .iter()
            .filter(|m| self.is_preferred(**m))
            .map(|m| (rendezvous(prefix, self.slots[m.1].hash), *m, self.utilisation(*m)))
            .collect();
        let hosts = preferred.len().max(1) as f64;
        let own: u32 = preferred.iter().map(|(_, m, _)| self.slots[m.1].inflight).sum();
        let own_bound = (f64::from(own + 1) / hosts * AFFINITY_BALANCE).ceil();
        let mean = preferred.iter().map(|(.., u)| u).sum::<f64>() / hosts;
        let bound = (mean * AFFINITY_BALANCE).max(AFFINITY_UTILISATION);
        let fits = |m: Member, utilisation: f64| {
            f64::from(self.slots[m.1].inflight) + 1.0 <= own_bound && utilisation <= bound
        };
        preferred.sort_unstable_by_key(|(rank, ..)| std::cmp::Reverse(*rank));
        let ranked = preferred.iter().take(AFFINITY_HOSTS);
        ranked.copied().find(|(_, m, u)| fits(*m, *u)).map(|(_, m, u)| (m, u))
    }

    fn any_allowed(&self, members: &[Member], rng: &mut impl Rng) -> Option<(Member, f64)> {
        let allowed: Vec<Member> =
            members.iter().copied().filter(|m| self.is_allowed(*m)).collect();
        self.least_utilised(allowed.choose_multiple(rng, CHOICES).copied().collect())
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
        let mean_share = self.mean_share(pool, declared);
        let skip_ejected = self.within_ejection_bound(now, pool, 0);
        let slots = &self.slots;
        let context =
            Context { now, view, query, usable, slots, declared, mean_share, skip_ejected };
        let (host, slot) = choose_member(&context, pool, rng)?;
        Some(Pick { host, slot })
    }

    /// Ejects a host unless too many hosts of its pool are already ejected.
    pub(super) fn eject(&mut self, now: Moment, slot: SlotKey) {
        let contains = |p: &Pool| members(p).any(|(_, s)| *s == slot);
        let Some(pool) = self.pools.iter().map(|(_, p)| p).find(|p| contains(p)) else { return };
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

    /// Returns the mean utilisation by other entries, over the hosts that have reported a load.
    fn mean_share(&self, pool: &Pool, declared: u32) -> f64 {
        let shares = members(pool).filter_map(|(_, s)| self.slots[*s].others_share(declared));
        let (sum, count) = shares.fold((0.0, 0_u32), |(sum, n), share| (sum + share, n + 1));
        sum / f64::from(count.max(1))
    }
}

/// Selects a host of the own zone if one is not too utilised, then of other zones, then any allowed
/// host.
fn choose_member<U: Fn(HostKey) -> bool>(
    context: &Context<'_, U>,
    pool: &Pool,
    rng: &mut impl Rng,
) -> Option<Member> {
    let affine =
        |members: &[Member]| context.query.affinity.and_then(|p| context.affine(members, p));
    let local = affine(&pool.local).or_else(|| context.two_choices(&pool.local, rng));
    if let Some((member, utilisation)) = local
        && utilisation <= SPILL_UTILISATION
    {
        return Some(member);
    }
    let remote = affine(&pool.remote).or_else(|| context.two_choices(&pool.remote, rng));
    let best = match (local, remote) {
        (Some(l), Some(r)) if r.1 + SPILL_MARGIN < l.1 => Some(r),
        (l, r) => l.or(r),
    };
    best.or_else(|| context.two_choices(&pool.rest, rng))
        .or_else(|| context.any_allowed(&pool.local, rng))
        .or_else(|| context.any_allowed(&pool.remote, rng))
        .or_else(|| context.any_allowed(&pool.rest, rng))
        .map(|(member, _)| member)
}

/// Iterates over the hosts of the pool's subset.
fn members(pool: &Pool) -> impl Iterator<Item = &Member> {
    pool.local.iter().chain(&pool.remote)
}

/// Hashes a prefix and a host into a rank; the multipliers are those of a 64-bit finalizer.
fn rendezvous(prefix: u64, host: u64) -> u64 {
    let mut x = prefix ^ host.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
