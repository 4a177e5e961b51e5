"""Configuration of structured logs: one key=value line per event, secrets masked."""

import logging
import sys

import structlog

from hemlockhoist.base.logfmt import LineRenderer


def configure_logs(
    level="info", stream=None, rate_limiter=None, fields=None, cache_loggers=False
):
    """Configure structured logging for the process.

    Parameters
    ==========
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    stream : file object, optional
        The stream that lines are written to; standard error by default.
    rate_limiter : LogRateLimiter, optional
        Drops lines above a rate.
    fields : mapping of str to str, optional
        Fields that are added to every line, such as the host's name.
    cache_loggers : bool, optional
        Whether loggers keep this configuration from their first line on, which saves
        looking it up for each line. Tests leave it off, as they reconfigure logging.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    rate_limiters = [rate_limiter] if rate_limiter is not None else []
    structlog.configure(
        processors=[
            *rate_limiters,
            structlog.processors.format_exc_info,
            LineRenderer(fields or {}),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=cache_loggers,
    )


def get_logger(name):
    """Return a logger whose lines carry ``component=name``.

    The name is passed as an initial value instead of being bound, because binding would
    fix the configuration at the import of the module, before ``configure_logs`` runs.
    """
    return structlog.get_logger(component=name)
