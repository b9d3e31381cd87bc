"""What a proxy on the users' platform loads at its start."""

import subprocess
import sys

# After a loss of power, answers are late for as long as the processes start.
NEEDLESS = (
    "pydantic",
    "mysql_mimic",
    "sqlglot",
    "heatherpier.settings",
    "heatherpier.config_check",
)


def test_start_loads_nothing_of_documents_or_the_mysql_protocol():
    """Guards against a start that takes longer for what the process never uses."""
    code = "import sys, heatherpier._serve; print(*sys.modules)"
    shown = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert not set(NEEDLESS) & set(shown.stdout.split())
