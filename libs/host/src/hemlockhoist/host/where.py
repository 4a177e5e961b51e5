"""The request that a placement query describes, and the view of the home's report."""

import re

from hemlockhoist.base import BadRequest, ResultCode
from hemlockhoist.decisions.quarantine import part_hashes
from hemlockhoist.declarations import PoolKind
from hemlockhoist.host import chat, services
from hemlockhoist.host.completions import (
    ChatMessage,
    ChatRequest,
    prefix_hashes,
    prompt_tokens,
)
from hemlockhoist.host.where_messages import CandidateView, PlacementView
from hemlockhoist.messages import RequestBrief

_CALL = re.compile(r"([A-Z]{1,20}) /services/([^/\s]+)(/\S*)?\Z")
# Weight and limit of a request without a customer.
_NO_CUSTOMER = {"weight": 1, "max_in_flight": 1_000_000}


class DescribedRequest:
    """The request that a ``PlacementRequestBody`` describes, by the declarations in force.

    Parameters
    ==========
    body : PlacementRequestBody
    declarations : hemlockhoist.declarations.Declarations

    Raises
    ======
    BadRequest
        With all faults of the body.
    """

    __slots__ = (
        "_body",
        "_customer",
        "_faults",
        "_idempotent",
        "_prompt",
        "output_tokens",
        "pool",
        "prompt_tokens",
        "route",
        "tier",
    )

    def __init__(self, body, declarations):
        self._body = body
        self._faults = []
        self._set_route(body.route, declarations)
        self._set_tier(body, declarations)
        self._set_prompt(body)
        self._set_tokens(body)
        if self._faults:
            raise BadRequest("\n".join(self._faults))

    def _set_route(self, text, declarations):
        match = _CALL.match(text)
        self.pool = declarations.pool(match.group(2) if match else text)
        is_model = self.pool is not None and self.pool.kind is PoolKind.MODEL
        if self.pool is None or is_model is bool(match):
            allowed = ", ".join(_route_names(declarations)) or "none declared"
            self._add_fault("route", text, allowed)
            self.pool = None
        elif match:
            method, path = match.group(1), match.group(3) or "/"
            self.route = services.route_label(self.pool, method, path)
            self._idempotent = self.pool.is_idempotent(method, path)
        else:
            self.route, self._idempotent = chat.ROUTE, True

    def _set_tier(self, body, declarations):
        customer = self._customer = declarations.customer(body.customer)
        if customer is None and body.customer:
            names = (item.name for item in declarations.customers)
            self._add_fault("customer", body.customer, ", ".join(names))
        ranked = sorted(declarations.tiers, key=lambda tier: tier.rank)
        if customer is not None:
            highest = declarations.tier(customer.highest_tier)
            ranked = [tier for tier in ranked if tier.rank >= highest.rank]
        named = [tier for tier in ranked if body.tier in ("", tier.name)]
        if not named:
            names = ", ".join(tier.name for tier in ranked) or "none declared"
            self._add_fault("tier", body.tier, names)
        self.tier = named[0] if named else None

    def _set_prompt(self, body):
        messages = []
        for part in body.prefix:
            role, colon, content = part.partition(":")
            if not colon:
                self._add_fault("prefix", part, "ROLE:TEXT")
            messages.append(ChatMessage(role=role, content=content))
        self._prompt = ChatRequest(model="", messages=messages)

    def _set_tokens(self, body):
        self.prompt_tokens = self.output_tokens = 0
        if self.pool is None:
            return
        if self.pool.kind is PoolKind.MODEL:
            self._set_model_tokens(body)
        else:
            self._check_no_tokens(body)

    def _set_model_tokens(self, body):
        estimated = prompt_tokens(self._prompt.prompt_bytes())
        given = body.prompt_tokens
        self.prompt_tokens = estimated if given is None else given
        if body.prefix and self.prompt_tokens < estimated:
            allowed = f"at least the {estimated} of the prefix"
            self._add_fault("prompt_tokens", given, allowed)
        self.output_tokens = self.pool.expected_output_tokens
        if body.max_tokens is not None:
            self.output_tokens = body.max_tokens

    def _check_no_tokens(self, body):
        for name in ("prompt_tokens", "max_tokens", "prefix"):
            if getattr(body, name):
                self._add_fault(name, getattr(body, name), "only for a model")

    def _add_fault(self, name, value, allowed):
        self._faults.append(f"{name}: is {value!r}; allowed: {allowed}")

    def brief(self, request_id, failure_domain):
        """Return the description for the pool's home, as of a request that just came.

        Parameters
        ==========
        request_id : str
            Of the query; no other request may have it.
        failure_domain : str
            Of the entry host.
        """
        customer, tier = self._customer, self.tier
        limits = _NO_CUSTOMER
        if customer is not None:
            limits = {
                "weight": customer.weight,
                "max_in_flight": customer.max_in_flight,
            }
        return RequestBrief(
            request_id=request_id,
            route=self.route,
            customer=self._body.customer,
            tier_rank=tier.rank,
            idempotent=self._idempotent,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            prefix_hashes=prefix_hashes(self._prompt.prompt_bytes()),
            deadline_in_ms=tier.deadline_ms,
            first_token_in_ms=tier.first_token_target_ms,
            failure_domain=failure_domain,
            parts=part_hashes(self._prompt.part_names()),
            **limits,
        )

    def view(self, home, report):
        """Return the ``PlacementView`` of a home's report.

        Parameters
        ==========
        home : str
        report : PlacementReport
        """
        return placement_view(
            home,
            report,
            route=self.route,
            pool=self.pool.name,
            customer=self._body.customer,
            tier=self.tier.name,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
        )


def placement_view(home, report, **described):
    """Return the ``PlacementView`` of a home's report.

    Parameters
    ==========
    home : str
    report : PlacementReport
    **described
        The fields that describe the request.
    """
    chosen = {c.upstream_id: c.first_token_ms for c in report.candidates}
    return PlacementView(
        home=home,
        outcome=report.outcome,
        upstream=report.upstream_id,
        version=report.version,
        first_token_ms=chosen.get(report.upstream_id),
        ahead=report.ahead_count,
        expected_wait_ms=report.wait_ms,
        code=report.code,
        code_name=_code_name(report.code),
        reason=report.reason,
        retry_after_ms=report.retry_after_ms,
        candidates=tuple(_candidate_view(item) for item in report.candidates),
        omitted=report.omitted_count,
        **described,
    )


def _route_names(declarations):
    for pool in declarations.pools:
        is_model = pool.kind is PoolKind.MODEL
        yield pool.name if is_model else f"METHOD /services/{pool.name}/PATH"


def _code_name(code):
    """Return the name of a result code; empty for none or for one that is unknown."""
    try:
        return ResultCode(code).name.lower() if code else ""
    except ValueError:
        return ""


def _candidate_view(report):
    return CandidateView(
        upstream=report.upstream_id,
        version=report.version,
        failure_domain=report.failure_domain,
        region=report.region,
        first_token_ms=report.first_token_ms,
        cost_ms=report.cost_ms,
        excluded=report.exclusion,
    )
