"""The version in production, from the repository's history."""

import contextlib
import importlib
import io
import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path

# Name under which it is imported beside the present version.
PACKAGE = "heatherpier_production"
ROOT = Path(__file__).parents[3]


def git(*args):
    """Runs git in the repository and returns its output."""
    done = subprocess.run(["git", *args], cwd=ROOT, check=True, capture_output=True)
    return done.stdout


def production_commit():
    """Returns the commit that runs in production."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    return tomllib.loads(text)["production"]


def extract_production(folder):
    """Writes the sources in production below a folder, and returns their root."""
    archive = io.BytesIO(git("archive", production_commit(), "src/heatherpier"))
    with tarfile.open(fileobj=archive) as files:
        files.extractall(folder, filter="data")
    return folder / "src"


@contextlib.contextmanager
def import_production(folder):
    """Yields a function that returns a module in production by its name.

    A process can import it once only, since it registers metrics.

    Args:
        folder: Empty folder for the sources.
    """
    package = (extract_production(folder) / "heatherpier").rename(folder / PACKAGE)
    for path in package.rglob("*.py"):
        # Metrics get other names too, so both builds can register theirs.
        path.write_text(path.read_text().replace("heatherpier", PACKAGE))
    sys.path.insert(0, str(folder))
    try:
        yield lambda name: importlib.import_module(f"{PACKAGE}.{name}")
    finally:
        sys.path.remove(str(folder))
