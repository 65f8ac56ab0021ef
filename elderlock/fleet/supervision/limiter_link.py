"""An agent's connection to one limiter: claims the limiter, sends it the drain records and polls its state."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from pathlib import Path
from typing import Literal, Protocol

from elderlock.control import messages
from elderlock.control.records import Records
from elderlock.control.request_client import NoAnswerError, NotSentError, RequestClient
from elderlock.fleet.drain_intents import RecordProgress

POLL_INTERVAL_S = 2.0  # a poll also renews the claim, which lasts 5 s
CONNECT_TIMEOUT_S = HELLO_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 1.0  # after which the limiter counts as silent; a later answer is still used
RECONNECT_AFTER_S = 10.0  # of silence on a connection that is still open
FIRST_RETRY_S, MAXIMUM_RETRY_S = 0.05, 0.5  # between attempts to connect; short, to reach a starting limiter at once
CLAIM_RETRY_S = 2.0  # between attempts to claim a limiter that another agent holds

LinkStatus = Literal["answering", "silent", "down", "claimed"]


class Owner(Protocol):
    """The interface of the agent that a link uses.

    Attributes:
        name: The name of the agent.
        records: The drain records that the agent holds.
    """

    name: str
    records: Records

    def epoch(self) -> int:
        """Return the epoch that the agent claims its limiters with."""

    def outbid(self, epoch: int) -> bool:
        """Raise the agent's epoch above that of an older claim; return False if that cannot be stored."""


