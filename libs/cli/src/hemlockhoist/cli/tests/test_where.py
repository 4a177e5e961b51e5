import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockhoist.base import HemlockhoistError, ResultCode
from hemlockhoist.cli.exit_codes import ExitCode
from hemlockhoist.cli.tests.fake_host import FakeHost
from hemlockhoist.cli.tests.test_commands import CommandTestCase
from hemlockhoist.cli.where import describe_placement
from hemlockhoist.host.where_messages import (
    CandidateView,
    PlacementRequestBody,
    PlacementView,
)

CHOSEN = CandidateView(
    upstream="e-1",
    version="v1",
    failure_domain="a",
    region="north",
    first_token_ms=120,
    cost_ms=140,
    excluded="",
)
FULL = msgspec.structs.replace(CHOSEN, upstream="e-2", excluded="full")
GRANTED = PlacementView(
    route="POST /v1/chat/completions",
    pool="assistant",
    customer="aulas",
    tier="standard",
    prompt_tokens=40,
    output_tokens=8,
    home="127.0.0.1:9",
    outcome="granted",
    upstream="e-1",
    version="v1",
    first_token_ms=120,
    candidates=(CHOSEN, FULL),
    omitted=3,
)
QUEUED = msgspec.structs.replace(
    GRANTED, outcome="queued", upstream="", version="", ahead=4, expected_wait_ms=250
)
REFUSED = msgspec.structs.replace(
    QUEUED,
    outcome="refused",
    code=200,
    code_name="overloaded",
    retry_after_ms=900,
)
words = st.text(max_size=10)
numbers = st.one_of(st.integers(-5, 2_000_000).map(str), words)


class WhereCommandTests(CommandTestCase):
    def setUp(self):
        self.host = FakeHost()
        self.host.start()
        self.addCleanup(self.host.close)

    def where(self, *arguments, answer=GRANTED):
        self.host.placement = answer
        variables = {"HEMLOCKHOIST_HOST": self.host.address}
        return self.run_command("where", *arguments, variables=variables)

    def test_options_are_sent_as_given(self):
        """Guards against an option that the host never sees."""
        options = ("--prompt-tokens", 40, "--max-tokens", 8, "--customer", "aulas")
        options += ("--tier", "standard", "--prefix", "system:a", "--prefix", "user:b")
        result = self.where("assistant", *options, "--json")
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        shown = msgspec.json.decode(result.stdout, type=PlacementView, strict=True)
        self.assertEqual(shown, GRANTED)
        expected = PlacementRequestBody(
            route="assistant",
            prompt_tokens=40,
            max_tokens=8,
            customer="aulas",
            tier="standard",
            prefix=("system:a", "user:b"),
        )
        self.assertEqual(self.host.placement_requests, [expected])

    def test_text_names_outcome_and_candidates(self):
        text = self.where("assistant").stdout
        self.assertIn("GRANTED: e-1 (v1), first token expected in 120 ms", text)
        self.assertRegex(text, r"e-2 +v1 +a +north +120 +140 +full")
        self.assertIn("and 3 more", text)
        text = self.where("assistant", answer=QUEUED).stdout
        self.assertIn("QUEUED: 4 requests ahead, expected wait 250 ms", text)
        result = self.where("assistant", answer=REFUSED)
        self.assertEqual(result.exit_code, ExitCode.OK)
        self.assertIn("REFUSED: 200 overloaded: No place", result.stdout)
        self.assertIn("retry after 900 ms; 4 requests ahead", result.stdout)

    def test_code_of_a_later_release_is_shown(self):
        later = msgspec.structs.replace(REFUSED, code=999, code_name="new")
        self.assertIn("REFUSED: 999 new", describe_placement(later))

    def test_errors_have_the_exit_codes_of_other_commands(self):
        """Guards against a query that is taken for a change of unknown outcome."""
        for code, exit_code in (
            (ResultCode.HOME_UNREACHABLE, ExitCode.UNREACHABLE),
            (ResultCode.QUERY_TOO_FREQUENT, ExitCode.REFUSED),
            (ResultCode.MALFORMED_BODY, ExitCode.INVALID),
        ):
            result = self.where("assistant", answer=HemlockhoistError("x", code))
            self.assertEqual(result.exit_code, exit_code, result.output)
            self.assertIn(f"error {int(code)}", result.stderr)
        self.host.drop_connection = True
        result = self.where("assistant")
        self.assertEqual(result.exit_code, ExitCode.UNREACHABLE, result.output)

    @settings(max_examples=60)
    @given(words, numbers, numbers, words, words, st.lists(words, max_size=3))
    def test_any_options_are_sent_or_named_as_invalid(
        self, route, prompt_tokens, max_tokens, customer, tier, prefix
    ):
        """Guards against a traceback for what an operator may type."""
        arguments = [f"--prompt-tokens={prompt_tokens}", f"--max-tokens={max_tokens}"]
        arguments += [f"--customer={customer}", f"--tier={tier}"]
        arguments += [f"--prefix={part}" for part in prefix]
        result = self.where(*arguments, "--", route)
        allowed = (ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID)
        self.assertIn(result.exit_code, allowed, result.output)

    def test_texts_that_cannot_be_sent_are_named(self):
        for arguments, name in (
            (("\udcff",), "route"),
            (("a", "--prefix", "\udcff"), "prefix"),
            (("a" * 501,), "route"),
            (("a", *["--prefix", "user:a"] * 65), "prefix"),
        ):
            result = self.where(*arguments)
            self.assertEqual(result.exit_code, ExitCode.INVALID, result.output)
            self.assertIn(f"{name}: ", result.stderr)
