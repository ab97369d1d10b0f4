//! Injects faults and operators' changes to zones.

use super::{ENTRY_UPDATE_STEP, SIDECAR_UPDATE_DELAY, Simulation};
use crate::Fault;
use crate::event::Event;
use crate::host::Host;
use crate::route::ZONES;
use limpetmux::core::keys::{ArenaKey, HostKey};
use limpetmux_test_support::config::name;
use limpetmux_test_support::policy::view;
use std::rc::Rc;

impl Simulation<'_> {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Restart(_, n) => self.update_host(self.writers[n].index(), Host::restart),
            Fault::Slow(_, n, slowdown) => {
                let speed_factor = 1.0 / f64::from(slowdown);
                self.update_host(self.encoders[n].index(), |host, now| {
                    host.set_speed_factor(now, speed_factor)
                });
            }
            Fault::TurnCold(_, n) => self.update_host(self.writers[n].index(), Host::turn_cold),
            Fault::ZoneOut(_, n) => self.set_zone(n, false),
            Fault::ZoneBack(_, n) => {
                let policy = self.policy;
                for host in self.zone_hosts(n) {
                    self.update_host(host, |host, now| host.restart_all(now, policy));
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
            self.schedule(SIDECAR_UPDATE_DELAY, Event::SidecarUpdate(host, serving));
        }
        for entry in 0..self.entries.len() {
            let delay = ENTRY_UPDATE_STEP * (entry as u32 % 10 + 1);
            self.schedule(delay, Event::EntryUpdate(entry, Rc::clone(&view)));
        }
    }

    pub(super) fn zone_hosts(&self, zone: usize) -> Vec<usize> {
        let view = &self.entries[0].view;
        let in_zone = |h: &HostKey| view.zones[view.hosts[*h].zone].name.as_str() == ZONES[zone];
        view.hosts.keys().filter(in_zone).map(|h| h.index()).collect()
    }
}
