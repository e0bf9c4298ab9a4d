//! Handles requests from their arrival to their end.
//!
//! A worker that has read a request reports its [`Arrival`]. It is told to send
//! the request to a target, to deliver a target's answer, or to refuse the
//! request, and reports how each send ended. Whether a request may be sent
//! again follows from the route's kind and from how the send ended: a request
//! that reached no target may go to another one, a request that a target turned
//! away has not run, and any other request may have run.

mod admit;
mod choice;
mod event;
pub mod explain;
mod hedge;
mod pending;
mod placement;
mod record;
mod refusal;
mod state;
mod view;
mod work;

pub use event::{Arrival, Decision, End, Event, Send, SendId};
pub use refusal::{Cause, Refusal};
pub use state::State;
pub use view::{Leaving, View};
