import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.declarations import IdempotentCall, Pool, PoolKind

POOL = Pool(
    name="labels",
    kind=PoolKind.SERVICE,
    stable_version="v1",
    idempotent_calls=(
        IdempotentCall(method="GET", path="/labels"),
        IdempotentCall(method="POST", path="/search/"),
    ),
)


class IdempotentCallTests(unittest.TestCase):
    def test_prefixes_are_whole_segments(self):
        """A path covers itself and paths below it, but not a longer segment."""
        for path in ("/labels", "/labels/", "/labels/7", "/labels/7.json"):
            self.assertTrue(POOL.is_idempotent("GET", path), path)
        self.assertTrue(POOL.is_idempotent("POST", "/search/x"))
        for path in ("/labels-issue", "/label", "/", "", "/x/labels"):
            self.assertFalse(POOL.is_idempotent("GET", path), path)

    def test_paths_that_may_resolve_to_others(self):
        """Guards against issuing a second label by a retry.

        A path begins like a lookup and, with its dot segments resolved, issues a label.
        If it were treated as a lookup, it would run without an idempotency key. It is
        non-idempotent.
        """
        for tail in (
            "/../issue",
            "/./issue",
            "/%2e%2E/issue",
            "/.%2e/issue",
            "//issue",
            "/%2f../issue",
            "/..%2fissue",
            "/%252e%252e/issue",
            "/\\issue",
            "/%5cissue",
            "/..",
        ):
            self.assertFalse(POOL.is_idempotent("GET", "/labels" + tail), tail)

    def test_a_root_covers_all(self):
        """The path "/" covers all paths."""
        call = IdempotentCall(method="GET")
        self.assertTrue(call.covers("/"))
        self.assertTrue(call.covers("/a/b"))

    @given(st.text(alphabet="ab./%2eE\\", max_size=12))
    def test_idempotent_paths_have_no_dot_segments(self, tail):
        """For any tail, a path treated as a lookup resolves to itself."""
        path = "/labels/" + tail
        if POOL.is_idempotent("GET", path):
            segments = path.lower().replace("%2e", ".").split("/")
            self.assertFalse({".", ".."} & set(segments))
