//! Orders to the platform to promote a database, which may take effect late.
//!
//! An order that was accepted, or not answered, may take effect seconds later. If another database
//! led by then, its commits would be lost. So no other database is promoted as long as an order
//! may still take effect.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_types::name;

/// How long after it was sent an order may still take effect.
pub const ORDER_EFFECT_LIMIT: Duration = Duration::from_secs(10);

/// What a VM knows of the latest order for a service.
#[derive(Debug, Clone)]
pub struct OrderWatch {
    order: leadership::PromotionOrder,
    learned_at: Instant,
    has_led_since: bool,
    /// Whether the order is known to have no effect.
    is_void: bool,
}

impl OrderWatch {
    /// Creates the watch of an order that this VM learned of at `now`.
    pub const fn new(order: leadership::PromotionOrder, now: Instant) -> Self {
        Self {
            order,
            learned_at: now,
            has_led_since: false,
            is_void: false,
        }
    }

    /// Returns the order.
    pub const fn order(&self) -> &leadership::PromotionOrder {
        &self.order
    }

    /// Records that a database was seen leading in a term after the order.
    pub fn record_leader(&mut self, id: &name::DatabaseName) {
        self.has_led_since |= self.order.database == *id;
    }

    /// Records that the order has no effect: it was not sent, or was refused.
    pub const fn record_void(&mut self) {
        self.is_void = true;
    }

    /// Returns the database that this or an earlier order may still promote.
    pub fn outstanding(&self, now: Instant) -> Option<&name::DatabaseName> {
        let age = now.saturating_duration_since(self.learned_at);
        let is_settled = match self.unsettled() {
            0 => true,
            1 => self.has_led_since,
            _ => false,
        };
        (age < ORDER_EFFECT_LIMIT && !is_settled).then_some(&self.order.database)
    }

    fn unsettled(&self) -> u32 {
        let voided = u32::from(self.is_void);
        self.order.unsettled.saturating_sub(voided)
    }

    /// Returns the order that follows this one.
    pub fn next_order(
        &self,
        database: &name::DatabaseName,
        now: Instant,
    ) -> leadership::PromotionOrder {
        let is_repeated = self.outstanding(now) == Some(database);
        leadership::PromotionOrder {
            database: database.clone(),
            number: self.order.number + 1,
            unsettled: if is_repeated { self.unsettled() + 1 } else { 1 },
        }
    }
}

/// Returns the order that follows the latest known one for the service.
pub fn next_order(
    watch: Option<&OrderWatch>,
    database: &name::DatabaseName,
    now: Instant,
) -> leadership::PromotionOrder {
    watch.map_or_else(
        || leadership::PromotionOrder {
            database: database.clone(),
            number: 1,
            unsettled: 1,
        },
        |watch| watch.next_order(database, now),
    )
}
