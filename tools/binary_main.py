"""Entry point of the one-file program: unpacks its libraries and runs it in-process.

`build_binary.py` puts this module into the archive as `__main__` and replaces the
placeholder of `DIGEST` by the digest of the contents.
"""

import os
import shutil
import sys
import tempfile
import zipfile

DIGEST = "@DIGEST@"
BASE = os.environ.get("HEATHERPIER_UNPACK_DIR", "/run")


def unpack() -> str:
    """Unpacks the libraries unless that is done, and returns their directory."""
    base = BASE if os.access(BASE, os.W_OK) else tempfile.gettempdir()
    target = os.path.join(base, f"heatherpier-{os.getuid()}-{DIGEST}")
    if os.path.isdir(target):
        if os.stat(target).st_uid != os.getuid():
            sys.exit(f"heatherpier: {target} belongs to another user")
        return target
    partial = tempfile.mkdtemp(dir=base, prefix="heatherpier-")
    with zipfile.ZipFile(sys.path[0]) as archive:
        archive.extractall(partial)
    try:
        os.rename(partial, target)
    except OSError:
        # Another process of the same program has unpacked them in the meantime.
        shutil.rmtree(partial)
    return target


sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(unpack(), "lib"))

from heatherpier._cli import main  # noqa: E402  (found only in the unpacked libraries)

main()
