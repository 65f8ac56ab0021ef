"""The clocks of an agent, in milliseconds."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic time."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Return the Unix time."""
    return time.time() * 1000.0
