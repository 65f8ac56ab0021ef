"""Scenario files of the load generator: the traffic, the behaviour of its clients and the faults to inject.

A scenario is read from TOML and checked completely before anything starts. Every error names the place in the file.
Times are in seconds unless a name ends in `_ms`.
"""

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
from elderlock.load.shapes import RateSegment

MAXIMUM_DURATION_S = 86_400.0
MAXIMUM_RATE = 1e6  # requests per second
MAXIMUM_ACCOUNTS = 1_000_000
MAXIMUM_FILE_BYTES = 1 << 20
SHIPPED = resources.files("elderlock.load") / "scenarios"


class ScenarioError(Exception):
    """The scenario cannot be used; the text says where and why."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base class of the parts of scenario files: unknown fields are errors."""


class Steady(StrictStruct, frozen=True, tag="steady", tag_field="kind"):
    """A constant rate.

    Attributes:
        rate: Requests per second.
        for_s: Duration; 0 means the rest of the run. The same holds for the other shapes.
    """

    rate: float
    for_s: float = 0.0


class Ramp(StrictStruct, frozen=True, tag="ramp", tag_field="kind"):
    """A rate that changes linearly from `rate` to `to`."""

    rate: float
    to: float
    for_s: float = 0.0


class Steps(StrictStruct, frozen=True, tag="steps", tag_field="kind"):
    """Constant rates of equal duration, one after another."""

    rates: tuple[float, ...]
    for_s: float = 0.0


class Wave(StrictStruct, frozen=True, tag="wave", tag_field="kind"):
    """A sine wave around `rate`.

    Attributes:
        rate: Mean rate in requests per second.
        swing: Amplitude as a share of the rate, at most 1.
        period_s: Duration of one period.
        for_s: Duration of the shape.
    """

    rate: float
    swing: float
    period_s: float
    for_s: float = 0.0


class Bursts(StrictStruct, frozen=True, tag="bursts", tag_field="kind"):
    """Periodic bursts: `rate`, with `peak` during the last `burst_s` of every `every_s`."""

    rate: float
    peak: float
    every_s: float
    burst_s: float
    for_s: float = 0.0


class Spike(StrictStruct, frozen=True, tag="spike", tag_field="kind"):
    """A single triangular spike.

    Attributes:
        rate: Rate outside of the spike.
        peak: Rate at the top of the spike.
        at_s: Time of the top, from the start of this shape.
        spike_s: Duration of the spike.
        for_s: Duration of the shape.
    """

    rate: float
    peak: float
    at_s: float
    spike_s: float
    for_s: float = 0.0


Shape = Steady | Ramp | Steps | Wave | Bursts | Spike


class Clients(StrictStruct, frozen=True):
    """The behaviour of the clients.

    Attributes:
        connections: `keep` reuses connections, `each` opens a new one for each request.
        most_connections: Maximum connections of one worker to one target.
        retries: Maximum retries of a request.
        try_share: Share of the deadline after which an attempt times out.
        backoff: Backoff between retries: none, a fixed time, or one that doubles with each attempt.
        backoff_ms: First backoff.
        jitter: Full jitter: the wait is drawn uniformly between zero and the backoff.
        honour: Share of the requests whose client waits for the time that a refusal advises before it retries.
        most_wait_ms: Longest advised wait that such a client accepts.
        marks_retries: Retries carry a field that marks them as such.
        impatient: Share of the requests whose client disconnects at a random time before the deadline.
        slow: Share of the requests whose client sends its command in two halves.
        slow_ms: Pause between the two halves.
    """

    connections: Literal["keep", "each"] = "keep"
    most_connections: int = 2000
    retries: int = 0
    try_share: float = 1.0
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: float = 50.0
    jitter: bool = True
    honour: float = 1.0
    most_wait_ms: float = 1000.0
    marks_retries: bool = True
    impatient: float = 0.0
    slow: float = 0.0
    slow_ms: float = 500.0


class Stream(StrictStruct, frozen=True):
    """One stream of requests.

    Attributes:
        name: Name of the stream, unique in the scenario.
        plan: Plan of its accounts.
        class_name: Service class of its requests.
        arrivals: Random (Poisson) or evenly spaced arrivals.
        units: Costs of a request, drawn uniformly from these.
        deadline_ms: Deadline of each request from its intended start.
        spread: Number of limiters that serve the requests of one account; 0 means all, but three at most.
        shape: Rate over time, as shapes one after another.
        accounts: Accounts that send the requests.
        clients: Client behaviour, if it differs from the scenario's.
    """

    name: str
    plan: str
    class_name: str = msgspec.field(name="class", default="lookup")
    arrivals: Literal["poisson", "even"] = "poisson"
    units: tuple[float, ...] = (1.0,)
    deadline_ms: float = 1200.0
    spread: int = 0
    shape: tuple[Shape, ...] = ()
    accounts: AccountMix = AccountMix()
    clients: Clients | None = None


