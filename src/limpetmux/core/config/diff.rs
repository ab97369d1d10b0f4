//! The difference between two configurations as a minimal list of edits.

use super::{Config, Edit, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Who decides whether declared hosts run and declared zones serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The configuration in force: declarations only give new objects their first state.
    InForce,
    /// The declarations.
    Declared,
}

/// Returns the edits that turn one configuration into another.
///
/// With [`Ownership::InForce`] the `serving` and `running` flags of existing objects stay as they
/// are, so that applying a file from version control does not return a zone to service that an
/// operator has taken out of service.
pub fn diff(from: &Config, to: &Config, ownership: Ownership) -> Vec<Edit> {
    let mut edits = Vec::new();
    let keep_flags = ownership == Ownership::InForce;
    changed(&from.zones, &to.zones, |old, new| {
        new.serving = if keep_flags { old.serving } else { new.serving };
    })
    .for_each(|(name, spec)| edits.push(Edit::Zone(name, spec)));
    changed(&from.hosts, &to.hosts, |old, new| {
        new.running = if keep_flags { old.running } else { new.running };
    })
    .for_each(|(name, spec)| edits.push(Edit::Host(name, spec)));
    changed(&from.services, &to.services, |_, _| {})
        .for_each(|(name, spec)| edits.push(Edit::Service(name, spec)));
    changed(&from.pipelines, &to.pipelines, |_, _| {})
        .for_each(|(name, spec)| edits.push(Edit::Pipeline(name, spec)));
    changed(&from.workspaces, &to.workspaces, |_, _| {})
        .for_each(|(name, spec)| edits.push(Edit::Workspace(name, spec)));
    edits
}

/// Iterates over the names whose values differ, with the new value or `None` if it was removed.
fn changed<'a, V: Clone + PartialEq>(
    from: &'a BTreeMap<Name, V>,
    to: &'a BTreeMap<Name, V>,
    keep: impl Fn(&V, &mut V) + 'a,
) -> impl Iterator<Item = (Name, Option<V>)> + 'a {
    let names: BTreeSet<&Name> = from.keys().chain(to.keys()).collect();
    names.into_iter().filter_map(move |name| {
        let old = from.get(name);
        let mut new = to.get(name).cloned();
        if let (Some(old), Some(new)) = (old, &mut new) {
            keep(old, new);
        }
        (old != new.as_ref()).then(|| (name.clone(), new))
    })
}
