"""The link between an agent and its launcher (`elderlock.fleet.launcher.launcher`).

Messages are lines of JSON: the agent's on its standard output; the end of its standard input says that the launcher has
ended.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable, MutableMapping
from typing import BinaryIO

import msgspec

from elderlock import logs
from elderlock.rollout.agent_launcher import LauncherState, SwitchRequest

ENVIRON = "ELDERLOCK_BASE"

log = logs.get_logger(__name__)


class Started(msgspec.Struct, frozen=True):
    """What a base tells the agent that it starts."""

    state: LauncherState = msgspec.field(name="held")
    start_count: int = msgspec.field(name="starts")


class SwitchVersion(msgspec.Struct, tag="to", frozen=True):
    to: SwitchRequest


class Ready(msgspec.Struct, tag="ready", frozen=True):
    pass


class Settled(msgspec.Struct, tag="settled", frozen=True):
    generation: int


Word = SwitchVersion | Ready | Settled
message_decoder = msgspec.json.Decoder(Word)


class LauncherLink:
    def __init__(self, started: Started, out: BinaryIO) -> None:
        self.state, self.start_count = started.state, started.start_count
        self._out, self._ready = out, False

    @classmethod
    def from_environ(cls, environ: MutableMapping[str, str]) -> LauncherLink | None:
        """None where no base started this process. What it starts itself must not take the base for its own, nor write
        to the base: the variable is taken out, and the standard output is given to the log."""
        text = environ.get(ENVIRON, "")
        if not text:
            return None
        del environ[ENVIRON]
        out = os.fdopen(os.dup(sys.stdout.fileno()), "wb", buffering=0)
        os.dup2(sys.stderr.fileno(), sys.stdout.fileno())
        return cls(msgspec.json.decode(text, type=Started), out)

    def watch(self, gone: Callable[[], None]) -> None:
        """`gone` is called once the base has ended: whoever it was starts the next agent."""

        def read() -> None:
            if not os.read(0, 1 << 12):
                asyncio.get_running_loop().remove_reader(0)
                log.warning("the base has ended, and so does its agent; limiters run on")
                gone()

        asyncio.get_running_loop().add_reader(0, read)

    def _say(self, word: Word) -> None:
        try:
            self._out.write(msgspec.json.encode(word) + b"\n")
        except OSError as error:
            log.error("the base does not hear", error=str(error))

    def request_switch(self, to: SwitchRequest) -> None:
        self._say(SwitchVersion(to))

    def report_ready(self) -> None:
        if not self._ready:
            self._ready = True
            self._say(Ready())

    def report_settled(self) -> None:
        if self.state.is_on_trial:
            self._say(Settled(self.state.generation))
            self.state = msgspec.structs.replace(self.state, is_on_trial=False)