class Replay(StrictStruct, frozen=True):
    """A recorded trace that is replayed in place of streams.

    Attributes:
        path: Path of the trace.
        speed: Speed factor: 2 is twice as fast as recorded.
        loops: How often the trace is played.
        from_s: Start of the part to play, in the trace's own time.
        to_s: End of that part; 0 means the end of the trace.
        rename_key: File whose bytes are the key that renames the accounts; empty to keep their names.
        on_error: Reaction to a faulty line: `stop`, `skip`, or `map:PLAN`, which replaces unknown plans by PLAN.
        plans: Plans that the trace may name; empty allows any.
    """

    path: str
    speed: float = 1.0
    loops: int = 1
    from_s: float = 0.0
    to_s: float = 0.0
    rename_key: str = ""
    on_error: str = "stop"
    plans: tuple[str, ...] = ()


class Fault(StrictStruct, frozen=True):
    """A fault to inject into the fakes that `elderlock load up` starts.

    Attributes:
        at_s: Start of the fault, from the start of the run.
        what: Kind of the fault.
        target: `counter`, `discovery`, `peers`, a server's uid, `*` for all servers, or a limiter's name.
        for_s: Duration of the fault.
        by_ms: Added delay, for `slow`.
    """

    at_s: float
    what: Literal["slow", "silent", "refusing", "reset", "restart", "empty", "drain", "remove", "kill"]
    target: str
    for_s: float = 0.0
    by_ms: float = 200.0


class LatenessLimits(StrictStruct, frozen=True):
    """The limits beyond which the generator counts as having fallen behind its schedule.

    Attributes:
        late_p99_ms: Limit for the p99 lateness of the sends of one second.
        late_most_ms: Limit for the lateness of any send.
        connect_ms: Limit for the time to open a connection; a longer one indicates a backlog.
        verify: Each answer must contain the id of its request. Only for targets that echo it.
    """

    late_p99_ms: float = 20.0
    late_most_ms: float = 100.0
    connect_ms: float = 500.0
    verify: bool = False


class Targets(StrictStruct, frozen=True):
    """The limiters that receive the requests.

    Attributes:
        kind: Protocol of the requests.
        addresses: Addresses as HOST:PORT, in the order of the limiters' numbers.
        silent_s: Time without an answer to PING after which a target receives no more requests.
        ping_s: Interval between health checks.
    """

    kind: Literal["resp", "grpc"] = "resp"
    addresses: tuple[str, ...] = ()
    silent_s: float = 2.0
    ping_s: float = 0.3


class Group(StrictStruct, frozen=True):
    """The size of the group that `elderlock load up` starts.

    Attributes:
        limiters: Number of limiters.
        boxes: Number of servers.
    """

    limiters: int = 3
    boxes: int = 9


class Scenario(StrictStruct, frozen=True):
    """A load scenario: either streams or a replay, and how to run them.

    Attributes:
        name: Name of the scenario.
        for_s: Duration of the run.
        seed: Seed of the schedule.
        workers: Number of local worker processes.
        about: One-line description.
        stream: Streams of requests.
        replay: Trace to replay in place of streams.
        clients: Client behaviour of the streams that do not define their own.
        targets: Limiters that receive the requests.
        truth: Limits for the generator's own lateness.
        group: Size of the group that `elderlock load up` starts.
        trouble: Faults to inject.
        fail_if: Thresholds that fail the run.
        record: Path to write a trace of this run to; empty for none.
    """

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
    record: str = ""

    def clients_of(self, stream: int) -> Clients:
        """Return the client behaviour of the stream with this number."""
        stream_clients = self.stream[stream].clients if stream < len(self.stream) else None
        return stream_clients or self.clients

    def longest_deadline(self) -> float:
        """Return the longest deadline of the streams in ms; 1200 without streams."""
        return max((stream.deadline_ms for stream in self.stream), default=1200.0)


