"""The command ``hemlockhoist explain``, which traces a request in the hosts' logs."""

import datetime
import math

import click
import msgspec

from hemlockhoist.base import MS_PER_S, RESULTS, ResultCode
from hemlockhoist.cli.errors import report_errors
from hemlockhoist.cli.log_lines import read_lines
from hemlockhoist.cli.options import json_option, log_option
from hemlockhoist.cli.output import print_output

# Events that concern a host, an upstream or a customer, and explain the results of
# requests at about the same time.
CONTEXT_EVENTS = frozenset(
    {
        "back_off_requested",
        "brittle_advertised",
        "brittle_lifted",
        "brittle_respected",
        "brittle_withdrawn",
        "caught_up",
        "deciding_alone",
        "domain_evacuated",
        "domain_taken_back",
        "drain_begun",
        "home_closed",
        "home_started",
        "host_failures_distrusted",
        "host_failures_trusted",
        "host_gone",
        "host_leaving",
        "host_started",
        "limit_advertised",
        "limit_enforced",
        "limit_lifted",
        "limit_withdrawn",
        "lines_left_out",
        "links_lost",
        "links_regained",
        "reader_failed",
        "routes_behind",
        "routes_in_force",
        "slowdown_reported",
        "store_history_gone",
        "store_late",
        "store_lost",
        "store_quick",
        "store_regained",
        "store_slow",
        "table_read",
        "upstream_cold",
        "upstream_gone",
        "upstream_leaving",
        "upstream_link_lost",
        "upstream_link_regained",
        "upstream_listed",
        "upstream_released",
        "upstream_resumed",
        "upstream_suppressed",
        "upstream_suspended",
        "waits_for_reader",
    }
)
# Rows of this size occupy a link of 10 Mbit/s for 50 ms, and requests wait behind them.
LARGE_ROWS_BYTES = 64_000
# The context covers this time before a request's first line and after its last line.
CONTEXT_S = 3
_END_EVENTS = frozenset(
    {"request_refused", "request_ended", "stream_cut", "caller_left"}
)
_HIDDEN_FIELDS = frozenset({"level", "component", "request"})


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The log lines of one request and their context.

    Parameters
    ==========
    request : str
    verdict : str
        One sentence that states the result and the meaning of its code.
    lines : list of str
        The log lines of the request, in order of time.
    around : list of str
        The log lines about the hosts and upstreams concerned, in order of time.
    """

    request: str
    verdict: str
    lines: list[str]
    around: list[str]


def explain(request_id, lines):
    """Return the ``Explanation`` of a request.

    Parameters
    ==========
    request_id : str
        The id that the caller sent.
    lines : iterable of LogLine
        The lines of all hosts, in any order.

    Raises
    ======
    LookupError
        If no line names the request.
    """
    lines = sorted(lines, key=lambda line: line.timestamp)
    request_lines = [line for line in lines if line.request == request_id]
    if not request_lines:
        raise LookupError(f"no line names the request {request_id}")
    return Explanation(
        request=request_id,
        verdict=_verdict(request_lines) + _rows_meanwhile(request_lines, lines),
        lines=[_format_line(line) for line in request_lines],
        around=[_format_line(line) for line in _context(request_lines, lines)],
    )


def _verdict(request_lines):
    for line in reversed([item for item in request_lines if item.event in _END_EVENTS]):
        if line.event == "request_refused":
            row = RESULTS[ResultCode(int(line.get("code")))]
            reason = line.get("reason")
            text = f"It ended with code {int(row.code)}: {row.meaning}"
            if reason and reason != row.meaning:
                text += f" ({reason})"
            return f"{text} Ran: {row.ran.value}. Next: {row.remedy}"
        if line.event == "request_ended" and not _was_cut(request_lines):
            return (
                f"It was answered with status {line.get('status')} after "
                f"{line.get('after_ms')} ms and {line.get('attempts')} attempt(s)."
            )
        if line.event == "stream_cut":
            return f"Its stream was cut: {line.get('reason')}."
        if line.event == "caller_left":
            return f"Its caller disconnected after {line.get('after_ms')} ms."
    return "No line reports its end: its host stopped, or lines were dropped."


def _rows_meanwhile(request_lines, lines):
    """Return a sentence on each large table that a host of the request read meanwhile.

    A request that takes long, or is refused, may have waited behind its rows.
    """
    hosts = {line.host for line in request_lines}
    first, last = _time_s(request_lines[0]), _time_s(request_lines[-1])
    texts = []
    for line in lines:
        if line.event != "table_read" or line.host not in hosts:
            continue
        row_bytes, after_ms = int(line.get("row_bytes")), int(line.get("after_ms"))
        end_s = _time_s(line)
        is_meanwhile = end_s - after_ms / MS_PER_S <= last and first <= end_s
        if row_bytes >= LARGE_ROWS_BYTES and is_meanwhile:
            origin = line.get("relayed_by") or "the store"
            texts.append(
                f" Meanwhile {line.host} read {row_bytes} B of the table "
                f"{line.get('table')} from {origin}, in {after_ms} ms."
            )
    return "".join(texts)


def _was_cut(request_lines):
    return any(line.event == "stream_cut" for line in request_lines)


def _context(request_lines, lines):
    """Return the context lines about the hosts and upstreams of the request."""
    hosts = {line.host for line in request_lines}
    upstreams = {line.get("upstream") for line in request_lines} - {""}
    first, last = _time_s(request_lines[0]), _time_s(request_lines[-1])
    return [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and first - CONTEXT_S <= _time_s(line) <= last + CONTEXT_S
        and (line.get("upstream") in upstreams or _concerns_hosts(line, hosts))
    ]


def _concerns_hosts(line, hosts):
    return line.host in hosts and not line.event.startswith("upstream_")


def _time_s(line):
    """Return the time of a line in seconds; NaN if it cannot be read."""
    try:
        return datetime.datetime.fromisoformat(line.timestamp).timestamp()
    except ValueError:
        return math.nan


def _format_line(line):
    time = line.timestamp.partition("T")[2].rstrip("Z")[:12]
    pairs = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in _HIDDEN_FIELDS and value != ""
    )
    return f"{time} {line.host} {line.event} {pairs}".rstrip()


@click.command("explain")
@click.argument("request_id")
@log_option
@json_option
@report_errors
def explain_command(request_id, files, as_json):
    """Explain the result of the request REQUEST_ID from the logs of hosts."""
    try:
        explanation = explain(request_id, read_lines(files))
    except LookupError as error:
        raise click.ClickException(str(error.args[0])) from None
    print_output(explanation, as_json, _format_page(explanation))


def _format_page(explanation):
    parts = [explanation.verdict, "", "Log lines of the request:", *explanation.lines]
    if explanation.around:
        parts += ["", "Related events at the time:", *explanation.around]
    return "\n".join(parts)
