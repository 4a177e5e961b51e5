"""One line of key=value pairs for each event, without secrets."""

import logging
import sys

import structlog

_SECRET_FIELDS = frozenset(
    {"authorization", "caller_key", "operator_key", "peer_key", "secret", "token"}
)
_MASK = "***"
KEY_ORDER = ("timestamp", "level", "event")


def _mask_secrets(_logger, _method, event):
    """Replace the values of fields that hold keys."""
    for name in _SECRET_FIELDS.intersection(event):
        event[name] = _MASK
    return event


def _add_fields(fields):
    """Return a processor that puts fixed fields into every line."""

    def add(_logger, _method, event):
        return {**fields, **event}

    return add


def configure_logs(level="info", stream=None, limit=None, fields=None):
    """Set up structured logs for the process.

    Parameters
    ==========
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    stream : file object, optional
        Where lines go; standard error by default.
    limit : VolumeLimit, optional
        Drops lines beyond a rate.
    fields : mapping of str to str, optional
        That every line carries, such as the host's name.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    limits = [limit] if limit is not None else []
    structlog.configure(
        processors=[
            *limits,
            structlog.contextvars.merge_contextvars,
            _add_fields(fields or {}),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            _mask_secrets,
            structlog.processors.LogfmtRenderer(
                key_order=KEY_ORDER, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(name):
    """Return a logger whose lines carry ``component=name``.

    The name is given as an initial value and not bound: binding would fix the set-up
    in force when the module is imported, which is before ``configure_logs``.
    """
    return structlog.get_logger(component=name)
