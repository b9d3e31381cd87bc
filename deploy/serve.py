"""Runs a proxy on the users' platform from the source tree, without installing it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from heatherpier._serve import main  # noqa: E402

main()
