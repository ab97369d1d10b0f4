//! Faults, and operators who take zones out and back.

use super::{ENTRY_LEARNS, SIDECAR_LEARNS, World};
use crate::Fault;
use crate::event::Event;
use crate::route::ZONES;
use crate::side::Side;
use limpetmux::core::keys::{ArenaKey, HostKey};
use limpetmux_test_support::config::name;
use limpetmux_test_support::policy::view;
use std::rc::Rc;

impl World<'_> {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Restart(_, n) => self.side(self.writers[n].index(), Side::restart),
            Fault::Slow(_, n, parts) => {
                let pace = 1.0 / f64::from(parts);
                self.side(self.encoders[n].index(), |side, now| side.set_pace(now, pace));
            }
            Fault::TurnCold(_, n) => self.side(self.writers[n].index(), Side::turn_cold),
            Fault::ZoneOut(_, n) => self.set_zone(n, false),
            Fault::ZoneBack(_, n) => {
                let policy = self.policy;
                for host in self.zone_hosts(n) {
                    self.side(host, |side, now| side.replace(now, policy));
                }
                self.set_zone(n, true);
            }
        }
    }

    pub(super) fn set_zone(&mut self, zone: usize, serving: bool) {
        if let Some(spec) = self.config.zones.get_mut(&name(ZONES[zone])) {
            spec.serving = serving;
        }
        self.revision += 1;
        let view = Rc::new(view(self.revision, &self.config));
        for host in self.zone_hosts(zone) {
            self.after(SIDECAR_LEARNS, Event::SideLearns(host, serving));
        }
        for entry in 0..self.entries.len() {
            let delay = ENTRY_LEARNS * (entry as u32 % 10 + 1);
            self.after(delay, Event::EntryLearns(entry, Rc::clone(&view)));
        }
    }

    pub(super) fn zone_hosts(&self, zone: usize) -> Vec<usize> {
        let view = &self.entries[0].view;
        let of_zone = |h: &HostKey| view.zones[view.hosts[*h].zone].name.as_str() == ZONES[zone];
        view.hosts.keys().filter(of_zone).map(|h| h.index()).collect()
    }
}
