//! Instances that share quotas over a network that delays and loses messages.

use admission::quota::*;
use types::prelude::*;

/// The account whose requests are counted.
pub(crate) const ACCOUNT: AccountKey = 7;
const TICK: Duration = Duration::from_millis(5);

pub(crate) struct Node {
    pub(crate) share: QuotaShare,
    pub(crate) pool: QuotaPool,
    pub(crate) limits: QuotaLimits,
    pub(crate) instances: usize,
    /// Cut off from the other instances.
    pub(crate) is_cut: bool,
    pub(crate) frozen_until: Instant,
    waiting: HashMap<Ticket, (u64, Instant)>,
    ready: Vec<QuotaUse>,
}

#[derive(Clone)]
enum Body {
    Request(QuotaRequest),
    Grant(QuotaGrant),
}

#[derive(Clone)]
struct Datagram {
    from: usize,
    to: usize,
    deliver_at: Instant,
    body: Body,
}

/// Chooses what happens to a datagram: its delay, or `None` if it is lost.
pub(crate) type Network = Box<dyn FnMut() -> Option<Duration>>;

pub(crate) struct Sim {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Network,
    datagrams: Vec<Datagram>,
    next_run: RunKey,
    /// When tokens were used, and how many.
    pub(crate) uses: Vec<(Instant, u64)>,
    pub(crate) refused: usize,
}

