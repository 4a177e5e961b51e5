"""A grant as its entry host holds it, and its form in messages."""

import msgspec

from hemlockhoist.decisions import Outcome, OutcomeKind
from hemlockhoist.messages import (
    NO_LIMIT,
    GrantRelease,
    HeldGrant,
    RequestBrief,
    UpstreamSignals,
)

NO_SIGNALS = UpstreamSignals()
_NOT_SENT = Outcome(kind=OutcomeKind.NOT_SENT)


class GrantHold(msgspec.Struct, frozen=True, kw_only=True):
    """A grant held by an entry host, with times on that host's clock.

    ``home`` is the host that issued it. ``is_alone`` marks a grant by the entry host's
    own standby home, ``is_cold`` one to an upstream that the home knew to be cold, and
    ``is_limited`` one to an upstream that advertised a limit, or that it is brittle.
    """

    pool: str
    brief: RequestBrief
    grant_id: str
    upstream_id: str
    address: str
    version: str
    expires_ms: int
    home: str = ""
    is_alone: bool = False
    is_cold: bool = False
    is_limited: bool = False


def signals_for_home(hold, signals):
    """Return what the home is to be told of an answer's signals, or None.

    An answer without a limit is news only if its grant was issued under one: then the
    upstream has withdrawn it. Answers to other grants may have begun before the
    upstream advertised the limit.
    """
    if signals is None:
        return None
    if not hold.is_limited:
        if signals.limit_per_s == NO_LIMIT:
            signals = msgspec.structs.replace(signals, limit_per_s=None)
        if signals.rejections_per_s == NO_LIMIT:
            signals = msgspec.structs.replace(signals, rejections_per_s=None)
    return None if signals == NO_SIGNALS else signals


def held_grant_message(hold):
    """Return the ``HeldGrant`` that reports a grant to a new home."""
    return HeldGrant(
        brief=hold.brief,
        grant_id=hold.grant_id,
        upstream_id=hold.upstream_id,
        address=hold.address,
        version=hold.version,
    )


def hold_from_reply(message, home):
    """Return the hold of a grant that no request waits for any more."""
    brief = RequestBrief(
        request_id=message.request_id,
        route="",
        customer="",
        tier_rank=0,
        deadline_in_ms=0,
        first_token_in_ms=0,
    )
    return GrantHold(
        pool=message.pool,
        brief=brief,
        grant_id=message.grant_id,
        upstream_id=message.upstream_id,
        address=message.address,
        version=message.version,
        expires_ms=0,
        home=home,
    )


def release_message(hold, kind, outcome, signals):
    """Return the message that releases a grant.

    Parameters
    ==========
    hold : GrantHold
    kind : str
        The value of an ``OutcomeKind``.
    outcome : hemlockhoist.decisions.Outcome or None
        None if nothing was sent under the grant.
    signals : UpstreamSignals or None
    """
    outcome = outcome or _NOT_SENT
    return GrantRelease(
        pool=hold.pool,
        request_id=hold.brief.request_id,
        grant_id=hold.grant_id,
        outcome=kind,
        first_token_ms=outcome.first_token_ms,
        total_ms=outcome.total_ms,
        output_tokens=outcome.output_tokens,
        cached_tokens=outcome.cached_tokens,
        token_us=outcome.token_us,
        signals=signals,
        relay=outcome.relay,
        is_crash_suspect=outcome.is_crash_suspect,
        is_upstream_lost=outcome.is_upstream_lost,
        is_answered=outcome.is_answered,
        is_overtaken=outcome.is_overtaken,
        is_continued=outcome.is_continued,
        is_misdirected=outcome.is_misdirected,
        is_not_run=outcome.is_not_run,
    )
