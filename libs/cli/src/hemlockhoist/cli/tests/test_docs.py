import pathlib
import re
import unittest

from hemlockhoist.base import metrics_table
from hemlockhoist.base.metrics_table import METRICS
from hemlockhoist.base.traces import Hop
from hemlockhoist.cli.exit_codes import ExitCode
from hemlockhoist.declarations import schema

WORKSPACE = pathlib.Path(__file__).parents[6]
_LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
_EXIT_ROW = re.compile(r"^\| (\d+) \|", re.MULTILINE)


class DocsTests(unittest.TestCase):
    def test_links_between_pages_are_valid(self):
        """The target of each relative link of a page exists in the workspace."""
        pages = [*WORKSPACE.glob("*.md"), *(WORKSPACE / "docs").rglob("*.md")]
        self.assertTrue(pages)
        for page in pages:
            for target in _LINK.findall(page.read_text()):
                if "://" not in target:
                    path = page.parent / target
                    self.assertTrue(path.exists(), f"{page}: {target}")

    def test_every_exit_code_is_documented(self):
        """The page for operators lists exactly the exit codes of the command."""
        page = (WORKSPACE / "docs" / "operators" / "hosts.md").read_text()
        listed = [int(number) for number in _EXIT_ROW.findall(page)]
        self.assertEqual(listed, [int(code) for code in ExitCode])

    def test_every_metric_and_span_is_used(self):
        """Each metric and hop of the tables is used by a module of the product."""
        tables = {"metrics_table.py", "traces.py"}
        modules = [
            path.read_text()
            for path in (WORKSPACE / "libs").glob("*/src/**/*.py")
            if "tests" not in path.parts and path.name not in tables
        ]
        names = [
            name for name, item in vars(metrics_table).items() if item in METRICS
        ] + [f"Hop.{hop.name}" for hop in Hop]
        for name in names:
            used = re.compile(rf"\b{re.escape(name)}\b")
            self.assertTrue(any(used.search(text) for text in modules), name)

    def test_example_has_every_field(self):
        """The example file has each field that declarations may contain."""
        text = (WORKSPACE / "examples" / "declarations.yaml").read_text()
        for kind in schema.RECORD_TYPES:
            names = {*schema.record_fields(kind), *schema.exception_fields(kind)}
            for name in names:
                self.assertIn(f"{name.rpartition('.')[2]}:", text, f"{kind} {name}")
