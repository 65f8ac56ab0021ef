"""The decisions' floor: all that decides without I/O, on a discrete-event schedule, at sizes that no machine holds.

What the gateway, the pools and the wire add is modelled (`elderlock.sim.nodes`): a dial where no connection stands,
the way there and back, the margin kept from a client's patience. Judges and figures are the shells' floor's own.
"""

from __future__ import annotations

import functools
import gc
import random
import time
from collections.abc import Callable, Iterator
from typing import Any

import elderlock.structures.rendezvous as ranking
from elderlock import interface as api
from elderlock.interface import ListKind
from elderlock.load.clientele import FINAL, Way, reason
from elderlock.load.schedule import Arrival
from elderlock.load.targets import Front
from elderlock.settings_reader import IDEMPOTENCY_BY_NAME
from elderlock.sim import judges as j
from elderlock.sim.decision_faults import DecisionFaults
from elderlock.sim.figures import Account, Result
from elderlock.sim.models.counters import CounterModel
from elderlock.sim.models.ways import Ways
from elderlock.sim.nodes import Ask, Node, Open, SimBox, Try
from elderlock.sim.scenario import Scenario, floor_name
from elderlock.sim.schedule import Schedule
from elderlock.sim.tellers import SimAgent, Teller
from elderlock.sim.trace import Trace
from elderlock.sim.traffic import arrivals
from elderlock.sim.virtual.loop import DeadlockError, LivelockError
from elderlock.sim.virtual.processes import Machine
from elderlock.standins.model import ServerModel

FLOOR = "decisions"
START = 1_700_000_000_000.0  # ms, Unix time
NOTICE, PING_EVERY = 2000.0, 300.0  # ms until the front passes over a dead limiter; between its pings
RESTART_AFTER = 450.0  # ms that a limiter takes to come back
SAMPLE_EVERY = 500.0
LONG = 60.0  # s
REAL_CLOCK = time.perf_counter


