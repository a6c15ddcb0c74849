//! Troubles: when they begin, go on and end.

use super::*;

impl<'a, W: Transport> ScenarioRunner<'a, W> {
    pub(super) fn timer(&mut self, timer: Timer) -> anyhow::Result<()> {
        match timer {
            Timer::Hand(number, attempt) => {
                self.hands -= 1;
                self.hand(number, attempt)?;
            }
            Timer::Finish(call) => {
                let step = self.world.finish_call(self.now, call);
                self.step(call, step);
            }
            Timer::Opened(token) => self.opened(token),
            Timer::Begin(n) => self.begin(n)?,
            Timer::Step(n, count) => self.go_on(n, count)?,
            Timer::End(n) => self.over(n)?,
            Timer::CatchUp(n, life) => self.catch_up(n, life),
            Timer::Publish(ids) => self.publish(ids),
            Timer::Gone(endpoint) => {
                self.close_endpoint(endpoint);
                self.world.remove(endpoint);
                if let Some(s) = self.standing.get_mut(&endpoint) {
                    s.state = "gone";
                }
                self.at(self.now + seconds(self.list_late), Timer::Publish(vec![endpoint]));
            }
            Timer::Back(n) => {
                self.start(n, false)?;
            }
            Timer::Patience(at) => self.impatient(at),
            Timer::GoOn(n) => {
                let post = &mut self.posts[n as usize];
                post.stalled = false;
                let life = post.life;
                if post.up {
                    self.transport.go_on(n);
                }
                let mine = |s: &&mut Stall| (s.courier, s.incarnation) == (n, life);
                if let Some(stall) = self.stalls.iter_mut().rev().find(mine) {
                    stall.until = self.now;
                }
            }
        }
        Ok(())
    }

