"""Starts one limiter: reads the configuration, wires the parts, reloads on SIGHUP and ends on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from elderlock.decisions.keepers import Keepers
from elderlock.decisions.limiter import Limiter
from elderlock.net.clients import Clients
from elderlock.net.config import Config, ConfigError, load
from elderlock.net.discovery import Discovery
from elderlock.net.gateway import Clock, Gateway
from elderlock.net.peers import Peers

if TYPE_CHECKING:
    from elderlock.operators import OptionalFeatures

ACCEPT_FOR = 0.5  # s after SIGTERM: the front may send new connections for 0.4 s
# s after SIGTERM: SIGKILL comes 0.7 s after the longest deadline, or after 3 s where that is longer, at the soonest
KILLED_AFTER, LONGEST_KEPT = 0.7, 3.0
LAST_WORDS = 0.3  # s before that in which what is still open is failed, and the answers leave
FRESH_LIST_WITHIN = 1.0  # s that the fresh list is waited for, where one is known from before


def reload(discovery: Discovery, extras: OptionalFeatures | None = None) -> None:
    """Turns to what the replaced file names. Open requests, pools and the listener know nothing of it.
    It is one step of the loop, so that signals close together are taken one after the other."""
    try:
        config = load(os.environ)
    except ConfigError as error:  # a half-written or wrong file must not end a limiter that serves
        logging.error("the configuration stays as it was: %s", error)
        return
    discovery.follow(config.discovery)
    if extras is not None:
        extras.reload()
    logging.info("discovery is at %s:%d", *config.discovery)


def exit_within(config: Config) -> float:
    """Seconds from SIGTERM to the end: what is still open then would be cut off by SIGKILL."""
    longest = min(config.socket_settings.longest_deadline_ms / 1000.0, LONGEST_KEPT)
    return longest + KILLED_AFTER - LAST_WORDS


def _extras() -> OptionalFeatures | None:
    """What the operators' file switches on; not loaded, and not paid for, where there is none."""
    path = os.environ.get("ELDERLOCK_OPERATORS")
    if not path:
        return None
    try:
        from elderlock.operators import OptionalFeatures
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path} needs the extra elderlock[fleet]: {error}") from None
    return OptionalFeatures(Path(path))


async def serve(config: Config) -> None:
    # before anything else: a SIGHUP that nobody handles ends the process
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    source, limiter = Keepers, Limiter
    if (extras := _extras()) is not None:
        config = extras.with_routing(config)
        source, limiter = extras.quota_owner_type(config.settings.limiter_count), extras.limiter_type(config.settings)
    gateway = Gateway(loop, config, Clock(), source, limiter)
    discovery = Discovery(config.socket_settings, gateway.listed)
    loop.add_signal_handler(signal.SIGHUP, reload, discovery)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    peers = None
    if config.peer_listen is not None:
        intake = config.settings.quota_sources.peer_messages_per_s
        peers = Peers(config.peers, config.peers_all, intake, gateway.told, gateway.now)
        await loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen)
        gateway.tell_peer = peers.send
    clients = Clients(loop, gateway, config.sockets)
    if extras is not None:
        loop.add_signal_handler(signal.SIGHUP, reload, discovery, extras)
        await extras.attach(gateway, clients, config, discovery.address, stop.set)
    gateway.start()
    discovery.follow(config.discovery)
    try:
        # what is known from before may be old: serving from it is for when discovery is silent
        async with asyncio.timeout(FRESH_LIST_WITHIN):
            await gateway.fresh.wait()
    except TimeoutError:
        logging.warning("no list from discovery yet")
    await clients.listen(*config.listen)
    if extras is not None:
        await extras.start_authz()
    gc.collect()
    gc.freeze()  # what start-up made stays: the collector need not walk it again and again
    logging.info("%s listens at %s:%d", config.name, *config.listen)
    await stop.wait()
    logging.info("%s stops", config.name)
    if extras is not None:
        await asyncio.gather(clients.drain(ACCEPT_FOR, exit_within(config)), extras.stop_authz())
    else:
        await clients.drain(ACCEPT_FOR, exit_within(config))
    discovery.stop()
    gateway.servers.close()
    if peers is not None:
        peers.close()
    if extras is not None:
        extras.close()


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except (OSError, ConfigError) as error:  # what cannot be bound, or an operators' file that is wrong
        print(f"elderlock: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
