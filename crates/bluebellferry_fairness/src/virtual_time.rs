//! Whose turn it is: virtual time of workspaces that share a database.

use std::collections::HashMap;

use bluebellferry_types::name;

/// The virtual time that one turn of weight 1 takes.
pub const TURN_LENGTH: u64 = 1 << 20;

/// The virtual time of one shared resource, by start-time fair queueing.
///
/// Each turn of a workspace starts where its last one finished. The time of the
/// clock is the start of the latest turn; a workspace that had nothing to do
/// begins there, so that quiet times are not saved up.
#[derive(Debug, Default)]
pub struct VirtualClock {
    time: u64,
    finishes: HashMap<name::WorkspaceName, u64>,
}

impl VirtualClock {
    /// Lets a workspace's next turn start now, unless it has one to come.
    pub fn activate(&mut self, workspace: &name::WorkspaceName) {
        if !self.finishes.contains_key(workspace) {
            self.finishes.insert(workspace.clone(), self.time);
        }
    }

    /// Returns the virtual time at which a workspace's next turn starts.
    pub fn next_start(&self, workspace: &name::WorkspaceName) -> u64 {
        self.finishes.get(workspace).copied().unwrap_or(self.time)
    }

    /// Assigns a workspace with the given weight, at least 1, its next turn.
    /// Returns the virtual time at which the turn starts.
    pub fn assign_turn(&mut self, workspace: &name::WorkspaceName, weight: u32) -> u64 {
        let start = self.next_start(workspace);
        let finish = start + TURN_LENGTH / u64::from(weight.max(1));
        self.finishes.insert(workspace.clone(), finish);
        start
    }

    /// Notes that a turn has begun. Forgets workspaces whose turns are over and that
    /// are not `waiting`.
    pub fn advance(&mut self, start: u64, waiting: impl Fn(&name::WorkspaceName) -> bool) {
        self.time = self.time.max(start);
        let time = self.time;
        self.finishes
            .retain(|workspace, finish| *finish > time || waiting(workspace));
    }
}
