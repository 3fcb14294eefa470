"""deploy/venv, which creates the virtual environment for the build and CI, run with a fake Python and pip."""

import os
import shutil
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
REQUIREMENTS = {
    "requirements.txt": "# for a node\norjson==1\n",
    "requirements-lab.txt": "rich==1\n",
    "requirements-dev.txt": "-r requirements.txt\n-r requirements-lab.txt\npytest==1\n",
}
# Logs each call; `-m venv DIR` puts a copy of itself there, and pip fails while the file `no-network` exists.
PYTHON = """#!/bin/sh
case "$*" in
    "-m venv .venv") mkdir -p .venv/bin && cp "$0" .venv/bin/python ;;
    "-c import pip") exit 0 ;;
    "-m pip -q install -r "*) test ! -e no-network ;;
    "-m compileall -q caperdeck") ;;
    *) echo "unexpected: $*" >&2; exit 99 ;;
esac
status=$?
echo "${0##*/} $*" >> calls
exit $status
"""
CREATE = "python3 -m venv .venv"
INSTALL_RUN = "python -m pip -q install -r requirements.txt"
INSTALL_DEV = "python -m pip -q install -r requirements-dev.txt"
COMPILE = "python -m compileall -q caperdeck"


class Clone:
    """A clone of the repository with the files that the build uses."""

    def __init__(self, folder: Path):
        self.folder, self.venv = folder, folder / ".venv"
        (folder / "deploy").mkdir()
        shutil.copy(ROOT / "deploy" / "venv", folder / "deploy")
        for name, text in REQUIREMENTS.items():
            self.write(name, text)
        self.tools = folder / "tools"
        self.tools.mkdir()
        self.write("tools/python3", PYTHON).chmod(0o755)

    def write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def sh(self, command: str) -> tuple[int, list[str], str]:
        """Runs a command in the root; returns its exit code, its calls of Python, and standard error."""
        path = f"{self.tools}:{os.environ['PATH']}"
        done = subprocess.run(
            ["/bin/sh", "-c", command], cwd=self.folder, env=os.environ | {"PATH": path}, capture_output=True
        )
        calls = self.folder / "calls"
        made = calls.read_text().splitlines() if calls.exists() else []
        calls.unlink(missing_ok=True)
        return done.returncode, made, done.stderr.decode()

    def calls(self, level: str) -> list[str]:
        code, calls, errors = self.sh(f"sh deploy/venv {level}")
        assert code == 0, errors
        return calls

    def fail(self, level: str) -> None:
        """Runs deploy/venv so that it fails in the middle of the installation."""
        self.write("no-network", "")
        assert self.sh(f"sh deploy/venv {level}")[0] != 0
        (self.folder / "no-network").unlink()


@pytest.fixture
def clone(tmp_path):
    return Clone(tmp_path)


def test_clean_clone_is_built_once(clone):
    assert clone.calls("run") == [CREATE, INSTALL_RUN]
    assert clone.calls("run") == []


def test_run_dev_run_keeps_one_venv(clone):
    assert clone.calls("run") == [CREATE, INSTALL_RUN]
    assert clone.calls("dev") == [INSTALL_DEV]
    assert clone.calls("run") == []
    assert clone.calls("dev") == []


def test_venv_for_tests_is_also_used_for_a_node(clone):
    assert clone.calls("dev") == [CREATE, INSTALL_DEV]
    assert clone.calls("run") == []


@pytest.mark.parametrize(("level", "install"), [("run", INSTALL_RUN), ("dev", INSTALL_DEV)])
def test_partly_built_venv_is_created_again(clone, level, install):
    clone.fail(level)
    partial = clone.write(".venv/half-a-package", "")
    assert clone.calls(level) == [CREATE, install]
    assert not partial.exists()


def test_venv_whose_extension_failed_is_created_again(clone):
    clone.calls("run")
    clone.fail("dev")
    assert clone.calls("run") == [CREATE, INSTALL_RUN]


@pytest.mark.parametrize(("level", "install"), [("run", INSTALL_RUN), ("dev", INSTALL_DEV)])
def test_changed_requirement_is_installed_into_the_existing_venv(clone, level, install):
    clone.calls(level)
    clone.write("requirements.txt", "orjson==2\n")
    assert clone.calls(level) == [install]
    assert clone.calls(level) == []


def test_changed_test_requirement_installs_nothing_for_a_node(clone):
    clone.calls("dev")
    clone.write("requirements-lab.txt", "rich==2\n")
    assert clone.calls("run") == []
    assert clone.calls("dev") == [INSTALL_DEV]


def test_requirement_that_is_changed_back_is_installed_again(clone):
    """The marker file must not keep a version that a later installation has replaced."""
    clone.calls("run")
    for text in ("orjson==2\n", REQUIREMENTS["requirements.txt"]):
        clone.write("requirements.txt", text)
        assert clone.calls("run") == [INSTALL_RUN]


def test_version_is_not_compared_by_its_prefix(clone):
    clone.write("requirements.txt", "orjson==1.1\n")
    clone.calls("run")
    clone.write("requirements.txt", "orjson==1.10\n")
    assert clone.calls("run") == [INSTALL_RUN]


def test_removed_requirement_and_new_comment_install_nothing(clone):
    clone.write("requirements.txt", "orjson==1\nidna==1\n")
    clone.calls("run")
    clone.write("requirements.txt", "# another comment\n\norjson==1")
    assert clone.calls("run") == []


def test_venv_without_python_is_created_again(clone):
    clone.calls("dev")
    (clone.venv / "bin" / "python").unlink()
    assert clone.calls("run") == [CREATE, INSTALL_RUN]


def test_venv_whose_python_finds_no_pip_is_created_again(clone):
    """This happens when the system's Python has been upgraded to another version."""
    clone.calls("run")
    clone.write(".venv/bin/python", "#!/bin/sh\nexit 1\n")
    assert clone.calls("run") == [CREATE, INSTALL_RUN]


def test_venv_of_an_earlier_build_with_its_own_marker_is_reused(clone):
    clone.calls("run")
    shutil.copy(clone.folder / "requirements.txt", clone.venv / "installed.txt")
    assert clone.calls("run") == []


def test_venv_of_an_earlier_ci_run_with_its_own_marker_is_reused(clone):
    clone.calls("dev")
    (clone.venv / "installed.txt").unlink()
    clone.write(".venv/installed-dev.txt", "".join(REQUIREMENTS.values()))
    assert clone.calls("dev") == []
    assert clone.calls("run") == []


@pytest.mark.parametrize("arguments", ["", "lab", "run dev", "''"])
def test_bad_argument_gives_one_line_and_changes_nothing(clone, arguments):
    code, calls, errors = clone.sh(f"sh deploy/venv {arguments}")
    assert (code, calls, errors) == (2, [], "usage: deploy/venv run|dev\n")
    assert not clone.venv.exists()


def test_build_command_creates_the_venv_and_the_bytecode(clone):
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    assert clone.sh(build)[:2] == (0, [CREATE, INSTALL_RUN, COMPILE])
    assert clone.sh(build)[:2] == (0, [COMPILE])


def test_build_command_fails_when_the_installation_fails(clone):
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    clone.write("no-network", "")
    code, calls, _ = clone.sh(build)
    assert code != 0
    assert calls == [CREATE, INSTALL_RUN]
