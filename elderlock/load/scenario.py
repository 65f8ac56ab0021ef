"""A scenario: what is sent, by whom, how its clients act, what goes wrong meanwhile. Read from TOML, checked
whole before anything starts; every complaint names the place. Times are s unless a name ends in `_ms`."""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from importlib import resources
from pathlib import Path
from typing import Any, Literal

import msgspec

from elderlock.fleet.config import address
from elderlock.load import shapes
from elderlock.load.accounts import AccountMix
from elderlock.load.shapes import Piece

LONGEST_S = 86_400.0
MOST_RATE = 1e6
MAXIMUM_ACCOUNTS = 1_000_000
LONGEST_FILE = 1 << 20  # bytes
SHIPPED = resources.files("elderlock.load") / "scenarios"


class ScenarioError(Exception):
    """The scenario cannot be used; the text says where and why."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    pass


class Steady(StrictStruct, frozen=True, tag="steady", tag_field="kind"):
    rate: float
    for_s: float = 0.0  # 0: what is left of the run


class Ramp(StrictStruct, frozen=True, tag="ramp", tag_field="kind"):
    rate: float
    to: float
    for_s: float = 0.0


class Steps(StrictStruct, frozen=True, tag="steps", tag_field="kind"):
    rates: tuple[float, ...]
    for_s: float = 0.0


class Wave(StrictStruct, frozen=True, tag="wave", tag_field="kind"):
    rate: float
    swing: float  # of the rate, up to 1
    period_s: float
    for_s: float = 0.0


class Bursts(StrictStruct, frozen=True, tag="bursts", tag_field="kind"):
    rate: float
    peak: float
    every_s: float
    burst_s: float
    for_s: float = 0.0


class Spike(StrictStruct, frozen=True, tag="spike", tag_field="kind"):
    rate: float
    peak: float
    at_s: float  # of its top, from where this shape begins
    spike_s: float
    for_s: float = 0.0


Shape = Steady | Ramp | Steps | Wave | Bursts | Spike


class Clients(StrictStruct, frozen=True):
    """How clients act. `try_share`: a try is given up after this share of the deadline. `honour`: the share of
    clients that come again when they were told to. `impatient`: the share of requests whose client goes away
    at a random time within its deadline."""

    connections: Literal["keep", "each"] = "keep"
    most_connections: int = 2000  # of a worker at a target
    retries: int = 0
    try_share: float = 1.0
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: float = 50.0
    jitter: bool = True  # full: a wait is drawn evenly from nothing to the back-off
    honour: float = 1.0
    most_wait_ms: float = 1000.0  # of a "come back" that is honoured
    marks_retries: bool = True
    impatient: float = 0.0
    slow: float = 0.0  # the share of requests whose client sends half of its command, and the rest so late:
    slow_ms: float = 500.0


class Stream(StrictStruct, frozen=True):
    name: str
    plan: str
    class_name: str = msgspec.field(name="class", default="lookup")
    arrivals: Literal["poisson", "even"] = "poisson"
    units: tuple[float, ...] = (1.0,)  # drawn evenly from
    deadline_ms: float = 1200.0
    spread: int = 0  # limiters that an account's requests go to; 0: all, three at most
    shape: tuple[Shape, ...] = ()
    accounts: AccountMix = AccountMix()
    clients: Clients | None = None


class Replay(StrictStruct, frozen=True):
    """A recorded trace in place of streams. `speed` 2 is twice as fast; `from_s` and `to_s` cut it in its own
    time; `loops` plays it so often; `rename_key` names a file whose bytes rename the accounts."""

    path: str
    speed: float = 1.0
    loops: int = 1
    from_s: float = 0.0
    to_s: float = 0.0  # 0: to its end
    rename_key: str = ""
    on_error: str = "stop"  # stop, skip, or map:PLAN
    plans: tuple[str, ...] = ()  # those that may stand in it; none named: any


class Fault(StrictStruct, frozen=True):
    """What goes wrong with the stand-ins of `elderlock load up`, `at_s` after the start for `for_s`. Targets:
    boxes by uid, `counter`, `discovery`, `peers`, limiters by name; `*` all boxes."""

    at_s: float
    what: Literal["slow", "silent", "refusing", "reset", "restart", "empty", "drain", "remove", "kill"]
    target: str
    for_s: float = 0.0
    by_ms: float = 200.0  # for slow


class LatenessLimits(StrictStruct, frozen=True):
    """When a run's generator counts as having fallen behind."""

    late_p99_ms: float = 20.0  # the p99 of a second's sends against their schedule
    late_most_ms: float = 100.0  # any one send
    connect_ms: float = 500.0  # a connection that takes longer to come up is a backlog
    verify: bool = False  # an answer has to hold its request's id: for targets that echo it


