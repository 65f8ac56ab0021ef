"""Structured logging for agents and commands: an event with fields, as readable text or as JSON for a log collector.

A limiter process (`python -m elderlock`) does not load this module.
"""

from __future__ import annotations

import logging
import sys
from typing import Any, Literal

import structlog

LogFormat = Literal["text", "json"]
LOG_FORMATS: tuple[LogFormat, ...] = ("text", "json")


# Until `configure` is called, lines go to the standard library's logging, for tests and programs that embed elderlock.
structlog.configure(
    processors=[
        structlog.stdlib.filter_by_level,
        structlog.stdlib.PositionalArgumentsFormatter(),
        structlog.processors.KeyValueRenderer(key_order=["event"]),
    ],
    logger_factory=structlog.stdlib.LoggerFactory(),
    wrapper_class=structlog.stdlib.BoundLogger,
)


def configure(log_format: LogFormat, level: int = logging.INFO) -> None:
    """Configure logging to standard error.

    Lines that other modules and libraries log through the standard library have the same format.

    Args:
        log_format: Text or JSON.
        level: The minimum level that is logged.
    """
    shared: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.stdlib.add_log_level,
        structlog.stdlib.PositionalArgumentsFormatter(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.StackInfoRenderer(),
    ]
    renderers: list[Any] = [structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty(), sort_keys=False)]
    if log_format == "json":
        renderers = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *renderers],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    structlog.configure(
        processors=[
            structlog.stdlib.filter_by_level,
            *shared,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=False,
    )


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Return the logger of a module."""
    logger: structlog.stdlib.BoundLogger = structlog.stdlib.get_logger(name)
    return logger
