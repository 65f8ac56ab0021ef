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
from elderlock.net.client_listener import ClientListener
from elderlock.net.clock import Clock
from elderlock.net.config import Config, ConfigError, load_config
from elderlock.net.discovery import Discovery
from elderlock.net.gateway import Gateway
from elderlock.net.peers import PeerTransport

if TYPE_CHECKING:
    from elderlock.operators import Extras

ACCEPT_AFTER_SIGTERM_S = 0.5  # s after SIGTERM: the front may send new connections for 0.4 s
# s after SIGTERM: SIGKILL comes 0.7 s after the longest deadline, or after 3 s where that is longer, at the soonest
KILL_DELAY_S, MAX_DEADLINE_S = 0.7, 3.0
FINAL_ANSWERS_S = 0.3  # s before that in which what is still open is failed, and the answers leave
FIRST_LIST_TIMEOUT_S = 1.0  # s that the fresh list is waited for, where one is known from before


def reload(discovery: Discovery, extras: Extras | None = None) -> None:
    """Turns to what the replaced file names. Open requests, pools and the listener know nothing of it.
    It is one step of the loop, so that signals close together are taken one after the other."""
    try:
        config = load_config(os.environ)
    except ConfigError as error:  # a half-written or wrong file must not end a limiter that serves
        logging.error("the configuration stays as it was: %s", error)
        return
    discovery.follow(config.discovery_address)
    if extras is not None:
        extras.reload()
    logging.info("discovery is at %s:%d", *config.discovery_address)


def drain_time_limit_s(config: Config) -> float:
    """Seconds from SIGTERM to the end: what is still open then would be cut off by SIGKILL."""
    longest = min(config.socket_settings.longest_deadline_ms / 1000.0, MAX_DEADLINE_S)
    return longest + KILL_DELAY_S - FINAL_ANSWERS_S


def _load_optional_features() -> Extras | None:
    """What the operators' file switches on; not loaded, and not paid for, where there is none."""
    path = os.environ.get("ELDERLOCK_OPERATORS")
    if not path:
        return None
    try:
        from elderlock.operators import Extras
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path} needs the extra elderlock[fleet]: {error}") from None
    return Extras(Path(path))


async def serve(config: Config) -> None:
    # before anything else: a SIGHUP that nobody handles ends the process
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    source, limiter = Keepers, Limiter
    if (extras := _load_optional_features()) is not None:
        config = extras.routed(config)
        source, limiter = extras.source(config.settings.limiter_count), extras.limiter(config.settings)
    gateway = Gateway(loop, config, Clock(), source, limiter)
    discovery = Discovery(config.socket_settings, gateway.server_list_received)
    loop.add_signal_handler(signal.SIGHUP, reload, discovery)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    peers = None
    if config.peer_listen_address is not None:
        intake = config.settings.quota_sources.peer_messages_per_s
        peers = PeerTransport(
            config.peer_addresses, config.broadcast_address, intake, gateway.peer_message_received, gateway.now_ms
        )
        await loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen_address)
        gateway.send_peer_message = peers.send
    clients = ClientListener(loop, gateway, config.max_descriptors)
    if extras is not None:
        loop.add_signal_handler(signal.SIGHUP, reload, discovery, extras)
        await extras.prepare(gateway, clients, config, discovery.address, stop.set)
    gateway.start()
    discovery.follow(config.discovery_address)
    try:
        # what is known from before may be old: serving from it is for when discovery is silent
        async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
            await gateway.list_received.wait()
    except TimeoutError:
        logging.warning("no list from discovery yet")
    await clients.listen(*config.listen_address)
    if extras is not None:
        await extras.open()
    gc.collect()
    gc.freeze()  # what start-up made stays: the collector need not walk it again and again
    logging.info("%s listens at %s:%d", config.name, *config.listen_address)
    await stop.wait()
    logging.info("%s stops", config.name)
    if extras is not None:
        await asyncio.gather(clients.drain(ACCEPT_AFTER_SIGTERM_S, drain_time_limit_s(config)), extras.leave())
    else:
        await clients.drain(ACCEPT_AFTER_SIGTERM_S, drain_time_limit_s(config))
    discovery.stop()
    gateway.server_pools.close()
    if peers is not None:
        peers.close()
    if extras is not None:
        extras.close()


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = load_config(os.environ)
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