def rate_segments(stream: Stream, duration_s: float) -> list[RateSegment]:
    """Return the stream's rate over the run as linear segments.

    Raises:
        ScenarioError: A spike does not lie within its shape.
    """
    segments: list[RateSegment] = []
    start = 0.0
    for number, shape in enumerate(stream.shape):
        remaining = duration_s - start
        if remaining <= 1e-9:
            break
        length = min(shape.for_s or remaining, remaining)
        end = start + length
        match shape:
            case Steady():
                segments += shapes.steady(start, end, shape.rate)
            case Ramp():
                # A ramp that the end of the run cuts off keeps its slope.
                share = length / (shape.for_s or length)
                segments += shapes.ramp(start, end, shape.rate, shape.rate + (shape.to - shape.rate) * share)
            case Steps():
                segments += shapes.steps(start, end, shape.rates)
            case Wave():
                segments += shapes.wave(start, end, shape.rate, shape.swing, shape.period_s)
            case Bursts():
                segments += shapes.bursts(start, end, shape.rate, shape.peak, shape.every_s, shape.burst_s)
            case Spike():
                if not shape.spike_s / 2 <= shape.at_s <= length - shape.spike_s / 2:
                    raise ScenarioError(
                        f"stream {stream.name}, shape {number}: the spike is not within the shape's {length:g} s"
                    )
                segments += shapes.spike(start, end, shape.rate, shape.peak, shape.at_s, shape.spike_s)
        start = end
    return segments


