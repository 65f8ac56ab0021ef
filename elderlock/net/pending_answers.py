"""The answers that a client connection owes, in the order of its commands."""

from __future__ import annotations

from collections import deque

from elderlock.net.request_ids import RequestIds

BUSY_PREFIX = b"-BUSY"


class PendingAnswer:
    """An entry in a connection's queue of answers, which keeps the order of the commands.

    Attributes:
        answer: The encoded answer; None until the command is answered.
        held_id: The client's request id, held until the answer leaves; None for other commands.
        request_id: The gateway's id of the request; None for other commands.
    """

    __slots__ = ("answer", "held_id", "request_id")

    def __init__(self, answer: bytes | None = None, held_id: bytes | None = None) -> None:
        self.answer = answer
        self.held_id = held_id
        self.request_id: str | None = None

    def is_rejected(self) -> bool:
        """Whether the answer says that the request was not executed."""
        return self.answer is not None and self.answer.startswith(BUSY_PREFIX)


class PendingAnswers:
    """A connection's queue of answers; an answer waits for those before it."""

    def __init__(self, request_ids: RequestIds) -> None:
        """Initialise an empty queue.

        Args:
            request_ids: The ids of all open requests of the process.
        """
        self._request_ids = request_ids
        self._queue: deque[PendingAnswer] = deque()

    def __len__(self) -> int:
        """Return the number of commands whose answers have not left."""
        return len(self._queue)

    def append(self, pending: PendingAnswer) -> None:
        """Add the answer of the newest command."""
        self._queue.append(pending)

    def is_first(self, pending: PendingAnswer) -> bool:
        """Whether no other answer has to leave before this one."""
        return bool(self._queue) and self._queue[0] is pending

    def take_ready(self) -> bytes:
        """Remove the answers whose turn has come, free their ids, and return them joined."""
        ready = []
        while self._queue and (answer := self._queue[0].answer) is not None:
            ready.append(answer)
            self._release_id(self._queue.popleft())
        return b"".join(ready)

    def abandon(self) -> list[str]:
        """Remove all answers as the client has left, and return the gateway's ids of the unanswered requests.

        The id of an answered request is remembered unless it was rejected: it may have been executed.
        """
        abandoned = self._queue
        self._queue = deque()
        unanswered = []
        for pending in abandoned:
            if pending.answer is None and pending.request_id is not None:
                unanswered.append(pending.request_id)
            elif pending.held_id is not None and not pending.is_rejected():
                self._request_ids.remember(pending.held_id)
            self._release_id(pending)
        return unanswered

    def _release_id(self, pending: PendingAnswer) -> None:
        if pending.held_id is not None:
            self._request_ids.release(pending.held_id)
            pending.held_id = None