class DecisionWorld:
    """One run; see `ShellWorld` for what it has in common."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        out: Callable[[str], object] | None = None,
        ties: int | None = None,
        rules: j.Rules | None = None,
        make: type[Node] = Node,
    ) -> None:
        self.scenario, self.seed, self._make = scenario, seed, make
        self.schedule = Schedule(START, seed if ties is None else ties)
        self.trace = Trace(out=out)
        self.rng = random.Random(f"world/{seed}")
        self.ways = Ways(scenario.net.delays(), random.Random(f"ways/{seed}"))
        kind = scenario.kind[0]
        self.rules = rules or j.Rules(cold_share=kind.cold_share, cold_ms=kind.cold_ms)
        self.lost, self.growth = j.Lost(self.rules), j.Growth(self.rules)
        self.ceilings, self.reports = j.Ceilings(self.rules), j.Reports(self.rules)
        self.cold = j.Cold(self.rules)
        self.bench = j.Bench(
            [
                self.lost,
                j.Twice(self.rules),
                j.Drains(self.rules),
                self.cold,
                self.ceilings,
                self.reports,
                j.Failures(self.rules),
                j.Rest(self.rules, self._at_rest),
                self.growth,
                j.Agreement(self.rules, self._digests),
            ]
        )
        self.account = Account(scenario.warm_s * 1000.0, scenario.service[0].aim_ms)
        self.plans = {plan.name: number for number, plan in enumerate(scenario.plan)}
        self.services = {service.name: number for number, service in enumerate(scenario.service)}
        self._floors = {floor_name(n): n for n in range(scenario.floors)}
        self.machines = [Machine(f"m{n}", floor_name(n % scenario.floors)) for n in range(scenario.limiters)]
        self.operator, self._outside = Machine("operator"), Machine("clients")
        self.boxes: dict[str, SimBox] = {}
        self.refusing: dict[str, None] = {}
        self._uid = 0
        shapes = [each.shape() for each in scenario.kind]
        for number in range(scenario.boxes):
            self.add_box(number % scenario.floors, number % len(shapes))
        place = Machine("counter", floor_name(0))
        self.counter = CounterModel(self.schedule, self.ways, place, random.Random(f"counter/{seed}"))
        self.teller = Teller(self, random.Random(f"teller/{seed}"))
        self.nodes: list[Node] = []
        self.agents: list[SimAgent] = []
        self.faults = DecisionFaults(self)
        traffic = scenario.traffic(seed)
        self._ways_of = [Way(traffic.clients_of(number)) for number in range(max(1, len(scenario.stream)))]
        self.front = Front(scenario.limiters, NOTICE)
        self._arrivals: Iterator[Arrival] = arrivals(scenario, seed)
        self._client_rng = random.Random(f"clients/{seed}")
        self.last: Arrival | None = None
        self._asks = 0
        self.open: dict[int, Ask] = {}
        self._accounts: dict[str, str] = {}
        self.features: set[str] = set()
        self.dry = False

    def at(self) -> float:
        """ms of the run."""
        return self.schedule.time - START

    # A run

    def play(self) -> Result:
        began = REAL_CLOCK()
        ended, why = "finished", ""
        ranked = ranking.rank_limiters
        ranking.rank_limiters = functools.cache(
            ranked
        )  # a function of its arguments, asked by all limiters for all boxes
        collected = gc.isenabled()
        gc.disable()  # millions of objects of a first list are made, and none of them is garbage
        try:
            self._begin()
            gc.freeze()  # what stays need not be walked again; what each request leaves is collected
            gc.enable()
            until = START + self.scenario.lasts_s * 1000.0
            self.schedule.play(until, self._who_waits)
            self.dry = True
            rest = self.scenario.longest_deadline() + self.scenario.rest_s * 1000.0
            self.schedule.play(until + rest, self._who_waits)
            self.bench.ended(self.at())
        except DeadlockError as error:
            ended, why = "deadlock", str(error)
        except LivelockError as error:
            ended, why = "livelock", str(error)
        except Exception as error:  # of a model or a judge: what the code under test raises is met at the node
            ended, why = "failed", repr(error)
        finally:
            ranking.rank_limiters = ranked
            gc.unfreeze()
            if not collected:
                gc.disable()
        broken = [(each.rule, each.at, each.text) for each in self.bench.broken()]
        return Result(
            self.scenario.name,
            FLOOR,
            self.seed,
            self.account.figures(),
            broken,
            self.bench.total(),
            self.trace.digest(),
            self.trace.events,
            ended,
            why,
            sorted(self.features),
            REAL_CLOCK() - began,
            self.at() / 1000.0,
        )

    def _begin(self) -> None:
        s = self.scenario
        for number in range(s.limiters):
            self.nodes.append(self._make(self, number, self.machines[number], self.rng.getrandbits(63)))
        for node in self.nodes:
            node.start()
            self.bench.limiter_began(self.at(), node.name)
            self.teller.whole(node)
            self.front.ponged(node.number, 0.0)
        for number in range(s.agents):
            share = range(number * s.limiters // s.agents, (number + 1) * s.limiters // s.agents)
            self.agents.append(SimAgent(self, number, self.machines[share[0]], share))
            self.agents[-1].start()
        for number, fault in enumerate(s.fault):
            self.schedule.after(fault.at_s * 1000.0, self.faults.begin, number, fault)
        self.schedule.after(SAMPLE_EVERY, self._sample)
        self._next_arrival()

    def _who_waits(self) -> str:
        return f"{len(self.open)} requests are open" if self.open else ""

    def settings(self, number: int) -> api.Settings:
        s = self.scenario
        kind = s.kind[0]
        return api.Settings(
            limiter_index=number,
            limiter_count=s.limiters,
            clock_tick_ms=1.0,
            zone=number % s.floors,
            request_classes=tuple(
                api.RequestClass(c.name, c.aim_ms, IDEMPOTENCY_BY_NAME[c.effect], deduplication_window_ms=5000.0)
                for c in s.service
            ),
            plans=tuple(
                api.Plan(
                    p.name,
                    p.price,
                    p.rate,
                    p.burst,
                    p.open_limit,
                    p.over_worth,
                    p.over_cost,
                    p.ceiling_rate,
                    p.ceiling_burst,
                    p.ceiling_slack,
                )
                for p in s.plan
            ),
            rules=api.ServiceRules(kind.cold_share, kind.cold_ms, self.rules.multiple, self.rules.window),
            capabilities=api.Capabilities(
                s.settings.max_attempts, True, s.settings.peers and s.limiters > 1, True, 500.0
            ),
            quota_sources=api.QuotaSources(peer_messages_per_s=s.settings.peer_intake),
            routing=api.Routing(s.settings.subset, s.settings.away_ms / s.service[0].aim_ms),
        )

    def floor_number(self, machine: Machine) -> int:
        return self._floors.get(machine.floor, -1)

    # Boxes

    def add_box(self, floor: int, kind: int, started: float = 0.0) -> SimBox:
        uid = f"s-{self._uid:02d}"
        machine = Machine(uid, floor_name(floor))
        model = ServerModel(
            self.scenario.kind[kind].shape(), self.schedule, random.Random(f"box/{self.seed}/{self._uid}"), started
        )
        box = self.boxes[uid] = SimBox(self, uid, machine, kind, model, self._uid // 4)
        self._uid += 1
        return box

    def refuses(self, box: SimBox) -> bool:
        return box.gone or box.uid in self.refusing

    def end_box(self, box: SimBox) -> None:
        """Its process ends: whatever was out there meets a reset, after the way back."""
        for node in self.nodes:
            if node.alive:
                node.connections -= len(node.idle.pop(box.uid, ()))
                for held in list(node.requests.values()):
                    for each in held.tries:
                        if each.box is box and not each.over:
                            self.schedule.after(self.ways.delay(box.machine, node.machine), node.broke, each)

    # What nodes do

    def heard(self, node: Node, kind: ListKind, entries: tuple[api.ServerEntry, ...]) -> None:
        at = self.at()
        if not (kind is ListKind.COMPLETE and len(entries) > 1000):  # what nobody knew before is no news to the judges
            for entry in entries:
                started = entry.started_at_ms - START if entry.started_at_ms > 0 else 0.0
                self.bench.told(at, node.name, entry.server_id, WORDS[entry.state], started)
        if kind is ListKind.COMPLETE and at > 0:
            named = {entry.server_id for entry in entries}
            for uid in [uid for uid in self.boxes if uid not in named]:
                self.bench.told(at, node.name, uid, "gone", 0.0)
        self.trace.event(at, node.name, f"list {kind.value} {len(entries)}")

    def let_go(self, node: Node, each: Try, uid: str) -> None:
        at, arrival = self.at(), each.open.ask.arrival
        self.trace.event(at, node.name, f"send {each.open.tag} {uid}")
        self.bench.sent(at, node.name, uid, each.open.tag)
        self._ceiling_of(arrival)
        self.bench.spent(at, arrival.account, arrival.units)
        plan = self.scenario.plan[self.plans[arrival.plan]]
        self.account.let_go(at, arrival.account, arrival.units, plan.rate, plan.burst)

    def _ceiling_of(self, arrival: Arrival) -> None:
        if arrival.account not in self._accounts:
            self._accounts[arrival.account] = arrival.plan
            plan = self.scenario.plan[self.plans[arrival.plan]]
            if plan.ceiling_rate > 0:
                self.ceilings.ceiling(arrival.account, plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)

    def tell_peer(self, node: Node, receiver: int, data: bytes) -> None:
        if self.account.counts(self.at()):
            self.account.questions += 1
        self.trace.event(self.at(), node.name, f"peer {receiver} {len(data)}")
        for number in range(len(self.nodes)) if receiver < 0 else (receiver,):
            there = self.machines[number]
            if number == node.number or self.ways.cut(node.machine, there):
                continue
            if self.ways.datagram_lost(node.machine, there):
                continue
            for _ in range(2 if self.ways.doubled() else 1):
                way = self.ways.delay(node.machine, there)
                self.schedule.after(way, self._peer, number, node.number, data)

    def _peer(self, receiver: int, sender: int, data: bytes) -> None:
        self.nodes[receiver].happened(api.PeerMessage(sender, data))

    # Clients

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            wait = START + arrival.at / 1000.0 - self.schedule.time
            self.schedule.after(wait, self._arrive, arrival)

    def _arrive(self, arrival: Arrival) -> None:
        self._next_arrival()
        self.launch(arrival)

    def launch(self, arrival: Arrival) -> None:
        self._asks += 1
        self.last = arrival
        ask = self.open[self._asks] = Ask(self._asks, arrival, self.schedule.time)
        if arrival.leaves:
            self.schedule.after(arrival.leaves / 1000.0, self._leaves, ask)
        self._try(ask)

    def _try(self, ask: Ask) -> None:
        if ask.over:
            return
        arrival, now = ask.arrival, self.schedule.time
        ask.tries += 1
        left = self._ways_of[arrival.stream].patience(arrival.deadline, now - ask.began)
        target = self.front.choose(arrival.spread, arrival.first, self._client_rng)
        if target is None or left <= 0:
            return self._tried(ask, "nowhere" if target is None else "timeout", None, ask.tries)
        node = self.nodes[target]
        ask.at = node
        tag = f"q{ask.number}-{ask.tries}"
        self.schedule.after(self.ways.delay(self._outside, node.machine), node.arrived, ask, tag, left)
        self.schedule.after(left, self._timed_out, ask, ask.tries)

    def answer(self, node: Node, held: Open, word: str, advice: float) -> None:
        """A limiter's one answer to a try; it takes a way to its client."""
        if word == "refused":
            arrival = held.ask.arrival
            plan = self.scenario.plan[self.plans[arrival.plan]]
            self.account.refused(self.at(), arrival.account, arrival.units, plan.rate, plan.burst)
        way = self.ways.delay(node.machine, self._outside)
        self.schedule.after(way, self._answered, held.ask, held.tag, word, advice if advice >= 1.0 else None)

    def _answered(self, ask: Ask, tag: str, word: str, advice: float | None) -> None:
        self.trace.event(self.at(), "client", f"{tag} {word}")
        self.bench.answered(self.at(), tag, word)
        if not ask.over and tag == f"q{ask.number}-{ask.tries}":
            self._tried(ask, word, advice, ask.tries)

    def crossed(self, ask: Ask, tag: str) -> None:
        """Nothing listens there any more."""
        if not ask.over and tag == f"q{ask.number}-{ask.tries}":
            self._tried(ask, "refused_connection", None, ask.tries)

    def broken_off(self, held: Open) -> None:
        """Its limiter died under it: its client sees the connection end."""
        self.bench.excused(self.at(), held.tag, "its limiter was killed")
        self.schedule.after(1.0, self.crossed, held.ask, held.tag)

    def _timed_out(self, ask: Ask, tries: int) -> None:
        if not ask.over and ask.tries == tries:
            self._tried(ask, "timeout", None, tries)

    def _leaves(self, ask: Ask) -> None:
        if ask.over:
            return
        node = ask.at
        if node is not None and node.alive:
            for held in [held for held in node.requests.values() if held.ask is ask and not held.answered]:
                node.gone(held)
        self._finish(ask, "left")

    def _tried(self, ask: Ask, outcome: str, advice: float | None, tries: int) -> None:
        arrival, waited = ask.arrival, self.schedule.time - ask.began
        sent = outcome not in ("nowhere", "refused_connection")
        ask.reason = reason(ask.reason, outcome, bool(ask.reason), sent)
        again = None
        if outcome not in FINAL:
            again = self._ways_of[arrival.stream].after(
                outcome, advice, tries, arrival.honours, waited, arrival.deadline, self._client_rng
            )
        if again is None:
            return self._finish(ask, ask.reason)
        ask.tries = tries
        self.schedule.after(again.wait, self._try, ask)

    def _finish(self, ask: Ask, outcome: str) -> None:
        ask.over = True
        self.open.pop(ask.number, None)
        took = self.schedule.time - ask.began
        self.account.finished(ask.began - START, outcome, took, ask.arrival.account)

    # Limiters' lives

    def kill(self, number: int, back_after: float = RESTART_AFTER) -> None:
        node = self.nodes[number]
        if node.alive:
            self.trace.event(self.at(), node.name, "killed")
            node.kill()
            self.schedule.after(NOTICE, self._noticed, node)
            self.schedule.after(back_after, self._back, number)

    def _noticed(self, node: Node) -> None:
        if self.nodes[node.number] is node:
            self.front.turned_away(node.number, 0.0)

    def _back(self, number: int) -> None:
        node = self.nodes[number] = self._make(self, number, self.machines[number], self.rng.getrandbits(63))
        self.trace.event(self.at(), node.name, "begins")
        self.bench.limiter_began(self.at(), node.name)
        node.start()
        agent = next((a for a in self.agents if number in a.limiters), None)
        if agent is not None:  # its drains are in force from the first request on
            node.apply(list(agent.records))
        self.teller.whole(node)
        self.schedule.after(PING_EVERY * self.rng.random(), self._ponged, node)

    def _ponged(self, node: Node) -> None:
        if self.nodes[node.number] is not node or not node.alive:
            return
        if node.limiter.endpoints.servers:
            self.front.ponged(node.number, 0.0)
        else:
            self.schedule.after(PING_EVERY, self._ponged, node)

    def pause(self, number: int, lasts: float) -> None:
        node = self.nodes[number]
        node.paused = True
        self.lost.stalled(self.at(), node.name, lasts)
        self.schedule.after(lasts, self._resume, node)

    def _resume(self, node: Node) -> None:
        if node.alive:
            node.resume()

    # What is seen

    def _at_rest(self) -> dict[str, int]:
        left = {"requests open at their clients": len(self.open)}
        for node in self.nodes:
            if node.alive and not node.paused:
                left[f"requests open at {node.name}"] = len(node.requests)
                left[f"requests that {node.name}'s module has not let go"] = len(node.limiter.requests)
        return left

    def _digests(self) -> dict[str, str]:
        return {a.name: a.records.digest() for a in self.agents if a.alive and not a.paused and not a.disk_fails}

    def _sample(self) -> None:
        if self.dry:
            return
        self.schedule.after(SAMPLE_EVERY, self._sample)
        phases: set[str] = set()
        out = silent = requests = timers = accounts = 0
        for node in self.nodes:
            if not node.alive:
                phases.add("down")
                continue
            limiter = node.limiter
            phases.add(limiter.throttle.phase.name + (" paused" if node.paused else ""))
            out = max(out, len(limiter.endpoints.outlier_detector.ejected))
            silent = max(silent, len(limiter.quota_coordinator.owners.silent_until_ms))
            requests += len(limiter.requests)
            timers += len(limiter.context.timers.heap)
            accounts += len(limiter.quotas.accounts)
        self.growth.counted("open requests", requests)
        self.growth.counted("timers", timers)
        # before that each limiter may not have met each customer, nor the first time-out come
        if self.scenario.lasts_s >= LONG:
            self.growth.counted("accounts", accounts)
            self.growth.counted("what is due", self.schedule.waiting())
        self.features.add(f"{'+'.join(sorted(phases))} out={min(out, 3)} silent={min(silent, 2)}")


WORDS = {api.ServerState.RUNNING: "running", api.ServerState.DRAINING: "draining", api.ServerState.REMOVED: "gone"}


def play(scenario: Scenario, seed: int, **more: Any) -> Result:
    return DecisionWorld(scenario, seed, **more).play()
