"""Builds one file that runs every sub-command without the source tree.

The file is a zip archive with a first line that names the interpreter. Its
`__main__` unpacks the libraries once into a directory in memory and runs the
program in the same process.
"""

import argparse
import hashlib
import importlib.util
import io
import marshal
import os
import re
import stat
import sys
import zipfile
from importlib.metadata import distribution
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
BOOTSTRAP = Path(__file__).with_name("binary_main.py")
INTERPRETER = b"#!/usr/bin/env python3.11\n"
# AWS services that the proxy calls. The descriptions of all others, which make up most
# of botocore, are excluded.
KEPT_SERVICES = ("dynamodb", "s3")
SERVICE_DATA = re.compile(r"botocore/data/([^/]+)/")
EXCLUDED = re.compile(r"(/tests?/|__pycache__|\.pyi$|\.pyx$|\.dist-info/|\.c$|/bin/)")
# Flags of a hash-based .pyc file whose source is not checked at import (PEP 552).
UNCHECKED_HASH = (1).to_bytes(4, "little")
# Constant, so that the same contents give the same file.
ENTRY_TIME = (1980, 1, 1, 0, 0, 0)


def collect() -> dict[str, bytes]:
    """Returns the contents of the archive's files by their paths in it."""
    files: dict[str, bytes] = {}
    for line in (ROOT / "requirements.txt").read_text().splitlines():
        name = line.split("==")[0].strip()
        if name:
            _collect_library(name, files)
    _collect_source(files)
    for name in [name for name in files if name.endswith(".py")]:
        files[_bytecode_name(name)] = _compile(name, files[name])
    return files


def _collect_source(files: dict[str, bytes]) -> None:
    for path in sorted((ROOT / "src").rglob("*")):
        relative = path.relative_to(ROOT / "src").as_posix()
        if path.is_file() and _is_kept(relative) and "egg-info" not in relative:
            files[f"lib/{relative}"] = path.read_bytes()


def _bytecode_name(name: str) -> str:
    directory, _, module = name.rpartition("/")
    return f"{directory}/__pycache__/{module[:-3]}.{sys.implementation.cache_tag}.pyc"


def _compile(name: str, source: bytes) -> bytes:
    header = (
        importlib.util.MAGIC_NUMBER
        + UNCHECKED_HASH
        + importlib.util.source_hash(source)
    )
    return header + marshal.dumps(compile(source, name, "exec", dont_inherit=True))


def _collect_library(name: str, files: dict[str, bytes]) -> None:
    dist = distribution(name)
    for item in dist.files or ():
        relative = item.as_posix()
        path = Path(str(dist.locate_file(item)))
        if relative.startswith("..") or not path.is_file() or not _is_kept(relative):
            continue
        files[f"lib/{relative}"] = path.read_bytes()


def _is_kept(relative: str) -> bool:
    if EXCLUDED.search("/" + relative):
        return False
    service = SERVICE_DATA.match(relative)
    return service is None or service[1] in KEPT_SERVICES


def build(target: Path) -> str:
    """Writes the program to ``target`` and returns the digest of its contents."""
    files = collect()
    digest = hashlib.sha256()
    for name in sorted(files):
        digest.update(name.encode() + b"\0" + files[name])
    text = digest.hexdigest()[:16]
    files["__main__.py"] = BOOTSTRAP.read_bytes().replace(b"@DIGEST@", text.encode())
    body = io.BytesIO()
    with zipfile.ZipFile(body, "w", zipfile.ZIP_DEFLATED) as archive:
        for name in sorted(files):
            archive.writestr(
                zipfile.ZipInfo(name, ENTRY_TIME), files[name], zipfile.ZIP_DEFLATED
            )
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(INTERPRETER + body.getvalue())
    os.chmod(target, target.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    return text


def main() -> None:
    """Builds the program at the path that the command line gives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("target", type=Path)
    target = parser.parse_args().target
    digest = build(target)
    size_mb = target.stat().st_size / 1e6
    print(f"{target}: {size_mb:.1f} MB, contents {digest}", file=sys.stderr)


if __name__ == "__main__":
    main()
