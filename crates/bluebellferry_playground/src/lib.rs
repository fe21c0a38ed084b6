//! A first meeting with bluebellferry: a whole environment on one machine.
//!
//! [`tour`] books a pair of boots, reads the booking back through the other
//! proxy, kills the primary in the middle of bookings and says in plain
//! sentences what happened.

pub mod tour;
