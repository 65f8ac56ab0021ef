"""What a coordinator and its workers say, as frames of MessagePack. Times are µs of CLOCK_MONOTONIC, which is one
clock for all processes of a machine; a worker elsewhere is told its own, by the offset that `ReadClock` finds."""

from __future__ import annotations

import msgspec

from elderlock.load.lateness import ResourceUsage
from elderlock.load.scenario import Scenario

VERSION = 1
LONGEST = 64 << 20  # bytes


class Message(msgspec.Struct, tag_field="type"):
    pass


class Job(Message, tag="job"):
    """`key` renames a replay's accounts. `trace_to` is where this worker writes its part of a trace."""

    version: int
    scenario: Scenario
    worker: int
    workers: int
    key: bytes = b""
    trace_to: str = ""


class ReadClock(Message, tag="clock"):
    number: int


class Start(Message, tag="start"):
    at: int


class Stop(Message, tag="stop"):
    """Offer nothing more. What is open gets its time, or none of it."""

    now: bool = False


class Ready(Message, tag="ready"):
    version: int
    pid: int


class ClockReading(Message, tag="told"):
    """The worker's clock, in answer to `ReadClock`."""

    number: int
    now: int


class Failed(Message, tag="failed"):
    """It cannot begin, or not go on: the text is for people."""

    text: str


class Sample(msgspec.Struct, array_like=True):
    """Requests that ended alike: µs from the intended start, and from the real start of the last try, each as
    unsigned 32-bit numbers in the machine's order."""

    outcome: str
    plan: str
    group: str
    target: int
    latency: bytes
    service: bytes


class Interval(Message, tag="interval"):
    """One second of one worker. Counts are of this second alone; `open` and `rss_kb` as they stood at its end;
    `late` holds µs of lateness, one a send. `last` is the worker's final word."""

    worker: int
    number: int
    start: float  # s of the run
    end: float
    counts: dict[str, int]
    samples: list[Sample]
    late: bytes
    facts: ResourceUsage
    open: int
    open_sent: int  # of them those that were sent
    rss_kb: int
    faults: dict[str, int]
    shown: dict[str, str]
    changes: list[tuple[float, int, bool]]
    last: bool = False


ToWorker = Job | ReadClock | Start | Stop
FromWorker = Ready | ClockReading | Failed | Interval

_encoder = msgspec.msgpack.Encoder()
_to_worker: msgspec.msgpack.Decoder[ToWorker] = msgspec.msgpack.Decoder(ToWorker)
_from_worker: msgspec.msgpack.Decoder[FromWorker] = msgspec.msgpack.Decoder(FromWorker)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def to_worker(body: bytes) -> ToWorker:
    return _to_worker.decode(body)


def from_worker(body: bytes) -> FromWorker:
    return _from_worker.decode(body)
