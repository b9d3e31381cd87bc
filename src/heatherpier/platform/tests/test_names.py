import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2]
ADAPTER = SOURCE / "platform"
# Words of the platform for which the product has its own terms.
PLATFORM_WORDS = re.compile(
    r"seqNo|dbRole|rows-(tx|get|feed)|X-(Fence|Duty)|cloudApi|coldLeft|syncReplicas"
    r"|INDOUBT|MISROUTED|NODB|NOSTMT|READONLY\b|tombstone|readiness\b.*/readiness"
)


def modules_outside():
    return [
        path
        for path in sorted(SOURCE.rglob("*.py"))
        if not path.is_relative_to(ADAPTER)
    ]


@pytest.mark.parametrize(
    "path", modules_outside(), ids=lambda path: str(path.relative_to(SOURCE))
)
def test_platform_words_are_used_in_the_adapter_only(path):
    found = PLATFORM_WORDS.findall(path.read_text(encoding="utf-8"))
    assert not found, f"{path} uses words of the platform"


def test_search_finds_platform_words_in_the_adapter():
    text = "".join(path.read_text(encoding="utf-8") for path in ADAPTER.glob("*.py"))
    assert PLATFORM_WORDS.search(text)


@pytest.mark.parametrize(
    "path", modules_outside(), ids=lambda path: str(path.relative_to(SOURCE))
)
def test_only_the_platform_proxy_imports_the_adapter(path):
    allowed = {"_platform_proxy.py", "_serve.py"}
    imports = "heatherpier.platform" in path.read_text(encoding="utf-8")
    assert not imports or path.name in allowed or "tests" in path.parts
