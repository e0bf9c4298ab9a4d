//! Fake traffic workers that carry out decisions, and the fake targets that
//! they call.

use briarshift_control::request::{Decision, End, Send, Tokens, Work};
use briarshift_control::{Kind, booking, request};
use briarshift_target::{Attempt, Failure};
use briarshift_units::{Moment, RequestId};

use super::{MILLI, Response, Run, World, response_body, target_at};

impl World {
    /// Carries out a decision for a request.
    pub(super) fn decide(&mut self, vm: usize, epoch: u64, request: RequestId, decision: Decision) {
        match decision {
            Decision::Send(send) => {
                self.sends += 1;
                let delay = self.random_below(3 * MILLI);
                self.after(delay, move |world| {
                    world.when_running(vm, epoch, move |world| world.dispatch(vm, epoch, send));
                });
            }
            Decision::Resume(resume) => {
                let (index, id) = (target_at(resume.address), resume.id);
                if self.targets[index].running.iter().any(|run| run.2 == id) {
                    self.finish(vm, epoch, index, id, false);
                } else {
                    let failure = Failure::NotSent("refused".into());
                    self.report_end(vm, epoch, id, End::Failed { failure, relayed: true });
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

    /// Has a worker send an attempt to its target.
    fn dispatch(&mut self, vm: usize, epoch: u64, send: Send) {
        let index = self.target_index(&send.target);
        if send.send_by.is_some_and(|send_by| send_by < Moment(self.now)) {
            let failure = Failure::NotSent("too late".into());
            return self.report_end(vm, epoch, send.id, End::Failed { failure, relayed: false });
        }
        self.after(MILLI, move |world| world.execute(vm, epoch, index, &send));
    }

    /// Has a target refuse, run, crash on or interrupt an attempt.
    fn execute(&mut self, vm: usize, epoch: u64, index: usize, send: &Send) {
        let (id, booking) = (send.id, send.buffered);
        if !self.targets[index].up {
            let failure = Failure::NotSent("refused".into());
            return self.report_end(vm, epoch, id, End::Failed { failure, relayed: false });
        }
        if self.chance(self.faults.refusals) || self.refusing_targets.contains(&send.target) {
            return self.report_end(vm, epoch, id, End::Refused);
        }
        let arrival = self.arrivals[&id.request].clone();
        self.runs.push(Run { id });
        self.targets[index].running.push((vm, epoch, id));
        let start = self.targets[index].start;
        if self.poison_body == Some(arrival.digest) {
            let delay = (50 + self.random_below(100)) * MILLI;
            return self.after(delay, move |world| world.crash(index, start));
        }
        let is_chat = matches!(arrival.work, Work::Chat { .. });
        if let Some((last_event_id, relayed)) = self.stream_cut.take_if(|_| is_chat) {
            let failure = Failure::Broken("reset".into());
            return self.report_end(
                vm,
                epoch,
                id,
                End::Interrupted { failure, last_event_id, relayed },
            );
        }
        self.finish(vm, epoch, index, id, booking);
    }

    /// Ends an attempt on its target after a random time, with the faults of
    /// [`Faults`](super::Faults).
    fn finish(&mut self, vm: usize, epoch: u64, index: usize, id: Attempt, booking: bool) {
        let delay = (20 + self.random_below(200)) * MILLI;
        let broken = self.chance(self.faults.broken_runs);
        self.after(delay, move |world| {
            let running = &mut world.targets[index].running;
            let Some(at) = running.iter().position(|run| run.2 == id) else { return };
            running.remove(at);
            if broken && world.chance(50) {
                let failure = Failure::Broken("reset".into());
                world.report_end(vm, epoch, id, End::Failed { failure, relayed: false });
            } else if broken {
                // The worker reports a timeout, and still receives the answer
                // later.
                let end = End::Failed { failure: Failure::Timeout, relayed: false };
                world.report_end(vm, epoch, id, end);
                world.after(500 * MILLI, move |world| world.complete(vm, epoch, id, booking, true));
            } else {
                world.complete(vm, epoch, id, booking, false);
            }
        });
    }

    /// Reports a complete response to the reducer, and to the caller unless it
    /// is late.
    fn complete(&mut self, vm: usize, epoch: u64, id: Attempt, booking: bool, late: bool) {
        if self.workers_silent {
            return;
        }
        self.after(MILLI, move |world| {
            world.when_running(vm, epoch, move |world| {
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

    /// Reports the end of an attempt to the reducer.
    fn report_end(&mut self, vm: usize, epoch: u64, id: Attempt, end: End) {
        if self.workers_silent {
            return;
        }
        self.after(MILLI, move |world| {
            world.deliver(vm, epoch, Kind::Request(request::Event::Ended { id, end }));
        });
    }

    /// Crashes a target: its attempts fail, and it starts again 3 s later.
    fn crash(&mut self, index: usize, start: u64) {
        let target = &mut self.targets[index];
        if !target.up || target.start != start {
            return;
        }
        target.up = false;
        target.start += 1;
        self.crashes.push(target.id.clone());
        for (vm, epoch, id) in std::mem::take(&mut target.running) {
            let failure = Failure::Broken("target crashed".into());
            self.report_end(vm, epoch, id, End::Failed { failure, relayed: false });
        }
        self.after(3_000 * MILLI, move |world| world.targets[index].up = true);
    }
}
