import json
import string
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import BadRequest
from hemlockhoist.declarations import (
    Customer,
    Declarations,
    IdempotentCall,
    Pool,
    PoolKind,
    Tier,
)
from hemlockhoist.host.chat import ROUTE
from hemlockhoist.host.completions import parse_chat, prefix_hashes
from hemlockhoist.host.where import DescribedRequest
from hemlockhoist.host.where_messages import PlacementRequestBody, PlacementView
from hemlockhoist.messages import CandidateReport, PlacementReport

DECLARATIONS = Declarations(
    tiers=(
        Tier(name="low", rank=2, deadline_ms=9_000, first_token_target_ms=900),
        Tier(name="high", rank=0, deadline_ms=7_000, first_token_target_ms=700),
        Tier(name="middle", rank=1, deadline_ms=8_000, first_token_target_ms=800),
    ),
    customers=(
        Customer(name="aulas", highest_tier="middle", max_in_flight=5, weight=3),
    ),
    pools=(
        Pool(name="assistant", kind=PoolKind.MODEL, stable_version="v1"),
        Pool(
            name="halls",
            kind=PoolKind.SERVICE,
            stable_version="v1",
            idempotent_calls=(IdempotentCall(method="GET", path="/free"),),
        ),
    ),
)


def described(route="assistant", **fields):
    return DescribedRequest(PlacementRequestBody(route=route, **fields), DECLARATIONS)


class DescribedRequestTests(unittest.TestCase):
    def faults(self, **fields):
        with self.assertRaises(BadRequest) as caught:
            described(**fields)
        return caught.exception.message

    def test_request_is_described_as_a_caller_s(self):
        """Guards against an answer about another request than the one asked about."""
        brief = described(customer="aulas", max_tokens=9).brief("q", "domain-a")
        self.assertEqual((brief.route, brief.customer), (ROUTE, "aulas"))
        self.assertEqual((brief.weight, brief.max_in_flight), (3, 5))
        self.assertEqual((brief.tier_rank, brief.deadline_in_ms), (1, 8_000))
        self.assertEqual((brief.first_token_in_ms, brief.output_tokens), (800, 9))
        self.assertEqual(brief.failure_domain, "domain-a")
        self.assertTrue(brief.idempotent)
        self.assertEqual(described().tier.name, "high")
        self.assertEqual(described(customer="aulas", tier="low").tier.name, "low")

    def test_calls_of_services_have_their_route_and_kind(self):
        free = described("GET /services/halls/free/7").brief("q", "")
        self.assertEqual(free.route, "GET /services/halls/free")
        self.assertTrue(free.idempotent)
        booking = described("POST /services/halls/bookings").brief("q", "")
        self.assertFalse(booking.idempotent)
        self.assertEqual(booking.output_tokens, 0)

    def test_prefix_hashes_are_those_of_the_prompt(self):
        """Guards against a prefix that is cached under other hashes."""
        text = "long " * 400
        body = {"model": "assistant", "messages": [{"role": "system", "content": text}]}
        chat = parse_chat(json.dumps(body).encode())
        found = described(prefix=(f"system:{text}",))
        brief = found.brief("q", "")
        self.assertEqual(brief.prefix_hashes, prefix_hashes(chat.prompt_bytes()))
        self.assertGreater(len(brief.prefix_hashes), 5)
        self.assertEqual(brief.prompt_tokens, len(chat.prompt_bytes()) // 4)
        self.assertTrue(brief.parts)

    def test_all_faults_are_named_with_allowed_values(self):
        """Guards against an operator who mends one fault after the other."""
        text = self.faults(route="nope", customer="none", tier="x", prefix=("a",))
        for part in (
            "route: is 'nope'; allowed: assistant, METHOD /services/halls/PATH",
            "customer: is 'none'; allowed: aulas",
            "tier: is 'x'; allowed: high, middle, low",
            "prefix: is 'a'; allowed: ROLE:TEXT",
        ):
            self.assertIn(part, text)
        self.assertIn(
            "allowed: middle, low", self.faults(customer="aulas", tier="high")
        )
        self.assertIn("route", self.faults(route="halls"))
        self.assertIn("route", self.faults(route="GET /services/assistant/"))
        service = "GET /services/halls/"
        self.assertIn("only for a model", self.faults(route=service, prompt_tokens=5))
        too_short = self.faults(prefix=("system:" + "x" * 100,), prompt_tokens=3)
        self.assertIn("prompt_tokens: is 3; allowed: at least the 26", too_short)

    @given(
        st.one_of(
            st.sampled_from(["assistant", "GET /services/halls/free"]),
            st.text(max_size=20),
            st.text(string.printable, max_size=12).map(lambda t: "GET /services/" + t),
        ),
        st.one_of(st.just("aulas"), st.text(max_size=5)),
        st.one_of(st.just("low"), st.text(max_size=5)),
        st.none() | st.integers(0, 1_000_000),
        st.none() | st.integers(0, 1_000_000),
        st.lists(
            st.text(max_size=9).map(lambda t: "user:" + t) | st.text(), max_size=3
        ),
    )
    def test_any_body_is_described_or_a_fault(
        self, route, customer, tier, prompt_tokens, max_tokens, prefix
    ):
        """Guards against an internal error for what an operator may type."""
        fields = {"customer": customer, "tier": tier, "prefix": tuple(prefix)}
        fields |= {"prompt_tokens": prompt_tokens, "max_tokens": max_tokens}
        try:
            body = PlacementRequestBody(route=route, **fields)
            sent = msgspec.json.decode(
                msgspec.json.encode(body), type=PlacementRequestBody
            )
        except (UnicodeEncodeError, msgspec.ValidationError):
            return
        try:
            request = DescribedRequest(sent, DECLARATIONS)
        except BadRequest as error:
            self.assertIn("; allowed: ", error.message)
            return
        brief = request.brief("q", "")
        self.assertGreaterEqual(brief.prompt_tokens, 0)
        msgspec.msgpack.encode(brief)

    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_any_body_is_decoded_or_invalid(self, body):
        """Guards against an internal error for an arbitrary body."""
        for text in (body, b'{"route": "a", "max_tokens": ' + body + b"}"):
            try:
                msgspec.json.decode(text, type=PlacementRequestBody)
            except (msgspec.MsgspecError, UnicodeError):
                continue

    def test_figures_out_of_range_are_invalid(self):
        for field in ("prompt_tokens", "max_tokens"):
            for value in (-1, 1_000_001, "7", 1.5):
                body = msgspec.json.encode({"route": "assistant", field: value})
                with self.assertRaises(msgspec.ValidationError):
                    msgspec.json.decode(body, type=PlacementRequestBody)

    def test_view_has_names_for_all_figures(self):
        candidate = CandidateReport(upstream_id="u", version="v1", first_token_ms=7)
        report = PlacementReport(
            outcome="refused", code=200, retry_after_ms=5, candidates=(candidate,)
        )
        view = described().view("home", report)
        self.assertEqual((view.code_name, view.home), ("overloaded", "home"))
        self.assertEqual(view.candidates[0].first_token_ms, 7)
        later = described().view(
            "home", PlacementReport(outcome="refused", code=77_777)
        )
        self.assertEqual(later.code_name, "")
        text = msgspec.json.encode(view)
        self.assertEqual(msgspec.json.decode(text, type=PlacementView), view)