class Targets(StrictStruct, frozen=True):
    kind: Literal["resp", "grpc"] = "resp"
    addresses: tuple[str, ...] = ()
    silent_s: float = 2.0  # of a target's silence on PING, after which the front passes it over
    ping_s: float = 0.3


class Group(StrictStruct, frozen=True):
    """What `elderlock load up` starts."""

    limiters: int = 3
    boxes: int = 9


class Scenario(StrictStruct, frozen=True):
    name: str
    for_s: float = 0.0
    seed: int = 1
    workers: int = 1
    about: str = ""
    stream: tuple[Stream, ...] = ()
    replay: Replay | None = None
    clients: Clients = Clients()
    targets: Targets = Targets()
    truth: LatenessLimits = LatenessLimits()
    group: Group = Group()
    trouble: tuple[Fault, ...] = ()
    fail_if: tuple[str, ...] = ()
    record: str = ""  # a trace of this run is written there

    def clients_of(self, stream: int) -> Clients:
        own = self.stream[stream].clients if stream < len(self.stream) else None
        return own or self.clients

    def longest_deadline(self) -> float:
        """ms"""
        return max((stream.deadline_ms for stream in self.stream), default=1200.0)


def rate_segments(stream: Stream, lasts: float) -> list[Piece]:
    """The stream's rate over the run. Raises `ScenarioError`."""
    made: list[Piece] = []
    at = 0.0
    for number, shape in enumerate(stream.shape):
        left = lasts - at
        if left <= 1e-9:
            break
        length = min(shape.for_s or left, left)
        end = at + length
        match shape:
            case Steady():
                made += shapes.steady(at, end, shape.rate)
            case Ramp():
                # cut at the run's end, a ramp keeps its slope
                share = length / (shape.for_s or length)
                made += shapes.ramp(at, end, shape.rate, shape.rate + (shape.to - shape.rate) * share)
            case Steps():
                made += shapes.steps(at, end, shape.rates)
            case Wave():
                made += shapes.wave(at, end, shape.rate, shape.swing, shape.period_s)
            case Bursts():
                made += shapes.bursts(at, end, shape.rate, shape.peak, shape.every_s, shape.burst_s)
            case Spike():
                if not shape.spike_s / 2 <= shape.at_s <= length - shape.spike_s / 2:
                    raise ScenarioError(
                        f"stream {stream.name}, shape {number}: the spike lies outside of its {length:g} s"
                    )
                made += shapes.spike(at, end, shape.rate, shape.peak, shape.at_s, shape.spike_s)
        at = end
    return made