impl Sim {
    pub(crate) fn new(count: usize, limits: QuotaLimits) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            nodes: Vec::new(),
            network: Box::new(|| Some(Duration::from_millis(2))),
            datagrams: Vec::new(),
            next_run: 1,
            uses: Vec::new(),
            refused: 0,
        };
        for _ in 0..count {
            sim.add(limits);
        }
        sim.set_instances(count);
        sim
    }

    /// Adds an instance that the others do not know.
    pub(crate) fn add(&mut self, limits: QuotaLimits) {
        let node = self.new_node(self.nodes.len(), limits, self.nodes.len() + 1);
        self.nodes.push(node);
    }

    fn new_node(&mut self, index: usize, limits: QuotaLimits, instances: usize) -> Node {
        self.next_run += 1;
        let mut share = QuotaShare::new(index as InstanceKey, self.next_run, self.now);
        share.set_instances(instances, &[0, 1]);
        Node {
            share,
            pool: QuotaPool::new(self.next_run, self.now),
            limits,
            instances,
            is_cut: false,
            frozen_until: self.now,
            waiting: HashMap::new(),
            ready: Vec::new(),
        }
    }

    pub(crate) fn set_instances(&mut self, count: usize) {
        for node in &mut self.nodes {
            node.instances = count;
            node.share.set_instances(count, &[]);
        }
    }

    pub(crate) fn set_holders(&mut self, holders: &[InstanceKey]) {
        for node in &mut self.nodes {
            node.share.set_instances(node.instances, holders);
        }
    }

    #[allow(dead_code, reason = "not used by all test files")]
    pub(crate) fn restart(&mut self, index: usize) {
        let (limits, instances) = (self.nodes[index].limits, self.nodes[index].instances);
        let is_cut = self.nodes[index].is_cut;
        let node = self.new_node(index, limits, instances);
        self.nodes[index] = Node { is_cut, ..node };
    }

    /// Restarts an instance that does not know how many instances there are.
    #[allow(dead_code, reason = "not used by all test files")]
    pub(crate) fn restart_unaware(&mut self, index: usize) {
        let (limits, is_cut) = (self.nodes[index].limits, self.nodes[index].is_cut);
        self.nodes[index] = Node { is_cut, ..self.new_node(index, limits, 0) };
    }

    /// A request arrives that may wait for its tokens for `patience`.
    pub(crate) fn request(&mut self, index: usize, cost: u64, patience: Duration) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if node.frozen_until > now {
            return;
        }
        match node.share.decide(ACCOUNT, node.limits, cost, now) {
            QuotaDecision::Admitted(used) => node.ready.push(used),
            QuotaDecision::Refused { .. } => self.refused += 1,
            QuotaDecision::Ask => {
                let ticket = node.share.enqueue(ACCOUNT, cost, now + patience);
                node.waiting.insert(ticket, (cost, now + patience));
            }
        }
        self.run_node(index);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            for index in 0..self.nodes.len() {
                self.run_node(index);
            }
        }
    }

    /// Tokens used since a time.
    #[allow(dead_code, reason = "not used by all test files")]
    pub(crate) fn used_since(&self, since: Instant) -> u64 {
        self.uses.iter().filter(|(at, _)| *at >= since).map(|(_, cost)| cost).sum()
    }

    fn run_node(&mut self, index: usize) {
        if self.nodes[index].frozen_until > self.now {
            return;
        }
        loop {
            let arrived = self
                .datagrams
                .iter()
                .position(|datagram| datagram.to == index && datagram.deliver_at <= self.now);
            let Some(arrived) = arrived else { break };
            let datagram = self.datagrams.remove(arrived);
            self.deliver(datagram);
        }
        let (now, node) = (self.now, &mut self.nodes[index]);
        node.share.count_use(now);
        while let Some((to, req)) = self.nodes[index].share.next_request(now) {
            let datagram = Datagram {
                from: index,
                to: to as usize,
                deliver_at: now,
                body: Body::Request(req),
            };
            if to as usize == index {
                self.deliver(datagram);
            } else {
                self.send(datagram);
            }
        }
        self.end_waits(index);
    }

    fn send(&mut self, datagram: Datagram) {
        let is_cut = |index: usize| self.nodes.get(index).is_none_or(|node| node.is_cut);
        let is_lost = is_cut(datagram.from) || is_cut(datagram.to);
        if let Some(delay) = (self.network)().filter(|_| !is_lost) {
            self.datagrams.push(Datagram { deliver_at: self.now + delay, ..datagram });
        }
    }

    fn deliver(&mut self, Datagram { from, to, body, .. }: Datagram) {
        let (now, node) = (self.now, &mut self.nodes[to]);
        match body {
            Body::Request(req) => {
                let limits = node.limits;
                let grant = node.pool.handle(&req, |_| Some(limits), node.instances, now);
                let Some(grant) = grant else { return };
                let body = Body::Grant(grant);
                let answer = Datagram { from: to, to: from, deliver_at: now, body };
                if from == to { self.deliver(answer) } else { self.send(answer) }
            }
            Body::Grant(grant) => {
                for (ticket, verdict) in node.share.receive(&grant, now) {
                    let Some(_) = node.waiting.remove(&ticket) else { continue };
                    match verdict {
                        QuotaVerdict::Granted(used) => node.ready.push(used),
                        QuotaVerdict::Refused { .. } => self.refused += 1,
                    }
                }
            }
        }
    }

    fn end_waits(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let over: Vec<(Ticket, u64)> = node
            .waiting
            .iter()
            .filter(|(_, (_, latest))| *latest <= now)
            .map(|(ticket, (cost, _))| (*ticket, *cost))
            .collect();
        for (ticket, cost) in over {
            node.waiting.remove(&ticket);
            node.share.cancel(ticket);
            match node.share.take_standing(ACCOUNT, node.limits, cost, now) {
                Ok(used) => node.ready.push(used),
                Err(_) => self.refused += 1,
            }
        }
        let uses = &mut self.uses;
        node.ready.retain(|used| {
            if used.ready_at <= now && used.void_at > now {
                uses.push((now, used.cost));
            }
            used.ready_at > now
        });
    }
}

/// Fails if more tokens were used in some window `W` than `rate * W + burst`, with what the tokens
/// in use add.
pub(crate) fn assert_within(uses: &[(Instant, u64)], limits: QuotaLimits) {
    let in_use = (TOKEN_LIFE + MAX_RESERVATION).as_secs_f64();
    let burst = limits.burst as f64 + limits.per_second as f64 * in_use;
    let mut level = burst;
    let mut last = None;
    for (at, cost) in uses {
        let elapsed = last.map_or(Duration::ZERO, |last| *at - last);
        last = Some(*at);
        level =
            (level + elapsed.as_secs_f64() * limits.per_second as f64).min(burst) - *cost as f64;
        assert!(level > -1.0, "{} tokens too many at {at:?}: {limits:?}", -level);
    }
}
