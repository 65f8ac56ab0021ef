"""What is simulated: a group, what it meets, its clients, and the faults that befall it. TOML, checked whole before
anything runs; every complaint names the place. Times are s unless a name ends in `_ms`. No I/O but `read`.

Traffic is the load generator's: the same streams, the same accounts, the same manners of clients.
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
from elderlock.sim.models.ways import Delays
from elderlock.standins.model import Shape

FORMAT = 1  # of the models and of this file: a kept seed of another one no longer applies
MOST_LIMITERS, MOST_BOXES = 2000, 50_000
LONGEST_S = 200_000.0
FARTHEST = 2e12  # ms that a clock may be stepped by: back to 1970 and as far ahead
LONGEST_RECORDED = 10_000.0  # ms, of a deadline in a trace
LONGEST_FILE = 32 << 20  # bytes: a schedule of 100,000 faults is some 8 MB

What = Literal[
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
ABLE: dict[str, frozenset[str]] = {
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
ONLY_SHELLS = frozenset({"term", "disk-full", "disk-error", "refusing", "reset"})
ONLY_TRIAL = frozenset(
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
END = r"(?:(?:box|limiter|agent):\d{1,6}|counter|discovery|clients|tool)"
WAY = re.compile(rf"way:({END})>({END})")
TARGET = re.compile(
    r"(box|limiter|agent|floor):(\*|\d{1,6}(?:-\d{1,6})?)|(counter|discovery|peers|clients|house)|" + WAY.pattern
)


class Fault(StrictStruct, frozen=True):
    """`at_s` after the start, for `for_s` (0: what it does cannot end, or it stays to the end). `by`: times for slow, a
    share for errs and loss, ms for late, pause and clock, requests a second more for rush, connections a second for
    silent-clients, the share of clients that ask once and keep their connection for good for hoard, ms of disorder for
    reorder, bytes a second for trickle, ms for disk-slow, s after which a real tool gives up for op-drain and
    op-undrain. `target`: `box:3`, `box:0-4`, `box:*`, `limiter:1`, `agent:0`, `floor:1`, `house` (all), `counter`,
    `discovery`, `peers`, `clients`, or `way:limiter:0>box:3`, the way from one to another and not the way back; `tool`
    is an operator's command there."""

    at_s: float
    what: What
    target: str
    for_s: float = 0.0
    by: float = 0.0

    def kind(self) -> str:
        return self.target.partition(":")[0]

    def numbers(self, count: int) -> range:
        """Which of `count` it names."""
        _, _, which = self.target.partition(":")
        if which in ("", "*"):
            return range(count)
        first, _, last = which.partition("-")
        return range(min(int(first), count), min(int(last or first) + 1, count))

    def ends(self) -> tuple[str, str]:
        """Of a `way:`: whence and whither."""
        found = WAY.fullmatch(self.target)
        assert found is not None
        return found[1], found[2]

    def text(self) -> str:
        """A line for people."""
        words = f"{self.at_s:8.3f} s  {self.target:<12} {self.what}"
        words += f" by {self.by:g}" if self.by else ""
        return words + (f", for {self.for_s:.3f} s" if self.for_s else "")


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
    """Units a second and units. `over_worth` and `over_cost`: what a unit beyond the quota earns and costs."""

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
    """A class of requests. `effect` as the settings have it: free, guarded, single_shot."""

    name: str = "lookup"
    aim_ms: float = 300.0
    effect: Literal["free", "guarded", "single_shot"] = "free"


class BoxKind(StrictStruct, frozen=True):
    """A kind of box; boxes take the kinds in turn. See `elderlock.standins.model`."""

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
    """See `elderlock.sim.models.ways`; ms and shares."""

    same_ms: float = 0.25
    cross_ms: float = 2.0
    jitter: float = 0.15
    loss: float = 0.0
    datagram_loss: float = 0.01

    def delays(self) -> Delays:
        return Delays(self.same_ms, self.cross_ms, self.jitter, loss=self.loss, datagram_loss=self.datagram_loss)