def parse(text: str, where: str, changes: Sequence[str] = ()) -> Scenario:
    """`changes` are `a.b=value` that stand in for the file's own. Raises `ScenarioError`."""
    try:
        raw = tomllib.loads(text)
        for change in changes:
            set_value(raw, change)
        scenario = msgspec.convert(raw, Scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{where}: not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{where}: {error}") from None
    try:
        check(scenario)
    except ScenarioError as error:
        raise ScenarioError(f"{where}: {error}") from None
    return scenario


def set_value(raw: dict[str, Any], change: str) -> None:
    path, found, value = change.partition("=")
    if not found:
        raise ScenarioError(f"{change!r} is not NAME=VALUE")
    try:
        given = tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        given = value
    place: Any = raw
    *parents, last = path.strip().split(".")
    for name in parents:
        if isinstance(place, list):
            if not name.isdecimal() or int(name) >= len(place):
                raise ScenarioError(f"{change!r}: there is no {name!r} here")
            place = place[int(name)]
        else:
            place = place.setdefault(name, {})
    if not isinstance(place, dict):
        raise ScenarioError(f"{change!r}: {last!r} is not in a table")
    place[last] = given


def read(name: str | Path, changes: Sequence[str] = ()) -> Scenario:
    """A file's, or one that ships, by its name. Raises `ScenarioError`."""
    path = Path(name)
    if path.suffix != ".toml" and len(path.parts) == 1:
        shipped = SHIPPED / f"{name}.toml"
        if not shipped.is_file():
            raise ScenarioError(
                f"no scenario {name!r} ships; there are {', '.join(shipped_scenarios())}, or name a .toml file"
            )
        return parse(shipped.read_text(), str(name), changes)
    try:
        if path.stat().st_size > LONGEST_FILE:
            raise ScenarioError(f"{path}: longer than {LONGEST_FILE} bytes")
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    return parse(text, str(path), changes)


def shipped_scenarios() -> list[str]:
    return sorted(entry.name.removesuffix(".toml") for entry in SHIPPED.iterdir() if entry.name.endswith(".toml"))


def check_ranges(where: str, **values: tuple[float, float, float]) -> None:
    for name, (value, least, most) in values.items():
        if not least <= value <= most:
            raise ScenarioError(f"{where}: {name} is {value:g}, it must lie between {least:g} and {most:g}")


def check(scenario: Scenario) -> None:
    """Raises `ScenarioError`."""
    if bool(scenario.stream) == (scenario.replay is not None):
        raise ScenarioError("it needs streams or a replay, and not both")
    check_ranges("the run", workers=(scenario.workers, 1, 64), seed=(scenario.seed, 0, 2**63))
    if scenario.stream:
        check_ranges("the run", for_s=(scenario.for_s, 0.1, LONGEST_S))
    names = [stream.name for stream in scenario.stream]
    if len(set(names)) != len(names):
        raise ScenarioError("two streams have the same name")
    for stream in scenario.stream:
        _check_stream(stream, scenario.for_s)
    _check_clients("clients", scenario.clients)
    replay = scenario.replay
    if replay is not None:
        check_ranges(
            "replay",
            speed=(replay.speed, 0.001, 10_000),
            loops=(replay.loops, 1, 1_000_000),
            from_s=(replay.from_s, 0, 1e9),
            to_s=(replay.to_s, 0, 1e9),
        )
        if replay.to_s and replay.to_s <= replay.from_s:
            raise ScenarioError("replay: to_s is not after from_s")
        if replay.on_error not in ("stop", "skip") and not replay.on_error.startswith("map:"):
            raise ScenarioError(f"replay: on_error is {replay.on_error!r}, it must be stop, skip or map:PLAN")
    for target in scenario.targets.addresses:
        try:
            _, port = address(target)
        except ValueError as error:
            raise ScenarioError(f"targets: {error}") from None
        if not port:
            raise ScenarioError(f"targets: {target!r} has no port")
    truth = scenario.truth
    check_ranges(
        "truth",
        late_p99_ms=(truth.late_p99_ms, 0.1, 60_000),
        late_most_ms=(truth.late_most_ms, 0.1, 60_000),
        connect_ms=(truth.connect_ms, 1, 60_000),
    )
    check_ranges("targets", silent_s=(scenario.targets.silent_s, 0.1, 60), ping_s=(scenario.targets.ping_s, 0.05, 60))
    check_ranges("group", limiters=(scenario.group.limiters, 1, 40), boxes=(scenario.group.boxes, 1, 200))
    for number, trouble in enumerate(scenario.trouble):
        check_ranges(
            f"trouble {number}",
            at_s=(trouble.at_s, 0, LONGEST_S),
            for_s=(trouble.for_s, 0, LONGEST_S),
            by_ms=(trouble.by_ms, 0, 60_000),
        )
    from elderlock.load.thresholds import ThresholdError, parse_threshold

    for text in scenario.fail_if:
        try:
            parse_threshold(text)
        except ThresholdError as error:
            raise ScenarioError(f"fail_if: {error}") from None


def _check_stream(stream: Stream, lasts: float) -> None:
    where = f"stream {stream.name}"
    if not stream.shape:
        raise ScenarioError(f"{where}: it has no shape")
    for name in (stream.name, stream.plan, stream.class_name):
        if not name or not name.isascii() or any(c in name for c in ",= \t\r\n"):
            raise ScenarioError(f"{where}: {name!r} is no name")
    if not stream.units:
        raise ScenarioError(f"{where}: it has no units")
    for units in stream.units:
        check_ranges(where, units=(units, 1e-6, 1e6))
    check_ranges(where, deadline_ms=(stream.deadline_ms, 1, 600_000), spread=(stream.spread, 0, 1000))
    for number, shape in enumerate(stream.shape):
        place = f"{where}, shape {number}"
        given = msgspec.structs.asdict(shape)
        for key in ("rate", "to", "peak"):
            if key in given:
                check_ranges(place, **{key: (given[key], 0, MOST_RATE)})
        for rate in given.get("rates", ()):
            check_ranges(place, rate=(rate, 0, MOST_RATE))
        if given.get("rates") == ():
            raise ScenarioError(f"{place}: it has no rates")
        check_ranges(place, for_s=(shape.for_s, 0, LONGEST_S))
        if isinstance(shape, Wave):
            check_ranges(place, swing=(shape.swing, 0, 1), period_s=(shape.period_s, 0.01, LONGEST_S))
        if isinstance(shape, Bursts):
            check_ranges(place, every_s=(shape.every_s, 0.01, LONGEST_S), burst_s=(shape.burst_s, 0.001, shape.every_s))
        if isinstance(shape, Spike):
            check_ranges(place, spike_s=(shape.spike_s, 0.001, LONGEST_S))
    rate_segments(stream, lasts)
    accounts = stream.accounts
    check_ranges(
        f"{where}, accounts",
        count=(accounts.count, 1, MAXIMUM_ACCOUNTS),
        skew=(accounts.skew, 0, 5),
        heavy=(accounts.heavy, 0, 1),
        spiky=(accounts.spiky, 0, 1 - accounts.heavy),
        heavy_times=(accounts.heavy_times, 1, 1000),
        spike_times=(accounts.spike_times, 1, 1000),
        spike_every_s=(accounts.spike_every_s, 0.01, LONGEST_S),
        spike_s=(accounts.spike_s, 0, accounts.spike_every_s),
        move_every_s=(accounts.move_every_s, 0, LONGEST_S),
    )
    if stream.clients is not None:
        _check_clients(f"{where}, clients", stream.clients)


def _check_clients(where: str, clients: Clients) -> None:
    check_ranges(
        where,
        retries=(clients.retries, 0, 20),
        try_share=(clients.try_share, 0.01, 1),
        backoff_ms=(clients.backoff_ms, 0, 60_000),
        honour=(clients.honour, 0, 1),
        most_wait_ms=(clients.most_wait_ms, 0, 600_000),
        impatient=(clients.impatient, 0, 1),
        slow=(clients.slow, 0, 1),
        slow_ms=(clients.slow_ms, 0, 60_000),
        most_connections=(clients.most_connections, 1, 100_000),
    )
