//! Requests from their arrival to their end.
//!
//! A worker that has read a request tells its [`Arrival`]; it is told to send
//! it to a target, to deliver what a target answered, or to refuse it; and it
//! tells how each send ended. What may be sent again follows from the route's
//! kind and from what is known of the target: a request that reached no target
//! may go to another, one that a target turned away has not run, and anything
//! else may have run.

mod admit;
mod choice;
mod event;
mod pending;
mod record;
mod refusal;
mod state;
mod view;

pub use event::{Arrival, Decision, End, Event, Send, SendId};
pub use refusal::{Cause, Refusal};
pub use state::State;
pub use view::{Leaving, View};
