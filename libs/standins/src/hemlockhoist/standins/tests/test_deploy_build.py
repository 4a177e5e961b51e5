import pathlib
import shutil
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[6]
BUILD = ROOT / "deploy" / "build.sh"


class DeployBuildTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="hemlockhoist-build-")
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.program = self.root / "target" / "deps" / "hemlockhoist"
        self.source = self.root / "libs" / "base" / "src" / "hemlockhoist" / "base"
        for path in (
            self.source / "tests",
            self.root / "platform" / "src" / "hemlockhoist" / "platform",
            self.root / "target" / "deps",
            self.root / "deploy",
        ):
            path.mkdir(parents=True)
        (self.source / "module.py").write_text("VALUE = 1\n")
        (self.source / "tests" / "test_module.py").write_text("")
        shutil.copy(BUILD, self.root / "deploy")
        # The libraries are installed already.
        for name in ("deploy/requirements.txt", "target/requirements.stamp"):
            (self.root / name).write_text("")

    def build(self):
        """Build; return what differs for a folder that was made anew."""
        subprocess.run(["sh", "deploy/build.sh"], cwd=self.root, check=True)
        found = self.program.stat()
        return found.st_ino, found.st_ctime_ns

    def test_unchanged_program_is_left_alone(self):
        """Guards against processes that find no program while it is built again."""
        built = self.build()
        self.assertEqual(self.build(), built)

    def test_changed_program_replaces_the_previous_one_as_a_whole(self):
        self.build()
        (self.source / "module.py").write_text("VALUE = 2\n")
        (self.source / "added.py").write_text("")
        self.build()
        module = self.program / "base" / "module.py"
        self.assertEqual(module.read_text(), "VALUE = 2\n")
        self.assertTrue((self.program / "base" / "added.py").exists())
        self.assertTrue(list((self.program / "base" / "__pycache__").iterdir()))
        self.assertFalse((self.program / "base" / "tests").exists())
        self.assertEqual(list((self.root / "target").glob("stage.*")), [])
