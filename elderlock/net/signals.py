"""What a limiter does on signals: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the process."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from collections.abc import Callable

from elderlock.net.config import ConfigError, load_config
from elderlock.net.discovery import Discovery

log = logging.getLogger(__name__)


def ignore_reload_signal() -> None:
    """Ignore SIGHUP until `handle_reload_signal`; by default it would end the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def handle_reload_signal(
    loop: asyncio.AbstractEventLoop, discovery: Discovery, reload_features: Callable[[], None] | None
) -> None:
    """On SIGHUP, call `reload_configuration`."""
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, discovery, reload_features)


def handle_stop_signals(loop: asyncio.AbstractEventLoop, stop: asyncio.Event) -> None:
    """On SIGTERM and SIGINT, set `stop`: the process drains and ends, see `elderlock.net.shutdown`."""
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)


def reload_configuration(discovery: Discovery, reload_features: Callable[[], None] | None = None) -> None:
    """Read the configuration file again, and turn to the discovery address that it names.

    Of this file a reload follows the discovery address and, with `[quota]` store tally, the address of the counter; all
    else needs a restart. `reload_features` also reads the certificates of `[authz]` again. Open requests, connections
    and the listener are not touched. A file that cannot be used is logged and changes nothing. This is one step of the
    loop, so that signals close together are handled one after the other.

    Args:
        discovery: Follows the server list.
        reload_features: Reloads what the operators' file switches on; None without one.
    """
    try:
        config = load_config(os.environ)
    except ConfigError as error:  # a half-written or wrong file must not end a limiter that serves
        log.error("the configuration stays as it was: %s", error)  # noqa: TRY400
        return
    discovery.follow(config.discovery_address)
    if reload_features is not None:
        reload_features()
    log.info("discovery is at %s:%d", *config.discovery_address)