class Settings(StrictStruct, frozen=True):
    """What an operator may set, and what an experiment compares."""

    subset: int = 0
    away_ms: float = 0.0
    counter: bool = False  # quotas by a shared counter in place of datagrams
    peers: bool = True
    max_attempts: int = 3
    sockets: int = 1024
    keepalive_ms: float = 15_000.0
    dial_ms: float = 250.0
    peer_intake: float = 100.0  # datagrams a second
    shared: bool = False  # limiters share health evidence on boxes, where they talk
    shared_ceilings: bool = False  # parts of ceilings go by demand, where they talk and no counter holds them
    memory_mb: float = 192.0
    budget: float = 0.0  # share of the boxes that may be out at once by permits of the agents; 0 for no permits

    def most_out(self, boxes: int) -> int:
        """Of so many boxes that operators may have taken out at once, without force."""
        return int(self.budget * boxes + 1e-9)


class Scenario(StrictStruct, frozen=True):
    """Clients and discovery stand on no floor: no cut is theirs."""

    name: str
    lasts_s: float = 20.0
    format: int = FORMAT
    about: str = ""
    limiters: int = 3
    boxes: int = 9
    floors: int = 3
    agents: int = 0
    stream: tuple[load.Stream, ...] = ()
    replay: load.Replay | None = None  # a recorded trace in place of streams; its path counts from the scenario's file
    clients: Clients = Clients()
    plan: tuple[Plan, ...] = ()
    service: tuple[Service, ...] = (Service(),)
    kind: tuple[BoxKind, ...] = (BoxKind(), BoxKind(name="old-2c", speed=0.6))
    net: Net = Net()
    settings: Settings = Settings()
    fault: tuple[Fault, ...] = ()
    warm_s: float = 2.0  # from the start, not counted in figures
    rest_s: float = 4.0  # after the last fault and the last arrival, in which all has to come to rest

    def traffic(self, seed: int) -> load.Scenario:
        """As the load generator's schedule takes it."""
        return load.Scenario(
            name=self.name,
            for_s=self.lasts_s,
            seed=seed,
            stream=self.stream,
            clients=self.clients,
            group=load.Group(),
        )

    def longest_deadline(self) -> float:
        """ms, of what clients ask."""
        return max((stream.deadline_ms for stream in self.stream), default=LONGEST_RECORDED)

    def floor_names(self) -> list[str]:
        return [floor_name(number) for number in range(self.floors)]

    def capacity(self) -> float:
        """Requests a second that all boxes bear, warm and in good health."""
        kinds = [self.kind[n % len(self.kind)].shape().bears() for n in range(self.boxes)]
        return 1000.0 * sum(kinds)


def floor_name(number: int) -> str:
    return f"floor-{number + 2}"


