"""One line of key=value pairs for each event, without secrets."""

import logging
import sys

import structlog

from hemlockhoist.base.logfmt import LineRenderer


def configure_logs(
    level="info", stream=None, rate_limiter=None, fields=None, cache_loggers=False
):
    """Set up structured logs for the process.

    Parameters
    ==========
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    stream : file object, optional
        Where lines go; standard error by default.
    rate_limiter : VolumeLimit, optional
        Drops lines beyond a rate.
    fields : mapping of str to str, optional
        That every line carries, such as the host's name.
    cache_loggers : bool, optional
        Whether loggers may keep this set-up from their first line on, which spares
        each line a look at it. Tests set logs up anew.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    limits = [rate_limiter] if rate_limiter is not None else []
    structlog.configure(
        processors=[
            *limits,
            structlog.processors.format_exc_info,
            LineRenderer(fields or {}),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=cache_loggers,
    )


def get_logger(name):
    """Return a logger whose lines carry ``component=name``.

    The name is given as an initial value and not bound: binding would fix the set-up
    in force when the module is imported, which is before ``configure_logs``.
    """
    return structlog.get_logger(component=name)
