//! Endpoints: connections, calls and answers, driven by the model.

use super::*;

impl<W: Transport> ScenarioRunner<'_, W> {
    pub(super) fn endpoint_bytes(&mut self, token: Token, bytes: &[u8]) {
        let now = self.now;
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
        let idle = c.answers.is_empty();
        let reap = self.world.fault_mut(c.endpoint).and_then(|t| t.idle_timeout);
        let hard = self.fleet.scenario.trouble.iter().any(|t| {
            t.what == FaultKind::IdleDropped
                && t.hard
                && now >= seconds(t.at)
                && now < seconds(t.at + t.lasts)
        });
        if idle && c.opened && reap.is_some_and(|r| now > c.last + r) {
            if hard {
                self.drop_conn(token);
                return;
            }
            c.deaf = true;
        }
        c.last = now;
        if c.deaf {
            return;
        }
        c.frames.push(bytes);
        loop {
            let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
            let frame = match c.frames.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) => return self.drop_conn(token),
            };
            let Ok(request) = server::read(&frame) else { return self.drop_conn(token) };
            let number =
                request.client.as_deref().and_then(|c| c.strip_prefix("linnetcart-edge-")?.parse().ok());
            if let (None, Some(courier)) = (c.courier, number) {
                let life = self.posts.get(courier as usize).map_or(0, |p| p.life);
                c.courier = Some(Caller { courier, incarnation: life });
            }
            match request.body {
                Body::ApiVersions | Body::ApiVersionsTooNew if !c.opened => {
                    c.waiting_open = Some((request.correlation, request.version));
                }
                Body::ApiVersions | Body::ApiVersionsTooNew => {
                    self.transport
                        .send(token, &server::api_versions(request.correlation, request.version, false));
                }
                Body::Metadata(_) => {
                    let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 0 };
                    let topics: Vec<Topic> = Vec::new();
                    self.transport.send(
                        token,
                        &server::metadata(request.correlation, request.version, &broker, &topics),
                    );
                }
                Body::Fetch(topics) => {
                    self.transport.send(token, &server::not_readable(request.correlation, &topics))
                }
                Body::Produce(p) => self.call(token, request.correlation, request.version, p),
            }
        }
    }

    pub(super) fn call(&mut self, token: Token, correlation: i32, version: i16, p: server::Produce) {
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
        let (endpoint, caller) =
            (c.endpoint, c.courier.unwrap_or(Caller { courier: u32::MAX, incarnation: 0 }));
        let topics = self.fleet.topics();
        let mut items = Vec::new();
        let mut parts = Vec::new();
        let mut part_of = Vec::new();
        for part in p.parts {
            let class = topics.iter().position(|t| *t == part.topic);
            let (Some(class), Ok(records)) = (class, part.records) else { return self.drop_conn(token) };
            for r in &records {
                let id = r.header("message-id").and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
                items.push(CallItem { message: id.unwrap_or(u64::MAX), class: class as u8 });
                part_of.push(parts.len());
            }
            parts.push((part.topic, part.partition));
        }
        let travelled = self.transport.travelled(token);
        let incoming = IncomingCall { caller, travelled, endpoint, items: &items };
        let ReceivedCall { call: id, step } = self.world.receive_call(self.now, incoming);
        if let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) {
            c.answers.push_back((id, None));
        }
        self.calls.insert(id, CallOf { token, correlation, version, parts, part_of });
        self.step(id, step);
    }

    pub(super) fn step(&mut self, id: u64, step: CallStep) {
        match step {
            CallStep::FinishAt(when) => self.at(when, Timer::Finish(id)),
            CallStep::Silent => {
                self.calls.remove(&id);
            }
            CallStep::Break => {
                if let Some(call) = self.calls.remove(&id) {
                    self.drop_conn(call.token);
                }
            }
            CallStep::Answer(reply) => self.reply(id, &reply),
        }
    }

    pub(super) fn reply(&mut self, id: u64, reply: &Reply) {
        let Some(call) = self.calls.remove(&id) else { return };
        let mut ended: Vec<PartitionResult> = call
            .parts
            .iter()
            .map(|(topic, partition)| PartitionResult {
                topic: topic.clone(),
                partition: *partition,
                ..PartitionResult::default()
            })
            .collect();
        for (part, code) in call.part_of.iter().zip(&reply.statuses) {
            match code {
                ItemStatus::Served => {}
                ItemStatus::Rejected => ended[*part].code = codes::THROTTLING_QUOTA_EXCEEDED,
                ItemStatus::Error => ended[*part].code = codes::UNKNOWN_SERVER_ERROR,
            }
        }
        let throttle = i32::try_from(reply.retry_after.div_ceil(1_000_000)).unwrap_or(i32::MAX);
        let load = reply
            .load
            .map(|load| LoadReport { capacity_left: load.capacity_left, rate_limit: load.rate_limit });
        let bytes = server::produce(call.correlation, call.version, &ended, throttle, load);
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&call.token) else { return };
        c.last = self.now;
        if let Some(slot) = c.answers.iter_mut().find(|a| a.0 == id) {
            slot.1 = Some(bytes);
        }
        while matches!(c.answers.front(), Some((_, Some(_)))) {
            if let Some((_, Some(bytes))) = c.answers.pop_front() {
                self.transport.send(call.token, &bytes);
            }
        }
    }

    pub(super) fn drop_conn(&mut self, token: Token) {
        if let Some(Role::Endpoint(c)) = self.roles.remove(&token) {
            if c.taken {
                self.world.disconnect(c.endpoint);
            }
        }
        self.transport.reset(token);
    }

    /// A courier connected to an endpoint.
    pub fn accepted(&mut self, endpoint: u32, token: Token) {
        let (taken, after, deaf) = match self.world.connect(endpoint) {
            ConnectOutcome::Refused => return self.transport.reset(token),
            ConnectOutcome::Unanswered => (false, 0, true),
            ConnectOutcome::Accepted { after } => (true, after, false),
        };
        let conn = EndpointConn {
            endpoint,
            courier: None,
            frames: Frames::new(FRAME),
            answers: VecDeque::new(),
            taken,
            opened: after == 0,
            waiting_open: None,
            last: self.now,
            deaf,
        };
        self.roles.insert(token, Role::Endpoint(conn));
        if after > 0 {
            self.at(self.now + after, Timer::Opened(token));
        }
    }

    pub(super) fn opened(&mut self, token: Token) {
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
        c.opened = true;
        if let Some((correlation, version)) = c.waiting_open.take() {
            self.transport.send(token, &server::api_versions(correlation, version, false));
        }
    }
}