def of_load(share: float, scenario: Scenario, accounts: int = 100, skew: float = 0.6) -> Scenario:
    """With one stream that asks for that share of what the boxes bear, and a plan that lets all of it in."""
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
    """`changes` are `a.b=value` in place of the file's own. Raises `ScenarioError`."""
    try:
        raw = tomllib.loads(text)
        for change in changes:
            load.set_value(raw, change)
        given = raw.get("format", FORMAT)
        if given != FORMAT:
            raise ScenarioError(f"it is of format {given}, this program's is {FORMAT}: it no longer applies")
        scenario = msgspec.convert(raw, Scenario)
        check(scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{where}: not TOML: {error}") from None
    except (msgspec.ValidationError, ScenarioError) as error:
        raise ScenarioError(f"{where}: {error}") from None
    return scenario


def read(path: Path, changes: Sequence[str] = ()) -> Scenario:
    """Raises `ScenarioError`."""
    try:
        if path.stat().st_size > LONGEST_FILE:
            raise ScenarioError(f"{path}: longer than {LONGEST_FILE} bytes")
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    scenario = parse(text, str(path), changes)
    if scenario.replay is None:
        return scenario
    beside = str(path.resolve().parent / scenario.replay.path)
    return msgspec.structs.replace(scenario, replay=msgspec.structs.replace(scenario.replay, path=beside))


def check(scenario: Scenario) -> None:
    """Raises `ScenarioError`."""
    s = scenario
    load.check_ranges(
        "the group",
        limiters=(s.limiters, 1, MOST_LIMITERS),
        boxes=(s.boxes, 1, MOST_BOXES),
        floors=(s.floors, 1, 100),
        agents=(s.agents, 0, s.limiters),
        lasts_s=(s.lasts_s, 0.1, LONGEST_S),
        warm_s=(s.warm_s, 0, s.lasts_s),
        rest_s=(s.rest_s, 0, 3600),
    )
    if bool(s.stream) == (s.replay is not None):
        raise ScenarioError("it needs a [[stream]] or a [replay], and not both")
    if s.replay is not None and s.replay.rename_key:
        raise ScenarioError("replay: a trace is renamed by elderlock load rename")
    if not s.service or not s.kind:
        raise ScenarioError("it needs one [[service]] and one [[kind]] at least")
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
        subset=(s.settings.subset, 0, MOST_BOXES),
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
    """Raises `ScenarioError`."""
    if TARGET.fullmatch(fault.target) is None:
        raise ScenarioError(
            f"{where}: {fault.target!r} is no target: box:N, box:N-M, box:*, limiter:N, agent:N, floor:N, house, "
            "counter, discovery, peers, clients, way:A>B with A and B box:N, limiter:N, agent:N, counter, discovery, "
            "clients or tool"
        )
    able = ABLE[fault.kind()]
    if fault.what not in able:
        raise ScenarioError(f"{where}: {fault.target} cannot be made {fault.what}; it can be {', '.join(sorted(able))}")
    load.check_ranges(
        where, at_s=(fault.at_s, 0, lasts), for_s=(fault.for_s, 0, LONGEST_S), by=(fault.by, -FARTHEST, FARTHEST)
    )
    if fault.what in ("errs", "loss", "hoard", "duplicate") and not 0 <= fault.by <= 1:
        raise ScenarioError(f"{where}: by is {fault.by:g}, a share lies between 0 and 1")


def unplayable(scenario: Scenario, floor: str) -> list[str]:
    """What of its faults that floor (shells, decisions or trial) cannot play, each with why, for people."""
    found = []
    for fault in scenario.fault:
        why = ""
        if floor != "trial" and fault.what in ONLY_TRIAL:
            why = "real files and real wires alone show that"
        elif floor == "decisions" and (fault.what in ONLY_SHELLS or fault.kind() == "way"):
            why = "there are no processes, files and connections on this floor"
        elif floor == "decisions" and fault.what in ("silent-clients", "hoard", "clock"):
            why = "there are no connections and no machine's clocks on this floor"
        elif floor == "trial" and fault.kind() == "floor" and fault.what == "loss":
            why = "a relay passes streams whole: lose datagrams by peers or by way"
        if why:
            found.append(f"{fault.target} {fault.what} at {fault.at_s:g} s: {why}")
    return found


def by_of(fault: Fault) -> float:
    return fault.by or DEFAULT_BY.get(fault.what, 0.0)


def cut_pairs(fault: Fault, name: str, others: Sequence[str]) -> list[tuple[str, str]]:
    """From whom nothing comes to whom, where `name` is cut off from the others: both ways, or to or from it alone."""
    pairs = []
    for other in others:
        if other != name:
            pairs += [(name, other)] if fault.what != "cut-to" else []
            pairs += [(other, name)] if fault.what != "cut-from" else []
    return pairs


def timeline(scenario: Scenario, seed: int) -> str:
    """Readable, in order."""
    s = scenario
    lines = [
        f"{s.name}: seed {seed}, {s.limiters} limiters, {s.boxes} boxes, {s.floors} floors, {s.agents} agents, "
        f"{s.lasts_s:g} s"
    ]
    return "\n".join([*lines, *(fault.text() for fault in sorted(s.fault, key=lambda f: f.at_s)), ""])
