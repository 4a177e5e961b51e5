"""The command ``hemlockhoist where``.

Operator query: to which upstream a request would be assigned.
"""

import click
import msgspec

from hemlockhoist.base import RESULTS, ResultCode, SettingError
from hemlockhoist.cli.errors import report_errors
from hemlockhoist.cli.options import host_options, json_option, with_client
from hemlockhoist.cli.output import format_table, print_output
from hemlockhoist.host.where_messages import (
    MAX_NAME_CHARACTERS,
    MAX_PREFIX_PARTS,
    MAX_TOKENS,
    PlacementRequestBody,
)

GRANTED, QUEUED = "granted", "queued"
_tokens = click.IntRange(0, MAX_TOKENS)


@click.command()
@click.argument("route")
@click.option("--prompt-tokens", type=_tokens, help="Length of the prompt.")
@click.option("--max-tokens", type=_tokens, help="Most output tokens.")
@click.option("--customer", default="", help="Customer whose limits apply.")
@click.option("--tier", default="", help="By default the highest of the customer.")
@click.option(
    "--prefix",
    multiple=True,
    metavar="ROLE:TEXT",
    help="A message at the start of the prompt; may be repeated, in order. At entry "
    "hosts of a platform NAME:TOKENS, a block of the prompt.",
)
@host_options
@json_option
@report_errors
@with_client
async def where(
    client, route, prompt_tokens, max_tokens, customer, tier, prefix, as_json
):
    """Show where a request for ROUTE would go now, and why, without sending it.

    ROUTE is the name of a model, or method and path of a call to a plain service, such
    as "GET /services/halls/free"; at entry hosts of a platform, the name of a route.
    """
    _check_texts(route=route, customer=customer, tier=tier, prefix="".join(prefix))
    for name, text in (("route", route), ("customer", customer), ("tier", tier)):
        if len(text) > MAX_NAME_CHARACTERS:
            limit = f"at most {MAX_NAME_CHARACTERS} characters"
            raise SettingError(f"{name}: has {len(text)} characters; allowed: {limit}")
    if len(prefix) > MAX_PREFIX_PARTS:
        raise SettingError(
            f"prefix: has {len(prefix)} parts; allowed: at most {MAX_PREFIX_PARTS}"
        )
    body = PlacementRequestBody(
        route=route,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        customer=customer,
        tier=tier,
        prefix=prefix,
    )
    view = await client.where(body)
    print_output(view, as_json, describe_placement(view))


def _check_texts(**texts):
    """Refuse texts that cannot be sent: arguments may hold bytes that are no UTF-8."""
    for name, text in texts.items():
        try:
            text.encode()
        except UnicodeEncodeError:
            raise SettingError(f"{name}: is {text!r}; allowed: UTF-8") from None


def describe_placement(view):
    """Return the readable text of a ``PlacementView``.

    Parameters
    ==========
    view : PlacementView
    """
    described = f"{view.route}, pool {view.pool}, tier {view.tier}"
    if view.customer:
        described += f", customer {view.customer}"
    described += f", {view.prompt_tokens} + {view.output_tokens} tokens"
    lines = [described, f"home: {view.home or '-'}", _describe_outcome(view)]
    if view.candidates:
        rows = [msgspec.to_builtins(item) for item in view.candidates]
        lines += ["", format_table(rows)]
    if view.omitted:
        lines.append(f"and {view.omitted} more")
    return "\n".join(lines)


def _describe_outcome(view):
    if view.outcome == GRANTED:
        text = f"GRANTED: {view.upstream} ({view.version})"
        if view.first_token_ms:
            text += f", first token expected in {view.first_token_ms} ms"
        return text
    wait = f"{view.ahead} requests ahead, expected wait {view.expected_wait_ms} ms"
    if view.outcome == QUEUED:
        return f"QUEUED: {wait}"
    reason = view.reason or _meaning(view.code)
    text = f"REFUSED: {view.code} {view.code_name}: {reason}"
    return f"{text}\nretry after {view.retry_after_ms} ms; {wait}"


def _meaning(code):
    """Return the meaning of a result code; empty if this release does not know it."""
    try:
        return RESULTS[ResultCode(code)].meaning
    except ValueError:
        return ""
