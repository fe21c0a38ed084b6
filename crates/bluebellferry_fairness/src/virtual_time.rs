//! The virtual time of workspaces that take turns at a shared database.

use std::collections::HashMap;

use bluebellferry_types::name;

/// The virtual duration of one turn of a workspace with weight 1.
pub const TURN_LENGTH: u64 = 1 << 20;

/// The virtual clock of one shared database, by start-time fair queueing.
///
/// Each request that is served is a turn of its workspace. A turn of a workspace starts when the
/// previous one finished, in virtual time. The time of the clock is the latest start of a turn
/// that has begun. The first turn of a workspace that was inactive starts at this time, so that
/// a workspace accumulates no credit while it is inactive.
#[derive(Debug, Default)]
pub struct VirtualClock {
    time: u64,
    /// The virtual time at which the last turn of each active workspace finishes.
    finishes: HashMap<name::WorkspaceName, u64>,
}

impl VirtualClock {
    /// Activates a workspace that begins to wait: its next turn starts at the current virtual
    /// time. Has no effect on an active workspace.
    pub fn activate(&mut self, workspace: &name::WorkspaceName) {
        if !self.finishes.contains_key(workspace) {
            self.finishes.insert(workspace.clone(), self.time);
        }
    }

    /// Returns the virtual time at which a workspace's next turn starts.
    pub fn next_start(&self, workspace: &name::WorkspaceName) -> u64 {
        self.finishes.get(workspace).copied().unwrap_or(self.time)
    }

    /// Assigns the next turn to a workspace with the given weight; 0 counts as 1. Returns the
    /// virtual time at which the turn starts.
    pub fn assign_turn(&mut self, workspace: &name::WorkspaceName, weight: u32) -> u64 {
        let start = self.next_start(workspace);
        let finish = start + TURN_LENGTH / u64::from(weight.max(1));
        self.finishes.insert(workspace.clone(), finish);
        start
    }

    /// Advances the clock to the start of a turn that has begun. Deactivates workspaces whose
    /// turns have finished and for which `is_waiting` returns false.
    pub fn advance(&mut self, start: u64, is_waiting: impl Fn(&name::WorkspaceName) -> bool) {
        self.time = self.time.max(start);
        let time = self.time;
        self.finishes
            .retain(|workspace, finish| *finish > time || is_waiting(workspace));
    }
}
