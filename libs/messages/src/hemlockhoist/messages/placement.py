"""Messages by which an operator's query reaches the home of a pool.

Outcomes and reasons are texts, so that a later release may add some.
"""

import msgspec

from hemlockhoist.messages.codes import code_of
from hemlockhoist.messages.grants import RequestBrief


class CandidateReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a home expects of a request at one upstream.

    Parameters
    ==========
    upstream_id, version, failure_domain, region : str
    first_token_ms : int or None
        Expected time to the first token; None where the upstream gets no work at all.
    cost_ms : int or None
        The time by which the home compares upstreams.
    exclusion : str
        Why the request is not sent there now; empty if it may be.
    """

    upstream_id: str
    version: str
    failure_domain: str = ""
    region: str = ""
    first_token_ms: int | None = None
    cost_ms: int | None = None
    exclusion: str = ""


class PlacementReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a home would answer to a request that was not sent.

    Parameters
    ==========
    outcome : str
        ``granted``, ``queued`` or ``refused``.
    upstream_id, version : str
        The chosen upstream; empty unless the request would be granted.
    code : int
        Result code of a refusal; 0 otherwise.
    reason : str
        The figures behind a refusal before the scheduler.
    retry_after_ms : int
        Of a refusal.
    ahead_count : int
        Waiting requests that are served before it.
    wait_ms : int
        Expected wait for a slot by the queued work ahead of it.
    candidates : tuple of CandidateReport
        The chosen one first, then those it may be sent to, the best first.
    omitted_count : int
        Number of further upstreams.
    """

    outcome: str
    upstream_id: str = ""
    version: str = ""
    code: int = 0
    reason: str = ""
    retry_after_ms: int = 0
    ahead_count: int = 0
    wait_ms: int = 0
    candidates: tuple[CandidateReport, ...] = ()
    omitted_count: int = 0


class PlacementQuery(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks a pool's home what it would answer to a request that is not sent."""

    pool: str
    query_id: str
    brief: RequestBrief


class PlacementReply(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Answer to ``PlacementQuery``.

    ``code`` is a result code other than 0 if the host does not answer the query, and
    ``retry_after_ms`` the time after which it may.
    """

    query_id: str
    code: int = 0
    retry_after_ms: int = 0
    report: PlacementReport | None = None
