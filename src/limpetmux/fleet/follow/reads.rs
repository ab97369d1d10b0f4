//! Reads of the store's two topics, and how they change the view.

use super::{Follower, ORDERS_WAIT};
use crate::core::doubt::Doubt;
use crate::core::listing::ListRecord;
use crate::core::operator::Order;
use crate::core::time::Moment;
use crate::event;
use crate::platform::store::{Page, Record, StoreError};
use crate::platform::{orders, servers};
use crate::util::event::EventCode;
use std::collections::BTreeSet;
use std::time::Duration;

impl Follower {
    /// Reads new records of the operator, or the newest ones if the copy is empty or in doubt.
    pub(super) async fn read_orders(
        &self,
        requested_at: Moment,
        doubt: &mut Doubt,
    ) -> Result<(), StoreError> {
        let known = self.with_view(|v| v.orders.end_offset);
        if known == 0 || doubt.is_due() {
            return self.load_orders(requested_at, doubt).await;
        }
        match self.store.read(orders::TOPIC, known, ORDERS_WAIT).await {
            Ok(page) => {
                doubt.record(known, page.end);
                let changes = decode_orders(page.records.clone());
                let current = self.update(|v| match page.has_more {
                    true => v.orders.apply_part(page.end, changes),
                    false => v.orders.apply(requested_at, page.end, changes),
                });
                log_stale(current, &page);
                Ok(())
            }
            Err(StoreError::Trimmed) => self.load_orders(requested_at, doubt).await,
            Err(error) => Err(error),
        }
    }

    async fn load_orders(&self, requested_at: Moment, doubt: &mut Doubt) -> Result<(), StoreError> {
        let known = self.with_view(|v| v.orders.end_offset);
        let page = self.store.newest(orders::TOPIC).await?;
        let mut config = None;
        let mut evacuated = BTreeSet::new();
        for order in decode_orders(page.records.clone()) {
            match order {
                Order::Declare(d) => config = Some(d),
                Order::Evacuate(zone) => drop(evacuated.insert(zone)),
                Order::Restore(_) => {}
            }
        }
        let refutes = doubt.settle(known, page.end);
        let version = config.as_ref().map_or(0, |d| d.catalog.version);
        let (restarted, current) = self.update(|v| {
            let restarted = refutes && v.orders.restart(known, page.end, version);
            (restarted, v.orders.replace(requested_at, page.end, config, evacuated))
        });
        log_restart(restarted, orders::TOPIC, known, &page);
        log_stale(current, &page);
        Ok(())
    }

    /// Reads new records of backend servers, or the newest ones if the copy is empty or in doubt.
    pub(super) async fn read_listing(
        &self,
        requested_at: Moment,
        doubt: &mut Doubt,
    ) -> Result<(), StoreError> {
        let known = self.with_view(|v| v.listing.end_offset);
        if known == 0 || doubt.is_due() {
            return self.load_listing(requested_at, doubt).await;
        }
        match self.store.read(servers::TOPIC, known, Duration::ZERO).await {
            Ok(page) => {
                doubt.record(known, page.end);
                let entries = decode_servers(page.records.clone());
                let current = self.update(|v| {
                    let current = match page.has_more {
                        true => v.listing.apply_part(requested_at, page.end, entries),
                        false => v.listing.apply(requested_at, page.end, entries),
                    };
                    v.listing.expire(requested_at);
                    current
                });
                log_stale(current, &page);
                Ok(())
            }
            Err(StoreError::Trimmed) => self.load_listing(requested_at, doubt).await,
            Err(error) => Err(error),
        }
    }

    async fn load_listing(
        &self,
        requested_at: Moment,
        doubt: &mut Doubt,
    ) -> Result<(), StoreError> {
        let known = self.with_view(|v| v.listing.end_offset);
        let page = self.store.newest(servers::TOPIC).await?;
        let entries = decode_servers(page.records.clone());
        let refutes = doubt.settle(known, page.end);
        let (restarted, current) = self.update(|v| {
            let restarted = refutes && v.listing.restart(known, page.end);
            (restarted, v.listing.replace(requested_at, page.end, entries))
        });
        log_restart(restarted, servers::TOPIC, known, &page);
        log_stale(current, &page);
        Ok(())
    }
}

fn decode_orders(records: Vec<Record>) -> Vec<Order> {
    let mut decoded = Vec::new();
    for record in records {
        match orders::decode(&record) {
            Ok(order) => decoded.extend(order),
            Err(error) => {
                event!(EventCode::OrderUnreadable, source = record.key, reason = error);
            }
        }
    }
    decoded
}

fn decode_servers(records: Vec<Record>) -> Vec<ListRecord> {
    let mut decoded = Vec::new();
    for record in records {
        let (entry, error) = servers::decode(record);
        if let Some(error) = error {
            event!(EventCode::ServerUnreadable, server = entry.id, reason = error);
        }
        decoded.push(entry);
    }
    decoded
}

fn log_stale(current: bool, page: &Page) {
    if !current {
        event!(EventCode::StaleAnswer, end = page.end);
    }
}

fn log_restart(restarted: bool, topic: &str, known: u64, page: &Page) {
    if restarted {
        event!(EventCode::CopyRefuted, topic = topic, known = known, end = page.end);
    }
}