    fn trouble(&self, n: usize) -> &'a FaultSpec {
        &self.fleet.scenario.trouble[n]
    }

    pub(super) fn endpoints_of(&self, destination: u32) -> Vec<u32> {
        let of = self.standing.iter().filter(|(_, s)| s.destination == destination && s.state != "gone");
        of.map(|(&id, _)| id).collect()
    }

    pub(super) fn each(
        &mut self,
        n: usize,
        mut change: impl FnMut(&mut linnetcart_endpoint_model::EndpointFault),
    ) {
        for destination in self.struck.get(&n).cloned().unwrap_or_default() {
            for endpoint in self.endpoints_of(destination) {
                if let Some(t) = self.world.fault_mut(endpoint) {
                    change(t);
                }
            }
        }
    }

    /// The couriers that a trouble strikes.
    pub(super) fn couriers_of(&self, n: usize) -> Vec<u32> {
        let count = self.posts.len() as u32;
        let struck = ((self.trouble(n).part * f64::from(count)).round() as u32).clamp(1, count);
        (0..struck).map(|k| (k + n as u32 + self.fleet.seed as u32) % count).collect()
    }

    pub(super) fn outage(&mut self, n: usize, refused_connections: bool) {
        let until = seconds(self.trouble(n).at + self.trouble(n).lasts).max(self.now);
        for destination in self.struck.get(&n).cloned().unwrap_or_default() {
            self.world.outage(destination, self.now, until, refused_connections);
        }
    }

    pub(super) fn begin(&mut self, n: usize) -> anyhow::Result<()> {
        let t = self.trouble(n);
        let size = if t.size > 0.0 { t.size } else { 1.0 };
        let until = seconds(t.at + t.lasts);
        self.struck.insert(n, self.fleet.struck(t.part, n as u64 + 1));
        match t.what {
            FaultKind::Errors => {
                self.each(n, |e| e.error_probability = size);
                if size > 0.5 {
                    self.outage(n, false);
                }
            }
            FaultKind::Shut => {
                for destination in self.struck[&n].clone() {
                    self.world.shut_down_until(destination, until);
                }
                self.outage(n, false);
            }
            FaultKind::Silent => {
                self.each(n, |e| e.silent = true);
                self.outage(n, false);
            }
            FaultKind::Vanish => {
                self.each(n, |e| e.vanished = true);
                self.outage(n, true);
            }
            FaultKind::Down => {
                self.each(n, |e| e.down = true);
                self.outage(n, true);
                for destination in self.struck[&n].clone() {
                    for endpoint in self.endpoints_of(destination) {
                        self.close_endpoint(endpoint);
                    }
                }
            }
            FaultKind::Slow => self.each(n, |e| e.slowdown = size),
            FaultKind::SharedSlow => self.world.slow_all(size),
            FaultKind::AnswersLost => {
                self.each(n, |e| e.lost_answer_probability = size);
                if size > 0.5 {
                    self.outage(n, false);
                }
            }
            FaultKind::Throttle => {
                for destination in self.struck[&n].clone() {
                    self.world.throttle(destination, size);
                }
            }
            FaultKind::IdleDropped => {
                let idle = seconds(t.size);
                self.each(n, |e| e.idle_timeout = Some(idle));
            }
            FaultKind::SlowConnect => {
                let by = millis(t.size);
                self.each(n, |e| e.accept_delay = by);
            }
            FaultKind::ClassFails => {
                for destination in self.struck[&n].clone() {
                    let endpoints = self.endpoints_of(destination);
                    if endpoints.len() > 1 {
                        if let Some(e) = self.world.fault_mut(endpoints[0]) {
                            e.class_fault = Some(ClassFault {
                                class: t.extra as u8,
                                probability: size,
                                unanswered: t.hard,
                            });
                        }
                    }
                }
            }
            FaultKind::UnevenCouriers => self.uneven = Some((self.couriers_of(n)[0], size)),
            FaultKind::CouriersKilled => {
                for courier in self.couriers_of(n) {
                    self.kill(courier, seconds(size));
                }
            }
            FaultKind::DiskDamaged => {
                for courier in self.couriers_of(n) {
                    self.kill(courier, seconds(size));
                    self.transport.fault(n, InfrastructureFault::Damage { courier, left: t.extra });
                }
            }
            FaultKind::Partition => {
                let (clients, endpoints) = (t.extra >= 1.0, !(0.5..1.5).contains(&t.extra));
                let couriers = self.couriers_of(n);
                let from = self.now;
                let cut = |&courier: &u32| Partition { courier, from, until, clients, endpoints };
                self.cuts.extend(couriers.iter().map(cut));
                self.transport.fault(
                    n,
                    InfrastructureFault::Partition { couriers, clients, endpoints, one_way: t.hard },
                );
            }
            FaultKind::LinksSlow => {
                let couriers = self.couriers_of(n);
                self.transport.fault(n, InfrastructureFault::Slow { couriers, by: millis(t.size) });
            }
            FaultKind::ListLate => self.list_late += t.size,
            FaultKind::ListOut => self.list_out = true,
            FaultKind::Drains
            | FaultKind::Pauses
            | FaultKind::CouriersStall
            | FaultKind::CouriersRolled
            | FaultKind::LinksCut => self.go_on(n, 0)?,
            FaultKind::SuddenLoad | FaultKind::HotDestinations => {}
        }
        Ok(())
    }

    pub(super) fn go_on(&mut self, n: usize, count: u32) -> anyhow::Result<()> {
        let t = self.trouble(n);
        let until = seconds(t.at + t.lasts);
        if self.now >= until && count > 0 {
            return Ok(());
        }
        let next = |stage: &mut Self, after: Time| {
            if after > 0 {
                stage.at(stage.now + after, Timer::Step(n, count + 1));
            }
        };
        match t.what {
            FaultKind::Drains => {
                let all: Vec<u32> = self.struck[&n].iter().flat_map(|&d| self.endpoints_of(d)).collect();
                let batch = ((all.len() as f64 * t.size.max(0.05)).ceil() as usize).max(1);
                // The oldest numbers first; replacements have higher ones, so each goes once.
                let ready =
                    all.into_iter().filter(|e| self.standing[e].state == "ready" && *e < self.first_new());
                let going: Vec<u32> = ready.take(batch).collect();
                let steps = (1.0 / t.size.max(0.05)).ceil();
                next(self, seconds(t.lasts / (steps + 1.0)));
                for endpoint in going {
                    self.replace(endpoint, seconds(t.extra))?;
                }
            }
            FaultKind::Pauses => {
                let paused = self.now + millis(t.size);
                self.each(n, |e| e.paused_until = paused);
                next(self, seconds(t.extra));
            }
            FaultKind::CouriersStall => {
                // Each at a time of its own within the distance of two stalls.
                let among = self.couriers_of(n);
                let each = seconds(t.extra) / among.len().max(1) as u64;
                let courier = among[count as usize % among.len()];
                let post = &mut self.posts[courier as usize];
                if post.up && !post.stalled {
                    self.transport.stall(courier);
                    post.stalled = true;
                    let (life, from) = (post.life, self.now);
                    let until = from + millis(t.size);
                    self.stalls.push(Stall { courier, incarnation: life, from, until });
                    self.at(self.now + millis(t.size), Timer::GoOn(courier));
                }
                next(self, each);
            }
            FaultKind::LinksCut => {
                let couriers = self.couriers_of(n);
                self.transport.fault(n, InfrastructureFault::Cut { couriers, share: t.size });
                next(self, seconds(t.extra));
            }
            FaultKind::CouriersRolled => {
                let among = self.couriers_of(n);
                if let Some(&courier) = among.get(count as usize) {
                    self.kill(courier, seconds(t.size));
                }
                next(self, seconds(t.lasts / among.len() as f64));
            }
            _ => {}
        }
        Ok(())
    }

    /// Endpoints with numbers from here on came into being during the day.
    pub(super) fn first_new(&self) -> u32 {
        self.fleet
            .destinations
            .iter()
            .flat_map(|m| &m.endpoints)
            .map(|e| e.endpoint + 1)
            .max()
            .unwrap_or(u32::MAX)
    }

    /// Drains an endpoint and puts a new one in its place.
    pub(super) fn replace(&mut self, endpoint: u32, drain: Time) -> anyhow::Result<()> {
        let Some(s) = self.standing.get_mut(&endpoint) else { return Ok(()) };
        s.state = "draining";
        let (destination, zone) = (s.destination, s.zone);
        let id = self.next_endpoint;
        self.put_up(id, destination, zone)?;
        self.world.add(destination, SimulatedEndpoint { endpoint: id, zone });
        let late = seconds(self.list_late);
        self.at(self.now + late, Timer::Publish(vec![endpoint, id]));
        // An endpoint that drains waits until the news have had time to reach everyone.
        self.at(self.now + late + drain, Timer::Gone(endpoint));
        Ok(())
    }

    pub(super) fn close_endpoint(&mut self, endpoint: u32) {
        if let Some(s) = self.standing.get_mut(&endpoint).filter(|s| s.listens) {
            s.listens = false;
            self.transport.shut(endpoint);
        }
        let of =
            |(t, r): (&Token, &Role)| matches!(r, Role::Endpoint(c) if c.endpoint == endpoint).then_some(*t);
        let open: Vec<Token> = self.roles.iter().filter_map(of).collect();
        open.into_iter().for_each(|t| self.drop_conn(t));
    }

    pub(super) fn open_endpoint(&mut self, endpoint: u32) -> anyhow::Result<()> {
        let shut = |s: &&mut Standing| !s.listens && s.state != "gone";
        if let Some(s) = self.standing.get_mut(&endpoint).filter(shut) {
            self.transport.open(endpoint)?;
            s.listens = true;
        }
        Ok(())
    }

    pub(super) fn over(&mut self, n: usize) -> anyhow::Result<()> {
        match self.trouble(n).what {
            FaultKind::Errors => self.each(n, |e| e.error_probability = 0.0),
            FaultKind::Silent => self.each(n, |e| e.silent = false),
            FaultKind::Vanish => self.each(n, |e| e.vanished = false),
            FaultKind::Down => {
                self.each(n, |e| e.down = false);
                for destination in self.struck[&n].clone() {
                    for endpoint in self.endpoints_of(destination) {
                        self.open_endpoint(endpoint)?;
                    }
                }
            }
            FaultKind::Slow => self.each(n, |e| e.slowdown = 0.0),
            FaultKind::SharedSlow => self.world.slow_all(1.0),
            FaultKind::AnswersLost => self.each(n, |e| e.lost_answer_probability = 0.0),
            FaultKind::Throttle => {
                for destination in self.struck[&n].clone() {
                    self.world.throttle(destination, 1.0);
                }
            }
            FaultKind::IdleDropped => self.each(n, |e| e.idle_timeout = None),
            FaultKind::SlowConnect => self.each(n, |e| e.accept_delay = 0),
            FaultKind::ClassFails => self.each(n, |e| e.class_fault = None),
            FaultKind::UnevenCouriers => self.uneven = None,
            FaultKind::Partition | FaultKind::LinksSlow => self.transport.heal(n),
            FaultKind::ListLate => self.list_late = (self.list_late - self.trouble(n).size).max(0.0),
            FaultKind::ListOut => {
                self.list_out = false;
                let ids = std::mem::take(&mut self.kept_back).into_iter().collect();
                self.publish(ids);
            }
            FaultKind::Shut
            | FaultKind::Drains
            | FaultKind::Pauses
            | FaultKind::SuddenLoad
            | FaultKind::HotDestinations
            | FaultKind::CouriersKilled
            | FaultKind::CouriersRolled
            | FaultKind::CouriersStall
            | FaultKind::LinksCut
            | FaultKind::DiskDamaged => {}
        }
        Ok(())
    }
}