class LimiterLink:
    """The connection to one limiter, which is made again whenever it ends.

    Attributes:
        record_progress: How far each record got at the limiter.
        status: Whether the limiter is `answering`, `silent` (does not answer), `down` (not reachable) or `claimed` by
            another agent.
        status_reason: Why it is not answering, for people.
        state: The last state that the limiter reported; None before the first one of its process.
        state_at_s: When the last message of the limiter arrived, by the monotonic clock.
        is_listening: Whether the last attempt to connect reached a listening socket. Then a process runs, whether or
            not it answers.
        attempted: Is set once it is known whether anything answers on the socket.
    """

    def __init__(
        self,
        path: Path,
        owner: Owner,
        on_welcome: Callable[[messages.Welcome, bool], None],
        on_report: Callable[[messages.LimiterState | messages.RecordsApplied], None],
    ) -> None:
        """Make a link that is not started.

        Args:
            path: The limiter's control socket.
            owner: The agent.
            on_welcome: Is called with each `Welcome` and whether it comes from another process than the one before.
            on_report: Is called with each state and each list of applied records that the limiter reports.
        """
        self._path, self._owner = path, owner
        self._on_welcome, self._on_report = on_welcome, on_report
        self.record_progress = RecordProgress()
        self.status: LinkStatus = "down"
        self.status_reason = "not connected yet"
        self.state: messages.LimiterState | None = None
        self.state_at_s = 0.0
        self._process: tuple[int, float] | None = None
        self._client: RequestClient[messages.FromLimiter] | None = None
        self._is_owner = self._has_outbid = False
        self._wake = asyncio.Event()
        self.is_listening = False
        self.attempted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to connect."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Close the connection for good."""
        if self._task is not None:
            self._task.cancel()
        if self._client is not None:
            self._client.close()

    def ended(self) -> None:
        """Take that the limiter's process has exited: its last state describes no running process any more."""
        self.is_listening = False
        if self.status != "claimed":
            self.status, self.status_reason = "down", "its process has ended"
        self.record_progress.reset()

    def wake(self) -> None:
        """Poll the limiter now, as there are new records to send."""
        self._wake.set()

    async def _run(self) -> None:
        retry_s = FIRST_RETRY_S
        while True:
            self._wake.clear()
            pause_s = retry_s
            retry_s = min(2 * retry_s, MAXIMUM_RETRY_S)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    client: RequestClient[messages.FromLimiter] = RequestClient(
                        messages.decode_answer, messages.MAXIMUM_MESSAGE_BYTES, self._receive
                    )
                    self._client = await client.connect_unix(self._path)
                self.is_listening = True
                pause_s = await self._session(client)
                retry_s = FIRST_RETRY_S
            except TimeoutError:
                self.is_listening = True
                self._set_status("silent", "does not take connections")
            except (FileNotFoundError, ConnectionRefusedError):
                self.is_listening = False
                self._set_status("down", "nothing listens on its control socket")
            except OSError as error:
                self._set_status("down", str(error))
            except NotSentError as error:
                self._set_status("down", str(error))
            except NoAnswerError as error:
                is_disconnected = self._client is not None and self._client.disconnected.is_set()
                self._set_status("down" if is_disconnected else "silent", str(error))
            if self._client is not None:
                self._client.close()
                self._client = None
            self._is_owner = False
            self.attempted.set()
            await asyncio.sleep(pause_s)

    def _set_status(self, status: LinkStatus, reason: str) -> None:
        self.status, self.status_reason = status, reason

    async def _session(self, client: RequestClient[messages.FromLimiter]) -> float:
        """Run one connection until it ends; return how long to wait before the next one (s)."""
        hello = messages.Hello((messages.PROTOCOL_VERSION,), self._owner.name, self._owner.epoch())
        answer = await client.request(hello, HELLO_TIMEOUT_S)
        if isinstance(answer, messages.Refused) and answer.code == "claimed":
            is_own_claim = answer.owner == self._owner.name
            if is_own_claim and not self._has_outbid and self._owner.outbid(answer.owner_epoch):
                # The claim is this agent's own, from before its epochs were lost. It is outbid only once, so that two
                # agents with the same name do not outbid each other forever.
                self._has_outbid = True
                return 0.0
            return await self._observe_claimed(answer)
        if isinstance(answer, messages.Refused):
            self._set_status("silent", answer.text)
            return CLAIM_RETRY_S
        if not isinstance(answer, messages.Welcome):
            self._set_status("silent", "it answers hello with something else")
            return CLAIM_RETRY_S
        self._has_outbid = True
        self._handle_welcome(answer)
        self._is_owner = True
        while True:
            self._wake.clear()
            try:
                if not await self._poll(client):
                    return 0.0
                self.attempted.set()
                self.status, self.status_reason = "answering", ""
            except NoAnswerError as error:
                if client.disconnected.is_set():
                    raise
                self._set_status("silent", str(error))
                if time.monotonic() - self.state_at_s > RECONNECT_AFTER_S:
                    raise
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _poll(self, client: RequestClient[messages.FromLimiter]) -> bool:
        """Send the records if the limiter's differ, then request its state; return False if the claim was lost."""
        if self.state is None or self.state.records_digest != self._owner.records.digest():
            answer = await self._apply_records(client, ANSWER_TIMEOUT_S)
            if isinstance(answer, messages.Refused):
                return False
        await client.request(messages.GetState(client.next_request_id(), 0), ANSWER_TIMEOUT_S)
        return True

    async def _apply_records(
        self, client: RequestClient[messages.FromLimiter], timeout_s: float
    ) -> messages.FromLimiter:
        records = tuple(self._owner.records)
        message = messages.ApplyRecords(client.next_request_id(), records)
        self.record_progress.record_sent(records)
        return await client.request(message, timeout_s)

    async def _observe_claimed(self, refused: messages.Refused) -> float:
        """Read the state of a limiter that another agent holds; return how long to wait before the next claim (s)."""
        self._set_status("claimed", refused.text)
        client: RequestClient[messages.FromLimiter] = RequestClient(
            messages.decode_answer, messages.MAXIMUM_MESSAGE_BYTES, self._receive
        )
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await client.connect_unix(self._path)
        try:
            await client.request(messages.Hello((messages.PROTOCOL_VERSION,), self._owner.name), HELLO_TIMEOUT_S)
            await client.request(messages.GetState(client.next_request_id()), ANSWER_TIMEOUT_S)
        finally:
            client.close()
        return CLAIM_RETRY_S

    def _handle_welcome(self, welcome: messages.Welcome) -> None:
        process = (welcome.pid, welcome.started_at)
        is_new_process = process != self._process
        if is_new_process:
            self.record_progress.reset()
            self.state = None
            self._process = process
        self.state_at_s = time.monotonic()
        self._on_welcome(welcome, is_new_process)

    def _receive(self, message: messages.FromLimiter) -> None:
        if isinstance(message, messages.LimiterState):
            self.state, self.state_at_s = message, time.monotonic()
        elif isinstance(message, messages.RecordsApplied):
            self.state_at_s = time.monotonic()
            self.record_progress.record_applied(
                message.records, message.applied_at_unix_ms, message.drained_open_requests, message.open_requests
            )
        else:
            return
        self._on_report(message)

    # Requests of the agent

    async def push_records(self, timeout_s: float) -> None:
        """Send the records now; `record_progress` says how far they got, also after a timeout."""
        if self._client is None or not self._is_owner:
            return self.wake()
        try:
            await self._apply_records(self._client, timeout_s)
        except (NotSentError, NoAnswerError):
            self.wake()

    async def refresh_state(self, timeout_s: float, accounts: int) -> None:
        """Request the state now.

        A limiter that does not answer in time does not become `silent`: the timeout may be a few milliseconds, and what
        other agents plan by must not depend on it. Only the regular poll changes the status.

        Args:
            timeout_s: How long to wait.
            accounts: The maximum number of accounts that the state lists.
        """
        if self._client is not None:
            with contextlib.suppress(NoAnswerError, NotSentError):
                await self._client.request(messages.GetState(self._client.next_request_id(), accounts), timeout_s)

    async def stop(self, timeout_s: float) -> bool:
        """Tell the limiter to stop; return whether it confirmed."""
        if self._client is None or not self._is_owner:
            return False
        try:
            answer = await self._client.request(messages.Stop(self._client.next_request_id()), timeout_s)
        except (NotSentError, NoAnswerError):
            return False
        return isinstance(answer, messages.Stopping)
