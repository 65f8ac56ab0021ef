"""Scenarios: a group, its surroundings, its clients, and the faults that are injected.

A scenario is a TOML file that is checked completely before anything runs; every error names the entry. Times are s
unless a name ends in `_ms`. Only `read` does I/O.

The traffic is that of the load generator, with the same streams, accounts and client behavior. A floor is a zone.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import msgspec

from elderlock.load import scenario as load
from elderlock.load.accounts import AccountMix
from elderlock.load.scenario import Clients, ScenarioError, StrictStruct
from elderlock.sim.models.link_conditions import LinkDelays
from elderlock.standins.model import Shape

FORMAT = 1  # version of the models and of this file; a kept seed of another version no longer applies
MAX_LIMITERS, MAX_SERVERS = 2000, 50_000
MAX_DURATION_S = 200_000.0
MAX_AMOUNT = 2e12  # largest amount of a fault; for a clock in ms, it reaches back to 1970 and as far ahead
LONGEST_TRACE_DEADLINE_MS = 10_000.0  # longest deadline in a recorded trace
MAX_FILE_BYTES = 32 << 20  # a schedule of 100,000 faults has about 8 MB

FaultKind = Literal[
    "slow",
    "errs",
    "silent",
    "refusing",
    "restart",
    "pause",
    "drain",
    "remove",
    "lies",
    "kill",
    "term",
    "clock",
    "cut",
    "cut-to",
    "cut-from",
    "loss",
    "late",
    "empty",
    "restored",
    "busy",
    "stale",
    "flap",
    "dead",
    "disk-full",
    "disk-error",
    "op-drain",
    "op-undrain",
    "stop",
    "start",
    "rush",
    "silent-clients",
    "hoard",
    "power",
    "disk-slow",
    "disk-lies",
    "old-state",
    "no-state",
    "kill-write",
    "kill-sync",
    "kill-rename",
    "duplicate",
    "reorder",
    "trickle",
    "reset",
    "half-close",
]
# The faults that can be injected into each kind of target
FAULTS_BY_TARGET: dict[str, frozenset[str]] = {
    "box": frozenset(
        {"slow", "errs", "silent", "refusing", "restart", "pause", "drain", "remove", "lies", "op-drain", "op-undrain"}
    ),
    "limiter": frozenset(
        {"kill", "term", "pause", "clock", "cut", "cut-to", "cut-from", "op-drain", "op-undrain", "power"}
    ),
    "agent": frozenset(
        {
            "kill",
            "term",
            "pause",
            "clock",
            "cut",
            "disk-full",
            "disk-error",
            "disk-slow",
            "disk-lies",
            "power",
            "old-state",
            "no-state",
            "kill-write",
            "kill-sync",
            "kill-rename",
        }
    ),
    "floor": frozenset({"cut", "cut-to", "cut-from", "loss", "late", "restart", "silent", "power"}),
    "house": frozenset({"power"}),
    "way": frozenset({"cut", "late", "loss", "duplicate", "reorder", "trickle", "reset", "half-close"}),
    "counter": frozenset({"silent", "refusing", "empty", "restored", "busy", "late"}),
    "discovery": frozenset({"silent", "refusing", "stale", "late", "flap", "dead"}),
    "peers": frozenset({"silent", "loss", "late"}),
    "clients": frozenset({"rush", "silent-clients", "hoard"}),
}
# Faults that only the shells level of the simulation and trials can play
SHELLS_ONLY = frozenset({"term", "disk-full", "disk-error", "refusing", "reset"})
# Faults that only trials with real processes can play
TRIAL_ONLY = frozenset(
    {
        "disk-slow",
        "disk-lies",
        "old-state",
        "no-state",
        "kill-write",
        "kill-sync",
        "kill-rename",
        "duplicate",
        "reorder",
        "trickle",
        "half-close",
    }
)
LINK_END = r"(?:(?:box|limiter|agent):\d{1,6}|counter|discovery|clients|tool)"
LINK_TARGET = re.compile(rf"way:({LINK_END})>({LINK_END})")
TARGET = re.compile(
    r"(box|limiter|agent|floor):(\*|\d{1,6}(?:-\d{1,6})?)|(counter|discovery|peers|clients|house)|"
    + LINK_TARGET.pattern
)


class Fault(StrictStruct, frozen=True):
    """A fault that is injected during a run.

    Attributes:
        at_s: When it begins, after the start of the run.
        what: The kind of fault.
        target: `box:3`, `box:0-4`, `box:*`, `limiter:1`, `agent:0`, `floor:1`, `house` (everything), `counter`,
            `discovery`, `peers`, `clients`, or `way:limiter:0>box:3` for the link from one to another in this
            direction only. In a link, `tool` is an operator's command.
        for_s: How long it lasts; 0 if its effect cannot end, or lasts until the end of the run.
        by: Its amount; 0 for the default of its kind:

            - slow: a factor
            - errs, loss, duplicate: a share
            - late, pause, clock, disk-slow: ms
            - rush: additional requests per second
            - silent-clients: connections per second
            - hoard: the share of clients that send one request and keep their connection open forever
            - reorder: ms by which data is reordered
            - trickle: bytes per second
            - op-drain, op-undrain: s after which a real tool gives up
    """

    at_s: float
    what: FaultKind
    target: str
    for_s: float = 0.0
    by: float = 0.0

    def target_kind(self) -> str:
        """Returns the part of the target before the colon, such as `box`."""
        return self.target.partition(":")[0]

    def target_numbers(self, count: int) -> range:
        """Returns the numbers of the targets among `count` of them."""
        _, _, which = self.target.partition(":")
        if which in ("", "*"):
            return range(count)
        first, _, last = which.partition("-")
        return range(min(int(first), count), min(int(last or first) + 1, count))

    def link_ends(self) -> tuple[str, str]:
        """Returns the source and the destination of a link (`way:`)."""
        match = LINK_TARGET.fullmatch(self.target)
        assert match is not None
        return match[1], match[2]

    def text(self) -> str:
        """Returns a line for reports."""
        line = f"{self.at_s:8.3f} s  {self.target:<12} {self.what}"
        line += f" by {self.by:g}" if self.by else ""
        return line + (f", for {self.for_s:.3f} s" if self.for_s else "")


DEFAULT_BY: dict[str, float] = {
    "slow": 5.0,
    "errs": 0.5,
    "loss": 0.1,
    "late": 100.0,
    "pause": 500.0,
    "clock": 2000.0,
    "rush": 100.0,
    "silent-clients": 50.0,
    "hoard": 0.5,
    "duplicate": 0.2,
    "reorder": 50.0,
    "trickle": 2000.0,
    "disk-slow": 200.0,
}


class Plan(StrictStruct, frozen=True):
    """A plan that accounts belong to.

    Attributes:
        name: Its name.
        price: The price of a unit within the quota.
        rate: The quota in units per second.
        burst: The quota's burst in units.
        ceiling_rate: The hard ceiling in units per second; 0 for none.
        ceiling_burst: The ceiling's burst in units.
        ceiling_slack: The units by which the ceiling may be exceeded.
        over_worth: What a unit beyond the quota earns.
        over_cost: What a unit beyond the quota costs.
        open_limit: The most requests of an account in flight at once; 0 for no limit.
    """

    name: str
    price: float = 1.0
    rate: float = 1e6
    burst: float = 1e6
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    open_limit: int = 0


class Service(StrictStruct, frozen=True):
    """A class of requests.

    Attributes:
        name: Its name.
        aim_ms: Its latency objective.
        effect: Whether a request may be repeated, as in the limiters' settings.
    """

    name: str = "lookup"
    aim_ms: float = 300.0
    effect: Literal["free", "guarded", "single_shot"] = "free"


class ServerKind(StrictStruct, frozen=True):
    """A kind of server; see `elderlock.standins.model`. Servers are assigned the kinds in turn.

    Attributes:
        name: Its name.
        cores: The number of requests that it processes at once.
        speed: Its speed relative to the standard kind.
        room: The most requests that wait; it rejects further ones.
        work_ms: The mean processing time of a request.
        cold_share: The share of its capacity that it has when it starts.
        cold_ms: How long it takes to warm up.
        crowd: How much each waiting request slows down those in service.
        report_every_ms: The interval of its load reports; 0 for none.
        noise: The random error of its load reports, as a share.
    """

    name: str = "std-2c"
    cores: int = 2
    speed: float = 1.0
    room: int = 64
    work_ms: float = 20.0
    cold_share: float = 0.24
    cold_ms: float = 4000.0
    crowd: float = 0.0
    report_every_ms: float = 0.0
    noise: float = 0.0

    def shape(self) -> Shape:
        """Returns the parameters of the server model."""
        return Shape(
            self.cores,
            self.speed,
            self.room,
            self.work_ms,
            self.cold_share,
            self.cold_ms,
            self.crowd,
            self.report_every_ms,
            self.noise,
        )


class Net(StrictStruct, frozen=True):
    """Delays in ms and loss rates as shares; see `elderlock.sim.models.link_conditions`.

    Attributes:
        same_ms: Base delay within a zone.
        cross_ms: Base delay between zones.
        jitter: Mean of the random delay as a share of the base.
        loss: Share of TCP segments that are lost.
        datagram_loss: Share of datagrams that are lost.
    """

    same_ms: float = 0.25
    cross_ms: float = 2.0
    jitter: float = 0.15
    loss: float = 0.0
    datagram_loss: float = 0.01

    def delays(self) -> LinkDelays:
        """Returns the parameters of the link model."""
        return LinkDelays(self.same_ms, self.cross_ms, self.jitter, loss=self.loss, datagram_loss=self.datagram_loss)


class Settings(StrictStruct, frozen=True):
    """Settings that an operator may choose and an experiment may compare.

    Attributes:
        subset: The size of each limiter's subset of servers; 0 for all.
        away_ms: The latency penalty of servers in another zone.
        counter: Whether quotas are kept in a shared counter instead of being coordinated by datagrams.
        peers: Whether limiters send one another datagrams.
        max_attempts: The most attempts for a request.
        sockets: The limit of open file descriptors for each process.
        keepalive_ms: How long an idle connection to a server is kept.
        dial_ms: The time-out for connecting to a server.
        peer_intake: The most datagrams per second that a limiter accepts.
        shared: Whether limiters share health evidence on servers; only with `peers`.
        shared_ceilings: Whether the limiters' parts of hard ceilings follow demand; only with `peers` and without
            `counter`.
        memory_mb: The memory limit of a limiter.
        budget: The share of the servers, and of the limiters, that may be drained at once with the agents' permits; 0
            for no permits.
    """

    subset: int = 0
    away_ms: float = 0.0
    counter: bool = False
    peers: bool = True
    max_attempts: int = 3
    sockets: int = 1024
    keepalive_ms: float = 15_000.0
    dial_ms: float = 250.0
    peer_intake: float = 100.0
    shared: bool = False
    shared_ceilings: bool = False
    memory_mb: float = 192.0
    budget: float = 0.0

    def max_drained(self, boxes: int) -> int:
        """Returns how many of that many servers or limiters operators may drain at once without force."""
        return int(self.budget * boxes + 1e-9)


class Scenario(StrictStruct, frozen=True):
    """A scenario. Clients and discovery are in no zone, so that no partition between zones affects them.

    Attributes:
        name: Its name.
        lasts_s: How long clients send requests.
        format: The version of the models.
        about: A description.
        limiters: The number of limiters.
        boxes: The number of servers.
        floors: The number of zones.
        agents: The number of agents.
        stream: The streams of requests.
        replay: A recorded trace instead of streams; its path is relative to the scenario's file.
        clients: The behavior of the clients.
        plan: The plans.
        service: The classes of requests.
        kind: The kinds of servers.
        net: The network.
        settings: The limiters' settings.
        fault: The faults to inject.
        warm_s: The time from the start that is left out of the figures.
        rest_s: The time after the last fault and the last arrival in which the group has to become idle.
    """

    name: str
    lasts_s: float = 20.0
    format: int = FORMAT
    about: str = ""
    limiters: int = 3
    boxes: int = 9
    floors: int = 3
    agents: int = 0
    stream: tuple[load.Stream, ...] = ()
    replay: load.Replay | None = None
    clients: Clients = Clients()
    plan: tuple[Plan, ...] = ()
    service: tuple[Service, ...] = (Service(),)
    kind: tuple[ServerKind, ...] = (ServerKind(), ServerKind(name="old-2c", speed=0.6))
    net: Net = Net()
    settings: Settings = Settings()
    fault: tuple[Fault, ...] = ()
    warm_s: float = 2.0
    rest_s: float = 4.0

    def traffic(self, seed: int) -> load.Scenario:
        """Returns the traffic as a scenario of the load generator."""
        return load.Scenario(
            name=self.name,
            for_s=self.lasts_s,
            seed=seed,
            stream=self.stream,
            clients=self.clients,
            group=load.Group(),
        )

    def longest_deadline(self) -> float:
        """Returns the longest deadline of a request, in ms."""
        return max((stream.deadline_ms for stream in self.stream), default=LONGEST_TRACE_DEADLINE_MS)

    def floor_names(self) -> list[str]:
        """Returns the names of the zones."""
        return [floor_name(number) for number in range(self.floors)]

    def capacity(self) -> float:
        """Returns the requests per second that all servers can serve when they are warm and healthy."""
        kinds = [self.kind[n % len(self.kind)].shape().bears() for n in range(self.boxes)]
        return 1000.0 * sum(kinds)


def floor_name(number: int) -> str:
    """Returns the name of a zone."""
    return f"floor-{number + 2}"


def with_load(share: float, scenario: Scenario, accounts: int = 100, skew: float = 0.6) -> Scenario:
    """Returns the scenario with a single stream at that share of the servers' capacity, and a plan that admits all.

    Args:
        share: The load as a share of the capacity.
        scenario: The scenario; its own plans are kept if it has any.
        accounts: The number of accounts.
        skew: The skew of the load over the accounts.
    """
    mix = AccountMix(count=accounts, skew=skew)
    shape = (load.Steady(rate=share * scenario.capacity()),)
    stream = load.Stream(
        name="main",
        plan="plain",
        class_name=scenario.service[0].name,
        shape=shape,
        accounts=mix,
        deadline_ms=4 * scenario.service[0].aim_ms,
    )
    return msgspec.structs.replace(scenario, stream=(stream,), plan=scenario.plan or (Plan("plain"),))


def parse(text: str, where: str, changes: Sequence[str] = ()) -> Scenario:
    """Parses and checks a scenario.

    Args:
        text: The TOML text.
        where: The name of the text in errors.
        changes: Values that replace those of the text, as `a.b=value`.

    Raises:
        ScenarioError: The text is not a valid scenario.
    """
    try:
        raw = tomllib.loads(text)
        for change in changes:
            load.set_value(raw, change)
        version = raw.get("format", FORMAT)
        if version != FORMAT:
            raise ScenarioError(f"it has format {version}, this program has format {FORMAT}: it no longer applies")
        scenario = msgspec.convert(raw, Scenario)
        check(scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{where}: not TOML: {error}") from None
    except (msgspec.ValidationError, ScenarioError) as error:
        raise ScenarioError(f"{where}: {error}") from None
    return scenario


def read(path: Path, changes: Sequence[str] = ()) -> Scenario:
    """Reads and checks a scenario file; see `parse`.

    Raises:
        ScenarioError: The file cannot be read or is not a valid scenario.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ScenarioError(f"{path}: longer than {MAX_FILE_BYTES} bytes")
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    scenario = parse(text, str(path), changes)
    if scenario.replay is None:
        return scenario
    trace_path = str(path.resolve().parent / scenario.replay.path)
    return msgspec.structs.replace(scenario, replay=msgspec.structs.replace(scenario.replay, path=trace_path))


