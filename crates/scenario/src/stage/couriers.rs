//! Couriers: started, told, killed.

use super::*;

impl<W: Transport> ScenarioRunner<'_, W> {
    pub(super) fn start(&mut self, n: u32, first: bool) -> anyhow::Result<()> {
        let life = self.posts[n as usize].life;
        let kept = self.transport.start(n, life, first)?;
        let post = &mut self.posts[n as usize];
        (post.up, post.stalled, post.bare) = (true, false, !kept);
        (post.telling, post.whole) = (false, true);
        post.producers.clear();
        post.by_key.clear();
        if kept {
            // It has the list of its last life; news come as to the others.
            self.at(self.now + seconds(self.list_late), Timer::CatchUp(n, life));
            self.produce_to(n);
        } else {
            // The list follows when these are in force.
            let settings = self.fleet.settings(n).to_string();
            self.control(n, "/settings", settings, Vec::new());
        }
        Ok(())
    }

    /// A further connection of a client to a courier.
    pub(super) fn produce_to(&mut self, n: u32) -> Token {
        let life = self.posts[n as usize].life;
        let token = self.transport.connect(n);
        let off = self.fleet.clock_off(&mut self.clocks);
        let producer = Producer {
            courier: n,
            life,
            frames: Frames::new(FRAME),
            correlation: 0,
            waiting: BTreeMap::new(),
            up: false,
            backlog: Vec::new(),
            order: 0,
            off,
        };
        self.roles.insert(token, Role::Producer(producer));
        self.posts[n as usize].producers.push(token);
        token
    }

    /// The connection for a message: that of its key, or one that waits for nothing, or a new one, as far as
    /// the clients have so many.
    pub(super) fn producer(&mut self, n: u32, key: Option<u64>) -> Option<Token> {
        if !self.posts[n as usize].up {
            return None;
        }
        if let Some(key) = key {
            if let Some(&token) =
                self.posts[n as usize].by_key.get(&key).filter(|t| self.roles.contains_key(t))
            {
                return Some(token);
            }
            let token = self.produce_to(n);
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
            || post.producers.len() >= self.fleet.scenario.clients.connections
        {
            return least;
        }
        Some(self.produce_to(n))
    }

    fn control(&mut self, n: u32, path: &'static str, body: String, news: Vec<(u32, bool)>) {
        let post = &mut self.posts[n as usize];
        if post.up {
            (post.telling, post.under_way) = (true, news);
            self.transport.put(n, post.life, path, body);
        }
    }

    /// Tells a courier what it has not been told of the list.
    pub(super) fn tell(&mut self, n: u32) {
        let post = &mut self.posts[n as usize];
        if post.telling || !post.up || (post.news.is_empty() && !post.whole) {
            return;
        }
        let whole = std::mem::take(&mut post.whole);
        let ids: Vec<u32> = match whole {
            true => self.standing.keys().copied().collect(),
            false => post.news.iter().copied().collect(),
        };
        post.news.clear();
        self.version += 1;
        let mut entries = Vec::new();
        let mut news = Vec::new();
        for id in ids {
            let s = &self.standing[&id];
            news.push((id, s.state == "ready"));
            if whole && s.state == "gone" {
                continue;
            }
            let (kind, rate) = &self.listed[&s.destination];
            entries.push(json!({
                "id": id, "destination": s.destination, "kind": kind, "rate": rate, "state": s.state,
                "zone": self.fleet.scenario.zones[usize::from(s.zone)], "address": self.transport.address(id).to_string(),
            }));
        }
        let body = json!({"version": self.version, "whole": whole, "entries": entries}).to_string();
        self.control(n, "/list", body, news);
    }

    /// A courier that started again is told what may have changed meanwhile: everything.
    pub(super) fn catch_up(&mut self, n: u32, life: u32) {
        if self.list_out {
            return self.at(self.now + 200_000_000, Timer::CatchUp(n, life));
        }
        let post = &mut self.posts[n as usize];
        if post.life == life {
            post.news.extend(self.standing.keys());
            self.tell(n);
        }
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
        if !std::mem::take(&mut post.up) {
            return;
        }
        post.life += 1;
        post.news.clear();
        post.telling = false;
        self.transport.kill(n);
        self.at(self.now + down, Timer::Back(n));
    }
}
