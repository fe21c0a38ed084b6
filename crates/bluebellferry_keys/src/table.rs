//! The table of valid keys and the workspaces that they belong to.

use std::collections::HashMap;

use bluebellferry_types::name;

use crate::digest;

#[derive(Debug, Clone, Default)]
struct WorkspaceKeys {
    generation: u64,
    digests: Vec<digest::KeyDigest>,
}

/// The digests of all valid keys, and the generation of each workspace's keys.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    owners: HashMap<digest::KeyDigest, name::WorkspaceName>,
    workspaces: HashMap<name::WorkspaceName, WorkspaceKeys>,
}

impl KeyTable {
    /// Replaces the keys of a workspace if `generation` is newer than that of its current keys.
    /// Returns whether the keys were replaced.
    pub fn replace_workspace(
        &mut self,
        workspace: &name::WorkspaceName,
        generation: u64,
        digests: Vec<digest::KeyDigest>,
    ) -> bool {
        let keys = self.workspaces.entry(workspace.clone()).or_default();
        if generation <= keys.generation {
            return false;
        }
        let newer = WorkspaceKeys {
            generation,
            digests,
        };
        let former = std::mem::replace(keys, newer);
        for digest in former.digests {
            self.disown(workspace, &digest);
        }
        for digest in &self.workspaces[workspace].digests {
            self.owners.insert(*digest, workspace.clone());
        }
        true
    }

    /// Takes a key from a workspace that no longer lists it. Keys pass from one workspace to another
    /// by two updates that arrive in any order, so another workspace may own it by now, or list it.
    fn disown(&mut self, workspace: &name::WorkspaceName, digest: &digest::KeyDigest) {
        if self.owners.get(digest) != Some(workspace) {
            return;
        }
        let others = self.workspaces.iter();
        let listing = others.filter(|(_, keys)| keys.digests.contains(digest));
        // All VMs choose the same one.
        let heir = listing.map(|(other, _)| other).min();
        match heir.cloned() {
            Some(heir) => self.owners.insert(*digest, heir),
            None => self.owners.remove(digest),
        };
    }

    /// Removes a withdrawn key immediately, without waiting for the next generation of the
    /// workspaces that list it.
    pub fn remove(&mut self, digest: &digest::KeyDigest) {
        if self.owners.remove(digest).is_some() {
            for keys in self.workspaces.values_mut() {
                keys.digests.retain(|valid| valid != digest);
            }
        }
    }

    /// Returns the workspace that a valid key belongs to, or `None` if the key is not valid.
    pub fn find_owner(&self, presented: &digest::KeyDigest) -> Option<&name::WorkspaceName> {
        let (stored, owner) = self.owners.get_key_value(presented)?;
        stored.matches(presented).then_some(owner)
    }

    /// Returns the digests of a workspace's valid keys.
    pub fn digests_of(&self, workspace: &name::WorkspaceName) -> &[digest::KeyDigest] {
        self.workspaces
            .get(workspace)
            .map_or(&[], |keys| &keys.digests)
    }

    /// Returns the number of valid keys.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether the table has no valid key.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the generation of a workspace's keys, or 0 if it never had keys.
    pub fn generation_of(&self, workspace: &name::WorkspaceName) -> u64 {
        self.workspaces
            .get(workspace)
            .map_or(0, |keys| keys.generation)
    }

    /// Returns whether a key is valid for a workspace.
    pub fn is_valid(&self, workspace: &name::WorkspaceName, digest: &digest::KeyDigest) -> bool {
        self.find_owner(digest) == Some(workspace)
    }
}
