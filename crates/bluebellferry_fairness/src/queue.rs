//! A weighted fair queue: start-time fair queueing over workspaces.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use bluebellferry_types::name;

use crate::virtual_time;

/// The queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// Waiting requests, ordered by virtual start time.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: HashMap<name::WorkspaceName, VecDeque<(u64, T)>>,
    heads: BTreeMap<(u64, name::WorkspaceName), ()>,
    clock: virtual_time::VirtualClock,
    waiting: usize,
    capacity: usize,
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            lines: HashMap::new(),
            heads: BTreeMap::new(),
            clock: virtual_time::VirtualClock::default(),
            waiting: 0,
            capacity,
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Adds a request of a workspace with the given weight, at least 1.
    ///
    /// A workspace may hold its weighted share of the capacity and beyond it
    /// only what others leave free.
    ///
    /// # Errors
    /// Fails when the queue is full.
    pub fn push(
        &mut self,
        workspace: &name::WorkspaceName,
        weight: u32,
        request: T,
    ) -> Result<(), QueueFull> {
        let own = self.lines.get(workspace).map_or(0, VecDeque::len);
        // Half of the capacity is kept for workspaces that wait with little.
        let small = own < self.capacity / 16;
        let limit = if small {
            self.capacity
        } else {
            self.capacity / 2
        };
        if self.waiting >= limit {
            return Err(QueueFull);
        }
        let start = self.clock.assign_turn(workspace, weight);
        let line = self.lines.entry(workspace.clone()).or_default();
        if line.is_empty() {
            self.heads.insert((start, workspace.clone()), ());
        }
        line.push_back((start, request));
        self.waiting += 1;
        Ok(())
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let ((start, workspace), ()) = self.heads.pop_first()?;
        let line = self.lines.get_mut(&workspace)?;
        let (_, request) = line.pop_front()?;
        self.waiting -= 1;
        if let Some((next, _)) = line.front() {
            self.heads.insert((*next, workspace), ());
        } else {
            self.lines.remove(&workspace);
        }
        if self.waiting == 0 {
            self.clock = virtual_time::VirtualClock::default();
        } else {
            self.clock
                .advance(start, |one| self.lines.contains_key(one));
        }
        Some(request)
    }
}
