"""The version in production, from the repository's history."""

import io
import subprocess
import tarfile
import tomllib
from pathlib import Path

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
