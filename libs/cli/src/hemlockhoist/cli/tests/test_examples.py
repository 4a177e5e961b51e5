import doctest
import importlib
import pathlib
import unittest

WORKSPACE = pathlib.Path(__file__).parents[6]


def module_names():
    """Yield the dotted names of all modules with examples in docstrings."""
    sources = [*WORKSPACE.glob("libs/*/src"), WORKSPACE / "platform" / "src"]
    for source in sources:
        for path in sorted(source.rglob("*.py")):
            if "tests" in path.parts or ">>> " not in path.read_text():
                continue
            parts = path.relative_to(source).with_suffix("").parts
            yield ".".join(parts).removesuffix(".__init__")


class ExamplesTests(unittest.TestCase):
    def test_examples_of_all_modules_run(self):
        names = list(module_names())
        self.assertGreater(len(names), 20)
        for name in names:
            with self.subTest(name):
                result = doctest.testmod(importlib.import_module(name))
                self.assertEqual(result.failed, 0)
