//! Decides when a group's primary is to be replaced, and by which database.
//!
//! A promotion claims a higher term in the platform's store, fences a majority
//! of the group with it, and promotes the fenced database with the longest
//! log. Databases promise a term to one claimant only, so two promoters at once
//! are safe, and so is going on while the store is out. The steps and their
//! order stand in the chart `promotion.json`; no I/O happens here.
//!
//! ```
//! use std::time::Instant;
//! use bluebellferry_promotion::promoter::{PromoterSettings, ServicePromoter};
//!
//! let promoter = ServicePromoter::new(PromoterSettings::new("vm-1", 3), Instant::now());
//! assert_eq!(promoter.step(), bluebellferry_promotion::promoter::PromotionStep::Watching);
//! ```

pub mod event;
pub mod lease;
pub mod observation;
pub mod promoter;
pub mod successor;
pub mod suspect;
