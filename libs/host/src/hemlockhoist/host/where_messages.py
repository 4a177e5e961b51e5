"""Operator query: to which upstream a request would be assigned. Its JSON."""

from typing import Annotated

import msgspec

WHERE_PATH = "/-/where"
# Bounds on what a query names; as those of callers' requests.
MAX_TOKENS = 1_000_000
MAX_PREFIX_PARTS = 64
MAX_NAME_CHARACTERS = 500

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
_Prefix = Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_PREFIX_PARTS)]


class PlacementRequestBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``POST /-/where``: a request that is not sent.

    Parameters
    ==========
    route : str
        The name of a model, or method and path of a call to a plain service, such as
        ``GET /services/halls/free``. At entry hosts of a platform, the name of a route.
    prompt_tokens : int or None
        By default estimated from ``prefix``.
    max_tokens : int or None
        Output tokens; by default those that the pool declares.
    customer : str
        By default none, so that no limit of a customer applies.
    tier : str
        By default the highest one that the customer may request. Not at entry hosts
        of a platform, where customer and route decide it.
    prefix : tuple of str
        The first messages of the prompt, each as ``ROLE:TEXT``. At entry hosts of a
        platform the first blocks of the prompt, each as ``NAME:TOKENS``.
    """

    route: _Name
    prompt_tokens: _Tokens | None = None
    max_tokens: _Tokens | None = None
    customer: _Name = ""
    tier: _Name = ""
    prefix: _Prefix = ()


class CandidateView(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream in a ``PlacementView``; fields as of ``CandidateReport``."""

    upstream: str
    version: str
    failure_domain: str
    region: str
    first_token_ms: int | None
    cost_ms: int | None
    excluded: str


class PlacementView(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``POST /-/where``.

    Parameters
    ==========
    route, pool, customer, tier : str
    prompt_tokens, output_tokens : int
        Of the request, with the defaults applied.
    home : str
        Peer address of the pool's home.
    outcome : str
        ``granted``, ``queued`` or ``refused``.
    upstream, version : str
        The chosen upstream, if the request would be granted.
    first_token_ms : int or None
        Time to the first token that is expected there.
    ahead : int
        Waiting requests that are served before it; for a refused request all of its
        tier and of those above.
    expected_wait_ms : int
        Wait for a slot by the queued work ahead of it.
    code : int
        Result code of a refusal; 0 otherwise.
    code_name, reason : str
    retry_after_ms : int
    candidates : tuple of CandidateView
    omitted : int
        Number of upstreams that are not listed.
    """

    route: str
    pool: str
    customer: str
    tier: str
    prompt_tokens: int
    output_tokens: int
    home: str
    outcome: str
    upstream: str = ""
    version: str = ""
    first_token_ms: int | None = None
    ahead: int = 0
    expected_wait_ms: int = 0
    code: int = 0
    code_name: str = ""
    reason: str = ""
    retry_after_ms: int = 0
    candidates: tuple[CandidateView, ...] = ()
    omitted: int = 0
