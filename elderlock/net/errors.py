"""The base class of this package's errors."""

from __future__ import annotations


class NetError(Exception):
    """Base class of the errors of `elderlock.net`."""
