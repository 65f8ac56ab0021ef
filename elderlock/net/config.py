"""Checks the configuration that `$PROXY_CONFIG` names into typed values."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from elderlock import interface as api
from elderlock.settings_reader import SocketSettings, read_settings, read_socket_settings

MIN_SOCKETS = 64  # below it there would be no room left for clients beside the servers

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration cannot be used; the text is one plain line for the operator."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    seed: int
    listen_address: Address
    discovery_address: Address
    max_descriptors: int
    memory_mb: float  # MB
    peer_listen_address: Address | None
    peer_addresses: tuple[Address, ...]
    broadcast_address: Address | None
    cached_list: Any  # in discovery's form, read as any other list
    settings: api.Settings
    socket_settings: SocketSettings


def parse_address(text: Any) -> Address:
    host, found, port = str(text).rpartition(":")
    if not found or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address like 10.0.0.4:6379")
    return host, int(port)


def _parse_optional_address(value: Any) -> Address | None:
    return None if value is None else parse_address(value)


def _reject_non_finite(name: str) -> None:
    raise ValueError(f"{name} is no number to be used")


def parse_config(raw: Any) -> Config:
    settings, socket_settings = read_settings(raw["settings"]), read_socket_settings(raw["settings"])
    # `-BUSY MS` can always say when to come back, also where the simulator's clients are not told
    settings = replace(
        settings,
        capabilities=replace(
            settings.capabilities, can_send_retry_after=True, connect_timeout_ms=socket_settings.connect_timeout_ms
        ),
    )
    peers = tuple(parse_address(peer) for peer in raw.get("peers", ()))
    sockets = int(raw["limits"]["sockets"])
    if sockets < MIN_SOCKETS:
        raise ValueError(f"limits.sockets is {sockets}, {MIN_SOCKETS} are needed")
    if settings.capabilities.can_message_peers and len(peers) != settings.limiter_count:
        raise ValueError(f"peers names {len(peers)} limiters, the settings say {settings.limiter_count}")
    return Config(
        name=str(raw["name"]),
        seed=int(raw["seed"], 16),
        listen_address=parse_address(raw["listen"]),
        discovery_address=parse_address(raw["discovery"]),
        max_descriptors=sockets,
        memory_mb=float(raw["limits"]["memory_mb"]),
        peer_listen_address=_parse_optional_address(raw.get("peer_listen")),
        peer_addresses=peers,
        broadcast_address=_parse_optional_address(raw.get("peers_all")),
        cached_list=raw.get("known"),
        settings=settings,
        socket_settings=socket_settings,
    )


def load_config(environ: Mapping[str, str]) -> Config:
    """Reads the file; whatever is wrong with it comes out as a `ConfigError`."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
        return parse_config(json.loads(text, parse_constant=_reject_non_finite))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing or not known") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from None
