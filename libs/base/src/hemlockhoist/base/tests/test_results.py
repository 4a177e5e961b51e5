import doctest
import unittest

from hemlockhoist.base import RESULTS, Ran, ResultCode, invariants, results


class ResultTableTests(unittest.TestCase):
    def test_every_code_has_a_row(self):
        """Each result code is in the table."""
        self.assertEqual(set(RESULTS), set(ResultCode))

    def test_refusals_before_dispatch_have_not_run(self):
        """All codes of the refusal group state that the request did not run."""
        for code in ResultCode:
            if 200 <= code < 300:
                self.assertIs(RESULTS[code].ran, Ran.NO, code)

    def test_failures_after_dispatch_may_have_run(self):
        """No code for failures after dispatch states that the request did not run."""
        for code in ResultCode:
            if 300 <= code < 400:
                self.assertIsNot(RESULTS[code].ran, Ran.NO, code)

    def test_docstring_examples_run(self):
        """The examples in the docstrings give the results shown."""
        for module in (results, invariants):
            self.assertEqual(doctest.testmod(module).failed, 0)