def check(scenario: Scenario) -> None:
    """Checks a scenario.

    Raises:
        ScenarioError: A value is out of range, or a name is unknown.
    """
    s = scenario
    load.check_ranges(
        "the group",
        limiters=(s.limiters, 1, MAX_LIMITERS),
        boxes=(s.boxes, 1, MAX_SERVERS),
        floors=(s.floors, 1, 100),
        agents=(s.agents, 0, s.limiters),
        lasts_s=(s.lasts_s, 0.1, MAX_DURATION_S),
        warm_s=(s.warm_s, 0, s.lasts_s),
        rest_s=(s.rest_s, 0, 3600),
    )
    if bool(s.stream) == (s.replay is not None):
        raise ScenarioError("the scenario needs a [[stream]] or a [replay], but not both")
    if s.replay is not None and s.replay.rename_key:
        raise ScenarioError("replay: rename_key is not supported here, rename the trace with elderlock load rename")
    if not s.service or not s.kind:
        raise ScenarioError("the scenario needs at least one [[service]] and one [[kind]]")
    plans, services = {plan.name for plan in s.plan}, {service.name for service in s.service}
    if s.stream:
        load.check(s.traffic(0))
    for stream in s.stream:
        if stream.plan not in plans:
            raise ScenarioError(f"stream {stream.name}: there is no plan {stream.plan!r}")
        if stream.class_name not in services:
            raise ScenarioError(f"stream {stream.name}: there is no service {stream.class_name!r}")
    for kind in s.kind:
        load.check_ranges(
            f"kind {kind.name}",
            cores=(kind.cores, 1, 1000),
            speed=(kind.speed, 0.001, 1000),
            room=(kind.room, 0, 1e6),
            work_ms=(kind.work_ms, 0.01, 60_000),
            cold_share=(kind.cold_share, 0.01, 1),
            cold_ms=(kind.cold_ms, 1, 600_000),
            crowd=(kind.crowd, 0, 100),
            noise=(kind.noise, 0, 1),
            report_every_ms=(kind.report_every_ms, 0, 60_000),
        )
    load.check_ranges(
        "settings",
        subset=(s.settings.subset, 0, MAX_SERVERS),
        max_attempts=(s.settings.max_attempts, 1, 10),
        budget=(s.settings.budget, 0, 1),
        sockets=(s.settings.sockets, 64, 1_000_000),
        keepalive_ms=(s.settings.keepalive_ms, 100, 600_000),
    )
    load.check_ranges(
        "net",
        same_ms=(s.net.same_ms, 0, 1000),
        cross_ms=(s.net.cross_ms, 0, 10_000),
        loss=(s.net.loss, 0, 0.9),
        datagram_loss=(s.net.datagram_loss, 0, 1),
        jitter=(s.net.jitter, 0, 10),
    )
    for number, fault in enumerate(s.fault):
        check_fault(f"fault {number}", fault, s.lasts_s)


