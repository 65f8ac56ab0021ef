"""The configuration of a limiter process: reads the file that `$PROXY_CONFIG` names into validated, typed values."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from elderlock import interface as api
from elderlock.net.errors import NetError
from elderlock.settings_reader import SocketSettings, read_settings, read_socket_settings

# With fewer descriptors, none would be left for clients next to the connections to servers.
MIN_SOCKETS = 64
PORT_LIMIT = 65536

Address = tuple[str, int]


class ConfigError(NetError):
    """The configuration cannot be used; the text is a single line for the operator."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a limiter process.

    Attributes:
        name: Name of the limiter, for its log.
        seed: Seed of the limiter's random numbers.
        listen_address: The address that clients connect to.
        discovery_address: The address at which the server list is polled and watched.
        max_descriptors: Maximum number of file descriptors of the process.
        memory_mb: Maximum memory of the process in MB.
        peer_listen_address: The address that receives the other limiters' datagrams; None without peers.
        peer_addresses: All limiters' addresses by index, including this limiter's.
        broadcast_address: The address that reaches all other limiters; None if there is none.
        cached_list: A server list saved before the start, in discovery's format; None if there is none.
        settings: The limiter's settings.
        socket_settings: Timeouts, limits and names for the sockets.
    """

    name: str
    seed: int
    listen_address: Address
    discovery_address: Address
    max_descriptors: int
    memory_mb: float
    peer_listen_address: Address | None
    peer_addresses: tuple[Address, ...]
    broadcast_address: Address | None
    cached_list: Any
    settings: api.Settings
    socket_settings: SocketSettings


def parse_address(text: Any) -> Address:
    """Parse an address like `10.0.0.4:6379`.

    Raises:
        ValueError: The text is not an address.
    """
    host, separator, port = str(text).rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 <= int(port) < PORT_LIMIT:
        raise ValueError(f"{text!r} is not an address like 10.0.0.4:6379")
    return host, int(port)


def _parse_optional_address(value: Any) -> Address | None:
    return None if value is None else parse_address(value)


def _reject_non_finite(name: str) -> None:
    raise ValueError(f"{name} is not a finite number")


def parse_config(raw: Any) -> Config:
    """Validate a decoded configuration.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: A field is missing, of the wrong type or out of range.
    """
    settings = read_settings(raw["settings"])
    socket_settings = read_socket_settings(raw["settings"])
    # `-BUSY MS` can always carry a retry delay, whatever the settings say of the clients' capabilities.
    capabilities = replace(
        settings.capabilities, can_send_retry_after=True, connect_timeout_ms=socket_settings.connect_timeout_ms
    )
    settings = replace(settings, capabilities=capabilities)
    peer_addresses = tuple(parse_address(peer) for peer in raw.get("peers", ()))
    max_descriptors = int(raw["limits"]["sockets"])
    if max_descriptors < MIN_SOCKETS:
        raise ValueError(f"limits.sockets is {max_descriptors}, the minimum is {MIN_SOCKETS}")
    if settings.capabilities.can_message_peers and len(peer_addresses) != settings.limiter_count:
        raise ValueError(f"peers has {len(peer_addresses)} addresses, peers-total is {settings.limiter_count}")
    return Config(
        name=str(raw["name"]),
        seed=int(raw["seed"], 16),
        listen_address=parse_address(raw["listen"]),
        discovery_address=parse_address(raw["discovery"]),
        max_descriptors=max_descriptors,
        memory_mb=float(raw["limits"]["memory_mb"]),
        peer_listen_address=_parse_optional_address(raw.get("peer_listen")),
        peer_addresses=peer_addresses,
        broadcast_address=_parse_optional_address(raw.get("peers_all")),
        cached_list=raw.get("known"),
        settings=settings,
        socket_settings=socket_settings,
    )


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the file that `$PROXY_CONFIG` names.

    Raises:
        ConfigError: The variable is not set, or the file cannot be read or used.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
        return parse_config(json.loads(text, parse_constant=_reject_non_finite))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from None
