"""The messages between the coordinator and its workers, as MessagePack frames.

Times are µs of CLOCK_MONOTONIC, which all processes of a machine share. For a worker on another machine, the
coordinator converts them by the offset that `ReadClock` measures.
"""

from __future__ import annotations

import msgspec

from elderlock.load.lateness import ResourceUsage
from elderlock.load.scenario import Scenario

VERSION = 1
MAXIMUM_MESSAGE_BYTES = 64 << 20


class Message(msgspec.Struct, tag_field="type"):
    """Base class of the messages."""


class Job(Message, tag="job"):
    """What a worker has to do.

    Attributes:
        version: Protocol version of the coordinator.
        scenario: Scenario to run.
        worker: Number of this worker, from 0.
        workers: Number of workers that share the schedule.
        key: Key that renames a replay's accounts.
        trace_to: Path to write this worker's part of a trace to; empty for none.
    """

    version: int
    scenario: Scenario
    worker: int
    workers: int
    key: bytes = b""
    trace_to: str = ""


class ReadClock(Message, tag="clock"):
    """Asks the worker for its clock; `number` identifies the exchange."""

    number: int


class Start(Message, tag="start"):
    """Starts the schedule at `at`, in µs of the worker's clock."""

    at: int


class Stop(Message, tag="stop"):
    """Ends the sending of new requests; open requests are completed, or ended at once if `now` is set."""

    now: bool = False


class Ready(Message, tag="ready"):
    """The worker has accepted its job and waits for `Start`."""

    version: int
    pid: int


class ClockReading(Message, tag="told"):
    """The worker's clock in µs, in answer to the `ReadClock` with the same number."""

    number: int
    now: int


class Failed(Message, tag="failed"):
    """The worker cannot start or continue; `text` is the error message."""

    text: str


class Sample(msgspec.Struct, array_like=True):
    """The requests of one interval that have the same outcome, plan, account group and target.

    Attributes:
        outcome: Outcome of the requests.
        plan: Plan of their accounts.
        group: Group of their accounts: calm, heavy or spiky.
        target: Number of the target.
        latency: µs from the intended start, as unsigned 32-bit numbers in native byte order.
        service: µs from the actual start of the last attempt, in the same encoding.
    """

    outcome: str
    plan: str
    group: str
    target: int
    latency: bytes
    service: bytes


class Interval(Message, tag="interval"):
    """The measurements of one worker for one interval, normally one second.

    Attributes:
        worker: Number of the worker.
        number: Number of the interval's second in the run.
        start: Start of the interval in s of the run.
        end: End of the interval in s of the run.
        counts: Events of this interval alone, by name.
        samples: Latencies of the requests that ended.
        late: µs of lateness of each send, as unsigned 32-bit numbers in native byte order.
        facts: Resource usage of the worker.
        open: Requests in flight at the end of the interval.
        open_sent: The number of those that were sent.
        rss_kb: Resident memory at the end of the interval in KiB.
        faults: Faulty trace lines since the start, by reason.
        shown: Error messages to report, by reason.
        changes: Targets that became available or unavailable, as (s of the run, target, available).
        last: This is the worker's last interval.
    """

    worker: int
    number: int
    start: float
    end: float
    counts: dict[str, int]
    samples: list[Sample]
    late: bytes
    facts: ResourceUsage
    open: int
    open_sent: int
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
    """Encode a message of either direction."""
    return _encoder.encode(message)


def decode_to_worker(body: bytes) -> ToWorker:
    """Decode a message from the coordinator.

    Raises:
        msgspec.DecodeError: The bytes are not such a message.
    """
    return _to_worker.decode(body)


def decode_from_worker(body: bytes) -> FromWorker:
    """Decode a message from a worker.

    Raises:
        msgspec.DecodeError: The bytes are not such a message.
    """
    return _from_worker.decode(body)
