//! Failover: decides when a group's primary is replaced, and by which database.
//!
//! Where the proxy itself promotes databases, a [`promoter`] claims a higher term in the
//! platform's store, fences a majority of the group with that term, and promotes the fenced
//! database with the longest log. A database promises a term to one claimant only. So
//! concurrent promoters are safe, and a promotion may go on while the store is unavailable.
//! The state chart `promotion.json` defines the steps and their order. [`event`] and
//! [`observation`] have the promoter's inputs and outputs.
//!
//! Where the platform promotes databases at a VM's request, [`suspect`] assesses whether a
//! leader is lost, [`successor`] chooses the database that replaces it, and [`lease`] tells
//! how long the other VMs may rely on the old leader. [`roster`] tells which databases may have
//! acknowledged commits, [`departure`] which commits may be gone with databases that have left, and
//! [`order`] which database an earlier order may still promote.
//! [`probe`] tells when a VM that no other
//! VM reaches may rely on a leader that it probes.
//!
//! Where a leader works but is in the wrong place, [`relocation`] decides whether it moves.
//! [`handover`] tells when a leader that drains or moves may step down.
//!
//! This crate does no I/O.
//!
//! ```
//! use std::time::Instant;
//! use bluebellferry_promotion::promoter::{PromoterSettings, ServicePromoter};
//!
//! let promoter = ServicePromoter::new(PromoterSettings::new("vm-1", 3), Instant::now());
//! assert_eq!(promoter.step(), bluebellferry_promotion::promoter::PromotionStep::Watching);
//! ```

pub mod departure;
pub mod event;
pub mod handover;
pub mod lease;
pub mod observation;
pub mod order;
pub mod probe;
pub mod promoter;
pub mod relocation;
pub mod roster;
pub mod successor;
pub mod suspect;
