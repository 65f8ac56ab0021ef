"""Signal handlers of a limiter: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the process."""

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
    """Ignore SIGHUP until `handle_reload_signal` is called; by default it would end the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def handle_reload_signal(
    loop: asyncio.AbstractEventLoop, discovery: Discovery, reload_features: Callable[[], None] | None
) -> None:
    """On SIGHUP, call `reload_configuration`."""
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, discovery, reload_features)


def handle_stop_signals(loop: asyncio.AbstractEventLoop, stop: asyncio.Event) -> None:
    """On SIGTERM and SIGINT, set `stop`: the process then drains and exits, see `elderlock.net.shutdown`."""
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)


def reload_configuration(discovery: Discovery, reload_features: Callable[[], None] | None = None) -> None:
    """Read the configuration file again, and follow the discovery address in it.

    A reload applies changes to the discovery address and, if `[quota]` has `store = "tally"`, to the counter's address;
    all other changes need a restart. `reload_features` also reads the certificates of `[authz]` again. Open requests,
    connections and the listener are not affected. If the file cannot be used, this is logged and nothing changes. The
    reload is one step of the event loop, so that signals in quick succession are handled one after the other.

    Args:
        discovery: Follows the server list.
        reload_features: Reloads the optional features; None without an operators' file.
    """
    try:
        config = load_config(os.environ)
    except ConfigError as error:  # an incomplete or wrong file must not end a running limiter
        log.error("reload failed, the configuration is unchanged: %s", error)  # noqa: TRY400
        return
    discovery.follow(config.discovery_address)
    if reload_features is not None:
        reload_features()
    log.info("configuration reloaded, discovery is at %s:%d", *config.discovery_address)
