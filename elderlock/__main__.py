"""Runs one limiter process: `python -m elderlock`.

The environment names the configuration file (`PROXY_CONFIG`) and, optionally, the operators' file
(`ELDERLOCK_OPERATORS`). On SIGHUP the process reads the configuration again (`elderlock.net.signals`); on SIGTERM and
SIGINT it drains and exits (`elderlock.net.shutdown`).
"""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from elderlock.net.config import Config, ConfigError, load_config
from elderlock.net.shutdown import shut_down
from elderlock.net.signals import ignore_reload_signal
from elderlock.net.startup import start_limiter

if TYPE_CHECKING:
    from elderlock.operators import OptionalFeatures

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


def load_optional_features() -> OptionalFeatures | None:
    """Load the features that the operators' file enables; without such a file, none of their modules are imported.

    Raises:
        ConfigError: The file cannot be used, or the extra that it needs is not installed.
    """
    path = os.environ.get("ELDERLOCK_OPERATORS")
    if not path:
        return None
    try:
        from elderlock.operators import OptionalFeatures
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path} needs the extra elderlock[fleet]: {error}") from None
    return OptionalFeatures(Path(path))


async def serve(config: Config) -> None:
    """Run a limiter until it is stopped, and shut it down.

    Raises:
        OSError: An address cannot be bound.
        ConfigError: The operators' file cannot be used.
    """
    ignore_reload_signal()
    stop = asyncio.Event()
    running = await start_limiter(config, load_optional_features(), stop)
    await stop.wait()
    await shut_down(running)


def main() -> int:
    """Run the process and return its exit code, which is 2 if the configuration or an address cannot be used."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        return _report_bad_configuration(error)
    try:
        uvloop.run(serve(config))
    except (OSError, ConfigError) as error:  # an address cannot be bound, or the operators' file is wrong
        return _report_bad_configuration(error)
    return EXIT_OK


def _report_bad_configuration(error: Exception) -> int:
    print(f"elderlock: {error}", file=sys.stderr)
    return EXIT_BAD_CONFIGURATION


if __name__ == "__main__":
    sys.exit(main())
