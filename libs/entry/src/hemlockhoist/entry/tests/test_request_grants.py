import types
import unittest

from hemlockhoist.declarations import CallKind
from hemlockhoist.entry.request_grants import RequestGrants
from hemlockhoist.entry.tests.builders import route, table
from hemlockhoist.entry.where import described_call
from hemlockhoist.host.where_messages import PlacementRequestBody
from hemlockhoist.host.work_requests import work_request


class BriefTests(unittest.TestCase):
    def test_home_learns_which_requests_are_streams(self):
        """Guards against whole answers that are expected as early as first tokens."""
        links = types.SimpleNamespace(is_pool_lost=lambda _: True)
        context = types.SimpleNamespace(
            identity=types.SimpleNamespace(failure_domain="a", incarnation="i"),
            traces=types.SimpleNamespace(context_for_peer=lambda: ""),
            upstreams=types.SimpleNamespace(links=links, connected=lambda _: ()),
        )
        for kind in CallKind:
            admitted = described_call(
                PlacementRequestBody(route="check", customer="aulas"),
                table(routes=[route(kind=kind)]),
            )
            grants = RequestGrants(context, admitted, lambda: 1_000)
            request = work_request(grants._brief(0), "h1", 0)
            self.assertEqual(request.is_stream, kind is CallKind.STREAM)


if __name__ == "__main__":
    unittest.main()
