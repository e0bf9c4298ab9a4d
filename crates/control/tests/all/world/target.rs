//! Workers that carry out decisions, and the fake targets that they call.

use briarshift_control::request::{Decision, End, Send, Tokens, Work};
use briarshift_control::{Kind, booking, request};
use briarshift_target::{Attempt, Failure};
use briarshift_units::{Moment, RequestId};

use super::{MILLI, Response, Run, World, port, response_body};

impl World {
    pub(super) fn decide(&mut self, vm: usize, epoch: u64, request: RequestId, decision: Decision) {
        match decision {
            Decision::Send(send) => {
                self.sends += 1;
                let delay = self.draw(3 * MILLI);
                self.after(delay, move |world| {
                    world.on(vm, epoch, move |world| world.dispatch(vm, epoch, send));
                });
            }
            Decision::Resume(resume) => {
                let (index, id) = (port(resume.address), resume.id);
                if self.targets[index].running.iter().any(|run| run.2 == id) {
                    self.finish(vm, epoch, index, id, false);
                } else {
                    let failure = Failure::NotSent("refused".into());
                    self.ended(vm, epoch, id, End::Failed { failure, relayed: true });
                }
            }
            Decision::Replay(response) => {
                self.responses.insert(request, Response::Replayed(response.body));
            }
            Decision::Refuse(refusal) => {
                self.responses.insert(request, Response::Refused(refusal));
            }
        }
    }

    /// A worker sends an attempt.
    fn dispatch(&mut self, vm: usize, epoch: u64, send: Send) {
        let index = self.index(&send.target);
        if send.send_by.is_some_and(|send_by| send_by < Moment(self.now)) {
            let failure = Failure::NotSent("too late".into());
            return self.ended(vm, epoch, send.id, End::Failed { failure, relayed: false });
        }
        self.after(MILLI, move |world| world.arrive(vm, epoch, index, &send));
    }

    fn arrive(&mut self, vm: usize, epoch: u64, index: usize, send: &Send) {
        let (id, booking) = (send.id, send.buffered);
        if !self.targets[index].up {
            let failure = Failure::NotSent("refused".into());
            return self.ended(vm, epoch, id, End::Failed { failure, relayed: false });
        }
        if self.chance(self.faults.refusals) || self.refusing_targets.contains(&send.target) {
            return self.ended(vm, epoch, id, End::Refused);
        }
        let arrival = self.arrivals[&id.request].clone();
        self.runs.push(Run { id });
        self.targets[index].running.push((vm, epoch, id));
        let start = self.targets[index].start;
        if self.poison_body == Some(arrival.digest) {
            let delay = (50 + self.draw(100)) * MILLI;
            return self.after(delay, move |world| world.crash(index, start));
        }
        let is_chat = matches!(arrival.work, Work::Chat { .. });
        if let Some((last_event_id, relayed)) = self.stream_cut.take_if(|_| is_chat) {
            let failure = Failure::Broken("reset".into());
            return self.ended(vm, epoch, id, End::Interrupted { failure, last_event_id, relayed });
        }
        self.finish(vm, epoch, index, id, booking);
    }

    /// Runs an attempt to its end.
    fn finish(&mut self, vm: usize, epoch: u64, index: usize, id: Attempt, booking: bool) {
        let delay = (20 + self.draw(200)) * MILLI;
        let broken = self.chance(self.faults.broken_runs);
        self.after(delay, move |world| {
            let running = &mut world.targets[index].running;
            let Some(at) = running.iter().position(|run| run.2 == id) else { return };
            running.remove(at);
            if broken && world.chance(50) {
                let failure = Failure::Broken("reset".into());
                world.ended(vm, epoch, id, End::Failed { failure, relayed: false });
            } else if broken {
                // Late: the worker gave up, and still reads the answer.
                let end = End::Failed { failure: Failure::Timeout, relayed: false };
                world.ended(vm, epoch, id, end);
                world.after(500 * MILLI, move |world| world.whole(vm, epoch, id, booking, true));
            } else {
                world.whole(vm, epoch, id, booking, false);
            }
        });
    }

    fn whole(&mut self, vm: usize, epoch: u64, id: Attempt, booking: bool, late: bool) {
        if self.workers_silent {
            return;
        }
        self.after(MILLI, move |world| {
            world.on(vm, epoch, move |world| {
                if !late {
                    world.responses.insert(id.request, Response::Completed(response_body(id)));
                }
                let response =
                    booking::Response { status: 200, content_type: None, body: response_body(id) };
                let response = booking.then_some(response);
                let end = End::Complete { tokens: Tokens::default(), response };
                world.deliver(vm, epoch, Kind::Request(request::Event::Ended { id, end }));
            });
        });
    }

    fn ended(&mut self, vm: usize, epoch: u64, id: Attempt, end: End) {
        if self.workers_silent {
            return;
        }
        self.after(MILLI, move |world| {
            world.deliver(vm, epoch, Kind::Request(request::Event::Ended { id, end }));
        });
    }

    /// A target dies with all that it runs, and starts anew.
    fn crash(&mut self, index: usize, start: u64) {
        let target = &mut self.targets[index];
        if !target.up || target.start != start {
            return;
        }
        target.up = false;
        target.start += 1;
        self.crashes.push(target.id.clone());
        for (vm, epoch, id) in std::mem::take(&mut target.running) {
            let failure = Failure::Broken("died".into());
            self.ended(vm, epoch, id, End::Failed { failure, relayed: false });
        }
        self.after(3_000 * MILLI, move |world| world.targets[index].up = true);
    }
}