def check_fault(where: str, fault: Fault, lasts: float) -> None:
    """Checks a fault.

    Args:
        where: The name of the fault in errors.
        fault: The fault.
        lasts: The duration of the scenario, in s.

    Raises:
        ScenarioError: The target is invalid, cannot have this fault, or a value is out of range.
    """
    if TARGET.fullmatch(fault.target) is None:
        raise ScenarioError(
            f"{where}: {fault.target!r} is not a valid target; valid are box:N, box:N-M, box:*, limiter:N, agent:N, "
            "floor:N, house, counter, discovery, peers, clients, and way:A>B with A and B box:N, limiter:N, agent:N, "
            "counter, discovery, clients or tool"
        )
    supported = FAULTS_BY_TARGET[fault.target_kind()]
    if fault.what not in supported:
        raise ScenarioError(
            f"{where}: {fault.target} does not support the fault {fault.what!r}; "
            f"it supports {', '.join(sorted(supported))}"
        )
    load.check_ranges(
        where,
        at_s=(fault.at_s, 0, lasts),
        for_s=(fault.for_s, 0, MAX_DURATION_S),
        by=(fault.by, -MAX_AMOUNT, MAX_AMOUNT),
    )
    if fault.what in ("errs", "loss", "hoard", "duplicate") and not 0 <= fault.by <= 1:
        raise ScenarioError(f"{where}: by is {fault.by:g}, but a share lies between 0 and 1")


