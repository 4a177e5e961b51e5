"""``hemlockhoist explain``: from a request's id to what became of it, and why."""

import click
import msgspec

from hemlockhoist.base import RESULTS, ResultCode
from hemlockhoist.cli.errors import report_errors
from hemlockhoist.cli.log_lines import read_lines
from hemlockhoist.cli.options import json_option, log_option
from hemlockhoist.cli.output import print_output

# Lines that are about a host, an upstream or a customer, and explain what became of the
# requests of their time.
CONTEXT_EVENTS = frozenset(
    {
        "deciding_alone",
        "domain_evacuated",
        "domain_taken_back",
        "drain_begun",
        "home_closed",
        "home_started",
        "host_gone",
        "host_leaving",
        "host_started",
        "lines_left_out",
        "routes_in_force",
        "store_lost",
        "store_regained",
        "upstream_cold",
        "upstream_gone",
        "upstream_listed",
    }
)
# How far before a request's first line and after its last one the context reaches.
CONTEXT_S = 3
_ENDS = frozenset({"request_refused", "request_ended", "stream_cut", "caller_left"})
_LEFT_OUT = frozenset({"level", "component", "request"})


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What the logs say of one request.

    Parameters
    ==========
    request : str
    verdict : str
        One sentence: how it ended, and what the code means.
    lines : list of str
        What was decided on it, in order.
    around : list of str
        What happened to the hosts and upstreams concerned meanwhile.
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
        As its caller sent it.
    lines : iterable of LogLine
        Of all hosts, in any order.

    Raises
    ======
    LookupError
        When no line is about it.
    """
    lines = sorted(lines, key=lambda line: line.timestamp)
    own = [line for line in lines if line.request == request_id]
    if not own:
        raise LookupError(f"no line names the request {request_id}")
    return Explanation(
        request=request_id,
        verdict=_verdict(own),
        lines=[_shown(line) for line in own],
        around=[_shown(line) for line in _context(own, lines)],
    )


def _verdict(own):
    for line in reversed([item for item in own if item.event in _ENDS]):
        if line.event == "request_refused":
            row = RESULTS[ResultCode(int(line.get("code")))]
            reason = line.get("reason")
            text = f"It ended with code {int(row.code)}: {row.meaning}"
            if reason and reason != row.meaning:
                text += f" ({reason})"
            return f"{text} Ran: {row.ran.value}. Next: {row.remedy}"
        if line.event == "request_ended" and not _was_cut(own):
            return (
                f"It was answered with status {line.get('status')} after "
                f"{line.get('after_ms')} ms and {line.get('attempts')} attempt(s)."
            )
        if line.event == "stream_cut":
            return f"Its stream was cut: {line.get('reason')}."
        if line.event == "caller_left":
            return f"Its caller left after {line.get('after_ms')} ms."
    return "No line tells its end: its host stopped, or lines were left out."


def _was_cut(own):
    return any(line.event == "stream_cut" for line in own)


def _context(own, lines):
    """Return the lines around that concern the request's hosts and upstreams."""
    hosts = {line.host for line in own}
    upstreams = {line.get("upstream") for line in own} - {""}
    first, last = _seconds(own[0]), _seconds(own[-1])
    return [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and first - CONTEXT_S <= _seconds(line) <= last + CONTEXT_S
        and (line.get("upstream") in upstreams or _is_of_host(line, hosts))
    ]


def _is_of_host(line, hosts):
    return line.host in hosts and not line.event.startswith("upstream_")


def _seconds(line):
    """Return a line's time of day; days do not matter over some seconds."""
    clock = line.timestamp.partition("T")[2].rstrip("Z")
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3_600 + int(minutes) * 60 + float(seconds)


def _shown(line):
    clock = line.timestamp.partition("T")[2].rstrip("Z")[:12]
    pairs = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in _LEFT_OUT and value != ""
    )
    return f"{clock} {line.host} {line.event} {pairs}".rstrip()


@click.command("explain")
@click.argument("request_id")
@log_option
@json_option
@report_errors
def explain_command(request_id, files, as_json):
    """Say what became of the request REQUEST_ID, from the logs of hosts."""
    try:
        explanation = explain(request_id, read_lines(files))
    except LookupError as error:
        raise click.ClickException(str(error.args[0])) from None
    print_output(explanation, as_json, _page(explanation))


def _page(explanation):
    parts = [explanation.verdict, "", "What was decided on it:", *explanation.lines]
    if explanation.around:
        parts += ["", "What happened around it:", *explanation.around]
    return "\n".join(parts)
