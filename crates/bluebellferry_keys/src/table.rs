//! The table of valid keys.

use std::collections::HashMap;

use bluebellferry_types::name;

use crate::digest;

#[derive(Debug, Clone, Default)]
struct WorkspaceKeys {
    generation: u64,
    digests: Vec<digest::KeyDigest>,
}

/// All valid keys by digest, and each workspace's generation.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    owners: HashMap<digest::KeyDigest, name::WorkspaceName>,
    workspaces: HashMap<name::WorkspaceName, WorkspaceKeys>,
}

impl KeyTable {
    /// Replaces a workspace's keys unless a newer generation is in force.
    ///
    /// Returns whether anything was replaced.
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
        for digest in &keys.digests {
            self.owners.remove(digest);
        }
        for digest in &digests {
            self.owners.insert(*digest, workspace.clone());
        }
        *keys = WorkspaceKeys {
            generation,
            digests,
        };
        true
    }

    /// Removes one key at once, ahead of the workspace's next generation.
    pub fn remove(&mut self, digest: &digest::KeyDigest) {
        if let Some(owner) = self.owners.remove(digest)
            && let Some(keys) = self.workspaces.get_mut(&owner)
        {
            keys.digests.retain(|known| known != digest);
        }
    }

    /// Returns the workspace that a key belongs to.
    pub fn find_owner(&self, presented: &digest::KeyDigest) -> Option<&name::WorkspaceName> {
        let (stored, owner) = self.owners.get_key_value(presented)?;
        stored.matches(presented).then_some(owner)
    }

    /// Returns the digests of a workspace's keys.
    pub fn digests(&self, workspace: &name::WorkspaceName) -> &[digest::KeyDigest] {
        self.workspaces
            .get(workspace)
            .map_or(&[], |keys| &keys.digests)
    }

    /// Returns the number of valid keys.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether no key is valid.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the generation of a workspace's keys; 0 before the first.
    pub fn generation(&self, workspace: &name::WorkspaceName) -> u64 {
        self.workspaces
            .get(workspace)
            .map_or(0, |keys| keys.generation)
    }

    /// Returns whether a key is still valid for a workspace.
    pub fn is_valid(&self, workspace: &name::WorkspaceName, digest: &digest::KeyDigest) -> bool {
        self.find_owner(digest) == Some(workspace)
    }
}
