import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2]
BORDER = SOURCE / "platform"
# Words of the platform's pages that the product has its own terms for.
FOREIGN = re.compile(
    r"seqNo|dbRole|rows-(tx|get|feed)|X-(Fence|Duty)|cloudApi|coldLeft|syncReplicas"
    r"|INDOUBT|MISROUTED|NODB|NOSTMT|READONLY\b|tombstone|readiness\b.*/readiness"
)


def modules_outside():
    return [
        path for path in sorted(SOURCE.rglob("*.py")) if not path.is_relative_to(BORDER)
    ]


@pytest.mark.parametrize(
    "path", modules_outside(), ids=lambda path: str(path.relative_to(SOURCE))
)
def test_platform_words_stay_inside_the_border(path):
    found = FOREIGN.findall(path.read_text(encoding="utf-8"))
    assert not found, f"{path} names the platform's words"


def test_the_border_is_what_the_words_are_searched_for():
    text = "".join(path.read_text(encoding="utf-8") for path in BORDER.glob("*.py"))
    assert FOREIGN.search(text)


@pytest.mark.parametrize(
    "path", modules_outside(), ids=lambda path: str(path.relative_to(SOURCE))
)
def test_only_the_proxy_on_the_platform_imports_the_border(path):
    allowed = {"_platform_proxy.py", "_serve.py"}
    imports = "heatherpier.platform" in path.read_text(encoding="utf-8")
    assert not imports or path.name in allowed or "tests" in path.parts
