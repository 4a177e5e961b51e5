import types
import unittest
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import BadRequest, ResultCode, SettingError
from hemlockhoist.decisions.entry import PoolChooser
from hemlockhoist.declarations import CallKind, PoolShare, RouteTable
from hemlockhoist.entry.admission import Admission
from hemlockhoist.entry.environment import OPERATOR_KEY_VARIABLE, read_operator_key
from hemlockhoist.entry.request_grants import RequestGrants
from hemlockhoist.entry.tests.builders import KEY, call, customer, route, table
from hemlockhoist.entry.where import described_brief, described_call
from hemlockhoist.host.where_messages import MAX_TOKENS, PlacementRequestBody

SHARES = (PoolShare(pool="small", weight=1), PoolShare(pool="large", weight=3))
TABLE = table(
    routes=[
        route(regions=("north", "south"), rank=2, max_gap_ms=40),
        route("book", kind=CallKind.NON_IDEMPOTENT, caller_wait_limit_ms=200),
        route("split", shares=SHARES),
        route("open", allows_anonymous=True),
    ],
    customers=[customer(units_per_s=5, regions=("north",), rank=1)],
)
words = st.text(max_size=8)


def described(name="check", **fields):
    return described_call(PlacementRequestBody(route=name, **fields), TABLE)


class DescribedCallTests(unittest.TestCase):
    @given(
        st.sampled_from(["check", "book", "split", "open"]),
        st.none() | st.integers(500, 9_000),
        st.none() | st.integers(0, 900),
        st.lists(st.integers(0, 120), max_size=4),
    )
    def test_brief_is_that_of_a_caller_s_request(
        self, name, prompt_tokens, max_tokens, blocks
    ):
        """Guards against an answer about another request than the one asked about."""
        admitted = described(
            name,
            customer="aulas",
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            prefix=tuple(f"block-{n}:{count}" for n, count in enumerate(blocks)),
        )
        context = types.SimpleNamespace(
            identity=types.SimpleNamespace(failure_domain="a", incarnation="i"),
            traces=types.SimpleNamespace(context_for_peer=lambda: ""),
        )
        grants = RequestGrants(context, admitted, lambda: admitted.waits_until_ms)
        grants._request_count = 1
        with (
            mock.patch.object(grants.__class__, "_unreachable_upstreams", lambda _: ()),
            mock.patch.object(grants.__class__, "_connected", lambda _: ()),
        ):
            expected = grants._brief(0)
        brief = described_brief(admitted, expected.request_id, "a")
        self.assertEqual(brief, expected)

    def test_defaults_follow_from_route_and_customer(self):
        admitted = described(customer="aulas", prefix=("a:30", "b:12"))
        brief = described_brief(admitted, "q", "a")
        self.assertEqual(brief.regions, ("north",))
        self.assertEqual((brief.tier_rank, brief.units), (1_002, 1))
        self.assertEqual(brief.prefix_tokens, (30, 12))
        self.assertEqual(brief.prompt_tokens, 42)
        self.assertEqual(
            described_brief(described("book", customer="aulas"), "q", "a").max_wait_ms,
            200,
        )
        self.assertEqual(described("split", customer="aulas").pool, "large")

    @given(words, words, words, st.lists(words | words.map("a:".__add__), max_size=3))
    def test_any_body_is_described_or_a_fault(self, name, customer_name, tier, prefix):
        """Guards against an internal error for what an operator may type."""
        fields = {"customer": customer_name, "tier": tier, "prefix": tuple(prefix)}
        for route_name in ("check", "open", name):
            try:
                admitted = described(route_name, **fields)
            except BadRequest as error:
                self.assertIn("; allowed: ", error.message)
            else:
                msgspec.msgpack.encode(described_brief(admitted, "q", "a"))

    def test_customer_is_taken_as_admission_takes_it(self):
        """Guards against an answer for a request that would not be admitted.

        Without a key, a real request is refused with ``UNKNOWN_KEY``. Where none is
        needed, a key that is sent has no effect.
        """
        store_view = types.SimpleNamespace(
            routes=TABLE,
            check_complete=lambda: None,
            check_fresh=lambda: None,
            check_final=lambda: None,
        )
        admission = Admission(store_view, PoolChooser())
        for name in ("check", "open"):
            for key, customer_name in (("", ""), (KEY, "aulas")):
                with self.subTest(route=name, customer=customer_name):
                    caller = call(f"/{name}/7", key=key)
                    try:
                        expected = admission.admit(caller, 0)
                    except BadRequest as error:
                        self.assertIs(error.code, ResultCode.UNKNOWN_KEY)
                        with self.assertRaisesRegex(
                            BadRequest, "customer: is ''; allowed: aulas"
                        ):
                            described(name, customer=customer_name)
                    else:
                        found = described(name, customer=customer_name)
                        self.assertEqual(found.customer, expected.customer)

    def test_unknown_customer_is_a_fault_also_where_none_is_needed(self):
        with self.assertRaisesRegex(BadRequest, "customer: is 'x'"):
            described("open", customer="x")

    def test_prefix_of_too_many_tokens_is_a_fault(self):
        """Guards against a prompt of 64 million tokens, longer than any that is sent."""
        most = (f"a:{MAX_TOKENS - 1}", "b:1")
        admitted = described("open", prefix=most)
        self.assertEqual(admitted.call.prompt_tokens, MAX_TOKENS)
        with self.assertRaisesRegex(BadRequest, f"prefix: .* up to {MAX_TOKENS}"):
            described("open", prefix=(*most, "c:1"))

    def test_long_lists_of_names_are_cut(self):
        """Guards against an error of thousands of names."""
        routes = [route(f"r{number:03}") for number in range(50)]
        with self.assertRaises(BadRequest) as caught:
            described_call(PlacementRequestBody(route="x"), RouteTable(1, routes))
        self.assertIn("r009 and 40 more", caught.exception.message)


class OperatorKeyTests(unittest.TestCase):
    def test_key_is_read_and_never_shown(self):
        key = "operator-key-of-the-test"
        self.assertEqual(read_operator_key({}), "")
        self.assertEqual(read_operator_key({OPERATOR_KEY_VARIABLE: key}), key)
        for text in ("short", "@/no/such/file"):
            with self.assertRaises(SettingError) as caught:
                read_operator_key({OPERATOR_KEY_VARIABLE: text})
            self.assertIn(f"{OPERATOR_KEY_VARIABLE}: is ***", caught.exception.message)
            self.assertNotIn(text, caught.exception.message)
