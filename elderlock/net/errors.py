"""The base class of the errors that this package raises."""

from __future__ import annotations


class NetError(Exception):
    """Base of the errors of `elderlock.net`."""