def parse(text: str, where: str, changes: Sequence[str] = ()) -> Scenario:
    """Parse and check a scenario.

    Args:
        text: The TOML text.
        where: Name of the file, for errors.
        changes: Settings as `a.b=value` that override those of the text.

    Raises:
        ScenarioError: The scenario cannot be used.
    """
    try:
        raw = tomllib.loads(text)
        for change in changes:
            set_value(raw, change)
        scenario = msgspec.convert(raw, Scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{where}: not valid TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{where}: {error}") from None
    try:
        check(scenario)
    except ScenarioError as error:
        raise ScenarioError(f"{where}: {error}") from None
    return scenario


def set_value(raw: dict[str, Any], change: str) -> None:
    """Apply a change `a.b=value` to a decoded TOML document; a number in the path is an index into an array.

    Raises:
        ScenarioError: The change is malformed or its path does not exist.
    """
    path, separator, text = change.partition("=")
    if not separator:
        raise ScenarioError(f"{change!r} is not NAME=VALUE")
    try:
        value = tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        value = text
    node: Any = raw
    *parents, last = path.strip().split(".")
    for name in parents:
        if isinstance(node, list):
            if not name.isdecimal() or int(name) >= len(node):
                raise ScenarioError(f"{change!r}: the array has {len(node)} elements and no index {name!r}")
            node = node[int(name)]
        else:
            node = node.setdefault(name, {})
    if not isinstance(node, dict):
        raise ScenarioError(f"{change!r}: the parent of {last!r} is not a table")
    node[last] = value


def read(name: str | Path, changes: Sequence[str] = ()) -> Scenario:
    """Read a scenario from a `.toml` file, or one of the shipped scenarios by its name.

    Raises:
        ScenarioError: The scenario does not exist or cannot be used.
    """
    path = Path(name)
    if path.suffix != ".toml" and len(path.parts) == 1:
        shipped = SHIPPED / f"{name}.toml"
        if not shipped.is_file():
            raise ScenarioError(
                f"there is no shipped scenario {name!r}; use one of {', '.join(shipped_scenarios())}, or a .toml file"
            )
        return parse(shipped.read_text(), str(name), changes)
    try:
        if path.stat().st_size > MAXIMUM_FILE_BYTES:
            raise ScenarioError(f"{path}: the file is larger than {MAXIMUM_FILE_BYTES} bytes")
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    return parse(text, str(path), changes)


def shipped_scenarios() -> list[str]:
    """Return the names of the shipped scenarios."""
    return sorted(entry.name.removesuffix(".toml") for entry in SHIPPED.iterdir() if entry.name.endswith(".toml"))


def check_ranges(where: str, **values: tuple[float, float, float]) -> None:
    """Check each value against its range, given as (value, minimum, maximum).

    Raises:
        ScenarioError: A value is out of its range.
    """
    for name, (value, minimum, maximum) in values.items():
        if not minimum <= value <= maximum:
            raise ScenarioError(f"{where}: {name} is {value:g}, it must be between {minimum:g} and {maximum:g}")


def check(scenario: Scenario) -> None:
    """Check a decoded scenario.

    Raises:
        ScenarioError: A value is out of its range, or the parts do not fit together.
    """
    if bool(scenario.stream) == (scenario.replay is not None):
        raise ScenarioError("the scenario must have either streams or a replay, and not both")
    check_ranges("the run", workers=(scenario.workers, 1, 64), seed=(scenario.seed, 0, 2**63))
    if scenario.stream:
        check_ranges("the run", for_s=(scenario.for_s, 0.1, MAXIMUM_DURATION_S))
    names = [stream.name for stream in scenario.stream]
    if len(set(names)) != len(names):
        raise ScenarioError(f"two streams have the same name; the names are {', '.join(names)}")
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
            raise ScenarioError(f"replay: to_s is {replay.to_s:g}, it must be greater than from_s {replay.from_s:g}")
        if replay.on_error not in ("stop", "skip") and not replay.on_error.startswith("map:"):
            raise ScenarioError(f"replay: on_error is {replay.on_error!r}, it must be stop, skip or map:PLAN")
    for target in scenario.targets.addresses:
        try:
            _, port = address(target)
        except ValueError as error:
            raise ScenarioError(f"targets: {error}") from None
        if not port:
            raise ScenarioError(f"targets: {target!r} needs a port other than 0")
    limits = scenario.truth
    check_ranges(
        "truth",
        late_p99_ms=(limits.late_p99_ms, 0.1, 60_000),
        late_most_ms=(limits.late_most_ms, 0.1, 60_000),
        connect_ms=(limits.connect_ms, 1, 60_000),
    )
    check_ranges("targets", silent_s=(scenario.targets.silent_s, 0.1, 60), ping_s=(scenario.targets.ping_s, 0.05, 60))
    check_ranges("group", limiters=(scenario.group.limiters, 1, 40), boxes=(scenario.group.boxes, 1, 200))
    for number, fault in enumerate(scenario.trouble):
        check_ranges(
            f"trouble {number}",
            at_s=(fault.at_s, 0, MAXIMUM_DURATION_S),
            for_s=(fault.for_s, 0, MAXIMUM_DURATION_S),
            by_ms=(fault.by_ms, 0, 60_000),
        )
    from elderlock.load.thresholds import ThresholdError, parse_threshold

    for text in scenario.fail_if:
        try:
            parse_threshold(text)
        except ThresholdError as error:
            raise ScenarioError(f"fail_if: {error}") from None


def _check_stream(stream: Stream, duration_s: float) -> None:
    where = f"stream {stream.name}"
    if not stream.shape:
        raise ScenarioError(f"{where}: shape is empty, it must have at least one element")
    for name in (stream.name, stream.plan, stream.class_name):
        if not name or not name.isascii() or any(c in name for c in ",= \t\r\n"):
            raise ScenarioError(f"{where}: {name!r} is not a valid name: it must be ASCII without comma, = or space")
    if not stream.units:
        raise ScenarioError(f"{where}: units is empty, it must have at least one value")
    for units in stream.units:
        check_ranges(where, units=(units, 1e-6, 1e6))
    check_ranges(where, deadline_ms=(stream.deadline_ms, 1, 600_000), spread=(stream.spread, 0, 1000))
    for number, shape in enumerate(stream.shape):
        place = f"{where}, shape {number}"
        fields = msgspec.structs.asdict(shape)
        for key in ("rate", "to", "peak"):
            if key in fields:
                check_ranges(place, **{key: (fields[key], 0, MAXIMUM_RATE)})
        for rate in fields.get("rates", ()):
            check_ranges(place, rate=(rate, 0, MAXIMUM_RATE))
        if fields.get("rates") == ():
            raise ScenarioError(f"{place}: rates is empty, it must have at least one value")
        check_ranges(place, for_s=(shape.for_s, 0, MAXIMUM_DURATION_S))
        if isinstance(shape, Wave):
            check_ranges(place, swing=(shape.swing, 0, 1), period_s=(shape.period_s, 0.01, MAXIMUM_DURATION_S))
        if isinstance(shape, Bursts):
            check_ranges(
                place, every_s=(shape.every_s, 0.01, MAXIMUM_DURATION_S), burst_s=(shape.burst_s, 0.001, shape.every_s)
            )
        if isinstance(shape, Spike):
            check_ranges(place, spike_s=(shape.spike_s, 0.001, MAXIMUM_DURATION_S))
    rate_segments(stream, duration_s)
    accounts = stream.accounts
    check_ranges(
        f"{where}, accounts",
        count=(accounts.count, 1, MAXIMUM_ACCOUNTS),
        skew=(accounts.skew, 0, 5),
        heavy=(accounts.heavy, 0, 1),
        spiky=(accounts.spiky, 0, 1 - accounts.heavy),
        heavy_times=(accounts.heavy_times, 1, 1000),
        spike_times=(accounts.spike_times, 1, 1000),
        spike_every_s=(accounts.spike_every_s, 0.01, MAXIMUM_DURATION_S),
        spike_s=(accounts.spike_s, 0, accounts.spike_every_s),
        move_every_s=(accounts.move_every_s, 0, MAXIMUM_DURATION_S),
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
