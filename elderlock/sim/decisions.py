"""Decision-level simulator: the modules that decide without I/O run on a discrete-event schedule.

It simulates groups that are larger than one machine could run. `elderlock.sim.nodes` models what the gateway, the
connection pools and the network add: connects, delays both ways and the deadline margin. The invariant checkers and the
figures are those of the shell-level simulator (`elderlock.sim.shells`).
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
from elderlock.load.client_policy import FINAL, ClientPolicy, combined_outcome
from elderlock.load.schedule import Arrival
from elderlock.load.targets import TargetSelector
from elderlock.settings_reader import IDEMPOTENCY_BY_NAME
from elderlock.sim import invariant_checkers
from elderlock.sim.control_plane import DiscoveryModel, SimAgent
from elderlock.sim.decision_faults import DecisionFaults
from elderlock.sim.figures import FigureCollector, Result
from elderlock.sim.models.counters import CounterModel
from elderlock.sim.models.link_conditions import LinkConditions
from elderlock.sim.nodes import Attempt, ClientRequest, LimiterRequest, Node, SimServer
from elderlock.sim.scenario import Scenario, floor_name
from elderlock.sim.schedule import Schedule
from elderlock.sim.trace import Trace
from elderlock.sim.traffic import arrivals
from elderlock.sim.virtual.loop import DeadlockError, LivelockError
from elderlock.sim.virtual.processes import Machine
from elderlock.standins.model import ServerModel

LEVEL = "decisions"
START_MS = 1_700_000_000_000.0  # Unix time at which every run starts
DEATH_NOTICE_MS = 2000.0  # time until the clients' front stops choosing a dead limiter
PING_INTERVAL_MS = 300.0  # between pings of the clients' front
RESTART_DELAY_MS = 450.0  # time that a killed limiter takes to restart
SAMPLE_INTERVAL_MS = 500.0
# Shorter runs are not checked for unbounded growth of accounts and scheduled events: a limiter may not yet have met
# each account, and the first timeouts may not yet have come.
MIN_GROWTH_RUN_S = 60.0
REAL_CLOCK = time.perf_counter


class DecisionWorld:
    """One run of the decision-level simulator.

    Attributes:
        scenario: The simulated scenario.
        seed: Seed of all random numbers of the run.
        schedule: Discrete-event schedule; its times are Unix times in ms.
        trace: Trace of the run's events.
        ways: Link conditions between machines.
        bench: All invariant checkers of the run.
        account: Figures of the run.
        plan_numbers: Index of each plan by its name.
        service_numbers: Index of each service by its name.
        servers: Listed servers by their identifier.
        refusing_servers: Identifiers of servers that refuse connections.
        discovery: Model of the discovery service.
        nodes: Current process of each limiter.
        agents: Simulated agents.
        front: Choice of a limiter by the clients.
        open_requests: Unfinished requests of clients by number.
        features: States of the group that occurred together, for the search.
        is_traffic_over: Whether no new requests arrive.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        out: Callable[[str], object] | None = None,
        ties: int | None = None,
        rules: invariant_checkers.CheckerLimits | None = None,
        node_class: type[Node] = Node,
    ) -> None:
        """Builds the machines, servers and models of the scenario.

        Args:
            scenario: The scenario to simulate.
            seed: Seed of all random numbers.
            out: Receives each line of the trace.
            ties: Seed of the order of simultaneous events; `seed` if None.
            rules: Tolerances of the invariant checkers; those of the scenario if None.
            node_class: Class of the simulated limiters.
        """
        self.scenario, self.seed, self._node_class = scenario, seed, node_class
        self.schedule = Schedule(START_MS, seed if ties is None else ties)
        self.trace = Trace(out=out)
        self.rng = random.Random(f"world/{seed}")
        self.ways = LinkConditions(scenario.net.delays(), random.Random(f"ways/{seed}"))
        kind = scenario.kind[0]
        self.rules = rules or invariant_checkers.CheckerLimits(cold_share=kind.cold_share, cold_ms=kind.cold_ms)
        self.lost, self.growth = (
            invariant_checkers.UnansweredRequests(self.rules),
            invariant_checkers.UnboundedGrowth(self.rules),
        )
        self.ceilings, self.reports = (
            invariant_checkers.HardCeilings(self.rules),
            invariant_checkers.DrainReports(self.rules),
        )
        self.cold = invariant_checkers.ColdServers(self.rules)
        self.bench = invariant_checkers.CheckerSet(
            [
                self.lost,
                invariant_checkers.RepeatedEffects(self.rules),
                invariant_checkers.DrainedServers(self.rules),
                self.cold,
                self.ceilings,
                self.reports,
                invariant_checkers.UnhandledErrors(self.rules),
                invariant_checkers.Quiescence(self.rules, self._at_rest),
                self.growth,
                invariant_checkers.RecordAgreement(self.rules, self._digests),
            ]
        )
        self.account = FigureCollector(scenario.warm_s * 1000.0, scenario.service[0].aim_ms)
        self.plan_numbers = {plan.name: number for number, plan in enumerate(scenario.plan)}
        self.service_numbers = {service.name: number for number, service in enumerate(scenario.service)}
        self._zone_numbers = {floor_name(n): n for n in range(scenario.floors)}
        self.machines = [Machine(f"m{n}", floor_name(n % scenario.floors)) for n in range(scenario.limiters)]
        self.operator, self._outside = Machine("operator"), Machine("clients")
        self.servers: dict[str, SimServer] = {}
        self.refusing_servers: dict[str, None] = {}
        self._server_count = 0
        shapes = [kind.shape() for kind in scenario.kind]
        for number in range(scenario.boxes):
            self.add_server(number % scenario.floors, number % len(shapes))
        counter_machine = Machine("counter", floor_name(0))
        self.counter = CounterModel(self.schedule, self.ways, counter_machine, random.Random(f"counter/{seed}"))
        self.discovery = DiscoveryModel(self, random.Random(f"teller/{seed}"))
        self.nodes: list[Node] = []
        self.agents: list[SimAgent] = []
        self.faults = DecisionFaults(self)
        traffic = scenario.traffic(seed)
        self._clients_of_streams = [
            ClientPolicy(traffic.clients_of(number)) for number in range(max(1, len(scenario.stream)))
        ]
        self.front = TargetSelector(scenario.limiters, DEATH_NOTICE_MS)
        self._arrivals: Iterator[Arrival] = arrivals(scenario, seed)
        self._client_rng = random.Random(f"clients/{seed}")
        self.last_arrival: Arrival | None = None
        self._request_count = 0
        self.open_requests: dict[int, ClientRequest] = {}
        self._known_accounts: dict[str, str] = {}
        self.features: set[str] = set()
        self.is_traffic_over = False

    def at(self) -> float:
        """Returns the time since the start of the run in ms."""
        return self.schedule.time - START_MS

    # Running

    def play(self) -> Result:
        """Runs the scenario and returns its result; failures are part of the result."""
        started_at = REAL_CLOCK()
        ended, why = "finished", ""
        original_ranking = ranking.rank_limiters
        # A pure function that every limiter calls for every server.
        ranking.rank_limiters = functools.cache(original_ranking)
        was_gc_enabled = gc.isenabled()
        gc.disable()  # the first server lists create millions of objects, none of which is garbage
        try:
            self._begin()
            gc.freeze()  # long-lived objects are not traversed again; garbage of later requests is collected
            gc.enable()
            end_ms = START_MS + self.scenario.lasts_s * 1000.0
            self.schedule.play(end_ms, self._describe_open_requests)
            self.is_traffic_over = True
            rest_ms = self.scenario.longest_deadline() + self.scenario.rest_s * 1000.0
            self.schedule.play(end_ms + rest_ms, self._describe_open_requests)
            self.bench.ended(self.at())
        except DeadlockError as error:
            ended, why = "deadlock", str(error)
        except LivelockError as error:
            ended, why = "livelock", str(error)
        # A model or a checker failed: `Node` handles the exceptions of the code under test.
        except Exception as error:
            ended, why = "failed", repr(error)
        finally:
            ranking.rank_limiters = original_ranking
            gc.unfreeze()
            if not was_gc_enabled:
                gc.disable()
        broken = [(each.rule, each.at, each.text) for each in self.bench.violations()]
        return Result(
            self.scenario.name,
            LEVEL,
            self.seed,
            self.account.figures(),
            broken,
            self.bench.total(),
            self.trace.digest(),
            self.trace.events,
            ended,
            why,
            sorted(self.features),
            REAL_CLOCK() - started_at,
            self.at() / 1000.0,
        )

    def _begin(self) -> None:
        scenario = self.scenario
        for number in range(scenario.limiters):
            self.nodes.append(self._node_class(self, number, self.machines[number], self.rng.getrandbits(63)))
        for node in self.nodes:
            node.start()
            self.bench.limiter_began(self.at(), node.name)
            self.discovery.send_complete_list(node)
            self.front.record_pong(node.number, 0.0)
        for number in range(scenario.agents):
            limiters = range(
                number * scenario.limiters // scenario.agents, (number + 1) * scenario.limiters // scenario.agents
            )
            self.agents.append(SimAgent(self, number, self.machines[limiters[0]], limiters))
            self.agents[-1].start()
        for number, fault in enumerate(scenario.fault):
            self.schedule.after(fault.at_s * 1000.0, self.faults.begin, number, fault)
        self.schedule.after(SAMPLE_INTERVAL_MS, self._sample)
        self._next_arrival()

    def _describe_open_requests(self) -> str:
        return f"{len(self.open_requests)} requests are open" if self.open_requests else ""

    def settings(self, number: int) -> api.Settings:
        """Returns the settings of the limiter with this number."""
        scenario = self.scenario
        kind = scenario.kind[0]
        return api.Settings(
            limiter_index=number,
            limiter_count=scenario.limiters,
            clock_tick_ms=1.0,
            zone=number % scenario.floors,
            request_classes=tuple(
                api.RequestClass(
                    service.name, service.aim_ms, IDEMPOTENCY_BY_NAME[service.effect], deduplication_window_ms=5000.0
                )
                for service in scenario.service
            ),
            plans=tuple(
                api.Plan(
                    plan.name,
                    plan.price,
                    plan.rate,
                    plan.burst,
                    plan.open_limit,
                    plan.over_worth,
                    plan.over_cost,
                    plan.ceiling_rate,
                    plan.ceiling_burst,
                    plan.ceiling_slack,
                )
                for plan in scenario.plan
            ),
            rules=api.ServiceRules(kind.cold_share, kind.cold_ms, self.rules.multiple, self.rules.window),
            capabilities=api.Capabilities(
                scenario.settings.max_attempts, True, scenario.settings.peers and scenario.limiters > 1, True, 500.0
            ),
            quota_sources=api.QuotaSources(peer_messages_per_s=scenario.settings.peer_intake),
            routing=api.Routing(scenario.settings.subset, scenario.settings.away_ms / scenario.service[0].aim_ms),
        )

    def zone_number(self, machine: Machine) -> int:
        """Returns the number of the machine's zone, -1 for a machine outside all zones."""
        return self._zone_numbers.get(machine.floor, -1)

    # Servers

    def add_server(self, zone: int, kind: int, started_at: float = 0.0) -> SimServer:
        """Adds a server to the group.

        Args:
            zone: Number of its zone.
            kind: Index of its kind in the scenario.
            started_at: Start of its process in ms, 0 for a server that is warm.
        """
        uid = f"s-{self._server_count:02d}"
        machine = Machine(uid, floor_name(zone))
        model = ServerModel(
            self.scenario.kind[kind].shape(),
            self.schedule,
            random.Random(f"box/{self.seed}/{self._server_count}"),
            started_at,
        )
        server = self.servers[uid] = SimServer(self, uid, machine, kind, model, self._server_count // 4)
        self._server_count += 1
        return server

    def is_refusing(self, server: SimServer) -> bool:
        """Returns whether the server refuses connections."""
        return server.has_ended or server.uid in self.refusing_servers

    def end_server(self, server: SimServer) -> None:
        """Ends the server's process: each open attempt gets a reset after the network delay."""
        for node in self.nodes:
            if node.is_alive:
                node.connections -= len(node.idle_connections.pop(server.uid, ()))
                for held_request in list(node.requests.values()):
                    for attempt in held_request.attempts:
                        if attempt.server is server and not attempt.is_over:
                            self.schedule.after(
                                self.ways.delay(server.machine, node.machine), node.connection_lost, attempt
                            )

    # Reports from nodes

    def record_server_list(self, node: Node, kind: ListKind, entries: tuple[api.ServerEntry, ...]) -> None:
        """Tells the checkers and the trace which server list reached a limiter."""
        now_ms = self.at()
        # The checkers need no entries of the first complete list of a large group.
        if not (kind is ListKind.COMPLETE and len(entries) > 1000):
            for entry in entries:
                started_at = entry.started_at_ms - START_MS if entry.started_at_ms > 0 else 0.0
                self.bench.told(now_ms, node.name, entry.server_id, STATE_NAMES[entry.state], started_at)
        if kind is ListKind.COMPLETE and now_ms > 0:
            listed = {entry.server_id for entry in entries}
            for uid in [uid for uid in self.servers if uid not in listed]:
                self.bench.told(now_ms, node.name, uid, "gone", 0.0)
        self.trace.event(now_ms, node.name, f"list {kind.value} {len(entries)}")

    def record_attempt(self, node: Node, attempt: Attempt, uid: str) -> None:
        """Tells the checkers, the figures and the trace that a limiter sent an attempt to a server."""
        now_ms, arrival = self.at(), attempt.request.client_request.arrival
        self.trace.event(now_ms, node.name, f"send {attempt.request.tag} {uid}")
        self.bench.sent(now_ms, node.name, uid, attempt.request.tag)
        self._register_ceiling(arrival)
        self.bench.spent(now_ms, arrival.account, arrival.units)
        plan = self.scenario.plan[self.plan_numbers[arrival.plan]]
        self.account.record_send(now_ms, arrival.account, arrival.units, plan.rate, plan.burst)

    def _register_ceiling(self, arrival: Arrival) -> None:
        if arrival.account not in self._known_accounts:
            self._known_accounts[arrival.account] = arrival.plan
            plan = self.scenario.plan[self.plan_numbers[arrival.plan]]
            if plan.ceiling_rate > 0:
                self.ceilings.ceiling(arrival.account, plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)

    def tell_peer(self, node: Node, receiver: int, data: bytes) -> None:
        """Sends a datagram from a limiter to a peer.

        Args:
            node: The sender.
            receiver: Number of the receiving limiter; all limiters if negative.
            data: Content of the datagram.
        """
        if self.account.is_counted(self.at()):
            self.account.questions += 1
        self.trace.event(self.at(), node.name, f"peer {receiver} {len(data)}")
        for number in range(len(self.nodes)) if receiver < 0 else (receiver,):
            machine = self.machines[number]
            if number == node.number or self.ways.is_cut(node.machine, machine):
                continue
            if self.ways.is_datagram_lost(node.machine, machine):
                continue
            for _ in range(2 if self.ways.is_duplicated() else 1):
                delay_ms = self.ways.delay(node.machine, machine)
                self.schedule.after(delay_ms, self._peer, number, node.number, data)

    def _peer(self, receiver: int, sender: int, data: bytes) -> None:
        self.nodes[receiver].handle_event(api.PeerMessage(sender, data))

    # Clients

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            wait_ms = START_MS + arrival.at / 1000.0 - self.schedule.time
            self.schedule.after(wait_ms, self._arrive, arrival)

    def _arrive(self, arrival: Arrival) -> None:
        self._next_arrival()
        self.launch(arrival)

    def launch(self, arrival: Arrival) -> None:
        """Starts a client's request."""
        self._request_count += 1
        self.last_arrival = arrival
        request = self.open_requests[self._request_count] = ClientRequest(
            self._request_count, arrival, self.schedule.time
        )
        if arrival.leaves_after_us:
            self.schedule.after(arrival.leaves_after_us / 1000.0, self._client_leaves, request)
        self._start_attempt(request)

    def _start_attempt(self, request: ClientRequest) -> None:
        if request.is_over:
            return
        arrival, now = request.arrival, self.schedule.time
        request.attempt_count += 1
        remaining_ms = self._clients_of_streams[arrival.stream].attempt_timeout_ms(
            arrival.deadline, now - request.started_at
        )
        target = self.front.choose(arrival.spread, arrival.first, self._client_rng)
        if target is None or remaining_ms <= 0:
            return self._attempt_ended(request, "nowhere" if target is None else "timeout", None, request.attempt_count)
        node = self.nodes[target]
        request.node = node
        tag = f"q{request.number}-{request.attempt_count}"
        self.schedule.after(
            self.ways.delay(self._outside, node.machine), node.request_arrived, request, tag, remaining_ms
        )
        self.schedule.after(remaining_ms, self._timed_out, request, request.attempt_count)

    def send_answer(self, node: Node, held_request: LimiterRequest, answer: str, advice_ms: float) -> None:
        """Sends a limiter's answer to its client.

        Args:
            node: The limiter.
            held_request: The answered request.
            answer: `served`, `refused` or `failed`.
            advice_ms: Advised delay before a retry in ms; below 1 for none.
        """
        if answer == "refused":
            arrival = held_request.client_request.arrival
            plan = self.scenario.plan[self.plan_numbers[arrival.plan]]
            self.account.record_refusal(self.at(), arrival.account, arrival.units, plan.rate, plan.burst)
        delay_ms = self.ways.delay(node.machine, self._outside)
        self.schedule.after(
            delay_ms,
            self._answer_arrived,
            held_request.client_request,
            held_request.tag,
            answer,
            advice_ms if advice_ms >= 1.0 else None,
        )

    def _answer_arrived(self, request: ClientRequest, tag: str, answer: str, advice_ms: float | None) -> None:
        self.trace.event(self.at(), "client", f"{tag} {answer}")
        self.bench.answered(self.at(), tag, answer)
        if not request.is_over and tag == f"q{request.number}-{request.attempt_count}":
            self._attempt_ended(request, answer, advice_ms, request.attempt_count)

    def connection_refused(self, request: ClientRequest, tag: str) -> None:
        """Ends a client's attempt at a limiter that no longer listens."""
        if not request.is_over and tag == f"q{request.number}-{request.attempt_count}":
            self._attempt_ended(request, "refused_connection", None, request.attempt_count)

    def connection_lost(self, held_request: LimiterRequest) -> None:
        """Ends the attempt of a client whose limiter was killed: the client sees its connection close."""
        self.bench.excused(self.at(), held_request.tag, "its limiter was killed")
        self.schedule.after(1.0, self.connection_refused, held_request.client_request, held_request.tag)

    def _timed_out(self, request: ClientRequest, attempt_count: int) -> None:
        if not request.is_over and request.attempt_count == attempt_count:
            self._attempt_ended(request, "timeout", None, attempt_count)

    def _client_leaves(self, request: ClientRequest) -> None:
        if request.is_over:
            return
        node = request.node
        if node is not None and node.is_alive:
            for held_request in [
                held_request
                for held_request in node.requests.values()
                if held_request.client_request is request and not held_request.is_answered
            ]:
                node.client_left(held_request)
        self._finish(request, "left")

    def _attempt_ended(self, request: ClientRequest, outcome: str, advice_ms: float | None, attempt_count: int) -> None:
        arrival, waited_ms = request.arrival, self.schedule.time - request.started_at
        was_sent = outcome not in ("nowhere", "refused_connection")
        request.reason = combined_outcome(request.reason, outcome, bool(request.reason), was_sent)
        retry = None
        if outcome not in FINAL:
            retry = self._clients_of_streams[arrival.stream].next_retry(
                outcome,
                advice_ms,
                attempt_count,
                arrival.honours_retry_after,
                waited_ms,
                arrival.deadline,
                self._client_rng,
            )
        if retry is None:
            return self._finish(request, request.reason)
        request.attempt_count = attempt_count
        self.schedule.after(retry.wait_ms, self._start_attempt, request)

    def _finish(self, request: ClientRequest, outcome: str) -> None:
        request.is_over = True
        self.open_requests.pop(request.number, None)
        elapsed_ms = self.schedule.time - request.started_at
        self.account.record_end(request.started_at - START_MS, outcome, elapsed_ms, request.arrival.account)

    # Limiter processes

    def kill(self, number: int, restart_delay_ms: float = RESTART_DELAY_MS) -> None:
        """Kills a limiter's process and schedules its restart.

        Args:
            number: Number of the limiter.
            restart_delay_ms: Time until its next process starts.
        """
        node = self.nodes[number]
        if node.is_alive:
            self.trace.event(self.at(), node.name, "killed")
            node.kill()
            self.schedule.after(DEATH_NOTICE_MS, self._death_noticed, node)
            self.schedule.after(restart_delay_ms, self._restart, number)

    def _death_noticed(self, node: Node) -> None:
        if self.nodes[node.number] is node:
            self.front.record_unavailable(node.number, 0.0)

    def _restart(self, number: int) -> None:
        node = self.nodes[number] = self._node_class(self, number, self.machines[number], self.rng.getrandbits(63))
        self.trace.event(self.at(), node.name, "begins")
        self.bench.limiter_began(self.at(), node.name)
        node.start()
        agent = next((agent for agent in self.agents if number in agent.limiters), None)
        if agent is not None:  # drains apply before the first request arrives
            node.apply_records(list(agent.records))
        self.discovery.send_complete_list(node)
        self.schedule.after(PING_INTERVAL_MS * self.rng.random(), self._check_ready, node)

    def _check_ready(self, node: Node) -> None:
        if self.nodes[node.number] is not node or not node.is_alive:
            return
        if node.limiter.endpoints.servers:
            self.front.record_pong(node.number, 0.0)
        else:
            self.schedule.after(PING_INTERVAL_MS, self._check_ready, node)

    def pause(self, number: int, duration_ms: float) -> None:
        """Suspends a limiter's process for `duration_ms`."""
        node = self.nodes[number]
        node.is_paused = True
        self.lost.stalled(self.at(), node.name, duration_ms)
        self.schedule.after(duration_ms, self._resume, node)

    def _resume(self, node: Node) -> None:
        if node.is_alive:
            node.resume()

    # Observation

    def _at_rest(self) -> dict[str, int]:
        leftovers = {"requests open at their clients": len(self.open_requests)}
        for node in self.nodes:
            if node.is_alive and not node.is_paused:
                leftovers[f"requests open at {node.name}"] = len(node.requests)
                leftovers[f"requests that the limiter module of {node.name} still holds"] = len(node.limiter.requests)
        return leftovers

    def _digests(self) -> dict[str, str]:
        return {
            agent.name: agent.records.digest()
            for agent in self.agents
            if agent.is_alive and not agent.is_paused and not agent.has_disk_failure
        }

    def _sample(self) -> None:
        if self.is_traffic_over:
            return
        self.schedule.after(SAMPLE_INTERVAL_MS, self._sample)
        phases: set[str] = set()
        ejected = silent_owners = requests = timers = accounts = 0
        for node in self.nodes:
            if not node.is_alive:
                phases.add("down")
                continue
            limiter = node.limiter
            phases.add(limiter.throttle.phase.name + (" paused" if node.is_paused else ""))
            ejected = max(ejected, len(limiter.endpoints.outlier_detector.ejected))
            silent_owners = max(silent_owners, len(limiter.quota_coordinator.owners.silent_until_ms))
            requests += len(limiter.requests)
            timers += len(limiter.context.timers.heap)
            accounts += len(limiter.quotas.accounts)
        self.growth.counted("open requests", requests)
        self.growth.counted("timers", timers)
        if self.scenario.lasts_s >= MIN_GROWTH_RUN_S:
            self.growth.counted("accounts", accounts)
            self.growth.counted("scheduled events", self.schedule.pending_count())
        self.features.add(f"{'+'.join(sorted(phases))} out={min(ejected, 3)} silent={min(silent_owners, 2)}")


STATE_NAMES = {
    api.ServerState.RUNNING: "running",
    api.ServerState.DRAINING: "draining",
    api.ServerState.REMOVED: "gone",
}


def play(scenario: Scenario, seed: int, **options: Any) -> Result:
    """Runs a scenario at the decision level.

    Args:
        scenario: The scenario to simulate.
        seed: Seed of all random numbers.
        **options: Further arguments of `DecisionWorld`.
    """
    return DecisionWorld(scenario, seed, **options).play()
