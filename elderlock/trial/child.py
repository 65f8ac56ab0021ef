"""Starts a limiter or an agent as it ships, under a seam: `python -m elderlock.trial.child limiter SEAM`, `agent SEAM
FILE`, or `base SEAM FILE`.

The code that runs is the program's own (`elderlock.__main__.main`, the agent's `serve`); the wall clock, the disk and,
where a test asks for it, one known fault of the build are put under it before it is loaded.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from elderlock.trial.control_block import Block

SEAM, FLAW = "ELDERLOCK_TRIAL_SEAM", "ELDERLOCK_TRIAL_FLAW"
OWN = ".own"  # what a limiter's control socket is called behind its relay


def move_clock(block: Block) -> None:
    """The wall clock of this process is the machine's and what the seam says; the even clocks stay."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + block.clock_ms / 1000.0
    time.time_ns = lambda: real_ns() + int(block.clock_ms * 1e6)


def behind_relay(operators: Path) -> Path:
    """The operators' file that the agent wrote, with a control socket of another name: its own is the relay's."""
    lines = []
    for line in operators.read_text(encoding="utf-8").splitlines():
        if line.startswith("socket = "):
            line = line.rstrip()[:-1] + OWN + '"'
        lines.append(line)
    beside = operators.with_name("operators-own.toml")
    beside.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return beside


def limiter() -> int:
    operators = os.environ.get("ELDERLOCK_OPERATORS")
    if operators:
        os.environ["ELDERLOCK_OPERATORS"] = str(behind_relay(Path(operators)))
    from elderlock.__main__ import main

    return main()


def agent(path: Path, block: Block) -> int:
    import uvloop

    from elderlock import logs
    from elderlock.fleet.agent.agent import serve
    from elderlock.fleet.agent_store import StoreError
    from elderlock.fleet.config import FileError, read_agent
    from elderlock.trial.disk import TrialHost

    logs.configure("json")
    home = path.resolve().parent / read_agent(path).agent.state
    seam = Path(os.environ[SEAM])
    try:
        uvloop.run(serve(path, host=TrialHost(block, home, seam.with_suffix(".durable"))))
    except (OSError, FileError, StoreError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


def base(path: Path, seam: Path) -> int:
    import uvloop

    from elderlock import logs
    from elderlock.fleet.config import FileError
    from elderlock.fleet.launcher.launcher import serve

    logs.configure("json")
    own = (sys.executable, "-B", "-m", "elderlock.trial.child", "agent", str(seam))
    try:
        uvloop.run(serve(path, own))
    except (OSError, FileError) as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    # an agent's limiters inherit its environment; each finds its own seam beside the agent's, by its own name
    role = sys.argv[1]
    seam = Path(sys.argv[2])
    os.environ[SEAM] = str(seam)
    if role == "base":  # the seam is its agent's
        return base(Path(sys.argv[3]), seam)
    block = Block(seam)
    block.begins(os.getpid())
    move_clock(block)
    if flaw := os.environ.get(FLAW):
        from elderlock.trial.mutants import MUTANTS, Patch

        MUTANTS[flaw](Patch())
    code = limiter() if role == "limiter" else agent(Path(sys.argv[3]), block)
    block.ends(code)
    return code


if __name__ == "__main__":
    sys.exit(main())
