"""An agent's connection to one limiter: claims it, brings it the records, asks how it is."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from pathlib import Path
from typing import Literal, Protocol

from elderlock.control import messages as m
from elderlock.control.records import Records
from elderlock.control.request_client import NoAnswerError, NotSentError, RequestClient
from elderlock.fleet.drain_intents import RecordProgress

POLL = 2.0  # s between looks, which also renew the claim (5 s long)
CONNECT_WITHIN = HELLO_WITHIN = 1.0  # s
ANSWER_WITHIN = 1.0  # s: then it counts as silent; what comes later still counts
DROP_AFTER = 10.0  # s of silence after which the connection is made anew
FIRST_RETRY, MOST_RETRY = 0.05, 0.5  # s between tries to connect: a limiter that starts is met at once
CLAIM_AGAIN = 2.0  # s between tries to claim one that another agent holds

LinkStatus = Literal["answering", "silent", "down", "claimed"]


class Owner(Protocol):
    """The agent, as a link needs it."""

    name: str
    records: Records

    def epoch(self) -> int: ...
    def outbid(self, epoch: int) -> bool: ...


class LimiterLink:
    """`welcomed` hears of each greeting with whether this is another process than before; `told` of all
    that the limiter says of itself."""

    def __init__(
        self,
        path: Path,
        owner: Owner,
        welcomed: Callable[[m.Welcome, bool], None],
        told: Callable[[m.LimiterState | m.RecordsApplied], None],
    ) -> None:
        self._path, self._owner, self._welcomed, self._told = path, owner, welcomed, told
        self.record_progress = RecordProgress()
        self.status: LinkStatus = "down"
        self.status_reason = "not connected yet"
        self.state: m.LimiterState | None = None
        self.state_at_s = 0.0  # by the monotonic clock, s
        self._process: tuple[int, float] | None = None
        self._caller: RequestClient[m.FromLimiter] | None = None
        self._owns = self._has_bid = False
        self._wake = asyncio.Event()
        self.is_listening = False  # something took our last connection: whatever it says, a process is there
        self.attempted = asyncio.Event()  # it is known whether anything answers on the socket
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._caller is not None:
            self._caller.close()

    def ended(self) -> None:
        """Its process is gone: what its socket said last is of no one any more."""
        self.is_listening = False
        if self.status != "claimed":
            self.status, self.status_reason = "down", "its process has ended"
        self.record_progress.reset()

    def wake(self) -> None:
        """There is something new to bring."""
        self._wake.set()

    async def _run(self) -> None:
        retry = FIRST_RETRY
        while True:
            self._wake.clear()
            pause = retry
            retry = min(2 * retry, MOST_RETRY)
            try:
                async with asyncio.timeout(CONNECT_WITHIN):
                    caller: RequestClient[m.FromLimiter] = RequestClient(
                        m.decode_answer, m.MAXIMUM_MESSAGE_BYTES, self._heard
                    )
                    self._caller = await caller.connect_unix(self._path)
                self.is_listening = True
                pause = await self._session(caller)
                retry = FIRST_RETRY
            except TimeoutError:
                self.is_listening = True
                self._down("silent", "does not take connections")
            except (FileNotFoundError, ConnectionRefusedError):
                self.is_listening = False
                self._down("down", "nothing listens on its control socket")
            except OSError as error:
                self._down("down", str(error))
            except NotSentError as error:
                self._down("down", str(error))
            except NoAnswerError as error:
                lost = self._caller is not None and self._caller.disconnected.is_set()
                self._down("down" if lost else "silent", str(error))
            if self._caller is not None:
                self._caller.close()
                self._caller = None
            self._owns = False
            self.attempted.set()
            await asyncio.sleep(pause)

    def _down(self, status: LinkStatus, why: str) -> None:
        self.status, self.status_reason = status, why

    async def _session(self, caller: RequestClient[m.FromLimiter]) -> float:
        """One connection's life; returns how long to wait before the next (s)."""
        hello = m.Hello((m.PROTOCOL_VERSION,), self._owner.name, self._owner.epoch())
        answer = await caller.request(hello, HELLO_WITHIN)
        if isinstance(answer, m.Refused) and answer.code == "claimed":
            mine = answer.owner == self._owner.name
            if mine and not self._has_bid and self._owner.outbid(answer.owner_epoch):
                # our own claim from before our epochs were lost; once only, so that two agents of one
                # name do not outbid one another for ever
                self._has_bid = True
                return 0.0
            return await self._look_on(answer)
        if isinstance(answer, m.Refused):
            self._down("silent", answer.text)
            return CLAIM_AGAIN
        if not isinstance(answer, m.Welcome):
            self._down("silent", "it answers hello with something else")
            return CLAIM_AGAIN
        self._has_bid = True
        self._greet(answer)
        self._owns = True
        while True:
            self._wake.clear()
            try:
                if not await self._attend(caller):
                    return 0.0
                self.attempted.set()
                self.status, self.status_reason = "answering", ""
            except NoAnswerError as error:
                if caller.disconnected.is_set():
                    raise
                self._down("silent", str(error))
                if time.monotonic() - self.state_at_s > DROP_AFTER:
                    raise
            try:
                async with asyncio.timeout(POLL):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _attend(self, caller: RequestClient[m.FromLimiter]) -> bool:
        """Brings it what it lacks, then asks how it is; False where it is ours no more."""
        if self.state is None or self.state.records_digest != self._owner.records.digest():
            answer = await self._apply(caller, ANSWER_WITHIN)
            if isinstance(answer, m.Refused):
                return False
        await caller.request(m.GetState(caller.next_request_id(), 0), ANSWER_WITHIN)
        return True

    async def _apply(self, caller: RequestClient[m.FromLimiter], within: float) -> m.FromLimiter:
        records = tuple(self._owner.records)
        message = m.ApplyRecords(caller.next_request_id(), records)
        self.record_progress.record_sent(records)
        return await caller.request(message, within)

    async def _look_on(self, refused: m.Refused) -> float:
        """Another agent holds it: what it shows is still shown, and the claim is tried again."""
        self._down("claimed", refused.text)
        caller: RequestClient[m.FromLimiter] = RequestClient(m.decode_answer, m.MAXIMUM_MESSAGE_BYTES, self._heard)
        async with asyncio.timeout(CONNECT_WITHIN):
            await caller.connect_unix(self._path)
        try:
            await caller.request(m.Hello((m.PROTOCOL_VERSION,), self._owner.name), HELLO_WITHIN)
            await caller.request(m.GetState(caller.next_request_id()), ANSWER_WITHIN)
        finally:
            caller.close()
        return CLAIM_AGAIN

    def _greet(self, welcome: m.Welcome) -> None:
        process = (welcome.pid, welcome.started_at)
        anew = process != self._process
        if anew:
            self.record_progress.reset()
            self.state = None
            self._process = process
        self.state_at_s = time.monotonic()
        self._welcomed(welcome, anew)

    def _heard(self, message: m.FromLimiter) -> None:
        if isinstance(message, m.LimiterState):
            self.state, self.state_at_s = message, time.monotonic()
        elif isinstance(message, m.RecordsApplied):
            self.state_at_s = time.monotonic()
            self.record_progress.record_applied(
                message.records, message.applied_at_unix_ms, message.drained_open_requests, message.open_requests
            )
        else:
            return
        self._told(message)

    # What the agent asks for besides

    async def push_records(self, within: float) -> None:
        """Brings the records now; how far they came stands in `record_progress`, also when this ends late."""
        if self._caller is None or not self._owns:
            return self.wake()
        try:
            await self._apply(self._caller, within)
        except (NotSentError, NoAnswerError):
            self.wake()

    async def refresh_state(self, within: float, accounts: int) -> None:
        """A fresh state, where it answers in time. One that does not is not silent for that: an asker's patience may be
        some milliseconds, and what others plan by must not hang on it; the next regular look says."""
        if self._caller is not None:
            with contextlib.suppress(NoAnswerError, NotSentError):
                await self._caller.request(m.GetState(self._caller.next_request_id(), accounts), within)

    async def stop(self, within: float) -> bool:
        """Whether the limiter took the word to stop."""
        if self._caller is None or not self._owns:
            return False
        try:
            answer = await self._caller.request(m.Stop(self._caller.next_request_id()), within)
        except (NotSentError, NoAnswerError):
            return False
        return isinstance(answer, m.Stopping)
