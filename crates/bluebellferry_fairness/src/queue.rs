//! A weighted fair queue: start-time fair queueing over workspaces.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use bluebellferry_types::name;

use crate::virtual_time;

/// The error of adding a request to a full queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// The waiting requests of all workspaces, served by virtual start time.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// The requests of each workspace, with the virtual times at which they start.
    queues: HashMap<name::WorkspaceName, VecDeque<(u64, T)>>,
    /// The workspaces that have waiting requests, by the virtual start time of the first one.
    next_starts: BTreeMap<(u64, name::WorkspaceName), ()>,
    clock: virtual_time::VirtualClock,
    waiting_count: usize,
    capacity: usize,
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            queues: HashMap::new(),
            next_starts: BTreeMap::new(),
            clock: virtual_time::VirtualClock::default(),
            waiting_count: 0,
            capacity,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting_count
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting_count == 0
    }

    /// Adds a request of a workspace with the given weight; 0 counts as 1.
    ///
    /// Half of the capacity is reserved for workspaces with few waiting requests: fewer than
    /// 1/16 of the capacity.
    ///
    /// # Errors
    /// Fails if the queue is full for this workspace.
    pub fn push(
        &mut self,
        workspace: &name::WorkspaceName,
        weight: u32,
        request: T,
    ) -> Result<(), QueueFull> {
        let own_count = self.queues.get(workspace).map_or(0, VecDeque::len);
        // Only a workspace with few waiting requests may use the reserved half of the capacity.
        let has_few_waiting = own_count < self.capacity / 16;
        let limit = if has_few_waiting {
            self.capacity
        } else {
            self.capacity / 2
        };
        if self.waiting_count >= limit {
            return Err(QueueFull);
        }
        let start = self.clock.assign_turn(workspace, weight);
        let queue = self.queues.entry(workspace.clone()).or_default();
        if queue.is_empty() {
            self.next_starts.insert((start, workspace.clone()), ());
        }
        queue.push_back((start, request));
        self.waiting_count += 1;
        Ok(())
    }

    /// Removes and returns the request with the earliest virtual start time.
    pub fn pop(&mut self) -> Option<T> {
        let ((start, workspace), ()) = self.next_starts.pop_first()?;
        let queue = self.queues.get_mut(&workspace)?;
        let (_, request) = queue.pop_front()?;
        self.waiting_count -= 1;
        if let Some((next_start, _)) = queue.front() {
            self.next_starts.insert((*next_start, workspace), ());
        } else {
            self.queues.remove(&workspace);
        }
        if self.waiting_count == 0 {
            self.clock = virtual_time::VirtualClock::default();
        } else {
            self.clock
                .advance(start, |candidate| self.queues.contains_key(candidate));
        }
        Some(request)
    }
}
