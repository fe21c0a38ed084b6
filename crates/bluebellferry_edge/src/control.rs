//! The control thread: maintains this VM's view of the fleet and sends it to other VMs.
//!
//! [`state::ControlState`] holds the view. Several tasks on the same thread update it from
//! the store, the messages of other VMs and the results of callers' statements.

pub mod allocation;
pub mod configuration;
pub mod evacuations;
pub mod heartbeats;
pub mod members;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod probing;
pub mod registry;
pub mod replacement;
mod restoration;
pub mod state;
pub mod store_copies;
pub mod store_gate;
pub mod suspicion;
pub mod tokens;
pub mod transfer_slots;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::shared;

/// The control state, shared by the control tasks.
pub type ControlCell = Rc<RefCell<state::ControlState>>;

/// The sockets for communication with other VMs.
#[derive(Debug)]
pub struct PeerSockets {
    /// The socket for heartbeats and rate tokens.
    pub udp: UdpSocket,
    /// The listener from which other VMs fetch store copies; see [`store_copies`].
    pub store_copies: TcpListener,
}

/// Runs the control tasks until the process ends.
pub async fn run(
    shared: Arc<shared::EdgeShared>,
    evidence: mpsc::Receiver<shared::LeaderEvidence>,
    sockets: PeerSockets,
    configuration_metrics: metrics::ConfigurationMetrics,
) {
    let links = Rc::new(peers::PeerLinks::new(sockets.udp, &shared));
    let control = Rc::new(RefCell::new(state::ControlState::new(shared)));
    let tasks = [
        tokio::task::spawn_local(configuration::keep_up_to_date(
            Rc::clone(&control),
            configuration_metrics,
        )),
        tokio::task::spawn_local(evacuations::keep_up_to_date(Rc::clone(&control))),
        tokio::task::spawn_local(registry::keep_up_to_date(Rc::clone(&control))),
        tokio::task::spawn_local(members::keep_up_to_date(Rc::clone(&control))),
        tokio::task::spawn_local(members::wait_to_join_group(Rc::clone(&control))),
        tokio::task::spawn_local(members::confirm_leadership_table(Rc::clone(&control))),
        tokio::task::spawn_local(heartbeats::send_heartbeats(
            Rc::clone(&control),
            Rc::clone(&links),
        )),
        tokio::task::spawn_local(peers::receive_messages(
            Rc::clone(&control),
            Rc::clone(&links),
        )),
        tokio::task::spawn_local(tokens::request_tokens(Rc::clone(&control), links)),
        tokio::task::spawn_local(store_copies::serve(
            Rc::clone(&control),
            sockets.store_copies,
        )),
        tokio::task::spawn_local(probing::confirm_leaders(Rc::clone(&control))),
        tokio::task::spawn_local(suspicion::collect_evidence(Rc::clone(&control), evidence)),
        tokio::task::spawn_local(replacement::record_rosters(Rc::clone(&control))),
        tokio::task::spawn_local(replacement::monitor_leaders(control)),
    ];
    for task in tasks {
        if let Err(error) = task.await {
            log::error!(error:% = error; "a control task ended unexpectedly");
        }
    }
}