def unsupported_faults(scenario: Scenario, floor: str) -> list[str]:
    """Lists the faults that a level cannot play, each with the reason.

    Args:
        scenario: The scenario.
        floor: The level: `shells`, `decisions` or `trial`.
    """
    unsupported = []
    for fault in scenario.fault:
        why = ""
        if floor != "trial" and fault.what in TRIAL_ONLY:
            why = "only real files and real connections can have this fault"
        elif floor == "decisions" and (fault.what in SHELLS_ONLY or fault.target_kind() == "way"):
            why = "this level simulates no processes, files or connections"
        elif floor == "decisions" and fault.what in ("silent-clients", "hoard", "clock"):
            why = "this level simulates no connections and no clocks of machines"
        elif floor == "trial" and fault.target_kind() == "floor" and fault.what == "loss":
            why = "a relay loses no data of streams; to lose datagrams, use the target peers or a way"
        if why:
            unsupported.append(f"{fault.target} {fault.what} at {fault.at_s:g} s: {why}")
    return unsupported


def effective_amount(fault: Fault) -> float:
    """Returns the fault's amount, or the default of its kind."""
    return fault.by or DEFAULT_BY.get(fault.what, 0.0)


def cut_pairs(fault: Fault, name: str, others: Sequence[str]) -> list[tuple[str, str]]:
    """Returns the ordered pairs of names whose link a partition cuts.

    Args:
        fault: The fault: `cut` cuts both directions, `cut-to` and `cut-from` only those to or from `name`.
        name: The machine or zone that is partitioned from the others.
        others: The others.
    """
    pairs = []
    for other in others:
        if other != name:
            pairs += [(name, other)] if fault.what != "cut-to" else []
            pairs += [(other, name)] if fault.what != "cut-from" else []
    return pairs


def timeline(scenario: Scenario, seed: int) -> str:
    """Describes a scenario and its faults in order of time, for reports."""
    s = scenario
    lines = [
        f"{s.name}: seed {seed}, {s.limiters} limiters, {s.boxes} boxes, {s.floors} floors, {s.agents} agents, "
        f"{s.lasts_s:g} s"
    ]
    return "\n".join([*lines, *(fault.text() for fault in sorted(s.fault, key=lambda f: f.at_s)), ""])
