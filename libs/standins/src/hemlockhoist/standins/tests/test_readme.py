import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

_ROOT = pathlib.Path(__file__).resolve().parents[6]
_FIRST_LINE = "    . build/demo.env"
_END_HEADING = "## More commands"
_TIMEOUT_S = 60


def _shell_lines():
    """Return the shell lines of README that are run beside ``demo --keep``."""
    text = (_ROOT / "README.md").read_text(encoding="utf-8")
    part = text[text.index(_FIRST_LINE) : text.index(_END_HEADING)]
    return "".join(
        line[4:] + "\n" for line in part.splitlines() if line.startswith("    ")
    )


class ReadmeTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / ".venv").symlink_to(sys.prefix)
        (self.folder / "examples").symlink_to(_ROOT / "examples")
        self.demo = subprocess.Popen(
            [sys.executable, "-m", "hemlockhoist.standins.demo", "--keep"],
            cwd=self.folder,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self._stop)

    def _stop(self):
        self.demo.send_signal(signal.SIGINT)
        self.demo.communicate(timeout=_TIMEOUT_S)

    def test_pasted_lines_work_and_can_be_repeated(self):
        """The lines work unchanged; repeated, the booking gets the same answer."""
        while "Interrupt to stop" not in (line := self.demo.stdout.readline()):
            self.assertTrue(line, "the demo ended")
        answers = []
        for _ in range(2):
            process = subprocess.run(
                ["bash", "-e", "-c", _shell_lines()],
                cwd=self.folder,
                capture_output=True,
                text=True,
                timeout=_TIMEOUT_S,
                check=False,
            )
            self.assertEqual(process.returncode, 0, process.stderr)
            for expected in ('"key_prefix"', "data: [DONE]", '"reply"', "200 OK"):
                self.assertIn(expected, process.stdout)
            self.assertNotIn('"error"', process.stdout)
            found = [x for x in process.stdout.splitlines() if "first-booking" in x]
            answers.append([line.partition("host:")[0] for line in found])
        self.assertTrue(answers[0])
        self.assertEqual(answers[0], answers[1])
