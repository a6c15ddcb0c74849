//! Couriers: started, told, killed.

use super::*;

impl<'a> Rig<'a> {
    pub(super) fn start(&mut self, n: u32, first: bool) -> anyhow::Result<()> {
        let dir = self.options.dir.join(format!("courier-{n}"));
        if first && dir.exists() {
            std::fs::remove_dir_all(&dir).with_context(|| dir.display().to_string())?;
        }
        let life = self.posts[n as usize].life;
        let seed = self.fleet.seed ^ (u64::from(n) << 32) ^ u64::from(life);
        let how = Start {
            program: &self.options.program,
            dir: &dir,
            seed,
            policy: &self.options.policy,
            drain: Duration::from_secs(10),
        };
        let courier = Courier::start(&how)?;
        let kafka = courier.kafka;
        // Those that were started before find it in their snapshot.
        if let Some(at) = self.options.graphite.filter(|_| first) {
            let name = |(n, (kind, _)): (u32, (String, f64))| (n.to_string(), format!("{kind}-{n}"));
            let names: BTreeMap<String, String> = self.fleet.listed().into_iter().map(name).collect();
            let graphite = json!({"address": at.to_string()});
            courier.put("/telemetry", &json!({"interval_s": 1, "names": names, "graphite": graphite}))?;
        }
        let post = &mut self.posts[n as usize];
        post.courier = Some(courier);
        post.stalled = false;
        (post.telling, post.whole) = (false, true);
        if first {
            let settings = self.fleet.settings(n).to_string();
            self.control(n, "/settings", settings, Vec::new());
            // The list follows when these are in force.
        }
        if !first {
            // It has the list of its last life; news come as to the others.
            let late = seconds(self.list_late);
            let all = self.standing.keys().copied().collect();
            self.at(self.now + late, Timer::Publish(all));
        }
        let post = &mut self.posts[n as usize];
        post.producers.clear();
        post.by_key.clear();
        if !first {
            self.produce_to(n, kafka);
        }
        Ok(())
    }

    /// A further connection of a client to a courier.
    pub(super) fn produce_to(&mut self, n: u32, kafka: SocketAddr) -> Token {
        let life = self.posts[n as usize].life;
        let token = self.net.connect(kafka);
        let producer = Producer {
            courier: n,
            life,
            frames: Frames::new(FRAME),
            correlation: 0,
            waiting: BTreeMap::new(),
            up: false,
            backlog: Vec::new(),
            order: 0,
        };
        self.roles.insert(token, Role::Producer(producer));
        self.posts[n as usize].producers.push(token);
        token
    }

    /// The connection for a message: that of its key, or one that waits for nothing, or a new one, as far as
    /// the clients have so many.
    pub(super) fn producer(&mut self, n: u32, key: Option<u64>) -> Option<Token> {
        let kafka = self.posts[n as usize].courier.as_ref()?.kafka;
        if let Some(key) = key {
            if let Some(&token) =
                self.posts[n as usize].by_key.get(&key).filter(|t| self.roles.contains_key(t))
            {
                return Some(token);
            }
            let token = self.produce_to(n, kafka);
            let post = &mut self.posts[n as usize];
            post.producers.retain(|&t| t != token);
            post.by_key.insert(key, token);
            return Some(token);
        }
        let waiting = |t: &Token| match self.roles.get(t) {
            Some(Role::Producer(p)) => p.waiting.len(),
            _ => usize::MAX,
        };
        let post = &self.posts[n as usize];
        let least = post.producers.iter().copied().min_by_key(waiting);
        if least.is_some_and(|t| waiting(&t) == 0)
            || post.producers.len() >= self.fleet.day.clients.connections
        {
            return least;
        }
        Some(self.produce_to(n, kafka))
    }

    /// Waits until every courier has its settings and the whole list, and its clients are connected.
    pub(super) fn settle(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut events = Vec::new();
        loop {
            let up = |t: &Token| matches!(self.roles.get(t), Some(Role::Producer(p)) if p.up);
            let ready =
                |p: &Post| !p.telling && !p.whole && !p.producers.is_empty() && p.producers.iter().all(up);
            if self.posts.iter().all(ready) {
                // The day begins now.
                self.begun = Instant::now();
                self.now = 0;
                self.told.clear();
                return Ok(());
            }
            if Instant::now() > until {
                bail!(
                    "the couriers did not get ready in 20 s; see the logs in {}",
                    self.options.dir.display()
                );
            }
            let next = self.now + 10_000_000;
            self.turn(&mut events, next)?;
        }
    }

    pub(super) fn control(&mut self, n: u32, path: &str, body: String, news: Vec<(u32, bool)>) {
        let post = &mut self.posts[n as usize];
        let Some(courier) = &post.courier else { return };
        post.telling = true;
        let token = self.net.connect(courier.control);
        let head =
            format!("PUT {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        self.net.send(token, head.as_bytes());
        self.net.send(token, body.as_bytes());
        let role = Role::Control { courier: n, life: post.life, got: Vec::new(), news };
        self.roles.insert(token, role);
    }

    /// Tells a courier what it has not been told of the list.
    pub(super) fn tell(&mut self, n: u32) {
        let post = &mut self.posts[n as usize];
        if post.telling || post.courier.is_none() || (post.news.is_empty() && !post.whole) {
            return;
        }
        let whole = std::mem::take(&mut post.whole);
        let ids: Vec<u32> = match whole {
            true => self.standing.keys().copied().collect(),
            false => post.news.iter().copied().collect(),
        };
        post.news.clear();
        self.version += 1;
        let listed = self.fleet.listed();
        let mut entries = Vec::new();
        let mut news = Vec::new();
        for id in ids {
            let s = &self.standing[&id];
            news.push((id, s.state == "ready"));
            if whole && s.state == "gone" {
                continue;
            }
            let (kind, rate) = &listed[&s.destination];
            entries.push(json!({
                "id": id, "destination": s.destination, "kind": kind, "rate": rate, "state": s.state,
                "zone": self.fleet.day.zones[usize::from(s.zone)], "address": s.port.addr().to_string(),
            }));
        }
        let body = json!({"version": self.version, "whole": whole, "entries": entries}).to_string();
        self.control(n, "/list", body, news);
    }

    pub(super) fn publish(&mut self, ids: Vec<u32>) {
        if self.list_out {
            self.kept_back.extend(ids);
            return;
        }
        for n in 0..self.posts.len() {
            self.posts[n].news.extend(&ids);
            self.tell(n as u32);
        }
    }

    pub(super) fn kill(&mut self, n: u32, down: Time) {
        let post = &mut self.posts[n as usize];
        if post.courier.take().is_none() {
            return;
        }
        post.life += 1;
        post.news.clear();
        post.telling = false;
        self.at(self.now + down, Timer::Back(n));
    }
}
