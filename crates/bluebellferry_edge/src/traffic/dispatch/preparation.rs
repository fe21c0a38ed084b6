//! Opens connections before a statement needs them.

use std::rc::Rc;

use bluebellferry_runtime::clock;

use crate::traffic::dispatch;

impl dispatch::Dispatcher {
    /// Starts to open a connection to the first-ranked database for a statement that is expected
    /// soon, unless the workspace has an idle one there or statements wait for one.
    pub fn prepare_connection(self: &Rc<Self>, request: &dispatch::PlacementRequest) {
        let now = clock::now();
        let snapshot = self.shared.snapshot();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let ranked = self.rank(state, request, now);
        let Some((best, _)) = ranked.first().copied() else {
            return;
        };
        let workspace = &request.pool_request.workspace;
        let is_assessed = {
            let entry = &state.records[best].entry;
            snapshot.verdicts.contains_key(&entry.id)
        };
        // A handshake costs a busy database as much as a statement.
        let is_needed = !is_assessed
            && state.records[best].has_room(now)
            && state.pool.waiting_count_for(best) == 0
            && !state.pool.has_connection_for(workspace, best);
        if let Some(opening) = is_needed
            .then(|| state.pool.begin_open(workspace, best, now))
            .flatten()
        {
            self.metrics.count_connection("prepared");
            self.open(opening, request.needs.clone());
        }
    }
}
